//! One key under random orders of events: it never runs twice, and `not run` is
//! never reported if the call ran or an earlier request can still run it.
//!
//! The model consists of two processes that may dispatch the call, a table row,
//! and a service beside each process that runs what it has received, also after
//! being suspended. The domain code decides every step.

use std::time::Duration;

use domain::{
    BodyDigest, ServerName,
    service_call::{
        AbsenceRule, CallEvidence, CallOutcome, CallOwner, CallRecord, CallState, DispatchLimit,
        DispatchRule, JournalLookup, KeyDecision, KeyQuery, ServerUptime, WallTime, decide_key,
        settled_state,
    },
};
use proptest::prelude::*;
use tokio::time::Instant;

const RULE: AbsenceRule = AbsenceRule {
    run_max: Duration::from_millis(1_000),
    answer_gap_max: Duration::from_millis(500),
};

const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Event at one of the two servers.
#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    /// A new request with the key is sent; its message may be delayed.
    Request,
    /// The oldest message in transit arrives, and the process claims the key by
    /// recording an intent.
    Claim { is_answer_lost: bool },
    /// The call of the claim is dispatched.
    Dispatch,
    /// The service runs a received call.
    Run,
    /// The service's answer arrives or is lost.
    Answer { is_lost: bool },
    /// The process restarts and loses its memory.
    Restart,
    /// The service is suspended or resumes.
    Suspend(bool),
    /// The process tries to settle its open calls.
    Settle,
    /// Time passes.
    Wait(u16),
}

fn events() -> impl Strategy<Value = Vec<(bool, ModelEvent)>> {
    let event = prop_oneof![
        3 => Just(ModelEvent::Request),
        4 => any::<bool>().prop_map(|is_answer_lost| ModelEvent::Claim { is_answer_lost }),
        4 => Just(ModelEvent::Dispatch),
        3 => Just(ModelEvent::Run),
        3 => any::<bool>().prop_map(|is_lost| ModelEvent::Answer { is_lost }),
        1 => Just(ModelEvent::Restart),
        1 => any::<bool>().prop_map(ModelEvent::Suspend),
        8 => Just(ModelEvent::Settle),
        6 => (0_u16..600).prop_map(ModelEvent::Wait),
    ];
    proptest::collection::vec((any::<bool>(), event), 1..120)
}

/// Message in transit to a process.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_at: WallTime,
}

/// Claim of the key, held in memory.
#[derive(Clone, Copy, Debug)]
struct HeldClaim {
    run: u64,
    sent_at: WallTime,
    claimed_at: Instant,
    is_dispatched: bool,
}

/// Call received by the service.
#[derive(Clone, Copy, Debug)]
struct ReceivedCall {
    sent_at: WallTime,
    /// Time for which the service has worked on the call, without suspensions.
    worked_for: Duration,
}

struct ModelServer {
    owner: CallOwner,
    started_at: Instant,
    in_transit: Vec<SentRequest>,
    claim: Option<HeldClaim>,
    /// Run numbers of open calls, with their latest dispatch times.
    open_calls: Vec<(u64, DispatchLimit)>,
    received: Vec<ReceivedCall>,
    is_suspended: bool,
    uptime: ServerUptime,
}

struct Model {
    begun: Instant,
    now: Instant,
    digest: BodyDigest,
    record: Option<CallRecord>,
    servers: [ModelServer; 2],
    executions: u32,
    next_run_number: u64,
    /// The callers of requests sent up to this time were told `not run`.
    not_run_until: WallTime,
}

impl Model {
    fn new() -> Self {
        let begun = Instant::now();
        let server = |name: &str| ModelServer {
            owner: CallOwner {
                server: ServerName::from(name),
                epoch: 1,
            },
            started_at: begun,
            in_transit: Vec::new(),
            claim: None,
            open_calls: Vec::new(),
            received: Vec::new(),
            is_suspended: false,
            uptime: ServerUptime::default(),
        };
        Self {
            begun,
            now: begun,
            digest: BodyDigest::of("order", b"20 litres"),
            record: None,
            servers: [server("ledger-1"), server("ledger-2")],
            executions: 0,
            next_run_number: 0,
            not_run_until: WallTime(0),
        }
    }

