//! `bamboocross-entry`, the process that callers connect to.

use std::{process::ExitCode, sync::Arc, time::Duration};

use entry::{EntryState, refresh_snapshots, retire, serve_callers};
use miette::{IntoDiagnostic, Report, WrapErr};
use platform::HttpPlatform;
use settings::EntrySettings;
use telemetry::{DaemonArgs, ExitStatus, StopSignal, daemon_args, report_and_exit, start_logs};

/// Time within which the platform answers or counts as down.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let args = daemon_args(
        "bamboocross-entry",
        "Takes callers' requests and carries them to backend servers",
    );
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(report) => return report_and_exit(report, ExitStatus::Findings),
    };
    if args.check {
        println!("{}: no findings", args.settings.display());
        return ExitStatus::Done.into();
    }
    match run(&args, settings) {
        Ok(()) => ExitStatus::Done.into(),
        Err(report) => report_and_exit(report, ExitStatus::Failed),
    }
}

fn read_settings(args: &DaemonArgs) -> miette::Result<EntrySettings> {
    let name = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    EntrySettings::read(&name, &text).map_err(Report::new)
}

fn run(args: &DaemonArgs, settings: EntrySettings) -> miette::Result<()> {
    let _logs = start_logs(&args.log).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> miette::Result<()> {
    let stop = StopSignal::listen().into_diagnostic()?;
    let platform = HttpPlatform::new(settings.platform, PLATFORM_TIMEOUT);
    let state = Arc::new(EntryState::new(settings, platform));
    tokio::spawn(refresh_snapshots(Arc::clone(&state)));
    log::info!(entry = state.settings.name.as_str(); "listening on {}", state.settings.listen);
    serve_callers(Arc::clone(&state), stop)
        .await
        .map_err(|error| miette::miette!("{error}"))?;
    retire(&state).await;
    Ok(())
}
