//! Metrics of an entry.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use telemetry::MetricSet;

/// All metrics; names are listed in docs/OPERATIONS.md.
pub(crate) struct FrontMetrics {
    pub(crate) set: MetricSet,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) resumes: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) call_seconds: Histogram,
    pub(crate) first_event_seconds: Histogram,
    pub(crate) event_gap_seconds: Histogram,
    pub(crate) events: IntCounter,
    pub(crate) servers: IntGauge,
    pub(crate) state_version: IntGauge,
    pub(crate) open_connections: IntGauge,
    pub(crate) new_links: IntCounter,
    pub(crate) dropped_lines: IntGauge,
}

impl FrontMetrics {
    pub(crate) fn new() -> Self {
        let mut set = MetricSet::default();
        Self {
            requests: set.counters(
                "front_requests_total",
                "Requests of callers by outcome",
                "outcome",
            ),
            refusals: set.counters(
                "front_refusals_total",
                "Requests answered by the entry itself, by reason",
                "reason",
            ),
            sends: set.counters(
                "front_sends_total",
                "Requests sent to backend servers, by how they ended",
                "outcome",
            ),
            resumes: set.counters(
                "front_resumes_total",
                "Streams that went on at another server, by cause",
                "cause",
            ),
            store_calls: set.counters(
                "front_store_calls_total",
                "Calls to the platform's store by outcome",
                "outcome",
            ),
            call_seconds: set.seconds(
                "front_call_seconds",
                "Time from a plain request to its answer",
            ),
            first_event_seconds: set.seconds(
                "front_first_event_seconds",
                "Time from a stream's request to its first event",
            ),
            event_gap_seconds: set.seconds(
                "front_event_gap_seconds",
                "Time between pieces of a stream that were handed on",
            ),
            events: set.counter("front_events_total", "Events handed on to callers"),
            servers: set.gauge("front_servers", "Backend servers that may get requests"),
            state_version: set.gauge(
                "front_state_version",
                "Number of the desired state in force",
            ),
            open_connections: set.gauge("front_open_connections", "Connections of callers"),
            new_links: set.counter(
                "front_new_links_total",
                "Connections opened to backend servers",
            ),
            dropped_lines: set.gauge("front_dropped_lines", "Log lines dropped since the start"),
            set,
        }
    }
}
