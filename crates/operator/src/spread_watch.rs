//! How many processes have a release note in force.

use std::{net::SocketAddr, time::Duration};

use backing::{HttpPlatform, VmList, known_entries};
use domain::ConfigVersion;
use exchange::{ExchangeCall, ExchangeClient};
use futures_util::{StreamExt, stream};
use miette::{IntoDiagnostic, miette};
use tokio::time::Instant;
use wire::note::{NOTE_PATH, UpdateMessage};

use crate::CommandResult;

/// Processes asked at once.
const ASKED_AT_ONCE: usize = 64;

/// Time within which a process answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// A process that has to take the note in.
#[derive(Clone, Debug)]
struct NoteHolder {
    name: String,
    address: SocketAddr,
}

/// Wait until all processes have a version in force, and name those that have
/// not when the time is up.
pub async fn wait_until_in_force(
    platform: &HttpPlatform,
    version: ConfigVersion,
    patience: Duration,
) -> CommandResult {
    let holders = find_holders(platform).await?;
    let started = Instant::now();
    let mut behind = holders.clone();
    loop {
        behind = still_behind(&behind, version).await;
        let held = holders.len() - behind.len();
        println!(
            "version {version} in force at {held} of {} processes",
            holders.len()
        );
        if behind.is_empty() {
            return Ok(());
        }
        if started.elapsed() >= patience {
            break;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    for holder in &behind {
        println!("not in force at {} ({})", holder.name, holder.address);
    }
    let report = miette!("version {version} is accepted, but not in force everywhere yet");
    Err(report.into())
}

async fn find_holders(platform: &HttpPlatform) -> miette::Result<Vec<NoteHolder>> {
    let entries = known_entries(platform).await.into_diagnostic()?;
    let vms = platform.list().await.into_diagnostic()?;
    let entries = entries.into_iter().map(|address| NoteHolder {
        name: "entry".to_owned(),
        address,
    });
    let agents = vms.into_iter().map(|vm| NoteHolder {
        name: vm.spec.name.to_string(),
        address: vm.spec.addresses.stream,
    });
    Ok(entries.chain(agents).collect())
}

async fn still_behind(holders: &[NoteHolder], version: ConfigVersion) -> Vec<NoteHolder> {
    let exchange = ExchangeClient::unpooled();
    let path = format!("{NOTE_PATH}?after={version}");
    let asked = holders.iter().map(|holder| {
        let call = ExchangeCall::get(holder.address, &path).timeout(ASK_TIMEOUT);
        let exchange = &exchange;
        async move {
            let reply = exchange.send(call).await.ok()?;
            let update: UpdateMessage = reply.json().ok()?;
            (update.version >= version.0).then_some(())
        }
    });
    let held: Vec<Option<()>> = stream::iter(asked).buffered(ASKED_AT_ONCE).collect().await;
    let behind = holders.iter().zip(held).filter(|(_, held)| held.is_none());
    behind.map(|(holder, _)| holder.clone()).collect()
}
