//! Generations far slower than their peers are detected as stragglers.

use std::time::Duration;

use domain::backend_server::{PeerMedians, StragglerDetector, StragglerVerdict};
use rstest::rstest;
use tokio::time::Instant;

const GAP: Duration = Duration::from_millis(10);

const MEDIANS: PeerMedians = PeerMedians {
    token_gap: Some(GAP),
    time_to_first_token: Some(Duration::from_millis(20)),
};

#[rstest]
#[case::steady(GAP, 100, false)]
#[case::one_late_token(Duration::from_millis(30), 1, false)]
#[case::three_times_slower(GAP * 3, 6, true)]
#[case::silent(Duration::from_millis(100), 1, true)]
#[tokio::test(start_paused = true)]
async fn accumulated_lag_makes_a_straggler(
    #[case] gap: Duration,
    #[case] tokens: u32,
    #[case] is_straggling: bool,
) {
    let mut detector = StragglerDetector::new(Instant::now(), 8);
    detector.record_token(MEDIANS, Instant::now());
    let unknown = detector.evaluate(PeerMedians::default(), Instant::now());
    assert_eq!(unknown, StragglerVerdict::Unknown);
    let mut was_straggling = false;
    for _ in 0..tokens {
        tokio::time::advance(gap).await;
        let now = Instant::now();
        was_straggling |= detector.evaluate(MEDIANS, now) == StragglerVerdict::Straggling;
        detector.record_token(MEDIANS, now);
    }
    assert_eq!(was_straggling, is_straggling);
}

#[rstest]
#[case::as_fast_as_peers(8, 20, false)]
#[case::slower_within_the_limit(8, 60, false)]
#[case::beyond_the_limit(8, 75, true)]
#[case::long_prompt(2_000, 500, false)]
#[tokio::test(start_paused = true)]
async fn first_token_of_small_requests_is_compared(
    #[case] tokens: usize,
    #[case] millis: u64,
    #[case] is_straggling: bool,
) {
    let opened_at = Instant::now();
    let mut detector = StragglerDetector::new(opened_at, tokens);
    tokio::time::advance(Duration::from_millis(millis)).await;
    let now = Instant::now();
    assert_eq!(
        detector.evaluate(MEDIANS, now) == StragglerVerdict::Straggling,
        is_straggling
    );
    let unknown = detector.evaluate(PeerMedians::default(), now);
    assert_eq!(unknown, StragglerVerdict::Unknown, "no peer medians");
    let sample = detector.record_token(MEDIANS, now);
    assert_eq!(
        sample.is_some(),
        tokens < 2_000,
        "only small requests give a sample"
    );
    assert_eq!(
        detector.record_token(MEDIANS, now),
        None,
        "the second token gives no sample"
    );
}
