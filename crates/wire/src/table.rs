//! The platform's transactional table service.

use serde::{Deserialize, Serialize};

/// Header of all answers: how often the platform came back from an older copy, plus one.
pub const ERA_HEADER: &str = "store-era";

/// Condition of a write.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionMessage {
    /// The row must not exist.
    Absent,
    /// The row must be at this version.
    Version(u64),
    /// Write whatever is there.
    Always,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WriteMessage {
    /// Key of the row.
    pub key: String,
    /// What must hold for the transaction to commit.
    pub condition: ConditionMessage,
    /// The new value; none deletes the row.
    pub value: Option<String>,
}

/// Transaction: all writes are applied, or none.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TransactMessage {
    /// The writes.
    pub writes: Vec<WriteMessage>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TransactReply {
    /// Indices of the writes whose condition failed; empty when committed.
    pub failed: Vec<usize>,
}

/// Request of rows by key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ReadMessage {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Request of rows by prefix, in the order of their keys.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ScanMessage {
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which to begin.
    #[serde(default)]
    pub after: String,
    /// Rows at most.
    pub limit: usize,
}

/// One row.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RowMessage {
    /// Key of the row.
    pub key: String,
    /// Version; rises with every write.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// Rows that were asked for; absent ones are left out.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RowsReply {
    /// The rows.
    pub rows: Vec<RowMessage>,
}
