//! Detects lost connections and hung engines from the silence of a stream.
//!
//! A single connection may stop delivering data while new connections to the
//! same server work. Therefore a silent stream is first reopened over a new
//! connection to the same server. The generation moves to another server only
//! if that fails too or the server reports that its engine is hung.
//!
//! An engine that is silent on one stream may be slow or busy with other
//! streams. An engine that is silent on all streams and does not answer probes
//! either is considered hung after less than half the time.

use std::time::Duration;

use tokio::time::Instant;

/// Timeouts for the silence of a stream.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// Silence of the connection after which a new one is opened.
    pub connection_silence: Duration,
    /// Time within which a new connection must deliver its first event.
    pub first_event: Duration,
    /// Silence of the engine on this stream after which the generation moves to
    /// another server, even if the engine is active elsewhere.
    pub engine_silence: Duration,
    /// Silence of the engine on this stream and towards all others after which
    /// the generation moves to another server.
    pub server_silence: Duration,
}

impl SilenceLimits {
    /// Silence of the engine on a stream below which a reader takes no action
    /// and none is reported.
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

/// State of the engine as reported by a heartbeat of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// Time since the engine was last active on this stream.
    pub engine_silence: Duration,
    /// Time since the engine was last active on any stream or answered a probe.
    pub server_silence: Duration,
}

impl HeartbeatReport {
    /// Report of an active engine.
    pub const NO_SILENCE: Self = Self {
        engine_silence: Duration::ZERO,
        server_silence: Duration::ZERO,
    };

    /// Reduces the report to what may affect a reader. Every rule about the
    /// engine requires a minimum silence on the stream; below
    /// [`SilenceLimits::REPORT_THRESHOLD`] both values are zero.
    #[must_use]
    pub fn actionable(self) -> Self {
        if self.engine_silence < SilenceLimits::REPORT_THRESHOLD {
            return Self::NO_SILENCE;
        }
        self
    }
}

/// Result of [`StreamMonitor::evaluate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// Keep reading; evaluate again at this instant.
    Wait(Instant),
    /// Open a new connection to the same server.
    Reconnect,
    /// Resume on another server.
    Move,
}

/// Tracks the activity of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamMonitor {
    last_active_at: Instant,
    is_new: bool,
    report: HeartbeatReport,
}

impl StreamMonitor {
    /// Creates the monitor of a connection that is opened at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            last_active_at: now,
            is_new: true,
            report: HeartbeatReport::NO_SILENCE,
        }
    }

    /// Records the arrival of a token.
    pub fn record_token(&mut self, now: Instant) {
        self.last_active_at = now;
        self.is_new = false;
        self.report.engine_silence = Duration::ZERO;
    }

    /// Records the arrival of a heartbeat.
    pub fn record_heartbeat(&mut self, report: HeartbeatReport, now: Instant) {
        self.last_active_at = now;
        self.is_new = false;
        self.report = report;
    }

    /// Decides what to do about the silence at `now`.
    pub fn evaluate(&self, limits: &SilenceLimits, now: Instant) -> SilenceVerdict {
        if self.is_engine_hung(limits) {
            return SilenceVerdict::Move;
        }
        let timeout = if self.is_new {
            limits.first_event
        } else {
            limits.connection_silence
        };
        let deadline = self.last_active_at + timeout;
        if now >= deadline {
            return SilenceVerdict::Reconnect;
        }
        SilenceVerdict::Wait(deadline)
    }

    fn is_engine_hung(&self, limits: &SilenceLimits) -> bool {
        let stream_silence = self.report.engine_silence;
        let is_silent_everywhere = self.report.server_silence >= limits.server_silence;
        stream_silence >= limits.engine_silence
            || (stream_silence >= limits.server_silence && is_silent_everywhere)
    }
}
