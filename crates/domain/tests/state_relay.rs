//! Which desired state an entry takes from another one.

use std::time::Duration;

use domain::{
    desired_state::StateVersion,
    list_relay::RelayRule,
    state_relay::{StateCursor, StateNews},
};
use rstest::rstest;
use tokio::time::Instant;

/// With a poll period of 1,100 ms a confirmation may be 1,700 ms old.
#[rstest]
#[case::newer((3, 8), 0, StateNews::Newer)]
#[case::newer_at_the_limit((3, 8), 1_700, StateNews::Newer)]
#[case::newer_but_old((3, 8), 1_701, StateNews::Outdated)]
#[case::confirmed((3, 7), 900, StateNews::Confirmed)]
#[case::confirmed_long_ago((3, 7), 1_701, StateNews::Outdated)]
#[case::behind((3, 6), 0, StateNews::Behind)]
#[case::behind_and_old((3, 6), 9_000, StateNews::Behind)]
#[case::newer_in_a_reused_row((4, 6), 0, StateNews::Newer)]
#[case::behind_in_a_later_row((2, 9), 0, StateNews::Behind)]
#[tokio::test(start_paused = true)]
async fn offers_are_judged_by_version_and_age(
    #[case] (number, row): (u64, u64),
    #[case] age_ms: u64,
    #[case] expected: StateNews,
) {
    let confirmed_at = Instant::now();
    let now = confirmed_at + Duration::from_millis(age_ms);
    let rule = RelayRule {
        poll_period: Duration::from_millis(1_100),
    };
    let known = StateCursor {
        version: StateVersion {
            number: 3,
            row: 7.into(),
        },
        confirmed_at: now,
    };
    let offered = StateCursor {
        version: StateVersion {
            number,
            row: row.into(),
        },
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
        version: StateVersion {
            number: 3,
            row: 7.into(),
        },
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
