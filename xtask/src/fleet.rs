//! Real processes on loopback addresses, ended when the fleet is dropped.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        LazyLock,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use exchange::{ExchangeCall, ExchangeClient};
use http::Method;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rand::Rng;
use serde::Serialize;
use serde_json::{Value, json};
use tempfile::TempDir;
use wire::vm::{KindMessage, VmListMessage, VmMessage};

/// Time within which a process must listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports that processes listen on.
const PORTS: Range<u16> = 10_000..32_000;

/// Pause between two looks at a process.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// A process of the fleet.
#[derive(Debug)]
pub struct ProcessHandle {
    /// Name, also of its log.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
}

impl ProcessHandle {
    /// Send a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process ids are positive");
        // A process that has ended already needs no signal.
        let _ = kill(Pid::from_raw(pid), signal);
    }

    /// Identity of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kill the process and reap it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Wait until the process ends by itself.
    pub fn wait_for_end(&mut self, patience: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_PAUSE);
        }
        None
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An engine to start.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Completions that produce tokens at once.
    pub slots: u32,
    /// Microseconds between two tokens.
    pub token_gap_us: u32,
    /// Microseconds to read one uncached token of a prompt.
    pub prefill_us_per_token: u32,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u32,
    /// Whether old fencing numbers are refused.
    pub checks_fencing: bool,
}

impl Default for EnginePlan {
    fn default() -> Self {
        Self {
            slots: 16,
            token_gap_us: 10_000,
            prefill_us_per_token: 100,
            load_lag_ms: 0,
            checks_fencing: false,
        }
    }
}

/// An agent to start.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Name of the backend server beside it.
    pub server: String,
    /// Pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// What the server runs.
    pub kind: KindMessage,
    /// Where the server listens.
    pub target: SocketAddr,
    /// Settings beyond those every agent needs.
    pub extra: Value,
}

/// An entry to start.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Settings beyond those every entry needs.
    pub extra: Value,
}

/// An agent that runs, and its addresses.
#[derive(Debug)]
pub struct AgentHandle {
    /// The process.
    pub process: ProcessHandle,
    /// What the platform's list says of it.
    pub vm: VmMessage,
    settings: PathBuf,
}

/// The processes of one run.
pub struct Fleet {
    dir: TempDir,
    programs: PathBuf,
    exchange: ExchangeClient,
    platform: ProcessHandle,
    started: u32,
}

impl Fleet {
    /// Start a fleet with the platform's stand-in.
    pub fn start(platform_args: &[&str]) -> Result<Self> {
        let dir = tempfile::tempdir().into_diagnostic()?;
        let programs = program_folder()?;
        let listen = free_address()?;
        let mut args = vec!["platform", "--listen"];
        let text = listen.to_string();
        args.push(&text);
        args.extend_from_slice(platform_args);
        let platform = spawn(&dir, &programs, "stand-in", "platform", listen, &args)?;
        Ok(Self {
            dir,
            programs,
            exchange: ExchangeClient::pooled(),
            platform,
            started: 0,
        })
    }

    /// Where the platform listens.
    pub fn platform(&self) -> SocketAddr {
        self.platform.address
    }

    /// The platform's process.
    pub fn platform_process(&mut self) -> &mut ProcessHandle {
        &mut self.platform
    }

    /// Folder of settings and logs.
    pub fn folder(&self) -> &Path {
        self.dir.path()
    }

    /// Start an engine.
    pub fn engine(&mut self, plan: &EnginePlan) -> Result<ProcessHandle> {
        self.engine_at(free_address()?, plan)
    }

    /// Start an engine at an address, such as that of one that died.
    pub fn engine_at(&mut self, listen: SocketAddr, plan: &EnginePlan) -> Result<ProcessHandle> {
        let listen_text = listen.to_string();
        let slots = plan.slots.to_string();
        let gap = plan.token_gap_us.to_string();
        let prefill = plan.prefill_us_per_token.to_string();
        let lag = plan.load_lag_ms.to_string();
        let mut args = vec![
            "engine",
            "--listen",
            &listen_text,
            "--slots",
            &slots,
            "--token-gap-us",
            &gap,
            "--prefill-us-per-token",
            &prefill,
            "--load-lag-ms",
            &lag,
        ];
        if plan.checks_fencing {
            args.push("--checks-fencing");
        }
        let name = self.log_name("engine");
        spawn(&self.dir, &self.programs, "stand-in", &name, listen, &args)
    }

    /// Start a plain service that keeps its own ledger.
    pub fn service(&mut self) -> Result<ProcessHandle> {
        self.service_at(free_address()?, None)
    }

