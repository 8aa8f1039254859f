//! Figures of the measurement, from what callers received.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use stand_ins::{EngineCounts, TextSeed};

use super::fault::{FaultEvent, FaultKind};
use crate::{ChatEnd, PatientOutcome};

/// Time after a fault within which an interruption is due to it.
const FAULT_REACH: Duration = Duration::from_millis(450);

/// Waits between two tokens below this are no interruption.
const INTERRUPTION_MIN: Duration = Duration::from_millis(50);

/// Longest wait that a histogram can hold, in milliseconds.
const WAIT_MAX_MS: u64 = 600_000;

/// One generation as its caller saw it, and what was owed.
pub struct Passage {
    /// What came.
    pub received: PatientOutcome,
    /// Text that was owed.
    pub seed: TextSeed,
    /// Tokens that were owed.
    pub count: u32,
    /// Words of the prompt.
    pub prompt_tokens: u64,
}

/// How a generation came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassageVerdict {
    /// Exactly the text that was owed, and the finish.
    Whole,
    /// A prefix of it, and a stated end.
    Stated,
    /// Anything else.
    Wrong,
}

impl Passage {
    /// Judge by the text that was owed.
    pub fn verdict(&self) -> PassageVerdict {
        let tokens = &self.received.outcome.tokens;
        let faults = self.received.faults(self.seed, tokens.len() as u32);
        let is_prefix = faults == Default::default();
        match &self.received.outcome.end {
            ChatEnd::Finished if is_prefix && tokens.len() == self.count as usize => {
                PassageVerdict::Whole
            }
            ChatEnd::Incomplete(_) | ChatEnd::Refused(..) if is_prefix => PassageVerdict::Stated,
            _ => PassageVerdict::Wrong,
        }
    }

    /// Longest wait that a fault caused, if the fault hit the generation.
    fn wait_after(&self, event: &FaultEvent) -> Option<Duration> {
        let arrivals = &self.received.arrivals;
        let last = arrivals.partition_point(|one| one.at <= event.at);
        let last = last.checked_sub(1)?;
        let before = &arrivals[last];
        if self.received.ended_at <= event.at {
            return None;
        }
        let is_hit = event.servers.contains(&before.server) || event.entry == Some(before.entry);
        if !is_hit {
            return None;
        }
        let reach = event.at + FAULT_REACH;
        arrivals[last..]
            .iter()
            .enumerate()
            .take_while(|(_, one)| one.at <= reach)
            .map(|(at, one)| match arrivals.get(last + at + 1) {
                Some(next) => next.at - one.at,
                None => self.received.ended_at - one.at,
            })
            .max()
    }

    /// Longest wait between two tokens.
    pub fn longest_wait(&self) -> Duration {
        let pairs = self.received.arrivals.windows(2);
        pairs
            .map(|pair| pair[1].at - pair[0].at)
            .max()
            .unwrap_or_default()
    }
}

/// What one kind of fault did.
pub struct FaultTally {
    times: u32,
    hit: u32,
    whole: u32,
    stated: u32,
    wrong: u32,
    waits: Histogram<u64>,
}

impl FaultTally {
    fn new() -> Self {
        Self {
            times: 0,
            hit: 0,
            whole: 0,
            stated: 0,
            wrong: 0,
            waits: wait_histogram(),
        }
    }

    fn figures(&self) -> Value {
        let mut figures = wait_figures(&self.waits);
        let counts = json!({
            "times": self.times, "hit": self.hit, "interrupted": self.waits.len(),
            "whole": self.whole, "stated_incomplete": self.stated, "wrong": self.wrong,
        });
        crate::fleet::merge(&mut figures, &counts);
        figures
    }
}

/// Histogram of waits in milliseconds.
pub fn wait_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, WAIT_MAX_MS, 3).expect("the bounds are constant")
}

/// Quantiles of waits.
pub fn wait_figures(waits: &Histogram<u64>) -> Value {
    json!({
        "p50_ms": waits.value_at_quantile(0.50), "p95_ms": waits.value_at_quantile(0.95),
        "p99_ms": waits.value_at_quantile(0.99), "max_ms": waits.max(),
    })
}

/// Figures by fault, and the waits of all faults.
pub fn tally_faults(passages: &[Passage], events: &[FaultEvent]) -> (Value, Histogram<u64>) {
    let mut all = wait_histogram();
    let mut tallies: BTreeMap<FaultKind, FaultTally> = BTreeMap::new();
    for event in events {
        let tally = tallies.entry(event.kind).or_insert_with(FaultTally::new);
        tally.times += 1;
        for passage in passages {
            let Some(wait) = passage.wait_after(event) else {
                continue;
            };
            tally.hit += 1;
            match passage.verdict() {
                PassageVerdict::Whole => tally.whole += 1,
                PassageVerdict::Stated => tally.stated += 1,
                PassageVerdict::Wrong => tally.wrong += 1,
            }
            if wait >= INTERRUPTION_MIN {
                let millis = wait.as_millis() as u64;
                tally.waits.saturating_record(millis);
                all.saturating_record(millis);
            }
        }
    }
    let figures = tallies
        .iter()
        .map(|(kind, tally)| (kind.name().to_owned(), tally.figures()))
        .collect();
    (Value::Object(figures), all)
}

/// Engine work, in tokens and weighed by the time that they cost.
#[derive(Clone, Copy, Debug)]
pub struct EngineWork {
    /// Prompt tokens read, those found in the cache left out.
    pub prefill: u64,
    /// Tokens produced.
    pub decode: u64,
}

impl EngineWork {
    /// What the engines did.
    pub fn done(counts: &[EngineCounts]) -> Self {
        Self {
            prefill: counts.iter().map(|one| one.prefill).sum(),
            decode: counts.iter().map(|one| one.decode).sum(),
        }
    }

    /// What had to be done had nothing failed.
    pub fn useful(passages: &[Passage]) -> Self {
        Self {
            prefill: passages.iter().map(|one| one.prompt_tokens).sum(),
            decode: passages
                .iter()
                .map(|one| one.received.arrivals.len() as u64)
                .sum(),
        }
    }

    /// Work beyond `useful`.
    pub const fn beyond(self, useful: Self) -> Self {
        Self {
            prefill: self.prefill.saturating_sub(useful.prefill),
            decode: self.decode.saturating_sub(useful.decode),
        }
    }

    /// Tokens of both kinds.
    pub const fn tokens(self) -> u64 {
        self.prefill + self.decode
    }

    /// Work in units of one produced token.
    pub fn weighed(self, prefill_weight: f64) -> f64 {
        self.decode as f64 + self.prefill as f64 * prefill_weight
    }
}
