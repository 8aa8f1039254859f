//! A soak: entries as real processes, under faults that a seed draws.
//!
//! Store and workers are stand-ins in this process. Entries are paused, killed,
//! stopped and started again; the store falls silent, refuses, forgets, and comes back from
//! older copies;
//! workers spoil a share of their answers, and lose their addresses to others; versions of
//! a service are rolled out. Callers go on all the while, and what they got is held against what the workers ran.

mod soak_callers;
mod soak_faults;
mod soak_rollouts;
mod soak_site;
mod soak_store;
mod witness;

use std::{sync::Arc, time::Duration};

use miette::{IntoDiagnostic, Result, miette};
use tokio::{task::JoinSet, time::Instant};

pub use soak_callers::{has_newest_state, recovers};
pub use soak_faults::{FaultCounts, draw_faults, end_faults, kill_all};
pub use soak_rollouts::{RolloutCounts, RolloutRecord, rollout_faults};
pub use soak_site::{ENTRIES_MAX, SoakSite};
pub use soak_store::SoakStore;
pub use witness::{
    ArrivalRecord, BrokenPromise, CallRecord, LeavingRecord, MarkRecord, OnceRecord, SoakWitness,
    StreamRecord, wrong_services,
};

/// Looks whether an entry serves again; 20 ms apart they take half a minute.
const RECOVER_LOOKS: u32 = 1_500;
/// Looks whether an entry has the newest desired state; 20 ms apart they take 10 s, in which
/// an entry that did not follow another one does so again.
const STATE_LOOKS: u32 = 500;
/// Callers at once for each entry, besides one that keeps its connection.
const CALLERS_PER_ENTRY: u64 = 5;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Seconds of faults.
    pub seconds: u64,
    /// Entries, at most [`ENTRIES_MAX`].
    pub entries: u8,
}

/// Play one run; a broken promise is an error.
pub async fn run(options: SoakOptions) -> Result<()> {
    let site = Arc::new(SoakSite::start(options.seed, options.entries).await?);
    let witness = Arc::new(SoakWitness::default());
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS_PER_ENTRY * u64::from(options.entries) {
        let (site, witness) = (Arc::clone(&site), Arc::clone(&witness));
        let seed = options.seed * 1_000 + number;
        callers.spawn(soak_callers::call_until(site, witness, seed, end));
    }
    for number in 0..site.entry_count() {
        let (site, witness) = (Arc::clone(&site), Arc::clone(&witness));
        let kept = soak_callers::book_on_kept_connections(site, witness, number, end);
        callers.spawn(kept);
    }
    let rollouts = soak_rollouts::draw_rollouts(Arc::clone(&site), options.seed, end);
    let rollouts = tokio::spawn(rollouts);
    let faults = draw_faults(&site, options.seed, end).await;
    let (orders, records) = rollouts.await.into_diagnostic()??;
    while callers.join_next().await.is_some() {}
    let has_newest = has_newest_state(&site, STATE_LOOKS).await;
    kill_all(&site);
    let recovered = recovers(&site, RECOVER_LOOKS).await;
    let ran = site.ran();
    let mut broken = witness.broken(&ran);
    broken.extend(witness.sent_to_leaving(&site.arrivals()));
    broken.extend(witness.lost_answers(&site.runs(), &site.harmed()));
    broken.extend(wrong_services(&site.runs()));
    if !has_newest {
        broken.push(BrokenPromise::NotNewest);
    }
    if !recovered {
        broken.push(BrokenPromise::NotRecovered);
    }
    broken.extend(records.iter().flat_map(rollout_faults));
    if !soak_rollouts::settles(&site).await {
        broken.push(BrokenPromise::NotSettled);
    }
    let (calls, streams, marks) = witness.counts();
    println!(
        "soak seed={} seconds={} entries={} calls={calls} streams={streams} marks={marks} {faults} {orders} broken={}",
        options.seed,
        options.seconds,
        options.entries,
        broken.len()
    );
    if broken.is_empty() {
        return Ok(());
    }
    let list: Vec<String> = broken.iter().map(ToString::to_string).collect();
    Err(miette!("seed {}: {}", options.seed, list.join("; ")))
}
