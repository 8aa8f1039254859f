//! Callers who go on whatever happens.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::{
    CallRecord, LeavingRecord, MarkRecord, SoakSite, SoakWitness, StreamRecord,
    soak_faults::revive_all,
};

/// Time that a caller waits for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which a caller leaves a stream.
const GAP_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts of one caller at one stream.
const STREAM_ATTEMPTS: u32 = 4;
/// Pause between two looks whether an entry serves again.
const RECOVER_PAUSE: Duration = Duration::from_millis(20);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
static NEXT_ORDER: AtomicU64 = AtomicU64::new(1);

/// Send requests of all kinds until `end`.
pub(super) async fn call_until(
    site: Arc<SoakSite>,
    witness: Arc<SoakWitness>,
    seed: u64,
    end: Instant,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while Instant::now() < end {
        let number = rng.random_range(0..site.entry_count());
        match rng.random_range(0..4) {
            0 => report(&site, &witness, &mut rng).await,
            1 => mark(&site, &witness, number, &mut rng).await,
            _ => book(&site, &witness, number).await,
        }
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Whether every entry serves a booking again within so many looks.
pub async fn recovers(site: &SoakSite, looks: u32) -> bool {
    for number in 0..site.entry_count() {
        let mut served = false;
        for _ in 0..looks {
            revive_all(site);
            let (listen, _) = site.entry(number);
            let response = send(listen, "/book/end", &next_id(), None).await;
            if response.is_some_and(|response| response.status().is_success()) {
                served = true;
                break;
            }
            sleep(RECOVER_PAUSE).await;
        }
        if !served {
            return false;
        }
    }
    true
}

async fn book(site: &SoakSite, witness: &SoakWitness, number: usize) {
    let (listen, lifetime) = site.entry(number);
    let id = site.name_request(next_id(), lifetime);
    let mut record = CallRecord {
        id: id.clone(),
        status: None,
        seal: None,
        body: String::new(),
    };
    if let Some(response) = send(listen, "/book/1", &id, None).await {
        let seal = response.headers().get("x-bamboocross-server-seal");
        record.seal = seal.and_then(|seal| seal.to_str().ok()).map(str::to_owned);
        let status = response.status().as_u16();
        if response.headers().contains_key("server-leaving") {
            let worker = response.headers().get("x-stand-in-lifetime");
            let worker = worker.and_then(|worker| worker.to_str().ok());
            // The entry may have been another process by the time of the answer.
            if site.entry(number).1 == lifetime {
                witness.note_leaving(LeavingRecord {
                    entry: lifetime,
                    worker: worker.unwrap_or_default().to_owned(),
                    at: Instant::now(),
                });
            }
        }
        // An answer that ends early is none.
        if let Ok(body) = response.into_body().collect().await {
            record.status = Some(status);
            record.body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        }
    }
    witness.note_call(record);
}

async fn mark(site: &SoakSite, witness: &SoakWitness, number: usize, rng: &mut SmallRng) {
    let version = rng.random_range(1..=site.version());
    let (listen, lifetime) = site.entry(number);
    let sent = NEXT_ORDER.fetch_add(1, SeqCst);
    let response = send(listen, &format!("/mark-{version}/1"), &next_id(), None).await;
    let answered = NEXT_ORDER.fetch_add(1, SeqCst);
    // The entry may have been another process by the time of the answer.
    let same = site.entry(number).1 == lifetime;
    let found = response
        .filter(|_| same)
        .and_then(|response| match response.status().as_u16() {
            404 => Some(false),
            200 => Some(true),
            _ => None,
        });
    witness.note_mark(MarkRecord {
        lifetime,
        version,
        sent,
        answered,
        found,
    });
}

async fn report(site: &SoakSite, witness: &SoakWitness, rng: &mut SmallRng) {
    let mut record = StreamRecord {
        id: next_id(),
        positions: Vec::new(),
        complete: false,
    };
    for _ in 0..STREAM_ATTEMPTS {
        let (listen, _) = site.entry(rng.random_range(0..site.entry_count()));
        let last = record.positions.last().copied();
        let Some(response) = send(listen, "/report/1", &next_id(), last).await else {
            continue;
        };
        if response.status().is_success() {
            record.complete = read_events(response, &mut record.positions).await;
        }
        if record.complete {
            break;
        }
    }
    witness.note_stream(record);
}

/// Take in events; tells whether the answer ended as complete.
async fn read_events(response: Response<Incoming>, positions: &mut Vec<u64>) -> bool {
    let mut body = response.into_body();
    let mut held = String::new();
    loop {
        let Ok(frame) = timeout(GAP_TIMEOUT, body.frame()).await else {
            return false;
        };
        let bytes = match frame {
            None => return held.is_empty(),
            Some(Err(_)) => return false,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        held.push_str(&String::from_utf8_lossy(&bytes));
        while let Some((event, rest)) = held.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            positions.push(id.and_then(|id| id.parse().ok()).unwrap_or(0));
            held = rest.to_owned();
        }
    }
}

fn next_id() -> String {
    format!("r{}", NEXT_ID.fetch_add(1, SeqCst))
}

async fn send(
    listen: SocketAddr,
    path: &str,
    id: &str,
    last: Option<u64>,
) -> Option<Response<Incoming>> {
    let mut request = Request::post(path)
        .header("host", "a.example")
        .header("x-bamboocross-request-id", id)
        .header("x-bamboocross-deadline-ms", "8000");
    if let Some(last) = last {
        request = request.header("last-event-id", last);
    }
    let request = request.body(Full::new(Bytes::from_static(b"body"))).ok()?;
    let sent = async {
        let stream = TcpStream::connect(listen).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        sender.send_request(request).await.ok()
    };
    timeout(HEAD_TIMEOUT, sent).await.ok()?
}
