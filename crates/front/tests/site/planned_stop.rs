//! Planned stops: what was admitted is answered before the process ends, and what can
//! no longer be answered is refused while it has not run.

use std::time::Duration;

use crate::support::{
    DESK, POOL, TestSite, caller_request, events, read_response, send_request, wait_for,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use stand_ins::{ScriptedWorker, StreamEnd, WorkerAct};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

/// Grace period of most tests. Requests are refused from 0.75 s on, and those in
/// progress are given up after 1.76 s.
const GRACE_SECONDS: u64 = 2;
/// A time at which only requests that end in time are admitted.
const WHILE_CLOSING: Duration = Duration::from_millis(1_000);
/// Time within which new settings are read.
const RELOAD_TIME: Duration = Duration::from_millis(1_300);

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// Starts an entry with the grace period of the tests.
async fn start_site(workers: &[(&str, &ScriptedWorker, &str)]) -> TestSite {
    let site = TestSite::start(workers).await;
    change_grace(&site, GRACE_SECONDS).await;
    site
}

async fn change_grace(site: &TestSite, seconds: u64) {
    site.change_settings(|settings| settings["grace_seconds"] = json!(seconds));
    site.signal(Signal::SIGHUP);
    sleep(RELOAD_TIME).await;
}

/// Sends a request in the background.
fn start_request(
    site: &TestSite,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<http::Response<hyper::body::Incoming>> {
    tokio::spawn(send_request(site.listen, request))
}

/// Guards against connections that end without an answer: a stream kept the grace period
/// that was in force when it began, while the process ended by the new one.
#[tokio::test]
async fn settings_changed_before_a_stop_hold_for_open_streams() {
    let worker = start_worker("i1").await;
    let mut site = TestSite::start(&[(POOL, &worker, "a")]).await;
    worker.script([WorkerAct::Silence]);
    let open = start_request(&site, caller_request("/once/1", "r1"));
    wait_for("the run", async || !worker.ran().is_empty()).await;
    change_grace(&site, GRACE_SECONDS).await;
    site.signal(Signal::SIGTERM);
    let answered = read_response(open.await.expect("the caller runs")).await;
    assert_eq!(answered.status, StatusCode::BAD_GATEWAY);
    assert!(site.wait_exit().await.success());
}

/// Guards against requests that are passed on late and then cut: they were admitted
/// early and waited for a server.
#[rstest]
#[case::stream("/once/1", POOL)]
#[case::resumable_stream("/report/1", POOL)]
#[case::call("/book/1", DESK)]
#[tokio::test]
async fn waiting_request_is_refused_when_the_entry_closes(
    #[case] path: &str,
    #[case] service: &str,
) {
    let worker = start_worker("i1").await;
    let mut site = start_site(&[(service, &worker, "a")]).await;
    // A request in a second, beyond a few at once, so that some have to wait.
    worker.name_limit(Some("1"));
    let act = if service == POOL {
        WorkerAct::Events(3, StreamEnd::Complete)
    } else {
        WorkerAct::Answer(200, "ok")
    };
    worker.script(std::iter::repeat_n(act, 50));
    let before = site.call(path, "before").await;
    assert_eq!((before.status, before.complete), (StatusCode::OK, true));
    let open: Vec<_> = (0..12)
        .map(|number| start_request(&site, caller_request(path, &format!("r{number}"))))
        .collect();
    sleep(Duration::from_millis(100)).await;
    site.signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let mut refused = 0;
    for answer in open {
        let answered = read_response(answer.await.expect("the caller runs")).await;
        assert!(answered.complete, "{answered:?}");
        if answered.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(answered.headers.contains_key("retry-after"));
            refused += 1;
        } else {
            assert_eq!(answered.status, StatusCode::OK);
        }
    }
    assert!(
        stopped.elapsed() < Duration::from_millis(1_500),
        "refused at once"
    );
    let arrivals = worker.arrivals();
    assert!(refused > 0, "none had to wait");
    assert_eq!(arrivals.len() + refused, 13, "refused or run, not both");
    let closed = stopped + WHILE_CLOSING;
    let late = arrivals.iter().filter(|arrival| arrival.at >= closed);
    assert_eq!(late.count(), 0, "requests passed on while closing");
    assert!(site.wait_exit().await.success());
}

/// Sends a request whose body follows its head after `pause`.
async fn send_late_body(site: &TestSite, path: &str, deadline_ms: u64, pause: Duration) -> String {
    let mut stream = TcpStream::connect(site.listen).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-bamboocross-request-id: late\r\n\
         x-bamboocross-deadline-ms: {deadline_ms}\r\nauthorization: Bearer k1\r\n\
         content-length: 4\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    sleep(pause).await;
    stream.write_all(b"body").await.expect("a body");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

/// Guards against requests that are passed on late and then cut: the head was read
/// before the entry began to close, and the body long after.
#[rstest]
#[case::call("/book/1", DESK, 15_000, "HTTP/1.1 503")]
#[case::stream("/once/1", POOL, 15_000, "HTTP/1.1 503")]
#[case::call_that_ends_in_time("/book/1", DESK, 1_400, "HTTP/1.1 200")]
#[tokio::test]
async fn late_body_is_admitted_only_if_there_is_time(
    #[case] path: &str,
    #[case] service: &str,
    #[case] deadline_ms: u64,
    #[case] expected: &str,
) {
    let worker = start_worker("i1").await;
    let site = start_site(&[(service, &worker, "a")]).await;
    let send = send_late_body(&site, path, deadline_ms, WHILE_CLOSING);
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        site.signal(Signal::SIGTERM);
    };
    let (answer, ()) = futures_util::join!(send, stop);
    assert!(answer.starts_with(expected), "{answer}");
    let runs = usize::from(expected.ends_with("200"));
    assert_eq!(worker.ran().len(), runs);
}

/// Guards against calls without an answer: the server was still silent when the
/// process ended.
#[rstest]
#[case::at_most_once("/book/1", StatusCode::BAD_GATEWAY)]
#[case::repeatable("/twice/1", StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn call_in_progress_is_answered_before_the_process_ends(
    #[case] path: &str,
    #[case] expected: StatusCode,
) {
    let worker = start_worker("i1").await;
    let mut site = start_site(&[(DESK, &worker, "a")]).await;
    worker.script(std::iter::repeat_n(WorkerAct::Silence, 9));
    let open = start_request(&site, caller_request(path, "r1"));
    wait_for("the run", async || !worker.ran().is_empty()).await;
    site.signal(Signal::SIGTERM);
    let answered = read_response(open.await.expect("the caller runs")).await;
    assert_eq!((answered.status, answered.complete), (expected, true));
    assert!(site.wait_exit().await.success());
}

