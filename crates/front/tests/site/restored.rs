//! A store that comes back from an older copy of itself and gives out versions again.

use http::StatusCode;
use stand_ins::ScriptedWorker;

use crate::support::{DESK, TestSite, put_desired_state, wait_for, wait_for_status};

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
