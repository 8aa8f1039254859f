//! Evidence of leaving adds up, and stops leave a pool with a server.

use std::{collections::BTreeMap, time::Duration};

use domain::{
    ConfigVersion, ModelName, ModelVersion, PoolName, ServerName, StopVersion,
    serving_config::{ConfigState, ConfigStateParts, ModelSpec},
    vm_membership::{
        LeavingStatus, PoolMember, ProposedStop, StopDecision, StopError, StopKind, StopOrder,
    },
};
use rstest::rstest;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn older_word_undoes_nothing() {
    let mut evidence = LeavingStatus::default();
    evidence.observe_stop(StopVersion(7), true);
    evidence.observe_stop(StopVersion(6), false);
    evidence.observe_report(false);
    evidence.observe_list(false, Instant::now());
    assert!(evidence.is_leaving(Instant::now()));
    evidence.observe_stop(StopVersion(8), false);
    assert!(!evidence.is_leaving(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn word_of_the_list_holds_while_copies_differ() {
    let mut evidence = LeavingStatus::default();
    evidence.observe_list(true, Instant::now());
    tokio::time::advance(LeavingStatus::LISTED_TTL - Duration::from_millis(1)).await;
    evidence.observe_list(false, Instant::now());
    assert!(evidence.is_leaving(Instant::now()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!evidence.is_leaving(Instant::now()));
}

#[rstest]
#[case::same_process(StopKind::Stop, Some(5), true)]
#[case::restarted(StopKind::Stop, Some(4), false)]
#[case::process_unknown(StopKind::Stop, None, true)]
#[case::withdrawn(StopKind::Withdraw, Some(4), true)]
fn stop_ends_with_its_process(
    #[case] kind: StopKind,
    #[case] stopped: Option<u64>,
    #[case] holds: bool,
) {
    assert_eq!(kind.applies_to(stopped, 5), holds);
}

fn member(name: &str, is_serving: bool) -> PoolMember {
    PoolMember {
        server: ServerName::from(name),
        pool: PoolName::from("writer-pool"),
        is_serving,
    }
}

fn note() -> ConfigState {
    let duty = ModelSpec {
        version: ModelVersion(1),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        context_window: 4_096,
    };
    ConfigState::from(ConfigStateParts {
        version: ConfigVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), duty)]),
        ..ConfigStateParts::default()
    })
}

fn held(kind: StopKind) -> StopOrder {
    StopOrder {
        server: ServerName::from("writer-1"),
        kind,
        epoch: None,
        operator: "amina".to_owned(),
    }
}

fn last_server() -> Result<StopDecision, StopError> {
    Err(StopError::LastServer {
        pool: PoolName::from("writer-pool"),
        models: vec![ModelName::from("writer")],
    })
}

#[rstest]
#[case::covered(None, true, false, Ok(StopDecision::Record))]
#[case::last(None, false, false, last_server())]
#[case::forced(None, false, true, Ok(StopDecision::Record))]
#[case::repeated(Some(StopKind::Stop), true, false, Ok(StopDecision::AlreadyRecorded))]
#[case::withdrawn(
    Some(StopKind::Withdraw), true, false,
    Err(StopError::ConflictingOrder { existing: held(StopKind::Withdraw) }),
)]
fn stop_is_decided(
    #[case] standing: Option<StopKind>,
    #[case] is_other_serving: bool,
    #[case] is_forced: bool,
    #[case] expected: Result<StopDecision, StopError>,
) {
    let server = ServerName::from("writer-1");
    let members = [
        member("writer-1", true),
        member("writer-2", is_other_serving),
    ];
    let wish = ProposedStop {
        server: &server,
        kind: StopKind::Stop,
        is_forced,
    };
    let standing = standing.map(held);
    assert_eq!(wish.decide(standing.as_ref(), &members, &note()), expected);
}

#[test]
fn refusal_names_who_would_be_left_without() {
    let text = last_server().unwrap_err().to_string();
    assert_eq!(
        text,
        "no other server of pool writer-pool takes new work; model writer would be left without"
    );
}
