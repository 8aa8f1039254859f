//! One server with what this process knows of its load and health.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use tokio::time::Instant;

use super::{ServerRecord, registry_fold::BORN_UNKNOWN};
use crate::kv_placement::LoadReport;

/// Counts that requests write; they outlive a change of the registration.
#[derive(Debug)]
pub struct ServerLoad {
    start: Instant,
    running: AtomicU32,
    prompt_tokens: AtomicU64,
    kv_tokens: AtomicU64,
    suspect_until: AtomicU64,
    failed_at: AtomicU64,
    life_sign: AtomicU64,
    misdirected: AtomicBool,
    watched: AtomicBool,
    failures: AtomicU32,
    reported: AtomicU64,
    reported_at: AtomicU64,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            running: AtomicU32::new(0),
            prompt_tokens: AtomicU64::new(0),
            kv_tokens: AtomicU64::new(0),
            suspect_until: AtomicU64::new(0),
            failed_at: AtomicU64::new(0),
            life_sign: AtomicU64::new(0),
            misdirected: AtomicBool::new(false),
            watched: AtomicBool::new(false),
            failures: AtomicU32::new(0),
            reported: AtomicU64::new(0),
            reported_at: AtomicU64::new(0),
        }
    }
}

/// One lifetime of a server.
#[derive(Debug)]
pub struct ServerSlot {
    record: ServerRecord,
    load: Arc<ServerLoad>,
}

/// What a piece of work takes of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Requests that run: 1, or 0 for a copy of memory.
    pub runs: u32,
    /// Tokens of the prompt that are still to be read.
    pub prompt_tokens: u64,
    /// Tokens of memory.
    pub kv_tokens: u64,
}

impl ServerSlot {
    /// A server of which nothing is known yet.
    pub fn new(record: ServerRecord) -> Self {
        Self {
            record,
            load: Arc::default(),
        }
    }

    /// The same lifetime with a newer registration.
    pub(super) fn updated(&self, record: ServerRecord) -> Self {
        Self {
            record,
            load: Arc::clone(&self.load),
        }
    }

    /// Whether a registration is of the same lifetime, as far as it is known.
    pub(super) fn is_same_life(&self, record: &ServerRecord) -> bool {
        let births = [self.record.born_ms, record.born_ms];
        self.record.address == record.address
            && self.record.service == record.service
            && (births[0] == births[1] || births.contains(&BORN_UNKNOWN))
    }

    /// The registration.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// Requests of this process that run there.
    pub fn running(&self) -> u32 {
        self.load.running.load(Relaxed)
    }

    /// Tokens of prompts of this process that are still to be read there.
    pub fn prompt_tokens(&self) -> u64 {
        self.load.prompt_tokens.load(Relaxed)
    }

    /// Tokens of memory that this process uses there.
    pub fn kv_tokens(&self) -> u64 {
        self.load.kv_tokens.load(Relaxed)
    }

    /// Take a server's room for a piece of work until the guard is dropped.
    pub fn begin(&self, size: WorkSize) -> WorkGuard {
        self.load.running.fetch_add(size.runs, Relaxed);
        self.load
            .prompt_tokens
            .fetch_add(size.prompt_tokens, Relaxed);
        self.load.kv_tokens.fetch_add(size.kv_tokens, Relaxed);
        WorkGuard {
            load: Arc::clone(&self.load),
            size,
        }
    }

    /// Note a sign of life.
    pub fn note_life(&self, now: Instant) {
        self.load.life_sign.store(self.millis(now).max(1), Relaxed);
        self.load.suspect_until.store(0, Relaxed);
    }

    /// Note an answer, which also ends a run of failures.
    pub fn note_answer(&self, now: Instant) {
        self.note_life(now);
        self.load.failures.store(0, Relaxed);
    }

    /// Note a failure; the server is then avoided for a time that doubles with
    /// each failure in a row.
    pub fn note_failure(&self, now: Instant, base: Duration) {
        let failures = self.load.failures.fetch_add(1, Relaxed).min(3);
        self.load.failed_at.store(self.millis(now).max(1), Relaxed);
        let until = self.millis(now + base * (1 << failures));
        self.load.suspect_until.fetch_max(until, Relaxed);
    }

    /// Begin to watch for the server's return; tells whether nobody did yet.
    pub fn begin_watch(&self) -> bool {
        !self.load.watched.swap(true, Relaxed)
    }

    /// End the watch.
    pub fn end_watch(&self) {
        self.load.watched.store(false, Relaxed);
    }

    /// Note that another server holds the address.
    pub fn note_misdirected(&self) {
        self.load.misdirected.store(true, Relaxed);
    }

    /// Whether the address belongs to another server.
    pub fn is_misdirected(&self) -> bool {
        self.load.misdirected.load(Relaxed)
    }

    /// Whether the server has failed lately.
    pub fn is_suspect(&self, now: Instant) -> bool {
        // Most never failed; reading no clock for them keeps choices short.
        let until = self.load.suspect_until.load(Relaxed);
        until != 0 && until > self.millis(now)
    }

    /// Whether the server failed within `window` and gave no sign of life since.
    pub fn is_failing(&self, window: Duration, now: Instant) -> bool {
        let failed = self.load.failed_at.load(Relaxed);
        failed > self.load.life_sign.load(Relaxed)
            && self.millis(now).saturating_sub(failed) < millis(window)
    }

    /// Whether the server gave a sign of life within `window`.
    pub fn is_alive(&self, window: Duration, now: Instant) -> bool {
        self.silence(now) < window
    }

    /// Time since the last sign of life, on any connection of this process;
    /// without end if there was none.
    pub fn silence(&self, now: Instant) -> Duration {
        match self.load.life_sign.load(Relaxed) {
            0 => Duration::MAX,
            sign => Duration::from_millis(self.millis(now).saturating_sub(sign)),
        }
    }

    /// Keep the load that the server reported.
    pub fn note_report(&self, report: LoadReport, now: Instant) {
        let waiting = u64::from(report.waiting.min(u32::from(u16::MAX)));
        let running = u64::from(report.running.min(u32::from(u16::MAX)));
        let pace = u64::from(report.service_time_percent.min(u32::from(u16::MAX)));
        self.load
            .reported
            .store(running << 32 | waiting << 16 | pace, Relaxed);
        self.load.reported_at.store(self.millis(now), Relaxed);
    }

    /// The load last reported and its age.
    pub fn report(&self, now: Instant) -> Option<(LoadReport, Duration)> {
        let packed = self.load.reported.load(Relaxed);
        if packed == 0 {
            return None;
        }
        let part = |shift: u32| u32::from((packed >> shift) as u16);
        let age = self
            .millis(now)
            .saturating_sub(self.load.reported_at.load(Relaxed));
        let report = LoadReport {
            running: part(32),
            waiting: part(16),
            slots: self.record.slots,
            service_time_percent: part(0),
        };
        Some((report, Duration::from_millis(age)))
    }

    fn millis(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.load.start))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Room taken at a server; given back when dropped.
#[derive(Debug)]
pub struct WorkGuard {
    load: Arc<ServerLoad>,
    size: WorkSize,
}

impl WorkGuard {
    /// The prompt has been read.
    pub fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.size.prompt_tokens);
        self.load.prompt_tokens.fetch_sub(tokens, Relaxed);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.load.running.fetch_sub(self.size.runs, Relaxed);
        self.load
            .prompt_tokens
            .fetch_sub(self.size.prompt_tokens, Relaxed);
        self.load.kv_tokens.fetch_sub(self.size.kv_tokens, Relaxed);
    }
}
