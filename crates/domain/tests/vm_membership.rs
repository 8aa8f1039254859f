//! Evidence of leaving adds up, and stops leave a pool with a server.

use std::{collections::BTreeMap, time::Duration};

use domain::{
    ModelName, ModelVersion, NoteVersion, OrderVersion, PoolName, ServerName,
    release_note::{ModelDuty, NoteState, NoteStateParts},
    vm_membership::{
        LeaveEvidence, PoolMember, StopDecision, StopKind, StopOrder, StopRefusal, StopWish,
    },
};
use rstest::rstest;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn older_word_undoes_nothing() {
    let mut evidence = LeaveEvidence::default();
    evidence.observe_order(OrderVersion(7), true);
    evidence.observe_order(OrderVersion(6), false);
    evidence.observe_report(false);
    evidence.observe_list(false, Instant::now());
    assert!(evidence.is_leaving(Instant::now()));
    evidence.observe_order(OrderVersion(8), false);
    assert!(!evidence.is_leaving(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn word_of_the_list_holds_while_copies_differ() {
    let mut evidence = LeaveEvidence::default();
    evidence.observe_list(true, Instant::now());
    tokio::time::advance(LeaveEvidence::LISTED_HOLD - Duration::from_millis(1)).await;
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
    assert_eq!(kind.holds_for(stopped, 5), holds);
}

fn member(name: &str, is_serving: bool) -> PoolMember {
    PoolMember {
        server: ServerName::from(name),
        pool: PoolName::from("writer-pool"),
        is_serving,
    }
}

fn note() -> NoteState {
    let duty = ModelDuty {
        version: ModelVersion(1),
        pool: PoolName::from("writer-pool"),
        adapters: Vec::new(),
        window: 4_096,
    };
    NoteState::from(NoteStateParts {
        version: NoteVersion(1),
        models: BTreeMap::from([(ModelName::from("writer"), duty)]),
        ..NoteStateParts::default()
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

fn last_server() -> Result<StopDecision, StopRefusal> {
    Err(StopRefusal::LastServer {
        pool: PoolName::from("writer-pool"),
        models: vec![ModelName::from("writer")],
    })
}

#[rstest]
#[case::covered(None, true, false, Ok(StopDecision::Record))]
#[case::last(None, false, false, last_server())]
#[case::forced(None, false, true, Ok(StopDecision::Record))]
#[case::repeated(Some(StopKind::Stop), true, false, Ok(StopDecision::Recorded))]
#[case::withdrawn(
    Some(StopKind::Withdraw), true, false,
    Err(StopRefusal::Ordered { held: held(StopKind::Withdraw) }),
)]
fn stop_is_decided(
    #[case] standing: Option<StopKind>,
    #[case] is_other_serving: bool,
    #[case] is_forced: bool,
    #[case] expected: Result<StopDecision, StopRefusal>,
) {
    let server = ServerName::from("writer-1");
    let members = [
        member("writer-1", true),
        member("writer-2", is_other_serving),
    ];
    let wish = StopWish {
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
