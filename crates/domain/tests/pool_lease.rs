//! Leases lapse by the clock, and the gate knows the highest number.

use std::{collections::BTreeMap, time::Duration};

use domain::{
    ConfigVersion, FencingNumber, ModelName, ModelVersion, PoolName,
    generation_stream::ModelPin,
    pool_lease::{
        DesiredModels, FencingDecision, FencingGate, LeaseAction, LeaseSnapshot, LeaseValidity,
        LeaseWatch, ModelCommand, ServerActivity,
    },
    serving_config::{ConfigState, ConfigStateParts, ModelSpec},
};
use proptest::{collection::vec, prelude::*};
use rstest::rstest;
use tokio::time::Instant;

const TERM: Duration = Duration::from_secs(6);

#[tokio::test(start_paused = true)]
async fn lease_lapses_while_its_holder_is_paused() {
    let asked_at = Instant::now();
    let term = LeaseValidity::new(FencingNumber(1), asked_at, Duration::from_secs(10));
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
        gate.observe_stored(FencingNumber(4));
    };
    check(9, FencingDecision::NotReady);
    check(5, FencingDecision::Accept);
    let highest = FencingNumber(5);
    check(4, FencingDecision::TooOld { highest });
    check(5, FencingDecision::Accept);
}

fn sight(version: u64) -> Option<LeaseSnapshot> {
    Some(LeaseSnapshot {
        version,
        fencing: FencingNumber(4),
    })
}

#[tokio::test(start_paused = true)]
async fn lease_is_taken_only_after_it_stood_for_a_term() {
    let mut watch = LeaseWatch::default();
    let mut check = |version, expected| {
        let now = Instant::now();
        assert_eq!(watch.observe(sight(version), TERM, now, now), expected);
    };
    check(7, LeaseAction::Wait);
    tokio::time::advance(TERM - Duration::from_millis(1)).await;
    check(7, LeaseAction::Wait);
    // Renewed meanwhile: the time begins anew.
    check(8, LeaseAction::Wait);
    tokio::time::advance(TERM).await;
    check(8, LeaseAction::Take(FencingNumber(5)));
}

#[tokio::test(start_paused = true)]
async fn free_lease_is_taken_at_once() {
    let now = Instant::now();
    let step = LeaseWatch::default().observe(None, TERM, now, now);
    assert_eq!(step, LeaseAction::Take(FencingNumber(1)));
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
        let mut row: Option<LeaseSnapshot> = None;
        let mut watches = [LeaseWatch::default(); 3];
        let mut terms: [Option<LeaseValidity>; 3] = [None; 3];
        for event in events {
            match event {
                LeaseEvent::Pass(millis) => now += Duration::from_millis(millis),
                LeaseEvent::Act(at) => {
                    if let LeaseAction::Take(fencing) = watches[at].observe(row, TERM, now, now) {
                        prop_assert!(row.is_none_or(|held| held.fencing < fencing));
                        let version = row.map_or(1, |held| held.version + 1);
                        row = Some(LeaseSnapshot { version, fencing });
                        terms[at] = Some(LeaseValidity::new(fencing, now, TERM));
                    }
                }
                LeaseEvent::Renew(at) => {
                    let Some((held, term)) = row.as_mut().zip(terms[at].as_mut()) else {
                        continue;
                    };
                    if held.fencing == term.fencing {
                        held.version += 1;
                        *term = LeaseValidity::new(held.fencing, now, TERM);
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
        gate.observe_stored(FencingNumber(start));
        let mut highest = start;
        for order in orders {
            let is_passed = gate.admit(FencingNumber(order)) == FencingDecision::Accept;
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
#[case::load_first(&[3], ServerActivity::Idle, Some(ModelCommand::Load(pin(4))))]
#[case::in_use(&[3, 4], ServerActivity::Busy, None)]
#[case::drop_when_idle(&[3, 4], ServerActivity::Idle, Some(ModelCommand::Unload(pin(3))))]
#[case::settled(&[4], ServerActivity::Idle, None)]
fn order_follows_the_note(
    #[case] loaded: &[u32],
    #[case] server_use: ServerActivity,
    #[case] expected: Option<ModelCommand>,
) {
    let pool = PoolName::from("writer-pool");
    let duty = ModelSpec {
        version: ModelVersion(4),
        pool: pool.clone(),
        adapters: Vec::new(),
        context_window: 4_096,
    };
    let note = ConfigState::from(ConfigStateParts {
        version: ConfigVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), duty)]),
        ..ConfigStateParts::default()
    });
    let loaded: Vec<ModelPin> = loaded.iter().map(|&version| pin(version)).collect();
    let order = DesiredModels::new(&pool, &note).next_command(&loaded, server_use);
    assert_eq!(order, expected);
}
