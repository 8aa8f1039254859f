//! When refused callers are told to come back.

use std::time::Duration;

use domain::{kv_placement::ServiceOutlook, retry_advice::RefusedRequest};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use tokio::time::Instant;

const DRAWS: usize = 200;

fn advices(refused: RefusedRequest, now: Instant) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(7);
    (0..DRAWS)
        .map(|_| refused.retry_after(now, &mut rng))
        .collect()
}

/// Checks the range of the advices and that they are spread over it.
#[track_caller]
fn check(refused: RefusedRequest, now: Instant, range: std::ops::Range<u64>) {
    let mut advices = advices(refused, now);
    advices.sort_unstable();
    let (first, last) = (advices[0], advices[DRAWS - 1]);
    let (start, end) = (
        Duration::from_millis(range.start),
        Duration::from_millis(range.end),
    );
    assert!(first >= start && last <= end, "{first:?} to {last:?}");
    assert!(
        last - first >= (end - start) * 8 / 10,
        "not spread: {first:?} to {last:?}"
    );
}

/// Ranges in milliseconds, for a caller that has 20 s left.
#[rstest]
#[case::call(false, ServiceOutlook::Open, 75..150)]
#[case::stream(true, ServiceOutlook::Open, 750..1_500)]
#[case::leaving(true, ServiceOutlook::Leaving, 3_000..6_000)]
#[tokio::test(start_paused = true)]
async fn usual_advice(
    #[case] is_stream: bool,
    #[case] outlook: ServiceOutlook,
    #[case] range: std::ops::Range<u64>,
) {
    let remaining = Duration::from_secs(20);
    let refused = RefusedRequest {
        is_stream,
        remaining,
        outlook,
    };
    check(refused, Instant::now(), range);
}

/// The soonest return is the end of the pause, if the caller honours so long a time.
#[rstest]
#[case::short(2_000, 2_000..3_000)]
#[case::near_the_limit(5_500, 5_500..6_000)]
#[case::too_long(8_000, 3_000..6_000)]
#[tokio::test(start_paused = true)]
async fn advice_names_the_end_of_a_pause(
    #[case] pause_ms: u64,
    #[case] range: std::ops::Range<u64>,
) {
    let now = Instant::now();
    let refused = RefusedRequest {
        is_stream: false,
        remaining: Duration::from_secs(20),
        outlook: ServiceOutlook::Paused(now + Duration::from_millis(pause_ms)),
    };
    check(refused, now, range);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn advice_stays_within_what_callers_honour(
    #[values(0, 1, 300, 1_500, 25_000)] remaining_ms: u64,
    #[values(false, true)] is_stream: bool,
    #[values(0, 10, 400, 3_600_000)] pause_ms: u64,
) {
    let now = Instant::now();
    let remaining = Duration::from_millis(remaining_ms);
    let paused = ServiceOutlook::Paused(now + Duration::from_millis(pause_ms));
    for outlook in [ServiceOutlook::Open, ServiceOutlook::Leaving, paused] {
        let refused = RefusedRequest {
            is_stream,
            remaining,
            outlook,
        };
        for advice in advices(refused, now) {
            assert!(advice <= remaining / 3, "{advice:?} of {remaining:?}");
        }
    }
}
