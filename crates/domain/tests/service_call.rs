//! Outcomes proved by evidence, handling of keys, settlement and dispatch limits.

use std::time::Duration;

use domain::{
    BodyDigest, ServerName,
    service_call::{
        AbsenceRule, CallEvidence, CallOutcome, CallOwner, CallRecord, CallState, DispatchLimit,
        DispatchRule, JournalLookup, KEY_LIFETIME, KeyDecision, KeyQuery, ServerUptime, WallTime,
        decide_key, settled_state,
    },
};
use rstest::rstest;
use tokio::time::Instant;

const RECORDED: WallTime = WallTime(10_000);

const RULE: AbsenceRule = AbsenceRule {
    run_max: Duration::from_millis(1_000),
    answer_gap_max: Duration::from_millis(500),
};

#[rstest]
#[case(CallEvidence::Answered, CallOutcome::Ran)]
#[case(CallEvidence::InJournal, CallOutcome::Ran)]
#[case(CallEvidence::ConnectFailed, CallOutcome::NotRun)]
#[case(CallEvidence::RefusedBeforeSend, CallOutcome::NotRun)]
#[case(CallEvidence::ConclusiveAbsence, CallOutcome::NotRun)]
#[case(CallEvidence::LostAfterSend, CallOutcome::Unknown)]
#[case(CallEvidence::InconclusiveAbsence, CallOutcome::Unknown)]
fn evidence_proves_outcome(#[case] evidence: CallEvidence, #[case] expected: CallOutcome) {
    assert_eq!(evidence.outcome(), expected);
}

fn owner(server: &str, epoch: u64) -> CallOwner {
    CallOwner {
        server: ServerName::from(server),
        epoch,
    }
}

fn ran() -> CallState {
    CallState::Ran {
        status: 201,
        answer: "booked".to_owned(),
    }
}

const ANSWER: KeyDecision<'static> = KeyDecision::Answer {
    status: 201,
    answer: "booked",
};

/// Record of an order of 20 litres by the first process of `ledger-1`.
fn record(state: CallState) -> CallRecord {
    CallRecord {
        digest: BodyDigest::of("order", b"20 litres"),
        owner: owner("ledger-1", 1),
        run: 0,
        recorded_at: RECORDED,
        state,
    }
}

/// Returns the decision of process `asker` about a request to order `litres`. The
/// times are those of the request and the decision, in milliseconds after the
/// record.
fn decision<'a>(
    record: Option<&'a CallRecord>,
    asker: &CallOwner,
    litres: &str,
    (sent_after, now_after): (u64, u64),
) -> KeyDecision<'a> {
    let query = KeyQuery {
        digest: BodyDigest::of("order", litres.as_bytes()),
        owner: asker,
        sent_at: WallTime(RECORDED.0 + sent_after),
        now: WallTime(RECORDED.0 + now_after),
    };
    decide_key(record, &query)
}

#[rstest]
#[case::other_server(CallState::Intended, "ledger-2", 1, KeyDecision::InFlight)]
#[case::later_process(CallState::Intended, "ledger-1", 2, KeyDecision::InFlight)]
#[case::own_abandoned_write(CallState::Intended, "ledger-1", 1, KeyDecision::Run)]
#[case::not_run(CallState::NotRun, "ledger-2", 1, KeyDecision::Run)]
#[case::unknown(CallState::Unknown, "ledger-1", 1, KeyDecision::Unknown)]
#[case::ran(ran(), "ledger-1", 1, ANSWER)]
fn decision_by_state(
    #[case] state: CallState,
    #[case] server: &str,
    #[case] epoch: u64,
    #[case] expected: KeyDecision<'_>,
) {
    let record = record(state);
    let asker = owner(server, epoch);
    let decide = |record, litres| decision(record, &asker, litres, (1, 2));
    assert_eq!(decide(Some(&record), "20 litres"), expected);
    assert_eq!(decide(Some(&record), "21 litres"), KeyDecision::OtherBody);
    assert_eq!(decide(None, "20 litres"), KeyDecision::Run);
}

#[rstest]
#[case::sent_before_not_run(CallState::NotRun, 0, 1, KeyDecision::Superseded)]
#[case::at_key_lifetime(ran(), 1, millis(KEY_LIFETIME), ANSWER)]
#[case::past_key_lifetime(ran(), 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::not_run_past_key_lifetime(CallState::NotRun, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::unknown_does_not_expire(CallState::Unknown, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Unknown)]
#[case::intended_does_not_expire(CallState::Intended, 1, millis(KEY_LIFETIME) + 1, KeyDecision::InFlight)]
#[case::sent_and_decided_at_not_run(CallState::NotRun, 0, 0, KeyDecision::Superseded)]
fn decision_by_age(
    #[case] state: CallState,
    #[case] sent_after: u64,
    #[case] now_after: u64,
    #[case] expected: KeyDecision<'_>,
) {
    let record = record(state);
    let asker = owner("ledger-2", 1);
    let times = (sent_after, now_after);
    let decide = |litres| decision(Some(&record), &asker, litres, times);
    assert_eq!(decide("20 litres"), expected);
    // The key stays bound to its body, however old the record is.
    assert_eq!(decide("21 litres"), KeyDecision::OtherBody);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("lifetimes fit in 64 bits")
}

