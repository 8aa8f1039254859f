//! Choices spread, avoid what is slow, and come back to it.

use std::{collections::HashSet, sync::Arc, time::Duration};

use domain::{
    FailureDomain, PoolName, ServerName, WorkClass,
    backend_server::{
        LoadReport, P2cSelector, RandomSelector, SelectionQuery, ServerAddresses, ServerKind,
        ServerNode, ServerSelector, ServerSet, ServerSpec, SlotLimiter, SlotLimits,
    },
    generation_stream::BeatPace,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::Instant;

const GAP: Duration = Duration::from_millis(10);

fn spec(number: usize, domains: usize) -> ServerSpec {
    let address = "127.0.0.1:1".parse().expect("a constant address");
    ServerSpec {
        name: ServerName::from(format!("writer-{number}")),
        pool: pool(),
        domain: FailureDomain::from(format!("domain-{}", number % domains)),
        kind: ServerKind::Engine,
        addresses: ServerAddresses {
            stream: address,
            control: address,
        },
    }
}

fn pool() -> PoolName {
    PoolName::from("writer-pool")
}

fn set(numbers: impl Iterator<Item = usize>, viewer: &str, now: Instant) -> ServerSet {
    let specs: Vec<ServerSpec> = numbers.map(|number| spec(number, 5)).collect();
    ServerSet::new(&specs, &ServerSet::default(), now).with_subsets(viewer)
}

fn subset(set: &ServerSet) -> HashSet<ServerName> {
    let pool = set.pool(&pool()).expect("the pool has servers");
    pool.subset()
        .iter()
        .map(|node| node.spec().name.clone())
        .collect()
}

fn choose(
    set: &ServerSet,
    choice: &impl ServerSelector,
    rng: &mut impl Rng,
    now: Instant,
) -> Arc<ServerNode> {
    let query = SelectionQuery {
        pool: &pool(),
        exclude: &[],
        prefix: None,
        is_move: false,
        now,
    };
    let chosen = set.select(choice, &query, rng);
    Arc::clone(chosen.expect("a server is free"))
}

fn measure_gap(node: &ServerNode, gap: Duration, now: Instant) {
    for _ in 0..64 {
        node.record_token_gap(gap, now);
    }
}

#[test]
fn subset_spreads_over_domains_and_changes_little() {
    let now = Instant::now();
    let whole = subset(&set(0..1_400, "entry-7", now));
    assert_eq!(whole.len(), ServerSet::SUBSET_SIZE);
    for domain in 0..5 {
        let suffix = |name: &ServerName| name.as_str()["writer-".len()..].parse::<usize>();
        let in_domain = whole
            .iter()
            .filter(|name| suffix(name).is_ok_and(|number| number % 5 == domain));
        assert_eq!(in_domain.count(), ServerSet::SUBSET_SIZE / 5);
    }
    // Twenty servers go and twenty come: each changes one place at most.
    let after = subset(&set(20..1_420, "entry-7", now));
    let gone = whole.iter().filter(|name| !after.contains(*name)).count();
    assert!(gone <= 40, "{gone} of the subset changed");
    let other = subset(&set(0..1_400, "entry-8", now));
    assert_ne!(whole, other, "all entries use the same servers");
}

#[test]
fn requests_do_not_herd() {
    let now = Instant::now();
    let set = set(0..60, "entry-1", now);
    let mut rng = SmallRng::seed_from_u64(7);
    let guards: Vec<_> = (0..600)
        .map(|_| choose(&set, &P2cSelector, &mut rng, now).begin())
        .collect();
    let inflight = set.nodes().iter().map(|node| node.inflight());
    let most = inflight.max().unwrap_or_default();
    assert_eq!(guards.len(), 600);
    assert!(most <= 13, "a server holds {most} where ten are its share");
}

#[test]
fn lost_domain_is_absorbed_by_all_others() {
    let now = Instant::now();
    let set = set(0..60, "entry-1", now);
    for node in set.nodes() {
        if node.spec().domain.as_str() == "domain-3" {
            node.record_failure();
            node.record_failure();
        }
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let guards: Vec<_> = (0..480)
        .map(|_| choose(&set, &P2cSelector, &mut rng, now).begin())
        .collect();
    assert_eq!(guards.len(), 480);
    for node in set.nodes() {
        let most = if node.is_suspect() { 0 } else { 13 };
        assert!(node.inflight() <= most, "{:?}", node.spec().name);
    }
}

#[rstest]
#[case::as_fast_as_its_peers(GAP, false)]
#[case::a_little_slower(GAP * 3 / 2, false)]
#[case::three_times_slower(GAP * 3, true)]
#[case::ten_times_slower(GAP * 10, true)]
#[tokio::test(start_paused = true)]
async fn slowed_server_is_found_by_its_peers(#[case] gap: Duration, #[case] is_avoided: bool) {
    let set = set(0..5, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_millis(100)).await;
    let now = Instant::now();
    for (at, node) in set.nodes().iter().enumerate() {
        measure_gap(node, if at == 0 { gap } else { GAP }, now);
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let slowed = set.nodes()[0].spec().name.clone();
    let count = |rng: &mut SmallRng, now| {
        let chosen = (0..200).map(|_| choose(&set, &P2cSelector, rng, now));
        chosen.filter(|node| node.spec().name == slowed).count()
    };
    let before = count(&mut rng, now);
    assert_eq!(before == 0, is_avoided, "chosen {before} times of 200");
    // After a pause without tokens one request tries it again, and only one.
    tokio::time::advance(Duration::from_secs(1)).await;
    let trials = count(&mut rng, Instant::now());
    assert_eq!(trials == 1, is_avoided, "chosen {trials} times of 200");
}

#[tokio::test(start_paused = true)]
async fn half_of_the_servers_may_be_slowed() {
    let set = set(0..4, "entry-1", Instant::now());
    let now = Instant::now();
    for (at, node) in set.nodes().iter().enumerate() {
        measure_gap(node, if at < 2 { GAP * 50 } else { GAP }, now);
    }
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        let chosen = choose(&set, &P2cSelector, &mut rng, now);
        assert_eq!(chosen.token_gap(), GAP);
    }
}

/// Reports tell changes on open streams: with one open an unchanged report
/// counts for as long as it may go untold, without one it is soon old.
#[rstest]
#[case::stream_open(true, BeatPace::LOAD_REFRESH, Duration::from_secs(1))]
#[case::no_stream(false, Duration::from_secs(1), Duration::from_millis(10))]
#[tokio::test(start_paused = true)]
async fn reports_of_others_count_until_they_are_old(
    #[case] is_open: bool,
    #[case] in_force: Duration,
    #[case] beyond: Duration,
) {
    let set = set(0..2, "entry-1", Instant::now());
    let now = Instant::now();
    let open: Vec<_> = set
        .nodes()
        .iter()
        .filter(|_| is_open)
        .map(ServerNode::begin)
        .collect();
    for (at, node) in set.nodes().iter().enumerate() {
        let held = if at == 0 { 8 } else { open.len() as u32 / 2 };
        node.record_report(LoadReport { held, slots: 8 }, now);
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let busy = set.nodes()[0].spec().name.clone();
    let mut count = |now| {
        let chosen = (0..100).map(|_| choose(&set, &P2cSelector, &mut rng, now));
        chosen.filter(|node| node.spec().name == busy).count()
    };
    assert_eq!(count(now), 0, "two draws see both servers");
    tokio::time::advance(in_force).await;
    assert_eq!(count(Instant::now()), 0, "a report in force is forgotten");
    tokio::time::advance(beyond).await;
    assert!(count(Instant::now()) > 0, "an old report counts for ever");
}

#[test]
fn prefix_goes_to_one_server_within_a_bound() {
    let now = Instant::now();
    let set = set(0..8, "entry-1", now);
    let pool = pool();
    let query = SelectionQuery {
        pool: &pool,
        exclude: &[],
        prefix: Some(42),
        is_move: false,
        now,
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let mut first = || {
        let chosen = set.select(&P2cSelector, &query, &mut rng);
        Arc::clone(chosen.expect("a server is free"))
    };
    let holder = first();
    for _ in 0..20 {
        assert_eq!(first().spec().name, holder.spec().name);
    }
    let busy: Vec<_> = (0..12).map(|_| holder.begin()).collect();
    assert_eq!(busy.len(), 12);
    for _ in 0..20 {
        assert_ne!(first().spec().name, holder.spec().name, "above the bound");
    }
}

#[rstest]
#[case::weighted(P2cSelector)]
#[case::random(RandomSelector)]
fn leaving_server_is_never_chosen(#[case] choice: impl ServerSelector) {
    let now = Instant::now();
    let set = set(0..3, "entry-1", now);
    set.nodes()[1].set_leaving(true);
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let node = choose(&set, &choice, &mut rng, now);
        assert_ne!(node.spec().name, set.nodes()[1].spec().name);
    }
    set.nodes()[0].set_leaving(true);
    set.nodes()[2].set_leaving(true);
    let pool = pool();
    let query = SelectionQuery {
        pool: &pool,
        exclude: &[],
        prefix: None,
        is_move: false,
        now,
    };
    assert!(set.select(&choice, &query, &mut rng).is_none());
}

#[tokio::test(start_paused = true)]
async fn generation_does_not_come_straight_back_to_a_slow_server() {
    let set = set(0..5, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_millis(100)).await;
    let now = Instant::now();
    for node in set.nodes() {
        measure_gap(node, GAP, now);
    }
    let slow = &set.nodes()[0];
    slow.record_straggler(GAP * 5, now);
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        let node = choose(&set, &P2cSelector, &mut rng, now);
        assert_ne!(node.spec().name, slow.spec().name);
    }
}

#[rstest]
#[case::three_times_slower(GAP * 3, 2)]
#[case::ten_times_slower(GAP * 10, 4)]
#[tokio::test(start_paused = true)]
async fn server_that_is_well_again_is_used_after_few_tokens(
    #[case] gap: Duration,
    #[case] tokens: u32,
) {
    let now = Instant::now();
    let node = ServerNode::new(spec(0, 5), now);
    measure_gap(&node, gap, now);
    assert!(node.is_slow(Some(GAP)));
    for _ in 0..tokens {
        node.record_token_gap(GAP, now);
    }
    assert!(!node.is_slow(Some(GAP)), "{:?}", node.token_gap());
}

#[tokio::test(start_paused = true)]
async fn move_goes_to_no_slowed_server() {
    let set = set(0..4, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_secs(10)).await;
    let now = Instant::now();
    for (at, node) in set.nodes().iter().enumerate() {
        measure_gap(node, if at < 2 { GAP * 5 } else { GAP }, now);
    }
    // Long enough without tokens for trials, which moves leave to new work.
    tokio::time::advance(Duration::from_secs(10)).await;
    let now = Instant::now();
    let pool = pool();
    let mut exclude = Vec::new();
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..2 {
        let query = SelectionQuery {
            pool: &pool,
            exclude: &exclude,
            prefix: None,
            is_move: true,
            now,
        };
        let node = set.select(&P2cSelector, &query, &mut rng);
        let node = node.expect("two servers are well");
        assert_eq!(node.token_gap(), GAP);
        let name = node.spec().name.clone();
        exclude.push(name);
    }
    let query = SelectionQuery {
        pool: &pool,
        exclude: &exclude,
        prefix: None,
        is_move: true,
        now,
    };
    assert!(set.select(&P2cSelector, &query, &mut rng).is_none());
}

#[tokio::test(start_paused = true)]
async fn short_work_leaves_slots_to_long_work_that_asks() {
    tokio::time::advance(Duration::from_secs(5)).await;
    let limits = SlotLimits {
        long_milli: 500,
        long_floor_milli: 250,
        queue_milli: 500,
    };
    let gate = Arc::new(SlotLimiter::new(Some(limits), Instant::now()));
    gate.set_slots(4);
    tokio::time::advance(Duration::from_secs(5)).await;
    let now = Instant::now();
    let mut short: Vec<_> = (0..6)
        .map(|_| {
            gate.try_acquire(WorkClass::Short, now)
                .expect("long work is absent")
        })
        .collect();
    assert!(
        gate.try_acquire(WorkClass::Long, now).is_err(),
        "all slots are held"
    );
    short.truncate(3);
    assert!(
        gate.try_acquire(WorkClass::Short, now).is_err(),
        "long work asked"
    );
    let long = gate.try_acquire(WorkClass::Long, now);
    assert!(long.is_ok(), "the slot was left to long work");
    assert!(
        gate.try_acquire(WorkClass::Short, now).is_ok(),
        "long work has its share"
    );
    drop(long);
    short.clear();
    tokio::time::advance(Duration::from_secs(2)).await;
    let later = Instant::now();
    let again = (0..6).filter_map(|_| gate.try_acquire(WorkClass::Short, later).ok());
    assert_eq!(again.collect::<Vec<_>>().len(), 6, "nothing asks any more");
}

proptest! {
    #[test]
    fn long_work_never_takes_short_works_slots(
        slots in 1..40_u32,
        long_milli in 1..=1_000_u32,
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<prop::sample::Index>()), 0..300),
    ) {
        let limits = SlotLimits { long_milli, long_floor_milli: long_milli / 2, queue_milli: 500 };
        let now = Instant::now();
        let gate = Arc::new(SlotLimiter::new(Some(limits), now));
        gate.set_slots(slots);
        let mut permits = Vec::new();
        let mut long_held = 0_u32;
        for (enters, is_long, at) in steps {
            if !enters && !permits.is_empty() {
                let (_, was_long) = permits.swap_remove(at.index(permits.len()));
                long_held -= u32::from(was_long);
                continue;
            }
            let class = if is_long { WorkClass::Long } else { WorkClass::Short };
            if let Ok(permit) = gate.try_acquire(class, now) {
                permits.push((permit, is_long));
                long_held += u32::from(is_long);
            }
            prop_assert!(long_held <= (slots * long_milli / 1_000).max(1));
            prop_assert!(permits.len() as u32 <= slots + (slots / 2).max(1));
            prop_assert_eq!(gate.held(), permits.len() as u32);
        }
        drop(permits);
        prop_assert_eq!(gate.held(), 0);
    }
}
