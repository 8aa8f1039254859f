//! `cargo xtask demo`: one long report through the death of its engine, and one
//! order.

use miette::{Result, miette};
use serde_json::json;
use stand_ins::ServiceCounts;
use tokio::sync::mpsc;
use wire::vm::KindMessage;

use crate::{
    caller::{CallerClient, ChatEnd},
    fleet::{AgentHandle, AgentPlan, EnginePlan, EntryPlan, Fleet, ProcessHandle},
};

/// Tokens of the report.
const REPORT_TOKENS: u32 = 400;

/// Token after which the engine is killed.
const KILL_AFTER: usize = 120;

const DOMAINS: [&str; 3] = ["goma-shed", "bukavu-shed", "gisenyi-shed"];

/// Run the demo and return its last line.
pub async fn run() -> Result<String> {
    let mut fleet = Fleet::start(&[])?;
    println!("platform listens on {}", fleet.platform());
    let mut engines: Vec<(ProcessHandle, AgentHandle)> = Vec::new();
    for domain in DOMAINS {
        let engine = fleet.engine(&EnginePlan::default())?;
        let agent = fleet.agent(&AgentPlan {
            server: format!("writer-{domain}"),
            pool: "writer-pool".to_owned(),
            domain: domain.to_owned(),
            kind: KindMessage::Engine,
            target: engine.address,
            extra: json!({}),
        })?;
        println!("engine and agent {} in {domain}", agent.vm.name);
        engines.push((engine, agent));
    }
    let service = fleet.service()?;
    let ledger = fleet.agent(&AgentPlan {
        server: "ledger-1".to_owned(),
        pool: "ledger-app".to_owned(),
        domain: DOMAINS[0].to_owned(),
        kind: KindMessage::Service,
        target: service.address,
        extra: json!({ "journal": "by_key" }),
    })?;
    println!("service and agent {}", ledger.vm.name);
    let mut vms: Vec<_> = engines.iter().map(|(_, agent)| agent.vm.clone()).collect();
    vms.push(ledger.vm.clone());
    fleet.set_vms(&vms).await?;
    let accepted = fleet.publish(&json!({ "changes": [{
        "change": "add", "model": "plantain-writer", "version": 3,
        "pool": "writer-pool", "window": 32_768
    }] }))?;
    println!("release note: {}", accepted.trim());
    let services = json!([{
        "service": "ledger", "pool": "ledger-app", "repeatable": ["stock"]
    }]);
    let mut entries = Vec::new();
    for domain in &DOMAINS[..2] {
        entries.push(fleet.entry(&EntryPlan {
            name: format!("entry-{domain}"),
            domain: (*domain).to_owned(),
            extra: json!({ "services": services }),
        })?);
    }
    for entry in &entries {
        fleet.wait_until_ready(entry.address, vms.len()).await?;
        println!("{} listens on {}", entry.name, entry.address);
    }

    let caller = CallerClient::new("kivu-shores");
    let (request, seed) = CallerClient::request(
        "plantain-writer",
        3,
        "Summarise this week's frying logs.",
        REPORT_TOKENS,
    );
    let (reached, mut kill_now) = mpsc::unbounded_channel();
    let report = caller.chat(entries[0].address, &request, None, |count| {
        if count == KILL_AFTER {
            let _ = reached.send(());
        }
    });
    let kill = async {
        kill_now.recv().await;
        kill_busy_engine(&fleet, &mut engines).await
    };
    let (report, killed) = tokio::join!(report, kill);
    println!("killed the engine of {} under the report", killed?);
    let longest = report
        .times
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or_default();
    println!(
        "the report ended: {:?}; longest wait between tokens {} ms",
        report.end,
        longest.as_millis()
    );

    let order = caller
        .call(
            entries[1].address,
            "/v1/services/ledger/order",
            Some("order-1"),
            r#"{"oil_litres": 20}"#,
        )
        .await?;
    println!("the order was answered with status {}", order.status);
    let repeated = caller
        .call(
            entries[0].address,
            "/v1/services/ledger/order",
            Some("order-1"),
            r#"{"oil_litres": 20}"#,
        )
        .await?;
    println!(
        "the same order through the other entry was answered with status {}",
        repeated.status
    );
    let counts: ServiceCounts = fleet.read(service.address, "/control").await?;
    let bookings: u64 = counts.runs.values().sum();
    let faults = report.faults(seed, REPORT_TOKENS);
    let line = format!(
        "demo tokens={} expected={REPORT_TOKENS} missing={} repeated={} bookings={bookings}",
        report.tokens.len(),
        faults.missing,
        faults.repeated + faults.foreign,
    );
    println!("{line}");
    let is_whole = report.end == ChatEnd::Finished && faults == Default::default();
    if !is_whole || bookings != 1 || !order.status.is_success() || order.body != repeated.body {
        return Err(miette!("the demo did not come out as owed"));
    }
    Ok(line)
}

/// Kill the engine that produces the report.
async fn kill_busy_engine(
    fleet: &Fleet,
    engines: &mut [(ProcessHandle, AgentHandle)],
) -> Result<String> {
    for (engine, agent) in engines {
        let state: serde_json::Value = fleet.read(agent.vm.stream, "/state").await?;
        let is_busy = state["generations"]
            .as_array()
            .is_some_and(|generations| !generations.is_empty());
        if is_busy {
            engine.kill();
            return Ok(agent.vm.name.clone());
        }
    }
    Err(miette!("no engine produces the report"))
}
