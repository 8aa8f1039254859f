//! Whether a service can take a request now, judged from what its servers announced.

use tokio::time::Instant;

use crate::server_registry::{DomainServers, SendBlock};

/// Outlook for a request that no server took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceOutlook {
    /// At least one server wants requests, or none is known.
    Open,
    /// All servers that stay asked for a pause or are at the rate that they named; the
    /// first one takes requests again at this time.
    Paused(Instant),
    /// All servers are leaving.
    Leaving,
}

impl ServiceOutlook {
    /// Judges the servers of one service.
    pub fn new(domains: &[DomainServers], now: Instant) -> Self {
        let mut first_return: Option<Instant> = None;
        let mut has_servers = false;
        for server in domains.iter().flat_map(|domain| &domain.servers) {
            has_servers = true;
            let end = match server.send_block(now) {
                Some(SendBlock::Leaving) => continue,
                Some(SendBlock::Paused(end) | SendBlock::Limited(end)) => end,
                Some(SendBlock::Superseded) | None => return Self::Open,
            };
            first_return = Some(first_return.map_or(end, |first| first.min(end)));
        }
        match first_return {
            Some(end) => Self::Paused(end),
            None if has_servers => Self::Leaving,
            None => Self::Open,
        }
    }
}
