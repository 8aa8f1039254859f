//! Metrics of an entry.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use telemetry::MetricSet;

/// Metrics, registered once.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// All of them, for rendering.
    pub set: MetricSet,
    /// Requests by class.
    pub requests: IntCounterVec,
    /// Requests refused before anything was dispatched, by reason.
    pub refusals: IntCounterVec,
    /// Tokens passed on to callers.
    pub tokens: IntCounter,
    /// Tokens dropped as repeated or of a superseded attempt.
    pub tokens_dropped: IntCounter,
    /// New connections to the same server after silence.
    pub reconnects: IntCounter,
    /// Generations moved to another server.
    pub resumes: IntCounter,
    /// Generations moved for being far slower than their peers.
    pub moves: IntCounter,
    /// Time from the last token before a loss to the first after it.
    pub resume_seconds: Histogram,
    /// Generations by how they ended.
    pub generations_ended: IntCounterVec,
    /// Time until the first token.
    pub first_token_seconds: Histogram,
    /// Calls to plain services by outcome.
    pub calls: IntCounterVec,
    /// Version of the release note in force.
    pub note_version: IntGauge,
    /// Servers known.
    pub servers: IntGauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Register all metrics.
    pub fn new() -> Self {
        let mut set = MetricSet::default();
        Self {
            requests: set.counters(
                "bamboocross_entry_requests_total",
                "Requests by class",
                "class",
            ),
            refusals: set.counters(
                "bamboocross_entry_refusals_total",
                "Requests refused before anything was dispatched",
                "reason",
            ),
            tokens: set.counter(
                "bamboocross_entry_tokens_total",
                "Tokens passed on to callers",
            ),
            tokens_dropped: set.counter(
                "bamboocross_entry_tokens_dropped_total",
                "Tokens dropped as repeated or of a superseded attempt",
            ),
            reconnects: set.counter(
                "bamboocross_entry_reconnects_total",
                "New connections to the same server after silence",
            ),
            resumes: set.counter(
                "bamboocross_entry_resumes_total",
                "Generations moved to another server",
            ),
            moves: set.counter(
                "bamboocross_entry_moves_total",
                "Generations moved for being far slower than their peers",
            ),
            resume_seconds: set.seconds(
                "bamboocross_entry_resume_seconds",
                "Time from the last token before a loss to the first after it",
            ),
            generations_ended: set.counters(
                "bamboocross_entry_generations_ended_total",
                "Generations by how they ended",
                "end",
            ),
            first_token_seconds: set.seconds(
                "bamboocross_entry_first_token_seconds",
                "Time until the first token",
            ),
            calls: set.counters(
                "bamboocross_entry_calls_total",
                "Calls to plain services by outcome",
                "outcome",
            ),
            note_version: set.gauge(
                "bamboocross_entry_note_version",
                "Version of the release note in force",
            ),
            servers: set.gauge("bamboocross_entry_servers", "Servers known"),
            set,
        }
    }
}
