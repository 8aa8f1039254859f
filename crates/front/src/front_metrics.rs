//! Metrics of an entry.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use telemetry::MetricSet;

/// All metrics; their names are documented in docs/OPERATIONS.md.
pub struct FrontMetrics {
    /// Registry that renders them.
    pub set: MetricSet,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) resumes: IntCounterVec,
    pub(crate) repeats_skipped: IntCounter,
    pub(crate) prompt_searches: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) store_era: IntGauge,
    pub(crate) list_updates: IntCounterVec,
    pub(crate) state_updates: IntCounterVec,
    pub(crate) older_states: IntCounter,
    pub(crate) odd_rows: IntCounterVec,
    pub(crate) crash_reports: IntCounterVec,
    pub(crate) evidence_calls: IntCounterVec,
    pub(crate) speed_calls: IntCounterVec,
    pub(crate) held_parts: IntGauge,
    pub(crate) rollout_changes: IntCounterVec,
    pub(crate) rollout_calls: IntCounterVec,
    pub(crate) call_seconds: Histogram,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) event_gap_seconds: Histogram,
    pub(crate) events: IntCounter,
    pub(crate) waiting: IntGauge,
    pub(crate) servers: IntGauge,
    pub(crate) entries: IntGauge,
    pub(crate) state_version: IntGauge,
    pub(crate) open_connections: IntGauge,
    pub(crate) closed_connections: IntCounterVec,
    pub(crate) body_bytes: IntGauge,
    pub(crate) new_links: IntCounter,
    pub(crate) dropped_lines: IntGauge,
    pub(crate) retries_left: IntGauge,
    pub(crate) retry_calls: IntCounterVec,
    pub(crate) retry_room: IntCounterVec,
    pub(crate) state_age_seconds: IntGauge,
    pub(crate) memory_bytes: IntGauge,
}

impl Default for FrontMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl FrontMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut set = MetricSet::default();
        Self {
            requests: set.counters(
                "bamboocross_front_requests_total",
                "Requests of callers by outcome",
                "outcome",
            ),
            refusals: set.counters(
                "bamboocross_front_refusals_total",
                "Requests answered by the entry itself, by reason",
                "reason",
            ),
            sends: set.counters(
                "bamboocross_front_sends_total",
                "Requests sent to backend servers, by how they ended",
                "outcome",
            ),
            resumes: set.counters(
                "bamboocross_front_resumes_total",
                "Streams that went on at another server, by cause",
                "cause",
            ),
            repeats_skipped: set.counter(
                "bamboocross_front_repeats_skipped_total",
                "Calls not repeated after a server error, since a repeat seldom succeeds",
            ),
            prompt_searches: set.counters(
                "bamboocross_front_prompt_searches_total",
                "Searches for a server that has a prompt in its memory, by outcome",
                "outcome",
            ),
            store_calls: set.counters(
                "bamboocross_front_store_calls_total",
                "Calls to the platform's store by outcome",
                "outcome",
            ),
            store_era: set.gauge(
                "bamboocross_front_store_era_version",
                "Era of the platform's store; rises when it comes back from an older copy",
            ),
            list_updates: set.counters(
                "bamboocross_front_list_news_total",
                "News of the list of servers, by where they came from",
                "source",
            ),
            state_updates: set.counters(
                "bamboocross_front_state_news_total",
                "News of the desired state, and confirmations, from other entries",
                "source",
            ),
            older_states: set.counter(
                "bamboocross_front_older_states_total",
                "Desired states that were read and are older than the one in force",
            ),
            odd_rows: set.counters(
                "bamboocross_front_odd_rows_total",
                "Rows of the store, or of another entry, that cannot be used, by table",
                "table",
            ),
            crash_reports: set.counters(
                "bamboocross_front_crash_reports_total",
                "Servers that ended as they began to answer a request, by who saw it",
                "source",
            ),
            evidence_calls: set.counters(
                "bamboocross_front_evidence_calls_total",
                "Calls to other entries about such servers, by outcome",
                "outcome",
            ),
            speed_calls: set.counters(
                "bamboocross_front_speed_calls_total",
                "Calls to other entries about the speed of servers, by outcome",
                "outcome",
            ),
            held_parts: set.gauge(
                "bamboocross_front_held_parts",
                "Prompt parts of which requests are sent to no server",
            ),
            rollout_changes: set.counters(
                "bamboocross_front_rollout_changes_total",
                "Phases that roll-outs entered, by phase",
                "phase",
            ),
            rollout_calls: set.counters(
                "bamboocross_front_rollout_calls_total",
                "Calls to other entries about roll-outs, by outcome",
                "outcome",
            ),
            call_seconds: set.seconds(
                "bamboocross_front_call_seconds",
                "Time from a plain request to its answer",
            ),
            first_event_seconds: set.seconds(
                "bamboocross_front_first_event_seconds",
                "Time from a stream's request to its first event",
            ),
            event_gap_seconds: set.seconds(
                "bamboocross_front_event_gap_seconds",
                "Time between pieces of a stream that were handed on",
            ),
            events: set.counter(
                "bamboocross_front_events_total",
                "Events handed on to callers",
            ),
            waiting: set.gauge(
                "bamboocross_front_waiting_streams",
                "Streams that wait because no server takes them",
            ),
            servers: set.gauge(
                "bamboocross_front_servers",
                "Backend servers that may get requests",
            ),
            entries: set.gauge(
                "bamboocross_front_entries",
                "Entries that announce themselves, this one included",
            ),
            state_version: set.gauge(
                "bamboocross_front_state_version",
                "Number of the desired state in force",
            ),
            open_connections: set.gauge(
                "bamboocross_front_open_connections",
                "Connections of callers",
            ),
            closed_connections: set.counters(
                "bamboocross_front_closed_connections_total",
                "Connections closed because there were too many, by listener",
                "listener",
            ),
            body_bytes: set.gauge(
                "bamboocross_front_body_bytes",
                "Memory that callers' bodies occupy",
            ),
            new_links: set.counter(
                "bamboocross_front_new_links_total",
                "Connections opened to backend servers",
            ),
            dropped_lines: set.gauge(
                "bamboocross_front_log_lines_dropped_total",
                "Log lines dropped since the start",
            ),
            retries_left: set.gauge(
                "bamboocross_front_retries_left",
                "Retries left in the window, of the service with the least",
            ),
            retry_calls: set.counters(
                "bamboocross_front_retry_calls_total",
                "Calls to other entries for room of the retry budget, by outcome",
                "outcome",
            ),
            retry_room: set.counters(
                "bamboocross_front_retry_room_total",
                "Retries by what became of them: spent, denied, lent, borrowed",
                "use",
            ),
            state_age_seconds: set.gauge(
                "bamboocross_front_state_age_seconds",
                "Time since the store confirmed the desired state in force",
            ),
            memory_bytes: set.gauge(
                "bamboocross_front_memory_bytes",
                "Memory of the process in use",
            ),
            set,
        }
    }
}
