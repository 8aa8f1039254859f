//! The task that keeps the release note and the server's own stop fresh.
//!
//! An agent asks one of the entries that have told it something, another one
//! each time. The store is asked at the start, and later only when no entry
//! answers, since a thousand agents may not poll it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use backing::{NotePeer, NoteStore, ObjectStore, StopStore, TableStore, known_entries};
use domain::{
    ConfigVersion, StopVersion,
    serving_config::{ConfigHistory, ConfigSources},
    vm_membership::{LeavingStatus, StopKind},
};
use rand::seq::IndexedRandom;
use tokio::{sync::mpsc, time::Instant};
use wire::agent_control::{NewsMessage, OrderNews, StopNews};

use crate::AgentState;

/// Time between two questions to entries.
const PULL_INTERVAL: Duration = Duration::from_millis(1_500);

/// News waiting at most; more say the same.
pub const NEWS_MAX: usize = 16;

/// Release notes and stops as an agent knows them.
#[derive(Default)]
pub struct NoteHolder {
    ledger: ArcSwap<ConfigHistory>,
    evidence: ArcSwap<LeavingStatus>,
}

impl NoteHolder {
    /// Ledger in force.
    pub fn ledger(&self) -> Arc<ConfigHistory> {
        self.ledger.load_full()
    }

    /// Whether a stop or the platform's list says that the server is leaving.
    pub fn is_leaving(&self, now: Instant) -> bool {
        self.evidence.load().is_leaving(now)
    }

    fn order_version(&self) -> StopVersion {
        self.evidence.load().stop_version()
    }

    /// Take in the recorded stop of the server.
    pub fn heed(&self, order: &OrderNews, epoch: u64) {
        let is_leaving = order.stop.is_some_and(|stop| holds_for(&stop, epoch));
        self.observe(|evidence| {
            evidence.observe_stop(StopVersion(order.version), is_leaving);
        });
    }

    fn hear(&self, news: &NewsMessage, epoch: u64, now: Instant) {
        self.heed(&news.order, epoch);
        self.observe(|evidence| evidence.observe_list(news.is_listed_leaving, now));
    }

    fn observe(&self, take: impl Fn(&mut LeavingStatus)) {
        self.evidence.rcu(|held| {
            let mut next = **held;
            take(&mut next);
            next
        });
    }

    fn take(&self, next: ConfigHistory) {
        let next = Arc::new(next);
        // Versions only rise, whatever the store or a peer answers.
        self.ledger.rcu(|held| {
            let is_newer = held.version() < next.version();
            Arc::clone(if is_newer { &next } else { held })
        });
        log::info!(version:% = self.ledger().version(); "release note in force");
    }
}

fn holds_for(stop: &StopNews, epoch: u64) -> bool {
    StopKind::from(stop.kind).applies_to(stop.epoch, epoch)
}

impl AgentState {
    /// Take in what an entry told.
    pub fn hear_news(&self, news: NewsMessage) {
        self.notes.hear(&news, self.owner.epoch, Instant::now());
        // A full channel holds news enough.
        let _ = self.news.try_send(news);
    }
}

/// Keeps notes and stops fresh.
pub struct NoteKeeper<P> {
    state: Arc<AgentState>,
    platform: P,
    peer: NotePeer,
    sources: ConfigSources,
}

impl<P: TableStore + ObjectStore> NoteKeeper<P> {
    /// Keeper of an agent's state.
    pub fn new(state: Arc<AgentState>, platform: P, now: Instant) -> Self {
        Self {
            state,
            platform,
            peer: NotePeer::default(),
            sources: ConfigSources::new(now),
        }
    }

    /// Keep going for as long as the process runs.
    pub async fn run(mut self, mut news: mpsc::Receiver<NewsMessage>) {
        self.ask_store().await;
        loop {
            let pause = PULL_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
            match tokio::time::timeout(pause, news.recv()).await {
                Ok(Some(told)) => self.hear(&told).await,
                Ok(None) => return,
                Err(_) => self.ask_any().await,
            }
        }
    }

    async fn hear(&mut self, told: &NewsMessage) {
        self.sources.add_entry(told.entry);
        self.sources.record_answer(Instant::now());
        if ConfigVersion(told.note_version) > self.state.notes.ledger().version() {
            self.ask_entry(told.entry).await;
        }
    }

    async fn ask_any(&mut self) {
        let entry = self.sources.entries().choose(&mut rand::rng()).copied();
        if let Some(entry) = entry {
            self.ask_entry(entry).await;
        }
        if self.sources.is_store_query_due(Instant::now()) {
            self.ask_store().await;
            self.sources.record_answer(Instant::now());
        }
    }

    async fn ask_entry(&mut self, entry: SocketAddr) {
        let ledger = self.state.notes.ledger();
        let server = self.state.settings.name.as_str();
        let orders = self.state.notes.order_version();
        let pulled = self.peer.pull_for(entry, ledger.version(), server, orders);
        match pulled.await {
            Ok(update) => {
                let now = Instant::now();
                self.sources.record_answer(now);
                if let Some(news) = update.news() {
                    let epoch = self.state.owner.epoch;
                    self.state.notes.hear(&news, epoch, now);
                }
                if let Some(next) = update.follow(&ledger) {
                    self.state.notes.take(next);
                }
            }
            Err(error) => {
                log::debug!("no notes from entry {entry}: {error}");
                self.sources.record_failure(entry);
            }
        }
    }

    /// Ask the store for everything at once, since each question may take as
    /// long as the store is given to answer.
    async fn ask_store(&mut self) {
        let (notes, stops, entries) =
            tokio::join!(self.read_notes(), self.read_stops(), self.read_entries(),);
        if let Err(error) = notes {
            log::warn!("release note not read: {error}");
        }
        if let Err(error) = stops {
            log::warn!("recorded stops not read: {error}");
        }
        match entries {
            Ok(entries) => entries
                .into_iter()
                .for_each(|entry| self.sources.add_entry(entry)),
            Err(error) => log::warn!("entries not read: {error}"),
        }
    }

    /// Some of the entries, others for each process that asks.
    async fn read_entries(&self) -> Result<Vec<SocketAddr>, backing::StoreError> {
        if !self.sources.knows_few_entries() {
            return Ok(Vec::new());
        }
        let entries = known_entries(&self.platform).await?;
        let chosen = entries.choose_multiple(&mut rand::rng(), ConfigSources::ENTRIES_MAX);
        Ok(chosen.copied().collect())
    }

    async fn read_notes(&self) -> Result<(), backing::NoteStoreError> {
        let notes = NoteStore::new(self.platform.clone());
        let head = notes.head().await?;
        let ledger = self.state.notes.ledger();
        if head.version > ledger.version() {
            self.state.notes.take(notes.advance(&ledger, &head).await?);
        }
        Ok(())
    }

    async fn read_stops(&self) -> Result<(), backing::StoreError> {
        let record = StopStore::new(self.platform.clone()).read().await?;
        let order = record.order_of(self.state.settings.name.as_str());
        let order = OrderNews {
            version: record.version.0,
            stop: order.map(StopNews::from),
        };
        self.state.notes.heed(&order, self.state.owner.epoch);
        Ok(())
    }
}
