//! Runs the entry process with a store and backend servers in the test process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use stand_ins::{RowStore, ScriptedWorker};
use tempfile::TempDir;
use tokio::{net::TcpStream, time::sleep};

/// Time between two checks of an awaited condition.
const CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Checks before a test fails; generous, because the machine may be busy.
const CHECKS_MAX: u32 = 3_000;

/// Model service of the desired state.
pub const POOL: &str = "pool";
/// Plain service of the desired state.
pub const DESK: &str = "desk";

/// An entry process with its store and addresses.
pub struct TestSite {
    pub store: RowStore,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    settings: PathBuf,
    process: Child,
    _folder: TempDir,
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body ended as its framing announces.
    pub complete: bool,
}

/// Returns an unused port on a loopback address that no other test process uses.
fn unique_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, 101, high, low), port).into()
}

/// Creates a desired state with routes of all kinds.
pub fn desired_state(version: u64) -> Value {
    let attempts = |name: &str| match name {
        "book" => 1,
        "twice" => 2,
        _ => 3,
    };
    let route = |name: &str, kind: &str, service: &str, resume: bool| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 20_000, "target-latency-ms": 4_500, "priority": 1,
            "service": service, "attempts": attempts(name),
            "public": false, "sticky": false, "can-resume": resume, "gap-aim-ms": 700,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("look", "safe", DESK, false),
            route("twice", "safe", DESK, false),
            route("book", "unsafe", DESK, false),
            route("report", "stream", POOL, true),
            route("once", "stream", POOL, false),
        ],
        "services": [
            {"name": DESK, "health-path": "/healthz"},
            {"name": POOL, "health-path": "/healthz",
             "engine": {"slots": 8, "kv-tokens": 88_000, "backups": true,
                        "models": [{"name": "m"}]}},
        ],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 1_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "north", "api-keys": ["k1"]}],
    })
}

impl TestSite {
    /// Starts a store with a desired state and the workers' registrations, and an
    /// entry, and waits until the entry is ready and knows the workers.
    pub async fn start(workers: &[(&str, &ScriptedWorker, &str)]) -> Self {
        let store = RowStore::start().await.expect("a port for the store");
        store.put("op", "config", desired_state(1).to_string().as_bytes());
        let site = Self::start_with(store, Stdio::null());
        for (service, worker, domain) in workers {
            site.register(service, worker, domain, "ready");
        }
        site.wait_ready().await;
        let server_key = "\"instance\"";
        let expected = workers.len();
        site.wait_state(|text| text.matches(server_key).count() >= expected)
            .await;
        site
    }

    /// Starts an entry with a store, without waiting until it is ready.
    pub fn start_with(store: RowStore, output: Stdio) -> Self {
        let address = store.address;
        Self::start_entry("front-1", store, address, output)
    }

    /// Starts an entry in failure domain `a` that reaches its store at `store_address`.
    pub fn start_entry(
        name: &str,
        store: RowStore,
        store_address: SocketAddr,
        output: Stdio,
    ) -> Self {
        Self::start_entry_with(name, store, store_address, output, |_| {})
    }

