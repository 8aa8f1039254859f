//! Intents and outcomes, written to the table in groups.
//!
//! One task owns the writing. While a transaction is under way, further writes
//! gather and go out together in the next one, so the number of transactions is
//! bounded by the store's round trip and not by the number of calls.

use std::{collections::VecDeque, time::Duration};

use platform::{TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::agent_metrics::AgentMetrics;

/// Rows of one transaction at most.
const GROUP_MAX: usize = 100;

/// Writes waiting at most.
const WAITING_MAX: usize = 4_096;

/// Pause before a store that is down is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row holds the value.
    Recorded,
    /// The condition failed; the row, if there is one, as it was read.
    Conflict(Option<TableRow>),
    /// Not recorded before the deadline; it may still be later.
    Undecided(String),
}

struct WriteJob {
    key: String,
    condition: WriteCondition,
    value: String,
    deadline: Instant,
    reply: oneshot::Sender<WriteOutcome>,
}

/// Channel to the task that writes.
pub struct IntentLog {
    jobs: mpsc::Sender<WriteJob>,
}

impl IntentLog {
    /// Start the writing task.
    pub fn start<T: TableStore>(table: T, metrics: AgentMetrics) -> Self {
        let (jobs, receiver) = mpsc::channel(WAITING_MAX);
        let writer = GroupWriter {
            table,
            metrics,
            waiting: VecDeque::new(),
        };
        tokio::spawn(writer.run(receiver));
        Self { jobs }
    }

    /// Write one row with the group that goes out next.
    ///
    /// `value` must be unlike any other value written under `key`, since a
    /// write whose answer was lost is recognised by it.
    pub async fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: &str,
        deadline: Instant,
    ) -> WriteOutcome {
        let (reply, outcome) = oneshot::channel();
        let job = WriteJob {
            key: key.to_owned(),
            condition,
            value: value.to_owned(),
            deadline,
            reply,
        };
        if self.jobs.try_send(job).is_err() {
            return WriteOutcome::Undecided("too many writes are waiting".to_owned());
        }
        let ended = || WriteOutcome::Undecided("the writing task has ended".to_owned());
        outcome.await.unwrap_or_else(|_| ended())
    }
}

struct GroupWriter<T> {
    table: T,
    metrics: AgentMetrics,
    waiting: VecDeque<WriteJob>,
}

impl<T: TableStore> GroupWriter<T> {
    async fn run(mut self, mut jobs: mpsc::Receiver<WriteJob>) {
        loop {
            if self.waiting.is_empty() {
                match jobs.recv().await {
                    Some(job) => self.waiting.push_back(job),
                    None => return,
                }
            }
            while let Ok(job) = jobs.try_recv() {
                self.waiting.push_back(job);
            }
            self.expire(Instant::now());
            self.write_group().await;
        }
    }

    fn expire(&mut self, now: Instant) {
        for job in std::mem::take(&mut self.waiting) {
            if job.deadline <= now {
                let reason = "the store gave no answer in time".to_owned();
                // The caller may have gone away.
                let _ = job.reply.send(WriteOutcome::Undecided(reason));
                continue;
            }
            self.waiting.push_back(job);
        }
    }

    async fn write_group(&mut self) {
        let mut group: Vec<WriteJob> = Vec::new();
        let mut kept = VecDeque::new();
        for job in std::mem::take(&mut self.waiting) {
            // A transaction names each row once.
            let is_repeated = group.iter().any(|other| other.key == job.key);
            if group.len() < GROUP_MAX && !is_repeated {
                group.push(job);
            } else {
                kept.push_back(job);
            }
        }
        self.waiting = kept;
        if group.is_empty() {
            return;
        }
        let writes: Vec<TableWrite<'_>> = group
            .iter()
            .map(|job| TableWrite {
                key: &job.key,
                condition: job.condition,
                value: Some(&job.value),
            })
            .collect();
        self.metrics.intent_commits.inc();
        match self.table.transact(&writes).await {
            Ok(TransactOutcome::Committed) => {
                self.metrics.intent_rows.inc_by(group.len() as u64);
                for job in group {
                    let _ = job.reply.send(WriteOutcome::Recorded);
                }
            }
            Ok(TransactOutcome::Refused { failed }) => self.settle_refused(group, &failed).await,
            Err(error) => {
                log::warn!(requests:? = row_keys(&group); "intents wait: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
                self.put_back(group);
            }
        }
    }

    /// Tell the writes at fault and put the others back.
    ///
    /// A write at fault may be one of ours whose answer was lost: the row then
    /// holds our own value.
    async fn settle_refused(&mut self, group: Vec<WriteJob>, failed: &[usize]) {
        let keys: Vec<&str> = failed
            .iter()
            .filter_map(|&at| group.get(at))
            .map(|job| job.key.as_str())
            .collect();
        let rows = match self.table.read(&keys).await {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!(requests:? = keys; "refused intents wait: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
                return self.put_back(group);
            }
        };
        let mut back = Vec::new();
        for (at, job) in group.into_iter().enumerate() {
            if !failed.contains(&at) {
                back.push(job);
                continue;
            }
            let row = rows.iter().find(|row| row.key == job.key);
            let outcome = match row {
                Some(row) if row.value == job.value => WriteOutcome::Recorded,
                row => WriteOutcome::Conflict(row.cloned()),
            };
            let _ = job.reply.send(outcome);
        }
        self.put_back(back);
    }

    fn put_back(&mut self, group: Vec<WriteJob>) {
        for job in group.into_iter().rev() {
            self.waiting.push_front(job);
        }
    }
}

fn row_keys(group: &[WriteJob]) -> Vec<&str> {
    group.iter().map(|job| job.key.as_str()).collect()
}
