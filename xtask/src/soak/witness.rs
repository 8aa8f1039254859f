//! What callers saw, held against what workers ran.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Display;
use stand_ins::{STREAM_EVENTS, WorkerRun};
use tokio::time::Instant;

/// One booking as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the attempt.
    pub id: String,
    /// Lifetime of the entry that was asked.
    pub entry: u64,
    /// Whether the connection ended before the answer did.
    pub is_cut: bool,
    /// Status; none if the connection broke.
    pub status: Option<u16>,
    /// Seal of the answer.
    pub seal: Option<String>,
    /// Body of the answer.
    pub body: String,
}

/// One stream that may not be resumed, as its caller saw its head.
#[derive(Clone, Debug)]
pub struct OnceRecord {
    /// Id of the attempt.
    pub id: String,
    /// Lifetime of the entry that was asked.
    pub entry: u64,
    /// Status; none if no head came.
    pub status: Option<u16>,
    /// Whether the connection ended before the head of the answer.
    pub is_cut: bool,
}

/// One stream over all of its caller's attempts.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// Id of the first attempt.
    pub id: String,
    /// Positions of the events, in the order in which they came.
    pub positions: Vec<u64>,
    /// Whether the last answer ended as complete.
    pub complete: bool,
}

/// One request for a route that versions of the desired state add.
#[derive(Clone, Debug)]
pub struct MarkRecord {
    /// Lifetime of the entry that was asked.
    pub lifetime: u64,
    /// Version that added the route.
    pub version: u64,
    /// Order among all requests when it was sent, and when it was answered.
    pub sent: u64,
    /// See `sent`.
    pub answered: u64,
    /// Whether the route was there; none if that was not told.
    pub found: Option<bool>,
}

/// An answer with which a worker said that it leaves, as its caller got it.
#[derive(Clone, Debug)]
pub struct LeavingRecord {
    /// Lifetime of the entry that handed it on.
    pub entry: u64,
    /// Lifetime of the worker, as it names itself.
    pub worker: String,
    /// When the caller had it.
    pub at: Instant,
}

/// A request that a worker got.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// Lifetime of the entry that the request was sent to.
    pub entry: u64,
    /// Lifetime of the worker, as it names itself.
    pub worker: String,
    /// When it arrived.
    pub at: Instant,
}

/// Time after which nothing reaches a worker that has said that it leaves: the
/// settings' `drain_ms`.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BrokenPromise {
    /// A booking ran more than once.
    #[display("booking {_0} ran {_1} times")]
    RanTwice(String, usize),
    /// A refused booking ran.
    #[display("booking {_0} was refused and ran")]
    RefusedAndRan(String),
    /// A success without the worker's own answer.
    #[display("booking {_0} was answered with another's bytes")]
    ForeignAnswer(String),
    /// Events missing, repeated or out of order.
    #[display("stream {_0} got {_1:?}")]
    BrokenOrder(String, Vec<u64>),
    /// A stream ended as complete and was not.
    #[display("stream {_0} ended early as complete")]
    EndedEarly(String),
    /// An older desired state came back.
    #[display("lifetime {_0} went back behind version {_1}")]
    WentBack(u64, u64),
    /// A request was passed on and its connection ended without an answer, though its
    /// entry was neither killed nor paused.
    #[display("{_0} ran and got no answer from lifetime {_1}, which was only told to stop")]
    LostAnswer(String, u64),
    /// A request ran at another service.
    #[display("{_0} for {_1} ran at service {_2}")]
    WrongService(String, String, String),
    /// A request reached a worker that had said that it leaves.
    #[display("lifetime {_0} sent to {_1} after it had said that it leaves")]
    SentToLeaving(u64, String),
    /// A bad version got more requests than the bounds allow.
    #[display("bad version {_0} got {_1} requests")]
    Exposed(String, usize),
    /// A bad version got requests long after its fiftieth bad answer.
    #[display("bad version {_0} was not rolled back in time")]
    NotRolledBack(String),
    /// A bad version was found good.
    #[display("bad version {_0} was finished")]
    BadFinished(String),
    /// The last order had no end although all entries serve again.
    #[display("the last order has no end")]
    NotSettled,
    /// The newest desired state is not in force at an entry after the faults.
    #[display("the newest desired state is not in force everywhere")]
    NotNewest,
    /// After all entries died, not all served again.
    #[display("not all entries served again")]
    NotRecovered,
}

#[derive(Debug, Default)]
struct Records {
    calls: Vec<CallRecord>,
    once: Vec<OnceRecord>,
    streams: Vec<StreamRecord>,
    marks: Vec<MarkRecord>,
    leaving: Vec<LeavingRecord>,
}

/// Everything that callers saw.
#[derive(Debug, Default)]
pub struct SoakWitness {
    records: Mutex<Records>,
}

impl SoakWitness {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keep a booking.
    pub fn note_call(&self, record: CallRecord) {
        self.records().calls.push(record);
    }

    /// Keep a stream that may not be resumed.
    pub fn note_once(&self, record: OnceRecord) {
        self.records().once.push(record);
    }

    /// Keep a stream.
    pub fn note_stream(&self, record: StreamRecord) {
        self.records().streams.push(record);
    }

    /// Keep a request for a marked route.
    pub fn note_mark(&self, record: MarkRecord) {
        self.records().marks.push(record);
    }

    /// Keep an answer of a worker that leaves.
    pub fn note_leaving(&self, record: LeavingRecord) {
        self.records().leaving.push(record);
    }

    /// Answers of workers that leave.
    pub fn leaving_count(&self) -> usize {
        self.records().leaving.len()
    }

