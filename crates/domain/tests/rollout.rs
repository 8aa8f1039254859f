//! Rules of a roll-out: verdict, phases, orders and selection of servers.

use std::{collections::BTreeMap, time::Duration};

use domain::store_position::StorePosition;
use domain::{
    FailureDomain, ServerName, ServerVersion, ServiceName,
    rollout::{
        AnswerSample, BadReason, DomainOutcomes, EvidenceVerdict, ExposureAllowance,
        ExposureBounds, FilterRule, LatencyCounts, OrderFault, OrderId, PhaseReason, ReportKey,
        RolloutBook, RolloutOrder, RolloutPhase, RouteCounts, SendRight, ServiceRollout, SiteView,
        StatusState, VersionFilter, VersionSide, judge,
    },
    server_registry::{DomainServers, RegisteredServer, ServerRecord, ServerState},
};
use rstest::rstest;
use tokio::time::Instant;

const SHARE: f64 = 0.1;
const PERIOD: Duration = Duration::from_secs(12);

fn order(id: u64, to: &str) -> RolloutOrder {
    RolloutOrder {
        id: OrderId::from(id),
        service: ServiceName::from("desk"),
        to: ServerVersion::from(to),
        period: PERIOD,
    }
}

fn ended(counts: &mut RouteCounts, side: VersionSide, domain: &str, answers: u64, failures: u64) {
    for number in 0..answers {
        let is_failure = number < failures;
        let sample = AnswerSample::Ended { is_failure };
        counts.record(side, &FailureDomain::from(domain), sample, 16);
    }
}

fn timed(counts: &mut RouteCounts, side: VersionSide, millis: &[u64]) {
    for millis in millis {
        let sample = AnswerSample::Latency(Duration::from_millis(*millis));
        counts.record(side, &FailureDomain::from("a"), sample, 16);
    }
}

fn verdict(counts: RouteCounts) -> EvidenceVerdict {
    let routes = BTreeMap::from([("look", counts)]);
    judge(&routes, SHARE, |_| Some(Duration::from_millis(150)))
}

fn bad(reason: BadReason) -> EvidenceVerdict {
    EvidenceVerdict::Bad {
        route: Some("look".into()),
        reason,
    }
}

/// A version that fails a fifth of its answers is found bad before its tenth failure,
/// far from the fiftieth; one that fails all of them after three.
#[rstest]
#[case::all(3, 3)]
#[case::third(21, 7)]
#[case::fifth(45, 9)]
fn failures_accuse_the_new_version(#[case] answers: u64, #[case] failures: u64) {
    let mut counts = RouteCounts::default();
    ended(&mut counts, VersionSide::Old, "a", 300, 1);
    ended(&mut counts, VersionSide::New, "a", answers, failures);
    assert_eq!(verdict(counts), bad(BadReason::Failures));
}

/// A good version must not be reverted because the servers of a failure domain, old and
/// new, were down, nor for single failures.
#[rstest]
#[case::domain_down(&[("a", 100, 0), ("b", 40, 12)], &[("a", 30, 0), ("b", 12, 5)])]
#[case::two_failures(&[("a", 100, 0)], &[("a", 2, 2)])]
#[case::usual_failures(&[("a", 400, 4)], &[("a", 100, 3)])]
fn usual_failures_accuse_nobody(
    #[case] old: &[(&str, u64, u64)],
    #[case] new: &[(&str, u64, u64)],
) {
    let mut counts = RouteCounts::default();
    for (domain, answers, failures) in old {
        ended(&mut counts, VersionSide::Old, domain, *answers, *failures);
    }
    for (domain, answers, failures) in new {
        ended(&mut counts, VersionSide::New, domain, *answers, *failures);
    }
    assert!(!matches!(verdict(counts), EvidenceVerdict::Bad { .. }));
}

