//! How the sources of the leaving status combine, and which stops are allowed.

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
async fn older_stop_orders_are_ignored() {
    let mut status = LeavingStatus::default();
    status.observe_stop(StopVersion(7), true);
    status.observe_stop(StopVersion(6), false);
    status.observe_report(false);
    status.observe_list(false, Instant::now());
    assert!(status.is_leaving(Instant::now()));
    status.observe_stop(StopVersion(8), false);
    assert!(!status.is_leaving(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn leaving_mark_is_kept_when_an_older_list_lacks_it() {
    let mut status = LeavingStatus::default();
    status.observe_list(true, Instant::now());
    tokio::time::advance(LeavingStatus::LISTED_TTL - Duration::from_millis(1)).await;
    status.observe_list(false, Instant::now());
    assert!(status.is_leaving(Instant::now()));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!status.is_leaving(Instant::now()));
}

#[rstest]
#[case::same_process(StopKind::Stop, Some(5), true)]
#[case::restarted(StopKind::Stop, Some(4), false)]
#[case::process_unknown(StopKind::Stop, None, true)]
#[case::withdrawn(StopKind::Withdraw, Some(4), true)]
fn stop_kind_decides_to_which_process_it_applies(
    #[case] kind: StopKind,
    #[case] stopped: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(kind.applies_to(stopped, 5), expected);
}

fn member(name: &str, is_serving: bool) -> PoolMember {
    PoolMember {
        server: ServerName::from(name),
        pool: PoolName::from("writer-pool"),
        is_serving,
    }
}

fn config() -> ConfigState {
    let spec = ModelSpec {
        version: ModelVersion(1),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        context_window: 4_096,
    };
    ConfigState::from(ConfigStateParts {
        version: ConfigVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), spec)]),
        ..ConfigStateParts::default()
    })
}

fn recorded(kind: StopKind) -> StopOrder {
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
#[case::other_server_serves(None, true, false, Ok(StopDecision::Record))]
#[case::last_server(None, false, false, last_server())]
#[case::forced(None, false, true, Ok(StopDecision::Record))]
#[case::repeated(Some(StopKind::Stop), true, false, Ok(StopDecision::AlreadyRecorded))]
#[case::withdrawn(
    Some(StopKind::Withdraw), true, false,
    Err(StopError::ConflictingOrder { existing: recorded(StopKind::Withdraw) }),
)]
fn proposed_stops_are_decided(
    #[case] existing: Option<StopKind>,
    #[case] is_other_serving: bool,
    #[case] is_forced: bool,
    #[case] expected: Result<StopDecision, StopError>,
) {
    let server = ServerName::from("writer-1");
    let members = [
        member("writer-1", true),
        member("writer-2", is_other_serving),
    ];
    let proposed = ProposedStop {
        server: &server,
        kind: StopKind::Stop,
        is_forced,
    };
    let existing = existing.map(recorded);
    assert_eq!(
        proposed.decide(existing.as_ref(), &members, &config()),
        expected
    );
}

#[test]
fn error_names_the_affected_models() {
    let text = last_server().unwrap_err().to_string();
    assert_eq!(
        text,
        "pool writer-pool has no other server that accepts new work; \
         model writer would be left without a server"
    );
}
