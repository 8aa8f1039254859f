//! Roll-outs on the path of a request: which servers it may be sent to, and the allowance
//! of the new version.
//!
//! Requests read a snapshot, which [`crate::rollout_watch`] replaces as a whole, and
//! hand it their observations through a channel. Without an order that is acted on the
//! snapshot is empty.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    ops::Deref,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use domain::{
    FailureDomain, ServerVersion, ServiceName,
    rollout::{
        AnswerSample, ExposureAllowance, FilterRule, OrderId, OrderOrigin, RolloutNews, SendRight,
        StatusState, VersionFilter, VersionSide,
    },
    run_evidence::SendOutcome,
    server_registry::{DomainServers, RegisteredServer, ServerRegistry},
};
use platform::store_call::StoreRow;
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};

use crate::{
    front_state::FrontState, rollout_answers::WatchedAnswer, routed_request::RoutedRequest,
};

/// Capacity of the channel to the owning task: the answers of some seconds.
const MAX_QUEUED_NOTES: usize = 4_096;
/// Allowance that is left to routes that lack answers of the new version.
const RESERVED_SENDS: f64 = 1.0;

/// One service's order as requests see it.
#[derive(Debug)]
pub(crate) struct LiveRollout {
    pub(crate) service: ServiceName,
    pub(crate) order: OrderId,
    pub(crate) filter: VersionFilter,
    pub(crate) allowance: Arc<ExposureAllowance>,
    /// Routes that have enough answers of the new version.
    pub(crate) covered: BTreeSet<Box<str>>,
    /// Streams of this entry at servers of old versions.
    pub(crate) old_streams: Arc<AtomicU32>,
    /// Selections of the newest server list.
    pub(crate) split: ArcSwapOption<ServerSplit>,
}

/// Selections of one version of the server list, computed once for many requests.
#[derive(Debug)]
pub(crate) struct ServerSplit {
    registry: Arc<ServerRegistry>,
    trial: Box<[DomainServers]>,
    others: Box<[DomainServers]>,
}

/// Servers that a request may be sent to.
#[derive(Debug)]
pub(crate) enum SelectedServers<'a> {
    /// All ready servers of its service.
    All(&'a [DomainServers]),
    /// Those of the new version only.
    Trial(Arc<ServerSplit>),
    /// Those that requests outside the trial may be sent to.
    Others(Arc<ServerSplit>),
}

impl Deref for SelectedServers<'_> {
    type Target = [DomainServers];

    fn deref(&self) -> &[DomainServers] {
        match self {
            Self::All(servers) => servers,
            Self::Trial(split) => &split.trial,
            Self::Others(split) => &split.others,
        }
    }
}

/// Row of an order, and how this entry came by it.
#[derive(Clone, Debug)]
pub(crate) struct OrderRow {
    pub(crate) row: StoreRow,
    pub(crate) origin: OrderOrigin,
    /// State of the order when the row was found; none if it is new.
    pub(crate) status: Option<StoreRow>,
    /// Whether another entry handed it on.
    pub(crate) is_relayed: bool,
}

/// Observation for the owning task.
#[derive(Debug)]
pub(crate) enum RolloutNote {
    /// What an answer says about a version.
    Sample(RolloutSample),
    /// News of another entry; the reply has what that one lacks.
    Exchange(Vec<RolloutNews>, oneshot::Sender<Vec<RolloutNews>>),
    /// What is to be told to other entries: all orders, with this entry's own report.
    Own(oneshot::Sender<Vec<RolloutNews>>),
    /// End of a write of a status row.
    Written(ServiceName, OrderId, StatusEnd),
}

/// How the write of a status row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusEnd {
    /// The store holds this state in a row of this version.
    Recorded(StatusState, u64),
    /// The store holds a row of this version of an earlier order; 0 for none.
    Stale(u64),
    /// The store did not answer as expected.
    Failed,
}

/// One observation of an answer.
#[derive(Clone, Debug)]
pub(crate) struct RolloutSample {
    pub(crate) service: ServiceName,
    pub(crate) order: OrderId,
    pub(crate) route: Box<str>,
    pub(crate) domain: FailureDomain,
    pub(crate) side: VersionSide,
    pub(crate) sample: AnswerSample,
}

/// Snapshot of the orders in force, and the channel to their owner.
#[derive(Debug)]
pub struct RolloutBoard {
    live: ArcSwap<HashMap<ServiceName, Arc<LiveRollout>>>,
    rows: ArcSwap<BTreeMap<String, OrderRow>>,
    /// Signals that a row of an order was read.
    pub(crate) row_read: Notify,
    /// Signals that the other entries are to learn something at once.
    pub(crate) urgent_news: Notify,
    notes: mpsc::Sender<RolloutNote>,
}

