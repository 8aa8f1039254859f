//! Planned stops and whether they may be ordered.

use derive_more::{Display, Error};

use crate::{ModelName, PoolName, ServerName, serving_config::ConfigState};

/// How long a stop holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopKind {
    /// Until the server's VM is replaced or restarted.
    #[display("stop")]
    Stop,
    /// Until it is undone.
    #[display("withdraw")]
    Withdraw,
}

impl StopKind {
    /// Whether a stop of the process that started at `stopped` holds for the
    /// one that started at `epoch`.
    pub fn applies_to(self, stopped: Option<u64>, epoch: u64) -> bool {
        match self {
            Self::Withdraw => true,
            Self::Stop => stopped.is_none_or(|stopped| stopped == epoch),
        }
    }
}

/// A recorded stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The server.
    pub server: ServerName,
    /// How long it holds.
    pub kind: StopKind,
    /// Start of the agent's process that is stopped, if it was known.
    pub epoch: Option<u64>,
    /// Who ordered it.
    pub operator: String,
}

/// A server as it counts for the servers of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolMember {
    /// The server.
    pub server: ServerName,
    /// Its pool.
    pub pool: PoolName,
    /// Whether it takes new work.
    pub is_serving: bool,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug)]
pub struct ProposedStop<'a> {
    /// The server.
    pub server: &'a ServerName,
    /// How long it shall hold.
    pub kind: StopKind,
    /// Whether a pool may be left without servers.
    pub is_forced: bool,
}

/// A stop that may be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopDecision {
    /// Record it.
    Record,
    /// It stands already.
    AlreadyRecorded,
}

/// Why a stop is not recorded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StopError {
    /// No such server.
    #[display("no server {server} in the platform's list")]
    UnknownServer {
        /// The server.
        server: ServerName,
    },
    /// Another order stands.
    #[display("{} of {} by {} stands already", existing.kind, existing.server, existing.operator)]
    ConflictingOrder {
        /// The order.
        existing: StopOrder,
    },
    /// Nobody else serves the pool.
    #[display(
        "no other server of pool {pool} takes new work; {} would be left without",
        owed(models)
    )]
    LastServer {
        /// The pool.
        pool: PoolName,
        /// Models that the pool serves.
        models: Vec<ModelName>,
    },
}

fn owed(models: &[ModelName]) -> String {
    if models.is_empty() {
        return "its services".to_owned();
    }
    let names: Vec<&str> = models.iter().map(ModelName::as_str).collect();
    format!("model {}", names.join(", "))
}

impl ProposedStop<'_> {
    /// Decide against the order that stands, the servers and the note in force.
    pub fn decide(
        &self,
        held: Option<&StopOrder>,
        members: &[PoolMember],
        note: &ConfigState,
    ) -> Result<StopDecision, StopError> {
        match held {
            Some(held) if held.kind == self.kind => return Ok(StopDecision::AlreadyRecorded),
            Some(held) if held.kind == StopKind::Withdraw => {
                return Err(StopError::ConflictingOrder {
                    existing: held.clone(),
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
        let is_covered = members.iter().any(|member| {
            member.pool == own.pool && member.server != own.server && member.is_serving
        });
        if is_covered || self.is_forced {
            return Ok(StopDecision::Record);
        }
        let models = note
            .models()
            .filter(|(_, duty)| duty.pool == own.pool)
            .map(|(model, _)| model.clone());
        Err(StopError::LastServer {
            pool: own.pool.clone(),
            models: models.collect(),
        })
    }
}
