//! Drain, retry share and roster of entries.

use std::time::Duration;

use domain::{
    FailureDomain,
    desired_state::RouteKind,
    entry_drain::{DrainPhase, DrainTimes},
    entry_roster::{EntryRecord, EntryRoster, EntryRow, FOLLOWERS_MAX},
    retry_share::{RetryBounds, RetryShare},
};
use rstest::rstest;
use tokio::time::Instant;

#[rstest]
#[case(None, DrainPhase::Serving)]
#[case(Some(0), DrainPhase::Leaving)]
#[case(Some(2_999), DrainPhase::Leaving)]
#[case(Some(3_000), DrainPhase::Closing)]
#[case(Some(7_039), DrainPhase::Closing)]
#[case(Some(7_040), DrainPhase::Cutting)]
fn phases_of_a_drain(#[case] since_ms: Option<u64>, #[case] expected: DrainPhase) {
    let times = DrainTimes {
        grace: Duration::from_secs(8),
    };
    assert_eq!(times.phase(since_ms.map(Duration::from_millis)), expected);
}

/// Requests still arrive if all entries are stopped within seconds. A call is
/// admitted as long as it can finish before the cutting phase, a stream only before
/// the closing phase. One that may not be resumed would be lost if it were cut off, so
/// it is not begun after the signal unless it can finish.
#[rstest]
#[case(None, RouteKind::ResumableStream, 60_000, true)]
#[case(None, RouteKind::Stream, 60_000, true)]
#[case(Some(2_900), RouteKind::ResumableStream, 25_000, true)]
#[case(Some(3_100), RouteKind::ResumableStream, 1_000, false)]
#[case(Some(0), RouteKind::Stream, 25_000, false)]
#[case(Some(0), RouteKind::Stream, 7_040, true)]
#[case(Some(2_900), RouteKind::Stream, 4_140, true)]
#[case(Some(2_900), RouteKind::Stream, 4_141, false)]
#[case(Some(3_100), RouteKind::Stream, 1_000, false)]
#[case(Some(2_900), RouteKind::Unsafe, 25_000, true)]
#[case(Some(3_100), RouteKind::Unsafe, 1_000, true)]
#[case(Some(3_100), RouteKind::Safe, 1_000, true)]
#[case(Some(6_040), RouteKind::Unsafe, 1_000, true)]
#[case(Some(6_041), RouteKind::Unsafe, 1_000, false)]
#[case(Some(7_100), RouteKind::Unsafe, 0, false)]
fn admission_during_drain(
    #[case] since_ms: Option<u64>,
    #[case] kind: RouteKind,
    #[case] needed_ms: u64,
    #[case] expected: bool,
) {
    let times = DrainTimes {
        grace: Duration::from_secs(8),
    };
    let since = since_ms.map(Duration::from_millis);
    let needed = Duration::from_millis(needed_ms);
    assert_eq!(times.admits(since, kind, needed), expected);
}

#[test]
fn short_grace_period_has_closing_phase() {
    let times = DrainTimes {
        grace: Duration::from_secs(2),
    };
    assert_eq!(times.closing_after(), Duration::from_millis(750));
    assert!(times.cutting_after() > times.closing_after());
}

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

fn take_retries(share: &RetryShare, entries: usize, now: Instant) -> usize {
    (0..10_000)
        .take_while(|_| share.try_spend(entries, now))
        .count()
}

