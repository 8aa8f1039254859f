//! Which records may be removed, when, and at which rate.

use std::time::Duration;

use domain::service_call::{
    CallState, KEY_LIFETIME, RECORD_RETENTION, SweepPace, WallTime, is_key_past_retention,
    is_past_retention, is_removable, key_timestamp,
};
use rstest::rstest;
use tokio::time::Instant;

/// A time in the year 2026.
const CREATED: WallTime = WallTime(0x019b_7710_8cc7);

fn after(start: WallTime, time: Duration) -> WallTime {
    let millis = u64::try_from(time.as_millis()).expect("lifetimes fit in 64 bits");
    WallTime(start.0 + millis)
}

#[rstest]
#[case::intended(CallState::Intended, false)]
#[case::unknown(CallState::Unknown, false)]
#[case::not_run(CallState::NotRun, true)]
#[case::ran(CallState::Ran { status: 200, answer: String::new() }, true)]
fn open_records_are_kept(#[case] state: CallState, #[case] expected: bool) {
    assert_eq!(is_removable(&state), expected);
}

#[rstest]
#[case::at_key_lifetime(KEY_LIFETIME, false)]
#[case::past_key_lifetime(KEY_LIFETIME * 2, false)]
#[case::at_retention_time(RECORD_RETENTION, false)]
#[case::past_retention_time(RECORD_RETENTION + Duration::from_millis(1), true)]
fn record_is_past_retention(#[case] age: Duration, #[case] expected: bool) {
    assert_eq!(is_past_retention(CREATED, after(CREATED, age)), expected);
}

#[test]
fn record_of_fast_clock_is_kept() {
    let behind = WallTime(CREATED.0 - 1);
    assert!(!is_past_retention(CREATED, behind));
}

#[rstest]
#[case::version_7("019b7710-8cc7-7abc-8def-0123456789ab", Some(CREATED))]
#[case::upper_case("019B7710-8CC7-7ABC-BDEF-0123456789AB", Some(CREATED))]
#[case::version_4("019b7710-8cc7-4abc-8def-0123456789ab", None)]
#[case::other_variant("019b7710-8cc7-7abc-cdef-0123456789ab", None)]
#[case::no_hyphens("019b771008cc707abc08def00123456789ab", None)]
#[case::not_hexadecimal("019b7710-8cc7-7abc-8def-0123456789ag", None)]
#[case::too_long("019b7710-8cc7-7abc-8def-0123456789abc", None)]
#[case::plain("booking-17", None)]
fn key_timestamp_of_uuid_v7(#[case] key: &str, #[case] expected: Option<WallTime>) {
    assert_eq!(key_timestamp(key), expected);
}

#[rstest]
#[case::while_record_is_kept("019b7710-8cc7-7abc-8def-0123456789ab", RECORD_RETENTION, false)]
#[case::when_record_may_be_removed(
    "019b7710-8cc7-7abc-8def-0123456789ab",
    RECORD_RETENTION + Duration::from_millis(1),
    true
)]
#[case::without_timestamp("booking-17", RECORD_RETENTION * 9, false)]
fn key_is_past_retention(#[case] key: &str, #[case] age: Duration, #[case] expected: bool) {
    assert_eq!(is_key_past_retention(key, after(CREATED, age)), expected);
}

/// Returns the number of batches started within a minute if each takes `batch_ms`
/// and finds `due_count` records due.
async fn batches(due_count: usize, batch_ms: u64) -> usize {
    let pace = SweepPace::default();
    let end = Instant::now() + Duration::from_secs(60);
    let mut count = 0;
    loop {
        let started_at = Instant::now();
        if started_at >= end {
            return count;
        }
        count += 1;
        tokio::time::sleep(Duration::from_millis(batch_ms)).await;
        tokio::time::sleep_until(pace.next_batch_at(due_count, started_at, Instant::now())).await;
    }
}

#[rstest]
#[case::backlog(100, 10, 600)]
#[case::backlog_at_a_slow_store(100, 400, 134)]
#[case::nearly_done(99, 10, 12)]
#[case::nothing_or_failed(0, 500, 11)]
#[tokio::test(start_paused = true)]
async fn batches_keep_their_interval(
    #[case] due_count: usize,
    #[case] batch_ms: u64,
    #[case] expected: usize,
) {
    assert_eq!(batches(due_count, batch_ms).await, expected);
}
