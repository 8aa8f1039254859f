//! `bamboocross vm`.

use jsonrpsee::http_client::HttpClientBuilder;
use miette::{IntoDiagnostic, WrapErr, miette};
use platform::VmList;
use wire::agent_control::AgentControlClient;

use crate::CommandResult;

/// What is asked of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmOrder {
    /// Take no new work.
    Stop,
    /// Take new work again.
    Undo,
}

/// Give an order to the agent of a server.
pub async fn give_order(list: &impl VmList, server: &str, order: VmOrder) -> CommandResult {
    let entries = list.list().await.into_diagnostic()?;
    let entry = entries
        .iter()
        .find(|entry| entry.spec.name.as_str() == server)
        .ok_or_else(|| miette!("no server `{server}` in the platform's list"))?;
    let address = entry.spec.addresses.control;
    let client = HttpClientBuilder::default()
        .build(format!("http://{address}"))
        .into_diagnostic()?;
    let report = client
        .drain(order == VmOrder::Stop)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("the agent of {server} at {address} did not answer"))?;
    println!(
        "{}: {}, {} generations and {} calls in flight",
        report.server,
        if report.leaving { "leaving" } else { "serving" },
        report.generations,
        report.calls
    );
    Ok(())
}
