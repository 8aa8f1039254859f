//! What operators of similar systems reported; docs/design/reported-faults.md has a
//! row for each.

use std::{process::Stdio, time::Duration};

use crate::support::{
    DESK, POOL, TestSite, caller_request, desired_state, events, read_response, send_request,
    wait_for,
};
use futures_util::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use stand_ins::{RowStore, ScriptedWorker, StreamEnd, WorkerAct};
use tokio::time::{Instant, sleep};

use WorkerAct::{Answer, AnswerWith, Events, LateCopy};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// The second copy of an answer arrives when the connection carries the next
/// request; that request's caller does not get it.
#[rstest]
#[case("/look/1")]
#[case("/book/1")]
#[tokio::test]
async fn late_copy_of_an_answer_reaches_no_other_caller(#[case] path: &str) {
    let worker = start_worker("i1").await;
    worker.script([
        LateCopy,
        Answer(200, "second"),
        LateCopy,
        Answer(200, "fourth"),
    ]);
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    for id in ["r1", "r2", "r3", "r4"] {
        let answered = site.call(path, id).await;
        let seal = answered.headers.get("x-bamboocross-server-seal");
        let seal = seal.and_then(|seal| seal.to_str().ok());
        if answered.status == StatusCode::OK {
            assert_eq!(seal, Some(format!("seal-{id}").as_str()));
        } else {
            assert_eq!((answered.status, seal), (StatusCode::BAD_GATEWAY, None));
        }
        // Longer than a connection rests before it is used again.
        sleep(Duration::from_millis(40)).await;
    }
}

/// Callers keep sending on new and on kept connections while the entry is stopped.
/// Whoever got its request through gets a whole answer.
#[tokio::test]
async fn requests_accepted_during_a_stop_are_answered() {
    let (desk, pool) = (start_worker("i1").await, start_worker("i2").await);
    let mut site = TestSite::start(&[(DESK, &desk, "a"), (POOL, &pool, "a")]).await;
    let listen = site.listen;
    let callers = join_all((0..24).map(|caller| async move {
        let (mut answered, mut cut) = (0_u32, Vec::new());
        for number in 0.. {
            let path = if caller % 3 == 0 {
                "/report/1"
            } else {
                "/book/1"
            };
            let request = caller_request(path, &format!("c{caller}-{number}"));
            match crate::support::try_send(listen, request).await {
                Ok(response) if response.complete => {
                    answered += 1;
                    // Refused because the entry is closing: the next entry is tried.
                    if response.status == StatusCode::SERVICE_UNAVAILABLE {
                        break;
                    }
                }
                Ok(response) => cut.push(format!("{response:?}")),
                // Not accepted any more.
                Err(crate::support::SendError::NotConnected) => break,
                Err(error) => cut.push(format!("{error:?}")),
            }
            sleep(Duration::from_millis(10)).await;
        }
        (answered, cut)
    }));
    let stop = async {
        sleep(Duration::from_millis(400)).await;
        site.signal(Signal::SIGTERM);
    };
    let (outcomes, ()) = futures_util::join!(callers, stop);
    let answered: u32 = outcomes.iter().map(|(answered, _)| answered).sum();
    let cut: Vec<&String> = outcomes.iter().flat_map(|(_, cut)| cut).collect();
    assert!(answered > 100, "{answered} answered");
    assert!(cut.is_empty(), "{cut:?}");
    assert!(site.wait_exit().await.success());
}

/// A stream that sends something now and then but no new event is given up, and
/// another server continues it.
#[rstest]
#[case::comments(": alive\n\n")]
#[case::bytes_of_an_event("x")]
#[case::old_event("id: 3\ndata: e3\n\n")]
#[tokio::test]
async fn stream_without_progress_is_continued_elsewhere(#[case] dribble: &'static str) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    first.script([Events(3, StreamEnd::Dribble(dribble))]);
    second.script([Events(6, StreamEnd::Complete)]);
    let started = Instant::now();
    let answered = site.call("/report/1", "r1").await;
    let text: String = answered.body.replace(": alive\n\n", "");
    assert_eq!((text, answered.complete), (events(1..=6), true));
    // The gap target is 0.7 s, and four times that counts as hung.
    assert!(started.elapsed() < Duration::from_secs(6));
}

