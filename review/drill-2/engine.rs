//! Stand-in of a model worker: reads the prompt, then sends its events.

use std::{
    collections::HashMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Channel, Message},
    record::Record,
    store::Store,
    worker::{HEARTBEAT, unix_ms},
};

/// Prompt tokens read in a millisecond (the site's engines).
const TOKENS_PER_MS: u64 = 8;
/// Events of a whole stream, and the pause between them.
const EVENTS: u64 = 3;
const EVENT_PAUSE: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    born: u128,
    has_ended: Arc<AtomicBool>,
    channels: Arc<Mutex<HashMap<u64, TcpStream>>>,
    /// Prompts that are being read, by the first part of the prompt.
    reading: Arc<Mutex<Vec<String>>>,
    running: Arc<AtomicU32>,
    store: Store,
    record: Record,
}

impl Engine {
    pub fn start(id: &str, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born: unix_ms(),
            has_ended: Arc::default(),
            channels: Arc::default(),
            reading: Arc::default(),
            running: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        record.line(&format!("engine {id} starts at {}", engine.address));
        let shared = engine.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !shared.has_ended.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if stream.set_nonblocking(false).is_err() {
                    continue;
                }
                number += 1;
                if let Ok(copy) = stream.try_clone() {
                    shared.channels.lock().unwrap().insert(number, copy);
                }
                let engine = shared.clone();
                thread::spawn(move || {
                    let channels = Arc::clone(&engine.channels);
                    engine.serve(Channel::new(stream));
                    channels.lock().unwrap().remove(&number);
                });
            }
        });
        let shared = engine.clone();
        thread::spawn(move || {
            let mut seq = 0;
            while !shared.has_ended.load(SeqCst) {
                seq += 1;
                let value = format!(
                    "{{\"service\":\"pool\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
                     \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
                    shared.address, shared.born
                );
                shared
                    .store
                    .write("servers", &shared.id, Some(value.into_bytes()));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// Whether it reads a prompt that begins with this part.
    pub fn reads(&self, part: &str) -> bool {
        self.reading
            .lock()
            .unwrap()
            .iter()
            .any(|other| other == part)
    }

    /// Crashes: nothing listens any more, and all channels end.
    pub fn crash(&self) {
        self.record.line(&format!("engine {} crashes", self.id));
        self.has_ended.store(true, SeqCst);
        // The listener closes first, as it takes a moment here.
        thread::sleep(Duration::from_millis(10));
        for channel in self.channels.lock().unwrap().values() {
            channel.shutdown(Shutdown::Both).ok();
        }
    }

    /// Its entry goes, after its silence.
    pub fn lapse(&self) {
        self.store.write("servers", &self.id, None);
    }

    fn serve(self, mut channel: Channel) {
        while let Ok(Some(request)) = channel.message() {
            if self.answer(&mut channel, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, channel: &mut Channel, request: &Message) -> std::io::Result<()> {
        let load = format!("{},0,64", self.running.load(SeqCst));
        if request.target().1 == "/healthz" {
            return write!(
                channel.stream,
                "HTTP/1.1 200 OK\r\nX-Bamboocross-Instance: {}\r\nX-Bamboocross-Load: {load}\r\n\
                 content-length: 0\r\n\r\n",
                self.id
            );
        }
        let id = request
            .header("x-bamboocross-request-id")
            .unwrap_or("")
            .to_owned();
        if request
            .header("x-bamboocross-target-instance")
            .is_some_and(|name| name != self.id)
        {
            return write!(
                channel.stream,
                "HTTP/1.1 421 Misdirected\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Not-Run: 1\r\n\
                 X-Bamboocross-Instance: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            );
        }
        let prompt = request.header("x-bamboocross-prompt-prefix").unwrap_or("");
        let part = prompt.split(':').next().unwrap_or("").to_owned();
        let counts = request.header("x-bamboocross-token-counts").unwrap_or("");
        let tokens: u64 = counts
            .split(',')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.record.line(&format!(
            "engine {} runs {id} ({part}) after {after}",
            self.id
        ));
        self.running.fetch_add(1, SeqCst);
        self.reading.lock().unwrap().push(part.clone());
        let done = self.stream(channel, &id, tokens, after, &part);
        self.running.fetch_sub(1, SeqCst);
        done
    }

    fn stream(
        &self,
        channel: &mut Channel,
        id: &str,
        tokens: u64,
        after: u64,
        part: &str,
    ) -> std::io::Result<()> {
        let begun = write!(
            channel.stream,
            "HTTP/1.1 200 OK\r\nX-Bamboocross-Request-Id: {id}\r\nX-Bamboocross-Server-Seal: {}.{id}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
        let mut reading = self.reading.lock().unwrap();
        if let Some(index) = reading.iter().position(|other| other == part) {
            reading.swap_remove(index);
        }
        drop(reading);
        begun?;
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            write!(channel.stream, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_PAUSE);
        }
        write!(channel.stream, "0\r\n\r\n")
    }
}
