//! The end of an entry, and its log lines when nobody reads them.

use std::process::Stdio;

use crate::support::{
    DESK, POOL, TestSite, caller_request, desired_state, events, read_response, send_request,
};
use http::StatusCode;
use nix::sys::signal::Signal;
use stand_ins::{RowStore, ScriptedWorker, StreamEnd, WorkerAct};

async fn worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

#[tokio::test]
async fn stopped_entry_finishes_what_it_took_in() {
    let (pool, desk) = (worker("i1").await, worker("i2").await);
    pool.script([WorkerAct::Events(400, StreamEnd::Complete)]);
    let mut site = TestSite::start(&[(POOL, &pool, "a"), (DESK, &desk, "a")]).await;
    let response = send_request(site.listen, caller_request("/report/1", "r1")).await;
    site.signal(Signal::SIGTERM);
    site.wait_state(|text| text.contains("Leaving")).await;
    site.wait_state(|text| text.contains("\"ready\":false"))
        .await;
    let late = site.call("/book/1", "r2").await;
    assert_eq!(late.status, StatusCode::OK, "callers still come");
    let close = late.headers.get("connection");
    assert_eq!(close.and_then(|value| value.to_str().ok()), Some("close"));
    let streamed = read_response(response).await;
    assert_eq!((streamed.body, streamed.complete), (events(1..=400), true));
    assert!(site.wait_exit().await.success());
}

/// Log lines go to a pipe that nobody reads: answers stay the same and lines
/// are dropped and counted.
#[tokio::test]
async fn unread_log_lines_hold_up_nothing() {
    let desk = worker("i1").await;
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let site = TestSite::start_with(store, Stdio::piped());
    site.register(DESK, &desk, "a", "ready");
    site.wait_ready().await;
    let mut asked = 0;
    while site
        .metric("bamboocross_front_log_lines_dropped_total")
        .await
        == 0.0
    {
        let answered = site.call("/none/1", "r").await;
        assert_eq!(answered.status, StatusCode::NOT_FOUND);
        asked += 1;
        assert!(asked < 100_000, "no line was dropped");
    }
    site.wait_state(|text| text.contains("\"instance\"")).await;
    assert_eq!(site.call("/book/1", "r").await.status, StatusCode::OK);
}
