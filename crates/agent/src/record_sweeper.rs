//! Taking away the records of calls that have outlived their time.
//!
//! Each settled record is listed under the time at which it was settled, in the
//! transaction that settled it, so that the oldest stand first and nothing is
//! walked over that is not due. The listing names the version of the record's
//! row: a record that has changed since, because the key was claimed anew, is
//! left alone, and an open one can never be at a listed version. The listing must
//! stand as well: a deletion that takes effect late, after its repetition, then
//! finds none, even if the key has a new record at the same version. There is no
//! cursor to lose; whoever comes next begins at the front.

use backing::{StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition};
use domain::service_call::{SweepPace, WallTime, is_past_retention};
use tokio::time::Instant;
use wire::service_call::{EndedMessage, call_row, ended_at, ended_rows};

use crate::call_runner::wall_now;

/// A listing that is due, and the record that goes with it.
struct DueListing<'a> {
    listing: &'a TableRow,
    /// Row and version of the record; none if it is not to be taken away.
    record: Option<(String, u64)>,
}

impl DueListing<'_> {
    fn writes(&self) -> impl Iterator<Item = TableWrite<'_>> {
        let record = self.record.as_ref().map(|(key, version)| TableWrite {
            key,
            condition: WriteCondition::Version(*version),
            value: None,
        });
        let listing = TableWrite {
            key: &self.listing.key,
            condition: WriteCondition::Version(self.listing.version),
            value: None,
        };
        record.into_iter().chain([listing])
    }
}

/// Takes records away for as long as the process holds the pool's lease.
pub struct RecordSweeper<T> {
    table: T,
    prefix: String,
    pace: SweepPace,
}

impl<T: TableStore> RecordSweeper<T> {
    /// Sweeper of the records of a pool's calls.
    pub fn new(table: T, pool: &str) -> Self {
        Self {
            table,
            prefix: ended_rows(pool),
            pace: SweepPace::default(),
        }
    }

    /// Go on until the task is ended.
    pub async fn run(self) {
        loop {
            let begun_at = Instant::now();
            let dealt = self.turn(wall_now()).await.unwrap_or_else(|error| {
                log::warn!("old records of calls stay for now: {error}");
                0
            });
            let next = self.pace.next_batch_at(dealt, begun_at, Instant::now());
            tokio::time::sleep_until(next).await;
        }
    }

    /// Take one batch away; returns the number of listings dealt with.
    pub async fn turn(&self, now: WallTime) -> Result<usize, StoreError> {
        let limit = self.pace.batch_max;
        let rows = self.table.scan(&self.prefix, "", limit).await?;
        let mut due = due_listings(&rows, now);
        let dealt = due.len();
        if due.is_empty() {
            return Ok(0);
        }
        let failed = match self.remove(&due).await? {
            TransactOutcome::Committed => return Ok(dealt),
            TransactOutcome::Refused { failed } => failed,
        };
        leave_changed(&mut due, &failed);
        if due.is_empty() {
            return Ok(dealt);
        }
        match self.remove(&due).await? {
            TransactOutcome::Committed => Ok(dealt),
            // Changed once more meanwhile: a later turn sees to it.
            TransactOutcome::Refused { .. } => Ok(0),
        }
    }

    async fn remove(&self, due: &[DueListing<'_>]) -> Result<TransactOutcome, StoreError> {
        let writes: Vec<TableWrite<'_>> = due.iter().flat_map(DueListing::writes).collect();
        self.table.transact(&writes).await
    }
}

/// Listings at the front whose records have outlived their time.
fn due_listings(rows: &[TableRow], now: WallTime) -> Vec<DueListing<'_>> {
    let mut due: Vec<DueListing<'_>> = Vec::new();
    for row in rows {
        if !ended_at(&row.key).is_some_and(|recorded_at| is_past_retention(recorded_at, now)) {
            break;
        }
        let ended = serde_json::from_str::<EndedMessage>(&row.value).ok();
        let record = ended.map(|ended| (call_row(&ended.request), ended.version));
        // A transaction names each row once; of two listings of one record the
        // later one is of the record as it stands.
        for earlier in &mut due {
            earlier.record.take_if(|(key, _)| {
                let mut record = record.iter();
                record.any(|(later, _)| later == key)
            });
        }
        due.push(DueListing {
            listing: row,
            record,
        });
    }
    due
}

/// Leave alone the records that have changed, and listings that are gone.
fn leave_changed(due: &mut Vec<DueListing<'_>>, failed: &[usize]) {
    let mut at = 0;
    due.retain_mut(|listing| {
        let is_changed = listing.record.is_some() && failed.contains(&at);
        at += listing.writes().count();
        let is_gone = failed.contains(&(at - 1));
        if is_changed {
            listing.record = None;
        }
        !is_gone
    });
}