    /// Start a plain service at an address, with the ledger of another one.
    pub fn service_at(
        &mut self,
        listen: SocketAddr,
        ledger: Option<SocketAddr>,
    ) -> Result<ProcessHandle> {
        let text = listen.to_string();
        let ledger = ledger.map(|ledger| ledger.to_string());
        let name = self.log_name("service");
        let mut args = vec!["service", "--listen", &text];
        if let Some(ledger) = &ledger {
            args.extend(["--ledger", ledger]);
        }
        spawn(&self.dir, &self.programs, "stand-in", &name, listen, &args)
    }

    /// Start a fault proxy without links.
    pub fn proxy(&mut self) -> Result<ProcessHandle> {
        let listen = free_address()?;
        let text = listen.to_string();
        let name = self.log_name("proxy");
        let args = ["proxy", "--listen", &text];
        spawn(&self.dir, &self.programs, "stand-in", &name, listen, &args)
    }

    /// Start an agent.
    pub fn agent(&mut self, plan: &AgentPlan) -> Result<AgentHandle> {
        let vm = VmMessage {
            name: plan.server.clone(),
            pool: plan.pool.clone(),
            domain: plan.domain.clone(),
            kind: plan.kind,
            stream: free_address()?,
            control: free_address()?,
            leaving: false,
        };
        let kind = match plan.kind {
            KindMessage::Engine => "engine",
            KindMessage::Service => "service",
        };
        let mut settings = json!({
            "name": plan.server,
            "pool": plan.pool,
            "failure_domain": plan.domain,
            "kind": kind,
            "server": plan.target.to_string(),
            "listen": vm.stream.to_string(),
            "control": vm.control.to_string(),
            "platform": self.platform().to_string(),
        });
        merge(&mut settings, &plan.extra);
        let path = self.write_settings(&plan.server, &settings)?;
        let process = self.daemon("bamboocross-agent", &plan.server, vm.stream, &path)?;
        Ok(AgentHandle {
            process,
            vm,
            settings: path,
        })
    }

    /// Start an agent anew, with the settings it had.
    pub fn restart_agent(&mut self, agent: &mut AgentHandle) -> Result<()> {
        agent.process.kill();
        let name = agent.vm.name.clone();
        let address = agent.vm.stream;
        agent.process = self.daemon("bamboocross-agent", &name, address, &agent.settings)?;
        Ok(())
    }

    /// Start an entry.
    pub fn entry(&mut self, plan: &EntryPlan) -> Result<ProcessHandle> {
        let listen = free_address()?;
        let mut settings = json!({
            "name": plan.name,
            "failure_domain": plan.domain,
            "listen": listen.to_string(),
            "platform": self.platform().to_string(),
            "refresh_ms": 200,
        });
        merge(&mut settings, &plan.extra);
        let path = self.write_settings(&plan.name, &settings)?;
        self.daemon("bamboocross-entry", &plan.name, listen, &path)
    }

