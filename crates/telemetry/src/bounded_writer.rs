//! Log lines through a bounded queue.
//!
//! A reader that stops reading must not stop requests. Lines wait in a queue of
//! fixed length; one that finds it full is dropped and counted, and the count
//! is written as soon as lines are taken again. Lines of requests that went as
//! they should are dropped already when a quarter of the queue is taken, so
//! that refusals, retries, losses and changes of belief are kept longest. One
//! thread writes, many lines at a time, so that a busy process is not woken for
//! each.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use log::Record;

use crate::log_setup::write_line;

/// Lines that wait; some 200 bytes each, so 0.4 MB at most.
const QUEUE_LINES: usize = 2_048;
/// Lines that wait when routine ones are dropped.
const ROUTINE_LINES: usize = QUEUE_LINES / 4;
/// Target of routine lines.
pub const ROUTINE_TARGET: &str = "routine";
/// Time that lines are gathered before one write.
const GATHER_TIME: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Relaxed)
}

/// Writer that never waits for its reader.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
}

impl BoundedWriter {
    /// Start the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let taken = Arc::clone(&waiting);
        std::thread::spawn(move || write_batches(&receiver, &taken, out));
        Self { lines, waiting }
    }

    /// Queue a line, or drop and count it.
    pub fn offer(&self, line: Vec<u8>, is_routine: bool) {
        let crowded = self.waiting.load(Relaxed) >= ROUTINE_LINES;
        if (is_routine && crowded) || self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Relaxed);
        } else {
            self.waiting.fetch_add(1, Relaxed);
        }
    }
}

fn write_batches(lines: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut out: impl Write) {
    let mut told = 0;
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        batch.clear();
        batch.extend_from_slice(&line);
        std::thread::sleep(GATHER_TIME);
        let more = lines.try_iter().map(|line| batch.extend(line)).count();
        // A line may be taken before it is counted; the count then wraps for
        // that moment, and a routine line may be dropped.
        waiting.fetch_sub(more + 1, Relaxed);
        let dropped = dropped_lines();
        if dropped > told {
            told = dropped;
            batch.extend(format!("dropped_lines={dropped}\n").into_bytes());
        }
        // There is nowhere to tell of a standard output that fails.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            DROPPED.fetch_add(1, Relaxed);
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(192);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.offer(line, record.target() == ROUTINE_TARGET);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}
