//! Rows that hold and list the records of calls.

use backing::{TableRow, WriteCondition};
use domain::service_call::{CallOwner, CallRecord, CallState, is_removable};
use wire::service_call::{
    EndedMessage, OpenMessage, RecordMessage, call_row, ended_row, open_row, unknown_row,
};

use crate::{
    AgentState,
    intent_log::{RowWrite, WriteUrgency},
};

/// A recorded intent that allows one run.
#[derive(Clone, Debug)]
pub struct CallClaim {
    /// Version of the row.
    pub version: u64,
    /// The record.
    pub record: CallRecord,
}

impl CallClaim {
    /// Claim that was recorded under a condition.
    pub const fn new(condition: WriteCondition, record: CallRecord) -> Self {
        Self {
            version: version_after(condition),
            record,
        }
    }
}

/// Version of a row that was written under a condition.
const fn version_after(condition: WriteCondition) -> u64 {
    match condition {
        WriteCondition::Version(version) => version + 1,
        WriteCondition::Absent | WriteCondition::Always => 1,
    }
}

/// The record of a row, if it is the open one of a run.
pub fn open_record(row: &TableRow, owner: &CallOwner, run: u64) -> Option<CallRecord> {
    let message = serde_json::from_str::<RecordMessage>(&row.value).ok()?;
    let record = CallRecord::try_from(message).ok()?;
    let is_own = record.owner == *owner && record.run == run;
    (is_own && record.state.is_open()).then_some(record)
}

/// Write of a record, with the rows that list it while it is open, or from when
/// it is settled until it is taken away.
pub fn record_write(
    state: &AgentState,
    request: &str,
    condition: WriteCondition,
    record: &CallRecord,
    urgency: WriteUrgency,
) -> RowWrite {
    let pool = state.settings.pool.as_str();
    let owner = &record.owner;
    let open_key = open_row(pool, owner.server.as_str(), owner.epoch, record.run);
    let open = OpenMessage {
        request: request.to_owned(),
        owner: owner.server.as_str().to_owned(),
        owner_epoch: owner.epoch,
        run: record.run,
    };
    let mut listings = Vec::new();
    match &record.state {
        CallState::Intended => listings.push((open_key, Some(encode(&open)))),
        CallState::Unknown => listings.push((unknown_row(request), Some(encode(&open)))),
        CallState::Ran { .. } | CallState::NotRun => {
            listings.push((open_key, None));
            listings.push((unknown_row(request), None));
        }
    }
    if is_removable(&record.state) {
        let ended = EndedMessage {
            request: request.to_owned(),
            version: version_after(condition),
        };
        let key = ended_row(pool, record.recorded_at, request);
        listings.push((key, Some(encode(&ended))));
    }
    RowWrite {
        key: call_row(request),
        condition,
        value: Some(encode(&RecordMessage::from(record))),
        listings,
        urgency,
    }
}

/// Write that takes the listing of an open call away.
pub fn listing_removal(state: &AgentState, owner: &CallOwner, run: u64) -> RowWrite {
    let pool = state.settings.pool.as_str();
    RowWrite {
        key: open_row(pool, owner.server.as_str(), owner.epoch, run),
        condition: WriteCondition::Always,
        value: None,
        listings: Vec::new(),
        urgency: WriteUrgency::Outcome,
    }
}

fn encode(message: &impl serde::Serialize) -> String {
    serde_json::to_string(message).expect("wire types are plain data")
}
