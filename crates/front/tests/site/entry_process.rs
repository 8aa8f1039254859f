//! Shutdown of an entry, and logging to a pipe that is not read.

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
async fn stopped_entry_completes_admitted_requests() {
    let (pool, desk) = (worker("i1").await, worker("i2").await);
    pool.script([WorkerAct::Events(400, StreamEnd::Complete)]);
    let mut site = TestSite::start(&[(POOL, &pool, "a"), (DESK, &desk, "a")]).await;
    let response = send_request(site.listen, caller_request("/report/1", "r1")).await;
    site.signal(Signal::SIGTERM);
    site.wait_state(|text| text.contains("Leaving")).await;
    site.wait_state(|text| text.contains("\"ready\":false"))
        .await;
    let late = site.call("/book/1", "r2").await;
    assert_eq!(
        late.status,
        StatusCode::OK,
        "new requests are served while leaving"
    );
    let close = late.headers.get("connection");
    assert_eq!(close.and_then(|value| value.to_str().ok()), Some("close"));
    let streamed = read_response(response).await;
    assert_eq!((streamed.body, streamed.complete), (events(1..=400), true));
    assert!(site.wait_exit().await.success());
}

/// A full pipe must not block requests: log lines are dropped and counted instead.
#[tokio::test]
async fn full_log_pipe_does_not_block_requests() {
    let desk = worker("i1").await;
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let site = TestSite::start_with(store, Stdio::piped());
    site.register(DESK, &desk, "a", "ready");
    site.wait_ready().await;
    let mut sent = 0;
    while site
        .metric("bamboocross_front_log_lines_dropped_total")
        .await
        == 0.0
    {
        let response = site.call("/none/1", "r").await;
        assert_eq!(response.status, StatusCode::NOT_FOUND);
        sent += 1;
        assert!(sent < 100_000, "no line was dropped");
    }
    site.wait_state(|text| text.contains("\"instance\"")).await;
    assert_eq!(site.call("/book/1", "r").await.status, StatusCode::OK);
}
