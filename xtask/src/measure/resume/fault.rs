//! The faults of the measurement: each is caused, held and mended in turn.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use miette::Result;
use nix::sys::signal::Signal;
use rand::{Rng, rngs::SmallRng, seq::SliceRandom};
use stand_ins::{EngineCounts, EngineFaults, LinkMode};
use tokio::sync::watch;

use crate::{Deployment, DeploymentPlan, EnginePlan};

/// Time that a killed process stays away, as if its VM restarted it.
const KILL_HOLD: Duration = Duration::from_millis(1_000);

/// Time that a hang or a silence lasts.
const SILENCE_HOLD: Duration = Duration::from_millis(1_600);

/// Time that a VM is paused.
const PAUSE_HOLD: Duration = Duration::from_secs(4);

/// Time of the one long pause of a run.
const LONG_PAUSE_HOLD: Duration = Duration::from_secs(10);

/// Time between the two faults that come together.
const SECOND_FAULT_AFTER: Duration = Duration::from_millis(150);

/// Time without faults after each.
const SETTLE: Duration = Duration::from_millis(500);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The engine's process dies.
    EngineKilled,
    /// The engine produces and answers nothing.
    EngineHang,
    /// The agent's process dies.
    AgentKilled,
    /// Engine and agent die together.
    VmKilled,
    /// The entry dies under open callers.
    EntryKilled,
    /// Open connections fall silent, new ones work.
    SilenceOpen,
    /// Nothing comes through to the agent.
    LoseForward,
    /// Nothing comes back from the agent.
    LoseBackward,
    /// Engine and agent stop for a while and wake.
    VmPaused,
    /// An engine dies, and an entry right after it.
    EngineAndEntry,
    /// An agent and an entry die at once.
    AgentAndEntry,
    /// Two VMs die one right after the other.
    TwoVms,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::EngineKilled,
        Self::EngineHang,
        Self::AgentKilled,
        Self::VmKilled,
        Self::EntryKilled,
        Self::SilenceOpen,
        Self::LoseForward,
        Self::LoseBackward,
        Self::VmPaused,
        Self::EngineAndEntry,
        Self::AgentAndEntry,
        Self::TwoVms,
    ];

    /// Name in figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EngineKilled => "engine_killed",
            Self::EngineHang => "engine_hang",
            Self::AgentKilled => "agent_killed",
            Self::VmKilled => "vm_killed",
            Self::EntryKilled => "entry_killed",
            Self::SilenceOpen => "silence_open",
            Self::LoseForward => "lose_forward",
            Self::LoseBackward => "lose_backward",
            Self::VmPaused => "vm_paused",
            Self::EngineAndEntry => "engine_and_entry",
            Self::AgentAndEntry => "agent_and_entry",
            Self::TwoVms => "two_vms",
        }
    }
}

/// A fault that was caused.
#[derive(Clone, Debug)]
pub struct FaultEvent {
    /// What was done.
    pub kind: FaultKind,
    /// When it began.
    pub at: Instant,
    /// Servers that it hit.
    pub servers: Vec<String>,
    /// Entry that it hit.
    pub entry: Option<SocketAddr>,
}

/// Causes faults on a deployment, in an order drawn from the seed.
pub struct FaultDriver {
    /// What the faults hit.
    pub deployment: Deployment,
    plan: DeploymentPlan,
    engine: EnginePlan,
    board: watch::Sender<Vec<SocketAddr>>,
    rng: SmallRng,
    /// Counts of engines that were killed, read right before.
    buried: Vec<EngineCounts>,
}

impl FaultDriver {
    /// Driver of a deployment that runs.
    pub fn new(
        deployment: Deployment,
        plan: DeploymentPlan,
        engine: EnginePlan,
        rng: SmallRng,
    ) -> Self {
        let addresses = deployment.entries.iter().map(|one| one.address).collect();
        Self {
            deployment,
            plan,
            engine,
            board: watch::channel(addresses).0,
            rng,
            buried: Vec::new(),
        }
    }

    /// Addresses of the entries, as the balancer would give them out.
    pub fn entries(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.board.subscribe()
    }

    /// Cause every kind `rounds` times.
    pub async fn run(&mut self, rounds: u32) -> Result<Vec<FaultEvent>> {
        let mut events = Vec::new();
        for round in 0..rounds {
            let mut kinds = FaultKind::ALL;
            kinds.shuffle(&mut self.rng);
            for kind in kinds {
                events.push(self.cause(kind, round == 0).await?);
                tokio::time::sleep(SETTLE).await;
            }
        }
        Ok(events)
    }

    /// What all engines did, also those that were killed.
    pub async fn counts(&self) -> Result<Vec<EngineCounts>> {
        let mut all = self.buried.clone();
        for site in &self.deployment.sites {
            all.push(self.read_counts(site.server.address).await?);
        }
        Ok(all)
    }

