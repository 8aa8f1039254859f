//! Planned stops in the platform's table.
//!
//! Every stop and undo is one transaction over the head row and the row of the
//! server, so that whoever decided against an older state is refused and
//! decides anew.

use domain::{StopVersion, vm_membership::StopOrder};
use wire::vm::{ORDER_HEAD_KEY, ORDER_PREFIX, OrderHeadMessage, StopOrderMessage, order_key};

use crate::{
    StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition,
    table_store::{encode, scan_all},
};

/// Times that a transaction whose answer was lost is settled.
const SETTLE_TRIES: u32 = 8;

/// The recorded stops, with the conditions of the next write.
#[derive(Clone, Debug)]
pub struct StopRecord {
    /// Version of the record.
    pub version: StopVersion,
    /// Stops that stand.
    pub orders: Vec<StopOrder>,
    condition: WriteCondition,
}

impl StopRecord {
    /// Stop of a server, if there is one.
    pub fn order_of(&self, server: &str) -> Option<&StopOrder> {
        self.orders
            .iter()
            .find(|order| order.server.as_str() == server)
    }
}

/// What became of a stop or an undo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// It stands.
    Recorded,
    /// Another one was recorded first; decide anew.
    Outrun,
}

/// Stops over a table.
#[derive(Clone, Debug)]
pub struct StopStore<P> {
    table: P,
}

/// Version that a head row holds, and the condition for the next.
pub fn order_head(row: Option<&TableRow>) -> (StopVersion, WriteCondition) {
    let Some(row) = row else {
        return (StopVersion::default(), WriteCondition::Absent);
    };
    let message: OrderHeadMessage = serde_json::from_str(&row.value).unwrap_or_default();
    (
        StopVersion(message.version),
        WriteCondition::Version(row.version),
    )
}

impl<P: TableStore> StopStore<P> {
    /// Stops at the platform.
    pub const fn new(table: P) -> Self {
        Self { table }
    }

    /// Read all stops that stand.
    pub async fn read(&self) -> Result<StopRecord, StoreError> {
        // The head goes first: a stop recorded in between is then refused.
        let head = self.table.read(&[ORDER_HEAD_KEY]).await?;
        let (version, condition) = order_head(head.first());
        let rows = scan_all(&self.table, ORDER_PREFIX).await?;
        let orders = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<StopOrderMessage>(&row.value).ok())
            .map(StopOrder::from)
            .collect();
        Ok(StopRecord {
            version,
            orders,
            condition,
        })
    }

    /// Record a stop decided against `record`; `id` is unlike any other.
    pub async fn stop(
        &self,
        record: &StopRecord,
        order: &StopOrder,
        id: &str,
    ) -> Result<StopOutcome, StoreError> {
        let message = StopOrderMessage {
            server: order.server.to_string(),
            kind: order.kind.into(),
            epoch: order.epoch,
            operator: order.operator.clone(),
            id: id.to_owned(),
        };
        let value = encode(&message);
        self.write(record, order.server.as_str(), Some(&value))
            .await
    }

    /// Remove the stop of a server, decided against `record`.
    pub async fn undo(&self, record: &StopRecord, server: &str) -> Result<StopOutcome, StoreError> {
        self.write(record, server, None).await
    }

    async fn write(
        &self,
        record: &StopRecord,
        server: &str,
        value: Option<&str>,
    ) -> Result<StopOutcome, StoreError> {
        let key = order_key(server);
        let floor = StopVersion(self.table.era().number_floor());
        let head = encode(&OrderHeadMessage {
            version: record.version.max(floor).next().0,
        });
        let writes = [
            TableWrite {
                key: ORDER_HEAD_KEY,
                condition: record.condition,
                value: Some(&head),
            },
            TableWrite {
                key: &key,
                condition: WriteCondition::Always,
                value,
            },
        ];
        let mut lost = None;
        for _ in 0..SETTLE_TRIES {
            match self.table.transact(&writes).await {
                Ok(TransactOutcome::Committed) => return Ok(StopOutcome::Recorded),
                Ok(TransactOutcome::Refused { .. }) if lost.is_none() => {
                    return Ok(StopOutcome::Outrun);
                }
                Ok(TransactOutcome::Refused { .. }) => return self.settle(&key, value).await,
                Err(error @ StoreError::Unavailable { .. }) if lost.is_none() => return Err(error),
                Err(error) => lost = Some(error),
            }
        }
        Err(lost.unwrap_or_else(|| StoreError::AnswerLost {
            reason: "the store gave no answer".to_owned(),
        }))
    }

    /// Whether the row holds what a write with a lost answer wanted.
    async fn settle(&self, key: &str, value: Option<&str>) -> Result<StopOutcome, StoreError> {
        let rows = self.table.read(&[key]).await?;
        let held = rows.first().map(|row| row.value.as_str());
        if held == value {
            return Ok(StopOutcome::Recorded);
        }
        Ok(StopOutcome::Outrun)
    }
}
