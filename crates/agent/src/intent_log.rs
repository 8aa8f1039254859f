//! Intents and outcomes, written to the table in groups.
//!
//! One task owns the writing. While a transaction is under way, further writes
//! gather and go out together in the next one. Transactions also keep a least
//! distance, so that their number is bounded whatever the number of calls:
//! an idle log writes at once, a busy one every ten milliseconds. Outcomes are
//! not waited for by callers and ride along with the intents that come next.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use backing::{StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition};
use domain::service_call::WriteLimits;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use crate::agent_metrics::AgentMetrics;

/// Calls whose rows one transaction writes at most.
const GROUP_MAX: usize = 100;

/// Writes waiting at most.
const WAITING_MAX: usize = 4_096;

/// Least time between the starts of two transactions.
const COMMIT_GAP: Duration = Duration::from_millis(10);

/// Time that an outcome waits for intents to go along with.
const OUTCOME_DELAY: Duration = Duration::from_millis(20);

/// Pause before a store that is down is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row holds the value.
    Recorded,
    /// The condition failed; the row, if there is one, as it was read.
    Conflict(Option<TableRow>),
    /// Not recorded before the deadline.
    Undecided {
        /// What was seen.
        reason: String,
        /// Whether it may still be recorded later.
        may_apply: bool,
    },
}

/// How soon a write has to go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteUrgency {
    /// A caller waits for it.
    Intent,
    /// Nobody waits for it.
    Outcome,
}

/// A row and the rows that list it, written together or not at all.
#[derive(Clone, Debug)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// What must hold of the row.
    pub condition: WriteCondition,
    /// New value, unlike any other that was ever written to the row, since a
    /// write whose answer was lost is recognised by it; none deletes the row.
    pub value: Option<String>,
    /// Listing rows and their new values; none deletes.
    pub listings: Vec<(String, Option<String>)>,
    /// How soon the write goes out.
    pub urgency: WriteUrgency,
}

impl RowWrite {
    fn rows(&self) -> impl Iterator<Item = TableWrite<'_>> {
        let row = TableWrite {
            key: &self.key,
            condition: self.condition,
            value: self.value.as_deref(),
        };
        let listings = self.listings.iter().map(|(key, value)| TableWrite {
            key,
            condition: WriteCondition::Always,
            value: value.as_deref(),
        });
        std::iter::once(row).chain(listings)
    }

    fn is_applied(&self, row: Option<&TableRow>) -> bool {
        row.map(|row| &row.value) == self.value.as_ref()
    }
}

struct WriteJob {
    write: RowWrite,
    due: Instant,
    /// Whether a transaction with the write was sent and not refused.
    may_apply: Arc<AtomicBool>,
    reply: oneshot::Sender<WriteOutcome>,
}

/// Channel to the task that writes.
pub struct IntentLog {
    jobs: mpsc::Sender<WriteJob>,
    is_failing: Arc<AtomicBool>,
}

impl IntentLog {
    /// Start the writing task.
    pub fn start<T: TableStore>(table: T, metrics: AgentMetrics) -> Self {
        let (jobs, receiver) = mpsc::channel(WAITING_MAX);
        let is_failing = Arc::new(AtomicBool::new(false));
        let writer = GroupWriter {
            table,
            metrics,
            waiting: VecDeque::new(),
            is_failing: Arc::clone(&is_failing),
            next_start: Instant::now(),
        };
        tokio::spawn(writer.run(receiver));
        Self { jobs, is_failing }
    }

    /// Whether the store's last answer was a failure.
    pub fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Relaxed)
    }

    /// Write a row with the group that goes out next.
    pub async fn write(&self, write: RowWrite, limits: WriteLimits) -> WriteOutcome {
        let (reply, mut outcome) = oneshot::channel();
        let now = Instant::now();
        let due = match write.urgency {
            WriteUrgency::Intent => now,
            WriteUrgency::Outcome => now + OUTCOME_DELAY,
        };
        let may_apply = Arc::new(AtomicBool::new(false));
        let job = WriteJob {
            write,
            due,
            may_apply: Arc::clone(&may_apply),
            reply,
        };
        let undecided = |reason: &str| WriteOutcome::Undecided {
            reason: reason.to_owned(),
            may_apply: may_apply.load(Ordering::SeqCst),
        };
        if self.jobs.try_send(job).is_err() {
            return undecided("too many writes are waiting");
        }
        let mut waited = timeout_at(limits.send_by, &mut outcome).await;
        if waited.is_err() && may_apply.load(Ordering::SeqCst) {
            waited = timeout_at(limits.answer_by, &mut outcome).await;
        }
        match waited {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => undecided("the writing task has ended"),
            Err(_) => {
                // From here on the write is not begun any more, so that what
                // is read next of `may_apply` stays true.
                outcome.close();
                let late = outcome.try_recv();
                late.unwrap_or_else(|_| undecided("the store gave no answer in time"))
            }
        }
    }
}

struct GroupWriter<T> {
    table: T,
    metrics: AgentMetrics,
    waiting: VecDeque<WriteJob>,
    is_failing: Arc<AtomicBool>,
    next_start: Instant,
}