/// Guards against a stop that ends at once: the signal came several times, with one for
/// the settings among them.
#[tokio::test]
async fn repeated_signals_do_not_end_a_drain() {
    let (pool, desk) = (start_worker("i1").await, start_worker("i2").await);
    let mut site = TestSite::start(&[(POOL, &pool, "a"), (DESK, &desk, "a")]).await;
    pool.script([WorkerAct::Events(400, StreamEnd::Complete)]);
    desk.script([WorkerAct::AnswerAfter(Duration::from_millis(600))]);
    let stream = start_request(&site, caller_request("/once/1", "r1"));
    let call = start_request(&site, caller_request("/book/1", "r2"));
    wait_for("both runs", async || {
        !pool.ran().is_empty() && !desk.ran().is_empty()
    })
    .await;
    for signal in [
        Signal::SIGTERM,
        Signal::SIGTERM,
        Signal::SIGHUP,
        Signal::SIGTERM,
    ] {
        site.signal(signal);
        sleep(Duration::from_millis(60)).await;
    }
    let called = read_response(call.await.expect("the caller runs")).await;
    assert_eq!((called.status, called.complete), (StatusCode::OK, true));
    let streamed = read_response(stream.await.expect("the caller runs")).await;
    assert_eq!((streamed.body, streamed.complete), (events(1..=400), true));
    assert!(site.wait_exit().await.success());
}

/// An operator who does not want to wait can still end a drain.
#[tokio::test]
async fn interrupt_during_a_drain_ends_at_once() {
    let worker = start_worker("i1").await;
    let mut site = TestSite::start(&[(DESK, &worker, "a")]).await;
    site.signal(Signal::SIGTERM);
    site.wait_state(|text| text.contains("Leaving")).await;
    site.signal(Signal::SIGINT);
    assert_eq!(site.wait_exit().await.code(), Some(4));
}

/// Guards against requests on connections that are about to close: the answer to a
/// request from before the signal did not say so.
#[tokio::test]
async fn answer_during_a_drain_announces_the_close() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script([WorkerAct::AnswerAfter(Duration::from_millis(600))]);
    let open = start_request(&site, caller_request("/book/1", "r1"));
    wait_for("the run", async || !worker.ran().is_empty()).await;
    site.signal(Signal::SIGTERM);
    let answered = read_response(open.await.expect("the caller runs")).await;
    assert_eq!(answered.status, StatusCode::OK);
    let close = answered.headers.get("connection");
    assert_eq!(close.and_then(|value| value.to_str().ok()), Some("close"));
}

/// Guards against runs that are cut and cannot be repeated: a stream that may not be
/// resumed, and may last beyond the grace period, is refused while it has not run.
#[rstest]
#[case::at_most_once("/once/1", StatusCode::SERVICE_UNAVAILABLE)]
#[case::resumable("/report/1", StatusCode::OK)]
#[tokio::test]
async fn stream_that_cannot_be_resumed_is_not_begun_during_a_drain(
    #[case] path: &str,
    #[case] expected: StatusCode,
) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    worker.script([WorkerAct::Events(3, StreamEnd::Complete)]);
    site.signal(Signal::SIGTERM);
    site.wait_state(|text| text.contains("Leaving")).await;
    let answered = site.call(path, "r1").await;
    assert_eq!(answered.status, expected);
    assert_eq!(worker.ran().len(), usize::from(expected == StatusCode::OK));
    if expected == StatusCode::SERVICE_UNAVAILABLE {
        let retry_after = answered.headers.get("retry-after").expect("a time");
        let seconds: f64 = retry_after
            .to_str()
            .expect("text")
            .parse()
            .expect("seconds");
        // The load balancer needs about two seconds to send callers elsewhere.
        assert!((2.0..=5.0).contains(&seconds), "{seconds}");
    }
}