    async fn cause(&mut self, kind: FaultKind, is_first: bool) -> Result<FaultEvent> {
        let site = self.rng.random_range(0..self.deployment.sites.len());
        let other = (site + 1) % self.deployment.sites.len();
        let entry = self.rng.random_range(0..self.deployment.entries.len());
        let mut event = FaultEvent {
            kind,
            at: Instant::now(),
            servers: vec![self.deployment.sites[site].vm.name.clone()],
            entry: None,
        };
        match kind {
            FaultKind::EngineKilled => {
                event.at = self.kill_engine(site).await?;
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_engine(site)?;
            }
            FaultKind::EngineHang => {
                self.hang(site, true).await?;
                tokio::time::sleep(SILENCE_HOLD).await;
                self.hang(site, false).await?;
            }
            FaultKind::AgentKilled => {
                self.deployment.sites[site].agent.process.kill();
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_agent(site)?;
            }
            FaultKind::VmKilled => {
                event.at = self.kill_vm(site).await?;
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_vm(site)?;
            }
            FaultKind::EntryKilled => {
                event.servers.clear();
                event.entry = Some(self.kill_entry(entry));
                self.revive_entry(entry).await?;
                tokio::time::sleep(KILL_HOLD).await;
            }
            FaultKind::SilenceOpen => self.lose(site, LinkMode::SilenceOpen).await?,
            FaultKind::LoseForward => self.lose(site, LinkMode::LoseForward).await?,
            FaultKind::LoseBackward => self.lose(site, LinkMode::LoseBackward).await?,
            FaultKind::VmPaused => {
                self.signal_vm(site, Signal::SIGSTOP);
                let hold = if is_first {
                    LONG_PAUSE_HOLD
                } else {
                    PAUSE_HOLD
                };
                tokio::time::sleep(hold).await;
                self.signal_vm(site, Signal::SIGCONT);
            }
            FaultKind::EngineAndEntry => {
                event.at = self.kill_engine(site).await?;
                tokio::time::sleep(SECOND_FAULT_AFTER).await;
                event.entry = Some(self.kill_entry(entry));
                self.revive_entry(entry).await?;
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_engine(site)?;
            }
            FaultKind::AgentAndEntry => {
                self.deployment.sites[site].agent.process.kill();
                event.entry = Some(self.kill_entry(entry));
                self.revive_entry(entry).await?;
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_agent(site)?;
            }
            FaultKind::TwoVms => {
                event.at = self.kill_vm(site).await?;
                tokio::time::sleep(SECOND_FAULT_AFTER).await;
                self.kill_vm(other).await?;
                event
                    .servers
                    .push(self.deployment.sites[other].vm.name.clone());
                tokio::time::sleep(KILL_HOLD).await;
                self.revive_vm(site)?;
                self.revive_vm(other)?;
            }
        }
        Ok(event)
    }

    async fn read_counts(&self, engine: SocketAddr) -> Result<EngineCounts> {
        self.deployment.fleet.read(engine, "/control").await
    }

    async fn kill_engine(&mut self, site: usize) -> Result<Instant> {
        let counts = self
            .read_counts(self.deployment.sites[site].server.address)
            .await?;
        self.buried.push(counts);
        let killed_at = Instant::now();
        self.deployment.sites[site].server.kill();
        Ok(killed_at)
    }

    async fn kill_vm(&mut self, site: usize) -> Result<Instant> {
        let killed_at = self.kill_engine(site).await?;
        self.deployment.sites[site].agent.process.kill();
        Ok(killed_at)
    }

    fn revive_engine(&mut self, site: usize) -> Result<()> {
        self.deployment.restart_engine(site, &self.engine)
    }

    fn revive_agent(&mut self, site: usize) -> Result<()> {
        let Deployment { fleet, sites, .. } = &mut self.deployment;
        fleet.restart_agent(&mut sites[site].agent)
    }

    fn revive_vm(&mut self, site: usize) -> Result<()> {
        self.revive_engine(site)?;
        self.revive_agent(site)
    }

    fn kill_entry(&mut self, at: usize) -> SocketAddr {
        let entry = &mut self.deployment.entries[at];
        entry.kill();
        entry.address
    }

    async fn revive_entry(&mut self, at: usize) -> Result<()> {
        self.deployment.replace_entry(&self.plan, at).await?;
        let entries = &self.deployment.entries;
        let addresses = entries.iter().map(|one| one.address).collect();
        self.board.send_replace(addresses);
        Ok(())
    }

    async fn hang(&self, site: usize, hang: bool) -> Result<()> {
        let faults = EngineFaults {
            hang,
            ..EngineFaults::default()
        };
        let engine = self.deployment.sites[site].server.address;
        self.deployment.fleet.control(engine, &faults).await
    }

    async fn lose(&self, site: usize, mode: LinkMode) -> Result<()> {
        self.deployment.set_link(site, mode).await?;
        tokio::time::sleep(SILENCE_HOLD).await;
        self.deployment.set_link(site, LinkMode::Pass).await
    }

    fn signal_vm(&self, site: usize, signal: Signal) {
        let site = &self.deployment.sites[site];
        site.agent.process.signal(signal);
        site.server.signal(signal);
    }
}
