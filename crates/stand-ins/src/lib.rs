//! Small stand-ins for what the system meets: engine, plain service, platform
//! and a network that fails; and store and workers of the users' platform.
//!
//! They follow the published interfaces and fail on command. What they count
//! (tokens produced, calls run) is the witness of the measurements, which never
//! trust the counters of the product.

mod endless_bytes;
mod engine_server;
mod fault_proxy;
mod front;
mod platform_server;
mod row_store;
mod scripted_worker;
mod service_server;
mod slot_queue;
mod token_stamps;
mod token_text;

pub use endless_bytes::{EndlessPace, EndlessPart};
pub use engine_server::{EngineCounts, EngineFaults, EngineOptions, run_engine};
pub use fault_proxy::{LinkCounts, LinkMode, ModeMessage, ProxyLink, ProxyMessage, run_proxies};
pub use platform_server::{PlatformCounts, PlatformFaults, PlatformOptions, run_platform};
pub use row_store::{RowStore, StoreCopy, StoreMode};
pub use scripted_worker::{
    STREAM_EVENTS, ScriptedWorker, StreamEnd, WorkerAct, WorkerArrival, WorkerIdentity,
    WorkerRequest, WorkerRun,
};
pub use service_server::{ServiceCounts, ServiceFaults, run_service};
pub use token_stamps::{TokenStamp, wall_clock_us};
pub use token_text::TextSeed;
