//! Servers that announce that they are leaving, and servers that ask for a pause.

use std::{process::Stdio, time::Duration};

use crate::support::{
    DESK, POOL, TestSite, caller_request, desired_state, events, read_response, send_request,
    wait_for,
};
use http::StatusCode;
use rstest::rstest;
use stand_ins::{RowStore, ScriptedWorker, StoreMode, StreamEnd, WorkerAct};
use tokio::time::sleep;

use WorkerAct::{Events, Pause};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

fn retry_after(response: &crate::support::TestResponse) -> f64 {
    let value = response.headers.get("retry-after");
    value
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .expect("a Retry-After time")
}

/// Whatever happens to its registration, a server that announced that it is leaving
/// gets no request again.
#[tokio::test]
async fn leaving_server_gets_no_further_request() {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "b")]).await;
    first.leave();
    wait_for("an answer of the leaving server", async || {
        site.call("/look/1", "r1").await;
        !first.requests().is_empty()
    })
    .await;
    let before = first.requests().len();
    let key = format!("i-{}", first.address.port());
    for _ in 0..3 {
        site.register(DESK, &first, "a", "ready");
        site.store.remove("servers", &key);
        site.wait_state(|text| !text.contains(&key)).await;
        site.register(DESK, &first, "a", "ready");
        site.wait_state(|text| text.contains(&key)).await;
        for _ in 0..4 {
            assert_eq!(site.call("/look/1", "r2").await.status, StatusCode::OK);
        }
    }
    assert_eq!(first.requests().len(), before);
}

/// Another start of the server is another instance, also under the same name.
#[tokio::test]
async fn new_instance_at_the_address_starts_clean() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script([WorkerAct::AnswerWith("server-leaving: 1")]);
    assert_eq!(site.call("/look/1", "r1").await.status, StatusCode::OK);
    let refused = site.call("/look/1", "r2").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let row = serde_json::json!({
        "service": DESK, "addr": worker.address.to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 2,
    });
    let key = format!("i-{}", worker.address.port());
    site.store.put("servers", &key, row.to_string().as_bytes());
    site.wait_state(|text| text.contains("\"leaving\":false"))
        .await;
    assert_eq!(site.call("/look/1", "r3").await.status, StatusCode::OK);
}

/// The mark reaches the entry that follows, which never met the server.
#[tokio::test]
async fn leaving_server_is_handed_on_to_followers() {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let address = store.address;
    let first = TestSite::start_entry("front-1", store.clone(), address, Stdio::null());
    first.wait_ready().await;
    let second = TestSite::start_entry("front-2", store, address, Stdio::null());
    second.wait_ready().await;
    let worker = start_worker("i1").await;
    first.register(DESK, &worker, "a", "ready");
    for site in [&first, &second] {
        site.wait_state(|text| text.contains("\"leaving\":false"))
            .await;
    }
    worker.leave();
    assert_eq!(first.call("/look/1", "r1").await.status, StatusCode::OK);
    second
        .wait_state(|text| text.contains("\"leaving\":true"))
        .await;
    let refused = second.call("/look/1", "r2").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(worker.requests().len(), 1);
}

/// While it lasts, a pause covers plain requests, streams, KV calls, listings and
/// health checks; afterwards the server gets requests again.
#[tokio::test]
async fn pause_covers_everything_that_is_sent() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    worker.script([Pause("1.5"), Events(3, StreamEnd::Complete)]);
    let refused = site.call("/report/1", "r1").await;
    assert_eq!(refused.status, StatusCode::OK, "a short pause is awaited");
    assert_eq!(refused.body, events(1..=3));
    worker.script([Pause("30")]);
    let refused = site.call("/report/1", "r2").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_mode(StoreMode::Silent);
    let (requests, questions) = (worker.requests().len(), worker.own_questions());
    for number in 0..20 {
        let mut request = caller_request("/report/1", &format!("p{number}"));
        let headers = request.headers_mut();
        headers.insert("last-event-id", "2".parse().expect("a value"));
        let prefix = "5c1e07a2:200,91bd3f06:7800".parse().expect("a value");
        headers.insert("x-bamboocross-prompt-prefix", prefix);
        let refused = site.send(request).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(
        (worker.requests().len(), worker.own_questions()),
        (requests, questions)
    );
}