    /// Arrivals that break the promise about workers that leave.
    pub fn sent_to_leaving(&self, arrivals: &[ArrivalRecord]) -> Vec<BrokenPromise> {
        let records = self.records();
        let is_late = |arrival: &&ArrivalRecord| {
            records.leaving.iter().any(|leaving| {
                leaving.entry == arrival.entry
                    && leaving.worker == arrival.worker
                    && arrival.at > leaving.at + LEAVING_BOUND
            })
        };
        arrivals
            .iter()
            .filter(is_late)
            .map(|arrival| BrokenPromise::SentToLeaving(arrival.entry, arrival.worker.clone()))
            .collect()
    }

    /// Bookings, streams and requests for marked routes.
    pub fn counts(&self) -> (usize, usize, usize) {
        let records = self.records();
        (
            records.calls.len(),
            records.streams.len(),
            records.marks.len(),
        )
    }

    /// Requests that ran and got no answer from an entry that was only told to stop, given
    /// the runs and the lifetimes of entries that were killed or paused. The head of a
    /// stream is handed on at once, so its connection ends if its worker breaks it off.
    pub fn lost_answers(&self, runs: &[WorkerRun], harmed: &HashSet<u64>) -> Vec<BrokenPromise> {
        let ran: HashMap<&str, &WorkerRun> =
            runs.iter().map(|run| (run.id.as_str(), run)).collect();
        let records = self.records();
        let calls = records.calls.iter();
        let calls = calls
            .filter(|call| call.is_cut && ran.contains_key(call.id.as_str()))
            .map(|call| (&call.id, call.entry));
        let once = records.once.iter();
        let once = once
            .filter(|stream| {
                let run = ran.get(stream.id.as_str());
                stream.is_cut && run.is_some_and(|run| !run.is_broken_off)
            })
            .map(|stream| (&stream.id, stream.entry));
        calls
            .chain(once)
            .filter(|(_, entry)| !harmed.contains(entry))
            .map(|(id, entry)| BrokenPromise::LostAnswer(id.clone(), entry))
            .collect()
    }

    /// All broken promises, given the ids that ran, one entry a run.
    pub fn broken(&self, ran: &[String]) -> Vec<BrokenPromise> {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for id in ran {
            *runs.entry(id).or_default() += 1;
        }
        let records = self.records();
        let mut broken = Vec::new();
        for call in &records.calls {
            check_call(
                call,
                runs.get(call.id.as_str()).copied().unwrap_or(0),
                &mut broken,
            );
        }
        for stream in &records.once {
            let runs = runs.get(stream.id.as_str()).copied().unwrap_or(0);
            check_runs(&stream.id, stream.status, runs, &mut broken);
        }
        for stream in &records.streams {
            check_stream(stream, &mut broken);
        }
        check_marks(&records.marks, &mut broken);
        broken
    }
}

/// Requests of callers for a service that ran at another one. An entry's own calls, such
/// as that for a copy of a KV cache, have no id.
pub fn wrong_services(runs: &[WorkerRun]) -> Vec<BrokenPromise> {
    let expected = |path: &str| {
        let is_stream = path.starts_with("/report/") || path.starts_with("/once/");
        if is_stream { "pool" } else { "desk" }
    };
    let wrong = runs.iter().filter_map(|run| {
        let service = run.service?;
        let is_wrong = !run.id.is_empty() && service != expected(&run.path);
        is_wrong.then(|| {
            BrokenPromise::WrongService(run.id.clone(), run.path.clone(), service.to_owned())
        })
    });
    wrong.collect()
}

fn check_runs(id: &str, status: Option<u16>, runs: usize, broken: &mut Vec<BrokenPromise>) {
    if runs > 1 {
        broken.push(BrokenPromise::RanTwice(id.to_owned(), runs));
    }
    let refused = matches!(status, Some(503 | 429 | 408 | 421));
    if refused && runs > 0 {
        broken.push(BrokenPromise::RefusedAndRan(id.to_owned()));
    }
}

fn check_call(call: &CallRecord, runs: usize, broken: &mut Vec<BrokenPromise>) {
    check_runs(&call.id, call.status, runs, broken);
    let is_success = call
        .status
        .is_some_and(|status| (200..300).contains(&status));
    let own_seal = format!("seal-{}", call.id);
    let is_own = call.seal.as_deref() == Some(own_seal.as_str()) && call.body == "ok";
    if is_success && (!is_own || runs == 0) {
        broken.push(BrokenPromise::ForeignAnswer(call.id.clone()));
    }
}

fn check_stream(stream: &StreamRecord, broken: &mut Vec<BrokenPromise>) {
    let positions = &stream.positions;
    if !positions.iter().copied().eq(1..=positions.len() as u64) {
        broken.push(BrokenPromise::BrokenOrder(
            stream.id.clone(),
            positions.clone(),
        ));
    } else if stream.complete && positions.len() as u64 != STREAM_EVENTS {
        broken.push(BrokenPromise::EndedEarly(stream.id.clone()));
    }
}

/// Versions only add routes, so one that a lifetime has served stays.
fn check_marks(marks: &[MarkRecord], broken: &mut Vec<BrokenPromise>) {
    for lost in marks.iter().filter(|mark| mark.found == Some(false)) {
        let seen = marks.iter().any(|mark| {
            mark.lifetime == lost.lifetime
                && mark.found == Some(true)
                && mark.version >= lost.version
                && mark.answered < lost.sent
        });
        if seen {
            broken.push(BrokenPromise::WentBack(lost.lifetime, lost.version));
        }
    }
}