/// Answers several times slower accuse the version; a difference that no caller notices
/// or that both versions show does not.
#[rstest]
#[case::four_times(&[15; 40], &[70; 8], true)]
#[case::below_the_target(&[2; 40], &[10; 20], false)]
#[case::a_little(&[40; 40], &[55; 30], false)]
#[case::both_uneven(&[20, 20, 20, 100], &[20, 100, 20, 100, 20, 20], false)]
fn slow_answers_accuse_the_new_version(
    #[case] old: &[u64],
    #[case] new: &[u64],
    #[case] is_bad: bool,
) {
    let mut counts = RouteCounts::default();
    timed(&mut counts, VersionSide::Old, &old.repeat(3));
    timed(&mut counts, VersionSide::New, new);
    let found = verdict(counts) == bad(BadReason::SlowAnswers);
    assert_eq!(found, is_bad);
}

/// A version is not found good while a route with traffic has no answers of it: it may
/// be bad on that route only.
#[test]
fn route_without_answers_keeps_the_verdict_open() {
    let mut look = RouteCounts::default();
    ended(&mut look, VersionSide::Old, "a", 300, 0);
    ended(&mut look, VersionSide::New, "a", 30, 0);
    let mut book = RouteCounts::default();
    ended(&mut book, VersionSide::Old, "a", 60, 0);
    let routes = BTreeMap::from([("look", look), ("book", book)]);
    let open = EvidenceVerdict::Open {
        route: Some("book".into()),
    };
    assert_eq!(judge(&routes, SHARE, |_| None), open);
}

/// Counts at the limit of their type must not overflow a sum: the owner of the roll-outs
/// would end.
#[test]
fn largest_counts_are_judged() {
    let mut look = RouteCounts::default();
    let most = DomainOutcomes {
        answers: u64::MAX,
        failures: u64::MAX,
    };
    for domain in ["a", "b"] {
        look.outcomes.insert(FailureDomain::from(domain), [most; 2]);
    }
    let buckets = || LatencyCounts::from_buckets(std::iter::repeat(u64::MAX));
    look.latencies = [buckets(), buckets()];
    look.gaps = [buckets(), buckets()];
    let sample = AnswerSample::Latency(Duration::from_millis(1));
    look.record(VersionSide::New, &FailureDomain::from("a"), sample, 16);
    ended(&mut look, VersionSide::New, "a", 1, 1);
    let routes = BTreeMap::from([("look", look.clone()), ("book", look)]);
    assert_eq!(judge(&routes, SHARE, |_| None), EvidenceVerdict::Good);
}

struct Trial {
    rollout: ServiceRollout,
    start: Instant,
}

impl Trial {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            rollout: ServiceRollout::new(order(5, "v2"), start, ReportKey::from(1)),
            start,
        }
    }

    fn answers(&mut self, side: VersionSide, count: usize, is_failure: bool) {
        let domain = FailureDomain::from("a");
        let sample = AnswerSample::Ended { is_failure };
        self.rollout.ledger_mut().update_own(|own| {
            (0..count).for_each(|_| own.record("look", side, &domain, sample));
        });
    }

    fn advance(&mut self, at_ms: u64) -> Option<(RolloutPhase, PhaseReason)> {
        let versions = [ServerVersion::from("v1"), ServerVersion::from("v2")];
        let view = SiteView {
            entries: 2,
            versions: &versions,
            share: SHARE,
            now: self.start + Duration::from_millis(at_ms),
        };
        let change = self.rollout.advance(view, |_| None)?;
        Some((change.phase, change.reason))
    }

    fn due(&self, at_ms: u64) -> Option<StatusState> {
        let now = self.start + Duration::from_millis(at_ms);
        self.rollout.due_status(2, now)
    }
}

/// A good version keeps its small share until late, then gets everything, and is
/// recorded before the time limit although a stream stays at an old server.
#[tokio::test(start_paused = true)]
async fn good_version_finishes_before_the_time_limit() {
    let mut trial = Trial::new();
    assert_eq!(trial.due(0), Some(StatusState::Running));
    trial.answers(VersionSide::Old, 300, false);
    trial.answers(VersionSide::New, 30, false);
    assert_eq!(
        trial
            .rollout
            .adopt_status(OrderId::from(5), StatusState::Running, 9),
        None
    );
    assert_eq!(trial.advance(8_900), None);
    let moved = Some((RolloutPhase::Moving, PhaseReason::Good));
    assert_eq!(trial.advance(9_000), moved);
    assert_eq!(trial.due(9_100), None, "the other entry has not moved yet");
    assert_eq!(trial.due(11_000), Some(StatusState::Finished));
    trial
        .rollout
        .adopt_status(OrderId::from(5), StatusState::Finished, 9);
    assert_eq!(trial.rollout.phase(), RolloutPhase::Finished);
    assert_eq!(trial.due(13_000), None);
}

