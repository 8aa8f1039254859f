//! Stand-in of a worker of a plain service.

use std::{
    collections::HashMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Channel, Message},
    record::Record,
    store::{Mode, Store},
};

/// Time between two check-ins (`heartbeat-ms` of the site).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A request that reached the worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub has_run: bool,
}

/// What a worker says of itself in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub service: String,
    pub zone: String,
    pub state: &'static str,
    /// Unix milliseconds of its start, by the clock of its machine.
    pub born: u128,
}

/// How a worker starts.
pub struct Start {
    /// Time that a request takes.
    pub work: Duration,
    /// Address of its earlier lifetime, if it starts again there.
    pub address: Option<SocketAddr>,
    /// How far the time of day of its machine is ahead.
    pub clock_ahead_ms: u128,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub entry: Arc<Mutex<Entry>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Whether it writes to the store.
    beats: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    channels: Arc<Mutex<HashMap<u64, TcpStream>>>,
    /// Time that a request takes.
    pub work: Duration,
    seq: Arc<AtomicU64>,
    store: Store,
    record: Record,
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let start = Start {
            work: Duration::from_millis(15),
            address: None,
            clock_ahead_ms: 0,
        };
        Self::start_with(id, service, zone, start, (store, record))
    }

    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        start: Start,
        (store, record): (&Store, &Record),
    ) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(start.address.unwrap_or(any))?;
        listener.set_nonblocking(true)?;
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            entry: Arc::new(Mutex::new(Entry {
                service: service.to_owned(),
                zone: zone.to_owned(),
                state: "ready",
                born: unix_ms() + start.clock_ahead_ms,
            })),
            arrivals: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            has_ended: Arc::default(),
            channels: Arc::default(),
            work: start.work,
            seq: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        record.line(&format!(
            "worker {id} starts at {} for {service}",
            worker.address
        ));
        let shared = worker.clone();
        thread::spawn(move || {
            let mut number = 0;
            // The listener closes when the worker has ended.
            while !shared.has_ended.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if stream.set_nonblocking(false).is_err() {
                    continue;
                }
                number += 1;
                if let Ok(copy) = stream.try_clone() {
                    shared.channels.lock().unwrap().insert(number, copy);
                }
                let worker = shared.clone();
                thread::spawn(move || {
                    let channels = Arc::clone(&worker.channels);
                    worker.serve(Channel::new(stream));
                    channels.lock().unwrap().remove(&number);
                });
            }
        });
        worker.check_in();
        let shared = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if shared.beats.load(SeqCst) {
                    shared.check_in();
                }
            }
        });
        Ok(worker)
    }

    /// Writes its entry, as a check-in does, and returns its version. A store that is down
    /// takes none.
    pub fn check_in(&self) -> u64 {
        if self.store.mode() != Mode::Serving {
            return 0;
        }
        let value = self.value();
        self.store
            .write("servers", &self.id, Some(value.into_bytes()))
    }

    fn value(&self) -> String {
        let seq = self.seq.fetch_add(1, SeqCst) + 1;
        let Entry {
            service,
            zone,
            state,
            born,
        } = self.entry.lock().unwrap().clone();
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{born}}}",
            self.address
        )
    }

    /// Leaves without reporting `draining`: its entry goes, and it serves on. Returns the
    /// version of the removal.
    pub fn leave_silently(&self) -> u64 {
        self.beats.store(false, SeqCst);
        self.record.line(&format!(
            "worker {} leaves: its entry is removed, it serves on",
            self.id
        ));
        self.store.write("servers", &self.id, None)
    }

    /// Reports `draining` and serves on. Returns the version of its entry.
    pub fn drain(&self) -> u64 {
        self.record.line(&format!(
            "worker {} reports draining, it serves on",
            self.id
        ));
        self.entry.lock().unwrap().state = "draining";
        self.check_in()
    }

    /// Exits: its channels end, and nothing listens at its address.
    pub fn end(&self) {
        self.beats.store(false, SeqCst);
        self.has_ended.store(true, SeqCst);
        for channel in self.channels.lock().unwrap().values() {
            channel.shutdown(Shutdown::Both).ok();
        }
        self.record.line(&format!("worker {} exits", self.id));
    }

    /// Stops checking in.
    pub fn hold(&self) {
        self.beats.store(false, SeqCst);
    }

    /// Its entry is removed after its silence.
    pub fn lapse(&self) {
        self.store.write("servers", &self.id, None);
    }

    /// Checks in again, now and from now on.
    pub fn resume(&self) {
        self.check_in();
        self.beats.store(true, SeqCst);
    }

    pub fn arrivals_after(&self, from: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|arrival| arrival.at > from && arrival.has_run)
            .cloned()
            .collect()
    }

    fn serve(self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.message() {
            let answer = self.answer(&request);
            if channel.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let at = Instant::now();
        let (_, target) = request.target();
        if target == "/healthz" {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Bamboocross-Instance: {}\r\nX-Bamboocross-Load: 0,0,6\r\ncontent-length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        let id = request
            .header("x-bamboocross-request-id")
            .unwrap_or("")
            .to_owned();
        let is_meant = request
            .header("x-bamboocross-target-instance")
            .is_none_or(|name| name == self.id);
        self.arrivals.lock().unwrap().push(Arrival {
            at,
            id: id.clone(),
            has_run: is_meant,
        });
        let verb = if is_meant { "runs" } else { "rejects (421)" };
        self.record.line(&format!("worker {} {verb} {id}", self.id));
        if !is_meant {
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Not-Run: 1\r\n\
                 X-Bamboocross-Instance: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        thread::sleep(self.work);
        let body = format!("{:800}", format!("{id} by {}", self.id));
        format!(
            "HTTP/1.1 200 OK\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Server-Seal: {}.{id}\r\n\
             X-Bamboocross-Load: 1,0,6\r\nKeep-Alive: timeout=15\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }
}
