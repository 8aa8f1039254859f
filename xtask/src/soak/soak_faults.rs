//! Faults, one after the other and over each other.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::{LinkMode, StoreMode};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{SoakSite, soak_site::REASSIGN_TIME};

/// Faults of each kind that were made.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display(
    "kills={kills} stops={stops} signals={signals} pauses={pauses} reassigned={reassigned} links={links} store={store} leaving={leaving} versions={versions} restores={restores}"
)]
pub struct FaultCounts {
    /// Entries killed.
    pub kills: u32,
    /// Entries told to stop.
    pub stops: u32,
    /// Further signals to entries that were told to stop.
    pub signals: u32,
    /// Entries paused.
    pub pauses: u32,
    /// Addresses of crashed workers that another service got.
    pub reassigned: u32,
    /// Links between processes that were harmed.
    pub links: u32,
    /// Changes of the store's behaviour.
    pub store: u32,
    /// Workers that said that they leave, or came back as another lifetime.
    pub leaving: u32,
    /// Versions of the desired state.
    pub versions: u32,
    /// Returns of the store from an older copy.
    pub restores: u32,
}

/// Make faults until `end`; then everything is set right.
pub async fn draw_faults(site: &Arc<SoakSite>, seed: u64, end: Instant) -> FaultCounts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rewrites = JoinSet::new();
    let mut counts = FaultCounts::default();
    let mut harmed: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..600))).await;
        site.store.keep_copy();
        let number = rng.random_range(0..site.entry_count());
        harmed.retain(|&(link, until)| {
            let still = Instant::now() < until;
            if !still {
                site.set_link(link, LinkMode::Pass);
            }
            still
        });
        match rng.random_range(0..20) {
            0 => {
                site.signal(number, Signal::SIGKILL);
                counts.kills += 1;
            }
            1 => {
                site.signal(number, Signal::SIGTERM);
                counts.stops += 1;
            }
            15 | 16 => {
                counts.stops += 1;
                counts.signals += stop_with_series(site, number, &mut rng).await;
            }
            18 | 19 => {
                if restore_store(site, &mut rng).await {
                    counts.restores += 1;
                    let rng = SmallRng::seed_from_u64(rng.random());
                    let site = Arc::clone(site);
                    rewrites.spawn(async move { site.store.write_again(rng).await });
                }
            }
            17 => {
                let worker = rng.random_range(0..site.worker_count());
                let is_paused = rng.random_bool(0.7);
                if reassign(site, worker, is_paused.then_some(number), &mut rng).await {
                    counts.reassigned += 1;
                    counts.pauses += u32::from(is_paused);
                }
            }
            2 => {
                site.signal(number, Signal::SIGSTOP);
                sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
                site.signal(number, Signal::SIGCONT);
                counts.pauses += 1;
            }
            3 => site.signal(number, Signal::SIGHUP),
            4 | 5 => {
                let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::HistoryGone];
                site.store
                    .rows()
                    .set_mode(modes[rng.random_range(0..modes.len())]);
                counts.store += 1;
            }
            6 | 7 => site.store.rows().set_mode(StoreMode::Serving),
            8..=11 => {
                // A link that is harmed already takes the newer harm.
                let link = rng.random_range(0..site.link_count());
                site.set_link(link, draw_harm(&mut rng));
                let time = Duration::from_millis(rng.random_range(100..2_500));
                harmed.push((link, Instant::now() + time));
                counts.links += 1;
            }
            12 => {
                site.turn_worker(rng.random_range(0..site.worker_count()));
                counts.leaving += 1;
            }
            _ => {
                site.publish();
                counts.versions += 1;
            }
        }
        revive_all(site);
    }
    end_faults(site);
    while rewrites.join_next().await.is_some() {}
    counts
}

/// Set everything right that is harmed, and replace the workers that leave.
pub fn end_faults(site: &SoakSite) {
    site.store.rows().set_mode(StoreMode::Serving);
    for link in 0..site.link_count() {
        site.set_link(link, LinkMode::Pass);
    }
    for number in 0..site.entry_count() {
        site.signal(number, Signal::SIGCONT);
    }
    site.replace_leaving();
}

/// Kill all entries at once.
pub fn kill_all(site: &SoakSite) {
    for number in 0..site.entry_count() {
        site.signal(number, Signal::SIGKILL);
    }
}

/// Let the store fall silent, or serve on, and come back from a copy. Returns whether there
/// was one.
async fn restore_store(site: &SoakSite, rng: &mut SmallRng) -> bool {
    if rng.random_bool(0.6) {
        site.store.rows().set_mode(StoreMode::Silent);
        sleep(Duration::from_millis(rng.random_range(20..1_500))).await;
    }
    let is_restored = site.store.restore(rng);
    site.store.rows().set_mode(StoreMode::Serving);
    is_restored
}

/// Stop an entry, with more signals and changes of its settings before and after.
/// Returns the number of further signals.
async fn stop_with_series(site: &SoakSite, number: usize, rng: &mut SmallRng) -> u32 {
    let mut signals = 0;
    let count = rng.random_range(1..5);
    let stop_at = rng.random_range(0..=count);
    for position in 0..=count {
        let signal = if position == stop_at || (position > stop_at && rng.random_bool(0.5)) {
            Signal::SIGTERM
        } else {
            if rng.random_bool(0.5)
                && let Err(error) = site.change_grace(number, rng.random_range(2..6))
            {
                eprintln!("settings of entry {number} cannot be changed: {error}");
            }
            Signal::SIGHUP
        };
        signals += u32::from(position != stop_at);
        site.signal(number, signal);
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
    }
    signals
}

/// Let a worker of another service get a crashed one's address, while an entry stands
/// still. Its registration comes some time after its first answers. Returns whether the
/// worker could be spared.
async fn reassign(
    site: &SoakSite,
    worker: usize,
    paused: Option<usize>,
    rng: &mut SmallRng,
) -> bool {
    let signal = |signal| paused.iter().for_each(|entry| site.signal(*entry, signal));
    signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(rng.random_range(50..300))).await;
    let is_spared = site.reassign(worker);
    if is_spared {
        sleep(REASSIGN_TIME + Duration::from_millis(rng.random_range(50..300))).await;
    }
    signal(Signal::SIGCONT);
    if is_spared {
        sleep(Duration::from_millis(rng.random_range(0..800))).await;
        site.register(worker, site.worker_lifetime(worker) + 1);
    }
    is_spared
}

fn draw_harm(rng: &mut SmallRng) -> LinkMode {
    match rng.random_range(0..6) {
        0 => LinkMode::Delay {
            ms: rng.random_range(5..300),
        },
        1 => LinkMode::Cut,
        2 => LinkMode::SilenceOpen,
        3 => LinkMode::Silence,
        4 => LinkMode::LoseForward,
        _ => LinkMode::LoseBackward,
    }
}

/// Start again what has ended; one that cannot start shows as not recovered.
pub(super) fn revive_all(site: &SoakSite) {
    for number in 0..site.entry_count() {
        if let Err(error) = site.revive(number) {
            eprintln!("entry {number} does not start: {error}");
        }
    }
}
