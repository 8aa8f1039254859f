//! The task that takes the lease of the pool and gives its orders.
//!
//! Any agent may hold it; none is set aside. The holder of a pool of engines
//! walks the servers of the pool, compares what each has loaded with the release
//! note in force, and checks its lease again right before each order. The holder
//! of a pool of services takes away the records of calls that have outlived
//! their time; there the lease only saves work, since two may do it at once.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use backing::{ClaimOutcome, LeaseRow, LeaseStore, StoreError, TableStore, VmList, list_interval};
use domain::{
    FencingNumber, PoolName,
    backend_server::{ServerKind, ServerSpec},
    generation_stream::ModelPin,
    pool_lease::{
        DesiredModels, LeaseAction, LeaseValidity, LeaseWatch, ModelCommand, ServerActivity,
    },
};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::{task::JoinHandle, time::Instant};
use wire::{
    agent_control::AgentControlClient,
    engine::OrderKind,
    lease::{LeaseMessage, OrderMessage, OrderReply},
};

use crate::{AgentState, record_sweeper::RecordSweeper};

/// Time that a lease is valid.
const LEASE_TERM: Duration = Duration::from_secs(6);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two looks of an agent that does not hold the lease.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two servers of a walk.
const WALK_INTERVAL: Duration = Duration::from_millis(250);

/// Loads a second of all pools together, for the sake of the weight store.
const LOADS_PER_SECOND: u32 = 4;

/// Time between two readings of the platform's list while it is small.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time within which an agent answers.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);

/// The lease that this process holds, for whoever wants to see it.
#[derive(Default)]
pub struct HeldLease {
    term: ArcSwapOption<LeaseValidity>,
}

impl HeldLease {
    /// Fencing number, while the lease is valid.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let term = self.term.load();
        let term = term.as_ref().filter(|term| term.is_valid(now))?;
        Some(term.fencing)
    }

    fn set(&self, term: Option<LeaseValidity>) {
        self.term.store(term.map(Arc::new));
    }
}

/// Takes, renews and uses the lease.
pub struct DutyHolder<P> {
    state: Arc<AgentState>,
    platform: P,
    leases: LeaseStore<P>,
    watch: LeaseWatch,
    renewal: u64,
}

/// A lease that was just claimed.
#[derive(Clone, Copy)]
struct ClaimedLease {
    fencing: FencingNumber,
    version: u64,
}

impl<P: TableStore + VmList> DutyHolder<P> {
    /// Holder on behalf of an agent.
    pub fn new(state: Arc<AgentState>, platform: P) -> Self {
        let leases = LeaseStore::new(platform.clone(), state.settings.pool.as_str());
        Self {
            state,
            platform,
            leases,
            watch: LeaseWatch::default(),
            renewal: 0,
        }
    }

    /// Go on for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            match self.try_take().await {
                Ok(Some(lease)) => self.hold(lease).await,
                Ok(None) => {}
                Err(error) => log::debug!("lease not read: {error}"),
            }
            tokio::time::sleep(LOOK_INTERVAL.mul_f64(rand::random_range(0.7..1.3))).await;
        }
    }

    async fn try_take(&mut self) -> Result<Option<ClaimedLease>, StoreError> {
        // A server that is leaving takes no duty.
        if self.state.is_leaving() {
            return Ok(None);
        }
        let asked_at = Instant::now();
        let row = self.leases.read().await?;
        let sight = row.as_ref().map(|row| row.sight);
        match self
            .watch
            .observe(sight, LEASE_TERM, asked_at, Instant::now())
        {
            LeaseAction::Wait => Ok(None),
            LeaseAction::Take(fencing) => self.claim(fencing, row.as_ref()).await,
        }
    }

    async fn claim(
        &mut self,
        fencing: FencingNumber,
        row: Option<&LeaseRow>,
    ) -> Result<Option<ClaimedLease>, StoreError> {
        let version = row.map(|row| row.sight.version);
        self.write(fencing, version).await
    }

    /// Write the row; the term counts from before the request.
    async fn write(
        &mut self,
        fencing: FencingNumber,
        version: Option<u64>,
    ) -> Result<Option<ClaimedLease>, StoreError> {
        self.renewal += 1;
        let claim = LeaseMessage {
            holder: self.state.settings.name.to_string(),
            epoch: self.state.owner.epoch,
            fencing: fencing.0,
            renewal: self.renewal,
        };
        let asked_at = Instant::now();
        match self.leases.claim(version, &claim).await? {
            ClaimOutcome::Held(version) => {
                let term = LeaseValidity::new(fencing, asked_at, LEASE_TERM);
                self.state.lease.set(Some(term));
                Ok(Some(ClaimedLease { fencing, version }))
            }
            ClaimOutcome::Lost => Ok(None),
        }
    }

    /// Renew the lease and walk the pool until the lease is lost.
    async fn hold(&mut self, mut lease: ClaimedLease) {
        log::info!(fencing:% = lease.fencing; "lease of the pool taken");
        let duty = self.begin_duty();
        while self.state.lease.fencing(Instant::now()) == Some(lease.fencing)
            && !self.state.is_leaving()
        {
            tokio::time::sleep(RENEW_INTERVAL).await;
            match self.write(lease.fencing, Some(lease.version)).await {
                Ok(Some(renewed)) => lease = renewed,
                Ok(None) => break,
                Err(error) => log::warn!("lease not renewed: {error}"),
            }
        }
        self.state.lease.set(None);
        duty.abort();
        log::info!(fencing:% = lease.fencing; "lease of the pool given up");
    }

    fn begin_duty(&self) -> JoinHandle<()> {
        match self.state.settings.kind {
            ServerKind::Engine => {
                let walk = PoolWalk::new(Arc::clone(&self.state), self.platform.clone());
                tokio::spawn(walk.run())
            }
            ServerKind::Service => {
                let pool = self.state.settings.pool.as_str();
                let sweeper = RecordSweeper::new(self.platform.clone(), pool);
                tokio::spawn(sweeper.run())
            }
        }
    }
}

