//! Bytes on a link are told apart by what they are for.

use rstest::rstest;
use xtask::measure::byte_scan::{ByteScan, LinkWay, StreamScan, TellScan};

const HEADERS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Check how much of an answer counts as control, whole and in pieces.
fn check(events: &[&str], control: u64) {
    let chunks: String = events.iter().map(|event| chunk(event)).collect();
    let answer = format!("{HEADERS}{chunks}");
    for piece in [1, 7, answer.len()] {
        let mut scan = StreamScan::new(b"", LinkWay::Down);
        let pieces = answer.as_bytes().chunks(piece);
        let found: u64 = pieces.map(|bytes| scan.scan(bytes)).sum();
        assert_eq!(found, control, "in pieces of {piece}");
    }
    let mut scan = StreamScan::new(b"", LinkWay::Up);
    assert_eq!(scan.scan(answer.as_bytes()), 0, "a request is no control");
}

const TOKEN: &str = "event: token\ndata: {\"a\":0,\"p\":1,\"t\":\" rice\"}\n\n";
const LOADED: &str = "event: token\ndata: {\"a\":0,\"p\":1,\"t\":\" rice\",\"l\":[34,64]}\n\n";
const QUOTED: &str = "event: token\ndata: {\"a\":0,\"p\":1,\"t\":\"x\\\",\\\"l\\\":[1\"}\n\n";
const QUIET: &str = "data: \n\n";
const NEWER: &str = "event: later\ndata: 1\n\n";
const END: &str = "event: end\ndata: {}\n\n";

#[rstest]
#[case::nothing(&[], 0)]
#[case::token(&[TOKEN], 0)]
#[case::token_with_load(&[TOKEN, LOADED], 12)]
#[case::token_of_quotes(&[QUOTED], 0)]
#[case::heartbeat_with_framing(&[QUIET], 13)]
#[case::heartbeats(&[QUIET, TOKEN, QUIET, END], 26)]
#[case::unknown_event(&[NEWER], 28)]
#[case::end(&[END, ""], 0)]
fn stream_is_scanned(#[case] events: &[&str], #[case] control: u64) {
    check(events, control);
}

/// Check whether a connection counts by its first bytes.
fn check_call(first: &str, is_counted: bool) {
    for way in [LinkWay::Up, LinkWay::Down] {
        let mut scan = TellScan::new(first.as_bytes(), way);
        assert_eq!(scan.scan(&[0; 9]), if is_counted { 9 } else { 0 });
    }
}

#[rstest]
#[case::tell(
    r#"POST / HTTP/1.1 {"jsonrpc":"2.0","id":0,"method":"agent_tell"}"#,
    true
)]
#[case::walk(
    r#"POST / HTTP/1.1 {"jsonrpc":"2.0","id":0,"method":"agent_loaded"}"#,
    false
)]
fn calls_of_the_entry_count(#[case] first: &str, #[case] is_counted: bool) {
    check_call(first, is_counted);
}
