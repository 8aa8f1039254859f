//! Running calls at the plain service, at most once where that is asked.
//!
//! A call with a key runs on a task of its own, which goes on when the
//! connection that asked for it is lost; requests wait for its reply.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use backing::{TableRow, WriteCondition};
use domain::{
    BodyDigest,
    service_call::{
        CallEvidence, CallOutcome, CallRecord, CallState, DispatchLimit, DispatchRule, KeyDecision,
        KeyQuery, WallTime, WriteLimits, decide_key, is_key_past_retention,
    },
};
use tokio::time::Instant;
use wire::service_call::{CallMessage, CallReply, RecordMessage, request_name};

use crate::{
    AgentState,
    call_registry::{JoinOutcome, OpenCase, ReplyReceiver, ReplySender},
    call_rows::{CallClaim, open_record, record_write},
    intent_log::{WriteOutcome, WriteUrgency},
    service_client::CallResult,
};

/// Pause before the record of an outcome is tried again.
const RECORD_PAUSE: Duration = Duration::from_millis(200);

/// Time for which one write of an outcome is waited for.
const RECORD_PATIENCE: Duration = Duration::from_secs(60);

/// Time that is left for the way back when a request with the same key waits.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Runs calls at the service beside the agent.
pub struct CallRunner {
    state: Arc<AgentState>,
    rule: DispatchRule,
    runs: AtomicU64,
}

impl CallRunner {
    /// Runner without calls.
    pub fn new(state: Arc<AgentState>) -> Self {
        Self {
            state,
            rule: DispatchRule::default(),
            runs: AtomicU64::new(0),
        }
    }

    /// Run a call, or answer from its record.
    pub async fn run(self: &Arc<Self>, call: &CallMessage) -> CallReply {
        let reply = self.run_counted(call).await;
        let outcome = match &reply {
            CallReply::Ran { .. } => "ran",
            CallReply::NotRun { .. } => "not_run",
            CallReply::Refused { .. } => "refused",
            CallReply::Unknown { .. } => "unknown",
            CallReply::OtherBody => "other_body",
            CallReply::InFlight => "in_flight",
            CallReply::Expired => "expired",
        };
        self.state.metrics.calls.with_label_values(&[outcome]).inc();
        reply
    }

    async fn run_counted(self: &Arc<Self>, call: &CallMessage) -> CallReply {
        let patience = Duration::from_millis(call.deadline_ms);
        let deadline = Instant::now() + patience;
        if self.state.is_leaving() {
            return refusal(call, "the server is leaving");
        }
        if self
            .rule
            .is_stale(WallTime(call.sent_at_ms), patience, wall_now())
        {
            return refusal(call, "the request came too late");
        }
        let Some(key) = &call.key else {
            let _counted = CountedCall::new(&self.state);
            return reply_of(&self.state.service.send(call, deadline).await);
        };
        if is_key_past_retention(key, wall_now()) {
            return CallReply::Expired;
        }
        let request = request_name(&call.team, key);
        let digest = BodyDigest::of(&call.operation, call.body.as_bytes());
        match self.state.call_registry.join(&request, digest) {
            JoinOutcome::OtherBody => CallReply::OtherBody,
            JoinOutcome::Existing(reply) => wait_for_reply(reply, deadline - REPLY_MARGIN).await,
            JoinOutcome::New(sender, reply) => {
                let run = KeyedRun {
                    runner: Arc::clone(self),
                    call: call.clone(),
                    request,
                    digest,
                    deadline,
                };
                tokio::spawn(run.go(sender));
                wait_for_reply(reply, deadline + REPLY_MARGIN).await
            }
        }
    }
}

async fn wait_for_reply(mut reply: ReplyReceiver, deadline: Instant) -> CallReply {
    let waited = tokio::time::timeout_at(deadline, reply.wait_for(Option::is_some)).await;
    match waited {
        Ok(Ok(reply)) => reply.clone().unwrap_or(CallReply::InFlight),
        Ok(Err(_)) | Err(_) => CallReply::InFlight,
    }
}

