//! Registry contents across departures, restarts and store outages.

use std::time::Duration;

use domain::{
    FailureDomain, ServerName, ServerVersion, ServiceName,
    boot_instant::BootInstant,
    kv_placement::LoadReport,
    server_registry::{
        AdoptionProof, PAUSE_MAX, RecordFault, RegisteredServer, RegistryChange, ServerNotice,
        ServerRecord, ServerRegistry, ServerState, WorkSize,
    },
};
use rstest::rstest;
use tokio::time::Instant;

fn record(instance: &str, port: u16, started_ms: u64) -> ServerRecord {
    ServerRecord {
        instance: ServerName::from(instance),
        service: ServiceName::from("pool"),
        address: ([10, 0, 0, 1], port).into(),
        domain: FailureDomain::from("a"),
        version: ServerVersion::from("v1"),
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

/// A server that registered within the time that the store lost was dropped at once where
/// no call to the store had failed, though it registers again within two seconds.
#[tokio::test(start_paused = true)]
async fn server_missing_in_a_new_era_is_kept_for_the_reregistration_grace() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.begin_era(1.into(), now);
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    let returned_at = now + Duration::from_secs(60);
    registry.begin_era(2.into(), returned_at);
    registry.replace(&[record("i1", 1, 5)], returned_at);
    check(&registry, &["i1", "i2"]);
    registry.apply(&[], returned_at + Duration::from_millis(1_999));
    check(&registry, &["i1", "i2"]);
    registry.apply(&[], returned_at + Duration::from_secs(2));
    check(&registry, &["i1"]);
    // A listing of the same era gives no further grace.
    registry.begin_era(2.into(), returned_at + Duration::from_secs(9));
    registry.replace(&[], returned_at + Duration::from_secs(9));
    check(&registry, &[]);
}

/// A draining server got requests again because the store came back with an older
/// registration of it.
#[tokio::test(start_paused = true)]
async fn draining_server_is_not_ready_again_in_its_lifetime() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.begin_era(1.into(), now);
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    let mut draining = record("i1", 1, 5);
    draining.state = ServerState::Draining;
    registry.apply(&[present(draining)], now);
    registry.begin_era(2.into(), now);
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    check(&registry, &["i2"]);
    registry.apply(&[present(record("i1", 1, 6))], now);
    check(&registry, &["i1", "i2"]);
}

/// Servers that had left got requests again because the store came back with their
/// registrations.
#[tokio::test(start_paused = true)]
async fn removed_server_is_held_back_when_an_older_copy_lists_it() {
    let now = Instant::now();
    let seconds = |seconds| now + Duration::from_secs(seconds);
    let mut registry = ServerRegistry::default();
    registry.begin_era(1.into(), now);
    let names = [("i1", 1), ("i2", 2), ("i3", 3), ("i4", 4)];
    let mut listed: Vec<ServerRecord> = names.map(|(name, port)| record(name, port, 5)).into();
    registry.replace(&listed, now);
    let mut draining = record("i3", 3, 5);
    draining.state = ServerState::Draining;
    registry.apply(&[present(draining)], now);
    registry.apply(&[absent("i2"), absent("i3"), absent("i4")], now);
    check(&registry, &["i1"]);
    registry.begin_era(2.into(), seconds(10));
    registry.replace(&listed, seconds(10));
    check(&registry, &["i1"]);
    assert_eq!(registry.held_back(), 3);
    // A server that started again is another instance.
    registry.apply(&[present(record("i4", 4, 9))], seconds(11));
    check(&registry, &["i1", "i4"]);
    // Listed again, and without the one that the store has removed meanwhile.
    listed.retain(|record| record.instance.as_str() != "i4");
    listed.push(record("i4", 4, 9));
    registry.replace(&listed, seconds(12));
    check(&registry, &["i1", "i4"]);
    assert!(!registry.is_changed_by(&[], seconds(15)));
    assert!(registry.is_changed_by(&[], seconds(16)));
    registry.apply(&[], seconds(16));
    // The one that had been draining is listed, but gets nothing.
    check(&registry, &["i1", "i2", "i4"]);
    assert!(registry.contains(&ServerName::from("i3")));
}

