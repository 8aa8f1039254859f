//! This process's part of a rate that a server names. The parts of all entries together
//! must stay within the limit, however their sends are distributed.

use std::time::Duration;

use domain::rate_limit::{RateGate, RateLimit};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

/// Time in which the sends of all entries are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).expect("a rate")
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Sends that a gate allows when one is tried each 10 ms.
fn sends(gate: &RateGate, start: Instant, from_ms: u64, to_ms: u64) -> usize {
    let mut tries = (from_ms..to_ms).step_by(10);
    tries
        .by_ref()
        .filter(|ms| gate.try_take(at(start, *ms)))
        .count()
}

#[rstest]
#[case::nan(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-1.0)]
fn number_that_is_no_rate_is_no_limit(#[case] rate: f64) {
    assert_eq!(RateLimit::per_second(rate), None);
}

#[rstest]
#[case::usual(10.0, 4, 90, 100)]
#[case::zero_gets_trials(0.0, 4, 0, 2)]
#[case::huge(1e308, 4, 1_000, 1_000)]
fn one_entry_gets_its_part(
    #[case] rate: f64,
    #[case] entries: usize,
    #[case] least: usize,
    #[case] most: usize,
) {
    let start = Instant::now();
    let gate = RateGate::new(start);
    gate.set_limit(limit(rate), entries, 0.0, start);
    let sent = sends(&gate, start, 0, 10_000) * if rate > 1e6 { 1 } else { entries };
    assert!((least..=most + 10 * entries).contains(&sent), "{sent}");
}

#[test]
fn gate_without_a_limit_is_open() {
    let start = Instant::now();
    let gate = RateGate::new(start);
    assert!((0..1_000).all(|_| gate.try_take(start)));
    assert_eq!(gate.closed_until(start), None);
}

/// Answers on several connections overtake each other.
#[test]
fn limit_ends_with_an_answer_that_names_none() {
    let start = Instant::now();
    let gate = RateGate::new(start);
    assert!(gate.set_limit(limit(0.5), 1, 0.0, at(start, 1_000)));
    assert!(!gate.set_limit(limit(0.5), 1, 0.0, at(start, 1_100)));
    assert!(!gate.end_limit(at(start, 1_150)));
    assert!(gate.limit().is_some());
    assert!(gate.end_limit(at(start, 1_400)));
    assert_eq!(gate.limit(), None);
}

#[test]
fn higher_limit_holds_at_once() {
    let start = Instant::now();
    let gate = RateGate::new(start);
    gate.set_limit(limit(0.0), 100, 0.0, start);
    while gate.try_take(start) {}
    assert!(!gate.try_take(at(start, 30_000)));
    gate.set_limit(limit(100.0), 100, 0.0, at(start, 30_000));
    assert!(gate.try_take(at(start, 32_000)));
}

#[test]
fn stream_that_goes_on_delays_the_next_send() {
    let start = Instant::now();
    let gate = RateGate::new(start);
    gate.set_limit(limit(1.0), 1, 0.0, start);
    while gate.try_take(start) {}
    let before = gate.closed_until(start).expect("it is closed");
    gate.charge(start);
    assert!(gate.closed_until(start).expect("it is closed") > before);
}

proptest! {
    /// All entries press as hard as they can from the moment at which the limit is named,
    /// and again after they were idle.
    #[test]
    fn entries_together_stay_within_the_limit(
        rate in 0.0_f64..60.0,
        entries in 1_usize..120,
        offset in 0.0_f64..1.0,
    ) {
        let start = Instant::now();
        let window_ms = WINDOW.as_millis() as u64;
        let gates: Vec<RateGate> = (0..entries)
            .map(|entry| {
                let gate = RateGate::new(start);
                let phase = (entry as f64 + offset) / entries as f64;
                gate.set_limit(limit(rate), entries, phase, start);
                gate
            })
            .collect();
        for from_ms in [0, window_ms, 5 * window_ms] {
            let sent: usize = gates
                .iter()
                .map(|gate| sends(gate, start, from_ms, from_ms + window_ms))
                .sum();
            let allowed = rate * 1.5 * WINDOW.as_secs_f64() + 5.0;
            prop_assert!(sent as f64 <= allowed, "{sent} sent, {allowed} allowed");
        }
    }
}
