//! Orders to roll out a version, carried out by two entries.

use std::{process::Stdio, sync::Arc, time::Duration};

use crate::support::{
    DESK, POOL, TestSite, caller_request, desired_state, events, register, send_request, try_send,
    wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{RowStore, ScriptedWorker, StoreMode, WorkerAct};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const SHARE: f64 = 0.2;
const SLACK: f64 = 20.0;
const PERIOD: Duration = Duration::from_secs(6);
const STATUS: &str = "rollout/desk";
/// More acts than a worker gets requests in a test.
const ACTS: usize = 4_000;

/// Two entries, the second of which follows the first, and two servers of each version.
struct RolloutSite {
    store: RowStore,
    entries: Vec<TestSite>,
    old: Vec<ScriptedWorker>,
    new: Vec<ScriptedWorker>,
    service: &'static str,
}

impl RolloutSite {
    async fn start(service: &'static str, settings: Value) -> Self {
        let store = RowStore::start().await.expect("a port");
        store.put("op", "config", desired_state(1).to_string().as_bytes());
        let mut site = Self {
            store,
            entries: Vec::new(),
            old: Vec::new(),
            new: Vec::new(),
            service,
        };
        for domain in ["a", "b"] {
            let old = ScriptedWorker::start("old").await.expect("a port");
            register(&site.store, service, &old, "v1", (domain, "ready"));
            site.old.push(old);
        }
        for name in ["front-1", "front-2"] {
            let store = site.store.clone();
            let address = store.address;
            let entry = TestSite::start_entry_with(name, store, address, Stdio::null(), |text| {
                merge(text, &settings)
            });
            entry.wait_ready().await;
            site.entries.push(entry);
        }
        for entry in &site.entries {
            wait_for("the roster of both", async || {
                entry.metric("bamboocross_front_entries").await == 2.0
            })
            .await;
        }
        site
    }

    /// Gives the order and starts the servers of the new version.
    async fn order(&mut self, act: Option<WorkerAct>) {
        self.put_order(&json!({"service": self.service, "to": "v2", "period-s": PERIOD.as_secs()}));
        for entry in &self.entries {
            entry
                .wait_state(|text| text.contains("\"to\":\"v2\""))
                .await;
        }
        for domain in ["a", "b"] {
            let new = ScriptedWorker::start("new").await.expect("a port");
            new.script(act.iter().cycle().take(ACTS).cloned());
            register(&self.store, self.service, &new, "v2", (domain, "ready"));
            self.new.push(new);
        }
    }

    fn put_order(&self, order: &Value) {
        let key = format!("rollout/{}", self.service);
        self.store.put("op", &key, order.to_string().as_bytes());
    }

    /// Sends requests to both entries until the returned set is dropped.
    fn start_traffic(&self, path: &'static str, pause: Duration) -> JoinSet<()> {
        let mut traffic = JoinSet::new();
        for entry in &self.entries {
            let address = entry.listen;
            traffic.spawn(async move {
                for number in 0_u64.. {
                    let id = format!("{}-{number}", address.port());
                    tokio::spawn(try_send(address, caller_request(path, &id)));
                    sleep(pause).await;
                }
            });
        }
        traffic
    }

    fn status(&self) -> Value {
        let key = format!("rollout/{}", self.service);
        let value = self.store.value("status", &key).unwrap_or_default();
        serde_json::from_slice(&value).unwrap_or_default()
    }

    async fn wait_status(&self, state: &str) {
        wait_for(state, async || {
            self.status() == json!({"state": state, "to": "v2"})
        })
        .await;
    }

    fn runs(workers: &[ScriptedWorker]) -> usize {
        workers.iter().map(|worker| worker.runs().len()).sum()
    }
}

fn bounds() -> Value {
    json!({"expose_share": SHARE, "expose_slack": SLACK, "rollback_ms": 3_000, "contact_ms": 2_000})
}

/// The store came back without an order that was in force. Its outcome was never recorded,
/// because the order's row, written again, had a version that was ignored.
#[tokio::test]
async fn outcome_is_recorded_after_the_order_was_written_again() {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    let copy = site.store.copy();
    site.order(None).await;
    let traffic = site.start_traffic("/look/1", Duration::from_millis(15));
    site.wait_status("running").await;
    site.store.restore(copy);
    site.put_order(&json!({"service": DESK, "to": "v2", "period-s": PERIOD.as_secs()}));
    for (worker, domain) in site.new.iter().zip(["a", "b"]) {
        register(&site.store, DESK, worker, "v2", (domain, "ready"));
    }
    site.wait_status("finished").await;
    drop(traffic);
}

/// A good version has the traffic before the time limit, and got no more than its share
/// before the decision. A stream that runs at an old server meanwhile is not lost.
#[tokio::test]
async fn good_version_is_finished_before_the_time_limit() {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    let given = Instant::now();
    site.order(None).await;
    let traffic = site.start_traffic("/look/1", Duration::from_millis(15));
    site.wait_status("running").await;
    // The decision is taken a quarter of the period before its end.
    sleep((PERIOD * 3 / 4).saturating_sub(given.elapsed() + Duration::from_millis(300))).await;
    let (old, new) = (RolloutSite::runs(&site.old), RolloutSite::runs(&site.new));
    assert!(
        new as f64 <= SHARE * (old + new) as f64 + SLACK,
        "{new} of {}",
        old + new
    );
    assert!(new > 10, "{new} of {}", old + new);
    site.wait_status("finished").await;
    assert!(given.elapsed() < PERIOD, "{:?}", given.elapsed());
    let old = RolloutSite::runs(&site.old);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(RolloutSite::runs(&site.old), old, "old servers are left");
    drop(traffic);
}

/// At `finished` the old servers stop at once, without draining. Streams that ran there
/// go on at the new version and none is lost.
#[tokio::test]
async fn streams_survive_the_end_of_the_old_servers() {
    let mut site = RolloutSite::start(POOL, bounds()).await;
    site.order(None).await;
    for worker in site.old.iter().chain(&site.new) {
        worker.set_event_pause(Duration::from_millis(120));
    }
    let mut streams = JoinSet::new();
    let mut number = 0;
    while site.status()["state"] != "finished" {
        let entry = site.entries[number % 2].listen;
        let id = format!("s{number}");
        streams.spawn(async move { try_send(entry, caller_request("/report/1", &id)).await });
        number += 1;
        sleep(Duration::from_millis(60)).await;
    }
    for worker in &site.old {
        worker.crash_for(Duration::from_secs(60));
    }
    let whole = events(1..=30);
    for ended in streams.join_all().await {
        let response = ended.expect("an answer");
        assert_eq!(response.body, whole);
        assert!(response.complete);
    }
}

/// An entry that starts after the end of a roll-out learns it from the store: it uses the
/// new version although it has seen no answer of it.
#[rstest]
#[case::finished("finished", true)]
#[case::reverted("reverted", false)]
#[tokio::test]
async fn late_entry_adopts_the_recorded_state(#[case] state: &str, #[case] is_used: bool) {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let order = json!({"service": DESK, "to": "v2", "period-s": 60});
    store.put("op", STATUS, order.to_string().as_bytes());
    let value = json!({"state": state, "to": "v2"}).to_string();
    store.put("status", STATUS, value.as_bytes());
    let new = ScriptedWorker::start("new").await.expect("a port");
    register(&store, DESK, &new, "v2", ("a", "ready"));
    let address = store.address;
    let entry = TestSite::start_entry_with("front-9", store, address, Stdio::null(), |text| {
        merge(text, &bounds())
    });
    entry.wait_ready().await;
    let known = new.address.to_string();
    entry.wait_state(|text| text.contains(&known)).await;
    let phase = if is_used {
        "\"Finished\""
    } else {
        "\"Reverted\""
    };
    entry.wait_state(|text| text.contains(phase)).await;
    let answer = entry.call("/look/1", "r1").await;
    assert_eq!(answer.status.is_success(), is_used);
    assert_eq!(new.runs().len(), usize::from(is_used));
}

/// A state that names another version belongs to an order that was replaced while the
/// row was written, and must not end the order in force.
#[tokio::test]
async fn state_of_another_version_is_not_adopted() {
    let store = store_with_order(&json!({"state": "finished", "to": "v3"})).await;
    let entry = start_late_entry(&store);
    entry.wait_ready().await;
    entry.wait_state(|text| text.contains("\"Trial\"")).await;
    wait_for("the state of the order", async || {
        let value = store.value("status", STATUS).unwrap_or_default();
        let status: Value = serde_json::from_slice(&value).unwrap_or_default();
        status == json!({"state": "running", "to": "v2"})
    })
    .await;
}

/// An entry that cannot read the states of orders must not take a finished order for a
/// new one.
#[tokio::test]
async fn order_waits_for_its_recorded_state() {
    let store = store_with_order(&json!({"state": "finished", "to": "v2"})).await;
    store.refuse_reads(Some("status"));
    let entry = start_late_entry(&store);
    let reads = || {
        let calls = store.calls();
        let reads = calls.iter().filter(|call| call.contains("table=status"));
        reads.count()
    };
    wait_for("repeated reads", async || reads() >= 2).await;
    let version = entry.metric("bamboocross_front_state_version").await;
    assert_eq!(version, 0.0, "the listing was applied");
    store.refuse_reads(None);
    entry.wait_state(|text| text.contains("\"Finished\"")).await;
    assert_eq!(store.keys("status"), [STATUS]);
}

/// A store with an order to `v2` and a state under its key.
async fn store_with_order(status: &Value) -> RowStore {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let order = json!({"service": DESK, "to": "v2", "period-s": 60});
    store.put("op", STATUS, order.to_string().as_bytes());
    store.put("status", STATUS, status.to_string().as_bytes());
    store
}

fn start_late_entry(store: &RowStore) -> TestSite {
    let address = store.address;
    TestSite::start_entry_with("front-9", store.clone(), address, Stdio::null(), |text| {
        merge(text, &bounds())
    })
}

/// The end of an order is recorded although its row was replaced by an unusable one or
/// removed: the order stays in force, and the operator waits for its end.
#[rstest]
#[case::unusable(Some("no order"))]
#[case::removed(None)]
#[tokio::test]
async fn end_is_recorded_after_the_row_changed(#[case] value: Option<&str>) {
    let site = RolloutSite::start(DESK, bounds()).await;
    site.put_order(&json!({"service": DESK, "to": "v2", "period-s": 2}));
    site.wait_status("running").await;
    match value {
        Some(value) => site.store.put("op", STATUS, value.as_bytes()),
        None => site.store.remove("op", STATUS),
    }
    site.wait_status("reverted").await;
}

/// Without bounds an unusable desired state causes no call of the store beyond the feed.
#[tokio::test]
async fn unusable_state_is_not_reported_without_bounds() {
    let site = RolloutSite::start(DESK, json!({})).await;
    site.store.put("op", "config", b"{\"version\": 2}");
    wait_for("the odd row", async || {
        let mut rows = 0.0;
        for entry in &site.entries {
            rows += entry.metric("bamboocross_front_odd_rows_total").await;
        }
        rows > 0.0
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    assert!(site.store.keys("status").is_empty());
    let calls = site.store.calls();
    assert!(!calls.iter().any(|call| call.contains("table=status")));
}

/// A bad version is given up after few bad answers, by both entries and for good.
#[rstest]
#[case::fails(WorkerAct::Answer(500, "failed"))]
#[case::breaks_off(WorkerAct::Reset)]
#[case::slow(WorkerAct::AnswerAfter(Duration::from_millis(1_500)))]
#[tokio::test]
async fn bad_version_is_reverted(#[case] act: WorkerAct) {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    site.order(Some(act)).await;
    let traffic = site.start_traffic("/look/1", Duration::from_millis(15));
    site.wait_status("reverted").await;
    for entry in &site.entries {
        entry.wait_state(|text| text.contains("\"Reverted\"")).await;
    }
    let new = RolloutSite::runs(&site.new);
    assert!(new < 50, "{new} requests");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(RolloutSite::runs(&site.new), new);
    drop(traffic);
}

/// An order that cancels another one by naming the version in use must leave the service
/// its servers, and ends as finished.
#[tokio::test]
async fn cancelled_order_leaves_the_traffic() {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    site.order(None).await;
    site.wait_status("running").await;
    site.put_order(&json!({"service": DESK, "to": "v1", "period-s": 6}));
    wait_for("the end of the order", async || {
        site.status() == json!({"state": "finished", "to": "v1"})
    })
    .await;
    let new = RolloutSite::runs(&site.new);
    for entry in &site.entries {
        entry.wait_state(|text| text.contains("\"Finished\"")).await;
        for number in 0..20 {
            let answer = entry.call("/look/1", &format!("r{number}")).await;
            assert!(answer.status.is_success(), "{}", answer.status);
        }
    }
    assert_eq!(RolloutSite::runs(&site.new), new);
}

/// Streams whose answers break off accuse the version, and none of them is lost.
#[tokio::test]
async fn version_that_breaks_streams_is_reverted() {
    let mut site = RolloutSite::start(POOL, bounds()).await;
    let broken = WorkerAct::Events(3, stand_ins::StreamEnd::Cut);
    site.order(Some(broken)).await;
    let traffic = site.start_traffic("/report/1", Duration::from_millis(30));
    let request = caller_request("/report/1", "whole");
    let response = send_request(site.entries[0].listen, request).await;
    let whole = crate::support::read_response(response).await;
    assert_eq!(whole.body, events(1..=30));
    site.wait_status("reverted").await;
    drop(traffic);
}

/// While the store is away, the verdict of one entry reaches the other one, and the
/// store has it when it is back.
#[tokio::test]
async fn verdict_spreads_without_the_store() {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    site.order(Some(WorkerAct::Answer(500, "failed"))).await;
    site.wait_status("running").await;
    for entry in &site.entries {
        let known = site.new[1].address.to_string();
        entry.wait_state(|text| text.contains(&known)).await;
    }
    site.store.set_mode(StoreMode::Busy);
    // Only the first entry has requests.
    let only = &site.entries[0];
    let finish = Arc::new(tokio::sync::Notify::new());
    for number in 0..400 {
        only.call("/look/1", &format!("r{number}")).await;
        if number % 20 == 19 && is_reverting(&site.entries[1]).await {
            finish.notify_one();
            break;
        }
    }
    site.entries[1]
        .wait_state(|text| text.contains("\"Reverting\""))
        .await;
    assert_eq!(site.status()["state"], "running");
    site.store.set_mode(StoreMode::Serving);
    site.wait_status("reverted").await;
}

async fn is_reverting(entry: &TestSite) -> bool {
    entry
        .metric("bamboocross_front_rollout_changes_total")
        .await
        > 0.0
}

/// An order for a version that never appears ends before its time limit.
#[tokio::test]
async fn order_without_servers_is_reverted() {
    let site = RolloutSite::start(DESK, bounds()).await;
    site.put_order(&json!({"service": DESK, "to": "v2", "period-s": 2}));
    site.wait_status("reverted").await;
}

/// Without bounds an order causes no call of the store, and new servers are used like
/// any others.
#[tokio::test]
async fn order_without_bounds_is_not_acted_on() {
    let mut site = RolloutSite::start(DESK, json!({})).await;
    site.put_order(&json!({"service": DESK, "to": "v2", "period-s": 2}));
    let new = ScriptedWorker::start("new").await.expect("a port");
    register(&site.store, DESK, &new, "v2", ("a", "ready"));
    site.new.push(new);
    let traffic = site.start_traffic("/look/1", Duration::from_millis(15));
    wait_for("requests at the new version", async || {
        RolloutSite::runs(&site.new) > 20
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    assert!(site.store.keys("status").is_empty());
    let calls = site.store.calls();
    assert!(!calls.iter().any(|call| call.contains("table=status")));
    drop(traffic);
}

/// Rows that cannot be used are reported once, and what was in force stays so.
#[tokio::test]
async fn unusable_rows_are_reported() {
    let mut site = RolloutSite::start(DESK, bounds()).await;
    site.order(None).await;
    site.wait_status("running").await;
    site.put_order(&json!({"service": "other", "to": "v3", "period-s": 2}));
    site.store.put("op", "config", b"{\"version\": 2}");
    for key in ["rollout-error/desk", "config-error"] {
        wait_for(key, async || site.store.value("status", key).is_some()).await;
        let value = site.store.value("status", key).unwrap_or_default();
        let row: Value = serde_json::from_slice(&value).expect("JSON");
        assert!(row["error"].as_str().is_some_and(|text| !text.is_empty()));
    }
    let versions =
        ["rollout-error/desk", "config-error"].map(|key| site.store.version("status", key));
    sleep(Duration::from_millis(2_500)).await;
    let later = ["rollout-error/desk", "config-error"].map(|key| site.store.version("status", key));
    assert_eq!(versions, later, "reported again");
    let entry = &site.entries[0];
    entry
        .wait_state(|text| text.contains("\"to\":\"v2\""))
        .await;
    entry
        .wait_state(|text| text.contains("\"state_version\":1"))
        .await;
    assert_eq!(
        site.store.keys("status").len(),
        3,
        "{STATUS} and two errors"
    );
}

/// Adds the fields of `further` to settings.
fn merge(settings: &mut Value, further: &Value) {
    for (name, value) in further.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
}
