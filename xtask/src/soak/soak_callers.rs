//! Callers who go on whatever happens.

use std::{
    cell::Cell,
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
    CallRecord, LeavingRecord, MarkRecord, OnceRecord, SoakSite, SoakWitness, StreamRecord,
    soak_faults::revive_all,
};

/// Time that a caller waits for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which a caller leaves a stream.
const GAP_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts of one caller at one stream.
const STREAM_ATTEMPTS: u32 = 4;
/// Pause between two bookings on one connection.
const KEPT_PAUSE: Duration = Duration::from_millis(20);
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
        match rng.random_range(0..5) {
            0 => report(&site, &witness, &mut rng).await,
            1 => mark(&site, &witness, number, &mut rng).await,
            2 => once(&site, &witness, number).await,
            _ => book(&site, &witness, number).await,
        }
        sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Send one request to the service whose versions are rolled out.
pub(super) async fn request_tide(site: Arc<SoakSite>, number: usize) {
    let (listen, _) = site.entry(number);
    // What its caller gets is no evidence here.
    let _ = send(listen, "/tide/1", &next_id(), None).await;
}

/// Whether all entries serve again, looking at each so many times. If not, the last answers
/// of the entry and the workers are printed.
pub async fn recovers(site: &SoakSite, looks: u32) -> bool {
    let last_answer = Cell::default();
    let serves = async |number| {
        let (listen, _) = site.entry(number);
        let response = send(listen, "/book/end", &next_id(), None).await;
        let is_served = response
            .as_ref()
            .is_some_and(|response| response.status().is_success());
        last_answer.set(Some((number, response)));
        is_served
    };
    let has_recovered = holds_everywhere(site, looks, serves).await;
    if !has_recovered && let Some((number, response)) = last_answer.take() {
        let head = response.map(|response| (response.status(), response.headers().clone()));
        eprintln!("entry {number} does not serve: {head:?}");
        site.worker_states()
            .iter()
            .for_each(|worker| eprintln!("{worker}"));
    }
    has_recovered
}

/// Whether the newest desired state comes into force at every entry, looking at each so many
/// times.
pub async fn has_newest_state(site: &SoakSite, looks: u32) -> bool {
    let newest = format!("\"state_version\":{}", site.version());
    let has_newest = async |number| {
        let response = send(site.admin(number), "/state", &next_id(), None).await;
        let Some(response) = response else {
            return false;
        };
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        String::from_utf8_lossy(&body).contains(&newest)
    };
    holds_everywhere(site, looks, has_newest).await
}

async fn holds_everywhere(site: &SoakSite, looks: u32, holds: impl AsyncFn(usize) -> bool) -> bool {
    for number in 0..site.entry_count() {
        let mut looks_left = looks;
        loop {
            revive_all(site);
            if holds(number).await {
                break;
            }
            looks_left = looks_left.saturating_sub(1);
            if looks_left == 0 {
                return false;
            }
            sleep(RECOVER_PAUSE).await;
        }
    }
    true
}

/// Send a booking on a connection of its own.
async fn book(site: &SoakSite, witness: &SoakWitness, number: usize) {
    if let Some(mut connection) = CallerConnection::open(site, number).await {
        send_booking(site, witness, &mut connection).await;
    }
}

/// Send bookings to one entry until `end`, each time on one connection until the entry
/// closes it, or is gone.
pub(super) async fn book_on_kept_connections(
    site: Arc<SoakSite>,
    witness: Arc<SoakWitness>,
    number: usize,
    end: Instant,
) {
    while Instant::now() < end {
        if let Some(mut connection) = CallerConnection::open(&site, number).await {
            while Instant::now() < end && send_booking(&site, &witness, &mut connection).await {
                sleep(KEPT_PAUSE).await;
            }
        }
        sleep(KEPT_PAUSE).await;
    }
}

