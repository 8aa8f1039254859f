//! `bamboocross status`.
//!
//! The platform says which servers there are, each process says how it is, and
//! the table says which calls are not settled. A process that does not answer
//! is shown as silent; only a platform that does not answer is a failure.

use std::{net::SocketAddr, time::Duration};

use domain::{
    release_note::NoteState,
    service_call::{CallRecord, CallState},
};
use exchange::{ExchangeCall, HttpExchange};
use futures_util::{StreamExt, stream};
use miette::{IntoDiagnostic, WrapErr};
use platform::{StoreError, TableRow, TableStore, VmList};
use serde_json::Value;
use wire::{
    note::{HEAD_KEY, StateMessage},
    service_call::RecordMessage,
};

use crate::{
    CommandResult,
    deployment_report::{DeploymentReport, ProcessView, UnsettledCall},
};

/// Prefix of the rows that hold records of calls.
const CALL_PREFIX: &str = "call/";

/// Rows of one scan.
const SCAN_ROWS: usize = 500;

/// Records of calls that are read at most.
const RECORDS_MAX: usize = 20_000;

/// Processes that are asked at once.
const ASKED_MAX: usize = 64;

/// Time within which a process must show its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Show the whole deployment.
pub async fn show<P: TableStore + VmList>(
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

async fn gather<P: TableStore + VmList>(
    platform: &P,
    entries: &[SocketAddr],
) -> miette::Result<DeploymentReport> {
    let vms = platform.list().await.into_diagnostic()?;
    let note = read_note(platform).await?;
    let (calls, is_calls_cut) = unsettled_calls(platform).await.into_diagnostic()?;
    let servers = ask_all(vms, |vm| vm.spec.addresses.stream).await;
    let entries = ask_all(entries.to_vec(), |address| *address).await;
    Ok(DeploymentReport {
        note,
        entries,
        servers,
        calls,
        is_calls_cut,
    })
}

async fn read_note(table: &impl TableStore) -> miette::Result<NoteState> {
    let rows = table.read(&[HEAD_KEY]).await.into_diagnostic()?;
    let Some(row) = rows.first() else {
        return Ok(NoteState::default());
    };
    let message: StateMessage = serde_json::from_str(&row.value).into_diagnostic()?;
    Ok(message.into())
}

async fn ask_all<T>(
    processes: Vec<T>,
    address_of: impl Fn(&T) -> SocketAddr,
) -> Vec<ProcessView<T>> {
    let exchange = HttpExchange::fresh();
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

async fn read_state(exchange: &HttpExchange, address: SocketAddr) -> Option<Value> {
    let call = ExchangeCall::get(address, "/state").timeout(STATE_TIMEOUT);
    let reply = exchange.send(call).await.ok()?;
    reply.json().ok()
}

/// Unsettled calls, and whether there are more records than were read.
async fn unsettled_calls(
    table: &impl TableStore,
) -> Result<(Vec<UnsettledCall>, bool), StoreError> {
    let mut calls = Vec::new();
    let mut after = String::new();
    let mut read = 0;
    while read < RECORDS_MAX {
        let rows = table.scan(CALL_PREFIX, &after, SCAN_ROWS).await?;
        calls.extend(rows.iter().filter_map(unsettled));
        read += rows.len();
        match rows.last() {
            Some(row) if rows.len() == SCAN_ROWS => after.clone_from(&row.key),
            _ => return Ok((calls, false)),
        }
    }
    Ok((calls, true))
}

fn unsettled(row: &TableRow) -> Option<UnsettledCall> {
    let message = serde_json::from_str::<RecordMessage>(&row.value).ok();
    let record = message.and_then(|message| CallRecord::try_from(message).ok());
    let request = row.key.trim_start_matches(CALL_PREFIX).to_owned();
    let Some(record) = record else {
        return Some(UnsettledCall {
            request,
            server: "none".to_owned(),
            state: "unreadable",
        });
    };
    let state = match record.state {
        CallState::Intended => "in flight",
        CallState::Unknown => "unknown",
        CallState::Ran { .. } | CallState::NotRun => return None,
    };
    Some(UnsettledCall {
        request,
        server: record.owner.server.as_str().to_owned(),
        state,
    })
}