    /// Run the operators' client and return what it printed.
    pub fn operator(&self, args: &[&str]) -> Result<(ExitStatus, String)> {
        let output = Command::new(self.programs.join("bamboocross"))
            .args(args)
            .env("BAMBOOCROSS_PLATFORM", self.platform().to_string())
            .output()
            .into_diagnostic()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status, text))
    }

    /// Publish a release note.
    pub fn publish(&self, note: &Value) -> Result<String> {
        let path = self.dir.path().join("note.json");
        std::fs::write(&path, format!("{note:#}")).into_diagnostic()?;
        let path = path.display().to_string();
        let (status, text) = self.operator(&["note", "publish", &path])?;
        if !status.success() {
            return Err(miette!("the note was refused: {text}"));
        }
        Ok(text)
    }

    /// Set the platform's list of VMs.
    pub async fn set_vms(&self, vms: &[VmMessage]) -> Result<()> {
        let list = VmListMessage { vms: vms.to_vec() };
        let call = ExchangeCall::new(Method::PUT, self.platform(), "/v1/vms").json(&list);
        self.send(call).await.map(drop)
    }

    /// Set the faults of a stand-in.
    pub async fn control(&self, address: SocketAddr, faults: &impl Serialize) -> Result<()> {
        let call = ExchangeCall::post(address, "/control").json(faults);
        self.send(call).await.map(drop)
    }

    /// Post a message to a stand-in.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<()> {
        self.send(ExchangeCall::post(address, path).json(message))
            .await
            .map(drop)
    }

    /// Read what a stand-in counted, or a process's state.
    pub async fn read<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let reply = self.send(ExchangeCall::get(address, path)).await?;
        serde_json::from_slice(&reply).into_diagnostic()
    }

    /// Read text that a process shows.
    pub async fn text(&self, address: SocketAddr, path: &str) -> Result<String> {
        let reply = self.send(ExchangeCall::get(address, path)).await?;
        String::from_utf8(reply).into_diagnostic()
    }

    /// Wait until an entry knows a release note and a number of servers.
    pub async fn wait_until_ready(&self, entry: SocketAddr, servers: usize) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let state: Value = self.read(entry, "/state").await?;
            let known = state["servers"].as_array().map_or(0, Vec::len);
            let version = state["note_version"].as_u64().unwrap_or(0);
            if known >= servers && version > 0 {
                return Ok(());
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Err(miette!("entry {entry} did not learn of {servers} servers"))
    }

    /// Log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Lines of all logs that hold a text, in the order of their time.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let files = std::fs::read_dir(self.dir.path()).into_iter().flatten();
        let logs = files.flatten().filter_map(|file| {
            let name = file.file_name().into_string().ok()?;
            Some(name.strip_suffix(".log")?.to_owned())
        });
        let mut lines: Vec<String> = logs
            .flat_map(|name| {
                let log = self.log(&name);
                let found = log.lines().filter(|line| line.contains(text));
                found
                    .map(|line| format!("{line} [{name}]"))
                    .collect::<Vec<_>>()
            })
            .collect();
        lines.sort();
        lines
    }

    async fn send(&self, call: ExchangeCall<'_>) -> Result<Vec<u8>> {
        let reply = self.exchange.send(call).await.into_diagnostic()?;
        if !reply.status.is_success() {
            return Err(miette!("status {}", reply.status));
        }
        Ok(reply.body.to_vec())
    }

    fn daemon(
        &mut self,
        program: &str,
        name: &str,
        listen: SocketAddr,
        settings: &Path,
    ) -> Result<ProcessHandle> {
        let settings = settings.display().to_string();
        let args = ["--settings", &settings];
        spawn(&self.dir, &self.programs, program, name, listen, &args)
    }

    fn write_settings(&self, name: &str, settings: &Value) -> Result<PathBuf> {
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, format!("{settings:#}")).into_diagnostic()?;
        Ok(path)
    }

    fn log_name(&mut self, kind: &str) -> String {
        self.started += 1;
        format!("{kind}-{}", self.started)
    }
}

fn spawn(
    dir: &TempDir,
    programs: &Path,
    program: &str,
    name: &str,
    listen: SocketAddr,
    args: &[&str],
) -> Result<ProcessHandle> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(dir.path().join(format!("{name}.log")))
        .into_diagnostic()?;
    let child = Command::new(programs.join(program))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .into_diagnostic()
        .wrap_err_with(|| format!("{program} did not start; are the programs built?"))?;
    let mut process = ProcessHandle {
        name: name.to_owned(),
        address: listen,
        child,
    };
    let deadline = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(listen).is_err() {
        if Instant::now() > deadline || matches!(process.child.try_wait(), Ok(Some(_))) {
            let log = std::fs::read_to_string(dir.path().join(format!("{name}.log")));
            return Err(miette!(
                "{name} does not listen on {listen}: {}",
                log.unwrap_or_default()
            ));
        }
        std::thread::sleep(POLL_PAUSE);
    }
    Ok(process)
}

/// Folder of the programs, which is that of this program.
pub fn program_folder() -> Result<PathBuf> {
    let own = std::env::current_exe().into_diagnostic()?;
    let mut folder = own.parent().unwrap_or(Path::new(".")).to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}

/// An address that nothing listens on.
///
/// Each program has a host of its own in the loopback network, and gives no
/// port of it twice. So neither another program nor an outgoing connection can
/// take the port, and no port has to be tried by listening on it: a child that
/// another thread starts at that moment would hold the listener until it runs
/// its own program.
pub fn free_address() -> Result<SocketAddr> {
    static HOST: LazyLock<Ipv4Addr> = LazyLock::new(|| {
        let mut rng = rand::rng();
        Ipv4Addr::new(
            127,
            rng.random_range(1..=254),
            rng.random(),
            rng.random_range(1..=254),
        )
    });
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let port = PORTS.start + GIVEN.fetch_add(1, Ordering::Relaxed);
    if !PORTS.contains(&port) {
        return Err(miette!("no free address"));
    }
    Ok(SocketAddr::from((*HOST, port)))
}

/// Add the fields of `extra` to `settings`.
pub fn merge(settings: &mut Value, extra: &Value) {
    let (Some(settings), Some(extra)) = (settings.as_object_mut(), extra.as_object()) else {
        return;
    };
    for (name, value) in extra {
        settings.insert(name.clone(), value.clone());
    }
}
