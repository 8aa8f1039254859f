//! When silence on an open stream becomes a suspicion.
//!
//! Connections can go silent for good while new ones work, so a stream that
//! was told nothing for a while is first asked for again over a new connection
//! at the same server. Only when that fails too, or the server itself reports
//! that its engine has stopped, does the generation move.

use std::time::Duration;

use tokio::time::Instant;

/// Bounds on silence.
#[derive(Clone, Copy, Debug)]
pub struct SilenceRule {
    /// Silence of the connection that leads to a new one.
    pub connection_silence: Duration,
    /// Silence of the engine that leads to another server.
    pub engine_silence: Duration,
}

impl Default for SilenceRule {
    fn default() -> Self {
        Self {
            connection_silence: Duration::from_millis(350),
            engine_silence: Duration::from_millis(900),
        }
    }
}

/// What an agent's heartbeat says of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeatReport {
    /// Time since the engine last gave a sign of life.
    pub engine_silence: Duration,
}

/// What silence calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// Keep reading; look again at this instant.
    Wait(Instant),
    /// Ask again over a new connection to the same server.
    Reconnect,
    /// Resume on another server.
    Move,
}

/// Signs of life on one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamWatch {
    last_heard: Instant,
    engine_silence: Duration,
}

impl StreamWatch {
    /// Watch that starts now.
    pub const fn new(now: Instant) -> Self {
        Self {
            last_heard: now,
            engine_silence: Duration::ZERO,
        }
    }

    /// A token arrived.
    pub fn heard_token(&mut self, now: Instant) {
        self.last_heard = now;
        self.engine_silence = Duration::ZERO;
    }

    /// A heartbeat arrived.
    pub fn heard_beat(&mut self, report: BeatReport, now: Instant) {
        self.last_heard = now;
        self.engine_silence = report.engine_silence;
    }

    /// Judge the silence so far.
    pub fn judge(&self, rule: &SilenceRule, now: Instant) -> SilenceVerdict {
        if self.engine_silence >= rule.engine_silence {
            return SilenceVerdict::Move;
        }
        let suspicion = self.last_heard + rule.connection_silence;
        if now >= suspicion {
            return SilenceVerdict::Reconnect;
        }
        SilenceVerdict::Wait(suspicion)
    }
}