    /// Starts an entry with changed settings.
    pub fn start_entry_with(
        name: &str,
        store: RowStore,
        store_address: SocketAddr,
        output: Stdio,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let folder = TempDir::new().expect("a folder");
        let (listen, ready, admin) = (unique_address(), unique_address(), unique_address());
        let settings = folder.path().join("front.json");
        let mut text = json!({
            "name": name, "failure_domain": "a", "peer": unique_address().to_string(), "listen": listen.to_string(),
            "ready": ready.to_string(), "admin": admin.to_string(),
            "store": store_address.to_string(), "apply_ms": 2_000, "grace_seconds": 8,
            "address_reuse_seconds": 2, "retry_ratio": 0.8, "retry_slack": 150,
        });
        change(&mut text);
        std::fs::write(&settings, text.to_string()).expect("the settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_bamboocross-front"))
            .env("BAMBOOCROSS_BOOT", &settings)
            .stdout(output)
            .spawn()
            .expect("the entry starts");
        Self {
            store,
            listen,
            ready,
            admin,
            settings,
            process,
            _folder: folder,
        }
    }

    /// Writes a worker's registration.
    pub fn register(&self, service: &str, worker: &ScriptedWorker, domain: &str, state: &str) {
        register(&self.store, service, worker, "v1", (domain, state));
    }

    /// Changes the settings file.
    pub fn change_settings(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings are read");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).expect("the settings are written");
    }

    pub async fn wait_ready(&self) {
        wait_for("readiness", async || {
            let response = get(self.ready, "/v1/readyz").await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }

    /// Waits until the state dump meets a condition.
    pub async fn wait_state(&self, condition: impl Fn(&str) -> bool) {
        wait_for("the expected state dump", async || {
            let response = get(self.admin, "/state").await;
            response.is_some_and(|response| condition(&response.body))
        })
        .await;
    }

    /// Returns the value of a metric, summed over its labels.
    pub async fn metric(&self, name: &str) -> f64 {
        let response = get(self.admin, "/metrics")
            .await
            .expect("metrics are served");
        let lines = response.body.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .sum()
    }

    /// Returns the process id; the process is not waited for while the site exists.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.process_id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process is running");
    }

    pub async fn wait_exit(&mut self) -> ExitStatus {
        for _ in 0..CHECKS_MAX {
            if let Some(status) = self.process.try_wait().expect("the process state is known") {
                return status;
            }
            sleep(CHECK_PERIOD).await;
        }
        panic!("the entry did not exit");
    }

    /// Sends a request and reads the response.
    pub async fn call(&self, path: &str, id: &str) -> TestResponse {
        self.send(caller_request(path, id)).await
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> TestResponse {
        read_response(send_request(self.listen, request).await).await
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Writes the registration of a worker of a version; `place` is its failure domain and
/// its state.
pub fn register(
    store: &RowStore,
    service: &str,
    worker: &ScriptedWorker,
    version: &str,
    place: (&str, &str),
) {
    let (domain, state) = place;
    let row = json!({
        "service": service, "addr": worker.address.to_string(), "zone": domain,
        "version": version, "slots": 8, "state": state, "cold-left-ms": 0, "seq": 1, "born": 1,
    });
    let key = format!("i-{}", worker.address.port());
    store.put("servers", &key, row.to_string().as_bytes());
}

/// Creates a caller's request with the usual headers.
pub fn caller_request(path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "a.example")
        .header("x-bamboocross-request-id", id)
        .header("x-bamboocross-deadline-ms", "15000")
        .header("authorization", "Bearer k1")
        .body(Full::from("body"))
        .expect("a request")
}

/// Sends a request on a new connection.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Response<Incoming> {
    let stream = TcpStream::connect(address)
        .await
        .expect("the entry listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("an HTTP connection");
    tokio::spawn(connection);
    sender.send_request(request).await.expect("a response")
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// The entry accepts no connection.
    NotConnected,
    /// The connection ended before an answer began.
    NoAnswer,
}

/// Sends a request on a new connection and reads the response.
pub async fn try_send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<TestResponse, SendError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| SendError::NotConnected)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NoAnswer)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await;
    Ok(read_response(response.map_err(|_| SendError::NoAnswer)?).await)
}

pub async fn read_response(response: Response<Incoming>) -> TestResponse {
    let (parts, mut body) = response.into_parts();
    let mut text = String::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    text.push_str(&String::from_utf8_lossy(&bytes));
                }
            }
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    TestResponse {
        status: parts.status,
        headers: parts.headers,
        body: text,
        complete,
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<TestResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", "a")
        .body(Full::<Bytes>::default());
    let response = sender.send_request(request.ok()?).await.ok()?;
    Some(read_response(response).await)
}

/// Waits until a condition is met.
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..CHECKS_MAX {
        if condition().await {
            return;
        }
        sleep(CHECK_PERIOD).await;
    }
    panic!("timed out waiting for {what}");
}

/// Writes a desired state in which the route `look` has the prefix `route`.
pub fn put_desired_state(store: &RowStore, version: u64, route: &str) {
    let mut state = desired_state(version);
    state["routes"][0]["prefix"] = json!(route);
    store.put("op", "config", state.to_string().as_bytes());
}

/// Waits until a call is answered with a status.
pub async fn wait_for_status(site: &TestSite, path: &str, expected: StatusCode) {
    wait_for("the expected status", async || {
        site.call(path, "r").await.status == expected
    })
    .await;
}

/// Returns events with the positions in `range`, as the workers encode them.
pub fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|position| format!("id: {position}\ndata: e{position}\n\n"))
        .collect()
}
