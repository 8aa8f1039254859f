//! A worker starts again under its id after the clock of its machine was set back, and drains
//! later.

use std::{
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Attempt, CONTACT, Callers, DRAIN, Folder, Front, start_store},
    worker::{Start, Worker},
};

/// By how much the clock is ahead in the first lifetime (`clock_step`, x).
const STEP_MS: u128 = 2_000;
/// Length of the first lifetime, and of the crash that ends it.
const FIRST_LIFE: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(700);
/// Time between the second start and the report `draining`.
const CALM: Duration = Duration::from_secs(8);
/// Time between that report and the exit.
const SERVES_ON: Duration = Duration::from_secs(6);
const WORK: Duration = Duration::from_millis(60);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = start_store(record)?;
    let start = |id, address, clock_ahead_ms| {
        let start = Start {
            work: WORK,
            address,
            clock_ahead_ms,
        };
        Worker::start_with(id, "desk", "zone-a", start, (&store, record))
    };
    let mut stayers = Vec::new();
    for id in ["i-stayer-1", "i-stayer-2", "i-stayer-3"] {
        stayers.push(start(id, None, 0)?);
    }
    let front = Front::start("front-zone-a-1", "zone-a", store.address, &folder.0, record)?;
    front.wait_ready()?;
    let callers: Vec<Callers> = (0..10)
        .map(|index| {
            Callers::start(
                &front,
                1,
                Duration::from_millis(30 + 7 * index),
                "book",
                record,
            )
        })
        .collect();
    sleep(CONTACT + Duration::from_secs(1));
    let first = start("i-again", None, if has_trouble { STEP_MS } else { 0 })?;
    sleep(FIRST_LIFE);
    first.end();
    sleep(DOWN);
    let again = start("i-again", Some(first.address), 0)?;
    sleep(CALM);
    let draining = again.drain();
    let drained_at = Instant::now();
    let told_at = loop {
        if let Some(told_at) = store.told("servers", &again.id, draining) {
            break told_at;
        }
        if drained_at.elapsed() > Duration::from_secs(3) {
            return Err(io::Error::other("the front did not read the entry in time"));
        }
        sleep(Duration::from_millis(5));
    };
    sleep(SERVES_ON.saturating_sub(drained_at.elapsed()));
    again.end();
    sleep(Duration::from_secs(2));
    let attempts: Vec<Attempt> = callers.into_iter().flat_map(Callers::end).collect();
    let late = again.arrivals_after(told_at + DRAIN);
    let last = again
        .arrivals_after(told_at)
        .last()
        .map(|arrival| arrival.at - told_at);
    let served = attempts
        .iter()
        .filter(|attempt| attempt.status == 200)
        .count();
    let is_lost = |id: &str| {
        attempts
            .iter()
            .any(|attempt| attempt.id == id && attempt.status != 200)
    };
    let lost = late.iter().filter(|arrival| is_lost(&arrival.id)).count();
    record.result(&format!(
        "bookings {} served {served}; at the worker that drains: {} later than drain-ms after the store \
         told the front, the last {} ms after it; {lost} of them ran and were not answered with success",
        attempts.len(),
        late.len(),
        last.unwrap_or_default().as_millis()
    ));
    Ok(late.is_empty())
}
