//! Reload of the settings file, after SIGHUP or at the next periodic check.

use std::{path::PathBuf, sync::Arc, time::Duration};

use miette::IntoDiagnostic;
use platform::names::SETTINGS_VARIABLE;
use settings::{DaemonSettings, FrontSettings, PortProbe};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::front_state::FrontState;

/// Time between two checks of the file; a change must be in force within 2 s.
const CHECK_PERIOD: Duration = Duration::from_millis(1_000);

/// Accepts all ports. The process has bound those of the settings it started with, so
/// a probe would fail; changed addresses take effect only after a restart.
struct BoundPorts;

impl PortProbe for BoundPorts {
    fn probe(&self, _address: std::net::SocketAddr) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts a task that reloads the settings file when it changes.
pub fn watch_settings(state: &Arc<FrontState>) -> miette::Result<()> {
    // Without a handler SIGHUP would terminate the process.
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        tokio::spawn(async move { while hangup.recv().await.is_some() {} });
        return Ok(());
    };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut last = std::fs::read_to_string(&path).unwrap_or_default();
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = sleep(CHECK_PERIOD) => {}
            }
            // A file that is being replaced is read at the next check.
            let Ok(text) = std::fs::read_to_string(&path) else {
                continue;
            };
            if text != last {
                reload(&state, &path.display().to_string(), &text);
                last = text;
            }
        }
    });
    Ok(())
}

fn reload(state: &FrontState, name: &str, text: &str) {
    match FrontSettings::read(name, text, &BoundPorts) {
        Ok(settings) => {
            log::info!(store:% = settings.store; "reload");
            state.settings.store(Arc::new(settings));
        }
        Err(report) => {
            log::error!(findings:% = report; "new settings rejected; the current ones stay in force")
        }
    }
}
