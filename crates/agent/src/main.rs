//! `bamboocross-agent`, the process beside a backend server.

use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use agent::{
    AgentState, CallSettler, DutyHolder, NoteKeeper, OrderGate, serve_control, serve_streams,
    watch_server,
};
use backing::HttpPlatform;
use domain::backend_server::ServerKind;
use miette::{IntoDiagnostic, WrapErr};
use settings::AgentSettings;
use telemetry::{DaemonSpec, StopSignal, run_daemon};
use tokio::time::Instant;

/// Time within which the platform answers or counts as down.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Threads of the process; its share of the VM is small.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let spec = DaemonSpec {
        name: "bamboocross-agent",
        about: "Stands beside a backend server and is the only way to it",
        worker_threads: WORKER_THREADS,
        settings_variable: None,
        log_target: telemetry::LogTarget::StandardError,
    };
    run_daemon(spec, serve)
}

async fn serve(settings: AgentSettings, stop: StopSignal) -> miette::Result<()> {
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
    if state.settings.kind == ServerKind::Service {
        tokio::spawn(CallSettler::new(Arc::clone(&state), table.clone(), now).run());
    }
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