/// A version that turns bad after the decision to finish is still reverted, as long as
/// the store has not recorded the end.
#[tokio::test(start_paused = true)]
async fn version_that_turns_bad_late_is_reverted() {
    let mut trial = Trial::new();
    trial.answers(VersionSide::Old, 300, false);
    trial.answers(VersionSide::New, 30, false);
    trial.advance(9_000);
    trial.answers(VersionSide::New, 20, true);
    let reverted = (
        RolloutPhase::Reverting,
        PhaseReason::Bad(BadReason::Failures),
    );
    assert_eq!(trial.advance(9_200), Some(reverted));
    assert_eq!(trial.due(9_200), Some(StatusState::Reverted));
}

/// Without answers of the new version an order ends as reverted shortly before its time
/// limit.
#[rstest]
#[case::no_server(0, PhaseReason::NoAnswers)]
#[case::too_few(2, PhaseReason::LittleEvidence)]
#[tokio::test(start_paused = true)]
async fn order_without_evidence_is_reverted(#[case] answers: usize, #[case] reason: PhaseReason) {
    let mut trial = Trial::new();
    trial.answers(VersionSide::Old, 300, false);
    trial.answers(VersionSide::New, answers, false);
    assert_eq!(trial.advance(10_900), None);
    assert_eq!(
        trial.advance(11_000),
        Some((RolloutPhase::Reverting, reason))
    );
}

/// What the store recorded outweighs the verdict of an entry, and a verdict to revert
/// outweighs one to finish. Older news change nothing.
#[tokio::test(start_paused = true)]
async fn later_phase_is_adopted_from_other_entries() {
    let mut trial = Trial::new();
    let mut other = Trial::new();
    other.answers(VersionSide::Old, 100, false);
    other.answers(VersionSide::New, 10, true);
    other.advance(1_000);
    let news = |of: &Trial| of.rollout.news(&Default::default());
    let before = news(&trial);
    assert!(trial.rollout.merge(news(&other)).is_some());
    assert_eq!(trial.rollout.phase(), RolloutPhase::Reverting);
    assert!(trial.rollout.merge(before).is_none());
    assert!(
        other
            .rollout
            .adopt_status(OrderId::from(5), StatusState::Finished, 9)
            .is_some()
    );
    trial.rollout.merge(news(&other));
    assert_eq!(trial.rollout.phase(), RolloutPhase::Finished);
}

/// The state of an earlier order, which arrives after the next one, must not end that one.
#[tokio::test(start_paused = true)]
async fn state_of_another_order_is_not_adopted() {
    let mut trial = Trial::new();
    let other = OrderId::from(4);
    let change = trial.rollout.adopt_status(other, StatusState::Finished, 9);
    assert_eq!(change, None);
    assert_eq!(trial.rollout.phase(), RolloutPhase::Trial);
    assert_eq!(trial.rollout.status_row(), None);
}

/// The version of an order that was replaced before it finished gets nothing, although
/// no order in force names it.
#[tokio::test(start_paused = true)]
async fn replaced_order_bars_its_version() {
    let mut book = RolloutBook::default();
    let now = Instant::now();
    assert!(book.offer(order(5, "v2"), now, ReportKey::from(1), &[]));
    assert!(
        !book.offer(order(4, "v9"), now, ReportKey::from(1), &[]),
        "older"
    );
    assert!(book.offer(order(6, "v3"), now, ReportKey::from(2), &[]));
    let service = ServiceName::from("desk");
    let filter = book.get(&service).expect("an order").filter();
    assert_eq!(filter.right(&ServerVersion::from("v2")), SendRight::Denied);
    assert_eq!(filter.right(&ServerVersion::from("v3")), SendRight::Trial);
    assert_eq!(filter.right(&ServerVersion::from("v7")), SendRight::Free);
    assert!(book.offer(order(7, "v2"), now, ReportKey::from(3), &[]));
    let filter = book.get(&service).expect("an order").filter();
    assert_eq!(filter.right(&ServerVersion::from("v2")), SendRight::Trial);
}

