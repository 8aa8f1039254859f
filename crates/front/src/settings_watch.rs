//! Changes of the settings file, with SIGHUP or without any signal.

use std::{path::PathBuf, sync::Arc, time::Duration};

use miette::IntoDiagnostic;
use platform::names::SETTINGS_VARIABLE;
use settings::{DaemonSettings, FrontSettings, PortProbe};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::front_state::FrontState;

/// Time between two looks at the file; a change is to be in force within 2 s.
const LOOK_PERIOD: Duration = Duration::from_millis(1_000);

/// Ports of the settings are this process's own by now.
struct HeldPorts;

impl PortProbe for HeldPorts {
    fn probe(&self, _address: std::net::SocketAddr) -> std::io::Result<()> {
        Ok(())
    }
}

/// Follow the settings file.
pub fn watch_settings(state: &Arc<FrontState>) -> miette::Result<()> {
    // Without a handler SIGHUP would end the process.
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
                () = sleep(LOOK_PERIOD) => {}
            }
            // A file that is being replaced is read at the next look.
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
    match FrontSettings::read(name, text, &HeldPorts) {
        Ok(settings) => {
            log::info!(store:% = settings.store; "reload");
            state.settings.store(Arc::new(settings));
        }
        Err(report) => log::error!(findings:% = report; "settings unchanged"),
    }
}