/// The retries of all entries together stay below the budget.
#[rstest]
#[case(1)]
#[case(4)]
#[case(23)]
#[case(100)]
#[tokio::test(start_paused = true)]
async fn entries_together_stay_below_the_budget(#[case] entries: usize) {
    let now = Instant::now();
    let requests = 20;
    let total: usize = (0..entries)
        .map(|_| {
            let share = RetryShare::new(BOUNDS, now);
            (0..requests).for_each(|_| share.record_request(now));
            take_retries(&share, entries, now)
        })
        .sum();
    let allowed = BOUNDS.ratio * (requests * entries) as f64 + BOUNDS.slack;
    assert!((total as f64) < allowed, "{total} of {allowed}");
    // The shares must not be far smaller than the budget either.
    assert!((total as f64) > allowed * 0.4, "{total} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn retries_are_available_again_after_the_window() {
    let now = Instant::now();
    let share = RetryShare::new(BOUNDS, now);
    let first = take_retries(&share, 4, now);
    assert!(first > 20);
    assert_eq!(take_retries(&share, 4, now + Duration::from_secs(5)), 0);
    assert_eq!(
        take_retries(&share, 4, now + Duration::from_secs(10)),
        first
    );
}

/// Returns rows of entries; the first letter of a name is the failure domain.
fn rows<'a>(rows: &'a [(&'a str, u16)]) -> impl Iterator<Item = EntryRow<'a>> {
    rows.iter().map(|&(name, port)| EntryRow {
        name,
        version: port.into(),
        record: Some(EntryRecord {
            domain: FailureDomain::from(&name[..1]),
            peer_address: Some(([10, 0, 0, 1], port).into()),
        }),
    })
}

/// The leaders of an entry are the entries of its failure domain whose names sort
/// before its own, so two entries never lead each other.
#[rstest]
#[case::first("a1", &[])]
#[case::second("a2", &[1])]
#[case::last("a4", &[1, 2])]
#[case::not_listed_yet("a3", &[1, 2])]
#[case::other_domain("b2", &[5])]
#[tokio::test(start_paused = true)]
async fn leaders_have_earlier_names(#[case] name: &str, #[case] expected: &[u16]) {
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    roster.replace(rows(&[("a4", 4), ("b1", 5), ("a1", 1), ("a2", 2)]), now);
    let domain = FailureDomain::from(&name[..1]);
    let life = Duration::from_secs(60);
    let ports = |now| -> Vec<u16> {
        let leaders = roster.leaders(&domain, name, life, now);
        leaders.map(|leader| leader.port()).collect()
    };
    assert_eq!(ports(now), expected);
    assert!(
        ports(now + life).is_empty(),
        "no entry still announces itself"
    );
}

#[tokio::test(start_paused = true)]
async fn roster_counts_entries_that_still_announce() {
    let life = Duration::from_secs(60);
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    assert_eq!(roster.count(life, now), 32, "no entries are known yet");
    roster.replace(rows(&[("e1", 1), ("e2", 2), ("e3", 3)]), now);
    assert_eq!(roster.count(life, now), 3);
    let later = now + Duration::from_secs(40);
    roster.replace(rows(&[("e1", 9), ("e2", 2)]), later);
    assert_eq!(roster.count(life, later), 2);
    let last = now + Duration::from_secs(61);
    assert_eq!(roster.count(life, last), 1, "e2 no longer announces itself");
}

/// Entries that had announced themselves within the lost time vanished from the roster, and
/// the others took their shares of common budgets.
#[tokio::test(start_paused = true)]
async fn roster_keeps_entries_that_an_older_copy_lacks() {
    let life = Duration::from_secs(60);
    let now = Instant::now();
    let mut roster = EntryRoster::default();
    roster.begin_era(1.into(), now);
    roster.replace(rows(&[("e1", 1), ("e2", 2), ("e3", 3)]), now);
    let returned_at = now + Duration::from_secs(20);
    roster.begin_era(2.into(), returned_at);
    roster.replace(rows(&[("e1", 1)]), returned_at);
    assert_eq!(roster.count(life, returned_at), 3);
    // Only one of them announces itself again.
    let later = returned_at + Duration::from_secs(5);
    roster.begin_era(2.into(), later);
    roster.replace(rows(&[("e1", 4), ("e2", 5)]), later);
    assert_eq!(roster.count(life, later), 2);
}

/// In a domain of any size no entry is followed by more than the limit, every entry
/// but the first follows one, and every chain ends at the first.
#[rstest]
#[case(2)]
#[case(18)]
#[case(80)]
#[case(400)]
#[tokio::test(start_paused = true)]
async fn followers_of_an_entry_are_bounded(#[case] entries: u16) {
    let now = Instant::now();
    let names: Vec<String> = (0..entries).map(|number| format!("a{number:03}")).collect();
    let listed: Vec<(&str, u16)> = names.iter().map(String::as_str).zip(1..).collect();
    let mut roster = EntryRoster::default();
    roster.replace(rows(&listed), now);
    let domain = FailureDomain::from("a");
    let life = Duration::from_secs(60);
    let mut followers = vec![0; usize::from(entries) + 1];
    for (rank, name) in names.iter().enumerate() {
        let leaders: Vec<u16> = roster
            .leaders(&domain, name, life, now)
            .map(|leader| leader.port())
            .collect();
        assert_eq!(leaders.len(), rank, "each earlier entry once");
        if let Some(first) = leaders.first() {
            assert!(usize::from(*first) <= rank);
            followers[usize::from(*first)] += 1;
        }
    }
    assert!(followers.iter().all(|count| *count <= FOLLOWERS_MAX));
}