/// Receiver of the observations, to be passed to [`watch_rollouts`].
///
/// [`watch_rollouts`]: crate::watch_rollouts
#[derive(Debug)]
pub struct RolloutNotes(pub(crate) mpsc::Receiver<RolloutNote>);

/// Permission to send one request to one server.
#[derive(Debug, Default)]
pub(crate) struct SendPass {
    live: Option<Arc<LiveRollout>>,
    is_trial: bool,
    is_first: bool,
}

impl RolloutBoard {
    /// Creates a board without orders, and the receiver of its observations.
    pub fn new() -> (Self, RolloutNotes) {
        let (notes, receiver) = mpsc::channel(MAX_QUEUED_NOTES);
        let board = Self {
            live: ArcSwap::default(),
            rows: ArcSwap::default(),
            row_read: Notify::new(),
            urgent_news: Notify::new(),
            notes,
        };
        (board, RolloutNotes(receiver))
    }

    /// Offers the row of an order. Older versions than the known one change nothing.
    pub(crate) fn offer_row(&self, offered: &OrderRow) {
        self.rows.rcu(|rows| {
            let known = rows.get(&offered.row.key);
            if known.is_some_and(|known| known.row.version >= offered.row.version) {
                return Arc::clone(rows);
            }
            let mut rows = BTreeMap::clone(rows);
            rows.insert(offered.row.key.clone(), offered.clone());
            Arc::new(rows)
        });
        self.row_read.notify_one();
    }

    /// Rows of orders as they were read last.
    pub(crate) fn rows(&self) -> Arc<BTreeMap<String, OrderRow>> {
        self.rows.load_full()
    }

    /// Replaces what requests see.
    pub(crate) fn publish(&self, live: HashMap<ServiceName, Arc<LiveRollout>>) {
        self.live.store(Arc::new(live));
    }

    /// Orders that are acted on.
    pub(crate) fn live(&self) -> arc_swap::Guard<Arc<HashMap<ServiceName, Arc<LiveRollout>>>> {
        self.live.load()
    }

    fn find(&self, service: &ServiceName) -> Option<Arc<LiveRollout>> {
        let live = self.live.load();
        live.get(service).map(Arc::clone)
    }

    /// Selects the servers that a request may be sent to now.
    pub(crate) fn select<'a>(
        &self,
        request: &RoutedRequest,
        tried: &[SocketAddr],
        registry: &'a Arc<ServerRegistry>,
        now: Instant,
    ) -> SelectedServers<'a> {
        let Some(live) = self.find(&request.service) else {
            return SelectedServers::All(registry.ready_servers(&request.service));
        };
        let split = live.split(registry);
        if live.wants_trial(request, tried) && has_available(&split.trial, now) {
            SelectedServers::Trial(split)
        } else {
            SelectedServers::Others(split)
        }
    }

    /// Selects the servers that may hold the copy of a run at `primary`: those of the
    /// same version, since a stream that goes on from the copy is sent there.
    pub(crate) fn select_copy_holders<'a>(
        &self,
        primary: &RegisteredServer,
        servers: &'a [DomainServers],
    ) -> Cow<'a, [DomainServers]> {
        if !self.live.load().contains_key(&primary.record().service) {
            return Cow::Borrowed(servers);
        }
        VersionFilter::select_version(servers, &primary.record().version)
    }

    /// Takes the permission to send a request to a server; `None` if the version of the
    /// server must not get it.
    pub(crate) fn admit(
        &self,
        server: &RegisteredServer,
        request: &RoutedRequest,
    ) -> Option<SendPass> {
        let Some(live) = self.find(&request.service) else {
            return Some(SendPass::default());
        };
        let right = live.filter.right(&server.record().version);
        let is_trial = right == SendRight::Trial;
        let is_allowed = match right {
            SendRight::Free => true,
            SendRight::Trial => live.allowance.try_spend(),
            SendRight::Denied => false,
        };
        is_allowed.then(|| SendPass {
            live: Some(live),
            is_trial,
            is_first: request.sends.budget().runs == 0,
        })
    }

    /// Watches the answer of a server to a request.
    pub(crate) fn watch(
        &self,
        server: &RegisteredServer,
        request: &RoutedRequest,
    ) -> Option<WatchedAnswer> {
        let live = self.find(&request.service)?;
        let version = &server.record().version;
        let side = live.side(version)?;
        let domain = server.record().domain.clone();
        let route = request.route.name.clone();
        let notes = self.notes.clone();
        Some(WatchedAnswer::new(live, side, domain, route, notes))
    }

    /// Merges news of another entry and returns what that one lacks.
    pub(crate) async fn exchange(&self, news: Vec<RolloutNews>) -> Vec<RolloutNews> {
        let (reply, receiver) = oneshot::channel();
        self.ask(RolloutNote::Exchange(news, reply), receiver).await
    }

    /// Returns what this entry tells the others.
    pub(crate) async fn own_news(&self) -> Vec<RolloutNews> {
        if self.live.load().is_empty() {
            return Vec::new();
        }
        let (reply, receiver) = oneshot::channel();
        self.ask(RolloutNote::Own(reply), receiver).await
    }

    async fn ask(
        &self,
        note: RolloutNote,
        receiver: oneshot::Receiver<Vec<RolloutNews>>,
    ) -> Vec<RolloutNews> {
        if self.notes.send(note).await.is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }

    /// Tells the owning task how the write of a status row ended.
    pub(crate) async fn note_written(&self, service: ServiceName, order: OrderId, end: StatusEnd) {
        let note = RolloutNote::Written(service, order, end);
        if self.notes.send(note).await.is_err() {
            log::debug!("owner of the roll-outs has ended");
        }
    }
}

