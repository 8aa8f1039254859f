//! What proves "not run", and what follows each end of a send.

use domain::{
    desired_state::RouteKind,
    run_evidence::{AnswerHead, NextStep, RunProof, SendBudget, SendEnd, next_step},
};
use rstest::rstest;

const GENUINE: AnswerHead = AnswerHead {
    not_run: false,
    misdirected: false,
    success: true,
    server_error: false,
    sealed: true,
    foreign: false,
    echoed: true,
    encoded: false,
};

#[rstest]
#[case(SendEnd::NotConnected, RunProof::NotRun)]
#[case(SendEnd::HandedBack, RunProof::NotRun)]
#[case(SendEnd::Rejected, RunProof::NotRun)]
#[case(SendEnd::Answered { server_error: false }, RunProof::Ran)]
#[case(SendEnd::Answered { server_error: true }, RunProof::Ran)]
#[case(SendEnd::Broken, RunProof::Unknown)]
#[case(SendEnd::Silent, RunProof::Unknown)]
fn proof_of_each_end(#[case] end: SendEnd, #[case] proof: RunProof) {
    assert_eq!(end.proof(), proof);
}

#[rstest]
#[case::whole(GENUINE, true)]
#[case::other_request(AnswerHead { foreign: true, ..GENUINE }, false)]
#[case::no_name(AnswerHead { echoed: false, ..GENUINE }, false)]
#[case::no_seal(AnswerHead { sealed: false, ..GENUINE }, false)]
#[case::other_bytes(AnswerHead { encoded: true, ..GENUINE }, false)]
#[case::failure_without_seal(
    AnswerHead { sealed: false, success: false, server_error: true, ..GENUINE }, true
)]
fn genuine_answers(#[case] head: AnswerHead, #[case] genuine: bool) {
    assert_eq!(head.is_genuine(), genuine);
}

#[test]
fn rejection_of_another_request_proves_nothing() {
    let rejected = AnswerHead {
        not_run: true,
        success: false,
        ..GENUINE
    };
    assert!(rejected.is_rejection());
    let foreign = AnswerHead {
        foreign: true,
        ..rejected
    };
    assert!(!foreign.is_rejection());
    let success = AnswerHead {
        success: true,
        ..rejected
    };
    assert!(!success.is_rejection());
}

#[rstest]
// Once it may have run, an unsafe request is never sent again and never refused.
#[case(RouteKind::Unsafe, 3, &[SendEnd::Broken], NextStep::Fail)]
#[case(RouteKind::Unsafe, 3, &[SendEnd::Silent], NextStep::Fail)]
#[case(RouteKind::Unsafe, 3, &[SendEnd::Answered { server_error: true }], NextStep::Deliver)]
#[case(RouteKind::Stream, 5, &[SendEnd::Broken], NextStep::Fail)]
// A proof lets it go elsewhere, and ends in a refusal.
#[case(RouteKind::Unsafe, 1, &[SendEnd::Rejected], NextStep::TryAgain)]
#[case(RouteKind::Unsafe, 1, &[SendEnd::NotConnected; 9], NextStep::TryAgain)]
#[case(RouteKind::Unsafe, 1, &[SendEnd::Rejected; 4], NextStep::Refuse)]
// What may be repeated is, as often as the route says.
#[case(RouteKind::Safe, 2, &[SendEnd::Broken], NextStep::TryAgain)]
#[case(RouteKind::Safe, 2, &[SendEnd::Answered { server_error: true }], NextStep::TryAgain)]
#[case(RouteKind::Safe, 2, &[SendEnd::Broken, SendEnd::Broken], NextStep::Fail)]
#[case(
    RouteKind::Safe, 2,
    &[SendEnd::Broken, SendEnd::Answered { server_error: true }], NextStep::Deliver
)]
#[case(RouteKind::ResumableStream, 5, &[SendEnd::Silent; 4], NextStep::TryAgain)]
#[case(RouteKind::ResumableStream, 5, &[SendEnd::Silent; 5], NextStep::Fail)]
#[case(RouteKind::ResumableStream, 5, &[SendEnd::Rejected; 11], NextStep::TryAgain)]
#[case(RouteKind::ResumableStream, 5, &[SendEnd::Rejected; 12], NextStep::Refuse)]
fn step_after_the_last_of(
    #[case] kind: RouteKind,
    #[case] attempts: u32,
    #[case] ends: &[SendEnd],
    #[case] expected: NextStep,
) {
    let mut budget = SendBudget::new(attempts, kind);
    ends.iter().for_each(|end| budget.count(*end));
    let last = ends.last().expect("some sends");
    assert_eq!(next_step(kind, *last, &budget), expected);
}
