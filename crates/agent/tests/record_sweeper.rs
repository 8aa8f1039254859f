//! Which rows the sweeper takes away, against a table in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use agent::RecordSweeper;
use backing::{StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition};
use domain::service_call::{RECORD_RETENTION, SweepPace, WallTime};
use rstest::rstest;
use wire::service_call::{EndedMessage, call_row, ended_row};

const POOL: &str = "ledger";

const NOW: WallTime = WallTime(1_800_000_000_000);

/// What becomes of the next transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum NextTransaction {
    /// It is applied and answered.
    #[default]
    Answered,
    /// It is applied, and the answer lost.
    AnswerLost,
    /// It lies on the way until it is let go, and the answer is lost.
    HeldBack,
}

/// A deletion with its condition.
type Deletion = (String, WriteCondition);

/// A table that only its test and a sweeper use.
#[derive(Clone, Default)]
struct MemoryTable {
    rows: Arc<Mutex<BTreeMap<String, (u64, String)>>>,
    next: Arc<Mutex<NextTransaction>>,
    held_back: Arc<Mutex<Vec<Deletion>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryTable {
    /// Plant a record at a version, settled some time before `NOW`.
    fn plant(&self, key: &str, age: Duration, (listed, stored): (u64, u64)) {
        let request = format!("kivu-shores/{key}");
        let age = u64::try_from(age.as_millis()).expect("ages are short");
        let ended = EndedMessage {
            request: request.clone(),
            version: listed,
        };
        let value = serde_json::to_string(&ended).expect("wire types are plain data");
        let listing = ended_row(POOL, WallTime(NOW.0 - age), &request);
        let mut rows = lock(&self.rows);
        rows.insert(listing, (1, value));
        rows.insert(call_row(&request), (stored, "record".to_owned()));
    }

    fn apply(&self, deletions: &[Deletion]) -> TransactOutcome {
        let mut names: Vec<&str> = deletions.iter().map(|(key, _)| key.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), deletions.len(), "a row is named twice");
        let mut rows = lock(&self.rows);
        let holds = |(key, condition): &Deletion| match condition {
            WriteCondition::Absent => !rows.contains_key(key),
            WriteCondition::Version(version) => rows.get(key).is_some_and(|row| row.0 == *version),
            WriteCondition::Always => true,
        };
        let failed: Vec<usize> = (0..deletions.len())
            .filter(|&at| !holds(&deletions[at]))
            .collect();
        if !failed.is_empty() {
            return TransactOutcome::Refused { failed };
        }
        for (key, _) in deletions {
            rows.remove(key);
        }
        TransactOutcome::Committed
    }

    /// Let the transaction go that lies on the way.
    fn let_go(&self) -> TransactOutcome {
        self.apply(&lock(&self.held_back))
    }

    fn keys(&self, prefix: &str) -> Vec<String> {
        let rows = lock(&self.rows);
        let found = rows.keys().filter(|key| key.starts_with(prefix));
        found.cloned().collect()
    }
}

impl TableStore for MemoryTable {
    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>, StoreError> {
        let rows = lock(&self.rows);
        let read = keys.iter().filter_map(|&key| Some((key, rows.get(key)?)));
        Ok(read.map(row).collect())
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        let rows = lock(&self.rows);
        let found = rows
            .iter()
            .map(|(key, stored)| (key.as_str(), stored))
            .filter(|(key, _)| key.starts_with(prefix) && *key > after);
        Ok(found.take(limit).map(row).collect())
    }

