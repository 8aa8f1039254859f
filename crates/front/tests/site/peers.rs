//! Entries that hand on the list of servers to each other.

use std::{net::SocketAddr, process::Stdio};

use crate::support::{DESK, TestSite, desired_state, wait_for};
use nix::sys::signal::Signal;
use stand_ins::{LinkMode, ProxyLink, RowStore, ScriptedWorker};

const FROM_ENTRY: &str = "bamboocross_front_list_news_total{source=\"entry\"}";

/// The first entry finds the store behind a link, the second follows the first.
struct Pair {
    first: TestSite,
    second: TestSite,
    link: ProxyLink,
}

impl Pair {
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
        pair.wait_followed().await;
        pair
    }

    /// Wait until the second entry hears the list from the first.
    async fn wait_followed(&self) {
        let before = self.second.metric(FROM_ENTRY).await;
        wait_for("news from the other entry", async || {
            self.second.metric(FROM_ENTRY).await >= before + 2.0
        })
        .await;
    }

    /// Register a worker and wait until the second entry knows it.
    async fn register(&self) {
        let worker = ScriptedWorker::start("i1").await.expect("a port");
        self.first.register(DESK, &worker, "a", "ready");
        let address = worker.address.to_string();
        self.second.wait_state(|text| text.contains(&address)).await;
    }
}

#[tokio::test]
async fn entry_hears_of_servers_from_another() {
    let pair = Pair::start().await;
    let calls = "bamboocross_front_list_news_total{source=\"store\"}";
    let before = pair.second.metric(calls).await;
    pair.register().await;
    pair.wait_followed().await;
    assert_eq!(
        pair.second.metric(calls).await,
        before,
        "the store was asked"
    );
}

#[tokio::test]
async fn entry_goes_on_without_the_one_that_it_followed() {
    let pair = Pair::start().await;
    pair.first.signal(Signal::SIGKILL);
    pair.register().await;
}

/// An entry that sleeps tells nothing; it does not hold up the other.
#[tokio::test]
async fn entry_does_not_wait_for_one_that_sleeps() {
    let pair = Pair::start().await;
    pair.first.signal(Signal::SIGSTOP);
    pair.register().await;
    pair.first.signal(Signal::SIGCONT);
    pair.wait_followed().await;
}

/// The store is lost to the first entry only, without a word or with one.
#[tokio::test]
async fn entry_cut_off_from_the_store_is_not_followed() {
    let pair = Pair::start().await;
    for mode in [LinkMode::Cut, LinkMode::Silence] {
        pair.link.set_mode(mode);
        pair.register().await;
        pair.link.set_mode(LinkMode::Pass);
        pair.wait_followed().await;
    }
}
