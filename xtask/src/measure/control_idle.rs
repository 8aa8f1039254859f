//! What processes cost that serve nobody: by servers, note, processes, changes.

use std::{net::SocketAddr, time::Duration};

use miette::Result;
use serde_json::{Value, json};
use stand_ins::PlatformCounts;
use wire::vm::{KindMessage, VmMessage};

use crate::{
    fleet::{AgentHandle, AgentPlan, EnginePlan, EntryPlan, Fleet, ProcessHandle},
    measure::{
        byte_relay::ByteRelay,
        proc_reader::ProcReader,
        slope_book::{ProcessSpend, SlopeBook, watch},
    },
};

/// Time that a fresh process has to settle.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time that a process is watched for.
const WINDOW: Duration = Duration::from_secs(4);

/// Servers that an entry knows, by point.
const SERVERS: [usize; 5] = [4, 350, 700, 1_050, 1_400];

/// Models in force, by point.
const MODELS: [usize; 4] = [6, 100, 300, 600];

/// Processes of a role, by point.
const PROCESSES: [usize; 4] = [2, 4, 8, 16];

/// Release notes published, by point.
const CHANGES: [usize; 4] = [2, 4, 8, 16];

const DOMAINS: [&str; 5] = ["goma-shed", "bukavu-shed", "enugu-a", "enugu-b", "enugu-c"];

/// Measure all slopes of idle processes.
pub async fn measure(book: &mut SlopeBook) -> Result<()> {
    by_servers(book).await?;
    by_note(book).await?;
    by_processes(book).await?;
    by_changes(book).await
}

/// A list of servers, none of which listens.
fn absent_servers(count: usize) -> Vec<VmMessage> {
    (0..count)
        .map(|at| VmMessage {
            name: format!("writer-{at}"),
            pool: "writer-pool".to_owned(),
            domain: DOMAINS[at % DOMAINS.len()].to_owned(),
            kind: KindMessage::Engine,
            stream: SocketAddr::from(([127, 0, 0, 1], 1)),
            control: SocketAddr::from(([127, 0, 0, 1], 2)),
            leaving: false,
        })
        .collect()
}

/// A release note that adds models.
fn note_of(models: std::ops::Range<usize>) -> Value {
    let changes: Vec<Value> = models
        .map(|at| {
            json!({
                "change": "add", "model": format!("writer-model-{at}"), "version": 1,
                "pool": "writer-pool", "window": 32_768,
            })
        })
        .collect();
    json!({ "changes": changes })
}

fn idle_entry(fleet: &mut Fleet, name: String, platform: SocketAddr) -> Result<ProcessHandle> {
    fleet.entry(&EntryPlan {
        name,
        domain: DOMAINS[0].to_owned(),
        // The interval of the settings page, not the shorter one of the tests.
        extra: json!({ "refresh_ms": 1000, "platform": platform.to_string() }),
    })
}

/// What an entry without callers spends.
struct EntrySpend {
    /// Bytes until it knew all servers and the note.
    start_bytes: f64,
    /// Bytes a second from then on, with the platform.
    bps: f64,
    /// What the process spends.
    process: ProcessSpend,
}

/// Start an entry, let it settle and watch it.
async fn watch_entry(fleet: &mut Fleet, name: String, servers: usize) -> Result<EntrySpend> {
    let relay: ByteRelay = ByteRelay::start(fleet.platform()).await?;
    let entry = idle_entry(fleet, name, relay.address)?;
    fleet.wait_until_ready(entry.address, servers).await?;
    let start_bytes = relay.bytes();
    tokio::time::sleep(SETTLE).await;
    let before = relay.bytes();
    let spent = watch(&[&ProcReader::new(entry.pid())], WINDOW).await?;
    Ok(EntrySpend {
        start_bytes,
        bps: (relay.bytes() - before) / WINDOW.as_secs_f64(),
        process: spent[0],
    })
}

async fn by_servers(book: &mut SlopeBook) -> Result<()> {
    let mut fleet = Fleet::start(&["--vm-lag-ms", "0"])?;
    fleet.publish(&note_of(0..6))?;
    let mut resident = Vec::new();
    let mut core = Vec::new();
    let mut list_bytes = Vec::new();
    let mut bps = Vec::new();
    for servers in SERVERS {
        fleet.set_vms(&absent_servers(servers)).await?;
        let name = format!("entry-servers-{servers}");
        let spent = watch_entry(&mut fleet, name, servers).await?;
        let x = servers as f64;
        resident.push((x, spent.process.resident_bytes));
        core.push((x, spent.process.core));
        list_bytes.push((x, spent.start_bytes));
        bps.push((x, spent.bps));
    }
    book.enter("entry_rss_bytes_per_server", resident);
    book.enter("entry_idle_core_per_server", core);
    book.enter("entry_list_bytes_per_server", list_bytes);
    book.enter("entry_platform_bps_per_server", bps);
    Ok(())
}

