//! `bamboocross-agent`, the process beside a backend server.

use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use agent::{
    AgentState, DutyHolder, NoteKeeper, OrderGate, serve_control, serve_streams, watch_server,
};
use miette::{IntoDiagnostic, Report, WrapErr};
use platform::HttpPlatform;
use settings::AgentSettings;
use telemetry::{DaemonArgs, ExitStatus, StopSignal, daemon_args, report_and_exit, start_logs};
use tokio::time::Instant;

/// Time within which the platform answers or counts as down.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Threads of the process; its share of the VM is small.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let args = daemon_args(
        "bamboocross-agent",
        "Stands beside a backend server and is the only way to it",
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

fn read_settings(args: &DaemonArgs) -> miette::Result<AgentSettings> {
    let name = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    AgentSettings::read(&name, &text).map_err(Report::new)
}

fn run(args: &DaemonArgs, settings: AgentSettings) -> miette::Result<()> {
    let _logs = start_logs(&args.log).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> miette::Result<()> {
    let stop = StopSignal::listen().into_diagnostic()?;
    let table = HttpPlatform::new(settings.platform, PLATFORM_TIMEOUT);
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .into_diagnostic()?
        .as_millis();
    let epoch = u64::try_from(epoch).into_diagnostic()?;
    let now = Instant::now();
    let (state, inbox) = AgentState::new(settings, table.clone(), epoch, now);
    let state = Arc::new(state);
    let keeper = NoteKeeper::new(Arc::clone(&state), table.clone(), now);
    tokio::spawn(keeper.run(inbox.news));
    tokio::spawn(OrderGate::new(Arc::clone(&state), table.clone()).run(inbox.orders));
    tokio::spawn(DutyHolder::new(Arc::clone(&state), table).run());
    tokio::spawn(watch_server(Arc::clone(&state)));
    let control = serve_control(&state)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {}", state.settings.control))?;
    log::info!(server = state.settings.name.as_str(); "listening on {}", state.settings.listen);
    serve_streams(state, stop)
        .await
        .map_err(|error| miette::miette!("{error}"))?;
    // The handle may have been stopped already.
    let _ = control.stop();
    Ok(())
}