/// Walk over the servers of the pool.
struct PoolWalk<P> {
    state: Arc<AgentState>,
    platform: P,
    pool: PoolName,
    servers: Vec<ServerSpec>,
    next_list_at: Instant,
    next_load_at: Instant,
}

impl<P: VmList> PoolWalk<P> {
    fn new(state: Arc<AgentState>, platform: P) -> Self {
        Self {
            pool: state.settings.pool.clone(),
            state,
            platform,
            servers: Vec::new(),
            next_list_at: Instant::now(),
            next_load_at: Instant::now(),
        }
    }

    async fn run(mut self) {
        loop {
            self.refresh_list().await;
            for server in self.servers.clone() {
                tokio::time::sleep(WALK_INTERVAL).await;
                self.tend(&server).await;
            }
            tokio::time::sleep(WALK_INTERVAL).await;
        }
    }

    async fn refresh_list(&mut self) {
        if Instant::now() < self.next_list_at {
            return;
        }
        match self.platform.list().await {
            Ok(list) => {
                let pause = list_interval(LIST_INTERVAL, list.len());
                self.next_list_at = Instant::now() + pause;
                let own = list.into_iter().filter(|vm| vm.spec.pool == self.pool);
                self.servers = own.map(|vm| vm.spec).collect();
            }
            Err(error) => log::warn!("list of VMs not read: {error}"),
        }
    }

    /// Give a server the orders that it needs, one after the other.
    async fn tend(&mut self, server: &ServerSpec) {
        let Ok(client) = client_of(server) else {
            return;
        };
        while let Some(order) = self.next_order(&client).await {
            if matches!(order, ModelCommand::Load(_)) {
                self.wait_for_load_turn().await;
            }
            // Checked last: the waits above may have outlasted the lease.
            let Some(fencing) = self.state.lease.fencing(Instant::now()) else {
                return;
            };
            let message = OrderMessage {
                fencing: fencing.0,
                kind: OrderKind::from(&order),
            };
            match client.order(message).await {
                Ok(OrderReply::Done) => {}
                Ok(reply) => {
                    log::warn!(server:% = server.name; "order refused: {reply:?}");
                    return;
                }
                Err(error) => {
                    log::warn!(server:% = server.name; "order not heard: {error}");
                    return;
                }
            }
        }
    }

    async fn next_order(&self, client: &HttpClient) -> Option<ModelCommand> {
        let note = Arc::clone(self.state.notes.ledger().state());
        let duty = DesiredModels::new(&self.pool, &note);
        let report = client.loaded().await.ok()?;
        let loaded: Vec<ModelPin> = report.loaded?.iter().map(ModelPin::from).collect();
        let server_use = if report.generations > 0 {
            ServerActivity::Busy
        } else {
            ServerActivity::Idle
        };
        duty.next_command(&loaded, server_use)
    }

    /// Wait for this pool's share of the weight store's rate.
    async fn wait_for_load_turn(&mut self) {
        let note = Arc::clone(self.state.notes.ledger().state());
        let mut pools: Vec<&PoolName> = note.models().map(|(_, duty)| &duty.pool).collect();
        pools.sort_unstable();
        pools.dedup();
        let pools = u32::try_from(pools.len()).unwrap_or(u32::MAX).max(1);
        tokio::time::sleep_until(self.next_load_at).await;
        self.next_load_at = Instant::now() + Duration::from_secs(1) * pools / LOADS_PER_SECOND;
    }
}

fn client_of(server: &ServerSpec) -> Result<HttpClient, jsonrpsee::core::ClientError> {
    let address = server.addresses.control;
    HttpClientBuilder::default()
        .request_timeout(AGENT_TIMEOUT)
        .build(format!("http://{address}"))
}
