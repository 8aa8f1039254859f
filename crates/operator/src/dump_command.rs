//! `bamboocross dump`.

use std::net::SocketAddr;

use exchange::{ExchangeCall, ExchangeClient};
use miette::{IntoDiagnostic, WrapErr};

use crate::CommandResult;

/// Print the state of the process at `address`.
pub async fn dump(address: SocketAddr) -> CommandResult {
    let call = ExchangeCall::get(address, "/state");
    let reply = ExchangeClient::pooled()
        .send(call)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("no state from {address}"))?;
    let state: serde_json::Value = reply.json().into_diagnostic()?;
    println!("{state:#}");
    Ok(())
}
