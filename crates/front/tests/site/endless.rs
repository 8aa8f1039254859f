//! Servers that send bytes without end. The entry's memory stays bounded, and the
//! caller gets an honest answer within its time.

use std::time::{Duration, Instant};

use crate::support::{DESK, POOL, TestSite, caller_request, events, send_request};
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use stand_ins::{EndlessPace, EndlessPart, ScriptedWorker, StreamEnd, WorkerAct};

use EndlessPace::{Fast, Slow};
use EndlessPart::{Announced, Body, Chunks, HeaderLine, Headers, Interim, OneChunk, Trailers};

/// Memory that the entry may take beyond what it had before, in bytes: the bound on
/// all large answers, and as much for the allocator and the sockets.
const GROWTH_MAX: f64 = 40.0 * 1_048_576.0;

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

async fn memory(site: &TestSite) -> f64 {
    site.metric("bamboocross_front_memory_bytes").await
}

/// A booking that met an endless answer may have run.
#[rstest]
#[tokio::test]
async fn booking_gets_an_unknown_outcome(
    #[values(
        HeaderLine, Headers, Interim, Chunks, OneChunk, Body, Announced, Trailers
    )]
    part: EndlessPart,
    #[values(Fast, Slow)] pace: EndlessPace,
) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script([WorkerAct::Endless(part, pace)]);
    let mut request = caller_request("/book/1", "r1");
    let limit = "1000".parse().expect("a value");
    request
        .headers_mut()
        .insert("x-bamboocross-deadline-ms", limit);
    let started = Instant::now();
    let answered = site.send(request).await;
    assert!(
        matches!(
            answered.status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        ),
        "{answered:?}"
    );
    assert!(started.elapsed() < Duration::from_secs(3));
    assert_eq!(worker.requests().len(), 1);
    assert_eq!(site.call("/book/1", "r2").await.status, StatusCode::OK);
}

/// Many endless answers at once do not exhaust the memory, and other requests are
/// served meanwhile.
#[rstest]
#[tokio::test]
async fn memory_stays_bounded_under_many_endless_answers(
    #[values(HeaderLine, Chunks, OneChunk, Body)] part: EndlessPart,
) {
    let (bad, good) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(DESK, &bad, "a"), (POOL, &good, "a")]).await;
    let before = memory(&site).await;
    bad.script(std::iter::repeat_n(WorkerAct::Endless(part, Fast), 60));
    let ids: Vec<String> = (0..60).map(|number| format!("r{number}")).collect();
    let calls = join_all(ids.iter().map(|id| {
        let mut request = caller_request("/book/1", id);
        let limit = "2000".parse().expect("a value");
        request
            .headers_mut()
            .insert("x-bamboocross-deadline-ms", limit);
        site.send(request)
    }));
    let watch = async {
        let mut most = 0.0_f64;
        for _ in 0..20 {
            most = most.max(memory(&site).await);
            assert_eq!(site.call("/report/1", "good").await.status, StatusCode::OK);
        }
        most
    };
    let (answers, most) = futures_util::join!(calls, watch);
    for answered in answers {
        assert!(answered.status.is_server_error(), "{answered:?}");
    }
    let growth = most - before;
    assert!(growth < GROWTH_MAX, "grew by {growth} bytes");
}

/// A stream whose server sends no events goes on at another server.
#[rstest]
#[tokio::test]
async fn stream_continues_at_another_server(
    #[values(HeaderLine, Headers, Chunks, OneChunk, Body, Announced)] part: EndlessPart,
    #[values(Fast, Slow)] pace: EndlessPace,
) {
    let (bad, good) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(POOL, &bad, "a"), (POOL, &good, "b")]).await;
    bad.script([WorkerAct::Endless(part, pace)]);
    good.script([WorkerAct::Events(4, StreamEnd::Complete)]);
    let answered = site.call("/report/1", "r1").await;
    assert_eq!(answered.status, StatusCode::OK, "{answered:?}");
    assert_eq!((answered.body, answered.complete), (events(1..=4), true));
}

/// The entry's own calls end in time and leave it serving.
#[tokio::test]
async fn listing_without_end_is_given_up() {
    let worker = start_worker("i1").await;
    worker.script([WorkerAct::Events(8, StreamEnd::Complete)]);
    worker.answer_listings_endlessly(Chunks);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut request = caller_request("/report/1", "r1");
    let headers = request.headers_mut();
    headers.insert("last-event-id", "5".parse().expect("a value"));
    let prefix = "5c1e07a2:200,91bd3f06:7800".parse().expect("a value");
    headers.insert("x-bamboocross-prompt-prefix", prefix);
    let answered = site.send(request).await;
    assert_eq!(answered.body, events(6..=8));
    assert_eq!(worker.listings(), 1);
}

/// A server whose health answer never ends is passed over.
#[rstest]
#[tokio::test]
async fn health_answer_without_end_is_given_up(
    #[values(HeaderLine, Headers, Interim, Chunks, Body)] part: EndlessPart,
) {
    let (bad, good) = (start_worker("i1").await, start_worker("i2").await);
    bad.answer_health_endlessly(part);
    let site = TestSite::start(&[(POOL, &bad, "a"), (POOL, &good, "b")]).await;
    for number in 0..4 {
        let answered = site.call("/report/1", &format!("r{number}")).await;
        assert_eq!((answered.status, answered.complete), (StatusCode::OK, true));
    }
    assert!(bad.requests().is_empty());
}

/// The connection of an endless answer is closed, also when its caller leaves.
#[tokio::test]
async fn endless_stream_ends_with_its_caller() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    worker.script([WorkerAct::Events(2, StreamEnd::Dribble(": alive\n\n"))]);
    let response = send_request(site.listen, caller_request("/once/1", "r1")).await;
    drop(response);
    crate::support::wait_for("the end of the server's stream", async || {
        worker.abandoned() == 1
    })
    .await;
}
