//! Stand-ins and orders of events of the review's scripts.
//!
//! One program plays the platform's store, the workers, the consumers and the
//! operator, and starts `bamboocross-front` as separate processes with the command
//! of the deploy file. Only the standard library is used. Usage: `drill CASE RECORD`.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
        Arc, Condvar, Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Time between two check-ins of a worker (`heartbeat-ms` of the pages).
const BEAT: Duration = Duration::from_millis(1_200);
/// Time the store takes to answer (4 ms on the sheet).
const STORE_ANSWER: Duration = Duration::from_millis(4);
const KEY: &str = "k-north-1";
const HOST: &str = "fryers.example";

// ---------------------------------------------------------------- record

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

fn now_s() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small generator of pseudo-random numbers, seeded by the clock.
fn draw(limit: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut x = STATE.load(SeqCst);
    if x == 0 {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        x = now.map_or(1, |now| now.as_nanos() as u64) | 1;
    }
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, SeqCst);
    (x >> 11) % limit.max(1)
}

// ---------------------------------------------------------------- HTTP

struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A channel with the bytes that were read from it and not used yet.
struct Channel {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0_u8; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn read_head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let start = lines.next()?.to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Some(Message { start, headers, body: Vec::new() });
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    fn read_exact(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    /// Reads a request with its body.
    fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.read_exact(length)?;
        } else if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks(|_| {})?;
        }
        Some(message)
    }

    /// Reads a chunked body; `None` if it ends early.
    fn read_chunks(&mut self, mut seen: impl FnMut(&[u8])) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.read_line()?.split(';').next()?.trim(), 16).ok()?;
            let chunk = self.read_exact(size)?;
            self.read_line()?;
            if size == 0 {
                return Some(body);
            }
            seen(&chunk);
            body.extend_from_slice(&chunk);
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                text.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    version: u64,
    /// Value (base64) of each row, or `None` if it was dropped, and its version.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The platform's store, as far as an entry uses it.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    slow: Arc<AtomicU64>,
    start: Instant,
}

impl Store {
    fn start(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            slow: Arc::new(AtomicU64::new(1)),
            start: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    fn put_base64(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (version, value));
        changed.notify_all();
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        self.put_base64(table, key, Some(base64(value.as_bytes())));
    }

    fn remove(&self, table: &str, key: &str) {
        self.put_base64(table, key, None);
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.read_request() {
            let target = request.start.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
            };
            let body = match path {
                "/v1/rows-get" => self.list(field("table")),
                "/v1/rows-feed" => {
                    let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                    self.feed(field("table"), field("since-rev").parse().unwrap_or(0), wait)
                }
                "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
                _ => String::from("{}"),
            };
            thread::sleep(STORE_ANSWER * self.slow.load(SeqCst) as u32);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if channel.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(&self, state: &StoreState, table: &str, since: Option<u64>) -> String {
        let mut rows: Vec<(u64, String)> = state
            .rows
            .iter()
            .filter(|((name, _), (version, value))| {
                name == table && since.map_or(value.is_some(), |since| *version > since)
            })
            .map(|((_, key), (version, value))| {
                let rest = match value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"tombstone\":true".to_owned(),
                };
                (*version, format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}"))
            })
            .collect();
        if since.is_some() {
            rows.sort();
        }
        let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"ver\":{},\"now-ms\":{}}}",
            rows.join(","),
            state.version,
            self.start.elapsed().as_millis()
        )
    }

    fn list(&self, table: &str) -> String {
        let state = self.state.0.lock().unwrap();
        self.page(&state, table, None)
    }

    fn feed(&self, table: &str, since: u64, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let has_news = state.rows.iter().any(|((name, _), (version, _))| name == table && *version > since);
            let now = Instant::now();
            if has_news || now >= end {
                return self.page(&state, table, Some(since));
            }
            state = changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    /// Takes the unconditional writes of entries.
    fn transact(&self, body: &str) -> String {
        let text = |row: &str, name: &str| {
            let start = row.find(&format!("\"{name}\":\""))? + name.len() + 4;
            Some(row[start..].split('"').next()?.to_owned())
        };
        if let Some(start) = body.find("\"writes\":[{") {
            let row = &body[start..];
            if let (Some(table), Some(key), Some(value)) = (text(row, "table"), text(row, "key"), text(row, "value")) {
                self.put_base64(&table, &key, Some(value));
            }
        }
        format!("{{\"ver\":{},\"now-ms\":0}}", self.state.0.lock().unwrap().version)
    }
}

// ---------------------------------------------------------------- workers

