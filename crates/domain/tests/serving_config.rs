//! Applying changesets gives the same state no matter which process distributes
//! them.

use domain::{
    ChangesetId, ConfigVersion, ModelName, ModelVersion, PoolName, TeamName,
    serving_config::{
        AcceptedChangeset, ConfigChange, ConfigHistory, ConfigState, ConfigUpdate, ModelSpec,
        TeamLimit,
    },
};
use proptest::{collection::vec, prelude::*};

fn model_spec(version: u32) -> ModelSpec {
    ModelSpec {
        version: ModelVersion(version),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        context_window: 4_096,
    }
}

/// A change without conflicts: the model has been added before, and team limits
/// are only set, never removed.
fn change(number: u8) -> ConfigChange {
    if number.is_multiple_of(2) {
        return ConfigChange::LimitTeam {
            team: TeamName::from(format!("team-{}", number % 7)),
            limit: Some(TeamLimit {
                weight: u32::from(number) + 1,
                requests_per_second: None,
            }),
        };
    }
    ConfigChange::Change {
        model: ModelName::from("writer"),
        spec: model_spec(u32::from(number)),
    }
}

/// Changesets with consecutive versions; the first one adds the model.
fn changesets(numbers: &[u8]) -> Vec<AcceptedChangeset> {
    let add = ConfigChange::Add {
        model: ModelName::from("writer"),
        spec: model_spec(1),
    };
    let changes = std::iter::once(add).chain(numbers.iter().map(|&number| change(number)));
    (1..)
        .zip(changes)
        .map(|(version, change)| AcceptedChangeset {
            version: ConfigVersion(version),
            id: ChangesetId::from(format!("note-{version}")),
            changes: vec![change],
        })
        .collect()
}

fn history(changesets: &[AcceptedChangeset]) -> ConfigHistory {
    ConfigHistory::default()
        .with_changesets(changesets)
        .unwrap_or_default()
}

/// Checks that a process that polls others at arbitrary versions never goes back
/// to an older version and reaches the state that the store accepted.
fn check(numbers: &[u8], peer_versions: &[usize]) {
    let accepted = changesets(numbers);
    let expected = history(&accepted);
    let mut own = ConfigHistory::default();
    for &version in peer_versions.iter().chain([&accepted.len()]) {
        let peer = history(&accepted[..version.min(accepted.len())]);
        let next = match peer.update_since(own.version()) {
            ConfigUpdate::UpToDate => None,
            ConfigUpdate::Changesets(missing) => {
                let missing: Vec<AcceptedChangeset> = missing.into_iter().cloned().collect();
                own.with_changesets(&missing)
            }
            ConfigUpdate::State(state) => own.with_state(state.clone()),
        };
        if let Some(next) = next {
            assert!(next.version() > own.version());
            own = next;
        }
        assert!(own.version() >= peer.version());
    }
    assert_eq!(own.state(), expected.state());
}

proptest! {
    #[test]
    fn state_does_not_depend_on_the_peers_polled(
        numbers in vec(any::<u8>(), 0..40),
        peer_versions in vec(0_usize..45, 0..12),
    ) {
        check(&numbers, &peer_versions);
    }

    #[test]
    fn changesets_out_of_order_are_skipped(numbers in vec(any::<u8>(), 1..20), skipped in 0_usize..20) {
        let accepted = changesets(&numbers);
        let skipped = skipped % accepted.len();
        let history = history(&accepted[..skipped]);
        let later = &accepted[(skipped + 1).min(accepted.len())..];
        prop_assert!(history.with_changesets(later).is_none());
        prop_assert!(history.with_changesets(&accepted[..skipped]).is_none());
    }
}

#[test]
fn complete_state_replaces_changesets_that_are_no_longer_kept() {
    let accepted = changesets(&[1; 400]);
    check(&[1; 400], &[400]);
    let history = history(&accepted);
    assert!(matches!(
        history.update_since(ConfigVersion(0)),
        ConfigUpdate::State(_)
    ));
    let two_behind = ConfigVersion(history.version().0 - 2);
    assert!(
        matches!(history.update_since(two_behind), ConfigUpdate::Changesets(missing) if missing.len() == 2)
    );
    assert_eq!(
        history.update_since(history.version()),
        ConfigUpdate::UpToDate
    );
}

#[test]
fn conflicting_change_rejects_the_whole_changeset() {
    let state = ConfigState::default();
    let add = ConfigChange::Add {
        model: ModelName::from("writer"),
        spec: model_spec(1),
    };
    let conflicts = state.apply(&[add.clone(), add]).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    assert_eq!(conflicts[0].0, 1);
}

/// A store that comes back from an older copy has lost versions that processes may have in
/// force; a changeset of the next era must not get one of them.
#[test]
fn version_of_a_later_era_follows_all_of_an_earlier_one() {
    let lost = history(&changesets(&[1, 2, 3])).state().in_era(1.into());
    let restored = history(&changesets(&[1]));
    let later = restored.state().in_era(2.into());
    let later = later.apply(&[change(4)]).expect("no conflict");
    assert!(later.version() > lost.version());
    assert_eq!(later.in_era(2.into()), later);
    // Processes that know lost versions take the whole state.
    let history = history(&changesets(&[1, 2, 3])).with_state(later);
    let update = history
        .as_ref()
        .map(|history| history.update_since(lost.version()));
    assert!(matches!(update, Some(ConfigUpdate::State(_))));
}
