//! Another writer's entries name the addresses of workers, with a service that no desired
//! state names. Later they are removed.

use std::{
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{CONTACT, Callers, Folder, Front, add_routes, count, first_routes, is_neglected},
    store::Store,
    worker::{Worker, unix_ms},
};

const FRONTS: usize = 6;
/// Time over which the callers are watched, with the odd entries and after their removal.
const WATCHED: Duration = Duration::from_secs(12);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start(record)?;
    first_routes(&store);
    let mut desk = Vec::new();
    let mut press = Vec::new();
    for number in 1..=2 {
        desk.push(Worker::start(
            &format!("i-desk-{number}"),
            "desk",
            "zone-a",
            &store,
            record,
        )?);
        press.push(Worker::start(
            &format!("i-press-{number}"),
            "press",
            "zone-a",
            &store,
            record,
        )?);
    }
    let mut fronts = Vec::new();
    for number in 1..=FRONTS {
        let name = format!("front-zone-a-{number}");
        fronts.push(Front::start(
            &name,
            "zone-a",
            store.address,
            &folder.0,
            record,
        )?);
    }
    for front in &fronts {
        front.wait_ready()?;
    }
    // The fronts have listed each other.
    sleep(Duration::from_secs(5));
    add_routes(&store);
    sleep(Duration::from_secs(3));
    let start = |route| -> Vec<Callers> {
        let fronts = fronts.iter();
        fronts
            .map(|front| Callers::start(front, 2, Duration::from_millis(80), route, record))
            .collect()
    };
    let (looks, reads) = (start("look"), start("read"));
    sleep(CONTACT + Duration::from_secs(1));
    if has_trouble {
        write_odd_entries(&store, &desk, true);
        record.line("another writer wrote its entries");
    }
    let is_neglected_with = watch(record, "with the odd entries", &looks, &reads);
    if has_trouble {
        write_odd_entries(&store, &desk, false);
        record.line("another writer removed its entries");
    }
    let is_neglected_after = watch(record, "after their removal", &looks, &reads);
    for callers in looks.into_iter().chain(reads) {
        callers.end();
    }
    Ok(!is_neglected_with && !is_neglected_after)
}

fn write_odd_entries(store: &Store, workers: &[Worker], is_there: bool) {
    for (index, worker) in workers.iter().enumerate() {
        let value = format!(
            "{{\"service\":\"of-another-writer\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":{}}}",
            worker.address,
            unix_ms()
        );
        store.write(
            "servers",
            &format!("other-{index}"),
            is_there.then(|| value.into_bytes()),
        );
    }
}

/// Whether the requests to the service with the odd entries are starved.
fn watch(record: &Record, when: &str, looks: &[Callers], reads: &[Callers]) -> bool {
    // All machines have had the time to read the change, and to read each check-in since.
    sleep(CONTACT + Duration::from_secs(1));
    let from = Instant::now();
    sleep(WATCHED);
    let (look, read) = (count(looks, from), count(reads, from));
    let by_front: Vec<String> = looks
        .iter()
        .map(|callers| {
            let (sent, served) = count(std::slice::from_ref(callers), from);
            format!("{served}/{sent}")
        })
        .collect();
    record.result(&format!(
        "{when}: look served {}/{} (by front {}), read served {}/{}",
        look.1,
        look.0,
        by_front.join(" "),
        read.1,
        read.0
    ));
    is_neglected(look, read)
}
