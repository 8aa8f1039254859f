//! The state in force is the fold of the accepted notes, whoever passes them on.

use domain::{
    ChangesetId, ConfigVersion, ModelName, ModelVersion, PoolName, TeamName,
    serving_config::{
        AcceptedChangeset, ConfigChange, ConfigHistory, ConfigState, ConfigUpdate, ModelSpec,
        TeamLimit,
    },
};
use proptest::{collection::vec, prelude::*};

fn duty(version: u32) -> ModelSpec {
    ModelSpec {
        version: ModelVersion(version),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        context_window: 4_096,
    }
}

/// A change that always applies: models are added before, teams are only set.
fn change(at: u8) -> ConfigChange {
    if at.is_multiple_of(2) {
        return ConfigChange::LimitTeam {
            team: TeamName::from(format!("team-{}", at % 7)),
            limit: Some(TeamLimit {
                weight: u32::from(at) + 1,
                requests_per_second: None,
            }),
        };
    }
    ConfigChange::Change {
        model: ModelName::from("writer"),
        spec: duty(u32::from(at)),
    }
}

/// Notes with rising versions, the first of which adds the model.
fn notes(lines: &[u8]) -> Vec<AcceptedChangeset> {
    let add = ConfigChange::Add {
        model: ModelName::from("writer"),
        spec: duty(1),
    };
    let changes = std::iter::once(add).chain(lines.iter().map(|&at| change(at)));
    (1..)
        .zip(changes)
        .map(|(version, change)| AcceptedChangeset {
            version: ConfigVersion(version),
            id: ChangesetId::from(format!("note-{version}")),
            changes: vec![change],
        })
        .collect()
}

fn folded(notes: &[AcceptedChangeset]) -> ConfigHistory {
    ConfigHistory::default()
        .with_changesets(notes)
        .unwrap_or_default()
}

/// Check that a process which asks peers at any versions, in any order, never
/// goes back and ends with the state that the store accepted.
fn check(lines: &[u8], asked: &[usize]) {
    let accepted = notes(lines);
    let whole = folded(&accepted);
    let mut own = ConfigHistory::default();
    for &at in asked.iter().chain([&accepted.len()]) {
        let peer = folded(&accepted[..at.min(accepted.len())]);
        let next = match peer.update_since(own.version()) {
            ConfigUpdate::UpToDate => None,
            ConfigUpdate::Changesets(notes) => {
                let notes: Vec<AcceptedChangeset> = notes.into_iter().cloned().collect();
                own.with_changesets(&notes)
            }
            ConfigUpdate::State(state) => own.with_state(state.clone()),
        };
        if let Some(next) = next {
            assert!(next.version() > own.version());
            own = next;
        }
        assert!(own.version() >= peer.version());
    }
    assert_eq!(own.state(), whole.state());
}

proptest! {
    #[test]
    fn fold_is_the_same_by_any_way(lines in vec(any::<u8>(), 0..40), asked in vec(0_usize..45, 0..12)) {
        check(&lines, &asked);
    }

    #[test]
    fn notes_out_of_turn_change_nothing(lines in vec(any::<u8>(), 1..20), skipped in 0_usize..20) {
        let accepted = notes(&lines);
        let skipped = skipped % accepted.len();
        let ledger = folded(&accepted[..skipped]);
        let later = &accepted[(skipped + 1).min(accepted.len())..];
        prop_assert!(ledger.with_changesets(later).is_none());
        prop_assert!(ledger.with_changesets(&accepted[..skipped]).is_none());
    }
}

#[test]
fn whole_state_stands_for_notes_that_are_kept_no_more() {
    let accepted = notes(&[1; 400]);
    check(&[1; 400], &[400]);
    let ledger = folded(&accepted);
    assert!(matches!(
        ledger.update_since(ConfigVersion(0)),
        ConfigUpdate::State(_)
    ));
    let latest = ConfigVersion(ledger.version().0 - 2);
    assert!(
        matches!(ledger.update_since(latest), ConfigUpdate::Changesets(notes) if notes.len() == 2)
    );
    assert_eq!(
        ledger.update_since(ledger.version()),
        ConfigUpdate::UpToDate
    );
}

#[test]
fn conflicting_line_refuses_the_whole_note() {
    let state = ConfigState::default();
    let add = ConfigChange::Add {
        model: ModelName::from("writer"),
        spec: duty(1),
    };
    let conflicts = state.apply(&[add.clone(), add]).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    assert_eq!(conflicts[0].0, 1);
}
