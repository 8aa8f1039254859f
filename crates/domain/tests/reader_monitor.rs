//! Generations outlast a lost reader by the grace time, and their engines by
//! the window.

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
    Pass(u64),
}

use ReaderStep::{Attach, Detach, Pass};

/// Check whether the generation is given up after `steps`.
async fn check(steps: &[ReaderStep], is_stopped: bool, is_leaving: bool, expected: bool) {
    let mut monitor = ReaderMonitor::new(LIMITS, Instant::now());
    for step in steps {
        match step {
            Attach => monitor.attach(),
            Detach => monitor.detach(Instant::now()),
            Pass(millis) => advance(Duration::from_millis(*millis)).await,
        }
    }
    let is_abandoned = monitor.is_abandoned(is_stopped, is_leaving, Instant::now());
    assert_eq!(is_abandoned, expected, "{steps:?}");
}

#[rstest]
#[case::before_the_grace_time(&[Attach, Detach, Pass(19_999)], false)]
#[case::after_the_grace_time(&[Attach, Detach, Pass(20_000)], true)]
#[case::never_read(&[Pass(20_000)], true)]
#[case::read_for_long(&[Attach, Pass(600_000)], false)]
#[case::come_back_in_time(&[Attach, Detach, Pass(19_999), Attach, Pass(20_000)], false)]
#[case::grace_begins_anew(
    &[Attach, Detach, Pass(19_999), Attach, Detach, Pass(19_999)], false,
)]
#[case::grace_runs_from_the_loss(&[Attach, Detach, Pass(15_000), Detach, Pass(5_000)], true)]
#[tokio::test(start_paused = true)]
async fn grace_time_is_kept(#[case] steps: &[ReaderStep], #[case] expected: bool) {
    check(steps, false, false, expected).await;
}

#[rstest]
#[case::stopped_and_staying(true, false, false)]
#[case::stopped_and_leaving(true, true, true)]
#[case::going_on_and_leaving(false, true, false)]
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
#[case::within(137, 10, true)]
#[case::at_the_window(138, 10, false)]
#[case::no_overflow(u32::MAX - 1, u32::MAX - 1, true)]
#[tokio::test(start_paused = true)]
async fn window_bounds_the_engine(#[case] next: u32, #[case] read: u32, #[case] expected: bool) {
    let monitor = ReaderMonitor::new(LIMITS, Instant::now());
    assert_eq!(
        monitor.may_run_ahead(TokenPosition(next), TokenPosition(read)),
        expected
    );
}
