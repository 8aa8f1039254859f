//! Streams that flow need no heartbeat; silent ones get it in time.

use std::time::Duration;

use domain::generation_stream::BeatPace;
use rstest::rstest;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(100);

/// Check how many heartbeats ten seconds bring, and how many tokens carry the
/// load, when a token comes every `gap`.
async fn check(gap: Option<Duration>, beats: u32, loads: u32) {
    let step = Duration::from_millis(10);
    let start = Instant::now();
    let mut pace = BeatPace::new(INTERVAL);
    let (mut sent, mut carried) = (0, 0);
    let mut last_sign = start;
    for at in 1..=1_000_u32 {
        tokio::time::advance(step).await;
        let now = Instant::now();
        let since = now.duration_since(start).as_millis();
        if gap.is_some_and(|gap| since.is_multiple_of(gap.as_millis())) {
            carried += u32::from(pace.note_token(now));
            last_sign = now;
        }
        if at.is_multiple_of(10) && pace.take_beat(false, now) {
            sent += 1;
            last_sign = now;
        }
        assert!(now.duration_since(last_sign) <= INTERVAL * 3 / 2);
    }
    assert_eq!((sent, carried), (beats, loads));
}

#[rstest]
#[case::flowing(Some(40), 0, 11)]
#[case::slow(Some(400), 75, 0)]
#[case::silent(None, 100, 0)]
#[tokio::test(start_paused = true)]
async fn beats_fill_silence(#[case] gap_ms: Option<u64>, #[case] beats: u32, #[case] loads: u32) {
    check(gap_ms.map(Duration::from_millis), beats, loads).await;
}

#[tokio::test(start_paused = true)]
async fn leaving_is_told_at_once() {
    let now = Instant::now();
    let mut pace = BeatPace::new(INTERVAL);
    assert!(pace.take_beat(false, now));
    assert!(!pace.take_beat(false, now));
    assert!(pace.take_beat(true, now));
    assert!(!pace.take_beat(true, now));
    assert!(pace.take_beat(false, now));
}
