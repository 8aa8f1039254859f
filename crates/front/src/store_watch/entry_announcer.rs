//! Periodic announcement of this entry in the store.

use std::{sync::Arc, time::Duration};

use domain::entry_roster::{EntryRecord, EntryRoster, EntryRow};
use platform::store_call::{ENTRY_TABLE, StoreRow, write_body};
use rand::Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};
use wire::entry_peer::EntryMessage;

use super::{count_odd_rows, count_store_call, retry_delay};
use crate::{
    front_state::{ENTRY_LIFETIME, FrontState},
    store_client::StoreClient,
};

/// Longest time between two announcements, which jitter shortens: a third of
/// [`ENTRY_LIFETIME`](crate::front_state::ENTRY_LIFETIME).
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(30);
/// Time after its start, or after a return of the store, in which an entry lists the
/// others again. Entries that announced themselves for the same reason have done so by then.
const FIRST_PERIOD: Duration = Duration::from_secs(3);
/// Time over which the entries spread their announcements after the store came back from
/// an older copy: 185 writes a second for 370 entries.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Announces this entry and lists the others, whose number determines each entry's
/// share of common budgets. A store that comes back from an older copy may have lost the
/// announcement, so it is repeated then.
pub(super) async fn announce(state: Arc<FrontState>) {
    let mut client = StoreClient::default();
    let mut is_first = true;
    // Before this entry announces itself, its row can only be a predecessor's.
    let mut failures = 0;
    while !list_entries(&state, &mut client).await {
        failures += 1;
        sleep(retry_delay(failures)).await;
    }
    loop {
        let era = state.era();
        let settings = state.settings.load_full();
        let record = EntryRecord {
            domain: settings.domain.clone(),
            peer_address: settings.peer,
        };
        let value = json!(EntryMessage::from(&record)).to_string();
        let body = write_body(ENTRY_TABLE, &settings.name, value.as_bytes());
        if let Err(error) = client.write(&state, body).await {
            log::info!(reason:% = error; "could not announce this entry");
        }
        let mut is_listed = list_entries(&state, &mut client).await;
        if std::mem::take(&mut is_first) {
            sleep(jitter(FIRST_PERIOD)).await;
            is_listed = list_entries(&state, &mut client).await;
        }
        // Budgets depend on the number of entries, so a failed listing is retried
        // sooner.
        let period = if is_listed {
            ANNOUNCE_PERIOD
        } else {
            ANNOUNCE_PERIOD / 8
        };
        let return_delay = RETURN_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::select! {
            () = sleep(jitter(period)) => {}
            () = state.era_after(era) => {
                sleep(return_delay).await;
                is_first = true;
            }
        }
    }
}

fn jitter(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.7..1.0))
}

/// Lists the announcements of all entries. Returns whether the store answered.
async fn list_entries(state: &FrontState, client: &mut StoreClient) -> bool {
    let listed = client.list(state, ENTRY_TABLE).await;
    count_store_call(state, &listed);
    let Ok(page) = listed else {
        return false;
    };
    let rows: Vec<EntryRow<'_>> = page.rows.iter().map(entry_row).collect();
    let odd = rows.iter().filter(|row| row.record.is_none()).count();
    if odd > 0 {
        count_odd_rows(state, ENTRY_TABLE, odd);
        log::warn!(table = ENTRY_TABLE, rows = odd; "rows cannot be decoded");
    }
    let mut roster = EntryRoster::clone(&state.roster.load());
    let was_listed = roster.is_listed();
    roster.begin_era(page.position.era, Instant::now());
    roster.replace(rows.into_iter(), Instant::now());
    if !was_listed && roster.has_row(&state.settings.load().name) {
        state.retries.slack().note_predecessor();
    }
    let entries = roster.count(ENTRY_LIFETIME, Instant::now());
    state.roster.store(Arc::new(roster));
    state.retries.slack().set_listed(entries);
    state.mark_roster_listed();
    true
}

fn entry_row(row: &StoreRow) -> EntryRow<'_> {
    let message = row
        .value
        .as_deref()
        .and_then(|value| serde_json::from_slice::<EntryMessage>(value).ok());
    EntryRow {
        name: &row.key,
        version: row.version.version,
        record: message.map(EntryRecord::from),
    }
}
