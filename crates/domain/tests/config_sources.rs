//! Agents poll entries and fall back to the store.

use std::{net::SocketAddr, time::Duration};

use domain::serving_config::ConfigSources;
use rstest::rstest;
use tokio::time::{Instant, advance};

fn entry(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16))
}

/// Checks when an agent queries the store if `known` entries have contacted it
/// and the entries `failed` did not answer; `remaining` entries must be left.
async fn check(known: usize, failed: &[usize], remaining: &[usize], due_after_ms: u64) {
    let mut sources = ConfigSources::new(Instant::now());
    (0..known).for_each(|index| sources.add_entry(entry(index)));
    failed
        .iter()
        .for_each(|&index| sources.record_failure(entry(index)));
    let expected: Vec<_> = remaining.iter().map(|&index| entry(index)).collect();
    assert_eq!(sources.entries(), expected);

    advance(Duration::from_millis(due_after_ms - 1)).await;
    assert!(!sources.is_store_query_due(Instant::now()));
    advance(Duration::from_millis(1)).await;
    assert!(sources.is_store_query_due(Instant::now()));

    sources.record_answer(Instant::now());
    assert!(!sources.is_store_query_due(Instant::now()));
}

#[rstest]
#[case::no_entry(0, &[], &[], 2_000)]
#[case::one_entry(1, &[], &[0], 2_000)]
#[case::last_entry_is_kept(1, &[0], &[0], 2_000)]
#[case::two_entries(2, &[], &[0, 1], 6_000)]
#[case::failed_entry_is_removed(3, &[1], &[0, 2], 6_000)]
#[case::one_entry_after_failures(3, &[1, 0, 2], &[2], 2_000)]
#[tokio::test(start_paused = true)]
async fn store_is_queried_when_no_entry_answers(
    #[case] known: usize,
    #[case] failed: &[usize],
    #[case] remaining: &[usize],
    #[case] due_after_ms: u64,
) {
    check(known, failed, remaining, due_after_ms).await;
}

#[tokio::test(start_paused = true)]
async fn number_of_entries_is_bounded() {
    let mut sources = ConfigSources::new(Instant::now());
    (0..20).for_each(|index| sources.add_entry(entry(index)));
    (4..20).for_each(|index| sources.add_entry(entry(index)));
    let expected: Vec<_> = (4..20).map(entry).collect();
    assert_eq!(sources.entries(), expected);
}
