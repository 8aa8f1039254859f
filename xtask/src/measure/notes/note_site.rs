//! The processes of the measurement: agents with their engines, entries, and
//! links to the platform by failure domain and role.

use std::net::SocketAddr;

use miette::{Result, miette};
use serde_json::{Value, json};
use stand_ins::{LinkCounts, LinkMode, ModeMessage, ProxyMessage};
use wire::vm::{KindMessage, VmMessage};

use crate::{
    AgentPlan, Deployment, EnginePlan, EntryPlan, Fleet, ProcessHandle,
    deployment::{ENGINE_POOL, MODEL, MODEL_VERSION},
    fleet::{AgentHandle, free_address},
};

/// How many processes there are.
#[derive(Clone, Copy, Debug)]
pub struct NoteSize {
    /// Agents, each with an engine of its own.
    pub agents: usize,
    /// Entries.
    pub entries: usize,
}

/// Failure domains.
pub const DOMAINS: usize = 4;

/// Everything that runs.
pub struct NoteSite {
    /// Starts and reaches processes.
    pub fleet: Fleet,
    /// The fault proxy.
    pub proxy: ProcessHandle,
    /// Engines, one for each server.
    pub engines: Vec<ProcessHandle>,
    /// Agents.
    pub agents: Vec<AgentHandle>,
    /// Entries.
    pub entries: Vec<ProcessHandle>,
    /// Links to the platform of the agents, by failure domain.
    pub agent_links: Vec<SocketAddr>,
    /// Links to the platform of the entries, by failure domain.
    pub entry_links: Vec<SocketAddr>,
    /// Links to the agents' control calls.
    pub control_links: Vec<SocketAddr>,
}

impl NoteSite {
    /// Start everything, publish the first note and wait for it.
    pub async fn start(size: NoteSize) -> Result<Self> {
        let mut fleet = Fleet::start(&["--vm-lag-ms", "1000"])?;
        let proxy = fleet.proxy()?;
        let mut site = Self {
            fleet,
            proxy,
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            agent_links: Vec::new(),
            entry_links: Vec::new(),
            control_links: Vec::new(),
        };
        let platform = site.fleet.platform();
        for _ in 0..DOMAINS {
            let link = site.link(platform).await?;
            site.agent_links.push(link);
            let link = site.link(platform).await?;
            site.entry_links.push(link);
        }
        site.start_servers(size.agents).await?;
        site.fleet.publish(&json!({ "changes": [{
            "change": "add", "model": MODEL, "version": MODEL_VERSION,
            "pool": ENGINE_POOL, "window": 32_768,
        }] }))?;
        for at in 0..size.entries {
            let entry = site.fleet.entry(&EntryPlan {
                name: format!("entry-{at}"),
                domain: Deployment::domain(at).to_owned(),
                extra: json!({
                    "platform": site.entry_links[at % DOMAINS].to_string(),
                    "refresh_ms": 1_000,
                }),
            })?;
            site.entries.push(entry);
        }
        for entry in &site.entries {
            site.fleet
                .wait_until_ready(entry.address, size.agents)
                .await?;
        }
        Ok(site)
    }

    async fn start_servers(&mut self, count: usize) -> Result<()> {
        let mut vms = Vec::new();
        for at in 0..count {
            let engine = self.fleet.engine(&EnginePlan::default())?;
            let agent = self.fleet.agent(&AgentPlan {
                server: format!("writer-{at}"),
                pool: ENGINE_POOL.to_owned(),
                domain: Deployment::domain(at).to_owned(),
                kind: KindMessage::Engine,
                target: engine.address,
                extra: json!({ "platform": self.agent_links[at % DOMAINS].to_string() }),
            })?;
            let control = self.link(agent.vm.control).await?;
            self.control_links.push(control);
            vms.push(VmMessage {
                control,
                ..agent.vm.clone()
            });
            self.agents.push(agent);
            self.engines.push(engine);
        }
        self.fleet.set_vms(&vms).await
    }

    /// All processes of the product.
    pub fn processes(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().map(|entry| entry.address);
        let agents = self.agents.iter().map(|agent| agent.vm.stream);
        entries.chain(agents).collect()
    }

    /// Name of the process that listens at an address.
    pub fn name(&self, address: SocketAddr) -> &str {
        let agents = self.agents.iter();
        let agents = agents.map(|agent| (agent.vm.stream, &agent.process));
        let entries = self.entries.iter().map(|entry| (entry.address, entry));
        let mut named = agents.chain(entries);
        named
            .find(|(listen, _)| *listen == address)
            .map_or("unknown", |(_, process)| &process.name)
    }

    /// Set the mode of a link.
    pub async fn set_link(&self, listen: SocketAddr, mode: LinkMode) -> Result<()> {
        let message = ModeMessage { listen, mode };
        self.fleet.post(self.proxy.address, "/mode", &message).await
    }

    /// Cut a failure domain off the platform and off control calls, or mend it.
    pub async fn set_domain(&self, domain: usize, mode: LinkMode) -> Result<()> {
        self.set_link(self.agent_links[domain], mode).await?;
        self.set_link(self.entry_links[domain], mode).await?;
        for (at, &link) in self.control_links.iter().enumerate() {
            if at % DOMAINS == domain {
                self.set_link(link, mode).await?;
            }
        }
        Ok(())
    }

    /// Bytes that went over some links so far.
    pub async fn bytes(&self, links: &[SocketAddr]) -> Result<u64> {
        let counts: LinkCounts = self.fleet.read(self.proxy.address, "/links").await?;
        Ok(links.iter().filter_map(|link| counts.bytes.get(link)).sum())
    }

    /// Publish a note; the version if it was accepted.
    pub fn publish(&self, name: &str, note: &Value) -> Result<Option<u64>> {
        let path = self.fleet.folder().join(format!("{name}.json"));
        std::fs::write(&path, note.to_string()).map_err(|error| miette!("{error}"))?;
        let path = path.display().to_string();
        let (status, text) = self.fleet.operator(&["note", "publish", &path])?;
        if !status.success() {
            return Ok(None);
        }
        let version = text.split_whitespace().nth(1);
        let version = version.and_then(|word| word.parse().ok());
        version
            .map(Some)
            .ok_or_else(|| miette!("no version in {text}"))
    }

    /// Add a link.
    pub async fn link(&self, target: SocketAddr) -> Result<SocketAddr> {
        let listen = free_address()?;
        let link = ProxyMessage { listen, target };
        self.fleet.post(self.proxy.address, "/links", &link).await?;
        Ok(listen)
    }
}
