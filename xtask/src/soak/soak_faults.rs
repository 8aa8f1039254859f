//! Faults, one after the other and over each other.

use std::time::Duration;

use derive_more::Display;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::{LinkMode, StoreMode};
use tokio::time::{Instant, sleep};

use super::SoakSite;

/// Faults of each kind that were made.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display(
    "kills={kills} stops={stops} pauses={pauses} links={links} store={store} leaving={leaving} versions={versions}"
)]
pub struct FaultCounts {
    /// Entries killed.
    pub kills: u32,
    /// Entries told to stop.
    pub stops: u32,
    /// Entries paused.
    pub pauses: u32,
    /// Links between processes that were harmed.
    pub links: u32,
    /// Changes of the store's behaviour.
    pub store: u32,
    /// Workers that said that they leave, or came back as another lifetime.
    pub leaving: u32,
    /// Versions of the desired state.
    pub versions: u32,
}

/// Make faults until `end`; then all entries die and everything is set right.
pub async fn draw_faults(site: &SoakSite, seed: u64, end: Instant) -> FaultCounts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut counts = FaultCounts::default();
    let mut harmed: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..600))).await;
        let number = rng.random_range(0..site.entry_count());
        harmed.retain(|&(link, until)| {
            let still = Instant::now() < until;
            if !still {
                site.set_link(link, LinkMode::Pass);
            }
            still
        });
        match rng.random_range(0..15) {
            0 => {
                site.signal(number, Signal::SIGKILL);
                counts.kills += 1;
            }
            1 => {
                site.signal(number, Signal::SIGTERM);
                counts.stops += 1;
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
                site.store.set_mode(modes[rng.random_range(0..modes.len())]);
                counts.store += 1;
            }
            6 | 7 => site.store.set_mode(StoreMode::Serving),
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
    site.store.set_mode(StoreMode::Serving);
    for link in 0..site.link_count() {
        site.set_link(link, LinkMode::Pass);
    }
    for number in 0..site.entry_count() {
        site.signal(number, Signal::SIGCONT);
        site.signal(number, Signal::SIGKILL);
    }
    counts
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
