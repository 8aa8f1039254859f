//! One server instance, with its load and health as seen by this process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use tokio::time::Instant;

use super::{ServerRecord, registry_state::STARTED_MS_UNKNOWN};
use crate::{
    boot_instant::BootInstant,
    kv_placement::{LoadReport, ServerSpeed},
    rate_limit::{RateGate, RateLimit},
};

/// Longest pause that a server is granted; a longer one is shortened to it.
pub const PAUSE_MAX: Duration = Duration::from_secs(600);

/// Counters and timestamps of one instance, updated by requests. They are shared
/// by all versions of its registration. Times are in milliseconds since
/// `created_at`, except `proven_running_ms`, which is a [`BootInstant`]; 0 stands
/// for never.
///
/// Each is read and written by itself, and no other memory is published through
/// it, so relaxed ordering suffices on every processor.
#[derive(Debug)]
pub struct ServerStats {
    created_at: Instant,
    own_running: AtomicU32,
    prompts: AtomicU32,
    call_us: AtomicU64,
    prompt_tokens: AtomicU64,
    kv_tokens: AtomicU64,
    suspect_until_ms: AtomicU64,
    last_failure_ms: AtomicU64,
    last_activity_ms: AtomicU64,
    proven_running_ms: AtomicU64,
    is_superseded: AtomicBool,
    is_leaving: AtomicBool,
    paused_until_ms: AtomicU64,
    is_watched: AtomicBool,
    consecutive_failures: AtomicU32,
    packed_report: AtomicU64,
    reported_at_ms: AtomicU64,
    rate_gate: RateGate,
}

impl Default for ServerStats {
    fn default() -> Self {
        let created_at = Instant::now();
        Self {
            created_at,
            own_running: AtomicU32::new(0),
            prompts: AtomicU32::new(0),
            call_us: AtomicU64::new(0),
            prompt_tokens: AtomicU64::new(0),
            kv_tokens: AtomicU64::new(0),
            suspect_until_ms: AtomicU64::new(0),
            last_failure_ms: AtomicU64::new(0),
            last_activity_ms: AtomicU64::new(0),
            proven_running_ms: AtomicU64::new(0),
            is_superseded: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            paused_until_ms: AtomicU64::new(0),
            is_watched: AtomicBool::new(false),
            consecutive_failures: AtomicU32::new(0),
            packed_report: AtomicU64::new(0),
            reported_at_ms: AtomicU64::new(0),
            rate_gate: RateGate::new(created_at),
        }
    }
}

/// What a server says about itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// The server is leaving: it is to get no new requests.
    pub is_leaving: bool,
    /// Time for which the server wants nothing from this process.
    pub pause: Option<Duration>,
    /// Rate that it takes from all processes together.
    pub rate_limit: Option<RateLimit>,
}

/// Why nothing may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlock {
    /// Another instance holds its address.
    Superseded,
    /// It announced that it is leaving.
    Leaving,
    /// It asked for a pause, until this time.
    Paused(Instant),
    /// This process's part of the rate that it named is spent until this time.
    Limited(Instant),
}

/// One registered instance of a server.
#[derive(Debug)]
pub struct RegisteredServer {
    record: ServerRecord,
    stats: Arc<ServerStats>,
    /// Speed of the VM, which outlives the instance.
    speed: Arc<ServerSpeed>,
}

/// Capacity that a request, or a copy of its KV cache, occupies on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Running requests: 1, or 0 for a copy of a KV cache.
    pub requests: u32,
    /// Prompt tokens that still have to be prefilled.
    pub prompt_tokens: u64,
    /// KV cache space in tokens.
    pub kv_tokens: u64,
    /// Expected time of a call to a plain service, in microseconds.
    pub call_us: u64,
}

impl WorkSize {
    /// Prompts that still have to be prefilled.
    fn prompts(self) -> u32 {
        u32::from(self.prompt_tokens > 0)
    }
}

