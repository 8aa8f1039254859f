//! Watches which version every process has in force.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use exchange::{ExchangeCall, ExchangeClient};
use futures_util::{StreamExt, stream};
use serde_json::Value;

/// Time between two looks at all processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Time within which a process shows its state.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// Processes looked at together.
const LOOKS_AT_ONCE: usize = 32;

#[derive(Debug, Default)]
struct ProcessTrack {
    version: u64,
    epoch: u64,
}

/// Time until a process had a note in force.
#[derive(Clone, Copy, Debug)]
pub struct ForceTime {
    /// Time since the operator began.
    pub seconds: f64,
    /// Version of the note.
    pub version: u64,
    /// Where the process listens.
    pub process: SocketAddr,
}

/// What was seen of all processes.
#[derive(Debug, Default)]
pub struct VersionSightings {
    processes: BTreeMap<SocketAddr, ProcessTrack>,
    accepted: BTreeMap<u64, Instant>,
    times: Vec<ForceTime>,
    /// Times that a process showed a lower version than before.
    pub reverted: u64,
    /// Longest time that a restarted process had no version.
    pub regained_s: f64,
    restarted: BTreeMap<SocketAddr, Instant>,
    woken: BTreeMap<SocketAddr, Instant>,
}

/// Looks at processes until it is stopped.
#[derive(Clone)]
pub struct VersionMonitor {
    sightings: Arc<Mutex<VersionSightings>>,
    is_stopped: Arc<AtomicBool>,
}

impl VersionMonitor {
    /// Start to look at processes.
    pub fn start(processes: Vec<SocketAddr>) -> Self {
        let monitor = Self {
            sightings: Arc::default(),
            is_stopped: Arc::default(),
        };
        let looker = monitor.clone();
        tokio::spawn(async move {
            let exchange = ExchangeClient::pooled();
            while !looker.is_stopped.load(Ordering::Relaxed) {
                looker.look(&exchange, &processes).await;
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        });
        monitor
    }

    /// A note was accepted; `asked_at` is when its operator began.
    pub fn accepted(&self, version: u64, asked_at: Instant) {
        self.lock().accepted.insert(version, asked_at);
    }

    /// A process that was paused goes on now; it can have had nothing in force
    /// meanwhile, so its times run from here.
    pub fn woken(&self, process: SocketAddr) {
        self.lock().woken.insert(process, Instant::now());
    }

    /// Whether all processes have a version in force.
    pub fn is_everywhere(&self, version: u64, processes: usize) -> bool {
        let sightings = self.lock();
        let held = sightings.processes.values();
        held.filter(|track| track.version >= version).count() >= processes
    }

    /// Stop looking; returns what was seen.
    pub fn stop(&self) -> VersionSightings {
        self.is_stopped.store(true, Ordering::Relaxed);
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VersionSightings> {
        self.sightings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn look(&self, exchange: &ExchangeClient, processes: &[SocketAddr]) {
        let looks: Vec<_> = processes
            .iter()
            .map(|&address| look_at(exchange.clone(), address))
            .collect();
        let mut looks = stream::iter(looks).buffer_unordered(LOOKS_AT_ONCE);
        while let Some(look) = looks.next().await {
            if let Some((address, state)) = look {
                self.lock().take(address, &state, Instant::now());
            }
        }
    }
}

async fn look_at(exchange: ExchangeClient, address: SocketAddr) -> Option<(SocketAddr, Value)> {
    let call = ExchangeCall::get(address, "/state").timeout(LOOK_TIMEOUT);
    let state: Value = exchange.send(call).await.ok()?.json().ok()?;
    Some((address, state))
}

impl VersionSightings {
    fn take(&mut self, address: SocketAddr, state: &Value, now: Instant) {
        let version = state["note_version"].as_u64().unwrap_or(0);
        let epoch = state["epoch"].as_u64().unwrap_or(0);
        let track = self.processes.entry(address).or_default();
        if track.epoch != epoch && track.epoch != 0 {
            self.restarted.insert(address, now);
        }
        track.epoch = epoch;
        // A restarted process has no version until it has learnt one.
        if version < track.version {
            let is_learning = version == 0 && self.restarted.contains_key(&address);
            self.reverted += u64::from(!is_learning);
            return;
        }
        if let Some(since) = self.restarted.remove(&address) {
            self.regained_s = self.regained_s.max((now - since).as_secs_f64());
        }
        if version == track.version {
            return;
        }
        let risen = self.accepted.range(track.version + 1..=version);
        let woken_at = self.woken.get(&address);
        let times = risen.map(|(&version, asked_at)| {
            let since = woken_at.map_or(*asked_at, |woken_at| *woken_at.max(asked_at));
            ForceTime {
                seconds: (now - since).as_secs_f64(),
                version,
                process: address,
            }
        });
        self.times.extend(times);
        track.version = version;
    }

    /// Times until in force at each process, shortest first.
    pub fn times(&self) -> Vec<ForceTime> {
        let mut times = self.times.clone();
        times.sort_by(|one, other| one.seconds.total_cmp(&other.seconds));
        times
    }

    /// Pairs of process and accepted note that never came together.
    pub fn missing(&self) -> usize {
        let newest = self.accepted.keys().next_back().copied().unwrap_or(0);
        let tracks = self.processes.values();
        tracks.filter(|track| track.version < newest).count()
    }
}
