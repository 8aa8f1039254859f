//! Streams through workers that die, hang and tear their events.

use crate::support::{POOL, TestSite, caller_request, events, send_request, wait_for};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use stand_ins::{ScriptedWorker, StreamEnd, WorkerAct};

use WorkerAct::{Events, Rejected};

async fn pool(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// The first worker ends its stream like this; the second has a copy.
#[rstest]
#[case::cut(StreamEnd::Cut)]
#[case::torn(StreamEnd::Torn)]
#[case::hang(StreamEnd::Hang)]
#[tokio::test]
async fn stream_goes_on_from_its_copy(#[case] end: StreamEnd) {
    let (first, second) = (pool("i1").await, pool("i2").await);
    first.script([Events(5, end)]);
    second.script([Events(9, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    let answered = site.call("/report/1", "r1").await;
    assert_eq!(answered.status, StatusCode::OK);
    assert_eq!(answered.body, events(1..=9), "each event once and in order");
    assert!(answered.complete);
    let seal = answered.headers.get("x-bamboocross-server-seal");
    assert_eq!(
        seal.and_then(|seal| seal.to_str().ok()),
        Some("i1"),
        "of the first worker"
    );
    let (sent, resumed) = (&first.requests()[0], &second.requests()[0]);
    let holder = second.address.to_string();
    assert_eq!(
        sent.header("x-bamboocross-kv-backup"),
        Some(holder.as_str())
    );
    assert_eq!(sent.header("last-event-id"), None);
    assert_eq!(resumed.header("last-event-id"), Some("5"));
    let copy = format!("{holder}/r1");
    assert_eq!(resumed.header("kv-from"), Some(copy.as_str()));
}

#[tokio::test]
async fn stream_without_its_copy_is_read_anew() {
    let (first, second, third) = (pool("i1").await, pool("i2").await, pool("i3").await);
    first.script([Events(4, StreamEnd::Cut)]);
    for other in [&second, &third] {
        other.script([Rejected, Events(6, StreamEnd::Complete)]);
    }
    let workers = [
        (POOL, &first, "a"),
        (POOL, &second, "b"),
        (POOL, &third, "b"),
    ];
    let site = TestSite::start(&workers).await;
    let answered = site.call("/report/1", "r1").await;
    assert_eq!((answered.body, answered.complete), (events(1..=6), true));
    let anew: Vec<_> = [second.requests(), third.requests()].concat();
    let plain = anew
        .iter()
        .filter(|request| request.header("kv-from").is_none());
    assert!(plain.count() >= 1);
}

/// Only a route that says so is resumed; else the caller sees a cut, not an end.
#[tokio::test]
async fn stream_that_runs_once_is_not_resumed() {
    let (first, second) = (pool("i1").await, pool("i2").await);
    first.script([Events(3, StreamEnd::Torn)]);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    let answered = site.call("/once/1", "r1").await;
    assert_eq!(answered.body, events(1..=3));
    assert!(!answered.complete);
    assert!(second.requests().is_empty());
    assert_eq!(first.requests()[0].header("x-bamboocross-kv-backup"), None);
}

/// Silence alone ends no stream that runs once: its time limit does.
#[tokio::test]
async fn silent_stream_that_runs_once_is_waited_for() {
    let worker = pool("i1").await;
    worker.script([Events(2, StreamEnd::Hang)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut request = caller_request("/once/1", "r1");
    // Beyond the silence after which a stream that may be resumed moves.
    let limit = "4000".parse().expect("a value");
    request
        .headers_mut()
        .insert("x-bamboocross-deadline-ms", limit);
    let answered = site.send(request).await;
    assert_eq!((answered.body, answered.complete), (events(1..=2), false));
    let ended = "bamboocross_front_requests_total{outcome=\"timeout\"}";
    wait_for("the end to be counted", async || {
        site.metric("bamboocross_front_requests_total").await == 1.0
    })
    .await;
    assert_eq!(site.metric(ended).await, 1.0);
}

#[tokio::test]
async fn caller_resumes_where_it_stopped() {
    let worker = pool("i1").await;
    worker.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut request = caller_request("/report/1", "r2");
    let position = "5".parse().expect("a value");
    request.headers_mut().insert("last-event-id", position);
    assert_eq!(site.send(request).await.body, events(6..=8));
}

/// A caller that resumes a stream, and the part of its prompt that is its own.
fn resuming_request(id: &str, part: &str) -> Request<Full<Bytes>> {
    let mut request = caller_request("/report/1", id);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("5"));
    headers.insert(
        "x-bamboocross-token-counts",
        HeaderValue::from_static("8000,900"),
    );
    let prefix = format!("5c1e07a2:200,{part}:7800");
    headers.insert("x-bamboocross-prompt-prefix", value(&prefix));
    request
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a value")
}

/// The server that has the prompt goes before one in the own failure domain.
#[tokio::test]
async fn resumed_stream_goes_where_its_prompt_is() {
    let (own, away) = (pool("i1").await, pool("i2").await);
    away.hold("91bd3f06", 7_800);
    away.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &own, "a"), (POOL, &away, "b")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    assert!(own.requests().is_empty(), "the prompt is not read anew");
    assert_eq!(away.requests()[0].header("kv-fetch"), None);
}

/// Where the server that has the prompt is full, another one fetches it.
#[tokio::test]
async fn prompt_is_fetched_from_a_server_that_is_full() {
    let (own, away) = (pool("i1").await, pool("i2").await);
    away.hold("91bd3f06", 7_800);
    away.script([Rejected]);
    own.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &own, "a"), (POOL, &away, "b")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    let source = away.address.to_string();
    assert_eq!(own.requests()[0].header("kv-fetch"), Some(source.as_str()));
}

/// Streams that come back together cost one search.
#[tokio::test]
async fn streams_that_come_back_together_share_a_search() {
    let worker = pool("i1").await;
    worker.hold("91bd3f06", 7_800);
    worker.script(std::iter::repeat_n(Events(8, StreamEnd::Complete), 6));
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let requests = (0..6).map(|number| site.send(resuming_request(&format!("r{number}"), "other")));
    for answered in join_all(requests).await {
        assert_eq!(answered.body, events(6..=8));
    }
    assert!(worker.listings() <= 2, "{} searches", worker.listings());
    let searches = "bamboocross_front_prompt_searches_total{outcome=\"absent\"}";
    assert_eq!(site.metric(searches).await, 6.0);
}

/// A server that does not answer the search holds up no stream for long.
#[tokio::test]
async fn server_without_a_listing_holds_nothing() {
    let worker = pool("i1").await;
    worker.mute_listings();
    worker.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    assert_eq!(worker.listings(), 1);
}

#[tokio::test]
async fn caller_that_leaves_ends_the_work() {
    let worker = pool("i1").await;
    worker.script([Events(2, StreamEnd::Hang)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut response = send_request(site.listen, caller_request("/report/1", "r1")).await;
    assert!(
        response
            .body_mut()
            .frame()
            .await
            .is_some_and(|frame| frame.is_ok())
    );
    drop(response);
    wait_for("the work to be given up", async || worker.abandoned() == 1).await;
    assert_eq!(worker.requests().len(), 1);
}

#[tokio::test]
async fn stream_that_no_worker_takes_is_refused() {
    let worker = pool("i1").await;
    worker.script(std::iter::repeat_n(Rejected, 20));
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let answered = site.call("/report/1", "r1").await;
    assert_eq!(answered.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answered.headers.contains_key("retry-after"));
}
