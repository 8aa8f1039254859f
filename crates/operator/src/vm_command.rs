//! `bamboocross vm`.
//!
//! A stop is recorded first and told to the agent then. When the agent cannot
//! be reached, the entries pass the record on to it.

use backing::{HttpPlatform, NoteStore, StopOutcome, StopRecord, StopStore, VmEntry, VmList};
use domain::{
    ServerName,
    vm_membership::{PoolMember, ProposedStop, StopDecision, StopKind, StopOrder},
};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use miette::{IntoDiagnostic, miette};
use telemetry::ExitStatus;
use wire::agent_control::{AgentControlClient, OrderNews, ServerReport, StopNews};

use crate::{CommandFailure, CommandResult};

/// Times that a decision is made anew because another operator was faster.
const DECISION_TRIES: u32 = 5;

/// Time within which an agent answers.
const AGENT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// A stop as the command line asks for it.
#[derive(Clone, Debug)]
pub struct StopRequest {
    /// The server.
    pub server: ServerName,
    /// How long it shall hold.
    pub kind: StopKind,
    /// Whether a pool may be left without servers.
    pub is_forced: bool,
    /// Who asks.
    pub operator: String,
}

/// Record a stop and tell the agent.
pub async fn stop(platform: &HttpPlatform, request: &StopRequest) -> CommandResult {
    let store = StopStore::new(platform.clone());
    let note = NoteStore::new(platform.clone());
    let (ledger, _) = note.read().await.into_diagnostic()?;
    for _ in 0..DECISION_TRIES {
        let record = store.read().await.into_diagnostic()?;
        let list = platform.list().await.into_diagnostic()?;
        let members: Vec<PoolMember> = list.iter().map(|vm| member_of(vm, &record)).collect();
        let wish = ProposedStop {
            server: &request.server,
            kind: request.kind,
            is_forced: request.is_forced,
        };
        let held = record.order_of(request.server.as_str());
        let decision = wish
            .decide(held, &members, ledger.state())
            .map_err(|refusal| conflict(refusal.to_string()))?;
        let entry = find(&list, &request.server)?;
        if decision == StopDecision::AlreadyRecorded {
            println!("{} of {} stands already", request.kind, request.server);
            return tell(entry, &record).await;
        }
        let order = StopOrder {
            server: request.server.clone(),
            kind: request.kind,
            epoch: epoch_of(entry).await,
            operator: request.operator.clone(),
        };
        let id = format!("{}-{}", request.operator, record.version.next());
        match store.stop(&record, &order, &id).await.into_diagnostic()? {
            StopOutcome::Recorded => {
                println!("{} of {} recorded", request.kind, request.server);
                let record = store.read().await.into_diagnostic()?;
                return tell(entry, &record).await;
            }
            StopOutcome::Outrun => {}
        }
    }
    Err(conflict(
        "other operators were faster each time; try again".to_owned(),
    ))
}

/// Remove the stop of a server and tell the agent.
pub async fn undo(platform: &HttpPlatform, server: &ServerName) -> CommandResult {
    let store = StopStore::new(platform.clone());
    for _ in 0..DECISION_TRIES {
        let record = store.read().await.into_diagnostic()?;
        let list = platform.list().await.into_diagnostic()?;
        let entry = find(&list, server)?;
        let Some(held) = record.order_of(server.as_str()) else {
            return Err(conflict(format!("no stop of {server} stands")));
        };
        match store
            .undo(&record, server.as_str())
            .await
            .into_diagnostic()?
        {
            StopOutcome::Recorded => {
                println!("{} of {server} by {} undone", held.kind, held.operator);
                let record = store.read().await.into_diagnostic()?;
                return tell(entry, &record).await;
            }
            StopOutcome::Outrun => {}
        }
    }
    Err(conflict(
        "other operators were faster each time; try again".to_owned(),
    ))
}

fn member_of(vm: &VmEntry, record: &StopRecord) -> PoolMember {
    let is_stopped = record.order_of(vm.spec.name.as_str()).is_some();
    PoolMember {
        server: vm.spec.name.clone(),
        pool: vm.spec.pool.clone(),
        is_serving: !vm.leaving && !is_stopped,
    }
}

fn find<'a>(list: &'a [VmEntry], server: &ServerName) -> miette::Result<&'a VmEntry> {
    let entry = list.iter().find(|entry| entry.spec.name == *server);
    entry.ok_or_else(|| miette!("no server {server} in the platform's list"))
}

fn client(entry: &VmEntry) -> miette::Result<HttpClient> {
    let address = entry.spec.addresses.control;
    HttpClientBuilder::default()
        .request_timeout(AGENT_TIMEOUT)
        .build(format!("http://{address}"))
        .into_diagnostic()
}

async fn epoch_of(entry: &VmEntry) -> Option<u64> {
    let report = client(entry).ok()?.probe().await.ok()?;
    (report.epoch > 0).then_some(report.epoch)
}

async fn tell(entry: &VmEntry, record: &StopRecord) -> CommandResult {
    let server = &entry.spec.name;
    let stop = record.order_of(server.as_str()).map(StopNews::from);
    let news = OrderNews {
        version: record.version.0,
        stop,
    };
    match client(entry)?.heed(news).await {
        Ok(report) => print_report(&report),
        Err(error) => println!("{server} has not heard of it yet ({error}); entries pass it on"),
    }
    Ok(())
}

fn print_report(report: &ServerReport) {
    println!(
        "{}: {}, {} generations and {} calls in flight",
        report.server,
        if report.leaving { "leaving" } else { "serving" },
        report.generations,
        report.calls
    );
}

fn conflict(text: String) -> CommandFailure {
    CommandFailure {
        status: ExitStatus::Conflict,
        report: miette!("{text}"),
    }
}
