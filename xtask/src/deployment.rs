//! A whole deployment on loopback addresses: engines, services, agents and
//! entries over failure domains, behind fault proxies if asked.

use std::net::SocketAddr;

use miette::{Result, miette};
use serde_json::{Value, json};
use stand_ins::{LinkMode, ModeMessage, ProxyMessage};
use wire::vm::{KindMessage, VmMessage};

use crate::fleet::{
    AgentHandle, AgentPlan, EnginePlan, EntryPlan, Fleet, ProcessHandle, free_address,
};

/// Model that every deployment serves.
pub const MODEL: &str = "plantain-writer";

/// Version of the model at the start.
pub const MODEL_VERSION: u32 = 3;

/// Pool of the engines.
pub const ENGINE_POOL: &str = "writer-pool";

/// Pool of the plain services.
pub const SERVICE_POOL: &str = "ledger-app";

/// Plain service that every deployment routes to.
pub const SERVICE: &str = "ledger";

/// Operation of the service that may be repeated.
pub const REPEATABLE_OPERATION: &str = "stock";

/// Addresses that are tried for a link.
const LINK_TRIES: u32 = 5;

const DOMAINS: [&str; 4] = ["goma-shed", "bukavu-shed", "gisenyi-shed", "kibuye-shed"];

/// What to start; built step by step.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    engines: usize,
    services: usize,
    entries: usize,
    engine: EnginePlan,
    window: u32,
    is_proxied: bool,
    is_ledger_shared: bool,
    agent_extra: Value,
    entry_extra: Value,
    platform_args: Vec<String>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            engines: 3,
            services: 0,
            entries: 1,
            engine: EnginePlan::default(),
            window: 32_768,
            is_proxied: false,
            is_ledger_shared: false,
            agent_extra: json!({}),
            entry_extra: json!({}),
            platform_args: Vec::new(),
        }
    }
}

impl DeploymentPlan {
    /// Set the number of engines.
    #[must_use]
    pub const fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Set the number of servers of the plain service.
    #[must_use]
    pub const fn services(mut self, count: usize) -> Self {
        self.services = count;
        self
    }

    /// Set the number of entries.
    #[must_use]
    pub const fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Set how engines behave.
    #[must_use]
    pub const fn engine(mut self, plan: EnginePlan) -> Self {
        self.engine = plan;
        self
    }

    /// Set the model's window, in tokens.
    #[must_use]
    pub const fn window(mut self, tokens: u32) -> Self {
        self.window = tokens;
        self
    }

    /// Put a fault proxy between entries and agents.
    #[must_use]
    pub const fn proxied(mut self) -> Self {
        self.is_proxied = true;
        self
    }

    /// Let all servers of the plain service share a ledger that never fails.
    #[must_use]
    pub const fn shared_ledger(mut self) -> Self {
        self.is_ledger_shared = true;
        self
    }

    /// Add settings to every agent.
    #[must_use]
    pub fn agent_extra(mut self, extra: Value) -> Self {
        self.agent_extra = extra;
        self
    }

    /// Add settings to every entry.
    #[must_use]
    pub fn entry_extra(mut self, extra: Value) -> Self {
        self.entry_extra = extra;
        self
    }

    /// Add arguments of the platform's stand-in.
    #[must_use]
    pub fn platform_args(mut self, args: &[&str]) -> Self {
        self.platform_args = args.iter().map(|&arg| arg.to_owned()).collect();
        self
    }

    /// Start everything and wait until the entries know of it.
    pub async fn start(&self) -> Result<Deployment> {
        let args: Vec<&str> = self.platform_args.iter().map(String::as_str).collect();
        let mut fleet = Fleet::start(&args)?;
        let proxy = if self.is_proxied {
            Some(fleet.proxy()?)
        } else {
            None
        };
        let ledger = if self.is_ledger_shared {
            Some(fleet.service()?)
        } else {
            None
        };
        let mut deployment = Deployment {
            fleet,
            proxy,
            ledger,
            sites: Vec::new(),
            entries: Vec::new(),
        };
        for at in 0..self.engines {
            let engine = deployment.fleet.engine(&self.engine)?;
            deployment
                .add_site(self, KindMessage::Engine, at, engine)
                .await?;
        }
        for at in 0..self.services {
            let service = deployment.start_service(free_address()?)?;
            deployment
                .add_site(self, KindMessage::Service, at, service)
                .await?;
        }
        deployment.publish_vms().await?;
        deployment.fleet.publish(&json!({ "changes": [{
            "change": "add", "model": MODEL, "version": MODEL_VERSION,
            "pool": ENGINE_POOL, "window": self.window,
        }] }))?;
        for _ in 0..self.entries {
            deployment.add_entry(self).await?;
        }
        Ok(deployment)
    }
}

/// A backend server, its agent and the links between the agent and entries.
#[derive(Debug)]
pub struct ServerSite {
    /// The engine or service.
    pub server: ProcessHandle,
    /// The agent.
    pub agent: AgentHandle,
    /// What the platform's list says: the agent's addresses, or the links'.
    pub vm: VmMessage,
    /// Link between the agent and the platform.
    pub store_link: Option<SocketAddr>,
}

/// Everything that was started.
pub struct Deployment {
    /// Starts and reaches processes.
    pub fleet: Fleet,
    /// Carries the links, if there are any.
    pub proxy: Option<ProcessHandle>,
    /// What the plain service ran, if its servers share a ledger.
    pub ledger: Option<ProcessHandle>,
    /// Engines first, then services.
    pub sites: Vec<ServerSite>,
    /// Entries.
    pub entries: Vec<ProcessHandle>,
}

