//! Which evidence proves what, and what a key allows.

use std::time::Duration;

use domain::{
    BodyDigest, ServerName,
    service_call::{
        CallEvidence, CallOutcome, CallOwner, CallRecord, CallState, DispatchLimit, DispatchRule,
        FenceRule, JournalLookup, KEY_LIFETIME, KeyDecision, KeyQuery, ServerUptime, WallTime,
        decide_key, settled_state,
    },
};
use rstest::rstest;
use tokio::time::Instant;

const RECORDED: WallTime = WallTime(10_000);

const RULE: FenceRule = FenceRule {
    run_max: Duration::from_millis(1_000),
    answer_gap_max: Duration::from_millis(500),
};

#[rstest]
#[case(CallEvidence::Answered, CallOutcome::Ran)]
#[case(CallEvidence::InJournal, CallOutcome::Ran)]
#[case(CallEvidence::ConnectFailed, CallOutcome::NotRun)]
#[case(CallEvidence::RefusedBeforeSend, CallOutcome::NotRun)]
#[case(CallEvidence::AbsentAfterFence, CallOutcome::NotRun)]
#[case(CallEvidence::LostAfterSend, CallOutcome::Unknown)]
#[case(CallEvidence::AbsentBeforeFence, CallOutcome::Unknown)]
fn evidence_proves(#[case] evidence: CallEvidence, #[case] expected: CallOutcome) {
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

/// Record of 20 litres by the first process of `ledger-1`, in a state.
fn record(state: CallState) -> CallRecord {
    CallRecord {
        digest: BodyDigest::of("order", b"20 litres"),
        owner: owner("ledger-1", 1),
        run: 0,
        recorded_at: RECORDED,
        state,
    }
}

/// What a process may do about a request for some litres, sent and looked at so
/// many milliseconds after the record.
fn decided<'a>(
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
#[case::own_and_given_up(CallState::Intended, "ledger-1", 1, KeyDecision::Run)]
#[case::not_run(CallState::NotRun, "ledger-2", 1, KeyDecision::Run)]
#[case::unknown(CallState::Unknown, "ledger-1", 1, KeyDecision::Unknown)]
#[case::ran(ran(), "ledger-1", 1, ANSWER)]
fn key_allows(
    #[case] state: CallState,
    #[case] server: &str,
    #[case] epoch: u64,
    #[case] expected: KeyDecision<'_>,
) {
    let record = record(state);
    let asker = owner(server, epoch);
    let decide = |record, litres| decided(record, &asker, litres, (1, 2));
    assert_eq!(decide(Some(&record), "20 litres"), expected);
    assert_eq!(decide(Some(&record), "21 litres"), KeyDecision::OtherBody);
    assert_eq!(decide(None, "20 litres"), KeyDecision::Run);
}

#[rstest]
#[case::older_than_the_word(CallState::NotRun, 0, 1, KeyDecision::Superseded)]
#[case::at_the_end(ran(), 1, millis(KEY_LIFETIME), ANSWER)]
#[case::past_the_end(ran(), 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::not_run_past_the_end(CallState::NotRun, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::unknown_stays(CallState::Unknown, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Unknown)]
#[case::intended_stays(CallState::Intended, 1, millis(KEY_LIFETIME) + 1, KeyDecision::InFlight)]
#[case::clock_behind_the_word(CallState::NotRun, 0, 0, KeyDecision::Superseded)]
fn age_decides(
    #[case] state: CallState,
    #[case] sent_after: u64,
    #[case] now_after: u64,
    #[case] expected: KeyDecision<'_>,
) {
    let record = record(state);
    let asker = owner("ledger-2", 1);
    let times = (sent_after, now_after);
    let decide = |litres| decided(Some(&record), &asker, litres, times);
    assert_eq!(decide("20 litres"), expected);
    // However old it is, the key stays bound to its body.
    assert_eq!(decide("21 litres"), KeyDecision::OtherBody);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("lifetimes are short")
}

fn has() -> JournalLookup {
    JournalLookup::Found {
        status: 200,
        answer: "done".to_owned(),
    }
}

/// A sign of the server, in milliseconds since the start.
#[derive(Clone, Copy, Debug)]
enum ServerSign {
    Answered(u64),
    Failed,
}

use ServerSign::{Answered, Failed};

/// What is settled of a call dispatched until `limit` ms, with the journal read
/// at `asked_at` ms.
fn settled(
    limit: u64,
    signs: &[ServerSign],
    asked_at: u64,
    reads: impl FnOnce(Instant) -> JournalLookup,
) -> Option<CallState> {
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    let mut uptime = ServerUptime::default();
    for &sign in signs {
        match sign {
            Answered(ms) => uptime.record_answer(&RULE, at(ms)),
            Failed => uptime.record_failure(),
        }
    }
    let limit = DispatchLimit::Until(at(limit));
    settled_state(limit, &reads(at(asked_at)), &uptime, &RULE)
}

const fn lacks(asked_at: Instant) -> JournalLookup {
    JournalLookup::NotFound { asked_at }
}

/// Answers 400 ms apart.
const AWAKE: [ServerSign; 5] = [
    Answered(0),
    Answered(400),
    Answered(800),
    Answered(1_200),
    Answered(1_600),
];

#[rstest]
#[case::before_the_fence(0, &AWAKE, 1_499, None)]
#[case::past_the_fence(0, &AWAKE, 1_500, Some(CallState::NotRun))]
#[case::dispatched_later(200, &AWAKE, 1_600, None)]
#[case::past_the_later_fence(100, &AWAKE, 1_600, Some(CallState::NotRun))]
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
#[case::first_look(0, &[Answered(9_000)], 9_000, None)]
#[case::never_awake(0, &[], 9_000, None)]
fn lacking_key_counts(
    #[case] limit: u64,
    #[case] signs: &[ServerSign],
    #[case] asked_at: u64,
    #[case] expected: Option<CallState>,
) {
    assert_eq!(settled(limit, signs, asked_at, lacks), expected);
}

#[test]
fn journal_proves_a_run_at_once() {
    let ran = CallState::Ran {
        status: 200,
        answer: "done".to_owned(),
    };
    assert_eq!(settled(0, &AWAKE[..1], 0, |_| has()), Some(ran));
    let silent = settled(0, &AWAKE, 9_000, |_| JournalLookup::Unavailable);
    assert_eq!(silent, None);
}

#[test]
fn own_word_settles_without_journal() {
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
#[case::after_a_pause(441, 2_000, false)]
#[case::at_the_deadline(200, 200, false)]
#[case::past_the_deadline(300, 200, false)]
fn claim_may_be_dispatched(#[case] age: u64, #[case] deadline: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    assert_eq!(rule.may_dispatch(begun, at(age), at(deadline)), expected);
}

#[rstest]
#[case::store_works(false, 2_000, (220, 220))]
#[case::store_fails(true, 2_000, (40, 220))]
#[case::short_deadline(false, 100, (100, 100))]
#[case::shorter_deadline(true, 30, (30, 30))]
fn intent_is_waited_for(
    #[case] is_failing: bool,
    #[case] deadline: u64,
    #[case] (send_by, answer_by): (u64, u64),
) {
    let rule = DispatchRule::default();
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let limits = rule.intent_limits(is_failing, now, at(deadline));
    assert_eq!(limits.send_by, at(send_by));
    assert_eq!(limits.answer_by, at(answer_by));
}

#[rstest]
#[case(3_000, false)]
#[case(3_001, true)]
fn request_grows_stale(#[case] age_ms: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let now = WallTime(RECORDED.0 + age_ms);
    let deadline = Duration::from_secs(2);
    assert_eq!(rule.is_stale(RECORDED, deadline, now), expected);
}
