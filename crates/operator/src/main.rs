//! `bamboocross`, the operators' client.

use std::process::ExitCode;

use operator::{command_line, run_command};
use telemetry::{ExitStatus, report_and_exit};

fn main() -> ExitCode {
    let matches = command_line().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let report = miette::Report::msg(error.to_string());
            return report_and_exit(report, ExitStatus::Failed);
        }
    };
    match runtime.block_on(run_command(&matches)) {
        Ok(()) => ExitStatus::Done.into(),
        Err(failure) => report_and_exit(failure.report, failure.status),
    }
}