/// A slow stream is not cut when no other server may continue it.
#[tokio::test]
async fn slow_stream_is_not_cut_when_it_cannot_move() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    let mut state = desired_state(2);
    for route in state["routes"].as_array_mut().expect("routes") {
        route["attempts"] = 1.into();
    }
    site.store.put("op", "config", state.to_string().as_bytes());
    site.wait_state(|text| text.contains("\"state_version\":2"))
        .await;
    worker.set_event_pause(Duration::from_millis(3_400));
    worker.script([Events(3, StreamEnd::Complete)]);
    let answered = site.call("/report/1", "r1").await;
    assert_eq!((answered.body, answered.complete), (events(1..=3), true));
    assert_eq!(worker.requests().len(), 1);
}

/// After a restart, a withdrawn key and a server that left stay out of use, although
/// another entry that the restarted one follows is behind.
#[tokio::test]
async fn restart_brings_back_neither_key_nor_server() {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let address = store.address;
    let first = TestSite::start_entry("front-1", store.clone(), address, Stdio::null());
    let (gone, stays) = (start_worker("i1").await, start_worker("i2").await);
    first.register(DESK, &gone, "a", "ready");
    first.register(DESK, &stays, "a", "ready");
    first
        .wait_state(|text| text.matches("\"instance\"").count() == 2)
        .await;
    // The first entry stops learning; the store goes on.
    first.signal(Signal::SIGSTOP);
    let mut state = desired_state(2);
    state["tenants"][0]["api-keys"] = serde_json::json!(["k2"]);
    store.put("op", "config", state.to_string().as_bytes());
    store.remove("servers", &format!("i-{}", gone.address.port()));
    let restarted = TestSite::start_entry("front-2", store, address, Stdio::null());
    restarted.wait_ready().await;
    first.signal(Signal::SIGCONT);
    let before = gone.requests().len();
    for number in 0..30 {
        let denied = restarted.call("/look/1", &format!("r{number}")).await;
        assert_eq!(denied.status, StatusCode::UNAUTHORIZED);
        let mut request = caller_request("/look/1", &format!("s{number}"));
        let key = "Bearer k2".parse().expect("a value");
        request.headers_mut().insert("authorization", key);
        assert_eq!(restarted.send(request).await.status, StatusCode::OK);
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(gone.requests().len(), before);
}

/// Header values of a server that exceed any sensible range end neither the process
/// nor another caller's request.
#[rstest]
#[case("keep-alive: timeout=18446744073709551615")]
#[case("keep-alive: timeout=99999999999999999999999")]
#[case("x-bamboocross-load: 4294967295,4294967295,4294967295,4294967295")]
#[case("x-bamboocross-load: -1,1e999,,")]
#[tokio::test]
async fn extreme_header_of_a_server_harms_nobody(#[case] line: &'static str) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    worker.script(std::iter::repeat_n(AnswerWith(line), 6));
    for number in 0..6 {
        let answered = site.call("/look/1", &format!("r{number}")).await;
        assert_eq!(answered.status, StatusCode::OK);
        sleep(Duration::from_millis(30)).await;
    }
}

/// Header values of one caller harm no other caller.
#[rstest]
#[case("x-bamboocross-token-counts", "18446744073709551615,0")]
#[case("x-bamboocross-deadline-ms", "18446744073709551615")]
#[case("last-event-id", "18446744073709551615")]
#[tokio::test]
async fn extreme_header_of_a_caller_harms_no_other(
    #[case] name: &'static str,
    #[case] value: &str,
) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "b")]).await;
    for worker in [&first, &second] {
        worker.script(std::iter::repeat_n(Events(300, StreamEnd::Complete), 4));
    }
    let mut extreme = caller_request("/report/1", "extreme");
    extreme
        .headers_mut()
        .insert(name, value.parse().expect("a value"));
    let open = send_request(site.listen, extreme).await;
    let mut usual = caller_request("/report/1", "usual");
    let counts = "8000,900".parse().expect("a value");
    usual
        .headers_mut()
        .insert("x-bamboocross-token-counts", counts);
    let answered = site.send(usual).await;
    assert_eq!(answered.status, StatusCode::OK);
    assert_eq!((answered.body, answered.complete), (events(1..=300), true));
    read_response(open).await;
}

/// A report that is asked for once and lost does not keep a restarted server out.
#[tokio::test]
async fn lost_report_does_not_keep_a_restarted_server_out() {
    let worker = start_worker("i1").await;
    worker.mute_reports(1);
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    site.store.set_mode(stand_ins::StoreMode::Silent);
    wait_for("the loss of the store", async || {
        let unreachable = "bamboocross_front_store_calls_total{outcome=\"unreachable\"}";
        site.metric(unreachable).await >= 2.0
    })
    .await;
    worker.restart();
    worker.script([WorkerAct::Reset]);
    site.call("/report/1", "r1").await;
    site.wait_state(|text| text.contains("\"instance\":\"i1\""))
        .await;
}
