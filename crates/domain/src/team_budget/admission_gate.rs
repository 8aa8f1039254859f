//! Admission of requests by class.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};

use crate::{ClassCounts, CountBounds, WorkClass};

/// Requests that a process takes at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Requests of both classes together.
    pub total_max: u32,
    /// Long requests; the rest of the total is set apart for short work.
    pub long_max: u32,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalCause {
    /// The process holds as many requests as it may.
    #[display("at the limit of {_0} requests")]
    Limit(u32),
    /// The team sends more than its share while servers are full.
    #[display("the team is above its fair share")]
    Share,
    /// No server could begin in time.
    #[display("no server that was asked can begin")]
    Servers,
}

/// Refusal before anything was dispatched.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{class} work is refused: {cause}")]
pub struct AdmissionRefusal {
    /// Class of the request.
    pub class: WorkClass,
    /// Why it was refused.
    pub cause: RefusalCause,
    /// When to try again.
    pub retry_after: Duration,
}

/// Counts of the requests that were taken in.
#[derive(Debug)]
pub struct AdmissionGate {
    limits: ClassLimits,
    counts: ClassCounts,
}

impl AdmissionGate {
    /// Pause that a refused caller is asked to make.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Gate without requests.
    pub const fn new(limits: ClassLimits) -> Self {
        Self {
            limits,
            counts: ClassCounts::new(),
        }
    }

    /// Requests taken in and not finished: all, and the long ones among them.
    pub fn counts(&self) -> (u32, u32) {
        (self.counts.total(), self.counts.long())
    }

    /// Take a request in, or refuse it.
    pub fn admit(self: &Arc<Self>, class: WorkClass) -> Result<AdmissionPermit, AdmissionRefusal> {
        let bounds = CountBounds {
            total: self.limits.total_max,
            long: self.limits.long_max,
        };
        let counted = self.counts.try_increment(class, bounds);
        counted.map_err(|refusal| AdmissionRefusal {
            class,
            cause: RefusalCause::Limit(refusal.limit),
            retry_after: Self::RETRY_AFTER,
        })?;
        Ok(AdmissionPermit {
            gate: Arc::clone(self),
            class,
        })
    }
}

/// A request that was taken in, until it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    gate: Arc<AdmissionGate>,
    class: WorkClass,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.counts.decrement(self.class);
    }
}