fn order_in(era: u64, version: u64, to: &str) -> RolloutOrder {
    let position = StorePosition {
        era: era.into(),
        version,
    };
    RolloutOrder {
        id: OrderId::from(position),
        ..order(0, to)
    }
}

/// An order that was written again after a return of the store began anew: its version
/// got the allowance of a trial a second time.
#[rstest]
#[case::in_a_lower_row(40)]
#[case::in_the_same_row(50)]
#[case::in_a_higher_row(60)]
#[tokio::test(start_paused = true)]
async fn order_written_again_stays_in_force(#[case] row: u64) {
    let now = Instant::now();
    let service = ServiceName::from("desk");
    let mut book = RolloutBook::default();
    book.offer(order_in(1, 50, "v2"), now, ReportKey::from(1), &[]);
    let known = book.get_mut(&service).expect("an order");
    known
        .rollout
        .adopt_status(order_in(1, 50, "v2").id, StatusState::Finished, 51);
    let again = order_in(2, row, "v2");
    assert!(!book.offer(again.clone(), now, ReportKey::from(2), &[]));
    assert!(book.renew(&again));
    let rollout = &book.get(&service).expect("an order").rollout;
    assert_eq!(rollout.order().id, again.id);
    assert_eq!(rollout.phase(), RolloutPhase::Finished);
    // A further row of the same era is a new order.
    let next = order_in(2, 70, "v2");
    assert!(!book.renew(&next));
    assert!(book.offer(next, now, ReportKey::from(3), &[]));
}

/// The store lost the outcome, or came back with an earlier state of the order, and the
/// outcome was not written again.
#[tokio::test(start_paused = true)]
async fn lost_outcome_is_due_again() {
    let now = Instant::now();
    let service = ServiceName::from("desk");
    let mut book = RolloutBook::default();
    book.offer(order_in(1, 50, "v2"), now, ReportKey::from(1), &[]);
    let again = order_in(2, 50, "v2");
    let rollout = |book: &mut RolloutBook| {
        let known = book.get_mut(&service).expect("an order");
        known.rollout.clone()
    };
    let known = book.get_mut(&service).expect("an order");
    known
        .rollout
        .adopt_status(order_in(1, 50, "v2").id, StatusState::Finished, 55);
    assert_eq!(rollout(&mut book).due_status(1, now), None);
    assert!(book.renew(&again));
    let finished = Some(StatusState::Finished);
    assert_eq!(rollout(&mut book).due_status(1, now), finished);
    let known = book.get_mut(&service).expect("an order");
    known
        .rollout
        .adopt_status(again.id, StatusState::Running, 52);
    assert_eq!(known.rollout.phase(), RolloutPhase::Finished);
    assert_eq!(known.rollout.due_status(1, now), finished);
    // Another entry that has the earlier state only says that the store has a state.
    let mut other = RolloutBook::default();
    other.offer(again.clone(), now, ReportKey::from(2), &[]);
    let other = other.get_mut(&service).expect("an order");
    other
        .rollout
        .adopt_status(again.id, StatusState::Running, 52);
    known.rollout.merge(other.rollout.news(&BTreeMap::new()));
    assert_eq!(known.rollout.due_status(1, now), finished);
    other.rollout.merge(known.rollout.news(&BTreeMap::new()));
    assert_eq!(other.rollout.due_status(1, now), finished);
    known
        .rollout
        .adopt_status(again.id, StatusState::Finished, 60);
    assert_eq!(known.rollout.due_status(1, now), None);
}

/// The store came back with an order that had been replaced, which was put in force again
/// until the last one was written again.
#[tokio::test(start_paused = true)]
async fn replaced_order_in_an_older_copy_is_not_put_in_force() {
    let now = Instant::now();
    let service = ServiceName::from("desk");
    let mut book = RolloutBook::default();
    book.offer(order_in(1, 40, "v2"), now, ReportKey::from(1), &[]);
    book.offer(order_in(1, 50, "v3"), now, ReportKey::from(2), &[]);
    assert!(!book.offer(order_in(2, 40, "v2"), now, ReportKey::from(3), &[]));
    let known = book.get(&service).expect("an order");
    assert_eq!(known.rollout.order().to, ServerVersion::from("v3"));
    // One that was given since comes in a version that is given out again.
    assert!(book.offer(order_in(2, 45, "v4"), now, ReportKey::from(4), &[]));
}