/// A server whose registration came back with an older copy and is removed again was gone.
#[rstest]
#[case::by_a_change(false)]
#[case::by_a_listing(true)]
#[tokio::test(start_paused = true)]
async fn held_back_server_that_is_removed_again_is_not_used(#[case] by_listing: bool) {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.begin_era(1.into(), now);
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    registry.apply(&[absent("i2")], now);
    registry.begin_era(2.into(), now);
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    let later = now + Duration::from_secs(4);
    if by_listing {
        registry.replace(&[record("i1", 1, 5)], later);
    } else {
        assert!(registry.is_changed_by(&[absent("i2")], later));
        registry.apply(&[absent("i2")], later);
    }
    assert_eq!(registry.held_back(), 0);
    registry.apply(&[], now + Duration::from_secs(20));
    check(&registry, &["i1"]);
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
        ..WorkSize::default()
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

fn boot(millis: u64) -> BootInstant {
    BootInstant::from_uptime(Duration::from_millis(millis))
}

fn reserved(now_ms: u64) -> AdoptionProof {
    AdoptionProof::AddressReserved {
        reuse_time: Duration::from_secs(2),
        now: boot(now_ms),
    }
}

/// Servers restart during a store outage, and their 421 responses carry the names
/// of the new instances. Such an instance is adopted only if the previous one was
/// proved to be running within the address reuse time.
#[tokio::test(start_paused = true)]
async fn restarted_server_is_adopted_within_the_address_reuse_time() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    let old = registry.all().next().cloned().expect("one server");
    let new = || ServerName::from("new");
    assert!(
        !registry.adopt(&old, new(), reserved(5_000)),
        "no activity seen"
    );
    old.note_answer_to(boot(5_010));
    // An older question that is answered later takes nothing back.
    old.note_answer_to(boot(4_000));
    assert!(
        !registry.adopt(&old, new(), reserved(7_010)),
        "address may have been reassigned"
    );
    assert!(registry.adopt(&old, new(), reserved(7_009)));
    check(&registry, &["new"]);
    // The registration adds the start time of that instance and keeps its counters.
    let server = registry.all().next().cloned().expect("one server");
    let late = now + Duration::from_millis(2_010);
    registry.apply(&[present(record("new", 1, 9))], late);
    check(&registry, &["new"]);
    assert!(registry.is_current(&server));
}

/// Guards against proof from what is read late: bytes of an ended server, read after a
/// standstill, made it look as if it had just been running.
#[tokio::test(start_paused = true)]
async fn what_is_read_proves_nothing_about_an_address() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    let old = registry.all().next().cloned().expect("one server");
    old.note_activity(now);
    old.note_response(now);
    assert!(!registry.adopt(&old, ServerName::from("new"), reserved(1)));
    check(&registry, &["old"]);
}

/// Guards against the loss of a server that is up: it started again under its name at
/// another address, and its old address went to a server that started later.
#[tokio::test(start_paused = true)]
async fn server_that_moved_outlives_the_reassignment_of_its_old_address() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    registry.apply(&[present(record("i1", 2, 6))], now);
    let other = ServerRecord {
        service: ServiceName::from("other"),
        ..record("i2", 1, 9)
    };
    registry.apply(&[present(other)], now);
    check(&registry, &["i1"]);
    assert!(registry.contains(&ServerName::from("i2")));
    let moved = registry.find(&ServerName::from("i1")).expect("it is up");
    assert_eq!(moved.record().address.port(), 2);
    // Each still gives way at the address that it holds.
    registry.apply(&[present(record("i3", 2, 10))], now);
    check(&registry, &["i3"]);
}

/// A model that only one service serves is proof, however long the address was
/// silent.
#[tokio::test(start_paused = true)]
async fn server_with_a_unique_model_is_adopted_after_long_silence() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("old", 1, 5)], now);
    let old = registry.all().next().cloned().expect("one server");
    let new = || ServerName::from("new");
    assert!(registry.adopt(&old, new(), AdoptionProof::OnlyModel));
    check(&registry, &["new"]);
    assert!(
        !registry.adopt(&old, new(), AdoptionProof::OnlyModel),
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

fn leaving_notice() -> ServerNotice {
    ServerNotice {
        is_leaving: true,
        ..ServerNotice::default()
    }
}

fn pause_notice(seconds: u64) -> ServerNotice {
    ServerNotice {
        pause: Some(Duration::from_secs(seconds)),
        ..ServerNotice::default()
    }
}

/// Whether an instance of this name may get requests.
fn is_available(registry: &ServerRegistry, name: &str, now: Instant) -> bool {
    registry
        .find(&ServerName::from(name))
        .is_some_and(|server| server.is_available(now))
}

/// The announcement holds through new registrations, removal and return, whatever
/// the list says.
#[tokio::test(start_paused = true)]
async fn leaving_is_final_for_the_instance() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5)], now);
    let server = registry.find(&ServerName::from("i1")).expect("registered");
    assert!(server.note_notice(leaving_notice(), now));
    assert!(!server.note_notice(leaving_notice(), now), "known already");
    server.note_notice(ServerNotice::default(), now);
    server.note_response(now);
    for _ in 0..3 {
        registry.apply(&[present(record("i1", 1, 5))], now);
        assert!(!is_available(&registry, "i1", now));
        registry.apply(&[absent("i1")], now);
        assert!(registry.is_empty());
        assert_eq!(registry.leaving_servers().count(), 1);
        registry.replace(&[record("i1", 1, 5)], now);
        assert!(!is_available(&registry, "i1", now));
    }
    // Another start is another instance, at the same address or under the same name.
    registry.apply(&[present(record("i1", 1, 6))], now);
    assert!(is_available(&registry, "i1", now));
    registry.apply(&[present(record("i2", 1, 7))], now);
    assert!(is_available(&registry, "i2", now));
}

