//! Callers that send many large bodies and stop short of their ends do not exhaust an entry.

use std::time::Duration;

use futures_util::future::join_all;
use miette::{IntoDiagnostic, Result, miette};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    time::{sleep, timeout},
};
use xtask::{CallerClient, Deployment, DeploymentPlan, deployment::MODEL};

/// Callers at once.
const CROWD: usize = 128;
/// Largest body, in bytes.
const BODY_MAX: usize = 1 << 20;
/// Memory that the entry may take beyond what it had before, in kB: twice the bound on
/// bodies, and the read buffers of the connections.
const GROWTH_MAX_KB: u64 = 64 << 10;

/// Held by the one crowd that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Body that stops one byte short, by an announced length or in chunks.
fn unfinished_body(is_chunked: bool) -> Vec<u8> {
    let length = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {BODY_MAX}")
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nx-team: kivu-shores\r\n{length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    if is_chunked {
        bytes.extend(format!("{BODY_MAX:x}\r\n").bytes());
    }
    bytes.resize(bytes.len() + BODY_MAX - 1, b' ');
    bytes
}

fn memory_kb(deployment: &Deployment) -> Result<u64> {
    let path = format!("/proc/{}/status", deployment.entries[0].pid());
    let status = std::fs::read_to_string(path).into_diagnostic()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    peak.and_then(|peak| peak.trim().parse().ok())
        .ok_or_else(|| miette!("no peak in the process status"))
}

/// An entry kept all bodies that its callers sent, however many; it ran out of memory.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_do_not_exhaust_the_memory(
    #[values(false, true)] is_chunked: bool,
) -> Result<()> {
    let _running = RUNNING.lock().await;
    let deployment = DeploymentPlan::default()
        .engines(1)
        .entry_extra(json!({ "body_max_bytes": BODY_MAX, "bodies_max_bytes": 8 << 20 }))
        .start()
        .await?;
    let before = memory_kb(&deployment)?;
    let address = deployment.entry(0);
    let body = unfinished_body(is_chunked);
    let callers = join_all((0..CROWD).map(async |_| {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The entry may close the connection before it has read all.
        let _ = timeout(Duration::from_secs(5), stream.write_all(&body)).await;
        Some(stream)
    }))
    .await;
    sleep(Duration::from_secs(1)).await;
    let growth = memory_kb(&deployment)?.saturating_sub(before);
    assert!(growth < GROWTH_MAX_KB, "grew by {growth} kB");
    let caller = CallerClient::new("kivu-shores");
    let (request, _) = CallerClient::request(MODEL, 3, "report", 2);
    let outcome = caller.chat(address, &request, None, |_| {}).await;
    assert_eq!(outcome.tokens.len(), 2);
    drop(callers);
    Ok(())
}
