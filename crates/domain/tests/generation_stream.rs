//! Delivery of a generation across attempts: no order of events makes a token
//! missing, repeated or taken from another attempt.

use std::{sync::Arc, time::Duration};

use domain::{
    AttemptNumber, ModelName, ModelVersion, TokenPosition,
    generation_stream::{
        AttemptGate, AttemptVerdict, EndVerdict, HeartbeatReport, LogBudget, LossAction, ModelPin,
        RelayLimits, ResumeLimits, ResumeQueue, ResumeVerdict, SilenceLimits, SilenceVerdict,
        StreamMonitor, StreamRelay, TokenLog, TokenVerdict,
    },
};
use proptest::prelude::*;
use tokio::time::Instant;

fn relay(now: Instant) -> StreamRelay {
    let pin = ModelPin {
        model: ModelName::from("plantain-writer"),
        adapter: None,
        version: ModelVersion(3),
    };
    let limits = RelayLimits::default();
    StreamRelay::new(pin, TokenLog::default(), AttemptNumber(0), limits, now)
}

fn token(attempt: AttemptNumber, position: u32) -> String {
    format!("{attempt}/{position} ")
}

#[derive(Clone, Debug)]
enum Step {
    Token { attempt: u32, position: u32 },
    LoseConnection,
    LoseServer,
    Move,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u32, 0..12_u32).prop_map(|(attempt, position)| Step::Token { attempt, position }),
        1 => Just(Step::LoseConnection),
        1 => Just(Step::LoseServer),
        1 => Just(Step::Move),
    ]
}

proptest! {
    #[test]
    fn delivered_log_is_gapless(steps in prop::collection::vec(step(), 0..200)) {
        let now = Instant::now();
        let mut relay = relay(now);
        let mut delivered = Vec::new();
        for step in steps {
            match step {
                Step::Token { attempt, position } => {
                    let attempt = AttemptNumber(attempt);
                    let current = relay.attempt();
                    let expected = relay.log().next_position();
                    let text = token(attempt, position);
                    let verdict = relay.accept(attempt, TokenPosition(position), &text, now);
                    let may_deliver = attempt == current && position == expected.0;
                    prop_assert_eq!(verdict == TokenVerdict::Deliver, may_deliver);
                    if may_deliver {
                        delivered.push(text);
                    }
                }
                Step::LoseConnection => {
                    let before = relay.attempt();
                    if let LossAction::Resume(attempt) = relay.on_connection_lost(now) {
                        prop_assert!(attempt > before);
                    }
                }
                Step::LoseServer => {
                    let before = relay.attempt();
                    prop_assert_eq!(relay.on_server_lost(now), LossAction::Resume(before.next()));
                }
                Step::Move => {
                    let offered = relay.next_attempt();
                    prop_assert!(offered > relay.attempt());
                    relay.complete_move();
                    prop_assert_eq!(relay.attempt(), offered);
                }
            }
            let log: Vec<&str> = relay.log().tokens_from(TokenPosition(0)).collect();
            prop_assert_eq!(&log, &delivered);
        }
    }
}

#[test]
fn early_end_is_incomplete() {
    let now = Instant::now();
    let mut relay = relay(now);
    relay.accept(AttemptNumber(0), TokenPosition(0), "a", now);
    let check = |attempt, total, expected| {
        let verdict = relay.check_end(AttemptNumber(attempt), TokenPosition(total));
        assert_eq!(verdict, expected);
    };
    check(0, 1, EndVerdict::Complete);
    check(0, 2, EndVerdict::Incomplete);
    check(1, 1, EndVerdict::Stale);
}

#[test]
fn relay_gives_up_after_the_progress_timeout() {
    let now = Instant::now();
    let mut relay = relay(now);
    let late = now + RelayLimits::default().progress_timeout;
    assert_eq!(relay.on_connection_lost(late), LossAction::GiveUp);
    assert_eq!(relay.on_server_lost(late), LossAction::GiveUp);
}

#[test]
fn delayed_older_attempt_is_stale() {
    let mut gate = AttemptGate::new(AttemptNumber(1));
    assert_eq!(gate.admit(AttemptNumber(2)), AttemptVerdict::Start);
    assert_eq!(gate.admit(AttemptNumber(1)), AttemptVerdict::Stale);
    assert_eq!(gate.admit(AttemptNumber(2)), AttemptVerdict::Attach);
}

