//! Proofs of "not run", and the next step after each outcome of a send.

use domain::{
    desired_state::RouteKind,
    run_evidence::{AnswerHead, NextStep, RunProof, SendLedger, SendOutcome, next_step},
};
use rstest::rstest;

const GENUINE: AnswerHead = AnswerHead {
    not_run: false,
    misdirected: false,
    success: true,
    server_error: false,
    refusing: false,
    sealed: true,
    foreign: false,
    echoed: true,
    reused: false,
    encoded: false,
};

#[rstest]
#[case(SendOutcome::NotConnected, RunProof::NotRun)]
#[case(SendOutcome::HandedBack, RunProof::NotRun)]
#[case(SendOutcome::Rejected, RunProof::NotRun)]
#[case(SendOutcome::Answered { server_error: false }, RunProof::Ran)]
#[case(SendOutcome::Answered { server_error: true }, RunProof::Ran)]
#[case(SendOutcome::Broken, RunProof::Inconclusive)]
#[case(SendOutcome::Silent, RunProof::Inconclusive)]
fn proof_of_each_outcome(#[case] outcome: SendOutcome, #[case] proof: RunProof) {
    assert_eq!(outcome.proof(), proof);
}

#[rstest]
#[case::whole(GENUINE, true)]
#[case::other_request(AnswerHead { foreign: true, ..GENUINE }, false)]
#[case::no_request_id(AnswerHead { echoed: false, ..GENUINE }, false)]
#[case::no_seal(AnswerHead { sealed: false, ..GENUINE }, false)]
#[case::content_encoding(AnswerHead { encoded: true, ..GENUINE }, false)]
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

/// A refusal without an id may be an earlier one that comes once more.
#[rstest]
#[case::first_answer(false, false, true)]
#[case::later_answer(true, false, false)]
#[case::later_answer_with_id(true, true, true)]
fn rejection_without_an_id_counts_once(
    #[case] reused: bool,
    #[case] echoed: bool,
    #[case] expected: bool,
) {
    let head = AnswerHead {
        not_run: true,
        success: false,
        reused,
        echoed,
        ..GENUINE
    };
    assert_eq!(head.is_rejection(), expected);
}

#[rstest]
// A request that must not run twice is not sent again once it may have run.
#[case(RouteKind::Unsafe, 3, &[SendOutcome::Broken], NextStep::Fail)]
#[case(RouteKind::Unsafe, 3, &[SendOutcome::Silent], NextStep::Fail)]
#[case(RouteKind::Unsafe, 3, &[SendOutcome::Answered { server_error: true }], NextStep::Deliver)]
#[case(RouteKind::Stream, 5, &[SendOutcome::Broken], NextStep::Fail)]
// With a proof of "not run" it is sent to another server, and refused in the end.
#[case(RouteKind::Unsafe, 1, &[SendOutcome::Rejected], NextStep::Retry)]
#[case(RouteKind::Unsafe, 1, &[SendOutcome::NotConnected; 9], NextStep::Retry)]
#[case(RouteKind::Unsafe, 1, &[SendOutcome::Rejected; 4], NextStep::Refuse)]
// An idempotent request is repeated up to the limit of its route.
#[case(RouteKind::Safe, 2, &[SendOutcome::Broken], NextStep::Retry)]
#[case(RouteKind::Safe, 2, &[SendOutcome::Answered { server_error: true }], NextStep::Retry)]
#[case(RouteKind::Safe, 2, &[SendOutcome::Broken, SendOutcome::Broken], NextStep::Fail)]
#[case(
    RouteKind::Safe, 2,
    &[SendOutcome::Broken, SendOutcome::Answered { server_error: true }], NextStep::Deliver
)]
#[case(RouteKind::ResumableStream, 5, &[SendOutcome::Silent; 4], NextStep::Retry)]
#[case(RouteKind::ResumableStream, 5, &[SendOutcome::Silent; 5], NextStep::Fail)]
#[case(RouteKind::ResumableStream, 5, &[SendOutcome::Rejected; 11], NextStep::Retry)]
#[case(RouteKind::ResumableStream, 5, &[SendOutcome::Rejected; 12], NextStep::Refuse)]
fn step_after_last_outcome(
    #[case] kind: RouteKind,
    #[case] runs_max: u32,
    #[case] outcomes: &[SendOutcome],
    #[case] expected: NextStep,
) {
    let ledger = SendLedger::new(runs_max, kind);
    outcomes.iter().for_each(|outcome| send(&ledger, *outcome));
    let last = outcomes.last().expect("at least one outcome");
    assert_eq!(next_step(kind, *last, &ledger.budget()), expected);
}

/// Plays one send as an entry does it.
fn send(ledger: &SendLedger, outcome: SendOutcome) {
    if outcome != SendOutcome::NotConnected {
        let open = ledger.open();
        if outcome.proof() == RunProof::NotRun {
            open.disown();
        }
    }
    ledger.record(outcome);
}

/// Guards against a refusal of a request that is at a server: a send that was
/// abandoned before its outcome was known was not counted.
#[rstest]
#[case::call(RouteKind::Unsafe, false)]
#[case::stream(RouteKind::Stream, false)]
#[case::repeatable_call(RouteKind::Safe, true)]
#[case::resumable_stream(RouteKind::ResumableStream, true)]
fn request_in_flight_is_refused_only_if_idempotent(
    #[case] kind: RouteKind,
    #[case] expected: bool,
) {
    let ledger = SendLedger::new(3, kind);
    assert!(ledger.may_refuse(), "nothing was sent");
    send(&ledger, SendOutcome::NotConnected);
    send(&ledger, SendOutcome::HandedBack);
    send(&ledger, SendOutcome::Rejected);
    assert!(ledger.may_refuse(), "every send was disowned");
    let abandoned = ledger.open();
    assert_eq!(ledger.may_refuse(), expected, "while it is in flight");
    let _ = abandoned;
    assert_eq!(ledger.may_refuse(), expected, "after it was abandoned");
    send(&ledger, SendOutcome::Rejected);
    assert_eq!(
        ledger.may_refuse(),
        expected,
        "a later proof concerns the later send only"
    );
    assert_eq!((ledger.budget().runs, ledger.budget().rejected), (1, 3));
}
