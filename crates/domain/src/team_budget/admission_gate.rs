//! Limits on concurrent requests by class.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};

use crate::{ClassCounts, CountLimits, WorkClass};

/// Limits on the concurrent requests of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Largest number of requests of both classes.
    pub total_max: u32,
    /// Largest number of long requests; the rest of the total is reserved for
    /// short ones.
    pub long_max: u32,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalCause {
    /// The process is at its limit of concurrent requests.
    #[display("at the limit of {_0} requests")]
    Limit(u32),
    /// The team exceeds its fair share while servers are full.
    #[display("the team is above its fair share")]
    Share,
    /// No server could start the request in time.
    #[display("no server that was asked can begin")]
    Servers,
}

/// Refusal of a request before anything was dispatched.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{class} work is refused: {cause}")]
pub struct AdmissionRefusal {
    /// Class of the request.
    pub class: WorkClass,
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Limiter of the concurrent requests of a process.
#[derive(Debug)]
pub struct AdmissionGate {
    limits: ClassLimits,
    counts: ClassCounts,
}

impl AdmissionGate {
    /// Time after which a refused caller may retry.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Creates a gate without admitted requests.
    pub const fn new(limits: ClassLimits) -> Self {
        Self {
            limits,
            counts: ClassCounts::new(),
        }
    }

    /// Returns the numbers of all and of long admitted requests that are in
    /// progress.
    pub fn counts(&self) -> (u32, u32) {
        (self.counts.total(), self.counts.long())
    }

    /// Admits or refuses a request.
    pub fn admit(self: &Arc<Self>, class: WorkClass) -> Result<AdmissionPermit, AdmissionRefusal> {
        let limits = CountLimits {
            total: self.limits.total_max,
            long: self.limits.long_max,
        };
        let counted = self.counts.try_increment(class, limits);
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

/// Permit of an admitted request, released when dropped.
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