/// How a worker answers requests of consumers.
#[derive(Clone, Copy)]
enum Work {
    /// A plain answer after about this many milliseconds.
    Plain(u64),
    /// A stream: milliseconds to the first event, between events, and the number of events.
    Stream(u64, u64, u64),
}

/// One run of a request at a worker.
#[derive(Clone)]
struct Run {
    at_s: f64,
    worker: String,
    service: String,
    id: String,
    path: String,
}

static RUNS: Mutex<Vec<Run>> = Mutex::new(Vec::new());

struct WorkerState {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: usize,
    work: Work,
    is_open: AtomicBool,
    is_registered: AtomicBool,
    is_draining: AtomicBool,
    /// Chance, in percent, that the answer of a request that runs is lost.
    lose_percent: AtomicU64,
    running: AtomicUsize,
    channels: Mutex<Vec<TcpStream>>,
    listening: Mutex<Option<thread::JoinHandle<()>>>,
    born_ms: u128,
    seq: AtomicU64,
    store: Store,
}

#[derive(Clone)]
struct Worker(Arc<WorkerState>);

impl Worker {
    fn start(store: &Store, id: &str, service: &str, zone: &str, address: &str, work: Work) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Self(Arc::new(WorkerState {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            slots: if matches!(work, Work::Plain(_)) { 6 } else { 64 },
            work,
            is_open: AtomicBool::new(true),
            is_registered: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            lose_percent: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            channels: Mutex::default(),
            listening: Mutex::default(),
            born_ms: born.map_or(0, |born| born.as_millis()),
            seq: AtomicU64::new(0),
            store: store.clone(),
        }));
        let served = worker.clone();
        let listening = thread::spawn(move || {
            while served.0.is_open.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(kept) = stream.try_clone() {
                            served.0.channels.lock().unwrap().push(kept);
                        }
                        let worker = served.clone();
                        thread::spawn(move || worker.serve(Channel::new(stream)));
                    }
                    Err(_) => pause(1),
                }
            }
        });
        *worker.0.listening.lock().unwrap() = Some(listening);
        note(&format!("worker {id} ({service}) starts at {}", worker.0.address));
        Ok(worker)
    }

    /// Registers and checks in each heartbeat from now on.
    fn register(&self) {
        self.0.is_registered.store(true, SeqCst);
        let worker = self.clone();
        thread::spawn(move || {
            while worker.0.is_open.load(SeqCst) && worker.0.is_registered.load(SeqCst) {
                worker.beat();
                thread::sleep(BEAT);
            }
        });
    }

    fn beat(&self) {
        let worker = &self.0;
        let state = if worker.is_draining.load(SeqCst) { "draining" } else { "ready" };
        let seq = worker.seq.fetch_add(1, SeqCst) + 1;
        let row = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            worker.service, worker.address, worker.zone, worker.slots, worker.born_ms
        );
        worker.store.put("servers", &worker.id, &row);
    }

    /// Has its entry removed and serves on.
    fn leave(&self) {
        self.0.is_registered.store(false, SeqCst);
        pause(BEAT.as_millis() as u64 + 50);
        self.0.store.remove("servers", &self.0.id);
    }

    /// Ends without a word.
    fn exit(&self) {
        self.0.is_open.store(false, SeqCst);
        if let Some(listening) = self.0.listening.lock().unwrap().take() {
            let _ = listening.join();
        }
        for channel in self.0.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Ends at once, as a crash does. The store drops the entry after three check-in
    /// intervals of silence.
    fn crash(&self) {
        note(&format!("worker {} crashes", self.0.id));
        // The port is closed before the channels end, as when a process is killed.
        self.exit();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(BEAT * 3);
            note(&format!("the store drops the entry of {}", worker.0.id));
            worker.0.store.remove("servers", &worker.0.id);
        });
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.read_request() {
            if self.answer(&mut channel, &request).is_none() {
                let _ = channel.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers a request; `None` ends the channel.
    fn answer(&self, channel: &mut Channel, request: &Message) -> Option<()> {
        let worker = &self.0;
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let load = format!("{},0,{}", worker.running.load(SeqCst), worker.slots);
        if path == "/healthz" {
            let status = if worker.is_draining.load(SeqCst) { "503 Service Unavailable" } else { "200 OK" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Bamboocross-Instance: {}\r\nX-Bamboocross-Load: {load}\r\nContent-Length: 0\r\n\r\n",
                worker.id
            );
            return channel.stream.write_all(answer.as_bytes()).ok();
        }
        let id = request.header("x-bamboocross-request-id").unwrap_or("").to_owned();
        if id.is_empty() {
            return channel.stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").ok();
        }
        let target = request.header("x-bamboocross-target-instance");
        if target.is_some_and(|target| target != worker.id) {
            note(&format!("worker {} gets {id} for {}: 421", worker.id, target.unwrap_or_default()));
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Instance: {}\r\nContent-Length: 0\r\n\r\n",
                worker.id
            );
            return channel.stream.write_all(answer.as_bytes()).ok();
        }
        if worker.running.load(SeqCst) >= worker.slots {
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return channel.stream.write_all(answer.as_bytes()).ok();
        }
        worker.running.fetch_add(1, SeqCst);
        let done = self.run(channel, request, &id);
        worker.running.fetch_sub(1, SeqCst);
        done
    }

    fn run(&self, channel: &mut Channel, request: &Message, id: &str) -> Option<()> {
        let worker = &self.0;
        let is_lost = draw(100) < worker.lose_percent.load(SeqCst);
        let started = |what: &str| {
            note(&format!("worker {} ({}) runs {id}{what}", worker.id, worker.service));
            let run = Run {
                at_s: now_s(),
                worker: worker.id.clone(),
                service: worker.service.clone(),
                id: id.to_owned(),
                path: request.start.split(' ').nth(1).unwrap_or_default().to_owned(),
            };
            RUNS.lock().unwrap().push(run);
        };
        let seal = format!("X-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Server-Seal: seal.{}.{id}", worker.id);
        match worker.work {
            Work::Plain(ms) => {
                started("");
                pause(ms / 2 + draw(ms));
                let body = format!("{{\"service\":\"{}\",\"worker\":\"{}\",\"id\":\"{id}\"}}", worker.service, worker.id);
                let answer = format!("HTTP/1.1 200 OK\r\n{seal}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                channel.stream.write_all(answer.as_bytes()).ok()
            }
            Work::Stream(first, gap, count) => {
                pause(first + draw(first / 5));
                if !self.is_wanted(channel) {
                    note(&format!("worker {} drops {id}: its channel was closed before it ran", worker.id));
                    return None;
                }
                started(if is_lost { ", and its answer is lost" } else { "" });
                let from: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
                if is_lost {
                    // The run goes on; what it sends does not arrive.
                    for _ in from..count {
                        pause(gap);
                        if !self.is_wanted(channel) {
                            note(&format!("worker {} ends {id}: its channel was closed", worker.id));
                            return None;
                        }
                    }
                    note(&format!("worker {} has finished {id}", worker.id));
                    while worker.is_open.load(SeqCst) && self.is_wanted(channel) {
                        pause(20);
                    }
                    return None;
                }
                let head = format!("HTTP/1.1 200 OK\r\n{seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                channel.stream.write_all(head.as_bytes()).ok()?;
                for place in from + 1..=count {
                    let event = format!("id: {place}\ndata: {id} {place} of {count}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if channel.stream.write_all(chunk.as_bytes()).is_err() {
                        note(&format!("worker {} ends {id}: its channel was closed", worker.id));
                        return None;
                    }
                    pause(gap);
                }
                channel.stream.write_all(b"0\r\n\r\n").ok()
            }
        }
    }

    /// Whether the channel is still open.
    fn is_wanted(&self, channel: &Channel) -> bool {
        let _ = channel.stream.set_nonblocking(true);
        let mut byte = [0_u8; 1];
        let peeked = channel.stream.peek(&mut byte);
        let _ = channel.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

// ---------------------------------------------------------------- entries

/// An entry process, run as the deploy file says.
struct Entry {
    name: String,
    listen: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Child>,
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> std::io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let errors = output.try_clone()?;
    let child = Command::new("target/release/bamboocross-front")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("BAMBOOCROSS_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()?;
    // For the script, which ends what is left if this program is ended itself.
    if let Some(folder) = settings.parent() {
        let mut list = File::options().create(true).append(true).open(folder.join("processes"))?;
        writeln!(list, "{}", child.id())?;
    }
    Ok(child)
}

impl Entry {
    fn start(site: &Site, name: &str, zone: &str, ip: &str) -> std::io::Result<Self> {
        let (listen, ready) = (format!("{ip}:8227"), format!("{ip}:8220"));
        let settings = site.folder.join(format!("{name}.json"));
        let log = site.folder.join(format!("{name}.log"));
        // As platform/front.json.template is filled in for the sheet's bounds.
        let text = format!(
            "{{\"apply_ms\": 2000, \"address_reuse_seconds\": 2, \"contact_ms\": 3000, \"drain_ms\": 2000, \"grace_seconds\": 8, \"retry_ratio\": 0.8, \"retry_slack\": 150, \"retry_window_seconds\": 10, \"name\": \"{name}\", \"failure_domain\": \"{zone}\", \"listen\": \"{listen}\", \"ready\": \"{ready}\", \"admin\": \"{ip}:9464\", \"peer\": \"{ip}:7340\", \"store\": \"{}\"}}",
            site.store.address
        );
        std::fs::write(&settings, text)?;
        let process = Mutex::new(spawn(&settings, &log)?);
        Ok(Self { name: name.to_owned(), listen, ready, settings, log, process })
    }

    fn signal(&self, signal: i32, what: &str) {
        note(&format!("{what} to {}", self.name));
        let id = self.process.lock().unwrap().id() as i32;
        // SAFETY: `kill` has no memory effects; the child is not reaped yet.
        unsafe { kill(id, signal) };
    }

    fn is_ready(&self) -> bool {
        let Ok(address) = self.ready.parse() else { return false };
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut channel = Channel::new(stream);
        let asked = channel.stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        asked.is_ok() && channel.read_head().is_some_and(|head| head.start.contains(" 200"))
    }

    /// Planned stop as the platform does it: SIGTERM, SIGKILL after `grace-s`, and a
    /// new start.
    fn stop_and_start(&self) {
        self.signal(SIGTERM, "SIGTERM");
        let end = Instant::now() + Duration::from_secs(8);
        loop {
            let ended = self.process.lock().unwrap().try_wait();
            if let Ok(Some(status)) = ended {
                note(&format!("{} ended: {status}", self.name));
                break;
            }
            if Instant::now() >= end {
                self.signal(SIGKILL, "SIGKILL after grace-s");
                let _ = self.process.lock().unwrap().wait();
                break;
            }
            pause(20);
        }
        pause(300);
        if let Ok(process) = spawn(&self.settings, &self.log) {
            *self.process.lock().unwrap() = process;
        }
        note(&format!("{} started again", self.name));
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }
}

// ---------------------------------------------------------------- site

struct Site {
    store: Store,
    folder: PathBuf,
    net: String,
}

impl Site {
    /// Finds a free loopback network and starts the store there.
    fn start() -> std::io::Result<Self> {
        let folder = PathBuf::from(std::env::var("DRILL_FOLDER").unwrap_or_else(|_| "/tmp".to_owned()));
        for _ in 0..50 {
            let net = format!("127.{}.{}", 20 + draw(200), 1 + draw(250));
            let free = TcpListener::bind(format!("{net}.1:8227")).is_ok();
            if let (true, Ok(store)) = (free, Store::start(&format!("{net}.250:8223"))) {
                return Ok(Self { store, folder, net });
            }
        }
        Err(std::io::Error::other("no free loopback network"))
    }

    fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }

    fn worker(&self, id: &str, service: &str, zone: &str, host: u8, work: Work) -> std::io::Result<Worker> {
        let worker = Worker::start(&self.store, id, service, zone, &format!("{}:8080", self.ip(host)), work)?;
        worker.register();
        Ok(worker)
    }

    /// Writes a desired state with these routes (prefix, kind, service, further fields)
    /// and plain services.
    fn configure(&self, version: u64, routes: &[(&str, &str, &str, &str)], services: &[&str]) {
        let routes: Vec<String> = routes
            .iter()
            .map(|(prefix, kind, service, more)| {
                format!(
                    "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\"kind\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",\"public\":false,\"sticky\":false{more}}}"
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-conns\":360,\"proto\":\"h1\",\"tls\":false}}"))
            .collect();
        let state = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"north\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op", "config", &state);
    }
}

/// Waits until all entries are ready.
fn wait_ready(entries: &[Arc<Entry>]) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(20);
    while !entries.iter().all(|entry| entry.is_ready()) {
        if Instant::now() > end {
            return Err("an entry did not become ready".to_owned());
        }
        pause(100);
    }
    pause(4_000);
    Ok(())
}

/// The platform's balancer: asks each entry once a second, and takes it out after two
/// misses until it answers 200 again.
struct Balancer {
    entries: Vec<Arc<Entry>>,
    misses: Vec<AtomicUsize>,
}

impl Balancer {
    fn start(entries: &[Arc<Entry>], running: &Arc<AtomicBool>) -> Arc<Self> {
        let balancer = Arc::new(Self {
            entries: entries.to_vec(),
            misses: entries.iter().map(|_| AtomicUsize::new(0)).collect(),
        });
        for place in 0..entries.len() {
            let (balancer, running) = (Arc::clone(&balancer), Arc::clone(running));
            thread::spawn(move || {
                while running.load(SeqCst) {
                    if balancer.entries[place].is_ready() {
                        balancer.misses[place].store(0, SeqCst);
                    } else {
                        balancer.misses[place].fetch_add(1, SeqCst);
                    }
                    pause(1_000);
                }
            });
        }
        balancer
    }

    /// The entry for a new channel of this consumer.
    fn pick(&self, consumer: usize) -> Arc<Entry> {
        let ready: Vec<usize> = (0..self.entries.len()).filter(|place| self.misses[*place].load(SeqCst) < 2).collect();
        let of = if ready.len() * 2 < self.entries.len() { (0..self.entries.len()).collect() } else { ready };
        Arc::clone(&self.entries[of[consumer % of.len()]])
    }
}

// ---------------------------------------------------------------- consumers

/// What a consumer got for one attempt.
#[derive(Clone, Debug)]
struct Answer {
    id: String,
    /// Status, or none if the channel ended or the consumer gave up.
    status: Option<u16>,
    seal: String,
    body: String,
    complete: bool,
    sent_s: f64,
    entry: String,
}

fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("{:06x}{:08x}", COUNT.fetch_add(1, SeqCst), draw(1 << 32))
}

/// Sends one request on a channel and reads the whole answer.
fn exchange(channel: &mut Channel, entry: &str, method: &str, path: &str, more: &str, limit: Duration) -> Answer {
    let id = new_id();
    let body = if method == "POST" { "order" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    let mut answer = Answer {
        id: id.clone(),
        status: None,
        seal: String::new(),
        body: String::new(),
        complete: false,
        sent_s: now_s(),
        entry: entry.to_owned(),
    };
    note(&format!("consumer sends {id} {method} {path} to {entry}"));
    PATHS.lock().unwrap().insert(id.clone(), path.to_owned());
    let _ = channel.stream.set_read_timeout(Some(limit));
    if channel.stream.write_all(request.as_bytes()).is_ok() {
        if let Some(head) = channel.read_head() {
            answer.status = head.start.split(' ').nth(1).and_then(|text| text.parse().ok());
            answer.seal = head.header("x-bamboocross-server-seal").unwrap_or("").to_owned();
            let body = if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
                channel.read_exact(length)
            } else {
                channel.read_chunks(|_| {})
            };
            answer.complete = body.is_some();
            answer.body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
        }
    }
    note(&format!(
        "consumer gets for {id}: {} complete={} seal={}",
        answer.status.map_or("no answer".to_owned(), |status| status.to_string()),
        answer.complete,
        answer.seal
    ));
    answer
}

fn connect(entry: &Entry) -> Option<Channel> {
    let address = entry.listen.parse().ok()?;
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok().map(Channel::new)
}

/// Path of each request that was sent.
static PATHS: Mutex<BTreeMap<String, String>> = Mutex::new(BTreeMap::new());
static ANSWERS: Mutex<Vec<Answer>> = Mutex::new(Vec::new());

/// Sends a stream on a new channel; tells how it ended.
fn send_alone(balancer: &Balancer, consumer: usize, method: &str, path: &str, more: &str, limit: Duration) -> Option<Answer> {
    let entry = balancer.pick(consumer);
    let mut channel = connect(&entry)?;
    let answer = exchange(&mut channel, &entry.name, method, path, more, limit);
    ANSWERS.lock().unwrap().push(answer.clone());
    Some(answer)
}

include!("cases.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: drill CASE RECORD");
        std::process::exit(2);
    };
    let Ok(file) = File::create(record) else {
        eprintln!("cannot write {record}");
        std::process::exit(2);
    };
    let _ = RECORD.set(Record { file: Mutex::new(file), start: Instant::now() });
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    note(&format!("case {case}, trouble {trouble}"));
    thread::spawn(|| {
        // The script ends what is left.
        thread::sleep(Duration::from_secs(117));
        note("could not run: out of time");
        std::process::exit(2);
    });
    let ended = run_case(case, trouble);
    let code = match ended {
        Ok(breaks) if breaks.is_empty() => {
            note("the rule held");
            println!("{case}: the rule held");
            0
        }
        Ok(breaks) => {
            for text in &breaks {
                note(&format!("BROKEN: {text}"));
                println!("{case}: BROKEN: {text}");
            }
            1
        }
        Err(error) => {
            note(&format!("could not run: {error}"));
            println!("{case}: could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
