//! Which evidence proves what, and what a key allows.

use domain::{
    BodyDigest, ServerName,
    service_call::{CallEvidence, CallOutcome, CallRecord, CallState, KeyDecision, decide_key},
};
use rstest::rstest;

#[rstest]
#[case(CallEvidence::Answered, CallOutcome::Ran)]
#[case(CallEvidence::JournalHas, CallOutcome::Ran)]
#[case(CallEvidence::ConnectFailed, CallOutcome::NotRun)]
#[case(CallEvidence::RefusedBefore, CallOutcome::NotRun)]
#[case(CallEvidence::JournalLacksAfterFence, CallOutcome::NotRun)]
#[case(CallEvidence::LostAfterSend, CallOutcome::Unknown)]
#[case(CallEvidence::JournalLacks, CallOutcome::Unknown)]
fn evidence_proves(#[case] evidence: CallEvidence, #[case] expected: CallOutcome) {
    assert_eq!(evidence.outcome(), expected);
}

#[rstest]
#[case(CallState::Intended, KeyDecision::InFlight)]
#[case(CallState::NotRun, KeyDecision::Run)]
#[case(CallState::Unknown, KeyDecision::Unknown)]
#[case(
    CallState::Ran { status: 201, answer: "booked".to_owned() },
    KeyDecision::Answer { status: 201, answer: "booked" },
)]
fn key_allows(#[case] state: CallState, #[case] expected: KeyDecision<'_>) {
    let digest = BodyDigest::of("order", b"20 litres");
    let record = CallRecord {
        digest,
        owner: ServerName::from("ledger-1"),
        owner_epoch: 1,
        run: 0,
        state,
    };
    assert_eq!(decide_key(Some(&record), digest), expected);
    let other = BodyDigest::of("order", b"21 litres");
    assert_eq!(decide_key(Some(&record), other), KeyDecision::OtherBody);
    assert_eq!(decide_key(None, digest), KeyDecision::Run);
}
