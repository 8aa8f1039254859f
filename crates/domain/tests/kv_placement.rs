//! Which server gets a request, and where its copy lies.

use std::{sync::Arc, time::Duration};

use domain::{
    FailureDomain, ServerName, ServiceName,
    kv_placement::{
        CopyState, CopyStep, LoadReport, PlacementQuery, TokenCounts, pick_backup, pick_server,
    },
    prompt_cache::CachedPrompt,
    server_registry::{RegisteredServer, ServerRecord, ServerRegistry, ServerState, WorkSize},
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::Instant;

const KV_TOTAL: u64 = 88_000;
const PROMPT: TokenCounts = TokenCounts {
    prompt: 8_000,
    output: 900,
};

/// Servers `a0`, `a1`, … of as many failure domains as there are counts.
fn servers(counts: &[u16]) -> ServerRegistry {
    let mut records = Vec::new();
    for (domain, count) in (0_u8..).zip(counts) {
        let name = char::from(b'a' + domain);
        for index in 0..*count {
            records.push(ServerRecord {
                instance: ServerName::from(format!("{name}{index}")),
                service: ServiceName::from("pool"),
                address: ([10, 0, 0, domain], index).into(),
                domain: FailureDomain::from(name.to_string()),
                slots: 64,
                state: ServerState::Ready,
                started_ms: 1,
            });
        }
    }
    let mut registry = ServerRegistry::default();
    registry.replace(&records, Instant::now());
    registry
}

fn server(registry: &ServerRegistry, name: &str) -> Arc<RegisteredServer> {
    let found = registry
        .all()
        .find(|server| server.record().instance.as_str() == name);
    Arc::clone(found.expect("a server of that name"))
}

fn query(
    own_domain: &FailureDomain,
    tokens: Option<TokenCounts>,
    now: Instant,
) -> PlacementQuery<'_> {
    PlacementQuery {
        tokens,
        kv_capacity: KV_TOTAL,
        cached: None,
        own_domain,
        tried: &[],
        now,
    }
}

fn pick(registry: &ServerRegistry, tokens: Option<TokenCounts>, now: Instant) -> String {
    let own_domain = FailureDomain::from("a");
    let query = query(&own_domain, tokens, now);
    let mut rng = SmallRng::seed_from_u64(7);
    pick_server(
        registry.servers(&ServiceName::from("pool")),
        &query,
        &mut rng,
    )
    .map(|server| server.record().instance.to_string())
    .unwrap_or_default()
}

/// A prompt of 8,000 tokens takes a second to read: more than another failure
/// domain costs, less than the prompts of two others.
#[rstest]
#[case::idle(0, "b0")]
#[case::busy(4_000, "b0")]
#[case::crowded(16_000, "a0")]
#[tokio::test(start_paused = true)]
async fn prompt_goes_where_its_memory_is(#[case] reading_there: u64, #[case] expected: &str) {
    let registry = servers(&[1, 1]);
    let holder = server(&registry, "b0");
    let _busy = holder.reserve(reading(reading_there));
    let own_domain = FailureDomain::from("a");
    let query = PlacementQuery {
        cached: Some(CachedPrompt {
            address: holder.record().address,
            tokens: 8_000,
        }),
        ..query(&own_domain, Some(PROMPT), Instant::now())
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let servers = registry.servers(&ServiceName::from("pool"));
    let picked = pick_server(servers, &query, &mut rng).expect("a server");
    assert_eq!(picked.record().instance.as_str(), expected);
}

fn reading(tokens: u64) -> WorkSize {
    WorkSize {
        requests: 1,
        prompt_tokens: tokens,
        kv_tokens: tokens,
    }
}

#[tokio::test(start_paused = true)]
async fn prompt_goes_where_the_least_is_still_to_be_read() {
    let registry = servers(&[3]);
    let _first = server(&registry, "a0").reserve(reading(8_000));
    let _second = server(&registry, "a2").reserve(reading(2_000));
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "a1");
    let _third = server(&registry, "a1").reserve(reading(4_000));
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "a2");
}

#[tokio::test(start_paused = true)]
async fn own_domain_is_left_only_for_a_shorter_wait() {
    let registry = servers(&[1, 1]);
    let mut work = server(&registry, "a0").reserve(reading(3_000));
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "a0");
    let _more = server(&registry, "a0").reserve(reading(2_500));
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "b0");
    work.finish_prefill();
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "a0");
}

#[tokio::test(start_paused = true)]
async fn full_memory_counts_though_slots_are_free() {
    let registry = servers(&[1, 1]);
    let _copies = server(&registry, "a0").reserve(WorkSize {
        kv_tokens: 70_000,
        ..WorkSize::default()
    });
    assert_eq!(pick(&registry, Some(PROMPT), Instant::now()), "b0");
}

