//! `bamboocross status`.
//!
//! The platform says which servers there are, each process says how it is, and
//! the table says which calls are not settled. A process that does not answer
//! is shown as silent; only a platform that does not answer is a failure.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use backing::{NoteStore, ObjectStore, StoreError, TableRow, TableStore, VmList, known_entries};
use domain::serving_config::ConfigState;
use exchange::{ExchangeCall, ExchangeClient};
use futures_util::{StreamExt, stream};
use miette::{IntoDiagnostic, WrapErr};
use serde_json::Value;
use wire::service_call::{OpenMessage, all_open_rows, listed_request, open_server, unknown_rows};

use crate::{
    CommandResult,
    deployment_report::{DeploymentReport, ProcessView, UnsettledCall},
};

/// Shown when no row tells which server has a call.
const NO_SERVER: &str = "none";

/// Rows of one scan.
const SCAN_ROWS: usize = 500;

/// Rows of one prefix that are read at most.
const RECORDS_MAX: usize = 20_000;

/// Processes that are asked at once.
const ASKED_MAX: usize = 64;

/// Time within which a process must show its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Show the whole deployment; `entries` are asked beside those announced.
pub async fn show<P: TableStore + ObjectStore + VmList>(
    platform: &P,
    entries: &[SocketAddr],
    is_json: bool,
) -> CommandResult {
    let report = gather(platform, entries)
        .await
        .wrap_err("the platform's service does not answer")?;
    if is_json {
        println!("{:#}", report.to_json());
    } else {
        println!("{report}");
    }
    Ok(())
}

async fn gather<P: TableStore + ObjectStore + VmList>(
    platform: &P,
    entries: &[SocketAddr],
) -> miette::Result<DeploymentReport> {
    let vms = platform.list().await.into_diagnostic()?;
    let notes = NoteStore::new(platform.clone());
    let (ledger, _) = notes.read().await.into_diagnostic()?;
    let entries = all_entries(platform, entries).await.into_diagnostic()?;
    let (calls, is_calls_cut) = unsettled_calls(platform).await.into_diagnostic()?;
    let servers = ask_all(vms, |vm| vm.spec.addresses.stream).await;
    let entries = ask_all(entries, |address| *address).await;
    Ok(DeploymentReport {
        note: ConfigState::clone(ledger.state()),
        entries,
        servers,
        calls,
        is_calls_cut,
    })
}

/// Entries that were named and those that announce themselves in the table.
async fn all_entries(
    table: &impl TableStore,
    named: &[SocketAddr],
) -> Result<Vec<SocketAddr>, StoreError> {
    let mut entries = known_entries(table).await?;
    entries.extend_from_slice(named);
    entries.sort_unstable();
    entries.dedup();
    Ok(entries)
}

async fn ask_all<T>(
    processes: Vec<T>,
    address_of: impl Fn(&T) -> SocketAddr,
) -> Vec<ProcessView<T>> {
    let exchange = ExchangeClient::unpooled();
    let views = processes.into_iter().map(|process| {
        let address = address_of(&process);
        let exchange = &exchange;
        async move {
            let state = read_state(exchange, address).await;
            ProcessView { process, state }
        }
    });
    stream::iter(views).buffered(ASKED_MAX).collect().await
}

async fn read_state(exchange: &ExchangeClient, address: SocketAddr) -> Option<Value> {
    let call = ExchangeCall::get(address, "/state").timeout(STATE_TIMEOUT);
    let reply = exchange.send(call).await.ok()?;
    reply.json().ok()
}

/// Unsettled calls, and whether there are more than were read.
///
/// The rows that list open and unknown calls are read, not the records of all
/// calls; a call that stands in both is of unknown outcome.
async fn unsettled_calls(
    table: &impl TableStore,
) -> Result<(Vec<UnsettledCall>, bool), StoreError> {
    let (open, is_open_cut) = scan_all(table, all_open_rows()).await?;
    let (unknown, is_unknown_cut) = scan_all(table, &unknown_rows(None)).await?;
    let mut calls: BTreeMap<String, UnsettledCall> = BTreeMap::new();
    for row in &open {
        let server = open_server(&row.key).unwrap_or(NO_SERVER);
        if let Ok(message) = serde_json::from_str::<OpenMessage>(&row.value) {
            let call = UnsettledCall {
                request: message.request.clone(),
                server: server.to_owned(),
                state: "in flight",
            };
            calls.insert(message.request, call);
        }
    }
    for request in unknown.iter().filter_map(|row| listed_request(&row.key)) {
        let call = calls
            .entry(request.to_owned())
            .or_insert_with(|| UnsettledCall {
                request: request.to_owned(),
                server: NO_SERVER.to_owned(),
                state: "unknown",
            });
        call.state = "unknown";
    }
    Ok((calls.into_values().collect(), is_open_cut || is_unknown_cut))
}

/// Rows under a prefix, and whether there are more than were read.
async fn scan_all(
    table: &impl TableStore,
    prefix: &str,
) -> Result<(Vec<TableRow>, bool), StoreError> {
    let mut all: Vec<TableRow> = Vec::new();
    while all.len() < RECORDS_MAX {
        let after = all.last().map_or("", |row| row.key.as_str());
        let rows = table.scan(prefix, after, SCAN_ROWS).await?;
        let is_last = rows.len() < SCAN_ROWS;
        all.extend(rows);
        if is_last {
            return Ok((all, false));
        }
    }
    Ok((all, true))
}
