//! The store of the users' platform, as far as an entry reads and writes it.
//!
//! Rows lie in tables and have versions from one counter; a feed waits for
//! changes. The store can be told to refuse, to fall silent, to cut its
//! callers off, to forget its history, or to come back from an older copy of itself.

use std::{
    collections::{BTreeMap, HashMap},
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, time::timeout};

/// Largest number of rows of one page.
const PAGE_ROWS: usize = 500;
/// Size of the values after which a page ends.
const PAGE_BYTES: usize = 1 << 20;

/// How the store behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Serves.
    Serving,
    /// Refuses every call with 503.
    Busy,
    /// Answers nothing.
    Silent,
    /// Says that the history is gone, once a feed asks.
    HistoryGone,
}

#[derive(Clone, Debug)]
struct StoreRow {
    version: u64,
    value: Option<Vec<u8>>,
}

/// Contents of a store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    version: u64,
    tables: HashMap<String, BTreeMap<String, StoreRow>>,
}

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    /// Table whose reads are refused.
    refused: Option<String>,
    contents: StoreCopy,
    /// Times that an older copy was restored.
    restores: u64,
    /// Whether answers name the era, which older stores do not.
    names_era: bool,
    calls: Vec<String>,
}

/// A store in this process.
#[derive(Clone, Debug)]
pub struct RowStore {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

impl RowStore {
    /// Start an empty store.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(StoreState {
                mode: StoreMode::Serving,
                refused: None,
                contents: StoreCopy::default(),
                restores: 0,
                names_era: true,
                calls: Vec::new(),
            })),
            changed: watch::Sender::new(0),
        };
        tokio::spawn(store.clone().serve(listener));
        Ok(store)
    }

    /// Change how it behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state().mode = mode;
        self.changed.send_modify(|_| {});
    }

    /// Refuse reads of a table with 503, or of none.
    pub fn refuse_reads(&self, table: Option<&str>) {
        self.state().refused = table.map(str::to_owned);
    }

    /// Leaves the era out of the answers, as older stores do.
    pub fn hide_era(&self) {
        self.state().names_era = false;
    }

    /// Copies the contents.
    pub fn copy(&self) -> StoreCopy {
        self.state().contents.clone()
    }

    /// Replaces the contents by an older copy. What was written since is gone, its
    /// versions are given out again, and calls that wait for changes are refused.
    pub fn restore(&self, copy: StoreCopy) {
        {
            let mut state = self.state();
            state.contents = copy;
            state.restores += 1;
        }
        self.changed.send_modify(|_| {});
    }

    /// Write a row of the empty part.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.write(table, key, Some(value.to_vec()));
    }

    /// Remove a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state();
        let rows = state.contents.tables.get(table).into_iter().flatten();
        rows.filter(|(_, row)| row.value.is_some())
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.contents.tables.get(table)?.get(key)?.value.clone()
    }

    /// Version of a row; 0 if it is absent or was removed.
    pub fn version(&self, table: &str, key: &str) -> u64 {
        version_in(&self.state(), table, key)
    }

    /// Paths that were called.
    pub fn calls(&self) -> Vec<String> {
        self.state().calls.clone()
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let version = {
            let mut state = self.state();
            state.contents.version += 1;
            let version = state.contents.version;
            let row = StoreRow { version, value };
            let rows = state.contents.tables.entry(table.to_owned()).or_default();
            rows.insert(key.to_owned(), row);
            version
        };
        self.changed.send_replace(version);
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            let service = service_fn(move |request| {
                let store = store.clone();
                async move {
                    let mut response = store.answer(request).await;
                    let state = store.state();
                    if state.names_era {
                        let era = HeaderValue::from(state.restores + 1);
                        response.headers_mut().insert("store-era", era);
                    }
                    drop(state);
                    Ok::<_, Infallible>(response)
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let mode = {
            let mut state = self.state();
            state.calls.push(parts.uri.to_string());
            state.mode
        };
        match mode {
            StoreMode::Busy => return plain(StatusCode::SERVICE_UNAVAILABLE),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Serving | StoreMode::HistoryGone => {}
        }
        let query = parts.uri.query().unwrap_or_default();
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or_default()
                .to_owned()
        };
        if parts.method == Method::GET && self.state().refused == Some(field("table")) {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/v1/rows-get") => self.listing(&field("table"), &field("from")),
            (&Method::GET, "/v1/rows-feed") => {
                if mode == StoreMode::HistoryGone {
                    self.state().mode = StoreMode::Serving;
                    return plain(StatusCode::GONE);
                }
                let since = field("since-rev").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                self.feed(&field("table"), since, wait).await
            }
            (&Method::POST, "/v1/rows-tx") => match body.collect().await {
                Ok(body) => self.transact(&body.to_bytes()),
                Err(_) => plain(StatusCode::BAD_REQUEST),
            },
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    /// Rows from a key on, up to a page's size.
    fn listing(&self, table: &str, from: &str) -> Response<Full<Bytes>> {
        let from = percent_decode(from);
        let state = self.state();
        let rows = state.contents.tables.get(table).into_iter().flatten();
        let mut present = rows
            .filter(|(key, row)| row.value.is_some() && key.as_bytes() >= from.as_slice())
            .peekable();
        let mut rows = Vec::new();
        let mut bytes = 0;
        while let Some((key, row)) = present.next_if(|_| rows.len() < PAGE_ROWS) {
            bytes += row.value.as_ref().map_or(0, Vec::len);
            rows.push(encode(table, key, row));
            if bytes > PAGE_BYTES {
                break;
            }
        }
        let has_more = present.peek().is_some();
        page(rows, state.contents.version, has_more)
    }

    async fn feed(&self, table: &str, since: u64, wait: Duration) -> Response<Full<Bytes>> {
        let mut changed = self.changed.subscribe();
        let restores = self.state().restores;
        if since > self.state().contents.version {
            return plain(StatusCode::GONE);
        }
        let newer = async {
            loop {
                let is_restored = self.state().restores != restores;
                if is_restored
                    || !self.rows_after(table, since).0.is_empty()
                    || changed.changed().await.is_err()
                {
                    return;
                }
            }
        };
        // Without a change the answer is an empty page.
        let _ = timeout(wait, newer).await;
        if self.state().restores != restores {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (rows, version) = self.rows_after(table, since);
        page(rows, version, false)
    }

    fn rows_after(&self, table: &str, since: u64) -> (Vec<Value>, u64) {
        let state = self.state();
        let rows = state.contents.tables.get(table).into_iter().flatten();
        let mut newer: Vec<(&String, &StoreRow)> =
            rows.filter(|(_, row)| row.version > since).collect();
        newer.sort_by_key(|(_, row)| row.version);
        let rows = newer
            .into_iter()
            .map(|(key, row)| encode(table, key, row))
            .collect();
        (rows, state.contents.version)
    }

    fn transact(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let conditions = call["if-rev"].as_array().into_iter().flatten();
        let holds = |row: &Value| {
            let found = self.version(&text(row, "table"), &text(row, "key"));
            row["ver"].as_u64() == Some(found)
        };
        if !conditions.into_iter().all(holds) {
            return plain(StatusCode::PRECONDITION_FAILED);
        }
        for row in call["writes"].as_array().into_iter().flatten() {
            let value = STANDARD.decode(text(row, "value")).unwrap_or_default();
            self.put(&text(row, "table"), &text(row, "key"), &value);
        }
        for row in call["remove"].as_array().into_iter().flatten() {
            self.remove(&text(row, "table"), &text(row, "key"));
        }
        let version = self.state().contents.version;
        json_answer(&json!({"ver": version, "now-ms": 0}))
    }
}

fn version_in(state: &StoreState, table: &str, key: &str) -> u64 {
    let row = state
        .contents
        .tables
        .get(table)
        .and_then(|rows| rows.get(key));
    let present = row.filter(|row| row.value.is_some());
    present.map_or(0, |row| row.version)
}

fn encode(table: &str, key: &str, row: &StoreRow) -> Value {
    match &row.value {
        Some(value) => json!({
            "table": table, "part": "", "key": key, "ver": row.version,
            "value": STANDARD.encode(value),
        }),
        None => json!({
            "table": table, "part": "", "key": key, "ver": row.version, "tombstone": true,
        }),
    }
}

fn page(rows: Vec<Value>, version: u64, has_more: bool) -> Response<Full<Bytes>> {
    json_answer(&json!({"rows": rows, "has-more": has_more, "ver": version, "now-ms": 0}))
}

fn percent_decode(text: &str) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || char::from(bytes.next()?).to_digit(16);
        if let (Some(high), Some(low)) = (digit(), digit()) {
            decoded.push(u8::try_from(high * 16 + low).unwrap_or(b'?'));
        }
    }
    decoded
}

fn json_answer(value: &Value) -> Response<Full<Bytes>> {
    Response::new(Full::from(value.to_string()))
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
