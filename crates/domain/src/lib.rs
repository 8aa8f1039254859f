//! Domain logic of bamboocross, without I/O.
//!
//! Callers connect to an entry, the process that admits requests and forwards them
//! to backend servers. There are two entry programs:
//! - `bamboocross-front` sends requests directly to servers that register
//!   themselves in the platform's store. In [`buffer_budget`], [`crash_evidence`],
//!   [`desired_state`], [`entry_drain`], [`entry_roster`], [`event_relay`], [`ingress_budget`],
//!   [`kv_placement`], [`list_relay`], [`prompt_cache`], [`rate_limit`], [`reachability`],
//!   [`repeat_odds`], [`retry_advice`], [`retry_pool`], [`retry_share`], [`rollout`],
//!   [`run_evidence`], [`server_registry`], [`state_relay`],
//!   [`store_position`], [`urgency`] and [`wait_queue`], an
//!   entry is a process of this program.
//! - `bamboocross-entry` reaches each server through its agent, a process of
//!   `bamboocross-agent` beside the server. In the other modules, an entry is a
//!   process of this program.
//!
//! Each aggregate has its own module and enforces its own invariants. The
//! processes pass in their observations and carry out the decisions, so the
//! logic can be tested without connections and reused with other protocols.
//! Nothing here encodes messages, opens sockets or spawns tasks. Decisions take the
//! current time and the source of random numbers as arguments.

pub mod backend_server;
pub mod boot_instant;
pub mod buffer_budget;
pub mod class_counts;
pub mod crash_evidence;
pub mod desired_state;
pub mod entry_drain;
pub mod entry_roster;
pub mod event_relay;
pub mod generation_stream;
pub mod identity;
pub mod ingress_budget;
pub mod kv_placement;
pub mod list_relay;
pub mod pool_lease;
pub mod prompt_cache;
pub mod rate_limit;
pub mod reachability;
pub mod repeat_odds;
pub mod retry_advice;
pub mod retry_pool;
pub mod retry_share;
mod retry_window;
pub mod rollout;
pub mod run_evidence;
pub mod server_registry;
pub mod service_call;
pub mod serving_config;
pub mod state_relay;
pub mod store_position;
pub mod team_budget;
pub mod urgency;
pub mod vm_membership;
pub mod wait_queue;

pub use class_counts::{ClassCounts, CountLimits, CountRefusal};
pub use identity::{
    AdapterName, AttemptNumber, BodyDigest, ChangesetId, ConfigVersion, FailureDomain,
    FencingNumber, GenerationId, IdempotencyKey, ModelName, ModelVersion, PartDigest, PoolName,
    PromptPart, RequestId, ServerName, ServerVersion, ServiceName, StopVersion, TeamName,
    TokenPosition, WorkClass,
};
