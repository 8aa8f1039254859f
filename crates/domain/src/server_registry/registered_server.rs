//! One server with what this process knows of its load and health.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use tokio::time::Instant;

use super::{ServerRecord, registry_fold::START_UNKNOWN};
use crate::kv_placement::LoadReport;

/// Counts that requests write; they outlive a change of the registration.
#[derive(Debug)]
pub struct ServerStats {
    created_at: Instant,
    running: AtomicU32,
    prompt_tokens: AtomicU64,
    kv_tokens: AtomicU64,
    suspect_until_ms: AtomicU64,
    last_failure_ms: AtomicU64,
    last_activity_ms: AtomicU64,
    is_misdirected: AtomicBool,
    is_watched: AtomicBool,
    consecutive_failures: AtomicU32,
    packed_report: AtomicU64,
    reported_at_ms: AtomicU64,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            created_at: Instant::now(),
            running: AtomicU32::new(0),
            prompt_tokens: AtomicU64::new(0),
            kv_tokens: AtomicU64::new(0),
            suspect_until_ms: AtomicU64::new(0),
            last_failure_ms: AtomicU64::new(0),
            last_activity_ms: AtomicU64::new(0),
            is_misdirected: AtomicBool::new(false),
            is_watched: AtomicBool::new(false),
            consecutive_failures: AtomicU32::new(0),
            packed_report: AtomicU64::new(0),
            reported_at_ms: AtomicU64::new(0),
        }
    }
}

/// One lifetime of a server.
#[derive(Debug)]
pub struct RegisteredServer {
    record: ServerRecord,
    stats: Arc<ServerStats>,
}

/// What a piece of work takes of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Requests that run: 1, or 0 for a copy of memory.
    pub requests: u32,
    /// Tokens of the prompt that are still to be read.
    pub prompt_tokens: u64,
    /// Tokens of memory.
    pub kv_tokens: u64,
}

impl RegisteredServer {
    /// A server of which nothing is known yet.
    pub fn new(record: ServerRecord) -> Self {
        Self {
            record,
            stats: Arc::default(),
        }
    }

    /// The same lifetime with a newer registration.
    pub(super) fn updated(&self, record: ServerRecord) -> Self {
        Self {
            record,
            stats: Arc::clone(&self.stats),
        }
    }

    /// Whether a registration is of the same lifetime, as far as it is known.
    pub(super) fn is_same_instance(&self, record: &ServerRecord) -> bool {
        let starts = [self.record.started_ms, record.started_ms];
        self.record.address == record.address
            && self.record.service == record.service
            && (starts[0] == starts[1] || starts.contains(&START_UNKNOWN))
    }

    /// The registration.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// Requests of this process that run there.
    pub fn running(&self) -> u32 {
        self.stats.running.load(Relaxed)
    }

    /// Tokens of prompts of this process that are still to be read there.
    pub fn prompt_tokens(&self) -> u64 {
        self.stats.prompt_tokens.load(Relaxed)
    }

    /// Tokens of memory that this process uses there.
    pub fn kv_tokens(&self) -> u64 {
        self.stats.kv_tokens.load(Relaxed)
    }

    /// Take a server's room for a piece of work until the guard is dropped.
    pub fn reserve(&self, size: WorkSize) -> WorkGuard {
        self.stats.running.fetch_add(size.requests, Relaxed);
        self.stats
            .prompt_tokens
            .fetch_add(size.prompt_tokens, Relaxed);
        self.stats.kv_tokens.fetch_add(size.kv_tokens, Relaxed);
        WorkGuard {
            stats: Arc::clone(&self.stats),
            size,
        }
    }

    /// Note a sign of life.
    pub fn note_activity(&self, now: Instant) {
        self.stats
            .last_activity_ms
            .store(self.millis(now).max(1), Relaxed);
        self.stats.suspect_until_ms.store(0, Relaxed);
    }

    /// Note an answer, which also ends a run of failures.
    pub fn note_response(&self, now: Instant) {
        self.note_activity(now);
        self.stats.consecutive_failures.store(0, Relaxed);
    }

