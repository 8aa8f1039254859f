//! Leases in the platform's table.

use domain::{FencingNumber, pool_lease::LeaseSnapshot};
use wire::lease::{LeaseMessage, lease_key};

use crate::{StoreError, TableStore, TableWrite, TransactOutcome, WriteCondition};

/// A lease row as it was read.
#[derive(Clone, Debug)]
pub struct LeaseRow {
    /// What counts for taking it.
    pub sight: LeaseSnapshot,
    message: LeaseMessage,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The row holds the claim, at this version.
    Held(u64),
    /// Someone else was faster.
    Lost,
}

/// Lease of one pool over a table.
#[derive(Clone, Debug)]
pub struct LeaseStore<P> {
    table: P,
    key: String,
}

impl<P: TableStore> LeaseStore<P> {
    /// Lease of a pool.
    pub fn new(table: P, pool: &str) -> Self {
        Self {
            table,
            key: lease_key(pool),
        }
    }

    /// Read the lease.
    pub async fn read(&self) -> Result<Option<LeaseRow>, StoreError> {
        let rows = self.table.read(&[&self.key]).await?;
        let Some(row) = rows.first() else {
            return Ok(None);
        };
        let message: LeaseMessage =
            serde_json::from_str(&row.value).map_err(|error| StoreError::AnswerLost {
                reason: format!("row {} cannot be read: {error}", row.key),
            })?;
        let sight = LeaseSnapshot {
            version: row.version,
            fencing: FencingNumber(message.fencing),
        };
        Ok(Some(LeaseRow { sight, message }))
    }

    /// Write a claim if the row is still at `version`; none is no row.
    ///
    /// A lost answer is settled by reading, since no two claims are alike.
    pub async fn claim(
        &self,
        version: Option<u64>,
        claim: &LeaseMessage,
    ) -> Result<ClaimOutcome, StoreError> {
        let value = serde_json::to_string(claim).expect("wire types are plain data");
        let write = TableWrite {
            key: &self.key,
            condition: version.map_or(WriteCondition::Absent, WriteCondition::Version),
            value: Some(&value),
        };
        match self.table.transact(&[write]).await {
            Ok(TransactOutcome::Committed) => {
                Ok(ClaimOutcome::Held(version.map_or(1, |version| version + 1)))
            }
            Ok(TransactOutcome::Refused { .. }) => Ok(ClaimOutcome::Lost),
            Err(StoreError::Unavailable { reason }) => Err(StoreError::Unavailable { reason }),
            Err(StoreError::AnswerLost { .. }) => self.settle(claim).await,
        }
    }

    async fn settle(&self, claim: &LeaseMessage) -> Result<ClaimOutcome, StoreError> {
        let row = self.read().await?;
        Ok(match row {
            Some(row) if row.message == *claim => ClaimOutcome::Held(row.sight.version),
            _ => ClaimOutcome::Lost,
        })
    }
}
