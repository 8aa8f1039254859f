//! Propagation of the server list between entries.

use std::{net::SocketAddr, process::Stdio};

use crate::support::{DESK, TestSite, desired_state, wait_for};
use nix::sys::signal::Signal;
use stand_ins::{LinkMode, ProxyLink, RowStore, ScriptedWorker};

const FROM_ENTRY: &str = "bamboocross_front_list_news_total{source=\"entry\"}";

/// Two entries, the second of which follows the first. The first reaches the store
/// through a proxy.
struct EntryPair {
    first: TestSite,
    second: TestSite,
    link: ProxyLink,
}

impl EntryPair {
    async fn start() -> Self {
        let store = RowStore::start().await.expect("a port");
        store.put("op", "config", desired_state(1).to_string().as_bytes());
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = ProxyLink::start(listen, store.address)
            .await
            .expect("a port");
        let first = TestSite::start_entry("front-1", store.clone(), link.listen, Stdio::null());
        first.wait_ready().await;
        let address = store.address;
        let second = TestSite::start_entry("front-2", store, address, Stdio::null());
        second.wait_ready().await;
        let pair = Self {
            first,
            second,
            link,
        };
        pair.wait_following().await;
        pair
    }

    /// Waits until the second entry receives updates from the first.
    async fn wait_following(&self) {
        let before = self.second.metric(FROM_ENTRY).await;
        wait_for("updates from the other entry", async || {
            self.second.metric(FROM_ENTRY).await >= before + 2.0
        })
        .await;
    }

    /// Registers a worker and waits until the second entry knows it.
    async fn register(&self) {
        let worker = ScriptedWorker::start("i1").await.expect("a port");
        self.first.register(DESK, &worker, "a", "ready");
        let address = worker.address.to_string();
        self.second.wait_state(|text| text.contains(&address)).await;
    }
}

#[tokio::test]
async fn entry_learns_of_servers_from_another_entry() {
    let pair = EntryPair::start().await;
    let from_store = "bamboocross_front_list_news_total{source=\"store\"}";
    let before = pair.second.metric(from_store).await;
    pair.register().await;
    pair.wait_following().await;
    assert_eq!(
        pair.second.metric(from_store).await,
        before,
        "the second entry read the store"
    );
}

#[tokio::test]
async fn entry_reads_the_store_after_its_leader_crashed() {
    let pair = EntryPair::start().await;
    pair.first.signal(Signal::SIGKILL);
    pair.register().await;
}

/// A suspended entry keeps its connections open but sends no updates. Without a
/// timeout its follower would not learn of new servers.
#[tokio::test]
async fn entry_does_not_wait_for_a_suspended_leader() {
    let pair = EntryPair::start().await;
    pair.first.signal(Signal::SIGSTOP);
    pair.register().await;
    pair.first.signal(Signal::SIGCONT);
    pair.wait_following().await;
}

/// Only the first entry loses the store, with and without a closed connection.
#[tokio::test]
async fn entry_without_the_store_is_not_followed() {
    let pair = EntryPair::start().await;
    for mode in [LinkMode::Cut, LinkMode::Silence] {
        pair.link.set_mode(mode);
        pair.register().await;
        pair.link.set_mode(LinkMode::Pass);
        pair.wait_following().await;
    }
}
