//! Which evidence proves what, and what a key allows.

use std::time::Duration;

use domain::{
    BodyDigest, ServerName,
    service_call::{
        CallEvidence, CallOutcome, CallOwner, CallRecord, CallState, DispatchLimit, DispatchRule,
        FenceRule, JournalReading, KEY_LIFETIME, KeyDecision, KeyQuery, ServerVigil, WallTime,
        decide_key, settle,
    },
};
use rstest::rstest;
use tokio::time::Instant;

const RECORDED: WallTime = WallTime(10_000);

const RULE: FenceRule = FenceRule {
    run_max: Duration::from_millis(1_000),
    gap_max: Duration::from_millis(500),
};

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
    let digest = BodyDigest::of("order", b"20 litres");
    let record = CallRecord {
        digest,
        owner: owner("ledger-1", 1),
        run: 0,
        recorded_at: RECORDED,
        state,
    };
    let asker = owner(server, epoch);
    let query = KeyQuery {
        digest,
        owner: &asker,
        sent_at: WallTime(RECORDED.0 + 1),
        now: WallTime(RECORDED.0 + 2),
    };
    assert_eq!(decide_key(Some(&record), &query), expected);
    let other = KeyQuery {
        digest: BodyDigest::of("order", b"21 litres"),
        ..query
    };
    assert_eq!(decide_key(Some(&record), &other), KeyDecision::OtherBody);
    assert_eq!(decide_key(None, &query), KeyDecision::Run);
}

#[rstest]
#[case::older_than_the_word(CallState::NotRun, 0, 1, KeyDecision::Superseded)]
#[case::at_the_end(ran(), 1, millis(KEY_LIFETIME), ANSWER)]
#[case::past_the_end(ran(), 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::not_run_past_the_end(CallState::NotRun, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Expired)]
#[case::unknown_stays(CallState::Unknown, 1, millis(KEY_LIFETIME) + 1, KeyDecision::Unknown)]
fn age_decides(
    #[case] state: CallState,
    #[case] sent_after: u64,
    #[case] now_after: u64,
    #[case] expected: KeyDecision<'_>,
) {
    let digest = BodyDigest::of("order", b"20 litres");
    let record = CallRecord {
        digest,
        owner: owner("ledger-1", 1),
        run: 0,
        recorded_at: RECORDED,
        state,
    };
    let query = KeyQuery {
        digest,
        owner: &owner("ledger-2", 1),
        sent_at: WallTime(RECORDED.0 + sent_after),
        now: WallTime(RECORDED.0 + now_after),
    };
    assert_eq!(decide_key(Some(&record), &query), expected);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("lifetimes are short")
}

fn has() -> JournalReading {
    JournalReading::Has {
        status: 200,
        answer: "done".to_owned(),
    }
}

/// What is settled of a call dispatched at 0 ms, with the server answering at
/// the given moments and the journal asked at the last of them.
fn settled(answers: &[u64], reads: impl FnOnce(Instant) -> JournalReading) -> Option<CallState> {
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    let mut vigil = ServerVigil::default();
    for &answer in answers {
        vigil.answered(&RULE, at(answer));
    }
    let reading = reads(at(answers.last().copied().unwrap_or_default()));
    settle(DispatchLimit::Until(begun), &reading, &vigil, &RULE)
}

#[rstest]
#[case::before_the_fence(&[0, 400, 800, 1_200], None)]
#[case::past_the_fence(&[0, 400, 800, 1_200, 1_600], Some(CallState::NotRun))]
#[case::after_a_gap(&[0, 400, 1_600, 2_000], None)]
#[case::long_after_a_gap(&[0, 1_000, 1_400, 1_800, 2_200, 2_600], Some(CallState::NotRun))]
#[case::first_look(&[9_000], None)]
#[case::never_awake(&[], None)]
fn lacking_key_counts(#[case] answers: &[u64], #[case] expected: Option<CallState>) {
    let lacks = |asked_at| JournalReading::Lacks { asked_at };
    assert_eq!(settled(answers, lacks), expected);
}

#[test]
fn journal_proves_a_run_at_once() {
    let ran = CallState::Ran {
        status: 200,
        answer: "done".to_owned(),
    };
    assert_eq!(settled(&[0], |_| has()), Some(ran));
    assert_eq!(
        settled(&[0, 400, 800, 1_200, 1_600], |_| JournalReading::Silent),
        None
    );
}

#[test]
fn own_word_settles_without_journal() {
    let vigil = ServerVigil::default();
    let state = settle(DispatchLimit::Never, &JournalReading::Silent, &vigil, &RULE);
    assert_eq!(state, Some(CallState::NotRun));
}

#[rstest]
#[case::at_once(0, 2_000, true)]
#[case::after_a_pause(1_000, 2_000, false)]
#[case::past_the_deadline(300, 200, false)]
fn claim_may_be_dispatched(#[case] age: u64, #[case] deadline: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    assert_eq!(rule.may_dispatch(begun, at(age), at(deadline)), expected);
}

#[rstest]
#[case(2_900, false)]
#[case(3_100, true)]
fn request_grows_stale(#[case] age_ms: u64, #[case] expected: bool) {
    let rule = DispatchRule::default();
    let now = WallTime(RECORDED.0 + age_ms);
    let deadline = Duration::from_secs(2);
    assert_eq!(rule.is_stale(RECORDED, deadline, now), expected);
}
