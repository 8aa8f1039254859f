//! A part of a prompt that crashes each server which begins to answer it.
//!
//! Retries and resumption would carry it from server to server, and each entry sees
//! only some of the crashes.

use std::{process::Stdio, time::Duration};

use crate::support::{POOL, TestResponse, TestSite, caller_request, desired_state, wait_for};
use futures_util::future::join_all;
use http::{HeaderValue, StatusCode};
use stand_ins::{RowStore, ScriptedWorker, StreamEnd, WorkerAct};
use tokio::time::{Instant, sleep};

/// Part that crashes servers.
const DEADLY: &str = "dead1";
/// First part of all prompts.
const FIRST: &str = "f1";
/// Time for which a crashed worker is down.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Requests with the part that may reach servers after the fifth crash is known.
const LATE_MAX: usize = 3;

/// Entries before workers that crash on [`DEADLY`].
struct CrashSite {
    entries: Vec<TestSite>,
    workers: Vec<ScriptedWorker>,
}

impl CrashSite {
    async fn start(entries: usize, workers: usize) -> Self {
        let store = RowStore::start().await.expect("a port");
        store.put("op", "config", desired_state(1).to_string().as_bytes());
        let mut site = Self {
            entries: Vec::new(),
            workers: Vec::new(),
        };
        for number in 0..entries {
            site.add_entry(&store, number);
        }
        for number in 0..workers {
            let worker = ScriptedWorker::start("i").await.expect("a port");
            worker.crash_on_part(DEADLY, DOWN_TIME);
            let domain = ["a", "b", "c"][number % 3];
            site.entries[0].register(POOL, &worker, domain, "ready");
            site.workers.push(worker);
        }
        for entry in &site.entries {
            site.wait_joined(entry, entries).await;
        }
        site
    }

    fn add_entry(&mut self, store: &RowStore, number: usize) {
        let name = format!("front-{number}");
        let address = store.address;
        let entry = TestSite::start_entry(&name, store.clone(), address, Stdio::null());
        self.entries.push(entry);
    }

    /// Waits until an entry knows all workers and this number of entries.
    async fn wait_joined(&self, entry: &TestSite, entries: usize) {
        entry.wait_ready().await;
        let expected = self.workers.len();
        entry
            .wait_state(|text| text.matches("\"instance\"").count() >= expected)
            .await;
        wait_for("all entries to know each other", async || {
            entry.metric("bamboocross_front_entries").await >= entries as f64
        })
        .await;
    }

    fn crashes(&self) -> u64 {
        self.workers.iter().map(ScriptedWorker::crashes).sum()
    }

    /// Requests with the deadly part that reached workers.
    fn deadly_arrivals(&self) -> usize {
        let requests = self.workers.iter().flat_map(ScriptedWorker::requests);
        let is_deadly = |prefix: &str| prefix.contains(DEADLY);
        requests
            .filter(|request| {
                let prefix = request.header("x-bamboocross-prompt-prefix");
                prefix.is_some_and(is_deadly)
            })
            .count()
    }

    async fn send(&self, entry: usize, id: &str, prefix: &str) -> TestResponse {
        let mut request = caller_request("/report/1", id);
        let prefix = HeaderValue::from_str(prefix).expect("a header value");
        request
            .headers_mut()
            .insert("x-bamboocross-prompt-prefix", prefix);
        self.entries[entry % self.entries.len()].send(request).await
    }

    async fn send_deadly(&self, number: usize) -> TestResponse {
        let id = format!("d{number}");
        let prefix = format!("{FIRST}:200,{DEADLY}:50,own{number}:800");
        self.send(number, &id, &prefix).await
    }

    async fn send_sound(&self, number: usize) -> TestResponse {
        let id = format!("s{number}");
        self.send(number, &id, &format!("{FIRST}:200,own-{id}:800"))
            .await
    }
}

/// Each entry sees a crash or two; together they stop sending the part, and sound
/// requests that share caller, route and first part are served meanwhile.
#[tokio::test]
async fn entries_together_stop_sending_a_part_that_crashes_servers() {
    let site = CrashSite::start(3, 9).await;
    for number in 0..6 {
        site.send_deadly(number).await;
        sleep(Duration::from_millis(250)).await;
    }
    assert!(site.crashes() >= 3, "{} crashes", site.crashes());
    // All workers are up again, and what was seen has been handed on.
    sleep(DOWN_TIME + Duration::from_secs(1)).await;
    let known = site.deadly_arrivals();
    let deadly = join_all((10..28).map(|number| site.send_deadly(number)));
    let sound = join_all((10..28).map(|number| site.send_sound(number)));
    let (deadly, sound) = futures_util::join!(deadly, sound);
    let late = site.deadly_arrivals() - known;
    assert!(
        late <= LATE_MAX,
        "{late} requests with the part reached workers late"
    );
    for answer in sound {
        assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    }
    for answer in deadly {
        assert!(!answer.status.is_success(), "{answer:?}");
    }
}

