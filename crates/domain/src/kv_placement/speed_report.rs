//! What processes tell each other about the speed of servers.
//!
//! Load pattern: many processes send each server so few streams that none of them learns
//! its speed from its own streams alone. A report has only the addresses that differ from
//! the usual, so it is empty where all servers are equally fast. Reports are merged per
//! address, in any order and any number of times; see [`ServerSpeed::merge`].

use std::net::SocketAddr;

use tokio::time::Instant;

use super::{ServerSpeed, SpeedSummary};
use crate::{ServiceName, server_registry::ServerRegistry};

/// Largest number of addresses in a report: more than the servers of a usual site.
pub const SPEED_REPORT_MAX: usize = 256;

/// Speed at one address.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownSpeed {
    /// Service of the server there.
    pub service: ServiceName,
    /// Address of the server.
    pub address: SocketAddr,
    /// What is known.
    pub speed: SpeedSummary,
}

/// Speeds that a process knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpeedReport {
    /// The addresses, each once.
    pub servers: Vec<KnownSpeed>,
}

impl SpeedReport {
    /// Collects the speeds that others should know.
    pub fn collect(registry: &ServerRegistry, now: Instant) -> Self {
        let known = registry.all().filter_map(|server| {
            let record = server.record();
            Some(KnownSpeed {
                service: record.service.clone(),
                address: record.address,
                speed: server.speed().news(now)?,
            })
        });
        Self {
            servers: known.take(SPEED_REPORT_MAX).collect(),
        }
    }

    /// Takes over the speeds at known addresses.
    pub fn merge_into(&self, registry: &ServerRegistry, now: Instant) {
        for known in self.servers.iter().take(SPEED_REPORT_MAX) {
            if let Some(speed) = registry.speed(&known.service, known.address) {
                ServerSpeed::merge(speed, &known.speed, now);
            }
        }
    }
}
