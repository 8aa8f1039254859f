//! What requests, tokens, heartbeats, teams and control messages cost.

use std::time::Duration;

use exchange::{ExchangeCall, ExchangeClient};
use futures_util::{StreamExt, stream};
use miette::{IntoDiagnostic, Result, miette};
use serde_json::json;

use crate::{
    CallerClient, ChatEnd, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
    measure::{
        control_site::ControlSite,
        slope_book::{SlopeBook, watch},
    },
};

/// Time that processes have to settle after a change of load.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time that a load is watched for.
const WINDOW: Duration = Duration::from_secs(3);

/// Open generations, by point.
const GENERATIONS: [usize; 4] = [0, 40, 80, 160];

/// Microseconds between two tokens, by point, and the generations then open.
const TOKEN_GAPS_US: [u32; 4] = [500_000, 200_000, 100_000, 50_000];
const TOKEN_GENERATIONS: usize = 60;

/// Generations whose token logs grow, and looks at them.
const LOG_GENERATIONS: usize = 40;
const LOG_GAP_US: u32 = 2_000;
const LOG_TOKENS: u32 = 6_000;
const LOG_POINTS: usize = 5;
const LOG_STEP: Duration = Duration::from_millis(1_500);

/// Requests, by point, and how many at once.
const REQUESTS: [usize; 4] = [100, 200, 400, 800];
const REQUESTS_AT_ONCE: usize = 16;

/// Teams, by point.
const TEAMS: [usize; 4] = [10, 200, 500, 1_000];

/// Looks at the bytes of control calls.
const TELL_POINTS: usize = 5;
const TELL_STEP: Duration = Duration::from_millis(1_500);

/// Gap of an engine that hardly writes, so that heartbeats are all there is.
const SLOW_GAP_US: u32 = 20_000_000;

/// Longest generation that is asked for.
const LONG_TOKENS: u32 = 20_000;

/// Measure all slopes of processes under load.
pub async fn measure(book: &mut SlopeBook) -> Result<()> {
    by_tells(book).await?;
    by_generations(book).await?;
    by_tokens(book).await?;
    by_log(book).await?;
    by_requests(book).await?;
    by_teams(book).await
}

/// One engine and one service.
async fn start_site(token_gap_us: u32) -> Result<ControlSite> {
    let engine = EnginePlan {
        slots: 1_000,
        token_gap_us,
        prefill_us_per_token: 1,
        ..EnginePlan::default()
    };
    ControlSite::start(engine, 1, SETTLE).await
}

/// Bytes of control calls by one entry without callers, and by the holder of
/// the pool's lease, as time goes on.
async fn by_tells(book: &mut SlopeBook) -> Result<()> {
    let site = start_site(SLOW_GAP_US).await?;
    let mut told = Vec::new();
    let mut asked = Vec::new();
    for point in 0..TELL_POINTS {
        let at = point as f64 * TELL_STEP.as_secs_f64();
        let (all, by_entry) = site.control_calls();
        told.push((at, by_entry));
        asked.push((at, all - by_entry));
        tokio::time::sleep(TELL_STEP).await;
    }
    book.enter("entry_tell_bytes_per_second", told);
    // The other calls are those of the pool's holder of the lease.
    book.enter("lease_walk_bytes_per_second", asked);
    Ok(())
}

async fn by_generations(book: &mut SlopeBook) -> Result<()> {
    let mut site = start_site(SLOW_GAP_US).await?;
    let mut entry_resident = Vec::new();
    let mut agent_resident = Vec::new();
    let mut entry_core = Vec::new();
    let mut agent_core = Vec::new();
    let mut bytes = Vec::new();
    for count in GENERATIONS {
        site.open(count, LONG_TOKENS);
        tokio::time::sleep(SETTLE).await;
        let before = site.stream_bytes();
        let spent = watch(&[&site.entry, &site.agents[0]], WINDOW).await?;
        let x = count as f64;
        entry_resident.push((x, spent[0].resident_bytes));
        agent_resident.push((x, spent[1].resident_bytes));
        entry_core.push((x, spent[0].core));
        agent_core.push((x, spent[1].core));
        bytes.push((x, (site.stream_bytes() - before) / WINDOW.as_secs_f64()));
    }
    book.enter("entry_rss_bytes_per_generation", entry_resident);
    book.enter("agent_rss_bytes_per_generation", agent_resident);
    book.enter("entry_silent_core_per_generation", entry_core);
    book.enter("agent_silent_core_per_generation", agent_core);
    book.enter("stream_silent_bps_per_generation", bytes);
    Ok(())
}

async fn by_tokens(book: &mut SlopeBook) -> Result<()> {
    let mut entry_core = Vec::new();
    let mut agent_core = Vec::new();
    let mut bytes = Vec::new();
    for gap in TOKEN_GAPS_US {
        let mut site = start_site(gap).await?;
        site.open(TOKEN_GENERATIONS, LONG_TOKENS);
        tokio::time::sleep(SETTLE).await;
        let (bytes_before, tokens_before) = (site.stream_bytes(), site.received());
        let spent = watch(&[&site.entry, &site.agents[0]], WINDOW).await?;
        let per_second = |count: f64| count / WINDOW.as_secs_f64();
        let x = per_second(site.received() - tokens_before);
        entry_core.push((x, spent[0].core));
        agent_core.push((x, spent[1].core));
        bytes.push((x, per_second(site.stream_bytes() - bytes_before)));
    }
    book.enter("entry_core_seconds_per_token", entry_core);
    book.enter("agent_core_seconds_per_token", agent_core);
    book.enter("stream_bytes_per_token", bytes);
    Ok(())
}

