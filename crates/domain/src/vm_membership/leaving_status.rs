//! Whether a VM is leaving, combined from several sources.

use std::time::Duration;

use tokio::time::Instant;

use crate::StopVersion;

/// Whether a VM is leaving, according to each source.
///
/// The sources are stored separately so that no source overwrites the
/// information of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeavingStatus {
    /// Version of the stop orders, and whether they stop the VM.
    stopped: Option<(StopVersion, bool)>,
    reported: bool,
    listed_until: Option<Instant>,
}

impl LeavingStatus {
    /// Time for which a leaving mark in the platform's list stays valid after it
    /// was last seen; longer than the age difference between copies of the list.
    pub const LISTED_TTL: Duration = Duration::from_secs(15);

    /// Records whether the stop orders at `version` stop the VM; ignores an older
    /// version than the known one.
    pub fn observe_stop(&mut self, version: StopVersion, is_leaving: bool) {
        match self.stopped {
            Some((known, _)) if known > version => {}
            _ => self.stopped = Some((version, is_leaving)),
        }
    }

    /// Returns the known version of the stop orders.
    pub fn stop_version(&self) -> StopVersion {
        self.stopped
            .map_or_else(StopVersion::default, |(version, _)| version)
    }

    /// Records a report of the agent on the VM.
    pub const fn observe_report(&mut self, is_leaving: bool) {
        self.reported = is_leaving;
    }

    /// Records whether a copy of the platform's list marks the VM as leaving. A
    /// list without the mark may be an older copy, so it clears nothing.
    pub fn observe_list(&mut self, is_leaving: bool, now: Instant) {
        if is_leaving {
            self.listed_until = Some(now + Self::LISTED_TTL);
        }
    }

    /// Returns whether the VM must not receive new work: one source is enough.
    pub fn is_leaving(&self, now: Instant) -> bool {
        let is_stopped = matches!(self.stopped, Some((_, true)));
        let is_listed = self.listed_until.is_some_and(|until| now < until);
        is_stopped || self.reported || is_listed
    }
}
