//! Expiry and takeover of leases, the fencing gate and commands of the holder.

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
async fn lease_expires_before_its_term_by_the_drift_margin() {
    let sent_at = Instant::now();
    let lease = LeaseValidity::new(FencingNumber(1), sent_at, Duration::from_secs(10));
    tokio::time::advance(Duration::from_millis(8_999)).await;
    assert!(lease.is_valid(Instant::now()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!lease.is_valid(Instant::now()));
}

#[test]
fn gate_rejects_lower_fencing_numbers() {
    let mut gate = FencingGate::default();
    // The gate reads number 4 from the store after the first command.
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

fn snapshot(version: u64) -> Option<LeaseSnapshot> {
    Some(LeaseSnapshot {
        version,
        fencing: FencingNumber(4),
    })
}

#[tokio::test(start_paused = true)]
async fn lease_is_taken_over_after_a_term_without_change() {
    let mut watch = LeaseWatch::default();
    let mut check = |version, expected| {
        let now = Instant::now();
        assert_eq!(watch.observe(snapshot(version), TERM, now, now), expected);
    };
    check(7, LeaseAction::Wait);
    tokio::time::advance(TERM - Duration::from_millis(1)).await;
    check(7, LeaseAction::Wait);
    // A renewal restarts the measurement.
    check(8, LeaseAction::Wait);
    tokio::time::advance(TERM).await;
    check(8, LeaseAction::Take(FencingNumber(5)));
}

#[tokio::test(start_paused = true)]
async fn lease_that_nobody_held_is_taken_immediately() {
    let now = Instant::now();
    let action = LeaseWatch::default().observe(None, TERM, now, now);
    assert_eq!(action, LeaseAction::Take(FencingNumber(1)));
}

/// An event in a model of three candidates and a store.
#[derive(Clone, Copy, Debug)]
enum LeaseEvent {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// The candidate with this index reads the lease and takes it if allowed.
    ReadAndTake(usize),
    /// The candidate with this index renews its lease.
    Renew(usize),
}

fn lease_event() -> impl Strategy<Value = LeaseEvent> {
    prop_oneof![
        (1_u64..4_000).prop_map(LeaseEvent::Pass),
        (0_usize..3).prop_map(LeaseEvent::ReadAndTake),
        (0_usize..3).prop_map(LeaseEvent::Renew),
    ]
}

proptest! {
    /// For every order of reads, renewals and pauses, at most one process holds
    /// a valid lease, and each holder has a higher fencing number than the one before.
    #[test]
    fn leases_never_overlap(events in vec(lease_event(), 1..120)) {
        let mut now = Instant::now();
        let mut row: Option<LeaseSnapshot> = None;
        let mut watches = [LeaseWatch::default(); 3];
        let mut leases: [Option<LeaseValidity>; 3] = [None; 3];
        for event in events {
            match event {
                LeaseEvent::Pass(millis) => now += Duration::from_millis(millis),
                LeaseEvent::ReadAndTake(at) => {
                    if let LeaseAction::Take(fencing) = watches[at].observe(row, TERM, now, now) {
                        prop_assert!(row.is_none_or(|held| held.fencing < fencing));
                        let version = row.map_or(1, |held| held.version + 1);
                        row = Some(LeaseSnapshot { version, fencing });
                        leases[at] = Some(LeaseValidity::new(fencing, now, TERM));
                    }
                }
                LeaseEvent::Renew(at) => {
                    let Some((held, lease)) = row.as_mut().zip(leases[at].as_mut()) else {
                        continue;
                    };
                    if held.fencing == lease.fencing {
                        held.version += 1;
                        *lease = LeaseValidity::new(held.fencing, now, TERM);
                    }
                }
            }
            let valid = leases.iter().flatten().filter(|lease| lease.is_valid(now)).count();
            prop_assert!(valid <= 1);
        }
    }

    /// A gate never accepts a number below one that it accepted before.
    #[test]
    fn gate_accepts_no_lower_number(start in 0_u64..50, numbers in vec(0_u64..100, 1..60)) {
        let mut gate = FencingGate::default();
        gate.observe_stored(FencingNumber(start));
        let mut highest = start;
        for number in numbers {
            let is_accepted = gate.admit(FencingNumber(number)) == FencingDecision::Accept;
            prop_assert_eq!(is_accepted, number >= highest);
            highest = highest.max(number);
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
#[case::no_unload_when_busy(&[3, 4], ServerActivity::Busy, None)]
#[case::unload_when_idle(&[3, 4], ServerActivity::Idle, Some(ModelCommand::Unload(pin(3))))]
#[case::up_to_date(&[4], ServerActivity::Idle, None)]
fn command_follows_the_configuration(
    #[case] loaded: &[u32],
    #[case] activity: ServerActivity,
    #[case] expected: Option<ModelCommand>,
) {
    let pool = PoolName::from("writer-pool");
    let spec = ModelSpec {
        version: ModelVersion(4),
        pool: pool.clone(),
        adapters: Vec::new(),
        context_window: 4_096,
    };
    let config = ConfigState::from(ConfigStateParts {
        version: ConfigVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), spec)]),
        ..ConfigStateParts::default()
    });
    let loaded: Vec<ModelPin> = loaded.iter().map(|&version| pin(version)).collect();
    let command = DesiredModels::new(&pool, &config).next_command(&loaded, activity);
    assert_eq!(command, expected);
}
