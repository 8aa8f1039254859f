//! A draining process waits, hands over its work and ends in time.

use std::time::Duration;

use domain::vm_membership::{DrainPlan, DrainStep};
use rstest::rstest;
use tokio::time::{Instant, advance};

use DrainStep::{Done, HandOver, Wait};

const DRAIN_MAX: Duration = Duration::from_secs(8);

/// Checks the steps at the given times in milliseconds, with or without work in
/// flight.
async fn check(steps: &[(u64, bool, DrainStep)]) {
    let mut plan = DrainPlan::new(DRAIN_MAX, Instant::now());
    let mut elapsed_ms = 0;
    for &(at_ms, is_busy, expected) in steps {
        advance(Duration::from_millis(at_ms - elapsed_ms)).await;
        elapsed_ms = at_ms;
        assert_eq!(plan.step(is_busy, Instant::now()), expected, "{at_ms} ms");
    }
}

#[rstest]
#[case::no_work_in_flight(&[(0, false, Done)])]
#[case::work_completes(&[(0, true, Wait), (5_999, true, Wait), (6_000, false, Done)])]
#[case::hands_over_once(&[(6_000, true, HandOver), (6_001, true, Wait), (7_999, true, Wait)])]
#[case::handed_over(&[(6_000, true, HandOver), (6_500, false, Done)])]
#[case::time_is_up(&[(6_000, true, HandOver), (8_000, true, Done)])]
#[case::first_step_after_the_end(&[(8_000, true, Done)])]
#[tokio::test(start_paused = true)]
async fn work_is_handed_over_in_the_last_quarter(#[case] steps: &[(u64, bool, DrainStep)]) {
    check(steps).await;
}
