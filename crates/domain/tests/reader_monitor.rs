//! A generation is kept for the grace period without a reader, and its engine
//! runs ahead of the reader by at most the window.

use std::time::Duration;

use domain::{
    TokenPosition,
    generation_stream::{ReaderLimits, ReaderMonitor},
};
use rstest::rstest;
use tokio::time::{Instant, advance};

const LIMITS: ReaderLimits = ReaderLimits {
    window_tokens: 128,
    grace_period: Duration::from_secs(20),
};

#[derive(Clone, Copy, Debug)]
enum ReaderStep {
    Attach,
    Detach,
    Advance(u64),
}

use ReaderStep::{Advance, Attach, Detach};

/// Checks whether the generation can be removed after `steps`.
async fn check(steps: &[ReaderStep], is_stopped: bool, is_leaving: bool, expected: bool) {
    let mut monitor = ReaderMonitor::new(LIMITS, Instant::now());
    for step in steps {
        match step {
            Attach => monitor.attach(),
            Detach => monitor.detach(Instant::now()),
            Advance(millis) => advance(Duration::from_millis(*millis)).await,
        }
    }
    let is_removable = monitor.is_removable(is_stopped, is_leaving, Instant::now());
    assert_eq!(is_removable, expected, "{steps:?}");
}

#[rstest]
#[case::before_the_end_of_the_grace_period(&[Attach, Detach, Advance(19_999)], false)]
#[case::after_the_grace_period(&[Attach, Detach, Advance(20_000)], true)]
#[case::never_read(&[Advance(20_000)], true)]
#[case::attached_for_long(&[Attach, Advance(600_000)], false)]
#[case::attached_again_in_time(&[Attach, Detach, Advance(19_999), Attach, Advance(20_000)], false)]
#[case::grace_period_restarts(
    &[Attach, Detach, Advance(19_999), Attach, Detach, Advance(19_999)], false,
)]
#[case::grace_period_starts_at_detach(
    &[Attach, Detach, Advance(15_000), Detach, Advance(5_000)], true,
)]
#[tokio::test(start_paused = true)]
async fn grace_period_is_respected(#[case] steps: &[ReaderStep], #[case] expected: bool) {
    check(steps, false, false, expected).await;
}

#[rstest]
#[case::stopped_and_staying(true, false, false)]
#[case::stopped_and_leaving(true, true, true)]
#[case::running_and_leaving(false, true, false)]
#[tokio::test(start_paused = true)]
async fn leaving_server_keeps_no_stopped_generation(
    #[case] is_stopped: bool,
    #[case] is_leaving: bool,
    #[case] expected: bool,
) {
    check(&[Attach, Detach], is_stopped, is_leaving, expected).await;
    check(&[Attach], is_stopped, is_leaving, false).await;
}

#[rstest]
#[case::within_the_window(137, 10, true)]
#[case::at_the_window(138, 10, false)]
#[case::no_overflow(u32::MAX - 1, u32::MAX - 1, true)]
#[tokio::test(start_paused = true)]
async fn window_limits_the_engine(
    #[case] next: u32,
    #[case] next_to_send: u32,
    #[case] expected: bool,
) {
    let monitor = ReaderMonitor::new(LIMITS, Instant::now());
    assert_eq!(
        monitor.may_run_ahead(TokenPosition(next), TokenPosition(next_to_send)),
        expected
    );
}
