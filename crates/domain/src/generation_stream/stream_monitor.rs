//! When silence on an open stream becomes a suspicion.
//!
//! Connections can go silent for good while new ones work, so a stream that
//! was told nothing for a while is first asked for again over a new connection
//! at the same server. Only when that fails too, or the server itself reports
//! that its engine has stopped, does the generation move.
//!
//! An engine that is silent on one stream may be slow or busy with others; one
//! that is silent on all of them and answers no question either is taken for
//! dead after less than half the time.

use std::time::Duration;

use tokio::time::Instant;

/// Bounds on silence.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// Silence of the connection that leads to a new one.
    pub connection_silence: Duration,
    /// Time within which a new connection must bring its first event.
    pub first_event: Duration,
    /// Silence of the engine on this stream that leads to another server.
    pub engine_silence: Duration,
    /// Silence of the engine on this stream, and towards everyone else, that
    /// leads to another server.
    pub server_silence: Duration,
}

impl SilenceLimits {
    /// Silence of an engine on a stream below which no reader acts on it.
    pub const REPORT_THRESHOLD: Duration = Duration::from_millis(300);
}

impl Default for SilenceLimits {
    fn default() -> Self {
        Self {
            connection_silence: Duration::from_millis(350),
            first_event: Duration::from_millis(200),
            engine_silence: Duration::from_millis(900),
            server_silence: Duration::from_millis(400),
        }
    }
}

/// What an agent's heartbeat says of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// Time since the engine last gave a sign of life on this stream.
    pub engine_silence: Duration,
    /// Time since the engine last gave a sign of life to anyone.
    pub server_silence: Duration,
}

impl HeartbeatReport {
    /// Nothing to say of the engine.
    pub const NO_SILENCE: Self = Self {
        engine_silence: Duration::ZERO,
        server_silence: Duration::ZERO,
    };

    /// The part of a report that a reader may act on: every bound on the
    /// engine asks for silence on the stream, so below the lowest of them the
    /// report says nothing.
    #[must_use]
    pub fn actionable(self) -> Self {
        if self.engine_silence < SilenceLimits::REPORT_THRESHOLD {
            return Self::NO_SILENCE;
        }
        self
    }
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
pub struct StreamMonitor {
    last_heard: Instant,
    is_new: bool,
    report: HeartbeatReport,
}

impl StreamMonitor {
    /// Watch of a connection that is opened now.
    pub const fn new(now: Instant) -> Self {
        Self {
            last_heard: now,
            is_new: true,
            report: HeartbeatReport::NO_SILENCE,
        }
    }

    /// A token arrived.
    pub fn record_token(&mut self, now: Instant) {
        self.last_heard = now;
        self.is_new = false;
        self.report.engine_silence = Duration::ZERO;
    }

    /// A heartbeat arrived.
    pub fn record_heartbeat(&mut self, report: HeartbeatReport, now: Instant) {
        self.last_heard = now;
        self.is_new = false;
        self.report = report;
    }

    /// Judge the silence so far.
    pub fn evaluate(&self, limits: &SilenceLimits, now: Instant) -> SilenceVerdict {
        if self.is_engine_dead(limits) {
            return SilenceVerdict::Move;
        }
        let patience = if self.is_new {
            limits.first_event
        } else {
            limits.connection_silence
        };
        let suspicion = self.last_heard + patience;
        if now >= suspicion {
            return SilenceVerdict::Reconnect;
        }
        SilenceVerdict::Wait(suspicion)
    }

    fn is_engine_dead(&self, limits: &SilenceLimits) -> bool {
        let on_stream = self.report.engine_silence;
        let is_silent_to_all = self.report.server_silence >= limits.server_silence;
        on_stream >= limits.engine_silence
            || (on_stream >= limits.server_silence && is_silent_to_all)
    }
}