/// One call with a key, from its claim to its record.
struct KeyedRun {
    runner: Arc<CallRunner>,
    call: CallMessage,
    request: String,
    digest: BodyDigest,
    deadline: Instant,
}

impl KeyedRun {
    async fn go(self, sender: ReplySender) {
        let state = &self.runner.state;
        let _counted = CountedCall::new(state);
        let claimed_at = Instant::now();
        let claim = match self.claim(claimed_at).await {
            Ok(claim) => claim,
            Err(reply) => {
                state.call_registry.leave(&self.request);
                let _ = sender.send(Some(reply));
                return;
            }
        };
        let result = self.dispatch(claimed_at).await;
        let dispatched_until = Instant::now();
        // Those who asked may have gone away.
        let _ = sender.send(Some(reply_of(&result)));
        self.record_result(claim, &result, dispatched_until).await;
    }

    /// Record an intent, or learn why the call may not run.
    async fn claim(&self, now: Instant) -> Result<CallClaim, CallReply> {
        let state = &self.runner.state;
        let is_failing = state.intents.is_failing();
        let limits = self
            .runner
            .rule
            .intent_limits(is_failing, now, self.deadline);
        let mut condition = WriteCondition::Absent;
        loop {
            let record = self.new_intent();
            let write = record_write(
                state,
                &self.request,
                condition,
                &record,
                WriteUrgency::Intent,
            );
            let row = match state.intents.write(write, limits).await {
                WriteOutcome::Recorded => {
                    let waited = now.elapsed().as_secs_f64();
                    state.metrics.intent_seconds.observe(waited);
                    return Ok(CallClaim::new(condition, record));
                }
                WriteOutcome::Undecided { reason, may_apply } => {
                    if may_apply {
                        self.abandon(&record, now);
                    }
                    return Err(refusal(&self.call, &reason));
                }
                WriteOutcome::Conflict(row) => row,
            };
            condition = self.may_claim(row.as_ref())?;
        }
    }

    fn new_intent(&self) -> CallRecord {
        CallRecord {
            digest: self.digest,
            owner: self.runner.state.owner.clone(),
            run: self.runner.runs.fetch_add(1, Ordering::Relaxed),
            recorded_at: wall_now(),
            state: CallState::Intended,
        }
    }

    /// The intent may be recorded later, and is then to be taken back.
    fn abandon(&self, record: &CallRecord, now: Instant) {
        let state = &self.runner.state;
        state.call_registry.open(OpenCase {
            request: self.request.clone(),
            owner: record.owner.clone(),
            run: record.run,
            limit: DispatchLimit::Never,
            opened_at: now,
        });
    }

    /// Condition under which an intent may replace a row, or the answer instead.
    fn may_claim(&self, row: Option<&TableRow>) -> Result<WriteCondition, CallReply> {
        let Some(row) = row else {
            return Ok(WriteCondition::Absent);
        };
        let record = decode(row)?;
        let query = KeyQuery {
            digest: self.digest,
            owner: &self.runner.state.owner,
            sent_at: WallTime(self.call.sent_at_ms),
            now: wall_now(),
        };
        Err(match decide_key(Some(&record), &query) {
            KeyDecision::Run => return Ok(WriteCondition::Version(row.version)),
            KeyDecision::Answer { status, answer } => CallReply::Ran {
                status,
                answer: answer.to_owned(),
            },
            KeyDecision::OtherBody => CallReply::OtherBody,
            KeyDecision::InFlight => CallReply::InFlight,
            KeyDecision::Expired => CallReply::Expired,
            KeyDecision::Superseded => not_run("recorded as not run since the request was sent"),
            KeyDecision::Unknown => CallReply::Unknown {
                reason: "an earlier call with the key may have run".to_owned(),
            },
        })
    }

