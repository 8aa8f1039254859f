//! Stand-in of the platform's store: tables of rows, listings, feeds and transactions.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Message},
    json::{Json, base64, unbase64},
    record::Record,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// Answers every call with 503.
    Busy,
    /// Answers no call that it gets.
    Silent,
}

#[derive(Clone)]
struct Row {
    version: u64,
    value: Option<Vec<u8>>,
}

struct Contents {
    mode: Mode,
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    /// When a feed of a table was last asked for.
    asked: BTreeMap<String, Instant>,
    /// When a reader was first told of the newest version of a row that any was told of.
    told: BTreeMap<(String, String), (u64, Instant)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
    record: Record,
    start: Instant,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            contents: Arc::new((
                Mutex::new(Contents {
                    mode: Mode::Serving,
                    version: 1,
                    rows: BTreeMap::new(),
                    asked: BTreeMap::new(),
                    told: BTreeMap::new(),
                }),
                Condvar::new(),
            )),
            record: record.clone(),
            start: Instant::now(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.record.line(&format!("store: {mode:?}"));
        self.contents.0.lock().unwrap().mode = mode;
        self.contents.1.notify_all();
    }

    pub fn mode(&self) -> Mode {
        self.contents.0.lock().unwrap().mode
    }

    /// Writes a row, or removes it, and returns its version.
    pub fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut contents = self.contents.0.lock().unwrap();
        contents.version += 1;
        let version = contents.version;
        contents
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { version, value });
        drop(contents);
        self.contents.1.notify_all();
        version
    }

    /// When a reader was told of this version of a row or of a later one.
    pub fn told(&self, table: &str, key: &str, version: u64) -> Option<Instant> {
        let contents = self.contents.0.lock().unwrap();
        let told = contents.told.get(&(table.to_owned(), key.to_owned()));
        told.filter(|(known, _)| *known >= version)
            .map(|(_, at)| *at)
    }

    /// When a feed of the table was last asked for.
    pub fn last_asked(&self, table: &str) -> Option<Instant> {
        self.contents.0.lock().unwrap().asked.get(table).copied()
    }

    fn serve(self, mut channel: Channel) {
        while let Ok(Some(call)) = channel.message() {
            match self.mode() {
                Mode::Serving => {}
                Mode::Busy => {
                    let refused = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
                    if channel.stream.write_all(refused.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                Mode::Silent => {
                    // The answer never comes, and nothing else on this channel.
                    while let Ok(Some(_)) = channel.message() {}
                    return;
                }
            }
            let (status, body, told) = self.answer(&call);
            // Calls that the store held while it went down are not answered.
            match self.mode() {
                Mode::Serving => {}
                Mode::Busy => return,
                Mode::Silent => {
                    while let Ok(Some(_)) = channel.message() {}
                    return;
                }
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if channel.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
            let now = Instant::now();
            let mut contents = self.contents.0.lock().unwrap();
            for (key, version) in told {
                let known = contents.told.get(&key).map_or(0, |(known, _)| *known);
                if version > known {
                    contents.told.insert(key, (version, now));
                }
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String, Vec<((String, String), u64)>) {
        let (_, target) = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .next()
                .unwrap_or_default()
        };
        match path {
            "/v1/rows-get" => {
                let contents = self.contents.0.lock().unwrap();
                let table = field("table");
                let rows = contents
                    .rows
                    .iter()
                    .filter(|((other, _), row)| *other == table && row.value.is_some());
                let rows: Vec<String> = rows.map(|(key, row)| encode(key, row)).collect();
                (200, self.page(&rows, contents.version), Vec::new())
            }
            "/v1/rows-feed" => {
                let table = field("table");
                let since: u64 = field("since-rev").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let mut contents = self.contents.0.lock().unwrap();
                contents.asked.insert(table.clone(), Instant::now());
                loop {
                    let mut newer: Vec<_> = contents
                        .rows
                        .iter()
                        .filter(|((other, _), row)| *other == table && row.version > since)
                        .collect();
                    let now = Instant::now();
                    if !newer.is_empty() || now >= end || contents.mode != Mode::Serving {
                        newer.sort_by_key(|(_, row)| row.version);
                        let told = newer
                            .iter()
                            .map(|(key, row)| ((*key).clone(), row.version))
                            .collect();
                        let rows: Vec<String> =
                            newer.iter().map(|(key, row)| encode(key, row)).collect();
                        return (200, self.page(&rows, contents.version), told);
                    }
                    contents = self.contents.1.wait_timeout(contents, end - now).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let Some(call) = Json::parse(&String::from_utf8_lossy(&call.body)) else {
                    return (400, String::new(), Vec::new());
                };
                let mut contents = self.contents.0.lock().unwrap();
                let key = |row: &Json| (row.text("table"), row.text("key"));
                let holds = call.list("if-rev").iter().all(|row| {
                    let known = contents
                        .rows
                        .get(&key(row))
                        .filter(|known| known.value.is_some());
                    row.number("ver") == Some(known.map_or(0, |known| known.version))
                });
                if !holds {
                    return (412, "{\"rows\":[]}".to_owned(), Vec::new());
                }
                contents.version += 1;
                let version = contents.version;
                for row in call.list("writes") {
                    let value = Some(unbase64(&row.text("value")));
                    contents.rows.insert(key(row), Row { version, value });
                }
                for row in call.list("remove") {
                    contents.rows.insert(
                        key(row),
                        Row {
                            version,
                            value: None,
                        },
                    );
                }
                drop(contents);
                self.contents.1.notify_all();
                (
                    200,
                    format!("{{\"ver\":{version},\"now-ms\":{}}}", self.now_ms()),
                    Vec::new(),
                )
            }
            _ => (404, String::new(), Vec::new()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has-more\":false,\"ver\":{version},\"now-ms\":{}}}",
            self.now_ms()
        )
    }
}

fn encode((table, key): &(String, String), row: &Row) -> String {
    let start = format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{}",
        row.version
    );
    match &row.value {
        Some(value) => format!("{start},\"value\":\"{}\"}}", base64(value)),
        None => format!("{start},\"tombstone\":true}}"),
    }
}
