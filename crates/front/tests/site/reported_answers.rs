//! Answers that servers spoil, as operators of similar systems reported them;
//! docs/design/reported-faults.md has a row for each.

use crate::support::{
    DESK, POOL, TestSite, caller_request, desired_state, events, register, try_send,
};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use stand_ins::{RowStore, ScriptedWorker, StreamEnd, WorkerAct};
use std::{process::Stdio, time::Duration};
use tokio::time::sleep;

use WorkerAct::{Answer, AnswerThenRefusal, Events, OddStatus, TornHead, Unframed};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// A refusal that comes once more on a kept connection is taken for the answer to the
/// next request, which runs.
#[rstest]
#[case::of_another_request("/book/1", true)]
#[case::without_an_id("/book/1", false)]
#[case::without_an_id_idempotent("/look/1", false)]
#[tokio::test]
async fn earlier_refusal_says_nothing_of_the_next_request(
    #[case] path: &str,
    #[case] has_id: bool,
) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([AnswerThenRefusal { has_id }]);
    let site = TestSite::start(&[(DESK, &first, "a")]).await;
    assert_eq!(site.call(path, "r1").await.status, StatusCode::OK);
    site.register(DESK, &second, "a", "ready");
    let second_address = second.address.to_string();
    site.wait_state(|text| text.contains(&second_address)).await;
    let mut statuses = Vec::new();
    for number in 2..8 {
        statuses.push(site.call(path, &format!("r{number}")).await.status);
        sleep(Duration::from_millis(30)).await;
    }
    assert!(
        !statuses.contains(&StatusCode::SERVICE_UNAVAILABLE),
        "{statuses:?}"
    );
    if path == "/book/1" {
        let mut ran: Vec<String> = [first.ran(), second.ran()].concat();
        ran.sort();
        let runs = ran.len();
        ran.dedup();
        assert_eq!(ran.len(), runs, "each request ran once");
    }
}

/// A stream broke off, and the next worker's answer is no part of it.
#[rstest]
#[case::server_error(Answer(500, "failed\n\nid: 4\ndata: x\n\n"))]
#[case::client_error(Answer(404, "id: 4\ndata: x\n\n"))]
#[case::plain_success(Answer(200, "all is well"))]
#[case::plain_success_with_blank_lines(Answer(200, "all\n\nis\n\nwell\n\n"))]
#[case::torn_head(TornHead("HTTP/1.1 500 X\r\nx-bamboocross-req"))]
#[tokio::test]
async fn error_of_the_next_server_is_no_part_of_a_stream(#[case] next: WorkerAct) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([Events(3, StreamEnd::Cut)]);
    first.script(std::iter::repeat_n(next.clone(), 8));
    second.script(std::iter::repeat_n(next, 8));
    let site = TestSite::start(&[(POOL, &first, "a")]).await;
    let answered = tokio::join!(site.call("/report/1", "r1"), async {
        site.register(POOL, &second, "b", "ready");
    });
    let answered = answered.0;
    assert_eq!((answered.body, answered.complete), (events(1..=3), false));
}

/// The head of an answer stops midway and the connection closes.
#[rstest]
#[case::status_line("HTTP/1.1 200 O")]
#[case::after_status("HTTP/1.1 200 OK\r\n")]
#[case::header_name("HTTP/1.1 200 OK\r\nx-bamboocross-req")]
#[case::all_but_the_end(
    "HTTP/1.1 200 OK\r\nx-bamboocross-request-id: r1\r\nx-bamboocross-server-seal: s\r\n"
)]
#[case::length_cut(
    "HTTP/1.1 200 OK\r\nx-bamboocross-request-id: r1\r\nx-bamboocross-server-seal: s\r\ncontent-length: 2"
)]
#[tokio::test]
async fn torn_head_is_no_answer(
    #[case] head: &'static str,
    #[values("/book/1", "/look/1", "/report/1", "/once/1")] path: &str,
) {
    let (desk, pool) = (start_worker("i1").await, start_worker("i2").await);
    for worker in [&desk, &pool] {
        worker.script(std::iter::repeat_n(TornHead(head), 12));
    }
    let site = TestSite::start(&[(DESK, &desk, "a"), (POOL, &pool, "a")]).await;
    let answered = site.call(path, "r1").await;
    assert!(!answered.status.is_success(), "{answered:?}");
    assert_eq!(answered.headers.get("x-bamboocross-server-seal"), None);
}