/// An instance that left is not taken for a new one when it answers once more.
#[tokio::test(start_paused = true)]
async fn departed_instance_is_not_adopted() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 5), record("i2", 2, 5)], now);
    let old = registry.find(&ServerName::from("i2")).cloned();
    let old = old.expect("registered");
    let leaving = registry.find(&ServerName::from("i1")).expect("registered");
    leaving.note_notice(leaving_notice(), now);
    registry.apply(&[absent("i1")], now);
    let name = ServerName::from("i1");
    assert!(!registry.adopt(&old, name, AdoptionProof::OnlyModel));
}

#[tokio::test(start_paused = true)]
async fn departed_instances_are_bounded() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    for number in 0..3_000_u16 {
        let name = format!("i{number}");
        registry.apply(&[present(record(&name, number, 5))], now);
        let server = registry.find(&ServerName::from(name.as_str()));
        server
            .expect("registered")
            .note_notice(leaving_notice(), now);
        registry.apply(&[absent(&name)], now);
    }
    assert!(registry.leaving_servers().count() <= 1_024);
    let last = ServerName::from("i2999");
    assert!(registry.find_instance(&last, 5).is_some());
}

/// A late registration of an earlier start does not replace the present one.
#[tokio::test(start_paused = true)]
async fn earlier_start_of_the_same_name_is_ignored() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.replace(&[record("i1", 1, 6)], now);
    let mut old = record("i1", 9, 5);
    old.state = ServerState::Draining;
    registry.apply(&[present(old)], now);
    check(&registry, &["i1"]);
    let known = registry.find(&ServerName::from("i1")).expect("registered");
    assert_eq!(known.record(), &record("i1", 1, 6));
}

#[tokio::test(start_paused = true)]
async fn longer_pause_replaces_a_shorter_one_only() {
    let start = Instant::now();
    let server = RegisteredServer::new(record("i1", 1, 5));
    assert_eq!(server.paused_until(start), None);
    server.note_notice(pause_notice(10), start);
    server.note_notice(pause_notice(2), start);
    let later = start + Duration::from_secs(9);
    assert!(server.paused_until(later).is_some());
    assert!(!server.is_available(later));
    let end = start + Duration::from_secs(10);
    assert_eq!(server.paused_until(end), None);
    assert!(server.is_available(end));
    server.note_notice(pause_notice(u64::MAX), end);
    assert!(
        server
            .paused_until(end + PAUSE_MAX - Duration::from_secs(1))
            .is_some()
    );
    assert_eq!(server.paused_until(end + PAUSE_MAX), None);
}

#[rstest]
#[case("i1", "10.0.0.1:80", None)]
#[case("", "10.0.0.1:80", Some(RecordFault::UnusableName))]
#[case("i 1", "10.0.0.1:80", Some(RecordFault::UnusableName))]
#[case("i\r\n1", "10.0.0.1:80", Some(RecordFault::UnusableName))]
#[case("ï1", "10.0.0.1:80", Some(RecordFault::UnusableName))]
#[case("i1", "10.0.0.1:0", Some(RecordFault::UnusableAddress))]
#[case("i1", "0.0.0.0:80", Some(RecordFault::UnusableAddress))]
#[case("i1", "224.0.0.1:80", Some(RecordFault::UnusableAddress))]
#[case("i1", "255.255.255.255:80", Some(RecordFault::UnusableAddress))]
#[case("i1", "[::1]:80", Some(RecordFault::UnusableAddress))]
#[case("i1", "10.0.0.9:8227", Some(RecordFault::UnusableAddress))]
fn unusable_registrations_are_found(
    #[case] name: &str,
    #[case] address: &str,
    #[case] expected: Option<RecordFault>,
) {
    let own = ["10.0.0.9:8227".parse().expect("an address")];
    let mut record = record(name, 1, 5);
    record.address = address.parse().expect("an address");
    assert_eq!(record.validate(&own).err(), expected);
}
