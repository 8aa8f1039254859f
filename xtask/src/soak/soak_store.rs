//! The store of a soak, and what the operator and the workers wrote there last.
//!
//! The store comes back from older copies of itself. The operator and the workers then
//! write again what it lacks, and rows of workers that are gone are removed again.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, rngs::SmallRng};
use stand_ins::{RowStore, StoreCopy};
use tokio::time::{Instant, sleep_until};

/// Age up to which copies are kept.
const COPY_AGE_MAX: Duration = Duration::from_secs(8);
/// Time within which the operator and the workers write again.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Time after which the store has removed rows of workers that are gone.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

/// Table and key of a row.
type RowName = (String, String);

/// The store, with the rows that others than the entries wrote.
#[derive(Debug)]
pub struct SoakStore {
    rows: RowStore,
    /// Last values; none for a row that was removed.
    written: Mutex<BTreeMap<RowName, Option<Vec<u8>>>>,
    copies: Mutex<VecDeque<(Instant, StoreCopy)>>,
}

impl SoakStore {
    /// Wraps a store.
    pub fn new(rows: RowStore) -> Self {
        Self {
            rows,
            written: Mutex::default(),
            copies: Mutex::default(),
        }
    }

    /// The store itself.
    pub fn rows(&self) -> &RowStore {
        &self.rows
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut written = self.written();
        written.insert(name(table, key), Some(value.to_vec()));
        self.rows.put(table, key, value);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut written = self.written();
        written.insert(name(table, key), None);
        self.rows.remove(table, key);
    }

    /// Keeps a copy for a later return.
    pub fn keep_copy(&self) {
        let now = Instant::now();
        let mut copies = self.copies();
        copies.retain(|(taken_at, _)| now - *taken_at <= COPY_AGE_MAX);
        copies.push_back((now, self.rows.copy()));
    }

    /// Comes back from a copy that is drawn, if there is one. Versions are given out again,
    /// so the copies taken since are of no use any more.
    pub fn restore(&self, rng: &mut SmallRng) -> bool {
        let mut copies = self.copies();
        if copies.is_empty() {
            return false;
        }
        let chosen = rng.random_range(0..copies.len());
        let Some((_, copy)) = copies.drain(chosen..).next() else {
            return false;
        };
        self.rows.restore(copy);
        true
    }

    /// Writes again what the store lacks, each row some time after now.
    pub async fn write_again(&self, mut rng: SmallRng) {
        let returned_at = Instant::now();
        let names: Vec<RowName> = self.written().keys().cloned().collect();
        let mut times: Vec<(Duration, RowName)> = names
            .into_iter()
            .map(|name| (REWRITE_TIME.mul_f64(rng.random_range(0.0..1.0)), name))
            .collect();
        times.sort();
        for (time, name) in &times {
            sleep_until(returned_at + *time).await;
            self.write_row_again(name, false);
        }
        sleep_until(returned_at + EXPIRY_TIME).await;
        for (_, name) in &times {
            self.write_row_again(name, true);
        }
    }

    /// Writes a row if the store has another value, or removes it if it is gone and
    /// `is_expired`.
    fn write_row_again(&self, row: &RowName, is_expired: bool) {
        let (table, key) = row;
        let written = self.written();
        let wanted = written.get(row).and_then(Option::as_deref);
        let found = self.rows.value(table, key);
        match (wanted, found) {
            (Some(wanted), found) if found.as_deref() != Some(wanted) => {
                self.rows.put(table, key, wanted);
            }
            (None, Some(_)) if is_expired => self.rows.remove(table, key),
            _ => {}
        }
    }

    fn written(&self) -> MutexGuard<'_, BTreeMap<RowName, Option<Vec<u8>>>> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn copies(&self) -> MutexGuard<'_, VecDeque<(Instant, StoreCopy)>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn name(table: &str, key: &str) -> RowName {
    (table.to_owned(), key.to_owned())
}
