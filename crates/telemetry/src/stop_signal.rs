//! SIGTERM and SIGINT drain. SIGINT during a drain ends the process at once; SIGTERM
//! does not, because supervisors and scripts repeat it.

use std::{io, process};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::ExitStatus;

/// Whether the process has been told to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    /// Listen for the signals.
    pub fn listen() -> io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (sender, receiver) = watch::channel(false);
        tokio::spawn(async move {
            loop {
                let is_interrupt = tokio::select! {
                    _ = terminate.recv() => false,
                    _ = interrupt.recv() => true,
                };
                let is_stopping = sender.send_replace(true);
                if is_stopping && is_interrupt {
                    log::warn!("SIGINT during a drain, ending at once");
                    process::exit(ExitStatus::Cut as i32);
                }
                if is_stopping {
                    log::info!("SIGTERM during a drain, which goes on");
                }
            }
        });
        Ok(Self { receiver })
    }

    /// Whether the first signal has come.
    pub fn is_stopping(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Wait for the first signal.
    pub async fn stopped(&mut self) {
        // The sender lives as long as the process, so an error cannot come.
        let _ = self.receiver.wait_for(|stopping| *stopping).await;
    }
}