impl LiveRollout {
    /// Whether a request should go to the new version: only its first send does, and a
    /// route that has enough answers leaves a part of the allowance to the others.
    fn wants_trial(&self, request: &RoutedRequest, tried: &[SocketAddr]) -> bool {
        if self.filter.rule(true) != FilterRule::Trial {
            return false;
        }
        let budget = request.sends.budget();
        if !tried.is_empty() || budget.runs > 0 || budget.rejected > 0 {
            return false;
        }
        let is_covered = self.covered.contains(&request.route.name);
        let reserved = if is_covered { RESERVED_SENDS } else { 0.0 };
        self.allowance.remaining() >= 1.0 + reserved
    }

    /// Selections of this version of the server list.
    fn split(&self, registry: &Arc<ServerRegistry>) -> Arc<ServerSplit> {
        let known = self.split.load_full();
        if let Some(known) = known.filter(|known| Arc::ptr_eq(&known.registry, registry)) {
            return known;
        }
        let servers = registry.ready_servers(&self.service);
        let select = |is_trial| {
            let rule = self.filter.rule(is_trial);
            self.filter.select(servers, rule).into()
        };
        let split = Arc::new(ServerSplit {
            registry: Arc::clone(registry),
            trial: select(true),
            others: select(false),
        });
        self.split.store(Some(Arc::clone(&split)));
        split
    }

    fn side(&self, version: &ServerVersion) -> Option<VersionSide> {
        if *version == self.filter.new {
            Some(VersionSide::New)
        } else {
            self.filter.is_old(version).then_some(VersionSide::Old)
        }
    }
}

fn has_available(servers: &[DomainServers], now: Instant) -> bool {
    let mut all = servers.iter().flat_map(|domain| &domain.servers);
    all.any(|server| server.is_available(now) && !server.is_suspect(now))
}

impl SendPass {
    /// Records how the send went. A pass that is dropped counts as spent.
    pub(crate) fn settle(self, outcome: Option<SendOutcome>) {
        let Some(live) = self.live else {
            return;
        };
        match outcome {
            Some(SendOutcome::NotConnected | SendOutcome::HandedBack) if self.is_trial => {
                live.allowance.refund();
            }
            Some(SendOutcome::NotConnected | SendOutcome::HandedBack | SendOutcome::Rejected) => {}
            _ if self.is_first => live.allowance.record_request(),
            _ => {}
        }
    }
}

/// Describes the orders that are acted on, for the state dump.
pub(crate) fn dump_rollouts(state: &FrontState) -> Vec<Value> {
    let live = state.rollouts.live();
    let rollouts = live.values().map(|live| {
        let (requests, sends) = live.allowance.counts();
        let texts = |versions: &[ServerVersion]| -> Vec<String> {
            versions.iter().map(ServerVersion::to_string).collect()
        };
        json!({
            "service": live.service.as_str(),
            "order": live.order.position().version,
            "to": live.filter.new.as_str(),
            "phase": format!("{:?}", live.filter.phase),
            "old_versions": texts(&live.filter.old),
            "barred_versions": texts(&live.filter.barred),
            "requests": requests,
            "trial_sends": sends,
            "trial_sends_left": live.allowance.remaining(),
            "covered_routes": live.covered.iter().collect::<Vec<_>>(),
            "old_streams": live.old_streams.load(Relaxed),
        })
    });
    rollouts.collect()
}
