//! Which prompt parts are held back for crashes of servers. A missed one crashes server
//! after server; a wrong one refuses sound requests.

use std::time::Duration;

use domain::{
    PartDigest, ServerName,
    crash_evidence::{
        AnswerProgress, CrashEvidence, CrashLedger, CrashReport, HeldParts, HoldVerdict,
        PartAcquittal, REPORTS_MAX, ReportId,
    },
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

/// Time from the beginning of an answer to the crash.
const RUN_MS: u64 = 80;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn digests(parts: &str) -> Box<[PartDigest]> {
    parts.split(' ').map(PartDigest::of).collect()
}

/// A crash at `ms` after `start`, of an answer to a prompt with these parts.
fn crash(start: Instant, id: u64, ms: u64, parts: &str) -> CrashReport {
    CrashReport {
        id: ReportId::from(id),
        server: ServerName::from(format!("i{id}")),
        seen_by: format!("front-{}", id % 3).into(),
        begun_at: at(start, ms),
        seen_at: at(start, ms + RUN_MS),
        parts: digests(parts),
    }
}

fn acquittal(start: Instant, ms: u64, part: &str) -> PartAcquittal {
    PartAcquittal {
        part: PartDigest::of(part),
        begun_at: at(start, ms),
    }
}

fn held(ledger: &CrashLedger) -> Vec<PartDigest> {
    let held = ledger.held_parts(&HeldParts::default());
    let mut parts: Vec<PartDigest> = held.iter().map(|held| held.part).collect();
    parts.sort_unstable();
    parts
}

#[track_caller]
fn check(reports: &[CrashReport], acquittals: &[PartAcquittal], expected: &str) {
    let mut ledger = CrashLedger::default();
    for report in reports {
        ledger.add_report(report.clone());
    }
    for acquittal in acquittals {
        ledger.acquit(*acquittal);
    }
    let mut expected: Vec<PartDigest> = expected.split_whitespace().map(PartDigest::of).collect();
    expected.sort_unstable();
    assert_eq!(held(&ledger), expected);
}

/// Reports a second apart, one for each list of parts.
fn reports(start: Instant, parts: &[&str]) -> Vec<CrashReport> {
    let numbered = (1..).zip(parts);
    numbered
        .map(|(id, parts)| crash(start, id, 1_000 * id, parts))
        .collect()
}

#[rstest]
#[case::two_crashes(&["first dead", "first dead"], "")]
#[case::later_of_parts_that_always_come_together(&["first dead", "first dead", "first dead"], "dead")]
#[case::part_that_others_follow(&["dead a", "dead b", "dead c"], "dead")]
#[case::part_that_others_precede(&["a dead", "b dead", "c dead"], "dead")]
#[case::two_parts(&["x 1", "x 2", "y 1", "y 2", "x 3", "y 3"], "x y")]
#[case::nothing_in_common(&["a", "b", "c", "d", "e"], "")]
fn part_that_explains_the_crashes_is_held_back(#[case] parts: &[&str], #[case] expected: &str) {
    check(&reports(Instant::now(), parts), &[], expected);
}

/// The first part is shared with sound requests, whose answers go on.
#[test]
fn acquitted_part_is_not_held_back() {
    let start = Instant::now();
    let crashes = reports(start, &["dead first", "dead first", "dead first"]);
    check(&crashes, &[acquittal(start, 500, "first")], "dead");
}

/// Every server of a failure domain ends at once; answers to one sound part had just
/// begun on many of them.
#[test]
fn loss_of_many_servers_at_once_holds_nothing_back() {
    let start = Instant::now();
    let crashes: Vec<CrashReport> = (0..40)
        .map(|id| CrashReport {
            seen_at: at(start, 100 + id),
            ..crash(start, id, id, "sound")
        })
        .collect();
    check(&crashes, &[], "");
}

/// A part whose answers went on before needs more crashes, and time for another answer
/// that goes on.
#[rstest]
#[case::few(4, 1_000, &[500], "")]
#[case::enough(5, 1_000, &[500], "dead")]
#[case::too_fast(5, 150, &[0], "")]
#[case::sound_in_between(6, 1_000, &[500, 4_500], "")]
fn part_that_was_sound_needs_more_crashes(
    #[case] count: u64,
    #[case] pause_ms: u64,
    #[case] acquitted_ms: &[u64],
    #[case] expected: &str,
) {
    let start = Instant::now();
    let crashes: Vec<CrashReport> = (1..=count)
        .map(|id| crash(start, id, pause_ms * id, "dead"))
        .collect();
    let acquittals: Vec<PartAcquittal> = acquitted_ms
        .iter()
        .map(|ms| acquittal(start, *ms, "dead"))
        .collect();
    check(&crashes, &acquittals, expected);
}

/// Guards against a trial of the wrong part: a request with two parts that are held back
/// was let through when a trial of the first was due.
#[test]
fn request_with_two_held_parts_waits_for_both() {
    let start = Instant::now();
    let mut ledger = CrashLedger::default();
    for (id, ms) in [(1, 0), (2, 1_000), (3, 2_000)] {
        ledger.add_report(crash(start, id, ms, "dead"));
        ledger.add_report(crash(start, id + 10, ms + 30_000, "late"));
    }
    let held = ledger.held_parts(&HeldParts::default());
    let part = PartDigest::of;
    let both = digests("sound dead late");
    let judge = |parts: &[PartDigest], may_try, ms| held.judge(parts, may_try, at(start, ms));
    assert_eq!(judge(&digests("sound"), true, 63_000), HoldVerdict::Free);
    assert_eq!(judge(&both, true, 63_000), HoldVerdict::Held(part("late")));
    assert_eq!(
        judge(&digests("dead"), false, 63_000),
        HoldVerdict::Held(part("dead")),
        "another entry lets requests through"
    );
    assert_eq!(
        judge(&digests("dead"), true, 63_000),
        HoldVerdict::Trial(part("dead"))
    );
    assert_eq!(
        judge(&both, true, 93_000),
        HoldVerdict::Held(part("dead")),
        "its trial is under way"
    );
    assert_eq!(
        judge(&both, true, 123_000),
        HoldVerdict::Trial(part("dead"))
    );
    assert_eq!(
        judge(&digests("late"), true, 123_000),
        HoldVerdict::Held(part("late"))
    );
}

/// One request is let through after a time that grows with each crash; an answer that
/// goes on ends the verdict.
#[test]
fn verdict_ends_by_a_trial() {
    let start = Instant::now();
    let mut ledger = CrashLedger::default();
    for report in reports(start, &["dead", "dead", "dead"]) {
        ledger.add_report(report);
    }
    let verdict = ledger.held_parts(&HeldParts::default());
    let part = verdict.find(&digests("dead")).expect("it is held back");
    assert!(!part.claim_trial(at(start, 60_000)));
    assert!(part.claim_trial(at(start, 64_000)));
    assert!(!part.claim_trial(at(start, 64_000)), "only one trial");
    ledger.add_report(crash(start, 9, 64_500, "other"));
    let same = ledger.held_parts(&verdict);
    let part = same.find(&digests("dead")).expect("it is held back");
    assert!(
        !part.claim_trial(at(start, 65_000)),
        "the trial is still under way"
    );
    assert!(
        part.claim_trial(at(start, 124_000)),
        "the trial may have been lost"
    );
    ledger.add_report(crash(start, 4, 64_000, "dead"));
    let again = ledger.held_parts(&same);
    let part = again.find(&digests("dead")).expect("it is held back");
    assert!(!part.claim_trial(at(start, 600_000)));
    assert!(part.claim_trial(at(start, 665_000)));
    let acquitted = acquittal(start, 665_000, "dead");
    assert!(
        ledger.acquit(acquitted),
        "the verdict is to be judged again"
    );
    assert!(!ledger.acquit(acquitted));
    assert!(!ledger.acquit(acquittal(start, 1, "unreported")));
    assert!(ledger.held_parts(&again).is_empty());
}

#[test]
fn number_of_reports_is_bounded() {
    let start = Instant::now();
    let mut ledger = CrashLedger::default();
    for id in 0..10 * REPORTS_MAX as u64 {
        ledger.add_report(crash(start, id, id, &format!("p{id}")));
    }
    assert_eq!(ledger.evidence(&[]).reports.len(), REPORTS_MAX);
}

#[rstest]
#[case::waiting(None, None, false)]
#[case::head_only(Some(900), None, true)]
#[case::just_begun(Some(100), Some(90), true)]
#[case::under_way(Some(900), Some(890), false)]
fn only_an_answer_that_has_just_begun_accuses(
    #[case] head_ms: Option<u64>,
    #[case] first_event_ms: Option<u64>,
    #[case] expected: bool,
) {
    let now = Instant::now() + Duration::from_secs(10);
    let ago = |ms: u64| now - Duration::from_millis(ms);
    let progress = AnswerProgress {
        head_at: head_ms.map(ago),
        first_event_at: first_event_ms.map(ago),
    };
    assert_eq!(progress.is_beginning(now), expected);
}

proptest! {
    /// Evidence arrives by several roads, in any order and more than once.
    #[test]
    fn order_and_repetition_of_evidence_do_not_matter(
        crashes in prop::collection::vec((0_u64..40, 0_u64..8_000, 0_usize..4), 0..20),
        acquitted in prop::collection::vec((0_u64..8_000, 0_usize..4), 0..5),
        order in any::<prop::sample::Index>(),
    ) {
        let start = Instant::now();
        let parts = ["first dead", "first a", "b", "first b dead"];
        let names = ["first", "dead", "a", "b"];
        let mut reports: Vec<CrashReport> = crashes
            .iter()
            .map(|(id, ms, part)| crash(start, *id, *ms, parts[*part]))
            .collect();
        reports.sort_by_key(|report| report.id);
        reports.dedup_by_key(|report| report.id);
        let acquittals: Vec<PartAcquittal> = acquitted
            .iter()
            .map(|(ms, part)| acquittal(start, *ms, names[*part]))
            .collect();
        let mut once = CrashLedger::default();
        once.merge(CrashEvidence { reports: reports.clone(), acquittals: acquittals.clone() });
        let mut often = CrashLedger::default();
        if !reports.is_empty() {
            let middle = order.index(reports.len());
            reports.rotate_left(middle);
        }
        for report in reports.iter().chain(&reports) {
            often.merge(CrashEvidence { reports: vec![report.clone()], acquittals: Vec::new() });
        }
        for acquittal in acquittals.iter().rev().chain(&acquittals) {
            often.acquit(*acquittal);
        }
        prop_assert_eq!(held(&once), held(&often));
        prop_assert_eq!(once.evidence(&[]), often.evidence(&[]));
    }
}
