//! Parts that are held back, as requests read them.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, Ordering::Relaxed},
    time::Duration,
};

use tokio::time::Instant;

use crate::PartDigest;

/// Time after the last crash at which one request is let through to learn whether the
/// part still crashes servers. It grows by [`TRIAL_GROWTH`] with each such crash.
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
    has_trial: AtomicBool,
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
            has_trial: AtomicBool::new(false),
        }
    }

    /// Claims the trial, if one is due. Only one entry may ask for it.
    pub fn claim_trial(&self, now: Instant) -> bool {
        now >= self.trial_at && !self.has_trial.swap(true, Relaxed)
    }

    /// Keeps the claim of an earlier version of the same verdict.
    pub(super) fn inherit_trial(&self, earlier: &Self) {
        if earlier.last_at == self.last_at {
            let has_trial = earlier.has_trial.load(Relaxed);
            self.has_trial.store(has_trial, Relaxed);
        }
    }
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
                held.inherit_trial(earlier);
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
