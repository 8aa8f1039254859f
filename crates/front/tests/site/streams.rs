//! Streams over workers that crash, hang and send truncated events.

use crate::support::{POOL, TestSite, caller_request, events, send_request, wait_for};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use stand_ins::{ScriptedWorker, StreamEnd, WorkerAct};

use WorkerAct::{Events, Rejected};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// The first worker ends its stream abnormally; the second one holds a copy of
/// its KV cache.
#[rstest]
#[case::cut(StreamEnd::Cut)]
#[case::torn(StreamEnd::Torn)]
#[case::hang(StreamEnd::Hang)]
#[tokio::test]
async fn stream_resumes_from_its_copy(#[case] end: StreamEnd) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
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
        "the head is the first worker's"
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

/// The server that holds the copy rejects the request, so the prefill is repeated
/// at another server.
#[tokio::test]
async fn stream_whose_copy_holder_rejects_repeats_the_prefill() {
    let (first, second, third) = (
        start_worker("i1").await,
        start_worker("i2").await,
        start_worker("i3").await,
    );
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
    let resumed: Vec<_> = [second.requests(), third.requests()].concat();
    let without_copy = resumed
        .iter()
        .filter(|request| request.header("kv-from").is_none());
    assert!(without_copy.count() >= 1);
}

/// A stream is resumed only if its route allows it. Otherwise the caller sees an
/// aborted response, not a complete one.
#[tokio::test]
async fn stream_of_a_non_resumable_route_is_aborted() {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([Events(3, StreamEnd::Torn)]);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    let answered = site.call("/once/1", "r1").await;
    assert_eq!(answered.body, events(1..=3));
    assert!(!answered.complete);
    assert!(second.requests().is_empty());
    assert_eq!(first.requests()[0].header("x-bamboocross-kv-backup"), None);
}

/// Silence alone does not end a stream that may run at most once; its deadline
/// does.
#[tokio::test]
async fn silent_stream_of_a_non_resumable_route_lasts_until_its_deadline() {
    let worker = start_worker("i1").await;
    worker.script([Events(2, StreamEnd::Hang)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut request = caller_request("/once/1", "r1");
    // Longer than the silence after which a resumable stream is resumed elsewhere.
    let limit = "4000".parse().expect("a value");
    request
        .headers_mut()
        .insert("x-bamboocross-deadline-ms", limit);
    let answered = site.send(request).await;
    assert_eq!((answered.body, answered.complete), (events(1..=2), false));
    let ended = "bamboocross_front_requests_total{outcome=\"timeout\"}";
    wait_for("the end of the stream to be counted", async || {
        site.metric("bamboocross_front_requests_total").await == 1.0
    })
    .await;
    assert_eq!(site.metric(ended).await, 1.0);
}

#[tokio::test]
async fn caller_resumes_after_its_last_event() {
    let worker = start_worker("i1").await;
    worker.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut request = caller_request("/report/1", "r2");
    let position = "5".parse().expect("a value");
    request.headers_mut().insert("last-event-id", position);
    assert_eq!(site.send(request).await.body, events(6..=8));
}

/// Request that resumes a stream. `part` is the last part of its prompt.
fn resuming_request(id: &str, part: &str) -> Request<Full<Bytes>> {
    let mut request = caller_request("/report/1", id);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("5"));
    headers.insert(
        "x-bamboocross-token-counts",
        HeaderValue::from_static("8000,900"),
    );
    let prefix = format!("5c1e07a2:200,{part}:7800");
    headers.insert("x-bamboocross-prompt-prefix", header_value(&prefix));
    request
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a value")
}

/// A server that has cached the prompt is preferred over one in the entry's own
/// failure domain.
#[tokio::test]
async fn resumed_stream_goes_to_the_server_with_its_prompt() {
    let (local, remote) = (start_worker("i1").await, start_worker("i2").await);
    remote.hold("91bd3f06", 7_800);
    remote.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &local, "a"), (POOL, &remote, "b")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    assert!(local.requests().is_empty(), "the prefill is not repeated");
    assert_eq!(remote.requests()[0].header("kv-fetch"), None);
}

/// If the server that has cached the prompt is full, another server fetches it
/// from there.
#[tokio::test]
async fn prompt_is_fetched_from_a_full_server() {
    let (local, remote) = (start_worker("i1").await, start_worker("i2").await);
    remote.hold("91bd3f06", 7_800);
    remote.script([Rejected]);
    local.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &local, "a"), (POOL, &remote, "b")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    let source = remote.address.to_string();
    assert_eq!(
        local.requests()[0].header("kv-fetch"),
        Some(source.as_str())
    );
}

/// Streams that resume at the same time share the listings of cached prompts. Each
/// counts as a search of its own.
#[tokio::test]
async fn concurrent_resumes_share_the_listings() {
    let worker = start_worker("i1").await;
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

/// A server that does not answer the search counts as having no prompt, and the
/// stream starts without it.
#[tokio::test]
async fn server_that_does_not_list_its_prompts_has_none() {
    let worker = start_worker("i1").await;
    worker.mute_listings();
    worker.script([Events(8, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let answered = site.send(resuming_request("r2", "91bd3f06")).await;
    assert_eq!(answered.body, events(6..=8));
    assert_eq!(worker.listings(), 1);
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let worker = start_worker("i1").await;
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
    wait_for("the worker's request to be cancelled", async || {
        worker.abandoned() == 1
    })
    .await;
    assert_eq!(worker.requests().len(), 1);
}

#[tokio::test]
async fn stream_rejected_by_all_workers_is_refused() {
    let worker = start_worker("i1").await;
    worker.script(std::iter::repeat_n(Rejected, 20));
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let answered = site.call("/report/1", "r1").await;
    assert_eq!(answered.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answered.headers.contains_key("retry-after"));
}

/// Of several servers, the one whose present load is the least gets the stream.
#[tokio::test]
async fn stream_goes_to_the_least_loaded_server() {
    let workers = [
        start_worker("i1").await,
        start_worker("i2").await,
        start_worker("i3").await,
    ];
    for (worker, load) in workers.iter().zip(["2,3,8", "1,0,8", "5,1,8"]) {
        worker.set_load(load);
    }
    let listed: Vec<_> = workers.iter().map(|worker| (POOL, worker, "a")).collect();
    let site = TestSite::start(&listed).await;
    for number in 0..6 {
        let answered = site.call("/report/1", &format!("r{number}")).await;
        assert!(answered.complete);
    }
    let counts = workers.each_ref().map(|worker| worker.requests().len());
    assert_eq!(counts, [0, 6, 0]);
}

/// A new stream whose first event would be late everywhere is refused before it is
/// sent; one that its caller resumes is not.
#[tokio::test]
async fn stream_that_would_start_late_is_refused() {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    for worker in [&first, &second] {
        worker.set_load("8,40,8");
        worker.script([Events(8, StreamEnd::Complete)]);
    }
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    let refused = site.call("/report/1", "r1").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    assert!(first.requests().is_empty() && second.requests().is_empty());
    let overloaded = "bamboocross_front_refusals_total{reason=\"overloaded\"}";
    assert_eq!(site.metric(overloaded).await, 1.0);
    let mut resumed = caller_request("/report/1", "r2");
    let position = HeaderValue::from_static("5");
    resumed.headers_mut().insert("last-event-id", position);
    assert_eq!(site.send(resumed).await.body, events(6..=8));
}
