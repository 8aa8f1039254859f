//! `bamboocross-front`, the entry process on the users' platform.

use std::{num::NonZeroUsize, process::ExitCode, sync::Arc};

use front::{
    CallerListener, CrashWatch, FrontState, PromptFinder, RolloutBoard, relay_evidence,
    relay_retries, relay_rollouts, relay_speeds, serve_admin, serve_callers, serve_peers,
    serve_prompt_queries, watch_crashes, watch_rollouts, watch_settings, watch_store,
};
use settings::FrontSettings;
use telemetry::{DaemonSpec, LogTarget, StopSignal, run_daemon};

fn main() -> ExitCode {
    let threads = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let spec = DaemonSpec {
        name: "bamboocross-front",
        about: "Accepts callers' requests and forwards them to backend servers",
        worker_threads: threads,
        settings_variable: Some(platform::names::SETTINGS_VARIABLE),
        log_target: LogTarget::BoundedOutput,
    };
    run_daemon(spec, serve)
}

async fn serve(settings: FrontSettings, stop: StopSignal) -> miette::Result<()> {
    let listener = CallerListener::bind(&settings).await?;
    let (finder, questions) = PromptFinder::new();
    let (crash_watch, crash_notes) = CrashWatch::new();
    let (rollouts, rollout_notes) = RolloutBoard::new();
    let state = Arc::new(FrontState::new(settings, finder, crash_watch, rollouts));
    let settings = state.settings.load_full();
    log::info!(
        node = settings.name.as_str(),
        domain = settings.domain.as_str(),
        listen:% = settings.listen;
        "start"
    );
    watch_store(&state);
    serve_prompt_queries(&state, questions);
    watch_crashes(&state, crash_notes);
    watch_rollouts(&state, rollout_notes);
    watch_settings(&state)?;
    serve_admin(&state).await?;
    let _peers = serve_peers(&state).await?;
    relay_evidence(&state);
    relay_retries(&state);
    relay_rollouts(&state);
    relay_speeds(&state);
    serve_callers(Arc::clone(&state), listener, stop).await?;
    log::info!(node = settings.name.as_str(); "stop");
    Ok(())
}