/// Send a booking; tells whether the connection can carry another one.
async fn send_booking(
    site: &SoakSite,
    witness: &SoakWitness,
    connection: &mut CallerConnection,
) -> bool {
    let id = site.name_request(next_id(), connection.lifetime);
    let mut record = CallRecord {
        id: id.clone(),
        entry: connection.lifetime,
        status: None,
        is_cut: false,
        seal: None,
        body: String::new(),
    };
    let mut is_kept = false;
    match connection.send("/book/1", &id, None).await {
        Ok(response) => {
            let header = |name| {
                let value = response.headers().get(name)?;
                value.to_str().ok().map(str::to_owned)
            };
            record.seal = header("x-bamboocross-server-seal");
            is_kept = header("connection").as_deref() != Some("close");
            let status = response.status().as_u16();
            if response.headers().contains_key("server-leaving") {
                witness.note_leaving(LeavingRecord {
                    entry: connection.lifetime,
                    worker: header("x-stand-in-lifetime").unwrap_or_default(),
                    at: Instant::now(),
                });
            }
            // An answer that ends early is none.
            match response.into_body().collect().await {
                Ok(body) => {
                    record.status = Some(status);
                    record.body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                }
                Err(_) => record.is_cut = true,
            }
        }
        Err(error) => record.is_cut = error == CallerError::Closed,
    }
    is_kept &= record.status.is_some();
    witness.note_call(record);
    is_kept
}

/// Send a stream that may not be resumed.
async fn once(site: &SoakSite, witness: &SoakWitness, number: usize) {
    let Some(mut connection) = CallerConnection::open(site, number).await else {
        return;
    };
    let id = site.name_request(next_id(), connection.lifetime);
    let sent = connection.send("/once/1", &id, None).await;
    let mut record = OnceRecord {
        id: id.clone(),
        entry: connection.lifetime,
        status: None,
        is_cut: false,
    };
    match sent {
        Ok(response) => {
            record.status = Some(response.status().as_u16());
            if response.status().is_success() {
                let mut positions = Vec::new();
                let complete = read_events(response, &mut positions).await;
                witness.note_stream(StreamRecord {
                    id,
                    positions,
                    complete,
                });
            }
        }
        Err(error) => record.is_cut = error == CallerError::Closed,
    }
    witness.note_once(record);
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

/// Why a caller got no head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerError {
    /// The connection ended.
    Closed,
    /// The caller lost patience.
    Timeout,
}

/// A connection to one process of an entry.
struct CallerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Lifetime of the entry.
    lifetime: u64,
}

impl CallerConnection {
    /// Connect; none if the entry does not listen or is started again meanwhile, so that its
    /// lifetime is uncertain.
    async fn open(site: &SoakSite, number: usize) -> Option<Self> {
        let (listen, lifetime) = site.entry(number);
        let sender = connect(listen).await?;
        (site.entry(number).1 == lifetime).then_some(Self { sender, lifetime })
    }

    async fn send(
        &mut self,
        path: &str,
        id: &str,
        last: Option<u64>,
    ) -> Result<Response<Incoming>, CallerError> {
        let sent = self.sender.send_request(request(path, id, last));
        match timeout(HEAD_TIMEOUT, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(CallerError::Closed),
            Err(_) => Err(CallerError::Timeout),
        }
    }
}

async fn connect(listen: SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(listen).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn request(path: &str, id: &str, last: Option<u64>) -> Request<Full<Bytes>> {
    let mut request = Request::post(path)
        .header("host", "a.example")
        .header("x-bamboocross-request-id", id)
        .header("x-bamboocross-deadline-ms", "8000");
    if let Some(last) = last {
        request = request.header("last-event-id", last);
    }
    request
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the parts of the request are valid")
}

async fn send(
    listen: SocketAddr,
    path: &str,
    id: &str,
    last: Option<u64>,
) -> Option<Response<Incoming>> {
    let sent = async {
        let mut sender = connect(listen).await?;
        sender.send_request(request(path, id, last)).await.ok()
    };
    timeout(HEAD_TIMEOUT, sent).await.ok()?
}