impl RegisteredServer {
    /// Creates an instance without load or health data.
    pub fn new(record: ServerRecord) -> Self {
        Self::with_speed(record, Arc::new(ServerSpeed::new(Instant::now())))
    }

    /// Creates an instance at an address whose speed may be known.
    pub(super) fn with_speed(record: ServerRecord, speed: Arc<ServerSpeed>) -> Self {
        Self {
            record,
            stats: Arc::default(),
            speed,
        }
    }

    /// The same instance with a newer registration.
    pub(super) fn updated(&self, record: ServerRecord) -> Self {
        Self {
            record,
            stats: Arc::clone(&self.stats),
            speed: Arc::clone(&self.speed),
        }
    }

    /// Learned speed of the VM that the server runs on.
    pub fn speed(&self) -> &Arc<ServerSpeed> {
        &self.speed
    }

    /// Whether `record`, which has the same instance name, describes the same run of
    /// the process. An unknown start time matches any other.
    pub(super) fn is_same_instance(&self, record: &ServerRecord) -> bool {
        let starts = [self.record.started_ms, record.started_ms];
        self.record.address == record.address
            && self.record.service == record.service
            && (starts[0] == starts[1] || starts.contains(&STARTED_MS_UNKNOWN))
    }

    /// The latest registration.
    pub fn record(&self) -> &ServerRecord {
        &self.record
    }

    /// Requests of this process that run on the server. The server's own count, for
    /// all processes, is in [`LoadReport`].
    pub fn running(&self) -> u32 {
        self.stats.own_running.load(Relaxed)
    }

    /// Prompt tokens of this process's requests that the server still has to
    /// prefill.
    pub fn prompt_tokens(&self) -> u64 {
        self.stats.prompt_tokens.load(Relaxed)
    }

    /// Requests of this process whose prompt the server still has to prefill.
    pub fn prompts(&self) -> u32 {
        self.stats.prompts.load(Relaxed)
    }

    /// Expected time of this process's calls in flight there, in microseconds.
    pub fn call_us(&self) -> u64 {
        self.stats.call_us.load(Relaxed)
    }

    /// KV cache space, in tokens, occupied by this process's requests and copies.
    pub fn kv_tokens(&self) -> u64 {
        self.stats.kv_tokens.load(Relaxed)
    }

    /// Counts `size` as occupied on the server until the guard is dropped.
    pub fn reserve(&self, size: WorkSize) -> WorkGuard {
        self.stats.own_running.fetch_add(size.requests, Relaxed);
        self.stats
            .prompt_tokens
            .fetch_add(size.prompt_tokens, Relaxed);
        self.stats.prompts.fetch_add(size.prompts(), Relaxed);
        self.stats.call_us.fetch_add(size.call_us, Relaxed);
        self.stats.kv_tokens.fetch_add(size.kv_tokens, Relaxed);
        WorkGuard {
            stats: Arc::clone(&self.stats),
            size,
        }
    }

    /// Records that the server was heard from, which clears its suspect state. What was
    /// read may have been sent long before, so this proves nothing; see
    /// [`note_answer_to`](Self::note_answer_to).
    pub fn note_activity(&self, now: Instant) {
        self.stats
            .last_activity_ms
            .store(self.elapsed_ms(now).max(1), Relaxed);
        self.stats.suspect_until_ms.store(0, Relaxed);
    }

    /// Records that the server answered what it was asked at `asked_at`, so that it was
    /// running then. When the answer was read does not matter.
    pub fn note_answer_to(&self, asked_at: BootInstant) {
        self.stats
            .proven_running_ms
            .fetch_max(asked_at.as_millis().max(1), Relaxed);
    }

    /// Whether the server was proved to be running within `window` before `now`.
    pub fn is_proven_running(&self, window: Duration, now: BootInstant) -> bool {
        let proven = self.stats.proven_running_ms.load(Relaxed);
        proven > 0 && now.as_millis().saturating_sub(proven) < millis(window)
    }

