//! `bamboocross-entry`, the process that callers connect to.

use std::{process::ExitCode, sync::Arc, time::Duration};

use backing::HttpPlatform;
use entry::{EntryState, refresh_snapshots, retire, serve_callers};
use settings::EntrySettings;
use telemetry::{DaemonSpec, StopSignal, run_daemon};

/// Time within which the platform answers or counts as down.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Threads of the process; its share of the VM is small.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let spec = DaemonSpec {
        name: "bamboocross-entry",
        about: "Takes callers' requests and carries them to backend servers",
        worker_threads: WORKER_THREADS,
        settings_variable: None,
        log_target: telemetry::LogTarget::StandardError,
    };
    run_daemon(spec, serve)
}

async fn serve(settings: EntrySettings, stop: StopSignal) -> miette::Result<()> {
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
