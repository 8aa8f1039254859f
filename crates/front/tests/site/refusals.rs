//! Answers that promise that a request did not run and never will.

use crate::support::{DESK, POOL, TestSite, caller_request, read_response, send_request, wait_for};
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use stand_ins::{ScriptedWorker, WorkerAct};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// Guards against a refusal of a request that runs: the send that was in flight when
/// the entry gave the request up had not been counted yet.
#[tokio::test]
async fn stream_that_runs_is_not_refused_at_the_end_of_a_drain() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    site.change_settings(|settings| settings["grace_seconds"] = json!(2));
    site.signal(Signal::SIGHUP);
    worker.script([WorkerAct::Silence]);
    let open = tokio::spawn(send_request(site.listen, caller_request("/once/1", "r1")));
    wait_for("the run", async || !worker.ran().is_empty()).await;
    site.signal(Signal::SIGTERM);
    let answered = read_response(open.await.expect("the caller runs")).await;
    assert_eq!(answered.status, StatusCode::BAD_GATEWAY);
    assert_eq!(worker.ran().len(), 1);
}

/// Guards against passing on a server's promise that the server has not given: a status
/// that callers take for "not run", without the header that says so.
#[rstest]
#[case::call(DESK, "/book/1")]
#[case::stream(POOL, "/once/1")]
#[tokio::test]
async fn status_without_proof_is_no_refusal(
    #[case] service: &str,
    #[case] path: &str,
    #[values(408, 429, 503)] status: u16,
) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(service, &worker, "a")]).await;
    worker.script([WorkerAct::Answer(status, "busy")]);
    let answered = site.call(path, "r1").await;
    assert_eq!(answered.status, StatusCode::BAD_GATEWAY);
    assert!(!answered.headers.contains_key("x-bamboocross-server-seal"));
    assert_eq!(worker.ran().len(), 1);
}

/// A request that may be repeated gets the last answer of a server as it is.
#[tokio::test]
async fn failure_of_a_repeatable_request_is_passed_on() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script(std::iter::repeat_n(WorkerAct::Answer(503, "busy"), 9));
    let answered = site.call("/look/1", "r1").await;
    assert_eq!(answered.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answered.headers.contains_key("x-bamboocross-server-seal"));
}