/// An order that comes right after the end of the one before must not bar the version
/// that has all the traffic, although an entry was not told of that end.
#[tokio::test(start_paused = true)]
async fn version_with_the_traffic_is_not_barred() {
    let now = Instant::now();
    let service = ServiceName::from("desk");
    let [mut told, mut untold] = [1, 2].map(|key| {
        let mut book = RolloutBook::default();
        book.offer(order(5, "v2"), now, ReportKey::from(key), &[]);
        book
    });
    let entry = told.get_mut(&service).expect("an order");
    entry
        .rollout
        .adopt_status(OrderId::from(5), StatusState::Finished, 9);
    for book in [&mut told, &mut untold] {
        assert!(book.offer(order(6, "v3"), now, ReportKey::from(3), &[]));
    }
    let news = |book: &RolloutBook| {
        let entry = book.get(&service).expect("an order");
        entry.news(&BTreeMap::new())
    };
    let (from_told, from_untold) = (news(&told), news(&untold));
    told.merge_history(&from_untold);
    untold.merge_history(&from_told);
    for book in [&told, &untold] {
        let filter = book.get(&service).expect("an order").filter();
        assert_eq!(filter.right(&ServerVersion::from("v2")), SendRight::Free);
    }
}

/// Orders given one after the other, with the state that the store recorded of the
/// ones before the last.
fn ordered(steps: &[(&str, Option<StatusState>)], ready: &[&str]) -> RolloutBook {
    let now = Instant::now();
    let service = ServiceName::from("desk");
    let ready: Vec<ServerVersion> = ready.iter().copied().map(ServerVersion::from).collect();
    let mut book = RolloutBook::default();
    for (id, (to, state)) in (5..).zip(steps) {
        assert!(book.offer(order(id, to), now, ReportKey::from(id), &ready));
        let entry = book.get_mut(&service).expect("an order");
        let view = SiteView {
            entries: 1,
            versions: &ready,
            share: SHARE,
            now,
        };
        entry.rollout.advance(view, |_| None);
        if let Some(state) = state {
            entry.rollout.adopt_status(OrderId::from(id), *state, 9);
        }
    }
    book
}

/// An order for the version that carries the traffic must leave the service its servers,
/// whatever order came before, and ends as finished although that version fails.
#[rstest]
#[case::first_order(&[("v1", None)], &["v1"])]
#[case::cancelled(&[("v2", None), ("v1", None)], &["v1", "v2"])]
#[case::after_reverted(&[("v2", Some(StatusState::Reverted)), ("v1", None)], &["v1", "v2"])]
#[case::finished_again(&[("v2", Some(StatusState::Finished)), ("v2", None)], &["v2"])]
#[tokio::test(start_paused = true)]
async fn order_for_the_incumbent_keeps_its_servers(
    #[case] steps: &[(&str, Option<StatusState>)],
    #[case] ready: &[&str],
) {
    let mut book = ordered(steps, ready);
    let entry = book.get_mut(&ServiceName::from("desk")).expect("an order");
    let sample = AnswerSample::Ended { is_failure: true };
    entry.rollout.ledger_mut().update_own(|own| {
        let domain = FailureDomain::from("a");
        (0..20).for_each(|_| own.record("look", VersionSide::New, &domain, sample));
    });
    let view = SiteView {
        entries: 1,
        versions: &[],
        share: SHARE,
        now: Instant::now(),
    };
    assert_eq!(entry.rollout.advance(view, |_| None), None);
    let due = entry.rollout.due_status(1, Instant::now());
    assert_eq!(due, Some(StatusState::Finished));
    let filter = entry.filter();
    let all = servers(ready);
    let selected = filter.select(&all, filter.rule(false));
    let versions = selected.iter().flat_map(|domain| &domain.servers);
    let kept: Vec<&str> = versions
        .map(|server| server.record().version.as_str())
        .collect();
    assert_eq!(kept, [steps[steps.len() - 1].0]);
}

