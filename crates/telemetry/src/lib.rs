//! What every process of the system shows of itself, and how it starts and
//! ends.
//!
//! Logs go to standard output or standard error, since the VMs have no disks. Metrics and state
//! are served by the processes themselves over the routes they have anyway.

mod bounded_writer;
mod daemon_command;
mod daemon_run;
mod log_setup;
mod metric_set;
mod stop_signal;
mod task_supervisor;

pub use bounded_writer::{BoundedWriter, ROUTINE_TARGET, dropped_lines};
pub use daemon_command::{DaemonArgs, ExitStatus, report_and_exit};
pub use daemon_run::{DaemonSpec, run_daemon};
pub use log_setup::{LogTarget, start_logs};
pub use metric_set::{MetricDescription, MetricSet};
pub use stop_signal::StopSignal;
pub use task_supervisor::supervise;
