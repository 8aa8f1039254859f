//! The transactional table service.

use std::future::Future;

use derive_more::{Display, Error};
use domain::store_position::StoreEra;
use wire::table::{ConditionMessage, RowMessage, WriteMessage};

/// Rows read at once.
const SCAN_LIMIT: usize = 500;

/// Why the store gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// Proof that nothing was applied.
    #[display("store unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        #[error(not(source))]
        reason: String,
    },
    /// A write may have been applied.
    #[display("answer of the store lost: {reason}")]
    AnswerLost {
        /// What was seen.
        #[error(not(source))]
        reason: String,
    },
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The row must not exist.
    Absent,
    /// The row must be at this version.
    Version(u64),
    /// Write whatever is there.
    Always,
}

/// One write of a transaction.
#[derive(Clone, Copy, Debug)]
pub struct TableWrite<'a> {
    /// Key of the row.
    pub key: &'a str,
    /// What must hold.
    pub condition: WriteCondition,
    /// The new value; none deletes the row.
    pub value: Option<&'a str>,
}

/// One row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version; rises with every write.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactOutcome {
    /// All writes were applied.
    Committed,
    /// None was applied; the conditions at these indices failed.
    Refused {
        /// Indices of the writes at fault.
        failed: Vec<usize>,
    },
}

/// Rows with versions, written by conditional transactions.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Newest era that answers named; 0 if they name none.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Read rows by key; absent ones are left out.
    fn read(&self, keys: &[&str])
    -> impl Future<Output = Result<Vec<TableRow>, StoreError>> + Send;

    /// Read up to `limit` rows whose keys start with `prefix`, after a key.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, StoreError>> + Send;

    /// Apply all writes, or none.
    fn transact(
        &self,
        writes: &[TableWrite<'_>],
    ) -> impl Future<Output = Result<TransactOutcome, StoreError>> + Send;
}

impl From<WriteCondition> for ConditionMessage {
    fn from(condition: WriteCondition) -> Self {
        match condition {
            WriteCondition::Absent => Self::Absent,
            WriteCondition::Version(version) => Self::Version(version),
            WriteCondition::Always => Self::Always,
        }
    }
}

impl From<&TableWrite<'_>> for WriteMessage {
    fn from(write: &TableWrite<'_>) -> Self {
        Self {
            key: write.key.to_owned(),
            condition: write.condition.into(),
            value: write.value.map(str::to_owned),
        }
    }
}

impl From<RowMessage> for TableRow {
    fn from(message: RowMessage) -> Self {
        Self {
            key: message.key,
            version: message.version,
            value: message.value,
        }
    }
}

/// All rows under a prefix, page by page.
pub(crate) async fn scan_all(
    table: &impl TableStore,
    prefix: &str,
) -> Result<Vec<TableRow>, StoreError> {
    let mut rows: Vec<TableRow> = Vec::new();
    loop {
        let after = rows.last().map_or("", |row| row.key.as_str()).to_owned();
        let page = table.scan(prefix, &after, SCAN_LIMIT).await?;
        let is_last = page.len() < SCAN_LIMIT;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

/// Value of a row.
pub(crate) fn encode(message: &impl serde::Serialize) -> String {
    serde_json::to_string(message).expect("wire types are plain data")
}
