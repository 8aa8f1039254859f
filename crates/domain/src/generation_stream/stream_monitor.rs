//! Detects lost connections and hung engines from the silence of a stream.
//!
//! A single connection may stop delivering data while new connections to the
//! same server work. Therefore a silent stream is first reopened over a new
//! connection to the same server. The generation resumes on another server only
//! if that fails too or the server reports that its engine is hung.
//!
//! An engine that is silent on one stream may be slow or busy with other
//! streams, so it is considered hung only after `stream_timeout`. If it is also
//! silent on all other streams and does not answer the agent's probes, the much
//! shorter `overall_timeout` applies.

use std::time::Duration;

use tokio::time::Instant;

/// Timeouts for the silence of a stream.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// Silence of the connection after which a new one is opened.
    pub connection_timeout: Duration,
    /// Time within which a new connection must deliver its first event.
    pub first_event_timeout: Duration,
    /// Silence of the engine on this stream after which the generation resumes
    /// on another server, even if the engine is active otherwise.
    pub stream_timeout: Duration,
    /// The same if the engine has also been silent for this long on all other
    /// streams and to probes.
    pub overall_timeout: Duration,
}

impl SilenceLimits {
    /// Minimum silence of the engine on a stream that is reported; no shorter
    /// silence causes any action.
    pub const REPORT_THRESHOLD: Duration = Duration::from_millis(300);
}

impl Default for SilenceLimits {
    fn default() -> Self {
        Self {
            connection_timeout: Duration::from_millis(350),
            first_event_timeout: Duration::from_millis(200),
            stream_timeout: Duration::from_millis(900),
            overall_timeout: Duration::from_millis(400),
        }
    }
}

/// State of the engine as reported by a heartbeat of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// Time since the engine was last active on this stream.
    pub stream_silence: Duration,
    /// Time since the engine was last active on any stream or answered a probe.
    pub overall_silence: Duration,
}

impl HeartbeatReport {
    /// Report of an active engine.
    pub const NO_SILENCE: Self = Self {
        stream_silence: Duration::ZERO,
        overall_silence: Duration::ZERO,
    };

    /// Reduces the report to what may affect a reader. Every rule about the
    /// engine requires a minimum silence on the stream; below
    /// [`SilenceLimits::REPORT_THRESHOLD`] both values are zero.
    #[must_use]
    pub fn actionable(self) -> Self {
        if self.stream_silence < SilenceLimits::REPORT_THRESHOLD {
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
    Resume,
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
        self.report.stream_silence = Duration::ZERO;
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
            return SilenceVerdict::Resume;
        }
        let timeout = if self.is_new {
            limits.first_event_timeout
        } else {
            limits.connection_timeout
        };
        let deadline = self.last_active_at + timeout;
        if now >= deadline {
            return SilenceVerdict::Reconnect;
        }
        SilenceVerdict::Wait(deadline)
    }

    fn is_engine_hung(&self, limits: &SilenceLimits) -> bool {
        let stream_silence = self.report.stream_silence;
        let is_silent_overall = self.report.overall_silence >= limits.overall_timeout;
        stream_silence >= limits.stream_timeout
            || (stream_silence >= limits.overall_timeout && is_silent_overall)
    }
}
