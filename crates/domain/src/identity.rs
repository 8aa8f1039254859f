//! Names and numbers that the aggregates share.
//!
//! Each kind of name has its own type, so that a team cannot be passed where a
//! server is expected. Names are reference counted because the request path
//! stores the same few names many times.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

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
    /// Team (customer) whose requests share a budget.
    TeamName;
    /// Model family, without its version.
    ModelName;
    /// Fine-tuned adapter that is loaded on top of a model.
    AdapterName;
    /// Name of a backend server or of one instance of it, unique in the deployment.
    ServerName;
    /// Name of a group of backend servers that serve the same models or services.
    PoolName;
    /// Name of a failure domain.
    FailureDomain;
    /// Name of a service to which requests are routed.
    ServiceName;
    /// Version of the program that a backend server runs, compared as text.
    ServerVersion;
    /// Idempotency key chosen by the caller, unique within a team.
    IdempotencyKey;
    /// Request ID, chosen by the caller anew for each of its attempts.
    RequestId;
    /// ID of a part of a prompt. Requests list the parts of their prompts in order;
    /// the last one belongs to a single request or session.
    PromptPart;
    /// ID of a configuration changeset.
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
            /// The next number.
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
    /// Fencing token of a lease: a number that increases with every new holder.
    FencingNumber(u64);
    /// Version of the active configuration.
    ConfigVersion(u64);
    /// Version of the recorded orders to stop servers.
    StopVersion(u64);
    /// Version of a model or adapter.
    ModelVersion(u32);
}

/// Digest of the ID of a prompt part. Evidence, messages and logs name parts by it.
#[derive(Clone, Copy, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct PartDigest(u64);

impl PartDigest {
    /// Digest of a part's ID.
    pub fn of(id: &str) -> Self {
        let hash = Sha256::digest(id.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash[..8]);
        Self(u64::from_be_bytes(bytes))
    }
}

impl fmt::Debug for PartDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl TokenPosition {
    /// The position as an index into a token log.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// ID of a generation, drawn at random by the entry that admitted it or derived
/// from the caller's idempotency key.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:032x}")]
pub struct GenerationId(pub u128);

impl GenerationId {
    /// Derives the ID of the generation that a team's idempotency key stands for.
    pub fn from_key(team: &str, key: &str) -> Self {
        Self(BodyDigest::of(team, key.as_bytes()).to_u128())
    }
}

/// Error of parsing a [`GenerationId`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("invalid generation ID: expected 32 hexadecimal digits")]
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

/// Digest of labeled content, such as the request body that an idempotency key is
/// bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BodyDigest([u8; 16]);

impl BodyDigest {
    /// Computes the digest of a label, such as the name of an operation, and content.
    pub fn of(label: &str, content: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(label.as_bytes());
        hasher.update([0]);
        hasher.update(content);
        let full = hasher.finalize();
        let mut digest = [0; 16];
        digest.copy_from_slice(&full[..16]);
        Self(digest)
    }

    /// The digest as one number, for display and storage.
    pub const fn to_u128(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// Restores the digest from its stored number.
    pub const fn from_u128(number: u128) -> Self {
        Self(number.to_be_bytes())
    }
}

/// Class of work; part of the capacity is reserved for short work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkClass {
    /// Service calls (orders, balances, stock checks) and short generations.
    #[display("short")]
    Short,
    /// Long generations (batch reports, summaries, letters).
    #[display("long")]
    Long,
}

impl WorkClass {
    /// Maximum length in tokens of a generation that counts as short work.
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