const fn report(stream_silence: Duration, overall_silence: Duration) -> HeartbeatReport {
    HeartbeatReport {
        stream_silence,
        overall_silence,
    }
}

#[tokio::test(start_paused = true)]
async fn overall_silence_resumes_elsewhere_sooner() {
    let limits = SilenceLimits::default();
    let now = Instant::now();
    let check = |stream_silence, overall_silence, is_resumed| {
        let mut monitor = StreamMonitor::new(now);
        monitor.record_heartbeat(report(stream_silence, overall_silence), now);
        let verdict = monitor.evaluate(&limits, now);
        assert_eq!(verdict == SilenceVerdict::Resume, is_resumed);
    };
    let short = limits.overall_timeout;
    let tick = Duration::from_millis(1);
    check(short, short, true);
    // One slow stream on an engine that serves others.
    check(short, Duration::ZERO, false);
    check(limits.stream_timeout - tick, Duration::ZERO, false);
    check(limits.stream_timeout, Duration::ZERO, true);
    // The engine does not answer probes but this stream is active.
    check(Duration::ZERO, limits.stream_timeout, false);
}

/// A reduced report leads to the same verdict as the full one.
#[tokio::test(start_paused = true)]
async fn actionable_report_keeps_the_verdict() {
    let limits = SilenceLimits::default();
    let now = Instant::now();
    let check = |full: HeartbeatReport| {
        let verdict = |report| {
            let mut monitor = StreamMonitor::new(now);
            monitor.record_heartbeat(report, now);
            monitor.evaluate(&limits, now)
        };
        assert_eq!(verdict(full.actionable()), verdict(full), "{full:?}");
    };
    let steps = || (0..=1_000).step_by(50).map(Duration::from_millis);
    for stream_silence in steps() {
        for overall_silence in steps() {
            check(report(stream_silence, overall_silence));
        }
    }
    assert_eq!(
        report(SilenceLimits::REPORT_THRESHOLD, Duration::ZERO).actionable(),
        report(SilenceLimits::REPORT_THRESHOLD, Duration::ZERO)
    );
}

#[test]
fn previous_attempt_is_stale_after_takeover() {
    let first = AttemptNumber(1);
    let mut gate = AttemptGate::new(first);
    let second = gate.take_over();
    assert!(second > first);
    assert_eq!(gate.admit(first), AttemptVerdict::Stale);
    assert_eq!(gate.admit(second), AttemptVerdict::Attach);
}

#[tokio::test(start_paused = true)]
async fn each_silence_timeout_leads_to_its_verdict() {
    let limits = SilenceLimits::default();
    let mut monitor = StreamMonitor::new(Instant::now());
    let deadline = Instant::now() + limits.first_event_timeout;
    let now = Instant::now();
    assert_eq!(
        monitor.evaluate(&limits, now),
        SilenceVerdict::Wait(deadline)
    );
    tokio::time::advance(limits.first_event_timeout).await;
    let now = Instant::now();
    assert_eq!(monitor.evaluate(&limits, now), SilenceVerdict::Reconnect);
    monitor.record_heartbeat(report(Duration::ZERO, Duration::ZERO), now);
    let deadline = now + limits.connection_timeout;
    assert_eq!(
        monitor.evaluate(&limits, now),
        SilenceVerdict::Wait(deadline)
    );
    tokio::time::advance(limits.connection_timeout).await;
    let now = Instant::now();
    assert_eq!(monitor.evaluate(&limits, now), SilenceVerdict::Reconnect);
    monitor.record_heartbeat(report(limits.stream_timeout, Duration::ZERO), now);
    assert_eq!(monitor.evaluate(&limits, now), SilenceVerdict::Resume);
    monitor.record_token(now);
    let deadline = now + limits.connection_timeout;
    assert_eq!(
        monitor.evaluate(&limits, now),
        SilenceVerdict::Wait(deadline)
    );
    tokio::time::advance(Duration::from_millis(1)).await;
}

#[derive(Clone, Debug)]
enum AgentStep {
    Open { attempt: u32 },
    TakeOver,
}

fn agent_step() -> impl Strategy<Value = AgentStep> {
    prop_oneof![
        4 => (0..8_u32).prop_map(|attempt| AgentStep::Open { attempt }),
        1 => Just(AgentStep::TakeOver),
    ]
}

