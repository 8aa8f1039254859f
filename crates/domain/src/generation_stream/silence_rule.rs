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
pub struct SilenceRule {
    /// Silence of the connection that leads to a new one.
    pub connection_silence: Duration,
    /// Time within which a new connection must bring its first event.
    pub first_sign: Duration,
    /// Silence of the engine on this stream that leads to another server.
    pub engine_silence: Duration,
    /// Silence of the engine on this stream, and towards everyone else, that
    /// leads to another server.
    pub server_silence: Duration,
}

impl SilenceRule {
    /// Silence of an engine on a stream below which no reader acts on it.
    pub const TOLD_FROM: Duration = Duration::from_millis(300);
}

impl Default for SilenceRule {
    fn default() -> Self {
        Self {
            connection_silence: Duration::from_millis(350),
            first_sign: Duration::from_millis(200),
            engine_silence: Duration::from_millis(900),
            server_silence: Duration::from_millis(400),
        }
    }
}

/// What an agent's heartbeat says of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeatReport {
    /// Time since the engine last gave a sign of life on this stream.
    pub engine_silence: Duration,
    /// Time since the engine last gave a sign of life to anyone.
    pub server_silence: Duration,
}

impl BeatReport {
    /// Nothing to say of the engine.
    pub const QUIET: Self = Self {
        engine_silence: Duration::ZERO,
        server_silence: Duration::ZERO,
    };

    /// The part of a report that a reader may act on: every bound on the
    /// engine asks for silence on the stream, so below the lowest of them the
    /// report says nothing.
    #[must_use]
    pub fn told(self) -> Self {
        if self.engine_silence < SilenceRule::TOLD_FROM {
            return Self::QUIET;
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
pub struct StreamWatch {
    last_heard: Instant,
    is_new: bool,
    report: BeatReport,
}

impl StreamWatch {
    /// Watch of a connection that is opened now.
    pub const fn new(now: Instant) -> Self {
        Self {
            last_heard: now,
            is_new: true,
            report: BeatReport::QUIET,
        }
    }

    /// A token arrived.
    pub fn heard_token(&mut self, now: Instant) {
        self.last_heard = now;
        self.is_new = false;
        self.report.engine_silence = Duration::ZERO;
    }

    /// A heartbeat arrived.
    pub fn heard_beat(&mut self, report: BeatReport, now: Instant) {
        self.last_heard = now;
        self.is_new = false;
        self.report = report;
    }

    /// Judge the silence so far.
    pub fn judge(&self, rule: &SilenceRule, now: Instant) -> SilenceVerdict {
        if self.is_engine_dead(rule) {
            return SilenceVerdict::Move;
        }
        let patience = if self.is_new {
            rule.first_sign
        } else {
            rule.connection_silence
        };
        let suspicion = self.last_heard + patience;
        if now >= suspicion {
            return SilenceVerdict::Reconnect;
        }
        SilenceVerdict::Wait(suspicion)
    }

    fn is_engine_dead(&self, rule: &SilenceRule) -> bool {
        let on_stream = self.report.engine_silence;
        let is_silent_to_all = self.report.server_silence >= rule.server_silence;
        on_stream >= rule.engine_silence || (on_stream >= rule.server_silence && is_silent_to_all)
    }
}
