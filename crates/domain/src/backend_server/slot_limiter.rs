//! Concurrency limiter of one server, with slots reserved for each work class.
//!
//! The limiter runs in the agent, through which all requests to the server pass,
//! so its counts are exact, while the engine's reports lag behind. The queue is
//! short: work that would wait long is refused, so that another server can take
//! it.
//!
//! New long work is limited to a share of the slots. In return a share is
//! reserved for long work, but only for a short time after some was refused,
//! because long work is rare.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error};

use tokio::time::Instant;

use crate::{ClassCounts, CountLimits, CountRefusal, WorkClass, backend_server::AtomicInstant};

/// Division of a server's slots between the work classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Maximum share of slots for long work, in thousandths.
    pub long_milli: u32,
    /// Share of slots reserved for long work after some was refused, in
    /// thousandths.
    pub long_floor_milli: u32,
    /// Maximum queue length as a share of the slots, in thousandths.
    pub queue_milli: u32,
}

/// Refusal of a request before anything was sent to the server.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no free slot for {class} work: {in_flight} of {limit} in use")]
pub struct SlotRefusal {
    /// Class of the refused request.
    pub class: WorkClass,
    /// Requests counted against the limit.
    pub in_flight: u32,
    /// Limit that was reached.
    pub limit: u32,
}

/// Limits the requests running or queued at one server.
#[derive(Debug)]
pub struct SlotLimiter {
    limits: Option<SlotLimits>,
    slots: AtomicU32,
    counts: ClassCounts,
    long_refused_at: AtomicInstant,
}

impl SlotLimiter {
    /// Time for which slots stay reserved after long work was refused.
    const LONG_RESERVATION: Duration = Duration::from_secs(1);

    /// Delay after which a refused entry may retry.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Creates a limiter for a server whose number of slots is not known yet.
    /// Without limits it only counts requests.
    pub const fn new(limits: Option<SlotLimits>, now: Instant) -> Self {
        Self {
            limits,
            slots: AtomicU32::new(0),
            counts: ClassCounts::new(),
            long_refused_at: AtomicInstant::new(now),
        }
    }

    /// Sets the server's number of slots.
    pub fn set_slots(&self, slots: u32) {
        self.slots.store(slots, Ordering::Relaxed);
    }

    /// The server's number of slots; zero while it is not known.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Requests running or queued at the server.
    pub fn in_flight(&self) -> u32 {
        self.counts.total()
    }

    /// Admits new work, or refuses it if the limit of its class is reached.
    pub fn try_acquire(
        self: &Arc<Self>,
        class: WorkClass,
        now: Instant,
    ) -> Result<SlotPermit, SlotRefusal> {
        let slots = self.slots();
        let (Some(limits), true) = (self.limits, slots > 0) else {
            return Ok(self.force_acquire(class));
        };
        let count_limits = match class {
            WorkClass::Short => CountLimits {
                total: self.short_limit(limits, slots, now),
                long: 0,
            },
            // Long work is never queued, since it would delay the short work
            // queued behind it.
            WorkClass::Long => CountLimits {
                total: slots,
                long: Self::share_of(slots, limits.long_milli).max(1),
            },
        };
        match self.counts.try_increment(class, count_limits) {
            Ok(()) => Ok(self.new_permit(class)),
            Err(CountRefusal { in_flight, limit }) => {
                if class == WorkClass::Long {
                    self.long_refused_at.set(now);
                }
                Err(SlotRefusal {
                    class,
                    in_flight,
                    limit,
                })
            }
        }
    }

    /// Maximum number of running and queued requests for admitting short work.
    fn short_limit(&self, limits: SlotLimits, slots: u32, now: Instant) -> u32 {
        let max_queued = Self::share_of(slots, limits.queue_milli).max(1);
        let long_floor = Self::share_of(slots, limits.long_floor_milli);
        let long_unused = long_floor.saturating_sub(self.counts.long());
        let is_reserved = self.long_refused_at.age(now) < Self::LONG_RESERVATION;
        // Nothing may queue meanwhile: queued short work would take the reserved
        // slot as soon as it becomes free.
        if is_reserved && long_unused > 0 {
            slots - long_unused.min(slots - 1)
        } else {
            slots + max_queued
        }
    }

    /// Admits work that was already accepted, regardless of the limits.
    pub fn force_acquire(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        self.counts.increment(class);
        self.new_permit(class)
    }

    fn new_permit(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        SlotPermit {
            limiter: Arc::clone(self),
            class,
        }
    }

    /// Converts a share in thousandths to a number of slots.
    const fn share_of(slots: u32, milli: u32) -> u32 {
        slots.saturating_mul(milli) / 1_000
    }
}

/// Slot of a request, released when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    limiter: Arc<SlotLimiter>,
    class: WorkClass,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.limiter.counts.decrement(self.class);
    }
}
