//! The state in force is the fold of the accepted notes, whoever passes them on.

use domain::{
    ModelName, ModelVersion, NoteId, NoteVersion, PoolName, TeamName,
    release_note::{
        AcceptedNote, ModelDuty, NoteChange, NoteLedger, NoteState, NoteUpdate, TeamLimit,
    },
};
use proptest::{collection::vec, prelude::*};

fn duty(version: u32) -> ModelDuty {
    ModelDuty {
        version: ModelVersion(version),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        window: 4_096,
    }
}

/// A change that always applies: models are added before, teams are only set.
fn change(at: u8) -> NoteChange {
    if at.is_multiple_of(2) {
        return NoteChange::LimitTeam {
            team: TeamName::from(format!("team-{}", at % 7)),
            limit: Some(TeamLimit {
                weight: u32::from(at) + 1,
                requests_per_second: None,
            }),
        };
    }
    NoteChange::Change {
        model: ModelName::from("writer"),
        duty: duty(u32::from(at)),
    }
}

/// Notes with rising versions, the first of which adds the model.
fn notes(lines: &[u8]) -> Vec<AcceptedNote> {
    let add = NoteChange::Add {
        model: ModelName::from("writer"),
        duty: duty(1),
    };
    let changes = std::iter::once(add).chain(lines.iter().map(|&at| change(at)));
    (1..)
        .zip(changes)
        .map(|(version, change)| AcceptedNote {
            version: NoteVersion(version),
            id: NoteId::from(format!("note-{version}")),
            changes: vec![change],
        })
        .collect()
}

fn folded(notes: &[AcceptedNote]) -> NoteLedger {
    NoteLedger::default().fold(notes).unwrap_or_default()
}

/// Check that a process which asks peers at any versions, in any order, never
/// goes back and ends with the state that the store accepted.
fn check(lines: &[u8], asked: &[usize]) {
    let accepted = notes(lines);
    let whole = folded(&accepted);
    let mut own = NoteLedger::default();
    for &at in asked.iter().chain([&accepted.len()]) {
        let peer = folded(&accepted[..at.min(accepted.len())]);
        let next = match peer.since(own.version()) {
            NoteUpdate::Current => None,
            NoteUpdate::Notes(notes) => {
                let notes: Vec<AcceptedNote> = notes.into_iter().cloned().collect();
                own.fold(&notes)
            }
            NoteUpdate::Whole(state) => own.replace(state.clone()),
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
        prop_assert!(ledger.fold(later).is_none());
        prop_assert!(ledger.fold(&accepted[..skipped]).is_none());
    }
}

#[test]
fn whole_state_stands_for_notes_that_are_kept_no_more() {
    let accepted = notes(&[1; 400]);
    check(&[1; 400], &[400]);
    let ledger = folded(&accepted);
    assert!(matches!(ledger.since(NoteVersion(0)), NoteUpdate::Whole(_)));
    let latest = NoteVersion(ledger.version().0 - 2);
    assert!(matches!(ledger.since(latest), NoteUpdate::Notes(notes) if notes.len() == 2));
    assert_eq!(ledger.since(ledger.version()), NoteUpdate::Current);
}

#[test]
fn conflicting_line_refuses_the_whole_note() {
    let state = NoteState::default();
    let add = NoteChange::Add {
        model: ModelName::from("writer"),
        duty: duty(1),
    };
    let conflicts = state.apply(&[add.clone(), add]).unwrap_err();
    assert_eq!(conflicts.len(), 1);
    assert_eq!(conflicts[0].0, 1);
}