    /// Records a successful response, which also resets the failure count.
    pub fn note_response(&self, now: Instant) {
        self.note_activity(now);
        self.stats.consecutive_failures.store(0, Relaxed);
    }

    /// Records a failure. The server is then suspect for a time that starts at
    /// `base` and doubles with each consecutive failure, up to eight times `base`.
    pub fn note_failure(&self, now: Instant, base: Duration) {
        let failures = self.stats.consecutive_failures.fetch_add(1, Relaxed).min(3);
        self.stats
            .last_failure_ms
            .store(self.elapsed_ms(now).max(1), Relaxed);
        let until = self.elapsed_ms(now + base * (1 << failures));
        self.stats.suspect_until_ms.fetch_max(until, Relaxed);
    }

    /// Claims the task that queries the server's address, after requests to it
    /// failed, until an instance answers there. Returns false if another task has
    /// claimed it.
    pub fn begin_watch(&self) -> bool {
        !self.stats.is_watched.swap(true, Relaxed)
    }

    /// Releases the claim of [`begin_watch`](Self::begin_watch).
    pub fn end_watch(&self) {
        self.stats.is_watched.store(false, Relaxed);
    }

    /// Records what the server said about itself in an answer. Returns whether it
    /// was not known to be leaving before.
    pub fn note_notice(&self, notice: ServerNotice, now: Instant) -> bool {
        if let Some(pause) = notice.pause {
            let until = self.elapsed_ms(now + pause.min(PAUSE_MAX));
            self.stats.paused_until_ms.fetch_max(until, Relaxed);
        }
        notice.is_leaving && !self.stats.is_leaving.swap(true, Relaxed)
    }

    /// Whether the server announced that it is leaving. This is final for the
    /// instance.
    pub fn is_leaving(&self) -> bool {
        self.stats.is_leaving.load(Relaxed)
    }

