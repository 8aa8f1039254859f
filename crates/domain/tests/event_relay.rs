//! Event delivery across several servers, and timeouts for silent servers.

use std::time::Duration;

use domain::event_relay::{EventCursor, EventPosition, EventVerdict, StreamTimeouts};
use rstest::rstest;

use EventVerdict::{Deliver, Duplicate, Gap};

#[rstest]
#[case::one_server(None, &[1, 2, 3], &[Deliver, Deliver, Deliver])]
#[case::second_server_repeats(None, &[1, 2, 3, 2, 3, 4], &[Deliver, Deliver, Deliver, Duplicate, Duplicate, Deliver])]
#[case::second_server_skips(None, &[1, 2, 4], &[Deliver, Deliver, Gap])]
#[case::positions_advance_by_ten(None, &[10, 20, 30, 50], &[Deliver, Deliver, Deliver, Gap])]
#[case::caller_resumes(Some(7), &[7, 8, 9], &[Duplicate, Deliver, Deliver])]
fn each_event_is_delivered_once_and_in_order(
    #[case] last: Option<u64>,
    #[case] positions: &[u64],
    #[case] expected: &[EventVerdict],
) {
    let mut cursor = EventCursor::new(last.map(EventPosition));
    let verdicts: Vec<EventVerdict> = positions
        .iter()
        .map(|&position| cursor.accept(Some(EventPosition(position))))
        .collect();
    assert_eq!(verdicts, expected);
}

#[test]
fn event_without_a_position_does_not_advance_the_cursor() {
    let mut cursor = EventCursor::new(Some(EventPosition(3)));
    assert_eq!(cursor.accept(None), Deliver);
    assert_eq!(cursor.last_delivered(), Some(EventPosition(3)));
}

#[test]
fn hang_timeout_is_much_longer_than_probe_interval() {
    let gap = Duration::from_millis(700);
    let between = StreamTimeouts::between_events(Some(gap));
    assert!(between.probe_interval < gap / 2);
    assert_eq!(between.hang_timeout, gap * 4);
    let before = StreamTimeouts::before_first_event(Some(Duration::from_millis(4_500)));
    assert!(before.probe_interval < Duration::from_secs(1));
    assert_eq!(before.hang_timeout, Duration::from_secs(9));
}
