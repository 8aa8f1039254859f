//! Desired state, server list and settings during faults of the store.

use std::time::Duration;

use crate::support::{
    DESK, POOL, TestSite, desired_state, put_desired_state, wait_for, wait_for_status,
};
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use stand_ins::{RowStore, ScriptedWorker, StoreMode, StreamEnd, WorkerAct};
use tokio::time::sleep;

use WorkerAct::{Events, Reset};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

#[tokio::test]
async fn new_version_replaces_the_old_one_and_stays() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    put_desired_state(&site.store, 4, "/seen/");
    wait_for_status(&site, "/seen/1", StatusCode::OK).await;
    assert_eq!(
        site.call("/look/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
    // The change history is discarded, so the entry lists the same version again.
    site.store.set_mode(StoreMode::HistoryGone);
    put_desired_state(&site.store, 5, "/later/");
    wait_for_status(&site, "/later/1", StatusCode::OK).await;
    assert_eq!(
        site.call("/seen/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
}

#[tokio::test]
async fn unreadable_state_does_not_block_a_later_one() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    site.store.put("op", "config", b"{\"version\":");
    put_desired_state(&site.store, 6, "/seen/");
    wait_for_status(&site, "/seen/1", StatusCode::OK).await;
}

#[tokio::test]
async fn store_outage_neither_stops_nor_denies_requests() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    assert_eq!(
        site.call("/none/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
    site.store.set_mode(StoreMode::Silent);
    // A newer version may be in force, so an unknown route is not denied with 404.
    wait_for_status(&site, "/none/1", StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    site.store.set_mode(StoreMode::Serving);
    wait_for_status(&site, "/none/1", StatusCode::NOT_FOUND).await;
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
async fn draining_and_malformed_registrations_get_no_requests() {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
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
async fn instance_that_holds_the_address_is_adopted() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    assert_eq!(site.call("/book/1", "r1").await.status, StatusCode::OK);
    worker.script([WorkerAct::Misdirected("i-next")]);
    site.call("/book/1", "r2").await;
    let adopted = site.call("/book/1", "r3").await;
    assert_eq!(adopted.status, StatusCode::OK);
    let last = worker.requests().pop().expect("a request");
    assert_eq!(last.header("x-bamboocross-target-instance"), Some("i-next"));
}

/// While the store is unreachable, restarted servers report their new names
/// themselves, including those that were sent no request. The model proves which
/// service they belong to.
#[rstest]
#[case::only_service(1, true)]
#[case::another_has_the_model(2, false)]
#[tokio::test]
async fn restarted_servers_are_adopted_without_the_store(
    #[case] services: usize,
    #[case] expected: bool,
) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
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
    wait_for("the desired state", async || {
        site.metric("bamboocross_front_state_version").await == 4.0
    })
    .await;
    site.store.set_mode(StoreMode::Silent);
    wait_for("the loss of the store", async || {
        let unreachable = "bamboocross_front_store_calls_total{outcome=\"unreachable\"}";
        site.metric(unreachable).await >= 2.0
    })
    .await;
    for worker in [&first, &second] {
        worker.restart();
        worker.script([Reset, Events(9, StreamEnd::Complete)]);
    }
    let names = ["\"instance\":\"i1\"", "\"instance\":\"i2\""];
    if !expected {
        for number in 0..6 {
            site.call("/report/1", &format!("r{number}")).await;
            sleep(Duration::from_millis(20)).await;
        }
        site.wait_state(|text| names.iter().all(|name| !text.contains(name)))
            .await;
        return;
    }
    site.call("/report/1", "r0").await;
    site.wait_state(|text| names.iter().all(|name| text.contains(name)))
        .await;
    // Both get requests under their new names. Each request goes to either of them
    // at random, so their number is not fixed.
    let target = |worker: &ScriptedWorker| {
        let last = worker.requests().pop()?;
        let name = last.header("x-bamboocross-target-instance")?;
        Some(name.to_owned())
    };
    wait_for("requests to both instances", async || {
        site.call("/report/1", "r1").await;
        target(&first).as_deref() == Some("i1") && target(&second).as_deref() == Some("i2")
    })
    .await;
}

#[tokio::test]
async fn settings_change_without_a_restart() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let other = RowStore::start().await.expect("a port");
    // Row versions of the newly configured store start over, so rows are written
    // until their versions exceed the ones already seen.
    for version in 10..30 {
        put_desired_state(&other, version, "/moved/");
    }
    site.change_settings(|settings| settings["store"] = json!(other.address.to_string()));
    site.signal(Signal::SIGHUP);
    wait_for_status(&site, "/moved/1", StatusCode::OK).await;
    site.change_settings(|settings| settings["store"] = json!(7));
    site.signal(Signal::SIGHUP);
    assert_eq!(
        site.call("/none/1", "r").await.status,
        StatusCode::NOT_FOUND
    );
}
