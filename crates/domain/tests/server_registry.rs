//! Registry contents across departures, restarts and store outages.

use std::time::Duration;

use domain::{
    FailureDomain, ServerName, ServiceName,
    kv_placement::LoadReport,
    server_registry::{
        AdoptionProof, RegistryChange, ServerRecord, ServerRegistry, ServerState, WorkSize,
    },
};
use tokio::time::Instant;

fn record(instance: &str, port: u16, started_ms: u64) -> ServerRecord {
    ServerRecord {
        instance: ServerName::from(instance),
        service: ServiceName::from("pool"),
        address: ([10, 0, 0, 1], port).into(),
        domain: FailureDomain::from("a"),
        slots: 8,
        state: ServerState::Ready,
        started_ms,
    }
}

fn present(record: ServerRecord) -> RegistryChange {
    RegistryChange::Present(record)
}

fn absent(instance: &str) -> RegistryChange {
    RegistryChange::Absent(ServerName::from(instance))
}

/// Checks the names of the instances that may receive requests.
#[track_caller]
fn check(registry: &ServerRegistry, expected: &[&str]) {
    let mut names: Vec<&str> = registry
        .ready_servers(&ServiceName::from("pool"))
        .iter()
        .flat_map(|group| &group.servers)
        .map(|server| server.record().instance.as_str())
        .collect();
    names.sort_unstable();
    assert_eq!(names, expected);
}

#[tokio::test(start_paused = true)]
async fn draining_and_removed_servers_get_no_requests() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(
        &[record("i1", 1, 5), record("i2", 2, 5), record("i3", 3, 5)],
        now,
    );
    check(&registry, &["i1", "i2", "i3"]);
    let mut leaving = record("i1", 1, 5);
    leaving.state = ServerState::Draining;
    registry.apply(&[present(leaving), absent("i2")], now);
    check(&registry, &["i3"]);
}

#[tokio::test(start_paused = true)]
async fn absent_server_is_kept_for_the_reregistration_grace() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    registry.store_recovered(now);
    registry.apply(&[absent("i1"), absent("i2")], now);
    check(&registry, &["i1", "i2"]);
    registry.apply(
        &[present(record("i2", 2, 5))],
        now + Duration::from_millis(1_999),
    );
    check(&registry, &["i1", "i2"]);
    assert!(registry.is_changed_by(&[], now + Duration::from_secs(2)));
    registry.apply(&[], now + Duration::from_secs(2));
    check(&registry, &["i2"]);
}

#[tokio::test(start_paused = true)]
async fn server_missing_from_a_listing_after_the_grace_is_removed_at_once() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    registry.store_recovered(now);
    registry.replace(&[record("i2", 2, 5)], now + Duration::from_secs(3));
    check(&registry, &["i2"]);
}

#[tokio::test(start_paused = true)]
async fn address_has_one_holder() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    registry.apply(&[present(record("new", 1, 9))], now);
    check(&registry, &["new"]);
    // A late registration of the earlier instance is ignored.
    registry.apply(&[present(record("old", 1, 5))], now);
    check(&registry, &["new"]);
    registry.apply(&[absent("old")], now);
    check(&registry, &["new"]);
}

#[tokio::test(start_paused = true)]
async fn restart_under_the_same_name_resets_counters() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    let server = registry.all().next().cloned().expect("one server");
    let _work = server.reserve(WorkSize {
        requests: 1,
        prompt_tokens: 100,
        kv_tokens: 100,
    });
    let mut changed = record("i1", 1, 5);
    changed.slots = 9;
    registry.apply(&[present(changed)], now);
    let updated = registry.all().next().expect("one server");
    assert_eq!((updated.running(), updated.record().slots), (1, 9));
    registry.apply(&[present(record("i1", 1, 6))], now);
    let restarted = registry.all().next().expect("one server");
    assert_eq!(restarted.running(), 0);
    assert!(!registry.is_current(&server));
}

#[tokio::test(start_paused = true)]
async fn unchanged_registration_has_no_effect() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    assert!(!registry.is_changed_by(&[present(record("i1", 1, 5)), absent("i9")], now));
    assert!(registry.is_changed_by(&[present(record("i1", 2, 5))], now));
    assert!(registry.is_changed_by(&[absent("i1")], now));
}

/// Servers restart during a store outage, and their 421 responses carry the names
/// of the new instances. Such an instance is adopted only if the previous one was
/// heard from within the address reuse time.
#[tokio::test(start_paused = true)]
async fn restarted_server_is_adopted_within_the_address_reuse_time() {
    let now = Instant::now();
    let recent = AdoptionProof::RecentLife(Duration::from_secs(2));
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    let old = registry.all().next().cloned().expect("one server");
    let new = || ServerName::from("new");
    assert!(
        !registry.adopt(&old, new(), recent, now),
        "no activity seen"
    );
    old.note_activity(now + Duration::from_millis(10));
    let late = now + Duration::from_millis(2_010);
    assert!(
        !registry.adopt(&old, new(), recent, late),
        "address may have been reassigned"
    );
    assert!(registry.adopt(&old, new(), recent, now + Duration::from_secs(1)));
    check(&registry, &["new"]);
    // The registration adds the start time of that instance and keeps its counters.
    let server = registry.all().next().cloned().expect("one server");
    registry.apply(&[present(record("new", 1, 9))], late);
    check(&registry, &["new"]);
    assert!(registry.is_current(&server));
}

/// A model that only one service serves is proof, however long the address was
/// silent.
#[tokio::test(start_paused = true)]
async fn server_with_a_unique_model_is_adopted_after_long_silence() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    let old = registry.all().next().cloned().expect("one server");
    let late = now + Duration::from_secs(60);
    let new = || ServerName::from("new");
    assert!(registry.adopt(&old, new(), AdoptionProof::OnlyModel, late));
    check(&registry, &["new"]);
    assert!(
        !registry.adopt(&old, new(), AdoptionProof::OnlyModel, late),
        "already known"
    );
}

#[tokio::test(start_paused = true)]
async fn consecutive_failures_extend_suspicion_and_a_response_ends_it() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    let server = registry.all().next().expect("one server");
    let base = Duration::from_millis(100);
    server.note_failure(now, base);
    assert!(server.is_suspect(now + Duration::from_millis(99)));
    assert!(!server.is_suspect(now + Duration::from_millis(100)));
    server.note_failure(now, base);
    assert!(server.is_suspect(now + Duration::from_millis(199)));
    server.note_response(now);
    assert!(!server.is_suspect(now));
}

#[tokio::test(start_paused = true)]
async fn last_report_is_returned_with_its_age() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    let server = registry.all().next().expect("one server");
    assert_eq!(server.report(now), None);
    let report = LoadReport {
        running: 3,
        waiting: 2,
        slots: 8,
        service_time_percent: 250,
    };
    server.note_report(report, now);
    let age = Duration::from_millis(70);
    assert_eq!(server.report(now + age), Some((report, age)));
}
