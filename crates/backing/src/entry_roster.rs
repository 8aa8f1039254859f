//! Entries that are there, in the platform's table.
//!
//! Each entry writes a row of its own now and then. One that dies without
//! taking its row away counts as gone when the row is old.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use wire::vm::{ENTRY_PREFIX, EntryMessage, entry_key};

use crate::{
    StoreError, TableStore, TableWrite, WriteCondition,
    table_store::{encode, scan_all},
};

/// Age after which an entry that has not announced itself counts as gone.
const ENTRY_AGE_MAX: Duration = Duration::from_secs(180);

/// Make an entry known, so that operators and peers find it.
pub async fn announce_entry(
    table: &impl TableStore,
    name: &str,
    address: SocketAddr,
) -> Result<(), StoreError> {
    let key = entry_key(name);
    let value = encode(&EntryMessage {
        address,
        known_at_ms: millis(wall_time()),
    });
    let write = TableWrite {
        key: &key,
        condition: WriteCondition::Always,
        value: Some(&value),
    };
    table.transact(&[write]).await.map(drop)
}

/// Remove an entry that ends.
pub async fn retire_entry(table: &impl TableStore, name: &str) -> Result<(), StoreError> {
    let key = entry_key(name);
    let write = TableWrite {
        key: &key,
        condition: WriteCondition::Always,
        value: None,
    };
    table.transact(&[write]).await.map(drop)
}

/// Where the entries listen that have announced themselves lately.
pub async fn known_entries(table: &impl TableStore) -> Result<Vec<SocketAddr>, StoreError> {
    let after = millis(wall_time().saturating_sub(ENTRY_AGE_MAX));
    let rows = scan_all(table, ENTRY_PREFIX).await?;
    let entries = rows
        .iter()
        .filter_map(|row| serde_json::from_str::<EntryMessage>(&row.value).ok())
        .filter(|entry| entry.known_at_ms >= after);
    Ok(entries.map(|entry| entry.address).collect())
}

/// Time since the epoch of the wall clock, which machines share.
fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
