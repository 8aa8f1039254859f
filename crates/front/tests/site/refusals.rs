//! Answers that promise that a request did not run and never will.

use crate::support::{POOL, TestSite, caller_request, read_response, send_request, wait_for};
use http::StatusCode;
use nix::sys::signal::Signal;
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