/// A longer pause replaces a shorter one, never the reverse.
#[tokio::test]
async fn shorter_pause_does_not_end_a_longer_one() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    // Both requests are at the server before it answers the first.
    worker.script([Pause("20"), Pause("0.01")]);
    let calls = [site.call("/book/1", "r1"), site.call("/book/1", "r2")];
    futures_util::future::join_all(calls).await;
    sleep(Duration::from_millis(200)).await;
    let sent = worker.requests().len();
    assert!(sent <= 2, "{sent} requests");
    assert_eq!(
        site.call("/book/1", "r3").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(worker.requests().len(), sent);
}

/// The caller is refused at once and told the soonest return, spread over time.
#[tokio::test]
async fn callers_are_told_the_end_of_the_pause() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script([Pause("2")]);
    let mut waits = Vec::new();
    for number in 0..8 {
        let refused = site.call("/book/1", &format!("r{number}")).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        waits.push(retry_after(&refused));
    }
    assert_eq!(worker.requests().len(), 1);
    for wait in &waits {
        assert!((1.0..=3.1).contains(wait), "{waits:?}");
    }
    let spread = waits.iter().fold(0.0, |sum: f64, wait| {
        sum.max(wait - waits[0]).max(waits[0] - wait)
    });
    assert!(spread > 0.02, "{waits:?}");
}

/// Values that are no number of seconds do no harm.
#[rstest]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("")]
#[case("soon")]
#[case("Wed, 21 Oct 2026 07:28:00 GMT")]
#[case("0")]
#[tokio::test]
async fn invalid_pause_is_ignored(#[case] value: &'static str) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script([Pause(value)]);
    site.call("/book/1", "r1").await;
    assert_eq!(site.call("/book/1", "r2").await.status, StatusCode::OK);
}

/// A pause that is too long to be meant is shortened, and the entry keeps serving
/// with the other server.
#[rstest]
#[case("1e308")]
#[case("99999999999999999999")]
#[case("3\r\nretry-after: 1e300")]
#[tokio::test]
async fn endless_pause_is_shortened(#[case] value: &'static str) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "b")]).await;
    first.script([Pause(value)]);
    wait_for("the pause", async || {
        assert_eq!(site.call("/book/1", "r1").await.status, StatusCode::OK);
        !first.requests().is_empty()
    })
    .await;
    let before = first.requests().len();
    for _ in 0..5 {
        assert_eq!(site.call("/book/1", "r2").await.status, StatusCode::OK);
    }
    assert_eq!(first.requests().len(), before);
}

/// A copy at a paused server is not used; the stream goes on elsewhere.
#[tokio::test]
async fn stream_does_not_resume_at_a_paused_holder() {
    let (first, second, third) = (
        start_worker("i1").await,
        start_worker("i2").await,
        start_worker("i3").await,
    );
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    first.script([Events(400, StreamEnd::Cut)]);
    first.script(std::iter::repeat_n(WorkerAct::Rejected, 200));
    second.script([Pause("30")]);
    let response = send_request(site.listen, caller_request("/report/1", "r1")).await;
    // The second server pauses after it was chosen as the holder of the copy.
    let mut other = caller_request("/report/1", "r2");
    other.headers_mut().insert(
        "x-bamboocross-deadline-ms",
        "3000".parse().expect("a value"),
    );
    wait_for("the pause of the second server", async || {
        let mut request = caller_request("/report/1", "r2");
        *request.headers_mut() = other.headers().clone();
        site.send(request).await;
        !second.requests().is_empty()
    })
    .await;
    third.script([Events(402, StreamEnd::Complete)]);
    site.register(POOL, &third, "b", "ready");
    let streamed = read_response(response).await;
    assert_eq!((streamed.body, streamed.complete), (events(1..=402), true));
    assert_eq!(second.requests().len(), 1);
}
