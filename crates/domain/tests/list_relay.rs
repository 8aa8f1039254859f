//! Which server list changes entries relay, and when a reply is too old.

use std::time::Duration;

use domain::{
    FailureDomain, ServerName, ServerVersion, ServiceName,
    list_relay::{ChangeLog, RelayAge, RelayRule},
    server_registry::{RegistryChange, ServerRecord, ServerState},
    store_position::StorePosition,
};
use rstest::rstest;
use tokio::time::Instant;

fn record(name: &str, state: ServerState) -> ServerRecord {
    ServerRecord {
        instance: ServerName::from(name),
        service: ServiceName::from("pool"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: FailureDomain::from("a"),
        version: ServerVersion::from("v1"),
        slots: 64,
        state,
        started_ms: 1,
    }
}

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition {
        era: era.into(),
        version,
    }
}

fn ready(name: &str) -> RegistryChange {
    RegistryChange::Present(record(name, ServerState::Ready))
}

fn draining(name: &str) -> RegistryChange {
    RegistryChange::Present(record(name, ServerState::Draining))
}

fn removed(name: &str) -> RegistryChange {
    RegistryChange::Absent(ServerName::from(name))
}

/// Logs changes as an entry does, and returns how many were new.
fn record_new(log: &mut ChangeLog, changes: &[RegistryChange], version: u64) -> usize {
    let new_changes = log.new_changes(changes);
    log.record(&new_changes, version);
    new_changes.len()
}

#[track_caller]
fn check(log: &ChangeLog, since: u64, expected: Option<&[RegistryChange]>) {
    let by_name = |change: &RegistryChange| change.instance().to_string();
    let mut found: Option<Vec<RegistryChange>> = log
        .changes_since(since.into())
        .map(|logged| logged.changes.into_iter().cloned().collect());
    if let Some(found) = &mut found {
        found.sort_by_key(by_name);
    }
    assert_eq!(found.as_deref(), expected, "since {since}");
}

#[test]
fn followers_get_changes_since_their_last_read() {
    let listed = [
        record("s1", ServerState::Ready),
        record("s2", ServerState::Ready),
    ];
    let mut log = ChangeLog::new(10.into(), 10, &listed);
    assert_eq!(
        record_new(&mut log, &[ready("s1"), ready("s2")], 12),
        0,
        "heartbeats without changes"
    );
    assert_eq!(record_new(&mut log, &[ready("s3"), draining("s1")], 15), 2);
    assert_eq!(
        record_new(&mut log, &[removed("s2"), removed("s9")], 20),
        2,
        "a follower may have seen s9"
    );
    assert_eq!(
        record_new(&mut log, &[removed("s2"), removed("s9")], 22),
        0,
        "the same removals"
    );
    check(&log, 9, None);
    check(
        &log,
        10,
        Some(&[draining("s1"), removed("s2"), ready("s3"), removed("s9")]),
    );
    check(&log, 15, Some(&[removed("s2"), removed("s9")]));
    check(&log, 20, Some(&[]));
}

/// A listing does not show earlier removals. A follower that has read up to an
/// earlier version must ask the store, even if it saw the same newest row;
/// otherwise it would keep a removed server until the next listing.
#[test]
fn listing_does_not_cover_earlier_removals() {
    let newest_row_version = 40;
    let log = ChangeLog::new(
        55.into(),
        newest_row_version,
        &[record("s1", ServerState::Ready)],
    );
    check(&log, 45, None);
    check(&log, 55, Some(&[]));
}

/// A follower whose position is of another era of the store would never learn of the rows
/// whose versions were given out again, nor of those that are gone.
#[rstest]
#[case::earlier_era(position(1, 12))]
#[case::earlier_era_with_a_lower_version(position(1, 3))]
#[case::later_era(position(3, 12))]
fn follower_from_another_era_gets_the_whole_list(#[case] read: StorePosition) {
    let listed = [record("s1", ServerState::Ready)];
    let mut log = ChangeLog::new(position(2, 10), 10, &listed);
    record_new(&mut log, &[ready("s2"), removed("s1"), ready("s3")], 11);
    record_new(&mut log, &[removed("s3")], 12);
    let logged = log.changes_since(read).expect("the whole list");
    assert!(logged.is_complete);
    assert_eq!(logged.changes, [&ready("s2")]);
    let logged = log.changes_since(position(2, 11)).expect("the changes");
    assert!(!logged.is_complete);
    assert_eq!(logged.changes, [&removed("s3")]);
}

/// The log keeps a bounded number of removals; a follower behind the oldest of
/// them must ask the store.
#[test]
fn old_removals_are_pruned() {
    let mut log = ChangeLog::new(1.into(), 1, &[]);
    for number in 0..2_000 {
        let name = format!("s{number}");
        record_new(&mut log, &[ready(&name)], 10 + 2 * number);
        record_new(&mut log, &[removed(&name)], 11 + 2 * number);
    }
    assert_eq!(log.changes_since(1.into()), None);
    let latest = log
        .changes_since((11 + 2 * 1_990).into())
        .expect("the log reaches back that far");
    assert_eq!(latest.changes.len(), 9);
}

/// With a poll period of 1,100 ms, a long poll of up to 300 ms and 300 ms for a
/// late reply, a leaving server is known after 1,700 ms, within the limit of 2 s.
#[rstest]
#[case::at_once(0, 1_700, true)]
#[case::usual(1_100, 600, true)]
#[case::at_the_limit(1_700, 0, true)]
#[case::late(1_701, 0, false)]
#[tokio::test(start_paused = true)]
async fn outdated_position_is_not_adopted(
    #[case] age_ms: u64,
    #[case] timeout_ms: u64,
    #[case] is_fresh: bool,
) {
    let rule = RelayRule {
        poll_period: Duration::from_millis(1_100),
    };
    let observed_at = Instant::now();
    let now = observed_at + Duration::from_millis(age_ms);
    assert_eq!(
        rule.reply_deadline(observed_at)
            .saturating_duration_since(now),
        Duration::from_millis(timeout_ms)
    );
    assert_eq!(rule.is_fresh(observed_at, now), is_fresh);
    assert!(rule.backoff_until(now) > now);
}

/// Guards against a reply that looks newer than it is: the follower stood still, and the
/// reply waited to be read. Times are in milliseconds after the call.
#[rstest]
#[case::at_once(0, 100, 10, -100)]
#[case::held(1_000, 100, 1_010, 900)]
#[case::read_late(1_000, 100, 5_000, 900)]
#[case::held_longer_than_it_took(9_000, 100, 1_000, 900)]
#[tokio::test(start_paused = true)]
async fn age_of_a_reply_counts_from_the_call(
    #[case] held_ms: u64,
    #[case] age_ms: u64,
    #[case] read_ms: u64,
    #[case] expected_ms: i64,
) {
    let origin = Instant::now();
    let called_ms = 60_000;
    let called_at = origin + Duration::from_millis(called_ms);
    let said = RelayAge {
        age: Duration::from_millis(age_ms),
        held: Duration::from_millis(held_ms),
    };
    let confirmed_at = said.confirmed_at(called_at, called_at + Duration::from_millis(read_ms));
    let expected_ms = called_ms.saturating_add_signed(expected_ms);
    assert_eq!(
        confirmed_at,
        Some(origin + Duration::from_millis(expected_ms))
    );
}
