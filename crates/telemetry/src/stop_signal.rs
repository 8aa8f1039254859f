//! SIGTERM: the first one drains, the second one ends at once.

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
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                if *sender.borrow() {
                    log::warn!("second signal, ending at once");
                    process::exit(ExitStatus::Cut as i32);
                }
                sender.send_replace(true);
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
