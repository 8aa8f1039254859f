//! The front: the entry process on the users' platform.
//!
//! Within this crate it is called the entry. It applies the operator's desired
//! state; the process of crate `entry`, which applies the serving configuration,
//! is another one.
//!
//! It accepts callers' requests over HTTP and forwards them directly to the
//! backend servers registered in the platform's store. The decisions are made in
//! `domain` and the platform's formats are defined in `platform`; this crate
//! holds the sockets and tasks that connect them. Requests read immutable
//! snapshots of the desired state and of the servers; each is replaced as a whole
//! by one task.

mod admin_front;
mod answer_body;
mod backend_connection;
mod boot_clock;
mod call_run;
mod caller_body;
mod caller_front;
mod caller_socket;
mod connection_keeper;
mod connection_pool;
mod copy_manager;
mod cost_book;
mod crash_watch;
mod drain_clock;
mod evidence_relay;
mod explain_front;
mod front_metrics;
mod front_state;
mod http_server;
mod ingress;
mod list_follower;
mod load_query;
mod peer_client;
mod peer_front;
mod placement_query;
mod prompt_finder;
mod repeat_book;
mod reply;
mod retry_relay;
mod retry_room;
mod return_watch;
mod rollout_answers;
mod rollout_board;
mod rollout_relay;
mod rollout_status;
mod rollout_watch;
mod routed_request;
mod server_call;
mod server_exchange;
mod service_admission;
mod settings_watch;
mod speed_relay;
mod state_follower;
mod store_client;
mod store_watch;
mod stored_body;
mod stream_queue;
mod stream_run;
mod wait_room;

pub use admin_front::serve_admin;
pub use caller_front::{CallerListener, serve_callers};
pub use crash_watch::{CrashNotes, CrashWatch, watch_crashes};
pub use evidence_relay::relay_evidence;
pub use front_metrics::FrontMetrics;
pub use front_state::FrontState;
pub use peer_front::serve_peers;
pub use prompt_finder::{PromptFinder, PromptQueries, serve_prompt_queries};
pub use retry_relay::relay_retries;
pub use rollout_board::{RolloutBoard, RolloutNotes};
pub use rollout_relay::relay_rollouts;
pub use rollout_watch::watch_rollouts;
pub use settings_watch::watch_settings;
pub use speed_relay::relay_speeds;
pub use store_watch::watch_store;
