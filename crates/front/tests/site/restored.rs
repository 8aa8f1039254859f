//! A store that comes back from an older copy of itself and gives out versions again.

use std::{process::Stdio, time::Duration};

use http::StatusCode;
use stand_ins::{RowStore, ScriptedWorker, StoreMode};
use tokio::time::sleep;

use crate::support::{DESK, TestSite, desired_state, put_desired_state, wait_for, wait_for_status};

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

/// Number of listings of the desired state that the store was asked for.
fn state_listings(site: &TestSite) -> usize {
    let calls = site.store.calls();
    let is_listing = |call: &&String| call.starts_with("/v1/rows-get?table=op&");
    calls.iter().filter(is_listing).count()
}

/// A confirmed desired state was ignored because its row had the version of the one in force.
#[tokio::test]
async fn desired_state_in_a_reused_row_version_is_in_force() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let copy = site.store.copy();
    put_desired_state(&site.store, 4, "/lost/");
    wait_for_status(&site, "/lost/1", StatusCode::OK).await;
    let listings = state_listings(&site);
    site.store.restore(copy);
    wait_for("a listing after the return", async || {
        state_listings(&site) > listings
    })
    .await;
    put_desired_state(&site.store, 5, "/later/");
    wait_for_status(&site, "/later/1", StatusCode::OK).await;
}

/// A desired state was never read because the versions given out since the return had
/// passed the position of the entry again, so that the store did not answer 410.
#[tokio::test]
async fn desired_state_below_the_feed_position_is_read() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let copy = site.store.copy();
    put_desired_state(&site.store, 4, "/lost/");
    wait_for_status(&site, "/lost/1", StatusCode::OK).await;
    site.store.set_mode(StoreMode::Busy);
    site.store.restore(copy);
    put_desired_state(&site.store, 5, "/later/");
    for row in 0..5 {
        site.store.put("other", &row.to_string(), b"{}");
    }
    site.store.set_mode(StoreMode::Serving);
    wait_for_status(&site, "/later/1", StatusCode::OK).await;
}

/// An entry that follows another one never learned of servers that registered in versions
/// given out again, and kept those that the store had lost.
#[tokio::test]
async fn follower_has_the_list_of_the_new_era() {
    let (kept, lost, later) = (
        start_worker("i1").await,
        start_worker("i2").await,
        start_worker("i3").await,
    );
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let address = store.address;
    let first = TestSite::start_entry("front-1", store.clone(), address, Stdio::null());
    first.wait_ready().await;
    let second = TestSite::start_entry("front-2", store.clone(), address, Stdio::null());
    second.wait_ready().await;
    let sites = [&first, &second];
    first.register(DESK, &kept, "a", "ready");
    let copy = store.copy();
    first.register(DESK, &lost, "a", "ready");
    let names = |worker: &ScriptedWorker| worker.address.to_string();
    for site in sites {
        site.wait_state(|text| text.contains(&names(&lost))).await;
    }
    store.restore(copy);
    first.register(DESK, &later, "a", "ready");
    for site in sites {
        site.wait_state(|text| text.contains(&names(&later)) && !text.contains(&names(&lost)))
            .await;
    }
}

/// A store that does not number its eras is followed as before.
#[tokio::test]
async fn store_without_eras_is_followed() {
    let store = RowStore::start().await.expect("a port");
    store.hide_era();
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let site = TestSite::start_with(store, Stdio::null());
    site.wait_ready().await;
    let worker = start_worker("i1").await;
    site.register(DESK, &worker, "a", "ready");
    put_desired_state(&site.store, 4, "/seen/");
    wait_for_status(&site, "/seen/1", StatusCode::OK).await;
    assert_eq!(
        site.metric("bamboocross_front_store_era_version").await,
        0.0
    );
}

/// An older desired state was taken for a confirmation that there is none after the one in
/// force, so that requests were denied for good that a lost version may allow.
#[tokio::test]
async fn older_desired_state_confirms_nothing() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let copy = site.store.copy();
    put_desired_state(&site.store, 4, "/seen/");
    wait_for_status(&site, "/seen/1", StatusCode::OK).await;
    wait_for_status(&site, "/none/1", StatusCode::NOT_FOUND).await;
    site.store.restore(copy);
    wait_for_status(&site, "/none/1", StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(site.call("/seen/1", "r").await.status, StatusCode::OK);
    put_desired_state(&site.store, 4, "/seen/");
    wait_for_status(&site, "/none/1", StatusCode::NOT_FOUND).await;
}

/// The row with which an entry announces itself was lost, and written again only half a
/// minute later; until then the others counted one entry too few.
#[tokio::test]
async fn entry_announces_itself_again() {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let copy = store.copy();
    let site = TestSite::start_with(store, Stdio::null());
    site.wait_ready().await;
    let is_announced = async || site.store.keys("entries") == ["front-1"];
    wait_for("the announcement", is_announced).await;
    site.store.restore(copy);
    assert!(site.store.keys("entries").is_empty());
    for _ in 0..2_000 {
        if is_announced().await {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the entry did not announce itself within 20 s");
}

/// An entry that started after a return served the older desired state that the store
/// showed, though others had the newer one.
#[tokio::test]
async fn starting_entry_has_the_newest_state_of_the_others() {
    let worker = start_worker("i1").await;
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let address = store.address;
    let running = TestSite::start_entry("front-2", store.clone(), address, Stdio::null());
    running.wait_ready().await;
    running.register(DESK, &worker, "a", "ready");
    wait_for("the announcement", async || {
        store.keys("entries") == ["front-2"]
    })
    .await;
    let copy = store.copy();
    put_desired_state(&store, 4, "/seen/");
    wait_for_status(&running, "/seen/1", StatusCode::OK).await;
    store.restore(copy);
    // Its name sorts before the other's, so it does not follow that one.
    let starting = TestSite::start_entry("front-1", store, address, Stdio::null());
    starting.wait_ready().await;
    let early = starting.call("/seen/1", "r").await.status;
    assert_ne!(early, StatusCode::NOT_FOUND);
    wait_for_status(&starting, "/seen/1", StatusCode::OK).await;
}
