//! The slots of one server, set apart by class.
//!
//! The gate stands in the agent, which is the only way to the server, so its
//! counts are exact where the engine's reports are late. Its queue is short:
//! work that would wait long is refused and can be done elsewhere.
//!
//! Each class has slots that the other cannot take. Those of long work are left
//! to it only while it asks, since long work comes seldom.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error};

use tokio::time::Instant;

use crate::{ClassCounts, CountBounds, CountRefusal, WorkClass, backend_server::AtomicInstant};

/// How a server's slots are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Slots that long work may hold, in thousandths.
    pub long_milli: u32,
    /// Slots that short work leaves to long work that asks for them, in
    /// thousandths.
    pub long_floor_milli: u32,
    /// Requests that may wait for each slot, in thousandths.
    pub queue_milli: u32,
}

/// Refusal before anything was sent to the server.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no slot for {class} work: {held} of {limit} are held")]
pub struct SlotRefusal {
    /// Class that is full.
    pub class: WorkClass,
    /// Requests that count towards the limit.
    pub held: u32,
    /// The limit.
    pub limit: u32,
}

/// Counts of the requests at a server.
#[derive(Debug)]
pub struct SlotLimiter {
    limits: Option<SlotLimits>,
    slots: AtomicU32,
    counts: ClassCounts,
    long_wanted_at: AtomicInstant,
}

impl SlotLimiter {
    /// Time that slots are left to long work after some was refused.
    const WANTED_FOR: Duration = Duration::from_secs(1);

    /// Pause that a refused entry is asked to make.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Gate of a server whose slots are not known yet; without limits it
    /// counts only.
    pub const fn new(limits: Option<SlotLimits>, now: Instant) -> Self {
        Self {
            limits,
            slots: AtomicU32::new(0),
            counts: ClassCounts::new(),
            long_wanted_at: AtomicInstant::new(now),
        }
    }

    /// Learn how many slots the server has.
    pub fn set_slots(&self, slots: u32) {
        self.slots.store(slots, Ordering::Relaxed);
    }

    /// Slots of the server; none while they are not known.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Requests that run or wait at the server.
    pub fn held(&self) -> u32 {
        self.counts.total()
    }

    /// Take new work in, or refuse it.
    pub fn try_acquire(
        self: &Arc<Self>,
        class: WorkClass,
        now: Instant,
    ) -> Result<SlotPermit, SlotRefusal> {
        let slots = self.slots();
        let (Some(limits), true) = (self.limits, slots > 0) else {
            return Ok(self.force_acquire(class));
        };
        let bounds = match class {
            WorkClass::Short => CountBounds {
                total: self.short_max(limits, slots, now),
                long: 0,
            },
            // Long work never waits here: it would hold short work's turn.
            WorkClass::Long => CountBounds {
                total: slots,
                long: Self::share(slots, limits.long_milli).max(1),
            },
        };
        match self.counts.try_increment(class, bounds) {
            Ok(()) => Ok(self.permit(class)),
            Err(CountRefusal { in_flight, limit }) => {
                if class == WorkClass::Long {
                    self.long_wanted_at.set(now);
                }
                Err(SlotRefusal {
                    class,
                    held: in_flight,
                    limit,
                })
            }
        }
    }

    /// Requests beyond which short work is refused.
    fn short_max(&self, limits: SlotLimits, slots: u32, now: Instant) -> u32 {
        let queue_max = Self::share(slots, limits.queue_milli).max(1);
        let long_floor = Self::share(slots, limits.long_floor_milli);
        let long_missing = long_floor.saturating_sub(self.counts.long());
        let is_wanted = self.long_wanted_at.age(now) < Self::WANTED_FOR;
        // Work that waits would take the slot that is being left.
        if is_wanted && long_missing > 0 {
            slots - long_missing.min(slots - 1)
        } else {
            slots + queue_max
        }
    }

    /// Take in work that was promised already, whatever the counts are.
    pub fn force_acquire(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        self.counts.increment(class);
        self.permit(class)
    }

    fn permit(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        SlotPermit {
            gate: Arc::clone(self),
            class,
        }
    }

    const fn share(slots: u32, milli: u32) -> u32 {
        slots.saturating_mul(milli) / 1_000
    }
}

/// A request at the server, until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Arc<SlotLimiter>,
    class: WorkClass,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.counts.decrement(self.class);
    }
}
