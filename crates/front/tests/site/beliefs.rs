//! Desired state, servers and settings through faults of the store.

use std::time::Duration;

use crate::support::{DESK, POOL, TestSite, desired_state, wait_for};
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use stand_ins::{RowStore, ScriptedWorker, StoreMode, StreamEnd, WorkerAct};
use tokio::time::sleep;

use WorkerAct::{Events, Reset};

async fn desk(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

fn put_state(store: &RowStore, version: u64, route: &str) {
    let mut state = desired_state(version);
    state["routes"][0]["prefix"] = json!(route);
    store.put("op", "config", state.to_string().as_bytes());
}

async fn wait_status(site: &TestSite, path: &str, expected: StatusCode) {
    wait_for("an answer", async || {
        site.call(path, "r").await.status == expected
    })
    .await;
}

#[tokio::test]
async fn new_version_switches_at_once_and_stays() {
    let worker = desk("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    put_state(&site.store, 4, "/seen/");
    wait_status(&site, "/seen/1", StatusCode::OK).await;
    assert_eq!(
        site.call("/look/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
    // The history goes and the same version is listed again.
    site.store.set_mode(StoreMode::HistoryGone);
    put_state(&site.store, 5, "/later/");
    wait_status(&site, "/later/1", StatusCode::OK).await;
    assert_eq!(
        site.call("/seen/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
}

#[tokio::test]
async fn unreadable_state_leaves_the_last_one_in_force() {
    let worker = desk("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    site.store.put("op", "config", b"{\"version\":");
    put_state(&site.store, 6, "/seen/");
    wait_status(&site, "/seen/1", StatusCode::OK).await;
}

#[tokio::test]
async fn work_goes_on_without_the_store_and_nothing_is_denied() {
    let worker = desk("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    assert_eq!(
        site.call("/none/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
    site.store.set_mode(StoreMode::Silent);
    // Once a newer version may be in force, an unknown route is not denied.
    wait_status(&site, "/none/1", StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    site.store.set_mode(StoreMode::Serving);
    wait_status(&site, "/none/1", StatusCode::NOT_FOUND).await;
}

#[tokio::test]
async fn entry_without_a_desired_state_is_not_ready_and_denies_nothing() {
    let store = RowStore::start().await.expect("a port");
    store.set_mode(StoreMode::Busy);
    let site = TestSite::start_with(store, std::process::Stdio::null());
    site.wait_state(|text| text.contains("\"ready\":false"))
        .await;
    assert_eq!(
        site.call("/look/1", "r").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    site.store
        .put("op", "config", desired_state(1).to_string().as_bytes());
    site.store.set_mode(StoreMode::Serving);
    site.wait_ready().await;
}

#[tokio::test]
async fn leaving_and_malformed_registrations_get_nothing() {
    let (first, second) = (desk("i1").await, desk("i2").await);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "b")]).await;
    site.store.put("servers", "i-junk", b"\xff\x00");
    site.store.put("servers", "i-odd", b"{\"service\":7}");
    site.register(DESK, &first, "a", "draining");
    site.wait_state(|text| text.contains("Draining")).await;
    let before = first.requests().len();
    for _ in 0..5 {
        assert_eq!(site.call("/book/1", "r").await.status, StatusCode::OK);
    }
    assert_eq!(first.requests().len(), before);
    assert_eq!(second.requests().len(), 5);
}

#[tokio::test]
async fn lifetime_that_holds_the_address_is_adopted() {
    let worker = desk("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    assert_eq!(site.call("/book/1", "r1").await.status, StatusCode::OK);
    worker.script([WorkerAct::Misdirected("i-next")]);
    site.call("/book/1", "r2").await;
    let adopted = site.call("/book/1", "r3").await;
    assert_eq!(adopted.status, StatusCode::OK);
    let last = worker.requests().pop().expect("a request");
    assert_eq!(last.header("x-bamboocross-target-instance"), Some("i-next"));
}

/// While the store is away, servers that started again tell their names
/// themselves, those that had no request too; the model proves the service.
#[rstest]
#[case::only_service(1, true)]
#[case::another_has_the_model(2, false)]
#[tokio::test]
async fn restarted_servers_are_known_without_the_store(
    #[case] services: usize,
    #[case] expected: bool,
) {
    let (first, second) = (desk("i1").await, desk("i2").await);
    let site = TestSite::start(&[(POOL, &first, "a"), (POOL, &second, "a")]).await;
    let mut state = desired_state(4);
    let mut other = state["services"][1].clone();
    other["name"] = json!("other");
    if services == 2 {
        state["services"]
            .as_array_mut()
            .expect("a list")
            .push(other);
    }
    state["routes"][0]["prefix"] = json!("/seen/");
    site.store.put("op", "config", state.to_string().as_bytes());
    wait_for("the state", async || {
        site.metric("bamboocross_front_state_version").await == 4.0
    })
    .await;
    site.store.set_mode(StoreMode::Silent);
    wait_for("the loss of the store", async || {
        let lost = "bamboocross_front_store_calls_total{outcome=\"unreachable\"}";
        site.metric(lost).await >= 2.0
    })
    .await;
    for worker in [&first, &second] {
        worker.script([Reset, Events(9, StreamEnd::Complete)]);
    }
    let target = |worker: &ScriptedWorker| {
        let last = worker.requests().pop();
        let name = last.and_then(|last| {
            last.header("x-bamboocross-target-instance")
                .map(str::to_owned)
        });
        name.unwrap_or_default()
    };
    let mut known = false;
    for number in 0..6 {
        site.call("/report/1", &format!("r{number}")).await;
        known = target(&first) == "i1" && target(&second) == "i2";
        if known {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(known, expected);
}

#[tokio::test]
async fn settings_change_without_an_end() {
    let worker = desk("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let other = RowStore::start().await.expect("a port");
    // The versions of the other store start anew, so rows are written until
    // they are newer than those known.
    for version in 10..30 {
        put_state(&other, version, "/moved/");
    }
    site.change_settings(|settings| settings["store"] = json!(other.address.to_string()));
    site.signal(Signal::SIGHUP);
    wait_status(&site, "/moved/1", StatusCode::OK).await;
    site.change_settings(|settings| settings["store"] = json!(7));
    site.signal(Signal::SIGHUP);
    assert_eq!(
        site.call("/none/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
}
