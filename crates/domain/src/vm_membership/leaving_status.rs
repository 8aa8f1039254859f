//! Evidence that one VM is leaving, and what it adds up to.

use std::time::Duration;

use tokio::time::Instant;

use crate::StopVersion;

/// What is known of the leaving of a VM.
///
/// The sources are kept apart, so that none undoes what another one said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeavingStatus {
    ordered: Option<(StopVersion, bool)>,
    reported: bool,
    listed_until: Option<Instant>,
}

impl LeavingStatus {
    /// Time that a word of the platform's list holds after it was last heard;
    /// longer than copies of the list differ in age.
    pub const LISTED_TTL: Duration = Duration::from_secs(15);

    /// Take in the recorded orders at a version.
    pub fn observe_stop(&mut self, version: StopVersion, is_leaving: bool) {
        match self.ordered {
            Some((known, _)) if known > version => {}
            _ => self.ordered = Some((version, is_leaving)),
        }
    }

    /// Version of the recorded orders that were taken in.
    pub fn stop_version(&self) -> StopVersion {
        self.ordered
            .map_or_else(StopVersion::default, |(version, _)| version)
    }

    /// Take in the word of the VM's own agent.
    pub const fn observe_report(&mut self, is_leaving: bool) {
        self.reported = is_leaving;
    }

    /// Take in what a copy of the platform's list says.
    pub fn observe_list(&mut self, is_leaving: bool, now: Instant) {
        if is_leaving {
            self.listed_until = Some(now + Self::LISTED_TTL);
        }
    }

    /// Whether the VM gets no new work.
    pub fn is_leaving(&self, now: Instant) -> bool {
        let is_ordered = matches!(self.ordered, Some((_, true)));
        let is_listed = self.listed_until.is_some_and(|until| now < until);
        is_ordered || self.reported || is_listed
    }
}
