//! Leases lapse by the clock, and the gate knows the highest number.

use std::{collections::BTreeMap, time::Duration};

use domain::{
    FencingNumber, ModelName, ModelVersion, NoteVersion, PoolName,
    duty_lease::{
        FencingGate, FencingVerdict, LeaseSight, LeaseStep, LeaseTerm, LeaseWatch, ServerDuty,
        ServerOrder, ServerUse,
    },
    generation_stream::ModelPin,
    release_note::{ModelDuty, NoteState, NoteStateParts},
};
use proptest::{collection::vec, prelude::*};
use rstest::rstest;
use tokio::time::Instant;

const TERM: Duration = Duration::from_secs(6);

#[tokio::test(start_paused = true)]
async fn lease_lapses_while_its_holder_is_paused() {
    let asked_at = Instant::now();
    let term = LeaseTerm::new(FencingNumber(1), asked_at, Duration::from_secs(10));
    tokio::time::advance(Duration::from_millis(8_999)).await;
    assert!(term.is_valid(Instant::now()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!term.is_valid(Instant::now()));
}

#[test]
fn gate_refuses_what_is_old() {
    let mut gate = FencingGate::default();
    let mut check = |number, expected| {
        assert_eq!(gate.admit(FencingNumber(number)), expected);
        gate.learn(FencingNumber(4));
    };
    check(9, FencingVerdict::NotReady);
    check(5, FencingVerdict::Accept);
    let highest = FencingNumber(5);
    check(4, FencingVerdict::TooOld { highest });
    check(5, FencingVerdict::Accept);
}

fn sight(version: u64) -> Option<LeaseSight> {
    Some(LeaseSight {
        version,
        fencing: FencingNumber(4),
    })
}

#[tokio::test(start_paused = true)]
async fn lease_is_taken_only_after_it_stood_for_a_term() {
    let mut watch = LeaseWatch::default();
    let mut check = |version, expected| {
        let now = Instant::now();
        assert_eq!(watch.look(sight(version), TERM, now, now), expected);
    };
    check(7, LeaseStep::Wait);
    tokio::time::advance(TERM - Duration::from_millis(1)).await;
    check(7, LeaseStep::Wait);
    // Renewed meanwhile: the time begins anew.
    check(8, LeaseStep::Wait);
    tokio::time::advance(TERM).await;
    check(8, LeaseStep::Take(FencingNumber(5)));
}

#[tokio::test(start_paused = true)]
async fn free_lease_is_taken_at_once() {
    let now = Instant::now();
    let step = LeaseWatch::default().look(None, TERM, now, now);
    assert_eq!(step, LeaseStep::Take(FencingNumber(1)));
}

/// What happens to two candidates and a store.
#[derive(Clone, Copy, Debug)]
enum LeaseEvent {
    Pass(u64),
    Act(usize),
    Renew(usize),
}

fn lease_event() -> impl Strategy<Value = LeaseEvent> {
    prop_oneof![
        (1_u64..4_000).prop_map(LeaseEvent::Pass),
        (0_usize..3).prop_map(LeaseEvent::Act),
        (0_usize..3).prop_map(LeaseEvent::Renew),
    ]
}

proptest! {
    /// Whatever the order of looks, renewals and pauses, two processes never
    /// hold a valid lease at once, and numbers rise with each holder.
    #[test]
    fn leases_never_overlap(events in vec(lease_event(), 1..120)) {
        let mut now = Instant::now();
        let mut row: Option<LeaseSight> = None;
        let mut watches = [LeaseWatch::default(); 3];
        let mut terms: [Option<LeaseTerm>; 3] = [None; 3];
        for event in events {
            match event {
                LeaseEvent::Pass(millis) => now += Duration::from_millis(millis),
                LeaseEvent::Act(at) => {
                    if let LeaseStep::Take(fencing) = watches[at].look(row, TERM, now, now) {
                        prop_assert!(row.is_none_or(|held| held.fencing < fencing));
                        let version = row.map_or(1, |held| held.version + 1);
                        row = Some(LeaseSight { version, fencing });
                        terms[at] = Some(LeaseTerm::new(fencing, now, TERM));
                    }
                }
                LeaseEvent::Renew(at) => {
                    let Some((held, term)) = row.as_mut().zip(terms[at].as_mut()) else {
                        continue;
                    };
                    if held.fencing == term.fencing {
                        held.version += 1;
                        *term = LeaseTerm::new(held.fencing, now, TERM);
                    }
                }
            }
            let valid = terms.iter().flatten().filter(|term| term.is_valid(now)).count();
            prop_assert!(valid <= 1);
        }
    }

    /// A gate that has accepted a number passes no lower one ever after.
    #[test]
    fn gate_passes_rising_numbers(start in 0_u64..50, orders in vec(0_u64..100, 1..60)) {
        let mut gate = FencingGate::default();
        gate.learn(FencingNumber(start));
        let mut highest = start;
        for order in orders {
            let is_passed = gate.admit(FencingNumber(order)) == FencingVerdict::Accept;
            prop_assert_eq!(is_passed, order >= highest);
            highest = highest.max(order);
        }
    }
}

fn pin(version: u32) -> ModelPin {
    ModelPin {
        model: ModelName::from("writer"),
        adapter: None,
        version: ModelVersion(version),
    }
}

#[rstest]
#[case::load_first(&[3], ServerUse::Idle, Some(ServerOrder::Load(pin(4))))]
#[case::in_use(&[3, 4], ServerUse::Busy, None)]
#[case::drop_when_idle(&[3, 4], ServerUse::Idle, Some(ServerOrder::Unload(pin(3))))]
#[case::settled(&[4], ServerUse::Idle, None)]
fn order_follows_the_note(
    #[case] loaded: &[u32],
    #[case] server_use: ServerUse,
    #[case] expected: Option<ServerOrder>,
) {
    let pool = PoolName::from("writer-pool");
    let duty = ModelDuty {
        version: ModelVersion(4),
        pool: pool.clone(),
        adapters: Vec::new(),
        window: 4_096,
    };
    let note = NoteState::from(NoteStateParts {
        version: NoteVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), duty)]),
        ..NoteStateParts::default()
    });
    let loaded: Vec<ModelPin> = loaded.iter().map(|&version| pin(version)).collect();
    let order = ServerDuty::new(&pool, &note).next_order(&loaded, server_use);
    assert_eq!(order, expected);
}
