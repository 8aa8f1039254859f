//! The row with which this entry tells the others that it runs.

use std::{sync::Arc, time::Duration};

use domain::entry_roster::{EntryRecord, EntryRoster, EntryRow};
use platform::store_call::{ENTRY_TABLE, StoreRow, write_body};
use rand::Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};
use wire::entry_peer::EntryMessage;

use super::count;
use crate::{front_state::FrontState, store_client::StoreClient};

/// Time between two announcements of this entry: a third of the time after which
/// it counts as gone.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(20);

/// Announce this entry and count the others, for what all of them share.
pub(super) async fn announce(state: Arc<FrontState>) {
    let mut client = StoreClient::default();
    loop {
        let settings = state.settings.load_full();
        let record = EntryRecord {
            domain: settings.domain.clone(),
            peer_address: settings.peer,
        };
        let value = json!(EntryMessage::from(&record)).to_string();
        let body = write_body(ENTRY_TABLE, &settings.name, value.as_bytes());
        let written = client.write(settings.store, body).await;
        let listed = client.list(settings.store, ENTRY_TABLE).await;
        count(&state, &listed);
        if let Err(failure) = written {
            log::info!(reason:% = failure; "entry not announced");
        }
        let pause = match listed {
            Ok(page) => {
                let mut roster = EntryRoster::clone(&state.roster.load());
                roster.replace(page.rows.iter().map(entry_row), Instant::now());
                state.roster.store(Arc::new(roster));
                ANNOUNCE_PERIOD
            }
            Err(_) => ANNOUNCE_PERIOD / 8,
        };
        let spread = rand::rng().random_range(0.7..1.0);
        sleep(pause.mul_f64(spread)).await;
    }
}

fn entry_row(row: &StoreRow) -> EntryRow<'_> {
    let message = row
        .value
        .as_deref()
        .and_then(|value| serde_json::from_slice::<EntryMessage>(value).ok());
    EntryRow {
        name: &row.key,
        version: row.version.0,
        record: message.map(EntryRecord::from),
    }
}
