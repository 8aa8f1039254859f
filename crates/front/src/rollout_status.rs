//! Rows under `status/` that report on roll-outs and on unusable rows.
//!
//! A row is written under the condition that the row it reports on is the one that was
//! read last, and that no other entry has written since. An entry whose condition fails
//! adopts what is there.

use std::sync::Arc;

use domain::{
    ServerVersion,
    rollout::{RolloutOrder, StatusState},
    store_position::StorePosition,
};
use platform::{
    rollout_row::{decode_status, encode_row_error, encode_status, order_key},
    store_call::{OPERATOR_TABLE, RowCondition, STATUS_TABLE, StoreRow, conditional_write_body},
};

use crate::{
    front_state::FrontState,
    rollout_board::StatusEnd,
    store_client::{StoreClient, StoreError},
};

/// Largest number of attempts to report an unusable row.
const REPORT_ATTEMPTS_MAX: usize = 3;

/// Row of the status table that reports on a row of the operator.
struct StatusWrite<'a> {
    subject: &'a str,
    subject_version: StorePosition,
    key: &'a str,
    value: &'a str,
    /// Version of the row that it replaces; 0 for none.
    replaced: StorePosition,
}

/// Versions of the rows of an order as this entry knows them; 0 for none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRows {
    /// The order's row. It is newer than the order if it cannot be used.
    pub(crate) order: StorePosition,
    /// The row that reports on it.
    pub(crate) status: StorePosition,
}

/// Spawns the write of an order's state, whose end the owner of the roll-outs is told.
pub(crate) fn spawn_status_write(
    state: &Arc<FrontState>,
    order: RolloutOrder,
    wanted: StatusState,
    known: KnownRows,
) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let end = write_status(&state, &order, wanted, known).await;
        log::info!(
            service = order.service.as_str(),
            phase:? = wanted,
            outcome:? = end;
            "state of the roll-out written"
        );
        let rollouts = &state.rollouts;
        rollouts.note_written(order.service, order.id, end).await;
    });
}

async fn write_status(
    state: &FrontState,
    order: &RolloutOrder,
    wanted: StatusState,
    known: KnownRows,
) -> StatusEnd {
    let key = order_key(order.service.as_str());
    let value = encode_status(wanted, &order.to);
    let write = StatusWrite {
        subject: &key,
        subject_version: known.order,
        key: &key,
        value: &value,
        replaced: known.status,
    };
    let given = order.id.position();
    let mut client = StoreClient::default();
    match put(state, &mut client, &write).await {
        // The store came back meanwhile, and the conditions may have held by accident.
        Ok(row) if row.era != given.era => StatusEnd::Failed,
        Ok(row) => StatusEnd::Recorded(wanted, row.version),
        Err(StoreError::Conflict) => match read_status(state, &mut client, &key).await {
            Ok(Some(row)) if row.version.era != given.era => StatusEnd::Failed,
            Ok(Some(row)) if row.version > given => found_status(&row, &order.to),
            Ok(Some(row)) if row.version.version != known.status.version => {
                StatusEnd::Stale(row.version.version)
            }
            // The row of the order was replaced, which the feed tells.
            Ok(_) | Err(_) => StatusEnd::Failed,
        },
        Err(_) => StatusEnd::Failed,
    }
}

/// End of a write that found `row`, for an order to move to `to`. A row that names
/// another version was written for an earlier order.
fn found_status(row: &StoreRow, to: &ServerVersion) -> StatusEnd {
    match decode_status(row.value.as_deref().unwrap_or_default()) {
        Ok((found, named)) if named == *to => StatusEnd::Recorded(found, row.version.version),
        Ok(_) | Err(_) => StatusEnd::Stale(row.version.version),
    }
}

/// Reports that a row of the operator cannot be used, once for each version of it.
pub(crate) fn report_row_error(
    state: &Arc<FrontState>,
    subject: &str,
    version: StorePosition,
    key: String,
    error: String,
) {
    let state = Arc::clone(state);
    let subject = subject.to_owned();
    tokio::spawn(async move {
        let value = encode_row_error(version, &error);
        let mut write = StatusWrite {
            subject: &subject,
            subject_version: version,
            key: &key,
            value: &value,
            replaced: StorePosition::default(),
        };
        let mut client = StoreClient::default();
        for _ in 0..REPORT_ATTEMPTS_MAX {
            let Err(StoreError::Conflict) = put(&state, &mut client, &write).await else {
                return;
            };
            match read_status(&state, &mut client, &key).await {
                // Another entry has reported this version.
                Ok(Some(row)) if row.version > version => return,
                Ok(Some(row)) => write.replaced = row.version,
                Ok(None) | Err(_) => return,
            }
        }
    });
}

async fn put(
    state: &FrontState,
    client: &mut StoreClient,
    write: &StatusWrite<'_>,
) -> Result<StorePosition, StoreError> {
    let conditions = [
        RowCondition {
            table: OPERATOR_TABLE,
            key: write.subject,
            version: write.subject_version,
        },
        RowCondition {
            table: STATUS_TABLE,
            key: write.key,
            version: write.replaced,
        },
    ];
    let body = conditional_write_body(&conditions, STATUS_TABLE, write.key, write.value.as_bytes());
    let written = client.write_if(state, body).await;
    count_call(state, written.as_ref().err());
    written
}

async fn read_status(
    state: &FrontState,
    client: &mut StoreClient,
    key: &str,
) -> Result<Option<StoreRow>, StoreError> {
    let listed = client.list(state, STATUS_TABLE).await;
    count_call(state, listed.as_ref().err());
    Ok(listed?.rows.into_iter().find(|row| row.key == key))
}

fn count_call(state: &FrontState, error: Option<&StoreError>) {
    let outcome = error.map_or_else(|| "ok".to_owned(), StoreError::to_string);
    let calls = &state.metrics.store_calls;
    calls.with_label_values(&[&outcome]).inc();
}