/// A failure domain goes dark: its other servers are doubted with those that
/// failed, though this process met few of many, until the servers that started
/// again are surely in the list, or one of them answers.
#[rstest]
#[case::half_of_them(&[4, 4])]
#[case::few_of_many(&[20, 20])]
#[tokio::test(start_paused = true)]
async fn domain_that_seems_lost_is_left(#[case] counts: &[u16]) {
    let registry = servers(counts);
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let pause = Duration::from_millis(400);
    server(&registry, "a0").note_failure(after(0), pause);
    assert!(pick(&registry, Some(PROMPT), after(1)).starts_with('a'));
    server(&registry, "a1").note_failure(after(1), pause);
    assert!(pick(&registry, Some(PROMPT), after(2)).starts_with('b'));
    assert!(pick(&registry, Some(PROMPT), after(2_499)).starts_with('b'));
    assert!(pick(&registry, Some(PROMPT), after(2_502)).starts_with('a'));
    server(&registry, "a1").note_response(after(500));
    assert!(pick(&registry, Some(PROMPT), after(501)).starts_with('a'));
}

/// Two servers that fail among others that answer say nothing of their domain.
#[tokio::test(start_paused = true)]
async fn domain_with_more_living_servers_is_kept() {
    let registry = servers(&[20, 20]);
    let now = Instant::now() + Duration::from_millis(10);
    for name in ["a2", "a3"] {
        server(&registry, name).note_response(now);
    }
    for name in ["a0", "a1"] {
        server(&registry, name).note_failure(now, Duration::from_millis(400));
    }
    assert!(pick(&registry, Some(PROMPT), now).starts_with('a'));
}

#[tokio::test(start_paused = true)]
async fn suspect_server_is_better_than_none() {
    let registry = servers(&[1]);
    let now = Instant::now();
    server(&registry, "a0").note_failure(now, Duration::from_secs(1));
    assert_eq!(pick(&registry, Some(PROMPT), now), "a0");
    server(&registry, "a0").note_misdirected();
    assert_eq!(pick(&registry, Some(PROMPT), now), "");
}

#[tokio::test(start_paused = true)]
async fn fresh_report_of_a_slow_server_sends_a_call_elsewhere() {
    let registry = servers(&[1, 1]);
    let now = Instant::now();
    assert_eq!(pick(&registry, None, now), "a0");
    let report = LoadReport {
        running: 6,
        waiting: 4,
        slots: 6,
        service_time_percent: 250,
    };
    server(&registry, "a0").note_report(report, now);
    assert_eq!(pick(&registry, None, now), "b0");
    assert_eq!(pick(&registry, None, now + Duration::from_secs(1)), "a0");
}

#[tokio::test(start_paused = true)]
async fn entries_do_not_herd_on_equals() {
    let registry = servers(&[8]);
    let own_domain = FailureDomain::from("a");
    let query = query(&own_domain, Some(PROMPT), Instant::now());
    let pool = ServiceName::from("pool");
    let mut picked: Vec<String> = (0..64)
        .filter_map(|seed| {
            let mut rng = SmallRng::seed_from_u64(seed);
            pick_server(registry.servers(&pool), &query, &mut rng)
        })
        .map(|server| server.record().instance.to_string())
        .collect();
    picked.sort_unstable();
    picked.dedup();
    assert!(picked.len() >= 6, "{picked:?}");
}

#[rstest]
#[case(&[3, 3], Some('b'))]
#[case(&[3], Some('a'))]
#[case(&[1], None)]
#[tokio::test(start_paused = true)]
async fn copy_lies_in_another_failure_domain(
    #[case] counts: &[u16],
    #[case] expected: Option<char>,
) {
    let registry = servers(counts);
    let primary = server(&registry, "a0");
    let own_domain = FailureDomain::from("a");
    let query = query(&own_domain, Some(PROMPT), Instant::now());
    let pool = ServiceName::from("pool");
    // The order of the list and the draw must not matter.
    for seed in 0..32 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let holder = pick_backup(registry.servers(&pool), &query, &primary, &mut rng);
        let domain = holder.and_then(|holder| holder.record().domain.as_str().chars().next());
        assert_eq!(domain, expected, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn lost_copy_is_made_anew_and_kept() {
    let now = Instant::now();
    assert_eq!(CopyState::BackedUp.next_step(true, now), CopyStep::Wait);
    assert_eq!(CopyState::BackedUp.next_step(false, now), CopyStep::Place);
    let moved = CopyState::Copied(now);
    let before = now + Duration::from_millis(3_299);
    let after = now + Duration::from_millis(3_300);
    assert_eq!(moved.next_step(true, before), CopyStep::Wait);
    assert_eq!(moved.next_step(true, after), CopyStep::Refresh);
    assert_eq!(moved.next_step(false, before), CopyStep::Place);
    let failed = CopyState::after_failure(now);
    assert_eq!(failed.next_step(false, now), CopyStep::Wait);
    assert_eq!(failed.next_step(false, after), CopyStep::Place);
}
