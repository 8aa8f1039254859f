//! Stop orders for servers and the decision whether one may be recorded.

use derive_more::{Display, Error};

use crate::{ModelName, PoolName, ServerName, serving_config::ConfigState};

/// How long a stop remains in effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopKind {
    /// Until the VM of the server is replaced or restarted.
    #[display("stop")]
    Stop,
    /// Until an operator undoes it.
    #[display("withdraw")]
    Withdraw,
}

impl StopKind {
    /// Returns whether a stop order applies to the agent process with epoch
    /// `epoch`. `stopped` is the epoch in the order; `None` matches every process.
    pub fn applies_to(self, stopped: Option<u64>, epoch: u64) -> bool {
        match self {
            Self::Withdraw => true,
            Self::Stop => stopped.is_none_or(|stopped| stopped == epoch),
        }
    }
}

/// A recorded stop of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Server to stop.
    pub server: ServerName,
    /// How long the stop remains in effect.
    pub kind: StopKind,
    /// Epoch (start time in Unix milliseconds) of the agent process to stop; `None`
    /// if it was unknown.
    pub epoch: Option<u64>,
    /// Operator who ordered the stop.
    pub operator: String,
}

/// A server and its pool, as input to the decision on a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolMember {
    /// Name of the server.
    pub server: ServerName,
    /// Pool of the server.
    pub pool: PoolName,
    /// Whether the server accepts new work.
    pub is_serving: bool,
}

/// A stop order that an operator proposes, before the decision to record it.
#[derive(Clone, Copy, Debug)]
pub struct ProposedStop<'a> {
    /// Server to stop.
    pub server: &'a ServerName,
    /// How long the stop should remain in effect.
    pub kind: StopKind,
    /// Whether the stop is allowed even if no server of the pool remains.
    pub is_forced: bool,
}

/// Result for a proposed stop that is not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopDecision {
    /// The stop may be recorded.
    Record,
    /// The same stop is already recorded.
    AlreadyRecorded,
}

/// Why a stop is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StopError {
    /// The platform lists no such server.
    #[display("no server {server} in the platform's list")]
    UnknownServer {
        /// Name of the unknown server.
        server: ServerName,
    },
    /// A withdrawal of the server is already recorded, which a stop must not
    /// replace. The reverse is allowed: a withdrawal replaces a recorded stop.
    #[display("{} of {} by {} is already recorded", existing.kind, existing.server, existing.operator)]
    ConflictingOrder {
        /// The recorded stop.
        existing: StopOrder,
    },
    /// No other server of the pool accepts new work.
    #[display(
        "pool {pool} has no other server that accepts new work; {} would be left without a server",
        affected(models)
    )]
    LastServer {
        /// Pool of the server.
        pool: PoolName,
        /// Models served by the pool.
        models: Vec<ModelName>,
    },
}

fn affected(models: &[ModelName]) -> String {
    if models.is_empty() {
        return "its services".to_owned();
    }
    let names: Vec<&str> = models.iter().map(ModelName::as_str).collect();
    format!("model {}", names.join(", "))
}

impl ProposedStop<'_> {
    /// Decides on the proposed stop, given the recorded stop of the server, the servers
    /// of all pools and the serving configuration.
    pub fn decide(
        &self,
        existing: Option<&StopOrder>,
        members: &[PoolMember],
        config: &ConfigState,
    ) -> Result<StopDecision, StopError> {
        match existing {
            Some(order) if order.kind == self.kind => return Ok(StopDecision::AlreadyRecorded),
            Some(order) if order.kind == StopKind::Withdraw => {
                return Err(StopError::ConflictingOrder {
                    existing: order.clone(),
                });
            }
            _ => {}
        }
        let own = members.iter().find(|member| member.server == *self.server);
        let Some(own) = own else {
            return Err(StopError::UnknownServer {
                server: self.server.clone(),
            });
        };
        let is_other_serving = members.iter().any(|member| {
            member.pool == own.pool && member.server != own.server && member.is_serving
        });
        if is_other_serving || self.is_forced {
            return Ok(StopDecision::Record);
        }
        let models = config
            .models()
            .filter(|(_, spec)| spec.pool == own.pool)
            .map(|(model, _)| model.clone());
        Err(StopError::LastServer {
            pool: own.pool.clone(),
            models: models.collect(),
        })
    }
}
