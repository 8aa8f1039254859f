//! Which desired state an entry takes from another one.

use std::time::Duration;

use domain::{
    list_relay::RelayRule,
    state_relay::{StateCursor, StateNews},
};
use rstest::rstest;
use tokio::time::Instant;

/// With a poll period of 1,100 ms a confirmation may be 1,700 ms old.
#[rstest]
#[case::newer(8, 0, StateNews::Newer)]
#[case::newer_at_the_limit(8, 1_700, StateNews::Newer)]
#[case::newer_but_old(8, 1_701, StateNews::Outdated)]
#[case::confirmed(7, 900, StateNews::Confirmed)]
#[case::confirmed_long_ago(7, 1_701, StateNews::Outdated)]
#[case::behind(6, 0, StateNews::Behind)]
#[case::behind_and_old(6, 9_000, StateNews::Behind)]
#[tokio::test(start_paused = true)]
async fn offers_are_judged_by_version_and_age(
    #[case] row_version: u64,
    #[case] age_ms: u64,
    #[case] expected: StateNews,
) {
    let confirmed_at = Instant::now();
    let now = confirmed_at + Duration::from_millis(age_ms);
    let rule = RelayRule {
        poll_period: Duration::from_millis(1_100),
    };
    let known = StateCursor {
        row_version: 7,
        confirmed_at: now,
    };
    let offered = StateCursor {
        row_version,
        confirmed_at,
    };
    assert_eq!(known.judge(offered, rule, now), expected);
}

/// Entries in a chain, or in a circle, pass on a confirmation with its age, so that
/// knowledge that the store no longer confirms ends everywhere.
#[tokio::test(start_paused = true)]
async fn confirmation_does_not_grow_younger_on_its_way() {
    let rule = RelayRule {
        poll_period: Duration::from_millis(1_100),
    };
    let start = Instant::now();
    let mut cursors = [StateCursor {
        row_version: 7,
        confirmed_at: start,
    }; 5];
    let mut adopted = 0;
    for step in 0..100_u32 {
        let now = start + Duration::from_millis(50) * step;
        let index = step as usize % cursors.len();
        let offered = cursors[(index + 1) % cursors.len()];
        if cursors[index].judge(offered, rule, now) == StateNews::Confirmed {
            cursors[index] = offered;
            adopted += 1;
            assert!(now - start <= Duration::from_millis(1_700));
        }
    }
    assert!(adopted > 0);
    assert!(cursors.iter().all(|cursor| cursor.confirmed_at == start));
}
