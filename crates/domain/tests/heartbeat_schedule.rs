//! Heartbeats are sent only on silent streams and in time; a load is reported
//! when it changes and refreshed when it does not.

use std::time::Duration;

use domain::{backend_server::ServerLoad, generation_stream::HeartbeatSchedule};
use rstest::rstest;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(100);

const LOAD: ServerLoad = ServerLoad {
    in_flight: 8,
    slots: 16,
};

/// Sends a token every `gap`, or none without a gap, for ten seconds. Checks the
/// number of heartbeats, and how many tokens and heartbeats carry the load.
async fn check(gap: Option<Duration>, heartbeats: u32, loads: [u32; 2]) {
    let step = Duration::from_millis(10);
    let start = Instant::now();
    let mut schedule = HeartbeatSchedule::new(INTERVAL);
    // `carried` counts the loads sent with tokens and with heartbeats.
    let (mut sent, mut carried) = (0, [0, 0]);
    let mut last_sent = start;
    let mut last_load = start;
    for at in 1..=1_000_u32 {
        tokio::time::advance(step).await;
        let now = Instant::now();
        let since = now.duration_since(start).as_millis();
        let mut send_load = |schedule: &mut HeartbeatSchedule, sender: usize| {
            if schedule.take_due_load(LOAD, now).is_some() {
                carried[sender] += 1;
                last_load = now;
            }
        };
        if gap.is_some_and(|gap| since.is_multiple_of(gap.as_millis())) {
            schedule.record_token(now);
            send_load(&mut schedule, 0);
            last_sent = now;
        }
        if at.is_multiple_of(10) && schedule.take_due_heartbeat(false, now) {
            sent += 1;
            send_load(&mut schedule, 1);
            last_sent = now;
        }
        assert!(now.duration_since(last_sent) <= INTERVAL * 3 / 2);
        let load_age_max = HeartbeatSchedule::LOAD_REFRESH_INTERVAL + INTERVAL * 3 / 2;
        assert!(now.duration_since(last_load) <= load_age_max);
    }
    assert_eq!((sent, carried), (heartbeats, loads));
}

#[rstest]
#[case::frequent_tokens(Some(40), 0, [3, 0])]
#[case::rare_tokens(Some(400), 75, [0, 3])]
#[case::no_tokens(None, 100, [0, 3])]
#[tokio::test(start_paused = true)]
async fn heartbeats_are_sent_only_on_silence(
    #[case] gap_ms: Option<u64>,
    #[case] heartbeats: u32,
    #[case] loads: [u32; 2],
) {
    check(gap_ms.map(Duration::from_millis), heartbeats, loads).await;
}

#[tokio::test(start_paused = true)]
async fn leaving_is_sent_at_the_next_check() {
    let now = Instant::now();
    let mut schedule = HeartbeatSchedule::new(INTERVAL);
    assert!(schedule.take_due_heartbeat(false, now));
    assert!(!schedule.take_due_heartbeat(false, now));
    assert!(schedule.take_due_heartbeat(true, now));
    assert!(!schedule.take_due_heartbeat(true, now));
    assert!(schedule.take_due_heartbeat(false, now));
}

/// Checks whether a load that changes from `from` to `to` is sent after the given
/// time. Loads are pairs of `in_flight` and `slots`; 0 slots mean unknown.
async fn check_change(from: [u32; 2], to: [u32; 2], after: Duration, is_sent: bool) {
    let report = |[in_flight, slots]: [u32; 2]| ServerLoad { in_flight, slots };
    let mut schedule = HeartbeatSchedule::new(INTERVAL);
    let first = schedule.take_due_load(report(from), Instant::now());
    assert_eq!(first, Some(report(from)), "the first load is always sent");
    tokio::time::advance(after).await;
    let sent = schedule.take_due_load(report(to), Instant::now());
    assert_eq!(sent, is_sent.then(|| report(to)));
    assert_eq!(schedule.take_due_load(report(to), Instant::now()), None);
}

#[rstest]
#[case::same([34, 64], [34, 64], 4_400, false)]
#[case::same_but_old([34, 64], [34, 64], 4_500, true)]
#[case::slightly_more([34, 64], [40, 64], 4_400, false)]
#[case::more([34, 64], [41, 64], 300, true)]
#[case::fewer([34, 64], [27, 64], 300, true)]
#[case::more_too_soon([34, 64], [60, 64], 290, false)]
#[case::one_of_four_slots([3, 4], [4, 4], 300, true)]
#[case::slots_become_known([0, 0], [0, 16], 300, true)]
#[case::slots_never_known([0, 0], [0, 0], 4_400, false)]
#[tokio::test(start_paused = true)]
async fn load_is_sent_when_it_changes(
    #[case] from: [u32; 2],
    #[case] to: [u32; 2],
    #[case] after_ms: u64,
    #[case] is_sent: bool,
) {
    check_change(from, to, Duration::from_millis(after_ms), is_sent).await;
}