    fn wall(&self) -> WallTime {
        let age = self.now.duration_since(self.begun).as_millis();
        WallTime(1_000_000 + u64::try_from(age).expect("the modelled time fits in 64 bits"))
    }

    /// Reports to a caller that no request sent up to `until` ran or will run.
    fn report_not_run(&mut self, until: WallTime) {
        assert_eq!(self.executions, 0, "reported not run after a run");
        self.not_run_until = self.not_run_until.max(until);
    }

    fn step(&mut self, server_index: usize, event: ModelEvent) {
        match event {
            ModelEvent::Request => {
                self.advance(Duration::from_millis(1));
                let sent_at = self.wall();
                self.servers[server_index]
                    .in_transit
                    .push(SentRequest { sent_at });
            }
            ModelEvent::Claim { is_answer_lost } => self.claim(server_index, is_answer_lost),
            ModelEvent::Dispatch => self.dispatch(server_index),
            ModelEvent::Run => self.run(server_index),
            ModelEvent::Answer { is_lost } => self.answer(server_index, is_lost),
            ModelEvent::Restart => self.restart(server_index),
            ModelEvent::Suspend(is_suspended) => {
                self.servers[server_index].is_suspended = is_suspended
            }
            ModelEvent::Settle => self.settle(server_index),
            ModelEvent::Wait(ms) => self.advance(Duration::from_millis(ms.into())),
        }
    }

