//! Entries, store and workers of a soak.

use std::{
    collections::{HashMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use miette::{IntoDiagnostic, Result, miette};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use stand_ins::{LinkMode, ProxyLink, RowStore, ScriptedWorker, WorkerIdentity, WorkerRun};
use tempfile::TempDir;

use super::{
    ArrivalRecord,
    soak_rollouts::{EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK, SERVICE},
    soak_store::SoakStore,
};

/// Failure domains, each with a model worker and a plain one.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Services, one worker each in a failure domain.
const SERVICES: [&str; 2] = ["pool", "desk"];
/// Failure domains of the entries, in turn; those of one domain follow each other.
const ENTRY_DOMAINS: [&str; 4] = ["a", "a", "b", "c"];
/// Largest number of entries: each has a loopback network of its own.
pub const ENTRIES_MAX: u8 = 120;
/// Ports of the first site of this process, and those that each site takes.
const FIRST_PORT: u16 = 7_000;
const SITE_PORTS: u16 = 10;
/// Time after which the address of a crashed worker is given to another service: longer
/// than the `address_reuse_seconds` of the settings.
pub const REASSIGN_TIME: Duration = Duration::from_millis(2_200);
/// Pause between two events of a stream: long enough that streams are open when their
/// entry stands still or is told to stop.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Share of requests that a worker spoils, in percent.
const FAULT_PERCENT: u32 = 12;

/// One entry as a process that dies and starts again.
#[derive(Debug)]
struct SoakEntry {
    listen: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
    lifetime: u64,
}

/// Everything that runs.
#[derive(Debug)]
pub struct SoakSite {
    /// The store.
    pub store: SoakStore,
    workers: Vec<ScriptedWorker>,
    /// The way to each worker, then that of each entry to the store.
    links: Vec<ProxyLink>,
    entries: Vec<Mutex<SoakEntry>>,
    /// Lifetime of the entry to which a request was sent, by its id.
    addressees: Mutex<HashMap<String, u64>>,
    /// Lifetimes of entries that were killed or paused.
    harmed: Mutex<HashSet<u64>>,
    version: AtomicU64,
    lifetimes: AtomicU64,
    _folder: TempDir,
}

impl SoakSite {
    /// Start all.
    pub async fn start(seed: u64, entry_count: u8) -> Result<Self> {
        let store = SoakStore::new(RowStore::start().await.into_diagnostic()?);
        let mut workers = Vec::new();
        let mut links = Vec::new();
        for (number, domain) in (0_u64..).zip(DOMAINS) {
            for service in SERVICES {
                let worker = ScriptedWorker::start("w").await.into_diagnostic()?;
                worker.set_event_pause(EVENT_PAUSE);
                worker.draw_faults(seed * 100 + number, FAULT_PERCENT);
                let identity = identity(&worker, 0, service);
                let link = start_link(worker.address).await?;
                let row = registration(service, link.listen, domain).to_string();
                store.put("servers", &identity.name, row.as_bytes());
                worker.serve_as(identity);
                workers.push(worker);
                links.push(link);
            }
        }
        let folder = TempDir::new().into_diagnostic()?;
        // Sites of one process must not meet at the addresses of their entries.
        static SITES: AtomicU16 = AtomicU16::new(0);
        let ports = FIRST_PORT + SITES.fetch_add(1, SeqCst) * SITE_PORTS;
        let mut entries = Vec::new();
        let entry_domains = ENTRY_DOMAINS.into_iter().cycle();
        for (number, domain) in (0..entry_count.min(ENTRIES_MAX)).zip(entry_domains) {
            let link = start_link(store.rows().address).await?;
            let entry = SoakEntry::new(&folder, link.listen, number, domain, ports)?;
            entries.push(Mutex::new(entry));
            links.push(link);
        }
        let site = Self {
            entries,
            store,
            workers,
            links,
            addressees: Mutex::default(),
            harmed: Mutex::default(),
            version: AtomicU64::new(0),
            lifetimes: AtomicU64::new(0),
            _folder: folder,
        };
        site.publish();
        for number in 0..site.entry_count() {
            site.start_entry(number)?;
        }
        Ok(site)
    }

    /// Number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Put a version in force that adds a route, and name it.
    pub fn publish(&self) -> u64 {
        let version = self.version.fetch_add(1, SeqCst) + 1;
        let state = desired_state(version).to_string();
        self.store.put("op", "config", state.as_bytes());
        version
    }

    /// Newest version.
    pub fn version(&self) -> u64 {
        self.version.load(SeqCst)
    }

    /// Number of links between processes.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Change what a link does with bytes.
    pub fn set_link(&self, number: usize, mode: LinkMode) {
        self.links[number].set_mode(mode);
    }

    /// Address and lifetime of an entry.
    pub fn entry(&self, number: usize) -> (SocketAddr, u64) {
        let entry = self.lock(number);
        (entry.listen, entry.lifetime)
    }

    /// Address at which an entry shows its state.
    pub fn admin(&self, number: usize) -> SocketAddr {
        self.lock(number).admin
    }

    /// Remember to which lifetime of an entry a request is sent; returns its id.
    pub fn name_request(&self, id: String, lifetime: u64) -> String {
        let mut addressees = self
            .addressees
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        addressees.insert(id.clone(), lifetime);
        id
    }

    /// Number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Let a worker say that it leaves, or begin another lifetime if it does already.
    pub fn turn_worker(&self, number: usize) {
        let worker = &self.workers[number];
        if !worker.is_leaving() {
            worker.leave();
            return;
        }
        let born = worker.begin_lifetime() + 1;
        self.register(number, born);
    }

    /// Let each worker that leaves begin another lifetime.
    pub fn replace_leaving(&self) {
        for (number, worker) in self.workers.iter().enumerate() {
            if worker.is_leaving() {
                self.turn_worker(number);
            }
        }
    }

    /// Let a worker crash, and after [`REASSIGN_TIME`] give its address to a worker of
    /// another service, which is not registered yet. Returns whether its service can
    /// spare it.
    pub fn reassign(&self, number: usize) -> bool {
        let worker = &self.workers[number];
        let Some(known) = worker.identity() else {
            return false;
        };
        let of_service = self.workers.iter().filter(|other| {
            other
                .identity()
                .is_some_and(|identity| identity.service == known.service)
        });
        if of_service.count() < 2 {
            return false;
        }
        let service = SERVICES
            .into_iter()
            .find(|service| *service != known.service);
        let next = identity(
            worker,
            worker.lifetime_number() + 1,
            service.unwrap_or(SERVICES[0]),
        );
        self.store.remove("servers", &known.name);
        worker.crash_and_reassign(next, REASSIGN_TIME);
        true
    }

    /// Name, service and state of each worker, with its row in the store.
    pub fn worker_states(&self) -> Vec<String> {
        let of_worker = |worker: &ScriptedWorker| {
            let identity = worker.identity();
            let name = identity.as_ref().map_or("", |identity| &identity.name);
            let row = self.store.rows().value("servers", name);
            let row = row.map(|row| String::from_utf8_lossy(&row).into_owned());
            let is_leaving = worker.is_leaving();
            format!("{identity:?} leaving={is_leaving} row={row:?}")
        };
        self.workers.iter().map(of_worker).collect()
    }

    /// Register a worker under its present name and service.
    pub fn register(&self, number: usize, born: u64) {
        let worker = &self.workers[number];
        let Some(identity) = worker.identity() else {
            return;
        };
        let domain = DOMAINS[number / SERVICES.len()];
        let mut row = registration(identity.service, self.links[number].listen, domain);
        row["born"] = json!(born);
        let row = row.to_string();
        self.store.put("servers", &identity.name, row.as_bytes());
    }

    /// Number of the present lifetime of a worker.
    pub fn worker_lifetime(&self, number: usize) -> u64 {
        self.workers[number].lifetime_number()
    }

    /// Lifetimes of entries that were killed or paused.
    pub fn harmed(&self) -> HashSet<u64> {
        let harmed = self.harmed.lock().unwrap_or_else(PoisonError::into_inner);
        harmed.clone()
    }

    /// Change the grace period in an entry's settings file.
    pub fn change_grace(&self, number: usize, seconds: u64) -> Result<()> {
        let entry = self.lock(number);
        let text = std::fs::read_to_string(&entry.settings).into_diagnostic()?;
        let mut settings: Value = serde_json::from_str(&text).into_diagnostic()?;
        settings["grace_seconds"] = json!(seconds);
        std::fs::write(&entry.settings, settings.to_string()).into_diagnostic()
    }

    /// Requests that arrived at the workers, as far as their entry is known.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        let addressees = self
            .addressees
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let of_worker = |worker: &ScriptedWorker| {
            let address = worker.address;
            worker
                .arrivals()
                .into_iter()
                .map(move |arrival| (address, arrival))
        };
        self.workers
            .iter()
            .flat_map(of_worker)
            .filter_map(|(address, arrival)| {
                Some(ArrivalRecord {
                    entry: *addressees.get(&arrival.id)?,
                    worker: format!("{address}.{}", arrival.lifetime),
                    at: arrival.at,
                })
            })
            .collect()
    }

    /// Ids that ran, one entry a run.
    pub fn ran(&self) -> Vec<String> {
        self.workers.iter().flat_map(ScriptedWorker::ran).collect()
    }

    /// All runs of requests.
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.workers.iter().flat_map(ScriptedWorker::runs).collect()
    }

    /// Send a signal to an entry that runs.
    pub fn signal(&self, number: usize, signal: Signal) {
        let entry = self.lock(number);
        if matches!(signal, Signal::SIGKILL | Signal::SIGSTOP) {
            let mut harmed = self.harmed.lock().unwrap_or_else(PoisonError::into_inner);
            harmed.insert(entry.lifetime);
        }
        if let Some(process) = &entry.process {
            let id = i32::try_from(process.id()).unwrap_or(i32::MAX);
            // The process may have ended in this moment.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Start an entry again if it has ended.
    pub fn revive(&self, number: usize) -> Result<()> {
        let ended = match &mut self.lock(number).process {
            Some(process) => process.try_wait().into_diagnostic()?.is_some(),
            None => true,
        };
        if ended {
            self.start_entry(number)?;
        }
        Ok(())
    }

    fn start_entry(&self, number: usize) -> Result<()> {
        let program = std::env::current_exe()
            .into_diagnostic()?
            .ancestors()
            .map(|folder| folder.join("bamboocross-front"))
            .find(|program| program.exists())
            .ok_or_else(|| miette!("bamboocross-front is not built"))?;
        let mut entry = self.lock(number);
        let process = Command::new(program)
            .env("BAMBOOCROSS_BOOT", &entry.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .into_diagnostic()?;
        entry.process = Some(process);
        entry.lifetime = self.lifetimes.fetch_add(1, SeqCst);
        Ok(())
    }

    fn lock(&self, number: usize) -> MutexGuard<'_, SoakEntry> {
        self.entries[number]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SoakSite {
    fn drop(&mut self) {
        for number in 0..self.entry_count() {
            if let Some(process) = &mut self.lock(number).process {
                // Both fail only if the process has ended already.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl SoakEntry {
    fn new(
        folder: &TempDir,
        store: SocketAddr,
        number: u8,
        domain: &str,
        ports: u16,
    ) -> Result<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 110 + number, high, low);
        let address = |port: u16| SocketAddr::from((host, port));
        let name = format!("front-{domain}-{number}");
        let settings = folder.path().join(format!("{name}.json"));
        let text = json!({
            "name": name, "failure_domain": domain, "peer": address(ports + 4).to_string(),
            "listen": address(ports + 1).to_string(), "ready": address(ports + 2).to_string(),
            "admin": address(ports + 3).to_string(), "store": store.to_string(),
            "apply_ms": 2_000, "grace_seconds": 4, "address_reuse_seconds": 2,
            "retry_ratio": 0.8, "retry_slack": 150,
            "expose_share": EXPOSE_SHARE, "expose_slack": EXPOSE_SLACK,
            "rollback_ms": ROLLBACK.as_millis() as u64,
        });
        std::fs::write(&settings, text.to_string()).into_diagnostic()?;
        Ok(Self {
            listen: address(ports + 1),
            admin: address(ports + 3),
            settings,
            process: None,
            lifetime: 0,
        })
    }
}

fn identity(worker: &ScriptedWorker, lifetime: u64, service: &'static str) -> WorkerIdentity {
    WorkerIdentity {
        name: format!("i-{}-{lifetime}", worker.address.port()),
        service,
        has_models: service == SERVICES[0],
    }
}

async fn start_link(target: SocketAddr) -> Result<ProxyLink> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    ProxyLink::start(listen, target).await.into_diagnostic()
}

pub(super) fn registration(service: &str, address: SocketAddr, domain: &str) -> Value {
    json!({
        "service": service, "addr": address.to_string(), "zone": domain, "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1,
    })
}

fn desired_state(version: u64) -> Value {
    let route = |prefix: String, kind: &str, service: &str| {
        json!({
            "name": prefix, "host": "a.example", "prefix": format!("/{prefix}/"), "kind": kind,
            "timeout-ms": 8_000, "target-latency-ms": 500, "priority": 1, "service": service,
            "attempts": if kind == "unsafe" { 1 } else { 4 }, "public": true,
            "can-resume": prefix == "report", "gap-aim-ms": 300,
        })
    };
    let mut routes = vec![
        route("book".to_owned(), "unsafe", "desk"),
        route("report".to_owned(), "stream", "pool"),
        route("once".to_owned(), "stream", "pool"),
        route(SERVICE.to_owned(), "safe", SERVICE),
    ];
    routes.extend((1..=version).map(|version| route(format!("mark-{version}"), "safe", "desk")));
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": "desk", "health-path": "/healthz"},
            {"name": SERVICE, "health-path": "/healthz"},
            {"name": "pool", "health-path": "/healthz",
             "engine": {"slots": 8, "kv-tokens": 88_000, "backups": true,
                        "models": [{"name": "m"}]}},
        ],
    })
}
