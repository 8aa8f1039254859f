//! Plain requests to workers that reset connections, reject requests, or send
//! wrong, incomplete or no answers.

use crate::support::{DESK, TestSite, caller_request};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use stand_ins::{ScriptedWorker, WorkerAct};

use WorkerAct::{Answer, Extra, Foreign, Junk, NoSeal, Rejected, Reset, Truncated};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// Sends one request to a worker with the given script, and checks the status
/// that the caller gets and the number of sends.
async fn check_call(path: &str, acts: &[WorkerAct], status: u16, sends: usize) {
    let worker = start_worker("i1").await;
    worker.script(acts.iter().cloned());
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let answered = site.call(path, "r1").await;
    assert_eq!(answered.status.as_u16(), status, "{answered:?}");
    assert_eq!(worker.requests().len(), sends);
    let is_entry_reply = answered.headers.get("x-bamboocross-server-seal").is_none();
    assert_eq!(
        is_entry_reply,
        !matches!(acts, [.., Answer(..)]),
        "only a worker's answer has a seal"
    );
    let may_retry = status == 503 || status == 429;
    assert_eq!(answered.headers.contains_key("retry-after"), may_retry);
}

/// A request that may have run is reported as unknown and never sent again.
#[rstest]
#[case::reset(Reset, 502)]
#[case::truncated(Truncated, 502)]
#[case::foreign(Foreign, 502)]
#[case::without_seal(NoSeal, 502)]
#[case::junk(Junk, 502)]
#[case::own_failure(Answer(500, "failed"), 500)]
#[case::served(Answer(201, "made"), 201)]
#[tokio::test]
async fn booking_runs_at_most_once(#[case] act: WorkerAct, #[case] status: u16) {
    check_call("/book/1", &[act], status, 1).await;
}

#[tokio::test]
async fn booking_rejected_by_all_workers_is_refused() {
    check_call("/book/1", &[Rejected], 503, 1).await;
}

#[rstest]
#[case::reset(Reset)]
#[case::truncated(Truncated)]
#[case::foreign(Foreign)]
#[case::junk(Junk)]
#[case::own_failure(Answer(500, "failed"))]
#[case::rejected(Rejected)]
#[tokio::test]
async fn idempotent_request_is_retried_at_another_worker(#[case] act: WorkerAct) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([act]);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "b")]).await;
    let answered = site.call("/look/1", "r1").await;
    assert_eq!(
        (answered.status, answered.body.as_str()),
        (StatusCode::OK, "ok")
    );
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// With a single server, an idempotent request is retried there, and the server's
/// last answer takes precedence over a reply of the entry.
#[rstest]
#[case(&[Answer(500, "failed")], 200, 2)]
#[case(&[Answer(500, "failed"), Answer(500, "failed")], 500, 2)]
#[case(&[Answer(500, "failed"), Reset], 500, 2)]
#[tokio::test]
async fn idempotent_request_is_retried_at_the_only_worker(
    #[case] acts: &[WorkerAct],
    #[case] status: u16,
    #[case] sends: usize,
) {
    let worker = start_worker("i1").await;
    worker.script(acts.iter().cloned());
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let mut request = caller_request("/look/1", "r1");
    *request.uri_mut() = http::Uri::from_static("/twice/1");
    let answered = site.send(request).await;
    assert_eq!(answered.status.as_u16(), status, "{answered:?}");
    assert_eq!(worker.requests().len(), sends);
}

#[tokio::test]
async fn rejected_booking_goes_to_another_worker() {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([Rejected]);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "b")]).await;
    assert_eq!(site.call("/book/1", "r1").await.status, StatusCode::OK);
    assert_eq!(second.requests().len(), 1);
}

#[tokio::test]
async fn worker_gets_the_original_request_and_the_system_headers() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let mut request = caller_request("/book/2f?x=%2F1", "r1");
    let forged = ["x-bamboocross-tenant", "x-bamboocross-hold", "kv-from"];
    for name in forged {
        request
            .headers_mut()
            .insert(name, "forged".parse().expect("a value"));
    }
    assert_eq!(site.send(request).await.status, StatusCode::OK);
    let got = &worker.requests()[0];
    assert!(
        got.head.starts_with("POST /book/2f?x=%2F1 HTTP/1.1\r\n"),
        "{}",
        got.head
    );
    assert_eq!(got.body, b"body");
    assert_eq!(got.header("host"), Some("a.example"));
    assert_eq!(got.header("x-bamboocross-tenant"), Some("north"));
    assert_eq!(got.header("x-bamboocross-request-id"), Some("r1"));
    let target = format!("i-{}", worker.address.port());
    assert_eq!(
        got.header("x-bamboocross-target-instance"),
        Some(target.as_str())
    );
    let left: u64 = got
        .header("x-bamboocross-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!(left <= 15_000);
    for name in ["authorization", "x-bamboocross-hold", "kv-from"] {
        assert_eq!(got.header(name), None, "{name}");
    }
}

/// Surplus bytes after an answer are never taken as the answer to the next
/// request.
#[tokio::test]
async fn surplus_answer_is_discarded() {
    let worker = start_worker("i1").await;
    worker.script([Extra, Extra, Extra]);
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    for id in ["r1", "r2", "r3", "r4"] {
        let answered = site.call("/look/1", id).await;
        assert_eq!(
            (answered.status, answered.body.as_str()),
            (StatusCode::OK, "ok")
        );
        let seal = answered.headers.get("x-bamboocross-server-seal");
        assert_eq!(
            seal.and_then(|seal| seal.to_str().ok()),
            Some(format!("seal-{id}").as_str())
        );
    }
}

#[rstest]
#[case::no_route("/none/1", Some("k1"), "r1", 404)]
#[case::no_key("/look/1", None, "r1", 401)]
#[case::other_key("/look/1", Some("k2"), "r1", 401)]
#[case::no_id("/look/1", Some("k1"), "", 400)]
#[tokio::test]
async fn invalid_requests_are_not_sent_to_a_worker(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] id: &str,
    #[case] status: u16,
) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let mut request = Request::get(path).header("host", "a.example");
    if !id.is_empty() {
        request = request.header("x-bamboocross-request-id", id);
    }
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    assert_eq!(site.send(request).await.status.as_u16(), status);
    assert!(worker.requests().is_empty());
}

#[tokio::test]
async fn body_over_the_limit_is_not_sent_to_a_worker() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let mut request = caller_request("/book/1", "r1");
    *request.body_mut() = Full::from(vec![b'x'; 1_001]);
    assert_eq!(
        site.send(request).await.status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    assert!(worker.requests().is_empty());
    assert_eq!(site.call("/book/1", "r2").await.status, StatusCode::OK);
}

#[tokio::test]
async fn passed_deadline_is_answered_with_a_timeout() {
    let worker = start_worker("i1").await;
    worker.script([WorkerAct::Silence]);
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let mut request = caller_request("/book/1", "r1");
    let limit = "300".parse().expect("a value");
    request
        .headers_mut()
        .insert("x-bamboocross-deadline-ms", limit);
    assert_eq!(site.send(request).await.status, StatusCode::GATEWAY_TIMEOUT);
    crate::support::wait_for("the send to be cancelled", async || worker.abandoned() == 1).await;
}