    /// Advances the time; a service that is not suspended runs the calls that are
    /// due.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        for server_index in 0..self.servers.len() {
            let server = &mut self.servers[server_index];
            if server.is_suspended {
                continue;
            }
            for call in &mut server.received {
                call.worked_for += time;
            }
            while self.servers[server_index]
                .received
                .first()
                .is_some_and(|call| call.worked_for >= RULE.run_max)
            {
                self.run(server_index);
            }
        }
    }

    fn claim(&mut self, server_index: usize, is_answer_lost: bool) {
        let now = self.wall();
        let server = &mut self.servers[server_index];
        if server.claim.is_some() || server.in_transit.is_empty() {
            return;
        }
        let request = server.in_transit.remove(0);
        if DispatchRule::default().is_stale(request.sent_at, CALL_TIMEOUT, now) {
            return;
        }
        let query = KeyQuery {
            digest: self.digest,
            owner: &server.owner,
            sent_at: request.sent_at,
            now,
        };
        match decide_key(self.record.as_ref(), &query) {
            KeyDecision::Run => {}
            KeyDecision::Superseded => return self.report_not_run(request.sent_at),
            _ => return,
        }
        let run = self.next_run_number;
        self.next_run_number += 1;
        self.record = Some(CallRecord {
            digest: self.digest,
            owner: server.owner.clone(),
            run,
            recorded_at: now,
            state: CallState::Intended,
        });
        if is_answer_lost {
            // The write is abandoned, so the call is never dispatched. Only the caller
            // of this request is told `not run`, which the model does not record.
            server.open_calls.push((run, DispatchLimit::Never));
            return;
        }
        server.claim = Some(HeldClaim {
            run,
            sent_at: request.sent_at,
            claimed_at: self.now,
            is_dispatched: false,
        });
    }

    fn dispatch(&mut self, server_index: usize) {
        let now = self.now;
        let server = &mut self.servers[server_index];
        let Some(claim) = server.claim.as_mut().filter(|claim| !claim.is_dispatched) else {
            return;
        };
        let deadline = claim.claimed_at + CALL_TIMEOUT;
        if !DispatchRule::default().may_dispatch(claim.claimed_at, now, deadline) {
            let run = claim.run;
            server.claim = None;
            if self.write(server_index, run, CallState::NotRun) {
                self.report_not_run(self.wall());
            }
            return;
        }
        claim.is_dispatched = true;
        server.received.push(ReceivedCall {
            sent_at: claim.sent_at,
            worked_for: Duration::ZERO,
        });
    }

    fn run(&mut self, server_index: usize) {
        let server = &mut self.servers[server_index];
        if server.is_suspended || server.received.is_empty() {
            return;
        }
        let call = server.received.remove(0);
        assert!(
            call.sent_at > self.not_run_until,
            "ran after not run was reported"
        );
        self.executions += 1;
        assert!(self.executions <= 1, "ran twice");
    }

    fn answer(&mut self, server_index: usize, is_lost: bool) {
        let server = &mut self.servers[server_index];
        let Some(claim) = server.claim.filter(|claim| claim.is_dispatched) else {
            return;
        };
        server.claim = None;
        let has_run = server.received.is_empty();
        let evidence = if is_lost || !has_run {
            CallEvidence::LostAfterSend
        } else {
            CallEvidence::Answered
        };
        let state = match evidence.outcome() {
            CallOutcome::Ran => CallState::Ran {
                status: 200,
                answer: String::new(),
            },
            CallOutcome::NotRun => CallState::NotRun,
            CallOutcome::Unknown => {
                let limit = DispatchLimit::Until(self.now);
                server.open_calls.push((claim.run, limit));
                CallState::Unknown
            }
        };
        self.write(server_index, claim.run, state);
    }

    fn restart(&mut self, server_index: usize) {
        let now = self.now;
        let server = &mut self.servers[server_index];
        server.owner.epoch += 1;
        server.started_at = now;
        server.claim = None;
        server.in_transit.clear();
        server.uptime = ServerUptime::default();
        server.open_calls.clear();
        let Some(record) = &self.record else {
            return;
        };
        if record.owner.server == server.owner.server && record.state.is_open() {
            server
                .open_calls
                .push((record.run, DispatchLimit::Until(now)));
        }
    }

    fn settle(&mut self, server_index: usize) {
        let now = self.now;
        let executions = self.executions;
        let server = &mut self.servers[server_index];
        let lookup = match (server.is_suspended, executions) {
            (true, _) => JournalLookup::Unavailable,
            (false, 0) => JournalLookup::NotFound { asked_at: now },
            (false, _) => JournalLookup::Found {
                status: 200,
                answer: String::new(),
            },
        };
        if server.is_suspended {
            server.uptime.record_failure();
        } else {
            server.uptime.record_answer(&RULE, now);
        }
        for (run, limit) in server.open_calls.clone() {
            let uptime = &self.servers[server_index].uptime;
            let Some(state) = settled_state(limit, &lookup, uptime, &RULE) else {
                continue;
            };
            let is_not_run = state == CallState::NotRun;
            if self.write(server_index, run, state) && is_not_run {
                self.report_not_run(self.wall());
            }
            self.servers[server_index]
                .open_calls
                .retain(|(other, _)| *other != run);
        }
    }

    /// Writes a state if the record is still open and belongs to the run.
    fn write(&mut self, server_index: usize, run: u64, state: CallState) -> bool {
        let now = self.wall();
        let server = &self.servers[server_index].owner.server;
        let Some(record) = self.record.as_mut().filter(|record| {
            record.owner.server == *server && record.run == run && record.state.is_open()
        }) else {
            return false;
        };
        record.state = state;
        record.recorded_at = now;
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn key_runs_at_most_once(events in events()) {
        let mut model = Model::new();
        for (is_second, event) in events {
            model.step(usize::from(is_second), event);
        }
    }

    /// The record is settled once the faults end, whatever happened before.
    #[test]
    fn record_is_settled_after_faults(events in events()) {
        let mut model = Model::new();
        for (is_second, event) in events {
            model.step(usize::from(is_second), event);
        }
        for server_index in 0..2 {
            model.step(server_index, ModelEvent::Suspend(false));
            model.step(server_index, ModelEvent::Answer { is_lost: false });
            model.step(server_index, ModelEvent::Dispatch);
            model.step(server_index, ModelEvent::Answer { is_lost: true });
        }
        for _ in 0..8 {
            model.step(0, ModelEvent::Settle);
            model.step(1, ModelEvent::Settle);
            model.step(0, ModelEvent::Wait(400));
        }
        let is_open = model.record.is_some_and(|record| record.state.is_open());
        prop_assert!(!is_open, "still open");
    }
}
