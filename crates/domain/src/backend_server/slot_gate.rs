//! The slots of one server, set apart by class.
//!
//! The gate stands in the agent, which is the only way to the server, so its
//! counts are exact where the engine's reports are late. Its queue is short:
//! work that would wait long is refused and can be done elsewhere.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error};

use crate::WorkClass;

/// How a server's slots are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLimits {
    /// Slots that long work may hold, in thousandths.
    pub long_milli: u32,
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
pub struct SlotGate {
    limits: Option<SlotLimits>,
    slots: AtomicU32,
    held: AtomicU32,
    long: AtomicU32,
}

impl SlotGate {
    /// Pause that a refused entry is asked to make.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Gate of a server whose slots are not known yet; without limits it
    /// counts only.
    pub const fn new(limits: Option<SlotLimits>) -> Self {
        Self {
            limits,
            slots: AtomicU32::new(0),
            held: AtomicU32::new(0),
            long: AtomicU32::new(0),
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
        self.held.load(Ordering::Relaxed)
    }

    /// Take new work in, or refuse it.
    pub fn enter(self: &Arc<Self>, class: WorkClass) -> Result<SlotPermit, SlotRefusal> {
        let slots = self.slots();
        let (Some(limits), true) = (self.limits, slots > 0) else {
            return Ok(self.enter_always(class));
        };
        let long_max = Self::share(slots, limits.long_milli).max(1);
        let queue_max = Self::share(slots, limits.queue_milli).max(1);
        // Long work never waits here: it would hold short work's turn.
        let total_max = match class {
            WorkClass::Short => slots + queue_max,
            WorkClass::Long => slots,
        };
        if class == WorkClass::Long && !Self::raise(&self.long, long_max) {
            return Err(SlotRefusal {
                class,
                held: long_max,
                limit: long_max,
            });
        }
        if !Self::raise(&self.held, total_max) {
            if class == WorkClass::Long {
                self.long.fetch_sub(1, Ordering::Relaxed);
            }
            return Err(SlotRefusal {
                class,
                held: total_max,
                limit: total_max,
            });
        }
        Ok(self.permit(class))
    }

    /// Take in work that was promised already, whatever the counts are.
    pub fn enter_always(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        self.held.fetch_add(1, Ordering::Relaxed);
        if class == WorkClass::Long {
            self.long.fetch_add(1, Ordering::Relaxed);
        }
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

    fn raise(counter: &AtomicU32, max: u32) -> bool {
        counter
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < max).then_some(count + 1)
            })
            .is_ok()
    }
}

/// A request at the server, until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: Arc<SlotGate>,
    class: WorkClass,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.held.fetch_sub(1, Ordering::Relaxed);
        if self.class == WorkClass::Long {
            self.gate.long.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
