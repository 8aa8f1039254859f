//! The rules of bamboocross, apart from any socket.
//!
//! Each aggregate has a folder of its own and guards its own invariants. The
//! processes feed it what they have seen and carry out what it decides, so a
//! rule can be tried in a test without a connection, and another front end can
//! use it without change. Nothing here encodes messages, opens sockets or
//! spawns tasks; time and randomness come in as arguments.

pub mod backend_server;
pub mod class_counts;
pub mod desired_state;
pub mod entry_drain;
pub mod entry_roster;
pub mod event_relay;
pub mod generation_stream;
pub mod identity;
pub mod kv_placement;
pub mod list_relay;
pub mod pool_lease;
pub mod prompt_cache;
pub mod retry_share;
pub mod run_evidence;
pub mod server_registry;
pub mod service_call;
pub mod serving_config;
pub mod team_budget;
pub mod vm_membership;

pub use class_counts::{ClassCounts, CountBounds, CountRefusal};
pub use identity::{
    AdapterName, AttemptNumber, BodyDigest, ChangesetId, ConfigVersion, FailureDomain,
    FencingNumber, GenerationId, IdempotencyKey, ModelName, ModelVersion, PoolName, PromptPart,
    RequestId, ServerName, ServiceName, StopVersion, TeamName, TokenPosition, WorkClass,
};
