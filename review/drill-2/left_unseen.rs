//! A worker leaves between two outages of the store, and the front has read that.

use std::{
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Attempt, CONTACT, Callers, DRAIN, Folder, Front, start_store},
    store::Mode,
    worker::{Start, Worker},
};

/// The two outages. The second is the longest `platform_down` of the whole store in the site
/// file.
const FIRST_OUTAGE: Duration = Duration::from_millis(1_000);
const SECOND_OUTAGE: Duration = Duration::from_millis(4_500);
/// Time between the removal of the worker's entry and its exit: drain-ms and a little longer.
const SERVES_ON: Duration = Duration::from_millis(4_200);
/// Time within which the front has to read the removal for the case to run.
const READ_MAX: Duration = Duration::from_millis(2_000);
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(60);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = start_store(record)?;
    let start = |id| {
        let start = Start {
            work: WORK,
            address: None,
            clock_ahead_ms: 0,
        };
        Worker::start_with(id, "desk", "zone-a", start, (&store, record))
    };
    let (leaver, _stayer) = (start("i-leaver")?, start("i-stayer")?);
    let front = Front::start("front-zone-a-1", "zone-a", store.address, &folder.0, record)?;
    front.wait_ready()?;
    // Their pauses differ, so that they do not fall into step.
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
    // The store and the front have been calm for contact-ms.
    sleep(CONTACT + Duration::from_secs(1));
    if has_trouble {
        store.set_mode(Mode::Busy);
        sleep(FIRST_OUTAGE);
        store.set_mode(Mode::Serving);
    }
    let left = leaver.leave_silently();
    let left_at = Instant::now();
    let told_at = loop {
        if let Some(told_at) = store.told("servers", &leaver.id, left) {
            break told_at;
        }
        if left_at.elapsed() > READ_MAX {
            return Err(io::Error::other(
                "the front did not read the removal in time",
            ));
        }
        sleep(Duration::from_millis(5));
    };
    record.line("the store has told the front that i-leaver is gone");
    let outage = has_trouble.then(|| {
        sleep(Duration::from_millis(200));
        store.set_mode(Mode::Silent);
        Instant::now()
    });
    sleep(SERVES_ON.saturating_sub(left_at.elapsed()));
    leaver.end();
    if let Some(began) = outage {
        sleep(SECOND_OUTAGE.saturating_sub(began.elapsed()));
        store.set_mode(Mode::Serving);
    }
    sleep(Duration::from_secs(2));
    let attempts: Vec<Attempt> = callers.into_iter().flat_map(Callers::end).collect();
    let late = leaver.arrivals_after(told_at + DRAIN);
    let last = leaver
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
        "bookings {} served {served}; at the worker that left: {} later than drain-ms after the store \
         told the front, the last {} ms after it; {lost} of them ran and were not answered with success",
        attempts.len(),
        late.len(),
        last.unwrap_or_default().as_millis()
    ));
    for arrival in &late {
        record.line(&format!("late: {}", arrival.id));
    }
    Ok(late.is_empty())
}