impl<T: TableStore> GroupWriter<T> {
    async fn run(mut self, mut jobs: mpsc::Receiver<WriteJob>) {
        loop {
            while let Ok(job) = jobs.try_recv() {
                self.waiting.push_back(job);
            }
            // Writes that nobody waits for any more are given up.
            self.waiting.retain(|job| !job.reply.is_closed());
            let Some(start) = self.start_of_next() else {
                match jobs.recv().await {
                    Some(job) => self.waiting.push_back(job),
                    None => return,
                }
                continue;
            };
            if start > Instant::now() {
                tokio::select! {
                    () = tokio::time::sleep_until(start) => {}
                    Some(job) = jobs.recv() => self.waiting.push_back(job),
                }
                continue;
            }
            self.next_start = Instant::now() + COMMIT_GAP;
            self.write_group().await;
        }
    }

    /// When the next transaction starts; none without writes.
    fn start_of_next(&self) -> Option<Instant> {
        let due = self.waiting.iter().map(|job| job.due).min()?;
        if self.waiting.len() >= GROUP_MAX {
            return Some(due);
        }
        Some(due.max(self.next_start))
    }

    fn take_group(&mut self) -> Vec<WriteJob> {
        let mut group: Vec<WriteJob> = Vec::new();
        let mut kept = VecDeque::new();
        for job in std::mem::take(&mut self.waiting) {
            // A transaction names each row once.
            let is_repeated = group.iter().any(|other| other.write.key == job.write.key);
            if group.len() < GROUP_MAX && !is_repeated {
                group.push(job);
            } else {
                kept.push_back(job);
            }
        }
        self.waiting = kept;
        group
    }

    async fn write_group(&mut self) {
        let mut group = self.take_group();
        // Writes that are open from an earlier transaction stay so.
        let mut was_open = Vec::with_capacity(group.len());
        group.retain(|job| {
            let is_open = job.may_apply.swap(true, Ordering::SeqCst);
            let is_wanted = !job.reply.is_closed();
            if is_wanted {
                was_open.push(is_open);
            }
            is_wanted
        });
        if group.is_empty() {
            return;
        }
        // Which write of the group each row of the transaction belongs to.
        let mut owners = Vec::new();
        let mut rows = Vec::new();
        for (at, job) in group.iter().enumerate() {
            for row in job.write.rows() {
                owners.push(at);
                rows.push(row);
            }
        }
        self.metrics.intent_commits.inc();
        match self.table.transact(&rows).await {
            Ok(TransactOutcome::Committed) => {
                self.set_failing(false);
                self.metrics.intent_rows.inc_by(rows.len() as u64);
                for job in group {
                    // The caller may have gone away.
                    let _ = job.reply.send(WriteOutcome::Recorded);
                }
            }
            Ok(TransactOutcome::Refused { failed }) => {
                self.set_failing(false);
                let failed: Vec<usize> = failed
                    .iter()
                    .filter_map(|&row| owners.get(row).copied())
                    .collect();
                self.settle_refused(group, &failed).await;
            }
            Err(error) => {
                if matches!(error, StoreError::Unavailable { .. }) {
                    for (job, was_open) in group.iter().zip(was_open) {
                        job.may_apply.store(was_open, Ordering::SeqCst);
                    }
                }
                self.wait_for_store(group, &error.to_string()).await;
            }
        }
    }

    /// Tell the writes at fault and put the others back, to go out at once.
    ///
    /// A write at fault may be one of ours whose answer was lost: the row then
    /// holds our own value.
    async fn settle_refused(&mut self, group: Vec<WriteJob>, failed: &[usize]) {
        let keys: Vec<&str> = failed
            .iter()
            .filter_map(|&at| group.get(at))
            .map(|job| job.write.key.as_str())
            .collect();
        let rows = match self.table.read(&keys).await {
            Ok(rows) => rows,
            Err(error) => return self.wait_for_store(group, &error.to_string()).await,
        };
        let mut back = Vec::new();
        for (at, job) in group.into_iter().enumerate() {
            if !failed.contains(&at) {
                back.push(job);
                continue;
            }
            let row = rows.iter().find(|row| row.key == job.write.key);
            let outcome = if job.write.is_applied(row) {
                WriteOutcome::Recorded
            } else {
                WriteOutcome::Conflict(row.cloned())
            };
            let _ = job.reply.send(outcome);
        }
        self.next_start = Instant::now();
        self.put_back(back);
    }

    async fn wait_for_store(&mut self, group: Vec<WriteJob>, reason: &str) {
        log::warn!(requests:? = row_keys(&group); "writes of calls wait: {reason}");
        self.set_failing(true);
        self.put_back(group);
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    fn put_back(&mut self, group: Vec<WriteJob>) {
        for job in group.into_iter().rev() {
            self.waiting.push_front(job);
        }
    }

    fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }
}

fn row_keys(group: &[WriteJob]) -> Vec<&str> {
    group.iter().map(|job| job.write.key.as_str()).collect()
}
