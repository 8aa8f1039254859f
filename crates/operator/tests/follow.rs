//! Logs of several processes with different clocks, torn lines among them.

use operator::follow_command::{read_line, tell_story};
use rstest::rstest;

const FIRST: &str = "\
2026-07-03T10:00:00.000+00:00 INFO  front::store_watch desired state in force state_version=1 row_version=5
2026-07-03T10:00:07.500+00:00 INFO  front::stream_run stream ended request=r1 outcome=drained
2026-07-03T10:00:07.400+00:00 INFO  front::stream_run stream sent request=r10 server=i1
";
/// Five seconds ahead.
const SECOND: &str = "\
2026-07-03T10:00:05.000+00:00 INFO  front::store_watch desired state in force state_version=1 row_version=5
2026-07-03T10:00:12.400+00:00 INFO  front::stream_run stream sent request=r1 server=i2
torn li
2026-07-03T10:00:13.000+00:00 INFO  front::stream_run stream ended request=r1 outcome=complete
";

#[test]
fn story_is_in_the_order_of_one_clock() {
    let story = tell_story("r1", &[("one", FIRST), ("two", SECOND)]);
    let found: Vec<(&str, i64)> = story
        .lines
        .iter()
        .map(|line| (line.process, line.time.timestamp_millis() % 60_000))
        .collect();
    assert_eq!(found, [("two", 7_400), ("one", 7_500), ("two", 8_000)]);
    assert_eq!(story.unreadable, 1);
}

#[test]
fn request_is_matched_whole() {
    assert_eq!(tell_story("r10", &[("one", FIRST)]).lines.len(), 1);
    assert!(tell_story("r", &[("one", FIRST)]).lines.is_empty());
}

#[rstest]
#[case::plain("2026-07-03T10:00:00.000+00:00 INFO x", Some("file"))]
#[case::of_a_bench(
    "  -9.32 front-2 2026-07-03T10:00:00.000+00:00 INFO x",
    Some("front-2")
)]
#[case::torn("2026-07-03T10:00", None)]
#[case::empty("", None)]
#[case::other("dropped_lines=7", None)]
fn lines_that_can_be_read(#[case] line: &str, #[case] process: Option<&str>) {
    let found = read_line("file", line).map(|line| line.process.to_owned());
    assert_eq!(found.as_deref(), process);
}