proptest! {
    #[test]
    fn attempts_only_rise(steps in prop::collection::vec(agent_step(), 0..100)) {
        let mut gate = AttemptGate::new(AttemptNumber(0));
        for step in steps {
            let before = gate.current();
            match step {
                AgentStep::Open { attempt } => {
                    let attempt = AttemptNumber(attempt);
                    let expected = match attempt.cmp(&before) {
                        std::cmp::Ordering::Less => AttemptVerdict::Stale,
                        std::cmp::Ordering::Equal => AttemptVerdict::Attach,
                        std::cmp::Ordering::Greater => AttemptVerdict::Start,
                    };
                    prop_assert_eq!(gate.admit(attempt), expected);
                    prop_assert_eq!(gate.current(), before.max(attempt));
                }
                AgentStep::TakeOver => prop_assert_eq!(gate.take_over(), before.next()),
            }
        }
    }

    /// Two entries read the same generation and take it over from each other in
    /// any order of events: each delivers a prefix of the same text.
    #[test]
    fn two_entries_never_mix_text(steps in prop::collection::vec((0..2_usize, 0..5_u32), 0..300)) {
        let now = Instant::now();
        let mut gate = AttemptGate::new(AttemptNumber(0));
        let mut relays = [relay(now), relay(now)];
        let mut produced = 0_u32;
        for (entry, step) in steps {
            let relay = &mut relays[entry];
            match step {
                // The engine produces a token.
                0 => produced += 1,
                // The agent sends the next token if the reader's attempt is current.
                1 | 2 => {
                    let next = relay.log().next_position();
                    if next.0 < produced && gate.admit(relay.attempt()) != AttemptVerdict::Stale {
                        let text = format!("{next} ");
                        let verdict = relay.accept(gate.current(), next, &text, now);
                        prop_assert_eq!(verdict, TokenVerdict::Deliver);
                    }
                }
                // The entry takes over the stream at its own position.
                3 => {
                    let attempt = gate.take_over();
                    let log = relay.log().clone();
                    *relay = StreamRelay::new(
                        relay.pin().clone(), log, attempt, RelayLimits::default(), now,
                    );
                }
                // The entry loses its connection.
                _ => {
                    relay.on_connection_lost(now);
                }
            }
            for relay in &relays {
                let log: String = relay.log().tokens_from(TokenPosition(0)).collect();
                let expected: String = (0..relay.log().next_position().0)
                    .map(|position| format!("{position} "))
                    .collect();
                prop_assert_eq!(log, expected);
            }
        }
    }

    #[test]
    fn resumptions_follow_rate_limit_and_order(
        costs in prop::collection::vec((0..1_000_u64, 1..50_000_u32), 1..60)
    ) {
        let start = Instant::now();
        let limits = ResumeLimits::default();
        let mut queue = ResumeQueue::new(limits, start);
        for &(silent_ms, cost) in &costs {
            queue.push(start + Duration::from_millis(silent_ms), cost, (silent_ms, cost));
        }
        let mut now = start;
        let mut used = 0_u64;
        let mut last_silent = 0;
        loop {
            match queue.pop_ready(now) {
                ResumeVerdict::Ready((silent_ms, cost)) => {
                    prop_assert!(silent_ms >= last_silent);
                    last_silent = silent_ms;
                    let refilled = now.duration_since(start).as_secs_f64()
                        * f64::from(limits.tokens_per_second);
                    // Tokens used before this resumption do not exceed the refill and
                    // the burst.
                    prop_assert!(used as f64 <= refilled + f64::from(limits.burst_tokens) + 1.0);
                    used += u64::from(cost);
                }
                ResumeVerdict::Wait(until) => {
                    prop_assert!(until > now);
                    now = until;
                }
                ResumeVerdict::Empty => break,
            }
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(used, costs.iter().map(|&(_, cost)| u64::from(cost)).sum::<u64>());
    }
}

#[test]
fn log_budget_refuses_what_exceeds_it() {
    let budget = Arc::new(LogBudget::new(1_000));
    let first = budget.reserve("prompt", 100);
    assert!(first.is_some());
    let reserved = budget.reserved_bytes();
    assert!(budget.reserve("prompt", 100).is_none());
    assert_eq!(budget.reserved_bytes(), reserved);
    drop(first);
    assert_eq!(budget.reserved_bytes(), 0);
    assert!(budget.reserve("prompt", u32::MAX).is_none());
}
