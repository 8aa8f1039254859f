//! Placement of requests and of KV cache copies on the servers of
//! `bamboocross-front`, which are listed by [`crate::server_registry`].
//!
//! On a model server, KV cache memory runs out before the slots do, and a
//! prefill delays the tokens of all other requests there. A stream is therefore
//! placed where the fewest prompt tokens are waiting for prefill and enough KV
//! cache is free. In addition to the load reports, a process counts its own
//! requests in flight, because all processes see the same reports and would
//! otherwise pick the same server. In a large deployment a process sends each server
//! so few requests that it knows neither its load nor its life. A stream is therefore
//! placed in two steps: a few candidates are drawn, and the one whose present load
//! is the least gets the request. Traffic between failure domains has a price, so the process's own
//! domain is preferred by a margin. Servers that failed recently, and failure
//! domains with several such servers, come last. Servers that are leaving or asked
//! for a pause get nothing, and [`ServiceOutlook`] tells when that holds for all. A prompt in a server's KV cache
//! needs no prefill there.

mod copy_state;
mod engine_estimate;
mod pace_monitor;
mod route_estimate;
mod server_cost;
mod server_pick;
mod server_speed;
mod service_outlook;
mod speed_report;
mod stream_admission;

pub use copy_state::{CopyState, CopyStep};
pub use engine_estimate::{EngineEstimate, EngineRates};
pub use pace_monitor::PaceMonitor;
pub use route_estimate::{OutputLength, RouteEstimate};
pub use server_cost::{CostTerms, prefill_ms, usual_first_event};
pub use server_pick::{
    CANDIDATE_COUNT, ExplainedServer, PlacementQuery, explain_servers, pick_backup,
    pick_candidates, pick_reported, pick_server,
};
pub use server_speed::{RatioEstimate, ServerSpeed, SpeedSummary, UsualValue};
pub use service_outlook::ServiceOutlook;
pub use speed_report::{KnownSpeed, SPEED_REPORT_MAX, SpeedReport};
pub use stream_admission::{is_hopeless, queue_view};

/// Largest token count that is used; the counts of all requests of a process are
/// added up, so each stays far below the range of the sum.
const TOKENS_MAX: u64 = 1 << 32;

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum number of output tokens.
    pub output: u64,
}

impl TokenCounts {
    /// Creates counts from a caller's statement; implausibly large ones are reduced.
    pub fn new(prompt: u64, output: u64) -> Self {
        Self {
            prompt: prompt.min(TOKENS_MAX),
            output: output.min(TOKENS_MAX),
        }
    }

    /// KV cache that the request needs at its end, in tokens.
    pub fn total(self) -> u64 {
        self.prompt + self.output
    }
}

/// Load reported by a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Current service time, in percent of the normal one.
    pub service_time_percent: u32,
}