async fn by_note(book: &mut SlopeBook) -> Result<()> {
    let mut fleet = Fleet::start(&["--vm-lag-ms", "0"])?;
    fleet.set_vms(&absent_servers(4)).await?;
    let mut published = 0;
    let mut resident = Vec::new();
    let mut start_bytes = Vec::new();
    let mut bps = Vec::new();
    for models in MODELS {
        fleet.publish(&note_of(published..models))?;
        published = models;
        let spent = watch_entry(&mut fleet, format!("entry-models-{models}"), 4).await?;
        let x = models as f64;
        resident.push((x, spent.process.resident_bytes));
        start_bytes.push((x, spent.start_bytes));
        bps.push((x, spent.bps));
    }
    book.enter("entry_rss_bytes_per_model", resident);
    book.enter("entry_start_bytes_per_model", start_bytes);
    book.enter("entry_platform_bps_per_model", bps);
    Ok(())
}

async fn counts(fleet: &Fleet) -> Result<PlatformCounts> {
    fleet.read(fleet.platform(), "/control").await
}

/// Platform's work over a window, per second.
struct StoreRates {
    reads: f64,
    lists: f64,
    writes: f64,
}

async fn store_rates(fleet: &Fleet) -> Result<StoreRates> {
    let before = counts(fleet).await?;
    tokio::time::sleep(WINDOW).await;
    let after = counts(fleet).await?;
    let rate = |before: u64, after: u64| (after - before) as f64 / WINDOW.as_secs_f64();
    Ok(StoreRates {
        reads: rate(before.reads, after.reads),
        lists: rate(before.vm_lists, after.vm_lists),
        writes: rate(before.transactions, after.transactions),
    })
}

async fn by_processes(book: &mut SlopeBook) -> Result<()> {
    by_agents(book).await?;
    let mut fleet = Fleet::start(&["--vm-lag-ms", "0"])?;
    fleet.publish(&note_of(0..6))?;
    let platform = fleet.platform();
    let mut entries = Vec::new();
    let mut reads = Vec::new();
    let mut lists = Vec::new();
    let mut writes = Vec::new();
    for count in PROCESSES {
        while entries.len() < count {
            let name = format!("entry-{}", entries.len());
            entries.push(idle_entry(&mut fleet, name, platform)?);
        }
        tokio::time::sleep(SETTLE).await;
        let rates = store_rates(&fleet).await?;
        reads.push((count as f64, rates.reads));
        lists.push((count as f64, rates.lists));
        writes.push((count as f64, rates.writes));
    }
    book.enter("store_reads_per_entry", reads);
    book.enter("vm_lists_per_entry", lists);
    book.enter("store_writes_per_entry", writes);
    Ok(())
}

async fn by_agents(book: &mut SlopeBook) -> Result<()> {
    let mut fleet = Fleet::start(&["--vm-lag-ms", "0"])?;
    let engine = fleet.engine(&EnginePlan::default())?;
    let relay: ByteRelay = ByteRelay::start(fleet.platform()).await?;
    let mut agents: Vec<AgentHandle> = Vec::new();
    let mut resident = Vec::new();
    let mut core = Vec::new();
    let mut bytes = Vec::new();
    let mut reads = Vec::new();
    let mut writes = Vec::new();
    for count in PROCESSES {
        while agents.len() < count {
            agents.push(fleet.agent(&AgentPlan {
                server: format!("writer-{}", agents.len()),
                pool: "writer-pool".to_owned(),
                domain: DOMAINS[0].to_owned(),
                kind: KindMessage::Engine,
                target: engine.address,
                extra: json!({ "platform": relay.address.to_string() }),
            })?);
        }
        tokio::time::sleep(SETTLE).await;
        let readers: Vec<ProcReader> = agents
            .iter()
            .map(|agent| ProcReader::new(agent.process.pid()))
            .collect();
        let readers: Vec<&ProcReader> = readers.iter().collect();
        let before = relay.bytes();
        let (spent, rates) = tokio::join!(watch(&readers, WINDOW), store_rates(&fleet));
        let (spent, rates) = (spent?, rates?);
        let x = count as f64;
        resident.push((x, spent.iter().map(|spend| spend.resident_bytes).sum()));
        core.push((x, spent.iter().map(|spend| spend.core).sum()));
        bytes.push((x, (relay.bytes() - before) / WINDOW.as_secs_f64()));
        reads.push((x, rates.reads));
        writes.push((x, rates.writes));
    }
    book.enter("agent_rss_bytes_per_process", resident);
    book.enter("agent_idle_core_per_process", core);
    book.enter("agent_platform_bps_per_process", bytes);
    book.enter("store_reads_per_agent", reads);
    book.enter("store_writes_per_agent", writes);
    Ok(())
}

/// Reads and writes of the store for a release note, by the operators' client.
async fn by_changes(book: &mut SlopeBook) -> Result<()> {
    let fleet = Fleet::start(&["--vm-lag-ms", "0"])?;
    let mut published = 0;
    let mut reads = Vec::new();
    let mut writes = Vec::new();
    for changes in CHANGES {
        let before = counts(&fleet).await?;
        for _ in 0..changes {
            fleet.publish(&note_of(published..published + 1))?;
            published += 1;
        }
        let after = counts(&fleet).await?;
        reads.push((changes as f64, (after.reads - before.reads) as f64));
        writes.push((
            changes as f64,
            (after.transactions - before.transactions) as f64,
        ));
    }
    book.enter("store_reads_per_change", reads);
    book.enter("store_writes_per_change", writes);
    Ok(())
}