    async fn transact(&self, writes: &[TableWrite<'_>]) -> Result<TransactOutcome, StoreError> {
        let deletions: Vec<Deletion> = writes
            .iter()
            .map(|write| {
                assert_eq!(write.value, None, "the sweeper only takes away");
                (write.key.to_owned(), write.condition)
            })
            .collect();
        let lost = Err(StoreError::AnswerLost {
            reason: "lost".to_owned(),
        });
        match std::mem::take(&mut *lock(&self.next)) {
            NextTransaction::Answered => Ok(self.apply(&deletions)),
            NextTransaction::AnswerLost => {
                self.apply(&deletions);
                lost
            }
            NextTransaction::HeldBack => {
                *lock(&self.held_back) = deletions;
                lost
            }
        }
    }
}

fn row((key, (version, value)): (&str, &(u64, String))) -> TableRow {
    TableRow {
        key: key.to_owned(),
        version: *version,
        value: value.clone(),
    }
}

const OLD: Duration = Duration::from_secs(8 * 24 * 3_600);

/// What one turn leaves of a record: its row and its listing.
#[rstest]
#[case::outlived(OLD, (2, 2), (false, false))]
#[case::at_the_end(RECORD_RETENTION, (2, 2), (true, true))]
#[case::young(Duration::from_secs(1), (2, 2), (true, true))]
#[case::claimed_anew(OLD, (2, 3), (true, false))]
#[case::settled_anew(OLD, (2, 4), (true, false))]
#[tokio::test]
async fn turn_leaves(
    #[case] age: Duration,
    #[case] versions: (u64, u64),
    #[case] expected: (bool, bool),
) {
    let table = MemoryTable::default();
    table.plant("one", age, versions);
    table.plant("other", OLD, (7, 7));
    let sweeper = RecordSweeper::new(table.clone(), POOL);
    assert!(sweeper.turn(NOW).await.is_ok());
    let stays = |prefix: &str| table.keys(prefix).iter().any(|key| key.ends_with("/one"));
    assert_eq!((stays("call/"), stays("ended/")), expected);
    // A record that has changed keeps none of the others.
    let other = table
        .keys("")
        .into_iter()
        .find(|key| key.ends_with("/other"));
    assert_eq!(other, None);
}

#[tokio::test]
async fn two_listings_of_one_record_go_together() {
    let table = MemoryTable::default();
    table.plant("twice", OLD, (2, 4));
    table.plant("twice", OLD - Duration::from_secs(1), (4, 4));
    let sweeper = RecordSweeper::new(table.clone(), POOL);
    assert_eq!(sweeper.turn(NOW).await, Ok(2));
    assert!(table.keys("").is_empty());
}

#[tokio::test]
async fn lost_answer_is_made_up_for() {
    let table = MemoryTable::default();
    table.plant("one", OLD, (2, 2));
    *lock(&table.next) = NextTransaction::AnswerLost;
    let sweeper = RecordSweeper::new(table.clone(), POOL);
    assert!(sweeper.turn(NOW).await.is_err());
    assert_eq!(sweeper.turn(NOW).await, Ok(0));
    assert!(table.keys("").is_empty());
}

#[tokio::test]
async fn late_deletion_takes_no_later_record() {
    let table = MemoryTable::default();
    table.plant("one", OLD, (2, 2));
    *lock(&table.next) = NextTransaction::HeldBack;
    let sweeper = RecordSweeper::new(table.clone(), POOL);
    assert!(sweeper.turn(NOW).await.is_err());
    assert_eq!(sweeper.turn(NOW).await, Ok(1));
    assert!(table.keys("").is_empty());
    // The key is used anew and settled, before the first deletion arrives.
    table.plant("one", Duration::ZERO, (2, 2));
    assert!(matches!(table.let_go(), TransactOutcome::Refused { .. }));
    assert_eq!(table.keys("").len(), 2);
}

#[tokio::test]
async fn unreadable_listing_takes_no_record() {
    let table = MemoryTable::default();
    table.plant("one", OLD, (2, 2));
    for row in lock(&table.rows)
        .iter_mut()
        .filter(|(key, _)| key.starts_with("ended/"))
    {
        row.1.1 = "?".to_owned();
    }
    let sweeper = RecordSweeper::new(table.clone(), POOL);
    assert_eq!(sweeper.turn(NOW).await, Ok(1));
    assert_eq!(table.keys(""), ["call/kivu-shores/one"]);
}

#[tokio::test(start_paused = true)]
async fn two_sweepers_clear_a_backlog_at_their_pace() {
    let table = MemoryTable::default();
    let pace = SweepPace::default();
    // Recorded in 1970 and listed at versions that hold, but for each third.
    for at in 0..pace.batch_max * 30 {
        let stored = if at % 3 == 0 { 3 } else { 2 };
        table.plant(&format!("{at:05}"), OLD * 100, (2, stored));
    }
    let kept = pace.batch_max * 10;
    let one = tokio::spawn(RecordSweeper::new(table.clone(), POOL).run());
    let other = tokio::spawn(RecordSweeper::new(table.clone(), POOL).run());
    tokio::time::sleep(pace.busy_interval * 5).await;
    let left = table.keys("ended/").len();
    assert!(
        left > pace.batch_max * 10,
        "{left} left: faster than two may be"
    );
    tokio::time::sleep(pace.idle_interval * 20).await;
    assert_eq!(table.keys("ended/").len(), 0);
    assert_eq!(table.keys("call/").len(), kept);
    one.abort();
    other.abort();
}
