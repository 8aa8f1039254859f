//! Addresses that pass to a server of another service while the entry stands still.

use std::time::Duration;

use crate::support::{DESK, POOL, TestSite, caller_request, read_response, send_request};
use nix::sys::signal::Signal;
use rstest::rstest;
use stand_ins::{ScriptedWorker, StreamEnd, WorkerAct};
use tokio::time::sleep;

/// Longer than the time after which the address of an ended server may be reassigned.
const BEYOND_REUSE: Duration = Duration::from_millis(2_200);
/// Time within which the entry notices that an address has a new holder.
const NOTICE_TIME: Duration = Duration::from_millis(600);

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// Names to which requests at a path were addressed.
fn targets(worker: &ScriptedWorker, path: &str) -> Vec<String> {
    let requests = worker.requests();
    let at_path = requests
        .iter()
        .filter(|request| request.head.starts_with(path));
    at_path
        .filter_map(|request| request.header("x-bamboocross-target-instance"))
        .map(str::to_owned)
        .collect()
}

/// Guards against requests that reach another service: an entry stood still while a
/// server ended and its address was reassigned, then read what the ended server had
/// sent before, and took the new holder of the address for the server's restart.
#[rstest]
#[case::stream_found_by_a_rejection(POOL, "/report/1", false)]
#[case::stream_found_by_a_health_check(POOL, "/report/1", true)]
#[case::call_found_by_a_rejection(DESK, "/look/1", false)]
#[tokio::test]
async fn reassigned_address_is_not_taken_for_a_restart(
    #[case] service: &str,
    #[case] path: &str,
    #[case] has_choice: bool,
) {
    let (worker, other) = (start_worker("i-other").await, start_worker("i2").await);
    let mut workers = vec![(service, &worker, "a")];
    if has_choice {
        workers.push((service, &other, "a"));
    }
    let site = TestSite::start(&workers).await;
    let answer = if service == POOL {
        worker.set_event_pause(Duration::from_millis(300));
        other.set_event_pause(Duration::from_millis(300));
        other.script(std::iter::repeat_n(
            WorkerAct::Events(3, StreamEnd::Complete),
            20,
        ));
        WorkerAct::Events(3, StreamEnd::Complete)
    } else {
        WorkerAct::AnswerAfter(Duration::from_millis(300))
    };
    worker.script([answer]);
    // Requests are sent until the server in question runs one.
    let mut open = Vec::new();
    while worker.ran().is_empty() {
        let request = caller_request(path, &format!("before-{}", open.len()));
        open.push(tokio::spawn(send_request(site.listen, request)));
        sleep(Duration::from_millis(50)).await;
    }
    site.signal(Signal::SIGSTOP);
    sleep(BEYOND_REUSE).await;
    worker.hand_over();
    worker.script(std::iter::repeat_n(WorkerAct::Misdirected("i-other"), 40));
    site.signal(Signal::SIGCONT);
    for answer in open {
        let response = answer.await.expect("the caller runs");
        assert!(read_response(response).await.complete);
    }
    for number in 0..8 {
        site.call(path, &format!("after-{number}")).await;
        sleep(NOTICE_TIME / 8).await;
    }
    let sent = targets(&worker, &format!("POST {path}"));
    assert!(
        !sent.contains(&"i-other".to_owned()),
        "requests were addressed to a server of another service: {sent:?}"
    );
}