/// A stream without length and chunks ends with its connection; one that ends inside an
/// event has broken off and goes on elsewhere.
#[rstest]
#[case::whole("")]
#[case::inside_an_event("id: 4\ndata: e")]
#[tokio::test]
async fn stream_without_framing_ends_with_its_connection(#[case] torn: &'static str) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    first.script([Unframed(3, torn)]);
    second.script([Events(6, StreamEnd::Complete)]);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    let answered = site.call("/report/1", "r1").await;
    let last = if torn.is_empty() { 3 } else { 6 };
    assert_eq!((answered.body, answered.complete), (events(1..=last), true));
}

/// A worker answers a long upload at once with a success without a length, sends a part of
/// its body and resets the connection while the upload is being written. The part must not
/// look complete.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::soon(Duration::from_millis(1))]
#[case::later(Duration::from_millis(30))]
#[tokio::test]
async fn part_of_an_answer_to_an_upload_is_not_complete(
    #[case] pause: Duration,
    #[values("/book/1", "/look/1", "/report/1", "/once/1")] path: &str,
) {
    let (desk, pool) = (start_worker("i1").await, start_worker("i2").await);
    for worker in [&desk, &pool] {
        worker.reset_uploads("id: 1\ndata: e1\n\n", pause);
    }
    let store = RowStore::start().await.expect("a port");
    let mut state = desired_state(1);
    state["limits"]["max-body-bytes"] = json!(4 << 20);
    store.put("op", "config", state.to_string().as_bytes());
    register(&store, DESK, &desk, "v1", ("a", "ready"));
    register(&store, POOL, &pool, "v1", ("a", "ready"));
    let site = TestSite::start_with(store, Stdio::null());
    site.wait_ready().await;
    for number in 0..12 {
        let mut request = caller_request(path, &format!("r{number}"));
        request
            .headers_mut()
            .insert("x-bamboocross-deadline-ms", 1_000.into());
        *request.body_mut() = vec![b'x'; 3 << 20].into();
        // A connection that closes without an answer promises nothing either.
        let Ok(answered) = try_send(site.listen, request).await else {
            continue;
        };
        assert!(
            !(answered.status.is_success() && answered.complete),
            "{:?}",
            answered.body
        );
    }
    let arrived = desk.uploads() + pool.uploads();
    assert!(arrived >= 12, "{arrived} uploads arrived");
}

/// A status that HTTP does not have is no answer.
#[rstest]
#[case::zero("HTTP/1.1 000 OK")]
#[case::below_the_first("HTTP/1.1 099 OK")]
#[case::two_digits("HTTP/1.1 20 OK")]
#[case::four_digits("HTTP/1.1 2000 OK")]
#[case::letters("HTTP/1.1 2x0 OK")]
#[case::negative("HTTP/1.1 -20 OK")]
#[tokio::test]
async fn odd_status_is_no_answer(
    #[case] line: &'static str,
    #[values("/book/1", "/look/1", "/report/1", "/once/1")] path: &str,
) {
    let (desk, pool) = (start_worker("i1").await, start_worker("i2").await);
    for worker in [&desk, &pool] {
        worker.script(std::iter::repeat_n(OddStatus(line), 12));
    }
    let site = TestSite::start(&[(DESK, &desk, "a"), (POOL, &pool, "a")]).await;
    let answered = site.call(path, "r1").await;
    assert!(
        answered.status.is_server_error()
            && answered.headers.get("x-bamboocross-server-seal").is_none(),
        "{answered:?}"
    );
}
