//! A process that drains waits, hands over and ends in time.

use std::time::Duration;

use domain::vm_membership::{DrainPlan, DrainStep};
use rstest::rstest;
use tokio::time::{Instant, advance};

use DrainStep::{Done, HandOver, Wait};

const LONGEST: Duration = Duration::from_secs(8);

/// Check the steps at the given times, with something in flight or not.
async fn check(looks: &[(u64, bool, DrainStep)]) {
    let mut plan = DrainPlan::new(LONGEST, Instant::now());
    let mut passed = 0;
    for &(at_ms, is_busy, expected) in looks {
        advance(Duration::from_millis(at_ms - passed)).await;
        passed = at_ms;
        assert_eq!(plan.step(is_busy, Instant::now()), expected, "{at_ms} ms");
    }
}

#[rstest]
#[case::nothing_in_flight(&[(0, false, Done)])]
#[case::ends_by_itself(&[(0, true, Wait), (5_999, true, Wait), (6_000, false, Done)])]
#[case::hands_over_once(&[(6_000, true, HandOver), (6_001, true, Wait), (7_999, true, Wait)])]
#[case::handed_over(&[(6_000, true, HandOver), (6_500, false, Done)])]
#[case::time_is_up(&[(6_000, true, HandOver), (8_000, true, Done)])]
#[case::looked_too_late(&[(8_000, true, Done)])]
#[tokio::test(start_paused = true)]
async fn last_quarter_is_for_handing_over(#[case] looks: &[(u64, bool, DrainStep)]) {
    check(looks).await;
}