fn found() -> JournalLookup {
    JournalLookup::Found {
        status: 200,
        answer: "done".to_owned(),
    }
}

/// Reaction of the server to a lookup; an answer has its time in milliseconds
/// since the start.
#[derive(Clone, Copy, Debug)]
enum ServerReaction {
    Answered(u64),
    Failed,
}

use ServerReaction::{Answered, Failed};

/// Returns the settled state of a call that was dispatched no later than `limit_ms`, with a journal lookup at `asked_at_ms`.
fn settled(
    limit_ms: u64,
    reactions: &[ServerReaction],
    asked_at_ms: u64,
    lookup: impl FnOnce(Instant) -> JournalLookup,
) -> Option<CallState> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut uptime = ServerUptime::default();
    for &reaction in reactions {
        match reaction {
            Answered(ms) => uptime.record_answer(&RULE, at(ms)),
            Failed => uptime.record_failure(),
        }
    }
    let limit = DispatchLimit::Until(at(limit_ms));
    settled_state(limit, &lookup(at(asked_at_ms)), &uptime, &RULE)
}

const fn not_found(asked_at: Instant) -> JournalLookup {
    JournalLookup::NotFound { asked_at }
}

/// Answers 400 ms apart.
const UP: [ServerReaction; 5] = [
    Answered(0),
    Answered(400),
    Answered(800),
    Answered(1_200),
    Answered(1_600),
];

#[rstest]
#[case::before_proof_time(0, &UP, 1_499, None)]
#[case::at_proof_time(0, &UP, 1_500, Some(CallState::NotRun))]
#[case::dispatched_later(200, &UP, 1_600, None)]
#[case::at_later_proof_time(100, &UP, 1_600, Some(CallState::NotRun))]
#[case::after_a_gap(0, &[Answered(0), Answered(501), Answered(1_000)], 1_999, None)]
#[case::long_after_a_gap(
    0,
    &[Answered(0), Answered(501), Answered(1_000)],
    2_001,
    Some(CallState::NotRun)
)]
#[case::after_a_failure(0, &[Answered(0), Failed, Answered(400)], 1_899, None)]
#[case::long_after_a_failure(
    0,
    &[Answered(0), Failed, Answered(400)],
    1_900,
    Some(CallState::NotRun)
)]
#[case::failed_last(0, &[Answered(0), Answered(400), Failed], 9_000, None)]
#[case::first_lookup(0, &[Answered(9_000)], 9_000, None)]
#[case::never_up(0, &[], 9_000, None)]
fn missing_key_proves_not_run_in_time(
    #[case] limit_ms: u64,
    #[case] reactions: &[ServerReaction],
    #[case] asked_at_ms: u64,
    #[case] expected: Option<CallState>,
) {
    assert_eq!(
        settled(limit_ms, reactions, asked_at_ms, not_found),
        expected
    );
}

#[test]
fn journal_entry_proves_run_immediately() {
    let ran = CallState::Ran {
        status: 200,
        answer: "done".to_owned(),
    };
    assert_eq!(settled(0, &UP[..1], 0, |_| found()), Some(ran));
    let unavailable = settled(0, &UP, 9_000, |_| JournalLookup::Unavailable);
    assert_eq!(unavailable, None);
}

#[test]
fn undispatched_call_settles_without_journal() {
    let uptime = ServerUptime::default();
    let state = settled_state(
        DispatchLimit::Never,
        &JournalLookup::Unavailable,
        &uptime,
        &RULE,
    );
    assert_eq!(state, Some(CallState::NotRun));
}

#[rstest]
#[case::at_once(0, 2_000, true)]
#[case::at_the_limit(440, 2_000, true)]
#[case::after_a_suspension(441, 2_000, false)]
#[case::at_the_deadline(200, 200, false)]
#[case::past_the_deadline(300, 200, false)]
fn claimed_call_may_be_dispatched(#[case] age: u64, #[case] deadline: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(rule.may_dispatch(start, at(age), at(deadline)), expected);
}

#[rstest]
#[case::store_works(false, 2_000, (220, 220))]
#[case::store_fails(true, 2_000, (40, 220))]
#[case::short_deadline(false, 100, (100, 100))]
#[case::shorter_deadline(true, 30, (30, 30))]
fn intent_write_limits(
    #[case] is_store_failing: bool,
    #[case] deadline: u64,
    #[case] (send_by, answer_by): (u64, u64),
) {
    let rule = DispatchRule::default();
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let limits = rule.intent_limits(is_store_failing, now, at(deadline));
    assert_eq!(limits.send_by, at(send_by));
    assert_eq!(limits.answer_by, at(answer_by));
}

#[rstest]
#[case(3_000, false)]
#[case(3_001, true)]
fn request_becomes_stale(#[case] age_ms: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let now = WallTime(RECORDED.0 + age_ms);
    let deadline = Duration::from_secs(2);
    assert_eq!(rule.is_stale(RECORDED, deadline, now), expected);
}