/// A version that never carried the traffic must not get all of it because its servers
/// still run when an order names it again.
#[rstest]
#[case::first_order(&[("v2", None)])]
#[case::ordered_twice(&[("v2", None), ("v2", None)])]
#[case::after_reverted(&[("v2", Some(StatusState::Reverted)), ("v2", None)])]
#[case::barred(&[("v2", None), ("v3", None), ("v2", None)])]
#[case::cancelled(&[("v2", None), ("v1", None), ("v2", None)])]
#[tokio::test(start_paused = true)]
async fn order_for_another_version_begins_with_a_trial(
    #[case] steps: &[(&str, Option<StatusState>)],
) {
    let book = ordered(steps, &["v1", "v2"]);
    let entry = book.get(&ServiceName::from("desk")).expect("an order");
    assert_eq!(entry.rollout.phase(), RolloutPhase::Trial);
}

fn servers(versions: &[&str]) -> Vec<DomainServers> {
    let server = |(number, version): (usize, &&str)| {
        let port = 1_000 + u16::try_from(number).expect("few servers");
        RegisteredServer::new(ServerRecord {
            instance: ServerName::from(format!("i{number}")),
            service: ServiceName::from("desk"),
            address: ([10, 0, 0, 1], port).into(),
            domain: FailureDomain::from("a"),
            version: ServerVersion::from(*version),
            slots: 8,
            state: ServerState::Ready,
            started_ms: 1,
        })
    };
    let servers = versions.iter().enumerate().map(server);
    vec![DomainServers {
        domain: FailureDomain::from("a"),
        servers: servers.map(Into::into).collect(),
    }]
}

/// Requests outside the trial must not reach the new version, and after the decision to
/// finish none may go to the old one while the new one has servers.
#[rstest]
#[case::trial(RolloutPhase::Trial, true, &["v2"])]
#[case::outside_trial(RolloutPhase::Trial, false, &["v1", "v7"])]
#[case::moving(RolloutPhase::Moving, false, &["v2", "v7"])]
#[case::reverted(RolloutPhase::Reverted, true, &["v1", "v7"])]
fn servers_are_selected_by_version(
    #[case] phase: RolloutPhase,
    #[case] is_trial: bool,
    #[case] expected: &[&str],
) {
    let filter = VersionFilter {
        new: ServerVersion::from("v2"),
        old: [ServerVersion::from("v1")].into(),
        barred: [ServerVersion::from("v0")].into(),
        phase,
    };
    let all = servers(&["v0", "v1", "v2", "v7"]);
    let selected = filter.select(&all, filter.rule(is_trial));
    let versions: Vec<&str> = selected
        .iter()
        .flat_map(|domain| &domain.servers)
        .map(|server| server.record().version.as_str())
        .collect();
    assert_eq!(versions, expected);
    let without_new = servers(&["v1"]);
    let kept = filter.select(&without_new, FilterRule::Moved);
    assert_eq!(
        kept.len(),
        1,
        "the old servers go on if there are no others"
    );
}

/// Several threads must not spend more than the allowance together.
#[test]
fn allowance_is_not_exceeded_by_threads() {
    let bounds = ExposureBounds {
        share: SHARE,
        slack: 50.0,
        rollback: Duration::from_secs(5),
    };
    let allowance = ExposureAllowance::new(bounds, Some(5));
    (0..1_000).for_each(|_| allowance.record_request());
    let spend = || (0..200).filter(|_| allowance.try_spend()).count();
    let spent: usize = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(spend)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .sum()
    });
    assert!((90..=110).contains(&spent), "{spent}");
    assert_eq!(allowance.counts(), (1_000, spent as u64));
}

#[rstest]
#[case::other_service("pool", "v2", 12, OrderFault::OtherService)]
#[case::no_version("desk", "", 12, OrderFault::NoVersion)]
#[case::no_time("desk", "v2", 0, OrderFault::UnusablePeriod)]
#[case::too_long("desk", "v2", 1 << 40, OrderFault::UnusablePeriod)]
fn unusable_orders_are_refused(
    #[case] keyed: &str,
    #[case] to: &str,
    #[case] seconds: u64,
    #[case] fault: OrderFault,
) {
    let order = RolloutOrder {
        period: Duration::from_secs(seconds),
        ..order(5, to)
    };
    assert_eq!(order.validate(keyed), Err(fault));
}