/// An entry that starts after the verdict holds the part back too.
#[tokio::test]
async fn entry_that_starts_later_learns_of_a_part_that_crashes_servers() {
    let mut site = CrashSite::start(1, 9).await;
    for number in 0..4 {
        site.send_deadly(number).await;
    }
    let store = site.entries[0].store.clone();
    site.add_entry(&store, 1);
    let late = &site.entries[1];
    site.wait_joined(late, 2).await;
    late.wait_state(|text| text.contains("\"crashes\"")).await;
    let known = site.deadly_arrivals();
    let answer = site.send_deadly(5).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(answer.headers.get("retry-after"), None);
    assert_eq!(site.deadly_arrivals(), known);
}

/// Connections are reset at the beginning of answers, but no server has ended.
#[tokio::test]
async fn lost_connections_alone_hold_nothing_back() {
    let worker = ScriptedWorker::start("i").await.expect("a port");
    let site = TestSite::start(&[(POOL, &worker, "a")]).await;
    for number in 0..6 {
        worker.script(std::iter::repeat_n(WorkerAct::Events(0, StreamEnd::Cut), 3));
        let mut request = caller_request("/report/1", &format!("r{number}"));
        let prefix = HeaderValue::from_static("sound:200,own:800");
        request
            .headers_mut()
            .insert("x-bamboocross-prompt-prefix", prefix);
        let answer = site.send(request).await;
        assert!(!answer.complete, "{answer:?}");
    }
    assert_eq!(site.metric("bamboocross_front_held_parts").await, 0.0);
}

/// One request ends a few servers, not as many as its route has attempts and its
/// caller retries.
#[tokio::test]
async fn entry_alone_stops_sending_a_part_that_crashes_servers() {
    let site = CrashSite::start(1, 9).await;
    for number in 0..12 {
        site.send_deadly(number).await;
    }
    assert!(site.crashes() <= 5, "{} crashes", site.crashes());
    for number in 0..6 {
        let answer = site.send_sound(number).await;
        assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    }
}

/// Guards against a verdict without end: the trial of a stream was given up at once
/// because a part of it is held back. A trial is due a minute after the last crash.
#[tokio::test]
async fn trial_of_a_stream_ends_the_verdict_on_a_sound_part() {
    let site = CrashSite::start(1, 4).await;
    for number in 0..4 {
        site.send_deadly(number).await;
    }
    let entry = &site.entries[0];
    entry.wait_state(|text| text.contains("\"crashes\"")).await;
    for worker in &site.workers {
        worker.crash_on_part("none", DOWN_TIME);
    }
    let convicted = Instant::now();
    let mut number = 10;
    while site.send_deadly(number).await.status != StatusCode::OK {
        number += 1;
        assert!(convicted.elapsed() < Duration::from_secs(75), "still held");
        sleep(Duration::from_millis(500)).await;
    }
    assert!(
        convicted.elapsed() > Duration::from_secs(50),
        "the part was held"
    );
    assert_eq!(site.send_deadly(number + 1).await.status, StatusCode::OK);
}

/// Guards against a verdict on a part that all requests share: all servers crash at the
/// same moments, whatever they run.
#[tokio::test]
async fn crashes_of_all_servers_hold_nothing_back() {
    let site = CrashSite::start(1, 4).await;
    for worker in &site.workers {
        worker.set_event_pause(Duration::from_millis(150));
    }
    let crashing = async {
        for _ in 0..4 {
            sleep(Duration::from_millis(700)).await;
            site.workers
                .iter()
                .for_each(|worker| worker.crash_for(DOWN_TIME));
        }
    };
    let sending = join_all((0..60).map(|number| {
        let site = &site;
        async move {
            sleep(Duration::from_millis(50) * number as u32).await;
            site.send_sound(number).await
        }
    }));
    let ((), answers) = futures_util::join!(crashing, sending);
    let denied = answers
        .iter()
        .filter(|answer| answer.status == StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(denied.count(), 0);
    let held = site.entries[0].metric("bamboocross_front_held_parts").await;
    assert_eq!(held, 0.0);
    for worker in &site.workers {
        worker.set_event_pause(Duration::from_millis(2));
    }
    for number in 100..106 {
        let answer = site.send_sound(number).await;
        assert_eq!((answer.status, answer.complete), (StatusCode::OK, true));
    }
}