    /// Dispatch the call, unless the process slept since it claimed it.
    async fn dispatch(&self, claimed_at: Instant) -> CallResult {
        let rule = &self.runner.rule;
        if !rule.may_dispatch(claimed_at, Instant::now(), self.deadline) {
            return CallResult {
                evidence: CallEvidence::RefusedBeforeSend,
                status: 0,
                text: "the deadline passed before the call was dispatched".to_owned(),
            };
        }
        self.runner
            .state
            .service
            .send(&self.call, self.deadline)
            .await
    }

    /// Record what became of the call; nobody waits for it, but the key stays
    /// taken until it is done.
    async fn record_result(&self, claim: CallClaim, result: &CallResult, until: Instant) {
        let state = &self.runner.state;
        let run = claim.record.run;
        let outcome = result.evidence.outcome();
        let record = CallRecord {
            recorded_at: wall_now(),
            state: match outcome {
                CallOutcome::Ran => CallState::Ran {
                    status: result.status,
                    answer: result.text.clone(),
                },
                CallOutcome::NotRun => CallState::NotRun,
                CallOutcome::Unknown => CallState::Unknown,
            },
            ..claim.record
        };
        let mut condition = WriteCondition::Version(claim.version);
        loop {
            let write = record_write(
                state,
                &self.request,
                condition,
                &record,
                WriteUrgency::Outcome,
            );
            let limits = WriteLimits::until(Instant::now() + RECORD_PATIENCE);
            match state.intents.write(write, limits).await {
                WriteOutcome::Recorded => break,
                // A peer took this process for gone and called the outcome
                // unknown; what is known here settles it.
                WriteOutcome::Conflict(Some(row))
                    if open_record(&row, &state.owner, run).is_some() =>
                {
                    condition = WriteCondition::Version(row.version);
                }
                WriteOutcome::Conflict(row) => {
                    log::error!(request = self.request.as_str(); "another record stands: {row:?}");
                    break;
                }
                WriteOutcome::Undecided { reason, .. } => {
                    log::warn!(request = self.request.as_str(); "outcome not recorded: {reason}");
                    tokio::time::sleep(RECORD_PAUSE).await;
                }
            }
        }
        if outcome == CallOutcome::Unknown {
            state.call_registry.open(OpenCase {
                request: self.request.clone(),
                owner: state.owner.clone(),
                run,
                limit: DispatchLimit::Until(until),
                opened_at: until,
            });
        }
        state.call_registry.leave(&self.request);
    }
}

/// Now on the wall clock.
pub fn wall_now() -> WallTime {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}

fn decode(row: &TableRow) -> Result<CallRecord, CallReply> {
    let message = serde_json::from_str::<RecordMessage>(&row.value).ok();
    let record = message.and_then(|message| CallRecord::try_from(message).ok());
    record.ok_or_else(|| CallReply::Unknown {
        reason: "the record of the key cannot be read".to_owned(),
    })
}

fn reply_of(result: &CallResult) -> CallReply {
    match result.evidence.outcome() {
        CallOutcome::Ran => CallReply::Ran {
            status: result.status,
            answer: result.text.clone(),
        },
        CallOutcome::NotRun => not_run(&result.text),
        CallOutcome::Unknown => CallReply::Unknown {
            reason: result.text.clone(),
        },
    }
}

/// Refusal without a look at the record: it speaks for the key only if the
/// caller says that this is its first use.
fn refusal(call: &CallMessage, reason: &str) -> CallReply {
    if call.key.is_none() || call.is_first {
        return not_run(reason);
    }
    CallReply::Refused {
        reason: reason.to_owned(),
    }
}

fn not_run(reason: &str) -> CallReply {
    CallReply::NotRun {
        reason: reason.to_owned(),
    }
}

struct CountedCall<'a> {
    calls: &'a AtomicU32,
}

impl<'a> CountedCall<'a> {
    fn new(state: &'a AgentState) -> Self {
        state.calls.fetch_add(1, Ordering::Relaxed);
        Self {
            calls: &state.calls,
        }
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
