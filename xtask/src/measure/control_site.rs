//! Engines, one service and one entry, with counted links between entry and
//! agents.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use miette::Result;
use serde_json::json;
use stand_ins::PlatformCounts;
use tokio::task::JoinSet;

use crate::{
    CallerClient, Deployment, DeploymentPlan, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
    measure::{
        byte_relay::ByteRelay,
        byte_scan::{StreamScan, TellScan},
        proc_reader::ProcReader,
    },
};

/// Time between two heartbeats in use, in milliseconds.
pub const BEAT_MS: u32 = 100;

/// What is measured, and the callers that load it.
pub struct ControlSite {
    /// Reader of the entry.
    pub entry: ProcReader,
    /// Readers of the engines' agents.
    pub agents: Vec<ProcReader>,
    /// Reader of the service's agent.
    pub service_agent: ProcReader,
    /// Everything that was started.
    pub deployment: Deployment,
    streams: Vec<ByteRelay<StreamScan>>,
    controls: Vec<ByteRelay<TellScan>>,
    callers: JoinSet<()>,
    received: Arc<AtomicU64>,
}

impl ControlSite {
    /// Start so many engines and all the rest, and let it settle.
    pub async fn start(engine: EnginePlan, engines: usize, settle: Duration) -> Result<Self> {
        Self::start_beating(engine, engines, settle, BEAT_MS).await
    }

    /// The same, with agents that look at their streams at another interval.
    pub async fn start_beating(
        engine: EnginePlan,
        engines: usize,
        settle: Duration,
        beat_ms: u32,
    ) -> Result<Self> {
        let deployment = DeploymentPlan::default()
            .engines(engines)
            .services(1)
            .engine(engine)
            .agent_extra(json!({ "beat_ms": beat_ms }))
            .entry_extra(json!({ "refresh_ms": 1000 }))
            .platform_args(&["--vm-lag-ms", "0"])
            .start()
            .await?;
        let mut vms: Vec<_> = deployment
            .sites
            .iter()
            .map(|site| site.vm.clone())
            .collect();
        let mut streams = Vec::new();
        let mut controls = Vec::new();
        for (at, vm) in vms.iter_mut().enumerate() {
            if at < engines {
                let stream = ByteRelay::start(vm.stream).await?;
                vm.stream = stream.address;
                streams.push(stream);
            }
            let control = ByteRelay::start(vm.control).await?;
            vm.control = control.address;
            controls.push(control);
        }
        deployment.fleet.set_vms(&vms).await?;
        tokio::time::sleep(settle).await;
        let reader = |at: usize| ProcReader::new(deployment.sites[at].agent.process.pid());
        Ok(Self {
            entry: ProcReader::new(deployment.entries[0].pid()),
            agents: (0..engines).map(reader).collect(),
            service_agent: reader(engines),
            deployment,
            streams,
            controls,
            callers: JoinSet::new(),
            received: Arc::default(),
        })
    }

    /// Where callers send.
    pub fn entry_address(&self) -> SocketAddr {
        self.deployment.entry(0)
    }

    /// Open generations until there are `count`.
    pub fn open(&mut self, count: usize, tokens: u32) {
        while self.callers.len() < count {
            let content = format!("Report {}.", self.callers.len());
            self.open_one(&content, tokens);
        }
    }

    /// Open one more generation.
    pub fn open_one(&mut self, content: &str, tokens: u32) {
        let entry = self.entry_address();
        let received = Arc::clone(&self.received);
        let (request, _) = CallerClient::request(MODEL, MODEL_VERSION, content, tokens);
        self.callers.spawn(async move {
            let caller = CallerClient::new("kivu-shores");
            let on_token = |_| {
                received.fetch_add(1, Ordering::Relaxed);
            };
            caller.chat(entry, &request, None, on_token).await;
        });
    }

    /// Tokens that all callers have received.
    pub fn received(&self) -> f64 {
        self.received.load(Ordering::Relaxed) as f64
    }

    /// Bytes of all token streams.
    pub fn stream_bytes(&self) -> f64 {
        self.streams.iter().map(ByteRelay::bytes).sum()
    }

    /// Those of them that are control.
    pub fn stream_control_bytes(&self) -> f64 {
        self.streams.iter().map(ByteRelay::control_bytes).sum()
    }

    /// Bytes of all control calls to agents, and those of the entry's tellings.
    pub fn control_calls(&self) -> (f64, f64) {
        let all = self.controls.iter().map(ByteRelay::bytes).sum();
        let told = self.controls.iter().map(ByteRelay::control_bytes).sum();
        (all, told)
    }

    /// Processor seconds so far of the entry, the first engine's agent and the
    /// service's agent.
    pub fn spent(&self) -> Result<[f64; 3]> {
        Ok([
            self.entry.processor_time()?.as_secs_f64(),
            self.agents[0].processor_time()?.as_secs_f64(),
            self.service_agent.processor_time()?.as_secs_f64(),
        ])
    }

    /// What the platform's stand-in has counted.
    pub async fn counts(&self) -> Result<PlatformCounts> {
        let fleet = &self.deployment.fleet;
        fleet.read(fleet.platform(), "/control").await
    }
}
