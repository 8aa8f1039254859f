//! Processes ask entries for notes, and the store when they have to.

use std::{net::SocketAddr, time::Duration};

use domain::serving_config::ConfigSources;
use rstest::rstest;
use tokio::time::{Instant, advance};

fn entry(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16))
}

/// Check when the store is asked by a process that `known` entries have told
/// something and of which those in `failed` gave no answer.
async fn check(known: usize, failed: &[usize], entries: &[usize], due_after_ms: u64) {
    let mut sources = ConfigSources::new(Instant::now());
    (0..known).for_each(|at| sources.add_entry(entry(at)));
    failed
        .iter()
        .for_each(|&at| sources.record_failure(entry(at)));
    let expected: Vec<_> = entries.iter().map(|&at| entry(at)).collect();
    assert_eq!(sources.entries(), expected);

    advance(Duration::from_millis(due_after_ms - 1)).await;
    assert!(!sources.is_store_query_due(Instant::now()));
    advance(Duration::from_millis(1)).await;
    assert!(sources.is_store_query_due(Instant::now()));

    sources.record_answer(Instant::now());
    assert!(!sources.is_store_query_due(Instant::now()));
}

#[rstest]
#[case::knows_none(0, &[], &[], 2_000)]
#[case::knows_one(1, &[], &[0], 2_000)]
#[case::keeps_the_last(1, &[0], &[0], 2_000)]
#[case::knows_two(2, &[], &[0, 1], 6_000)]
#[case::forgets_who_gives_no_answer(3, &[1], &[0, 2], 6_000)]
#[case::lonely_by_failures(3, &[1, 0, 2], &[2], 2_000)]
#[tokio::test(start_paused = true)]
async fn store_is_asked_in_need(
    #[case] known: usize,
    #[case] failed: &[usize],
    #[case] entries: &[usize],
    #[case] due_after_ms: u64,
) {
    check(known, failed, entries, due_after_ms).await;
}

#[tokio::test(start_paused = true)]
async fn memory_of_entries_is_bounded() {
    let mut sources = ConfigSources::new(Instant::now());
    (0..20).for_each(|at| sources.add_entry(entry(at)));
    (4..20).for_each(|at| sources.add_entry(entry(at)));
    let expected: Vec<_> = (4..20).map(entry).collect();
    assert_eq!(sources.entries(), expected);
}
