//! Workers crash three times while they read prompts of a team, which goes on well each time.
//! Many other teams come, and then that team again.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    http::Channel,
    record::Record,
    site::{CONTACT, Folder, Front, KEY},
    store::Store,
};

/// Workers.
const ENGINES: usize = 8;
/// Crashes, each of one worker, and the time until another one is there.
const CRASHES: usize = 3;
const DOWN: Duration = Duration::from_millis(1_200);
/// Silence after which the store removes an entry.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Other teams, each with a shared part of its own.
const TEAMS: usize = 4_200;
/// Callers that send the requests of the other teams.
const CALLERS: usize = 8;
/// Requests of the first team at the end.
const REQUESTS: usize = 60;
/// Time from the start of the front to the first of them: the front reviews its evidence
/// every 60 s.
const LATER: Duration = Duration::from_secs(64);

const STATE: &str = "{\"version\":1,\"routes\":[{\"name\":\"note\",\"host\":\"a.example\",\"prefix\":\"/note/\",\
     \"kind\":\"stream\",\"timeout-ms\":25000,\"target-latency-ms\":4500,\"gap-aim-ms\":700,\"priority\":1,\
     \"service\":\"pool\",\"attempts\":5,\"public\":false,\"sticky\":true,\"can-resume\":true}],\
     \"services\":[{\"name\":\"pool\",\"health-path\":\"/healthz\",\"engine\":{\"slots\":64,\
     \"kv-tokens\":88000,\"backups\":false,\"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
     \"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"north\",\"api-keys\":[\"";

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = Folder::create()?;
    let store = Store::start(record)?;
    store.write(
        "op",
        "config",
        Some(format!("{STATE}{KEY}\"]}}]}}").into_bytes()),
    );
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(Engine::start(
            &format!("i-engine-{number}"),
            &store,
            record,
        )?);
    }
    let front = Front::start("front-zone-a-1", "zone-a", store.address, &folder.0, record)?;
    let started = Instant::now();
    front.wait_ready()?;
    sleep(CONTACT + Duration::from_secs(1));
    let mut answers = Vec::new();
    for crash in 1..=CRASHES {
        let (address, log) = (front.listen, record.clone());
        let caller = thread::spawn(move || {
            let mut channel = None;
            stream(
                &mut channel,
                address,
                &format!("first{crash}"),
                "aa01",
                8_000,
                &log,
            )
        });
        sleep(Duration::from_millis(500));
        if has_trouble {
            let index = engines.iter().position(|engine| engine.reads("aa01"));
            let index = index.ok_or_else(|| io::Error::other("no engine reads the prompt"))?;
            engines[index].crash();
            sleep(DOWN);
            let next = Engine::start(&format!("i-engine-{}", ENGINES + crash), &store, record)?;
            let gone = std::mem::replace(&mut engines[index], next);
            sleep(LAPSE - DOWN);
            gone.lapse();
        }
        answers.push(
            caller
                .join()
                .map_err(|_| io::Error::other("a caller panicked"))?,
        );
        sleep(Duration::from_secs(1));
    }
    record.result(&format!("first team, during the crashes: {answers:?}"));
    let next = Arc::new(AtomicUsize::new(0));
    let teams: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (next, address, log) = (Arc::clone(&next), front.listen, record.clone());
            thread::spawn(move || {
                let (mut channel, mut sent, mut served) = (None, 0, 0);
                loop {
                    let team = next.fetch_add(1, SeqCst);
                    if team >= TEAMS {
                        return (sent, served);
                    }
                    let part = format!("bb{team:06x}");
                    let status = stream(
                        &mut channel,
                        address,
                        &format!("team{team}"),
                        &part,
                        40,
                        &log,
                    );
                    sent += 1;
                    served += usize::from(status == 200);
                }
            })
        })
        .collect();
    let (mut sent, mut served) = (
        answers.len(),
        answers.iter().filter(|status| **status == 200).count(),
    );
    for team in teams {
        let (its_sent, its_served) = team
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        sent += its_sent;
        served += its_served;
    }
    record.result(&format!(
        "all requests so far: {sent} sent, {served} served"
    ));
    sleep(LATER.saturating_sub(started.elapsed()));
    let mut channel = None;
    let last: Vec<u16> = (0..REQUESTS)
        .map(|number| {
            sleep(Duration::from_millis(100));
            stream(
                &mut channel,
                front.listen,
                &format!("last{number}"),
                "aa01",
                800,
                record,
            )
        })
        .collect();
    sent += last.len();
    let denied = last
        .iter()
        .filter(|status| (300..500).contains(*status) && ![408, 421, 429].contains(*status));
    let denied = denied.count();
    record.result(&format!(
        "first team at the end: {REQUESTS} sent, {denied} ended with a 4xx of the front (first: {}); allowed of \
         all {sent}: {}",
        last[0],
        5 + sent / 500
    ));
    Ok(denied <= 5 + sent / 500)
}

/// Sends a request and reads its stream. Returns the status; 0 if the stream is not whole.
fn stream(
    held: &mut Option<Channel>,
    address: SocketAddr,
    id: &str,
    part: &str,
    tokens: u64,
    record: &Record,
) -> u16 {
    record.line(&format!("caller sends {id} ({part})"));
    let asked = ask(held, address, id, part, tokens);
    if let Err(error) = &asked {
        record.line(&format!("caller of {id}: {error}"));
    }
    let status = asked.unwrap_or(0);
    if status == 0 {
        *held = None;
    }
    record.line(&format!("caller gets {status} for {id} ({part})"));
    status
}

fn ask(
    held: &mut Option<Channel>,
    address: SocketAddr,
    id: &str,
    part: &str,
    tokens: u64,
) -> io::Result<u16> {
    let channel = match held {
        Some(channel) => channel,
        None => {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(25)))?;
            held.insert(Channel::new(stream))
        }
    };
    write!(
        channel.stream,
        "POST /note/1 HTTP/1.1\r\nHost: a.example\r\nX-Bamboocross-Request-Id: {id}\r\n\
         X-Bamboocross-Deadline-Ms: 25000\r\nX-Bamboocross-Model: m\r\nX-Bamboocross-Token-Counts: {tokens},20\r\n\
         X-Bamboocross-Prompt-Prefix: {part}:200,cc{id}:{}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 0\r\n\r\n",
        tokens.saturating_sub(200).max(1)
    )?;
    let answer = channel.message()?;
    Ok(answer
        .filter(|answer| answer.is_whole)
        .map_or(0, |answer| answer.status()))
}
