//! Which streams are refused because their prompt would wait too long.
//!
//! Far above the load that the servers can bear, every prompt waits behind others
//! until it is late, and the servers prefill prompts for callers who have given up.
//! That state outlasts its cause. A stream whose first event would be late even at
//! the best of several queried servers is therefore refused before it is sent. Where
//! the requests of a service are ranked, [`crate::urgency`] judges its queue instead.

use std::time::Duration;

use super::{PlacementQuery, server_cost::waiting_ms};
use crate::{server_registry::RegisteredServer, urgency::QueueView};

/// Fewest prompts that wait at a server that counts as overloaded.
const WAITING_MIN: u32 = 2;
/// Least part of the time left that the wait for other prompts takes, in percent. A
/// stream that is late because of its own prompt is not refused.
const WAIT_PERCENT_MIN: u64 = 50;

/// Whether a stream that was not sent anywhere yet would get its first event after
/// `time_left` at a server whose load was reported just now.
pub fn is_hopeless(
    server: &RegisteredServer,
    query: &PlacementQuery<'_>,
    time_left: Duration,
) -> bool {
    let prompt = query.tokens.map_or(0, |tokens| tokens.prompt);
    let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let wait_ms = waiting_ms(server, query);
    waiting(server, query) >= WAITING_MIN
        && wait_ms.saturating_mul(100) > left_ms.saturating_mul(WAIT_PERCENT_MIN)
        && wait_ms + query.rates.prefill_ms(prompt) > left_ms
}

/// Queue of a server whose load was reported just now, as seen by a ranked stream.
pub fn queue_view(server: &RegisteredServer, query: &PlacementQuery<'_>) -> QueueView {
    let usual = query.rates.mean_prompt_tokens;
    let prompt = query.tokens.map_or(0, |tokens| tokens.prompt);
    QueueView {
        waiting: waiting(server, query),
        wait: Duration::from_millis(waiting_ms(server, query)),
        prefill: Duration::from_millis(query.rates.prefill_ms(prompt.min(usual))),
    }
}

fn waiting(server: &RegisteredServer, query: &PlacementQuery<'_>) -> u32 {
    server
        .report(query.now)
        .map_or(0, |(report, _)| report.waiting)
}
