//! Server selection, load reports and the slot limiter.

use std::{collections::HashSet, sync::Arc, time::Duration};

use domain::{
    FailureDomain, PoolName, ServerName, WorkClass,
    backend_server::{
        P2cSelector, RandomSelector, SelectionQuery, ServerAddresses, ServerKind, ServerLoad,
        ServerNode, ServerSelector, ServerSet, ServerSpec, SlotLimiter, SlotLimits,
    },
    generation_stream::HeartbeatSchedule,
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

fn set(numbers: impl Iterator<Item = usize>, process: &str, now: Instant) -> ServerSet {
    let specs: Vec<ServerSpec> = numbers.map(|number| spec(number, 5)).collect();
    ServerSet::new(&specs, &ServerSet::default(), now).with_subsets(process)
}

fn subset(set: &ServerSet) -> HashSet<ServerName> {
    let pool = set.pool(&pool()).expect("the pool has servers");
    pool.subset()
        .iter()
        .map(|node| node.spec().name.clone())
        .collect()
}

fn select(
    set: &ServerSet,
    selector: &impl ServerSelector,
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
    let selected = set.select(selector, &query, rng);
    Arc::clone(selected.expect("a server is selected"))
}

fn record_gaps(node: &ServerNode, gap: Duration, now: Instant) {
    for _ in 0..64 {
        node.record_token_gap(gap, now);
    }
}

#[test]
fn subset_is_spread_over_domains_and_stable() {
    let now = Instant::now();
    let before = subset(&set(0..1_400, "entry-7", now));
    assert_eq!(before.len(), ServerSet::SUBSET_SIZE);
    for domain in 0..5 {
        let suffix = |name: &ServerName| name.as_str()["writer-".len()..].parse::<usize>();
        let in_domain = before
            .iter()
            .filter(|name| suffix(name).is_ok_and(|number| number % 5 == domain));
        assert_eq!(in_domain.count(), ServerSet::SUBSET_SIZE / 5);
    }
    // 20 servers are removed and 20 added; each changes at most one member.
    let after = subset(&set(20..1_420, "entry-7", now));
    let gone = before.iter().filter(|name| !after.contains(*name)).count();
    assert!(gone <= 40, "{gone} servers left the subset");
    let other = subset(&set(0..1_400, "entry-8", now));
    assert_ne!(before, other, "two entries have the same subset");
}

#[test]
fn requests_are_spread_evenly() {
    let now = Instant::now();
    let set = set(0..60, "entry-1", now);
    let mut rng = SmallRng::seed_from_u64(7);
    let guards: Vec<_> = (0..600)
        .map(|_| select(&set, &P2cSelector, &mut rng, now).begin_request())
        .collect();
    let inflight = set.nodes().iter().map(|node| node.inflight());
    let most = inflight.max().unwrap_or_default();
    assert_eq!(guards.len(), 600);
    assert!(
        most <= 13,
        "a server has {most} requests in flight; the average is 10"
    );
}

#[test]
fn requests_of_a_failed_domain_are_spread_over_the_others() {
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
        .map(|_| select(&set, &P2cSelector, &mut rng, now).begin_request())
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
async fn slow_server_is_detected_by_comparison_with_peers(
    #[case] gap: Duration,
    #[case] is_avoided: bool,
) {
    let set = set(0..5, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_millis(100)).await;
    let now = Instant::now();
    for (index, node) in set.nodes().iter().enumerate() {
        record_gaps(node, if index == 0 { gap } else { GAP }, now);
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let slow = set.nodes()[0].spec().name.clone();
    let count = |rng: &mut SmallRng, now| {
        let selected = (0..200).map(|_| select(&set, &P2cSelector, rng, now));
        selected.filter(|node| node.spec().name == slow).count()
    };
    let before = count(&mut rng, now);
    assert_eq!(before == 0, is_avoided, "selected {before} of 200 times");
    // After a period without tokens exactly one trial request is sent to it.
    tokio::time::advance(Duration::from_secs(1)).await;
    let trials = count(&mut rng, Instant::now());
    assert_eq!(trials == 1, is_avoided, "selected {trials} of 200 times");
}

#[tokio::test(start_paused = true)]
async fn slow_half_of_the_servers_is_avoided() {
    let set = set(0..4, "entry-1", Instant::now());
    let now = Instant::now();
    for (index, node) in set.nodes().iter().enumerate() {
        record_gaps(node, if index < 2 { GAP * 50 } else { GAP }, now);
    }
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        let node = select(&set, &P2cSelector, &mut rng, now);
        assert_eq!(node.token_gap(), GAP);
    }
}

/// Agents report load changes on open streams. With an open stream a report is
/// valid until the next periodic one is due; without one it expires sooner.
#[rstest]
#[case::stream_open(true, HeartbeatSchedule::LOAD_REFRESH_INTERVAL, Duration::from_secs(1))]
#[case::no_stream(false, Duration::from_secs(1), Duration::from_millis(10))]
#[tokio::test(start_paused = true)]
async fn load_reports_expire(
    #[case] is_open: bool,
    #[case] valid_for: Duration,
    #[case] beyond: Duration,
) {
    let set = set(0..2, "entry-1", Instant::now());
    let now = Instant::now();
    let open: Vec<_> = set
        .nodes()
        .iter()
        .filter(|_| is_open)
        .map(ServerNode::begin_request)
        .collect();
    for (index, node) in set.nodes().iter().enumerate() {
        let in_flight = if index == 0 { 8 } else { open.len() as u32 / 2 };
        node.record_load(
            ServerLoad {
                in_flight,
                slots: 8,
            },
            now,
        );
    }
    let mut rng = SmallRng::seed_from_u64(7);
    let busy = set.nodes()[0].spec().name.clone();
    let mut count = |now| {
        let selected = (0..100).map(|_| select(&set, &P2cSelector, &mut rng, now));
        selected.filter(|node| node.spec().name == busy).count()
    };
    assert_eq!(count(now), 0, "the busy server is selected");
    tokio::time::advance(valid_for).await;
    assert_eq!(count(Instant::now()), 0, "a valid report is ignored");
    tokio::time::advance(beyond).await;
    assert!(count(Instant::now()) > 0, "an expired report is still used");
}

#[test]
fn prefix_holder_is_preferred_up_to_a_load_bound() {
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
    let mut select_for_prefix = || {
        let selected = set.select(&P2cSelector, &query, &mut rng);
        Arc::clone(selected.expect("a server is selected"))
    };
    let holder = select_for_prefix();
    for _ in 0..20 {
        assert_eq!(select_for_prefix().spec().name, holder.spec().name);
    }
    let busy: Vec<_> = (0..12).map(|_| holder.begin_request()).collect();
    assert_eq!(busy.len(), 12);
    for _ in 0..20 {
        assert_ne!(
            select_for_prefix().spec().name,
            holder.spec().name,
            "above the load bound"
        );
    }
}

#[rstest]
#[case::p2c(P2cSelector)]
#[case::random(RandomSelector)]
fn leaving_server_is_never_selected(#[case] selector: impl ServerSelector) {
    let now = Instant::now();
    let set = set(0..3, "entry-1", now);
    set.nodes()[1].set_leaving(true);
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let node = select(&set, &selector, &mut rng, now);
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
    assert!(set.select(&selector, &query, &mut rng).is_none());
}

#[tokio::test(start_paused = true)]
async fn server_of_a_straggler_is_avoided_at_once() {
    let set = set(0..5, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_millis(100)).await;
    let now = Instant::now();
    for node in set.nodes() {
        record_gaps(node, GAP, now);
    }
    let slow = &set.nodes()[0];
    slow.record_straggler(GAP * 5, now);
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        let node = select(&set, &P2cSelector, &mut rng, now);
        assert_ne!(node.spec().name, slow.spec().name);
    }
}

#[rstest]
#[case::three_times_slower(GAP * 3, 2)]
#[case::ten_times_slower(GAP * 10, 4)]
#[tokio::test(start_paused = true)]
async fn recovered_server_is_not_slow_after_a_few_tokens(
    #[case] gap: Duration,
    #[case] tokens: u32,
) {
    let now = Instant::now();
    let node = ServerNode::new(spec(0, 5), now);
    record_gaps(&node, gap, now);
    assert!(node.is_slow(Some(GAP)));
    for _ in 0..tokens {
        node.record_token_gap(GAP, now);
    }
    assert!(!node.is_slow(Some(GAP)), "{:?}", node.token_gap());
}

#[tokio::test(start_paused = true)]
async fn move_never_selects_a_slow_server() {
    let set = set(0..4, "entry-1", Instant::now());
    tokio::time::advance(Duration::from_secs(10)).await;
    let now = Instant::now();
    for (index, node) in set.nodes().iter().enumerate() {
        record_gaps(node, if index < 2 { GAP * 5 } else { GAP }, now);
    }
    // A trial request is due by now, but moves are never used for trials.
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
        let node = node.expect("two servers are not slow");
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
async fn refused_long_work_reserves_slots() {
    tokio::time::advance(Duration::from_secs(5)).await;
    let limits = SlotLimits {
        long_milli: 500,
        long_floor_milli: 250,
        queue_milli: 500,
    };
    let limiter = Arc::new(SlotLimiter::new(Some(limits), Instant::now()));
    limiter.set_slots(4);
    tokio::time::advance(Duration::from_secs(5)).await;
    let now = Instant::now();
    let mut short: Vec<_> = (0..6)
        .map(|_| {
            limiter
                .try_acquire(WorkClass::Short, now)
                .expect("no slot is reserved for long work")
        })
        .collect();
    assert!(
        limiter.try_acquire(WorkClass::Long, now).is_err(),
        "all slots are in use"
    );
    short.truncate(3);
    assert!(
        limiter.try_acquire(WorkClass::Short, now).is_err(),
        "slots are reserved for long work"
    );
    let long = limiter.try_acquire(WorkClass::Long, now);
    assert!(long.is_ok(), "a slot is reserved for long work");
    assert!(
        limiter.try_acquire(WorkClass::Short, now).is_ok(),
        "long work has its reserved slot"
    );
    drop(long);
    short.clear();
    tokio::time::advance(Duration::from_secs(2)).await;
    let later = Instant::now();
    let again = (0..6).filter_map(|_| limiter.try_acquire(WorkClass::Short, later).ok());
    assert_eq!(
        again.collect::<Vec<_>>().len(),
        6,
        "the reservation has expired"
    );
}

proptest! {
    #[test]
    fn long_work_never_uses_slots_reserved_for_short_work(
        slots in 1..40_u32,
        long_milli in 1..=1_000_u32,
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<prop::sample::Index>()), 0..300),
    ) {
        let limits = SlotLimits { long_milli, long_floor_milli: long_milli / 2, queue_milli: 500 };
        let now = Instant::now();
        let limiter = Arc::new(SlotLimiter::new(Some(limits), now));
        limiter.set_slots(slots);
        let mut permits = Vec::new();
        let mut long_in_flight = 0_u32;
        for (acquires, is_long, index) in steps {
            if !acquires && !permits.is_empty() {
                let (_, was_long) = permits.swap_remove(index.index(permits.len()));
                long_in_flight -= u32::from(was_long);
                continue;
            }
            let class = if is_long { WorkClass::Long } else { WorkClass::Short };
            if let Ok(permit) = limiter.try_acquire(class, now) {
                permits.push((permit, is_long));
                long_in_flight += u32::from(is_long);
            }
            prop_assert!(long_in_flight <= (slots * long_milli / 1_000).max(1));
            prop_assert!(permits.len() as u32 <= slots + (slots / 2).max(1));
            prop_assert_eq!(limiter.in_flight(), permits.len() as u32);
        }
        drop(permits);
        prop_assert_eq!(limiter.in_flight(), 0);
    }
}
