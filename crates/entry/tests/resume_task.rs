//! Resumptions wait for their turn by the clock of the runtime.

use std::time::Duration;

use domain::generation_stream::ResumeLimits;
use entry::ResumeLine;
use tokio::time::Instant;

const LIMITS: ResumeLimits = ResumeLimits {
    tokens_per_second: 1_000,
    burst_tokens: 1_000,
};

#[tokio::test(start_paused = true)]
async fn turns_come_by_silence_and_budget() {
    let line = ResumeLine::start(LIMITS);
    let now = Instant::now();
    let silent_for = |seconds| now.checked_sub(Duration::from_secs(seconds)).unwrap_or(now);
    // The burst goes to whoever comes first; then the longest silence leads.
    line.enter(silent_for(1), 2_000).await.unwrap_or_default();
    assert_eq!(now.elapsed(), Duration::ZERO);
    let short = line.enter(silent_for(1), 500);
    let long = line.enter(silent_for(5), 500);
    let check = async |turn: tokio::sync::oneshot::Receiver<()>| {
        assert!(turn.await.is_ok());
        now.elapsed().as_millis()
    };
    let (short, long) = tokio::join!(check(short), check(long));
    assert!(long < short, "{long} ms and {short} ms");
    assert_eq!(long.div_euclid(100), 10);
    assert_eq!(short.div_euclid(100), 15);
}