impl Deployment {
    /// Failure domain of the server or entry at an index.
    pub const fn domain(at: usize) -> &'static str {
        DOMAINS[at % DOMAINS.len()]
    }

    /// Tell the platform's list what runs.
    pub async fn publish_vms(&self) -> Result<()> {
        let vms: Vec<VmMessage> = self.sites.iter().map(|site| site.vm.clone()).collect();
        self.fleet.set_vms(&vms).await
    }

    /// Start one more entry and wait until it is ready.
    pub async fn add_entry(&mut self, plan: &DeploymentPlan) -> Result<()> {
        let entry = self.start_entry(plan, self.entries.len()).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Start an entry in place of the one at an index, which ends at once
    /// unless it has ended.
    pub async fn replace_entry(&mut self, plan: &DeploymentPlan, at: usize) -> Result<()> {
        self.entries[at] = self.start_entry(plan, at).await?;
        Ok(())
    }

    /// Start an entry that is not listed yet and wait until it is ready.
    pub async fn start_entry(&mut self, plan: &DeploymentPlan, at: usize) -> Result<ProcessHandle> {
        let mut extra = json!({ "services": [{
            "service": SERVICE, "pool": SERVICE_POOL, "repeatable": [REPEATABLE_OPERATION],
        }] });
        crate::fleet::merge(&mut extra, &plan.entry_extra);
        let entry = self.fleet.entry(&EntryPlan {
            name: format!("entry-{at}"),
            domain: Self::domain(at).to_owned(),
            extra,
        })?;
        self.fleet
            .wait_until_ready(entry.address, self.sites.len())
            .await?;
        Ok(entry)
    }

    /// Where an entry listens.
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.entries[at % self.entries.len()].address
    }

    /// Set the mode of a server's links, both for streams and for control.
    pub async fn set_link(&self, site: usize, mode: LinkMode) -> Result<()> {
        let vm = &self.sites[site].vm;
        for listen in [vm.stream, vm.control] {
            self.set_mode(listen, mode).await?;
        }
        Ok(())
    }

    /// Set the mode of the link between a server's agent and the platform.
    pub async fn set_store_link(&self, site: usize, mode: LinkMode) -> Result<()> {
        match self.sites[site].store_link {
            Some(listen) => self.set_mode(listen, mode).await,
            None => Err(miette!("the deployment has no links")),
        }
    }

    async fn set_mode(&self, listen: SocketAddr, mode: LinkMode) -> Result<()> {
        let Some(proxy) = &self.proxy else {
            return Err(miette!("the deployment has no links"));
        };
        let message = ModeMessage { listen, mode };
        self.fleet.post(proxy.address, "/mode", &message).await
    }

    /// Kill a server's engine or service and start it anew at its address.
    pub fn restart_engine(&mut self, site: usize, plan: &EnginePlan) -> Result<()> {
        let site = &mut self.sites[site];
        site.server.kill();
        site.server = self.fleet.engine_at(site.server.address, plan)?;
        Ok(())
    }

    /// Kill a server of the plain service and start it anew at its address.
    pub fn restart_service(&mut self, site: usize) -> Result<()> {
        self.sites[site].server.kill();
        let address = self.sites[site].server.address;
        self.sites[site].server = self.start_service(address)?;
        Ok(())
    }

    /// Kill an agent and start it anew, without what it had in memory.
    pub fn restart_agent(&mut self, site: usize) -> Result<()> {
        self.fleet.restart_agent(&mut self.sites[site].agent)
    }

    fn start_service(&mut self, listen: SocketAddr) -> Result<ProcessHandle> {
        let ledger = self.ledger.as_ref().map(|ledger| ledger.address);
        self.fleet.service_at(listen, ledger)
    }

    async fn add_site(
        &mut self,
        plan: &DeploymentPlan,
        kind: KindMessage,
        at: usize,
        server: ProcessHandle,
    ) -> Result<()> {
        let (name, pool) = match kind {
            KindMessage::Engine => (format!("writer-{at}"), ENGINE_POOL),
            KindMessage::Service => (format!("ledger-{at}"), SERVICE_POOL),
        };
        let mut extra = plan.agent_extra.clone();
        let mut store_link = None;
        if self.proxy.is_some() {
            let link = self.add_link(self.fleet.platform()).await?;
            crate::fleet::merge(&mut extra, &json!({ "platform": link.to_string() }));
            store_link = Some(link);
        }
        let agent = self.fleet.agent(&AgentPlan {
            server: name,
            pool: pool.to_owned(),
            domain: Self::domain(at).to_owned(),
            kind,
            target: server.address,
            extra,
        })?;
        let mut vm = agent.vm.clone();
        if self.proxy.is_some() {
            vm.stream = self.add_link(agent.vm.stream).await?;
            vm.control = self.add_link(agent.vm.control).await?;
        }
        self.sites.push(ServerSite {
            server,
            agent,
            vm,
            store_link,
        });
        Ok(())
    }

    async fn add_link(&self, target: SocketAddr) -> Result<SocketAddr> {
        let Some(proxy) = &self.proxy else {
            return Ok(target);
        };
        // Another program may take the address before the link does.
        for _ in 1..LINK_TRIES {
            if let Ok(listen) = self.open_link(proxy.address, target).await {
                return Ok(listen);
            }
        }
        self.open_link(proxy.address, target).await
    }

    async fn open_link(&self, proxy: SocketAddr, target: SocketAddr) -> Result<SocketAddr> {
        let listen = free_address()?;
        let link = ProxyMessage { listen, target };
        self.fleet.post(proxy, "/links", &link).await?;
        Ok(listen)
    }
}
