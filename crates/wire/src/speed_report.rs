//! Speeds of servers, as entries tell each other.
//!
//! Clocks of different machines differ, so times travel as ages. The message is sent all
//! the time, so numbers are whole and short. An odd speed is left out; the others hold.

use std::{net::SocketAddr, time::Duration};

use domain::{
    ServiceName,
    kv_placement::{KnownSpeed, RatioEstimate, SPEED_REPORT_MAX, SpeedReport, SpeedSummary},
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Longest name of a service, in bytes.
const NAME_BYTES_MAX: usize = 200;
/// Age from which a speed is too old to be used.
const AGE_MAX: Duration = Duration::from_secs(3_600);
/// Largest logarithm of a ratio, in thousandths.
const MEAN_MAX: i32 = 5_000;
/// Largest variance, in thousandths.
const VARIANCE_MAX: u32 = 10_000;

/// What an entry knows of the speed of servers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct SpeedMessage {
    /// Servers that are not of the usual speed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerSpeedMessage>,
}

/// Speed of the server at an address.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServerSpeedMessage {
    /// Service of the server.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Learned from first events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill: Option<RatioMessage>,
    /// Learned from the times between events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<RatioMessage>,
}

/// Logarithm of the ratio and its variance, both in thousandths, weight in hundredths of
/// an observation, and age in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RatioMessage(pub i32, pub u32, pub u32, pub u64);

impl SpeedMessage {
    /// Encodes speeds as of `now`.
    pub fn encode(report: &SpeedReport, now: Instant) -> Self {
        let encode = |ratio: RatioEstimate| RatioMessage::encode(&ratio, now);
        let servers = report.servers.iter().map(|known| ServerSpeedMessage {
            service: known.service.to_string(),
            address: known.address,
            prefill: known.speed.prefill.map(encode),
            pace: known.speed.pace.map(encode),
        });
        Self {
            servers: servers.collect(),
        }
    }

    /// Decodes what can be used of the speeds, received at `now`.
    pub fn decode(self, now: Instant) -> SpeedReport {
        let servers = self.servers.into_iter().take(SPEED_REPORT_MAX);
        let decode = |ratio: Option<RatioMessage>| ratio?.decode(now);
        SpeedReport {
            servers: servers
                .filter(|server| (1..=NAME_BYTES_MAX).contains(&server.service.len()))
                .map(|server| KnownSpeed {
                    service: ServiceName::from(server.service),
                    address: server.address,
                    speed: SpeedSummary {
                        prefill: decode(server.prefill),
                        pace: decode(server.pace),
                    },
                })
                .collect(),
        }
    }
}

impl RatioMessage {
    fn encode(ratio: &RatioEstimate, now: Instant) -> Self {
        let age = now.saturating_duration_since(ratio.at).as_millis();
        Self(
            (ratio.mean * 1_000.0).round() as i32,
            (ratio.variance * 1_000.0).round() as u32,
            (ratio.weight * 100.0).round() as u32,
            u64::try_from(age).unwrap_or(u64::MAX),
        )
    }

    fn decode(self, now: Instant) -> Option<RatioEstimate> {
        let Self(mean, variance, weight, age_ms) = self;
        let age = Duration::from_millis(age_ms);
        let is_usable = mean.unsigned_abs() <= MEAN_MAX.unsigned_abs()
            && variance <= VARIANCE_MAX
            && age < AGE_MAX;
        if !is_usable {
            return None;
        }
        Some(RatioEstimate {
            mean: mean as f32 / 1_000.0,
            variance: variance as f32 / 1_000.0,
            weight: weight as f32 / 100.0,
            at: now.checked_sub(age)?,
        })
    }
}