/// Memory against the tokens in the logs of generations that go on.
async fn by_log(book: &mut SlopeBook) -> Result<()> {
    let mut site = start_site(LOG_GAP_US).await?;
    site.open(LOG_GENERATIONS, LOG_TOKENS);
    let mut entry_resident = Vec::new();
    let mut agent_resident = Vec::new();
    for _ in 0..LOG_POINTS {
        tokio::time::sleep(LOG_STEP).await;
        let tokens = site.received();
        entry_resident.push((tokens, site.entry.resident_bytes()?));
        agent_resident.push((tokens, site.agents[0].resident_bytes()?));
    }
    book.enter("entry_rss_bytes_per_log_token", entry_resident);
    book.enter("agent_rss_bytes_per_log_token", agent_resident);
    Ok(())
}

/// Processor time of short chats, keyed calls and probes, and the store's work
/// for calls.
async fn by_requests(book: &mut SlopeBook) -> Result<()> {
    let site = start_site(1_000).await?;
    let mut chat = [Vec::new(), Vec::new()];
    let mut call = [Vec::new(), Vec::new()];
    let mut probe = Vec::new();
    let mut call_writes = Vec::new();
    let mut call_reads = Vec::new();
    for count in REQUESTS {
        let x = count as f64;
        let before = site.spent()?;
        run_chats(&site, count, |_| "kivu-shores".to_owned()).await?;
        let after = site.spent()?;
        chat[0].push((x, after[0] - before[0]));
        chat[1].push((x, after[1] - before[1]));

        let (before, store_before) = (site.spent()?, site.counts().await?);
        run_calls(&site, count).await?;
        // Outcomes are written after the answers.
        tokio::time::sleep(SETTLE).await;
        let (after, store_after) = (site.spent()?, site.counts().await?);
        call[0].push((x, after[0] - before[0]));
        call[1].push((x, after[2] - before[2]));
        let writes = store_after.transactions - store_before.transactions;
        call_writes.push((x, writes as f64));
        let reads = store_after.reads - store_before.reads;
        call_reads.push((x, reads as f64));

        let before = site.spent()?;
        run_probes(&site, count).await?;
        probe.push((x, site.spent()?[1] - before[1]));
    }
    let [entry_chat, agent_chat] = chat;
    let [entry_call, agent_call] = call;
    book.enter("entry_core_seconds_per_chat", entry_chat);
    book.enter("agent_core_seconds_per_chat", agent_chat);
    book.enter("entry_core_seconds_per_call", entry_call);
    book.enter("agent_core_seconds_per_call", agent_call);
    book.enter("agent_core_seconds_per_control_message", probe);
    book.enter("store_writes_per_call", call_writes);
    book.enter("store_reads_per_call", call_reads);
    Ok(())
}

/// Memory of an entry against the teams that it has served.
async fn by_teams(book: &mut SlopeBook) -> Result<()> {
    let site = start_site(1_000).await?;
    let mut resident = Vec::new();
    let mut served = 0;
    // The buffers of the first requests are not the teams'.
    run_chats(&site, TEAMS[2], |_| "team-0".to_owned()).await?;
    for teams in TEAMS {
        run_chats(&site, teams - served, |at| format!("team-{}", served + at)).await?;
        served = teams;
        resident.push((teams as f64, site.entry.resident_bytes()?));
    }
    book.enter("entry_rss_bytes_per_team", resident);
    Ok(())
}

async fn run_chats(
    site: &ControlSite,
    count: usize,
    team_of: impl Fn(usize) -> String,
) -> Result<()> {
    let entry = site.entry_address();
    let chats = (0..count).map(|at| {
        let team = team_of(at);
        async move {
            let (request, _) = CallerClient::request(MODEL, MODEL_VERSION, "Balance?", 1);
            let caller = CallerClient::new(&team);
            caller.chat(entry, &request, None, |_| {}).await.end
        }
    });
    let ends: Vec<ChatEnd> = stream::iter(chats)
        .buffer_unordered(REQUESTS_AT_ONCE)
        .collect()
        .await;
    match ends.iter().find(|end| **end != ChatEnd::Finished) {
        Some(end) => Err(miette!("a chat ended otherwise: {end:?}")),
        None => Ok(()),
    }
}

async fn run_calls(site: &ControlSite, count: usize) -> Result<()> {
    let entry = site.entry_address();
    let calls = (0..count).map(|at| async move {
        let key = format!("order-{count}-{at}");
        let caller = CallerClient::new("kivu-shores");
        let path = "/v1/services/ledger/order";
        caller.call(entry, path, Some(&key), "{}").await
    });
    let replies: Vec<_> = stream::iter(calls)
        .buffer_unordered(REQUESTS_AT_ONCE)
        .collect()
        .await;
    for reply in replies {
        let status = reply?.status;
        if !status.is_success() {
            return Err(miette!("a call was answered with status {status}"));
        }
    }
    Ok(())
}

async fn run_probes(site: &ControlSite, count: usize) -> Result<()> {
    let exchange = ExchangeClient::pooled();
    let agent = site.deployment.sites[0].agent.vm.control;
    let probe = json!({ "jsonrpc": "2.0", "id": 1, "method": "agent_probe", "params": [] });
    for _ in 0..count {
        let call = ExchangeCall::post(agent, "/").json(&probe);
        let reply = exchange.send(call).await.into_diagnostic()?;
        if !reply.status.is_success() {
            return Err(miette!("a probe was answered with status {}", reply.status));
        }
    }
    Ok(())
}