    /// End of the pause that the server asked for; `None` if nothing keeps this
    /// process from sending to it.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        let until = self.stats.paused_until_ms.load(Relaxed);
        if until == 0 {
            return None;
        }
        let end = self.stats.created_at + Duration::from_millis(until);
        (end > now).then_some(end)
    }

    /// What keeps this process from sending to the server.
    pub fn send_block(&self, now: Instant) -> Option<SendBlock> {
        if self.is_leaving() {
            return Some(SendBlock::Leaving);
        }
        if let Some(end) = self.paused_until(now) {
            return Some(SendBlock::Paused(end));
        }
        if self.is_superseded() {
            return Some(SendBlock::Superseded);
        }
        let closed_until = self.stats.rate_gate.closed_until(now);
        closed_until.map(SendBlock::Limited)
    }

    /// Whether new work may be sent to the server.
    pub fn is_available(&self, now: Instant) -> bool {
        self.send_block(now).is_none()
    }

    /// Whether the server may be given a copy of a KV cache, and the stream that goes on
    /// from it. Limits concern new requests.
    pub fn may_hold_copy(&self, now: Instant) -> bool {
        matches!(self.send_block(now), None | Some(SendBlock::Limited(_)))
    }

    /// Takes one send to the server from this process's part of the rate that it
    /// named. Returns whether it may be sent.
    pub fn take_send(&self, now: Instant) -> bool {
        self.stats.rate_gate.try_take(now)
    }

    /// This process's sends to the server, if it names a limit.
    pub fn rate_gate(&self) -> &RateGate {
        &self.stats.rate_gate
    }

    /// Records that another instance holds the address.
    pub fn note_superseded(&self) {
        self.stats.is_superseded.store(true, Relaxed);
    }

    /// Whether another instance was found to hold the address.
    pub fn is_superseded(&self) -> bool {
        self.stats.is_superseded.load(Relaxed)
    }

    /// Whether the server is to be avoided because of recent failures.
    pub fn is_suspect(&self, now: Instant) -> bool {
        // Most servers have never failed; the check for 0 saves them the
        // computation of the elapsed time, which keeps server selection fast.
        let until = self.stats.suspect_until_ms.load(Relaxed);
        until != 0 && until > self.elapsed_ms(now)
    }

    /// Whether the server failed within `window` and was not heard from since.
    pub fn is_failing(&self, window: Duration, now: Instant) -> bool {
        let failed = self.stats.last_failure_ms.load(Relaxed);
        failed > self.stats.last_activity_ms.load(Relaxed)
            && self.elapsed_ms(now).saturating_sub(failed) < millis(window)
    }

    /// Whether the last failure of the server was seen at `since` or later.
    pub fn has_failed_since(&self, since: Instant) -> bool {
        let failed = self.stats.last_failure_ms.load(Relaxed);
        failed != 0 && failed >= self.elapsed_ms(since)
    }

    /// Whether the server was heard from within `window`.
    pub fn is_alive(&self, window: Duration, now: Instant) -> bool {
        self.silence(now) < window
    }

    /// Time since the server was last heard from on any connection of this
    /// process; [`Duration::MAX`] if it never was.
    fn silence(&self, now: Instant) -> Duration {
        match self.stats.last_activity_ms.load(Relaxed) {
            0 => Duration::MAX,
            last_activity => {
                Duration::from_millis(self.elapsed_ms(now).saturating_sub(last_activity))
            }
        }
    }

    /// Stores the load that the server reported. The values are packed into one
    /// word, 16 bits each; a report with all values 0 counts as none.
    pub fn note_report(&self, report: LoadReport, now: Instant) {
        let waiting = u64::from(report.waiting.min(u32::from(u16::MAX)));
        let running = u64::from(report.running.min(u32::from(u16::MAX)));
        self.speed.note_service_time(report.service_time_percent);
        let service_time = u64::from(report.service_time_percent.min(u32::from(u16::MAX)));
        self.stats
            .packed_report
            .store(running << 32 | waiting << 16 | service_time, Relaxed);
        self.stats
            .reported_at_ms
            .store(self.elapsed_ms(now), Relaxed);
    }

    /// The last reported load and its age.
    pub fn report(&self, now: Instant) -> Option<(LoadReport, Duration)> {
        let packed = self.stats.packed_report.load(Relaxed);
        if packed == 0 {
            return None;
        }
        let part = |shift: u32| u32::from((packed >> shift) as u16);
        let age = self
            .elapsed_ms(now)
            .saturating_sub(self.stats.reported_at_ms.load(Relaxed));
        let report = LoadReport {
            running: part(32),
            waiting: part(16),
            slots: self.record.slots,
            service_time_percent: part(0),
        };
        Some((report, Duration::from_millis(age)))
    }

    fn elapsed_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.stats.created_at))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Capacity occupied on a server; released when dropped.
#[derive(Debug)]
pub struct WorkGuard {
    stats: Arc<ServerStats>,
    size: WorkSize,
}

impl WorkGuard {
    /// Releases the reserved prompt tokens once the prompt has been prefilled.
    pub fn finish_prefill(&mut self) {
        self.stats.prompts.fetch_sub(self.size.prompts(), Relaxed);
        let tokens = std::mem::take(&mut self.size.prompt_tokens);
        self.stats.prompt_tokens.fetch_sub(tokens, Relaxed);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.stats
            .own_running
            .fetch_sub(self.size.requests, Relaxed);
        self.stats.prompts.fetch_sub(self.size.prompts(), Relaxed);
        self.stats
            .prompt_tokens
            .fetch_sub(self.size.prompt_tokens, Relaxed);
        self.stats.kv_tokens.fetch_sub(self.size.kv_tokens, Relaxed);
        self.stats.call_us.fetch_sub(self.size.call_us, Relaxed);
    }
}
