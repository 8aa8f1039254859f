//! The command line that operators drive the system with.
//!
//! Each command is a module that gathers what it needs, lets the domain decide
//! and prints the outcome. Commands keep nothing between runs.

mod command_line;
mod deployment_report;
mod dump_command;
pub mod explain_command;
pub mod follow_command;
mod note_command;
mod requests_command;
mod spread_watch;
mod status_command;
mod vm_command;

pub use command_line::{command_line, run_command};

use telemetry::ExitStatus;

/// A command that did not do what was asked.
#[derive(Debug)]
pub struct CommandFailure {
    /// Exit code of the program.
    pub status: ExitStatus,
    /// What is printed.
    pub report: miette::Report,
}

impl From<miette::Report> for CommandFailure {
    fn from(report: miette::Report) -> Self {
        Self {
            status: ExitStatus::Failed,
            report,
        }
    }
}

/// What commands return.
pub type CommandResult = Result<(), CommandFailure>;
