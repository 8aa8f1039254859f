//! Settings and release notes as operators write them.
//!
//! A file is read whole: every mistake in it becomes a finding with its place,
//! and all findings are reported together, so an operator mends a file in one
//! go. The readers take text and return plain data; they open no file, and
//! whether a port is free they ask a [`PortProbe`].

mod agent_settings;
mod daemon_settings;
mod entry_settings;
mod field_reader;
mod finding;
mod front_settings;
mod load_policy;
mod note_file;
mod port_probe;

pub use agent_settings::{AgentSettings, JournalOffer, OrderChecks};
pub use daemon_settings::DaemonSettings;
pub use entry_settings::{EntrySettings, ServiceRoute};
pub use finding::{Finding, FindingReport};
pub use front_settings::FrontSettings;
pub use load_policy::LoadPolicy;
pub use note_file::{NoteFile, note_id, read_note};
pub use port_probe::{BindProbe, PortProbe};
