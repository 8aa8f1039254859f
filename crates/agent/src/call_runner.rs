//! Running calls at the plain service, at most once where that is asked.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use domain::{
    BodyDigest,
    service_call::{CallEvidence, CallOutcome, CallRecord, CallState, KeyDecision, decide_key},
};
use exchange::{ExchangeCall, ExchangeError, HttpExchange};
use platform::{TableRow, WriteCondition};
use tokio::time::Instant;
use wire::{
    KEY_HEADER,
    service_call::{CallMessage, CallReply, RecordMessage},
};

use crate::{AgentState, intent_log::WriteOutcome};

/// Prefix of the rows that hold records of calls.
const CALL_PREFIX: &str = "call/";

/// Time that recording an outcome is tried for.
const OUTCOME_PATIENCE: Duration = Duration::from_secs(600);

/// Runs calls at the service beside the agent.
pub struct CallRunner {
    state: Arc<AgentState>,
    service: HttpExchange,
    runs: AtomicU64,
}

/// A recorded intent that allows one run.
struct CallClaim {
    key: String,
    version: u64,
    record: CallRecord,
}

/// What the service was seen to do.
struct CallResult {
    evidence: CallEvidence,
    status: u16,
    text: String,
}

impl CallRunner {
    /// Runner without calls.
    pub fn new(state: Arc<AgentState>) -> Self {
        Self {
            state,
            // A pooled connection may be closed by the service at any moment,
            // which would turn a plain failure into an unknown outcome.
            service: HttpExchange::fresh(),
            runs: AtomicU64::new(0),
        }
    }

    /// Run a call, or answer from its record.
    pub async fn run(&self, call: &CallMessage) -> CallReply {
        let _counted = CountedCall::new(&self.state.calls);
        let reply = self.run_counted(call).await;
        let outcome = match &reply {
            CallReply::Ran { .. } => "ran",
            CallReply::NotRun { .. } => "not_run",
            CallReply::Unknown { .. } => "unknown",
            CallReply::OtherBody => "other_body",
            CallReply::InFlight => "in_flight",
        };
        self.state.metrics.calls.with_label_values(&[outcome]).inc();
        reply
    }

    async fn run_counted(&self, call: &CallMessage) -> CallReply {
        if self.state.is_leaving() {
            return not_run("the server is leaving");
        }
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        let Some(key) = &call.key else {
            return reply_of(&self.send(call, deadline).await);
        };
        let row_key = format!("{CALL_PREFIX}{}/{key}", call.team);
        let claim = match self.claim(&row_key, call, deadline).await {
            Ok(claim) => claim,
            Err(reply) => return reply,
        };
        let result = self.send(call, deadline).await;
        self.record_result(claim, &result);
        reply_of(&result)
    }

    /// Record an intent, or learn why the call may not run.
    async fn claim(
        &self,
        row_key: &str,
        call: &CallMessage,
        deadline: Instant,
    ) -> Result<CallClaim, CallReply> {
        let digest = BodyDigest::of(&call.operation, call.body.as_bytes());
        let mut condition = WriteCondition::Absent;
        let started = Instant::now();
        loop {
            let record = self.new_intent(digest);
            let value = encode(&record);
            let written = self
                .state
                .intents
                .write(row_key, condition, &value, deadline)
                .await;
            let row = match written {
                WriteOutcome::Recorded => {
                    let waited = started.elapsed().as_secs_f64();
                    self.state.metrics.intent_seconds.observe(waited);
                    return Ok(CallClaim {
                        key: row_key.to_owned(),
                        version: next_version(condition),
                        record,
                    });
                }
                WriteOutcome::Undecided(reason) => return Err(not_run(&reason)),
                WriteOutcome::Conflict(row) => row,
            };
            condition = may_claim(row.as_ref(), digest)?;
        }
    }

    fn new_intent(&self, digest: BodyDigest) -> CallRecord {
        CallRecord {
            digest,
            owner: self.state.settings.name.clone(),
            owner_epoch: self.state.epoch,
            run: self.runs.fetch_add(1, Ordering::Relaxed),
            state: CallState::Intended,
        }
    }

    async fn send(&self, call: &CallMessage, deadline: Instant) -> CallResult {
        let left = deadline.saturating_duration_since(Instant::now());
        let path = format!("/{}", call.operation);
        let mut request = ExchangeCall::post(self.state.settings.server, &path)
            .body(call.body.as_bytes())
            .timeout(left.min(self.state.settings.service_run_max));
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key);
        }
        match self.service.send(request).await {
            Ok(reply) => CallResult {
                evidence: CallEvidence::Answered,
                status: reply.status.as_u16(),
                text: String::from_utf8_lossy(&reply.body).into_owned(),
            },
            Err(error) => CallResult {
                evidence: match error {
                    ExchangeError::NotSent { .. } => CallEvidence::ConnectFailed,
                    ExchangeError::Lost { .. } | ExchangeError::Malformed { .. } => {
                        CallEvidence::LostAfterSend
                    }
                },
                status: 0,
                text: error.to_string(),
            },
        }
    }

    /// Record what became of a call; the caller need not wait for it.
    fn record_result(&self, claim: CallClaim, result: &CallResult) {
        let record = CallRecord {
            state: match result.evidence.outcome() {
                CallOutcome::Ran => CallState::Ran {
                    status: result.status,
                    answer: result.text.clone(),
                },
                CallOutcome::NotRun => CallState::NotRun,
                CallOutcome::Unknown => CallState::Unknown,
            },
            ..claim.record
        };
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            let deadline = Instant::now() + OUTCOME_PATIENCE;
            let condition = WriteCondition::Version(claim.version);
            let value = encode(&record);
            let write = state.intents.write(&claim.key, condition, &value, deadline);
            let written = write.await;
            if written != WriteOutcome::Recorded {
                log::error!(
                    request = claim.key.as_str(), attempt = record.run;
                    "outcome not recorded: {written:?}"
                );
            }
        });
    }
}

/// Condition under which an intent may replace a row, or the answer instead.
fn may_claim(row: Option<&TableRow>, digest: BodyDigest) -> Result<WriteCondition, CallReply> {
    let Some(row) = row else {
        return Ok(WriteCondition::Absent);
    };
    let record = decode(row)?;
    match decide_key(Some(&record), digest) {
        KeyDecision::Run => Ok(WriteCondition::Version(row.version)),
        KeyDecision::Answer { status, answer } => Err(CallReply::Ran {
            status,
            answer: answer.to_owned(),
        }),
        KeyDecision::OtherBody => Err(CallReply::OtherBody),
        KeyDecision::InFlight => Err(CallReply::InFlight),
        KeyDecision::Unknown => Err(CallReply::Unknown {
            reason: "an earlier call with the key may have run".to_owned(),
        }),
    }
}

const fn next_version(condition: WriteCondition) -> u64 {
    match condition {
        WriteCondition::Version(version) => version + 1,
        WriteCondition::Absent | WriteCondition::Always => 1,
    }
}

fn encode(record: &CallRecord) -> String {
    serde_json::to_string(&RecordMessage::from(record)).expect("wire types are plain data")
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

fn not_run(reason: &str) -> CallReply {
    CallReply::NotRun {
        reason: reason.to_owned(),
    }
}

struct CountedCall<'a> {
    calls: &'a AtomicU32,
}

impl<'a> CountedCall<'a> {
    fn new(calls: &'a AtomicU32) -> Self {
        calls.fetch_add(1, Ordering::Relaxed);
        Self { calls }
    }
}

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }
}
