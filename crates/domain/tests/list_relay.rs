//! What entries hand on of the list of servers, and when it is too old.

use std::time::Duration;

use domain::{
    FailureDomain, ServerName, ServiceName,
    list_relay::{ChangeLog, ListCursor, RelayRule},
    server_registry::{RegistryChange, ServerRecord, ServerState},
};
use rstest::rstest;
use tokio::time::Instant;

fn record(name: &str, state: ServerState) -> ServerRecord {
    ServerRecord {
        instance: ServerName::from(name),
        service: ServiceName::from("pool"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: FailureDomain::from("a"),
        slots: 64,
        state,
        started_ms: 1,
    }
}

fn ready(name: &str) -> RegistryChange {
    RegistryChange::Present(record(name, ServerState::Ready))
}

fn draining(name: &str) -> RegistryChange {
    RegistryChange::Present(record(name, ServerState::Draining))
}

fn gone(name: &str) -> RegistryChange {
    RegistryChange::Absent(ServerName::from(name))
}

/// Take in changes as an entry does, and count those that were news.
fn take(log: &mut ChangeLog, changes: &[RegistryChange], version: u64) -> usize {
    let news = log.new_changes(changes);
    log.apply(&news, version);
    news.len()
}

#[track_caller]
fn check(log: &ChangeLog, since: u64, expected: Option<&[RegistryChange]>) {
    let by_name = |change: &RegistryChange| change.instance().to_string();
    let mut found: Option<Vec<RegistryChange>> = log
        .since(since)
        .map(|changes| changes.into_iter().cloned().collect());
    if let Some(found) = &mut found {
        found.sort_by_key(by_name);
    }
    assert_eq!(found.as_deref(), expected, "since {since}");
}

#[test]
fn followers_get_what_is_new_to_them() {
    let listed = [
        record("s1", ServerState::Ready),
        record("s2", ServerState::Ready),
    ];
    let mut log = ChangeLog::new(10, 10, &listed);
    assert_eq!(
        take(&mut log, &[ready("s1"), ready("s2")], 12),
        0,
        "heartbeats"
    );
    assert_eq!(take(&mut log, &[ready("s3"), draining("s1")], 15), 2);
    assert_eq!(
        take(&mut log, &[gone("s2"), gone("s9")], 20),
        1,
        "s9 was never there"
    );
    check(&log, 9, None);
    check(&log, 10, Some(&[draining("s1"), gone("s2"), ready("s3")]));
    check(&log, 15, Some(&[gone("s2")]));
    check(&log, 20, Some(&[]));
}

/// A listing does not show what was removed before it: a follower that read less
/// has to ask the store, though it saw the same newest row.
#[test]
fn listing_tells_nothing_of_earlier_removals() {
    let newest_row = 40;
    let log = ChangeLog::new(55, newest_row, &[record("s1", ServerState::Ready)]);
    check(&log, 45, None);
    check(&log, 55, Some(&[]));
}

/// Servers that are gone are remembered for a bounded time; who knows less has
/// to ask the store.
#[test]
fn long_history_is_forgotten() {
    let mut log = ChangeLog::new(1, 1, &[]);
    for number in 0..2_000 {
        let name = format!("s{number}");
        take(&mut log, &[ready(&name)], 10 + 2 * number);
        take(&mut log, &[gone(&name)], 11 + 2 * number);
    }
    assert_eq!(log.since(1), None);
    let latest = log.since(11 + 2 * 1_990).expect("that is remembered");
    assert_eq!(latest.len(), 9);
}

/// With 1,100 ms between questions, 300 ms that the store may hold one and 300 ms
/// for a late answer, a server that leaves is known well within 2 s.
#[rstest]
#[case::at_once(0, 1_700, true)]
#[case::usual(1_100, 600, true)]
#[case::at_the_limit(1_700, 0, true)]
#[case::late(1_701, 0, false)]
#[tokio::test(start_paused = true)]
async fn old_news_are_not_waited_for(
    #[case] age_ms: u64,
    #[case] timeout_ms: u64,
    #[case] fresh: bool,
) {
    let rule = RelayRule {
        poll_period: Duration::from_millis(1_100),
    };
    let observed_at = Instant::now();
    let news = ListCursor {
        newest_row: 7,
        read_version: 9,
        observed_at,
    };
    let now = observed_at + Duration::from_millis(age_ms);
    assert_eq!(
        rule.reply_timeout(news, now),
        Duration::from_millis(timeout_ms)
    );
    assert_eq!(rule.is_fresh(news, now), fresh);
    assert!(rule.backoff_until(now) > now);
}
