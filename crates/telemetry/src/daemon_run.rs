//! One daemon from its command line to its exit code.

use std::{process::ExitCode, time::Duration};

use miette::{IntoDiagnostic, Report, WrapErr};
use settings::{BindProbe, DaemonSettings};

use crate::{
    DaemonArgs, ExitStatus, LogTarget, StopSignal, daemon_command::daemon_args, report_and_exit,
    start_logs,
};

/// Time that background work has to end once the daemon has drained.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// What a daemon is.
#[derive(Clone, Copy, Debug)]
pub struct DaemonSpec {
    /// Name of the program.
    pub name: &'static str,
    /// What it does, for `--help`.
    pub about: &'static str,
    /// Threads that serve requests.
    pub worker_threads: usize,
    /// Environment variable that may hold the path of the settings.
    pub settings_variable: Option<&'static str>,
    /// Where log lines go.
    pub log_target: LogTarget,
}

/// Read the settings of a daemon and serve until it has drained.
pub fn run_daemon<S, F>(spec: DaemonSpec, serve: impl FnOnce(S, StopSignal) -> F) -> ExitCode
where
    S: DaemonSettings,
    F: Future<Output = miette::Result<()>>,
{
    let args = daemon_args(&spec);
    let settings = match read_settings::<S>(&args) {
        Ok(settings) => settings,
        Err(report) => return report_and_exit(report, ExitStatus::Findings),
    };
    if args.check {
        println!("{}: no findings", args.settings.display());
        return ExitStatus::Done.into();
    }
    match serve_settings(spec, &args, settings, serve) {
        Ok(()) => ExitStatus::Done.into(),
        Err(report) => report_and_exit(report, ExitStatus::Failed),
    }
}

fn read_settings<S: DaemonSettings>(args: &DaemonArgs) -> miette::Result<S> {
    let name = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    S::read(&name, &text, &BindProbe).map_err(Report::new)
}

fn serve_settings<S, F>(
    spec: DaemonSpec,
    args: &DaemonArgs,
    settings: S,
    serve: impl FnOnce(S, StopSignal) -> F,
) -> miette::Result<()>
where
    F: Future<Output = miette::Result<()>>,
{
    let _logs = start_logs(&args.log, spec.log_target).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(spec.worker_threads)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let served = runtime.block_on(async {
        let stop = StopSignal::listen().into_diagnostic()?;
        serve(settings, stop).await
    });
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    served
}
