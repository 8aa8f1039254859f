//! Metrics of an agent.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use telemetry::MetricSet;

/// Metrics, registered once.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    /// All of them, for rendering.
    pub set: MetricSet,
    /// Tokens read from the engine.
    pub tokens: IntCounter,
    /// Generations under way.
    pub generations: IntGauge,
    /// Generations by how they ended.
    pub generations_ended: IntCounterVec,
    /// Requests of superseded attempts that were refused.
    pub stale_attempts: IntCounter,
    /// Calls by their outcome.
    pub calls: IntCounterVec,
    /// Transactions sent to the store for intents and outcomes.
    pub intent_commits: IntCounter,
    /// Rows written by those transactions.
    pub intent_rows: IntCounter,
    /// Time until an intent was recorded.
    pub intent_seconds: Histogram,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl AgentMetrics {
    /// Register all metrics.
    pub fn new() -> Self {
        let mut set = MetricSet::default();
        Self {
            tokens: set.counter(
                "bamboocross_agent_tokens_total",
                "Tokens read from the engine",
            ),
            generations: set.gauge("bamboocross_agent_generations", "Generations under way"),
            generations_ended: set.counters(
                "bamboocross_agent_generations_ended_total",
                "Generations by how they ended",
                "end",
            ),
            stale_attempts: set.counter(
                "bamboocross_agent_stale_attempts_total",
                "Requests of superseded attempts that were refused",
            ),
            calls: set.counters(
                "bamboocross_agent_calls_total",
                "Calls by their outcome",
                "outcome",
            ),
            intent_commits: set.counter(
                "bamboocross_agent_intent_commits_total",
                "Transactions sent to the store for intents and outcomes",
            ),
            intent_rows: set.counter(
                "bamboocross_agent_intent_rows_total",
                "Rows written by those transactions",
            ),
            intent_seconds: set.seconds(
                "bamboocross_agent_intent_seconds",
                "Time until an intent was recorded",
            ),
            set,
        }
    }
}
