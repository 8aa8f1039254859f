//! Names and numbers that the aggregates share.
//!
//! Every name is a type of its own, so that a team cannot be passed where a
//! server is meant. Names are reference counted because a request path stores
//! the same few names many times.

use std::{borrow::Borrow, str::FromStr, sync::Arc};

use derive_more::{Display, From, Into};
use sha2::{Digest, Sha256};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

name_types! {
    /// Customer whose requests share a budget.
    TeamName;
    /// Model family, without its version.
    ModelName;
    /// Fine-tuned adapter loaded on top of a model.
    AdapterName;
    /// Backend server, unique in the deployment.
    ServerName;
    /// Group of backend servers with the same duty.
    PoolName;
    /// Failure domain.
    FailureDomain;
    /// Plain service behind the system.
    ServiceName;
    /// Idempotency key chosen by the caller, scoped by team.
    IdempotencyKey;
    /// Identity of one attempt of a caller, chosen by the caller.
    RequestId;
    /// Last part of a prompt, which belongs to one request or session.
    PromptPart;
    /// Identity of a release note.
    ChangesetId;
}

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

number_types! {
    /// Attempt at one generation; a later attempt supersedes all earlier ones.
    AttemptNumber(u32);
    /// Index of a token after the prompt.
    TokenPosition(u32);
    /// Fencing number of a lease; rises with every new holder.
    FencingNumber(u64);
    /// Version of the release note in force.
    ConfigVersion(u64);
    /// Version of the recorded orders to stop servers.
    StopVersion(u64);
    /// Version of a model or adapter.
    ModelVersion(u32);
}

impl TokenPosition {
    /// The position as an index into a token log.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Generation identity, drawn at random by the entry that admitted it or
/// derived from the caller's key.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:032x}")]
pub struct GenerationId(pub u128);

impl GenerationId {
    /// Identity of the generation that a team's key names.
    pub fn from_key(team: &str, key: &str) -> Self {
        Self(BodyDigest::of(team, key.as_bytes()).to_u128())
    }
}

/// Text that is not a generation identity.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("not a generation identity: 32 hexadecimal digits expected")]
pub struct GenerationIdError;

impl FromStr for GenerationId {
    type Err = GenerationIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(GenerationIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| GenerationIdError)
    }
}

/// Digest that binds a request key to one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BodyDigest([u8; 16]);

impl BodyDigest {
    /// Digest of an operation's name and body.
    pub fn of(operation: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(operation.as_bytes());
        hasher.update([0]);
        hasher.update(body);
        let full = hasher.finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&full[..16]);
        Self(digest)
    }

    /// The digest as one number, for display and storage.
    pub const fn to_u128(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// The digest from its stored number.
    pub const fn from_u128(number: u128) -> Self {
        Self(number.to_be_bytes())
    }
}

/// Class of work; capacity is set apart for short work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkClass {
    /// Orders, balances, stock checks and short generations.
    #[display("short")]
    Short,
    /// Batch reports, summaries and letters.
    #[display("long")]
    Long,
}

impl WorkClass {
    /// Longest generation, in tokens, that still counts as short work.
    pub const SHORT_TOKENS_MAX: u32 = 256;

    /// Class of a generation of at most `tokens_max` tokens.
    pub const fn of_generation(tokens_max: u32) -> Self {
        if tokens_max <= Self::SHORT_TOKENS_MAX {
            Self::Short
        } else {
            Self::Long
        }
    }
}