    /// Note a failure; the server is then avoided for a time that doubles with
    /// each failure in a row.
    pub fn note_failure(&self, now: Instant, base: Duration) {
        let failures = self.stats.consecutive_failures.fetch_add(1, Relaxed).min(3);
        self.stats
            .last_failure_ms
            .store(self.millis(now).max(1), Relaxed);
        let until = self.millis(now + base * (1 << failures));
        self.stats.suspect_until_ms.fetch_max(until, Relaxed);
    }

    /// Begin to watch for the server's return; tells whether nobody did yet.
    pub fn begin_watch(&self) -> bool {
        !self.stats.is_watched.swap(true, Relaxed)
    }

    /// End the watch.
    pub fn end_watch(&self) {
        self.stats.is_watched.store(false, Relaxed);
    }

    /// Note that another server holds the address.
    pub fn note_misdirected(&self) {
        self.stats.is_misdirected.store(true, Relaxed);
    }

    /// Whether the address belongs to another server.
    pub fn is_misdirected(&self) -> bool {
        self.stats.is_misdirected.load(Relaxed)
    }

    /// Whether the server has failed lately.
    pub fn is_suspect(&self, now: Instant) -> bool {
        // Most never failed; reading no clock for them keeps choices short.
        let until = self.stats.suspect_until_ms.load(Relaxed);
        until != 0 && until > self.millis(now)
    }

    /// Whether the server failed within `window` and gave no sign of life since.
    pub fn is_failing(&self, window: Duration, now: Instant) -> bool {
        let failed = self.stats.last_failure_ms.load(Relaxed);
        failed > self.stats.last_activity_ms.load(Relaxed)
            && self.millis(now).saturating_sub(failed) < millis(window)
    }

    /// Whether the server gave a sign of life within `window`.
    pub fn is_alive(&self, window: Duration, now: Instant) -> bool {
        self.silence(now) < window
    }

    /// Time since the last sign of life, on any connection of this process;
    /// without end if there was none.
    pub fn silence(&self, now: Instant) -> Duration {
        match self.stats.last_activity_ms.load(Relaxed) {
            0 => Duration::MAX,
            last_activity => Duration::from_millis(self.millis(now).saturating_sub(last_activity)),
        }
    }

    /// Keep the load that the server reported.
    pub fn note_report(&self, report: LoadReport, now: Instant) {
        let waiting = u64::from(report.waiting.min(u32::from(u16::MAX)));
        let running = u64::from(report.running.min(u32::from(u16::MAX)));
        let pace = u64::from(report.service_time_percent.min(u32::from(u16::MAX)));
        self.stats
            .packed_report
            .store(running << 32 | waiting << 16 | pace, Relaxed);
        self.stats.reported_at_ms.store(self.millis(now), Relaxed);
    }

    /// The load last reported and its age.
    pub fn report(&self, now: Instant) -> Option<(LoadReport, Duration)> {
        let packed = self.stats.packed_report.load(Relaxed);
        if packed == 0 {
            return None;
        }
        let part = |shift: u32| u32::from((packed >> shift) as u16);
        let age = self
            .millis(now)
            .saturating_sub(self.stats.reported_at_ms.load(Relaxed));
        let report = LoadReport {
            running: part(32),
            waiting: part(16),
            slots: self.record.slots,
            service_time_percent: part(0),
        };
        Some((report, Duration::from_millis(age)))
    }

    fn millis(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.stats.created_at))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Room taken at a server; given back when dropped.
#[derive(Debug)]
pub struct WorkGuard {
    stats: Arc<ServerStats>,
    size: WorkSize,
}

impl WorkGuard {
    /// The prompt has been read.
    pub fn finish_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.size.prompt_tokens);
        self.stats.prompt_tokens.fetch_sub(tokens, Relaxed);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.stats.running.fetch_sub(self.size.requests, Relaxed);
        self.stats
            .prompt_tokens
            .fetch_sub(self.size.prompt_tokens, Relaxed);
        self.stats.kv_tokens.fetch_sub(self.size.kv_tokens, Relaxed);
    }
}
