//! Planned stops under load: new work at a leaving server, requests cut.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use miette::{Result, miette};
use stand_ins::{EngineCounts, LinkMode};

use crate::{
    CallerClient, ChatEnd,
    deployment::{MODEL, MODEL_VERSION},
    measure::notes::note_site::NoteSite,
};

/// Time after which a leaving server gets no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Time over which new work is counted after that.
const WATCH_TIME: Duration = Duration::from_secs(5);

/// Callers that ask all the time.
const CALLERS: usize = 24;

/// Tokens of each answer; some outlast the stop.
const TOKENS: [u32; 3] = [4, 60, 300];

/// Servers that are stopped: by one operator, by two at once, and unreachable
/// for the operator.
const STOPPED: [usize; 3] = [0, 1, 2];

/// What the stops did.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopFigures {
    /// Requests that reached a leaving server after 3 s.
    pub late_work: u64,
    /// Answers that did not come whole.
    pub cut: u64,
    /// Answers in all.
    pub chats: u64,
}

#[derive(Default)]
struct ChatCounts {
    is_over: AtomicBool,
    chats: AtomicU64,
    cut: AtomicU64,
}

/// Stop servers while callers ask.
pub async fn try_stops(site: &NoteSite) -> Result<StopFigures> {
    let counts = Arc::new(ChatCounts::default());
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.address).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let entry = entries[at % entries.len()];
            tokio::spawn(ask(at, entry, Arc::clone(&counts)))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The operator cannot reach this one's agent, and entries cannot tell it.
    site.set_link(site.control_links[2], LinkMode::Silence)
        .await?;
    stop_all(site)?;
    tokio::time::sleep(LEAVE_TIME).await;
    let before = work(site).await?;
    tokio::time::sleep(WATCH_TIME).await;
    let after = work(site).await?;
    counts.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| miette!("{error}"))?;
    }
    site.set_link(site.control_links[2], LinkMode::Pass).await?;
    for server in STOPPED {
        site.fleet
            .operator(&["vm", "undo", &format!("writer-{server}")])?;
    }
    Ok(StopFigures {
        late_work: after - before,
        cut: counts.cut.load(Ordering::Relaxed),
        chats: counts.chats.load(Ordering::Relaxed),
    })
}

/// Two operators stop the same and other servers at once.
fn stop_all(site: &NoteSite) -> Result<()> {
    let stop = |server: usize, operator: &str| {
        let server = format!("writer-{server}");
        site.fleet
            .operator(&["vm", "stop", &server, "--operator", operator])
    };
    std::thread::scope(|scope| {
        let one = scope.spawn(|| [stop(2, "amina"), stop(0, "amina"), stop(1, "amina")]);
        let other = stop(1, "obi");
        let one = one.join().map_err(|_| miette!("an operator failed"))?;
        for stopped in one.into_iter().chain([other]) {
            let (status, text) = stopped?;
            if !status.success() {
                return Err(miette!("a stop was refused: {text}"));
            }
        }
        Ok(())
    })
}

/// Requests that the engines of the stopped servers have begun.
async fn work(site: &NoteSite) -> Result<u64> {
    let mut requests = 0;
    for server in STOPPED {
        let engine = site.engines[server].address;
        let counts: EngineCounts = site.fleet.read(engine, "/control").await?;
        requests += counts.requests;
    }
    Ok(requests)
}

async fn ask(at: usize, entry: std::net::SocketAddr, counts: Arc<ChatCounts>) {
    let caller = CallerClient::new(&format!("team-{at}"));
    let mut round = 0;
    while !counts.is_over.load(Ordering::Relaxed) {
        let tokens = TOKENS[(at + round) % TOKENS.len()];
        let content = format!("report {round} of caller {at}");
        let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, &content, tokens);
        let outcome = caller.chat(entry, &request, None, |_| {}).await;
        let faults = outcome.faults(seed, tokens);
        let is_whole = outcome.end == ChatEnd::Finished
            && faults.missing + faults.repeated + faults.foreign == 0;
        counts.chats.fetch_add(1, Ordering::Relaxed);
        counts
            .cut
            .fetch_add(u64::from(!is_whole), Ordering::Relaxed);
        round += 1;
    }
}
