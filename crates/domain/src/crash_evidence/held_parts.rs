//! Parts that are held back, as requests read them.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU32, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

use crate::PartDigest;

/// Time after the last crash at which one request is let through to learn whether the
/// part still crashes servers, and between two such trials, because the first may be
/// lost. The time to the first grows by [`TRIAL_GROWTH`] with each such crash.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Growth of the delay with each crash beyond those that led to the verdict.
const TRIAL_GROWTH: u32 = 10;
/// Largest exponent of the growth.
const TRIAL_STEPS_MAX: u32 = 3;

/// A part that is held back.
#[derive(Debug)]
pub struct HeldPart {
    /// The part.
    pub part: PartDigest,
    /// Crashes that it explains; those that came together count as one.
    pub crashes: usize,
    /// First of them.
    pub first_at: Instant,
    /// Last of them.
    pub last_at: Instant,
    /// Entries that saw them.
    pub seen_by: Vec<Box<str>>,
    /// When a request may be let through.
    pub trial_at: Instant,
    trials: AtomicU32,
}

impl HeldPart {
    pub(super) fn new(
        part: PartDigest,
        crashes: usize,
        excess: usize,
        span: (Instant, Instant),
        seen_by: Vec<Box<str>>,
    ) -> Self {
        let (first_at, last_at) = span;
        let steps = u32::try_from(excess).unwrap_or(u32::MAX);
        let delay = TRIAL_DELAY * TRIAL_GROWTH.pow(steps.min(TRIAL_STEPS_MAX));
        Self {
            part,
            crashes,
            first_at,
            last_at,
            seen_by,
            trial_at: last_at + delay,
            trials: AtomicU32::new(0),
        }
    }

    /// Number of trials that were claimed, if another one is due.
    fn due_trial(&self, now: Instant) -> Option<u32> {
        let trials = self.trials.load(Relaxed);
        let due_at = self.trial_at + TRIAL_DELAY * trials;
        (now >= due_at).then_some(trials)
    }

    /// Claims a trial, if one is due. Only one entry may ask for it.
    pub fn claim_trial(&self, now: Instant) -> bool {
        self.due_trial(now).is_some_and(|trials| {
            self.trials
                .compare_exchange(trials, trials + 1, Relaxed, Relaxed)
                .is_ok()
        })
    }

    /// Keeps the claims of an earlier version of the same verdict.
    pub(super) fn inherit_trials(&self, earlier: &Self) {
        if earlier.last_at == self.last_at {
            self.trials.store(earlier.trials.load(Relaxed), Relaxed);
        }
    }
}

/// What the verdict means for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldVerdict {
    /// No part of its prompt is held back.
    Free,
    /// It is let through to learn whether this part still crashes servers.
    Trial(PartDigest),
    /// This part is held back.
    Held(PartDigest),
}

/// All parts that are held back.
#[derive(Debug, Default)]
pub struct HeldParts {
    parts: HashMap<PartDigest, HeldPart>,
}

impl HeldParts {
    pub(super) fn new(parts: impl Iterator<Item = HeldPart>, earlier: &Self) -> Self {
        let parts: HashMap<_, _> = parts.map(|held| (held.part, held)).collect();
        for (part, held) in &parts {
            if let Some(earlier) = earlier.parts.get(part) {
                held.inherit_trials(earlier);
            }
        }
        Self { parts }
    }

    /// The first of a request's parts that is held back.
    pub fn find(&self, parts: &[PartDigest]) -> Option<&HeldPart> {
        if self.parts.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| self.parts.get(part))
    }

    /// Judges a request with these parts. `may_try` says whether this entry lets requests
    /// through; one with several held parts is a trial only if one of each is due.
    pub fn judge(&self, parts: &[PartDigest], may_try: bool, now: Instant) -> HoldVerdict {
        let Some(first) = self.find(parts) else {
            return HoldVerdict::Free;
        };
        let mut held = parts.iter().filter_map(|part| self.parts.get(part));
        let blocking = held.find(|held| !may_try || held.due_trial(now).is_none());
        if let Some(blocking) = blocking {
            return HoldVerdict::Held(blocking.part);
        }
        let held = parts.iter().filter_map(|part| self.parts.get(part));
        // Claims those of the others too, so that none is tried twice.
        let claimed = held.filter(|held| held.claim_trial(now)).count();
        if claimed > 0 {
            HoldVerdict::Trial(first.part)
        } else {
            HoldVerdict::Held(first.part)
        }
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &HeldPart> {
        self.parts.values()
    }

    /// Their number.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether nothing is held back.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
