//! Release notes in the platform's table and object store.
//!
//! Acceptance is one transaction: the head row at the version that the operator
//! saw, together with the row of the note. A lost answer is settled by reading
//! the row of the note, which names the note that won the version.

use derive_more::{Display, Error};
use domain::{
    ChangesetId, ConfigVersion,
    serving_config::{AcceptedChangeset, ConfigHistory, ConfigState},
    store_position::StoreEra,
};
use serde::de::DeserializeOwned;
use wire::note::{
    DELTA_PREFIX, DeltaMessage, HEAD_KEY, HeadMessage, StateMessage, delta_key, snapshot_key,
};

use crate::{
    ObjectStore, StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition,
    table_store::encode,
};

/// Versions between two whole states in the object store.
pub const SNAPSHOT_EVERY: u64 = 64;

/// Rows of notes read at once.
const SCAN_LIMIT: usize = 128;

/// Times that a transaction whose answer was lost is settled.
const SETTLE_TRIES: u32 = 8;

/// Why notes could not be read or published.
#[derive(Clone, Debug, Display, Error)]
pub enum NoteStoreError {
    /// The store gave no answer.
    #[display("{_0}")]
    Store(StoreError),
    /// A row does not hold what it should.
    #[display("row {key} cannot be read: {reason}")]
    #[error(ignore)]
    Malformed {
        /// Key of the row or object.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// The rows do not lead to the version that the head names.
    #[display("notes after version {have} are missing; the head is at {head}")]
    #[error(ignore)]
    Gap {
        /// Version that could be reached.
        have: ConfigVersion,
        /// Version of the head.
        head: ConfigVersion,
    },
}

impl From<StoreError> for NoteStoreError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// The head row as it was read.
#[derive(Clone, Debug)]
pub struct NoteHead {
    /// Version in force.
    pub version: ConfigVersion,
    /// Identity of its note.
    pub id: ChangesetId,
    /// Version of the newest whole state.
    pub snapshot: ConfigVersion,
    /// Era of the store in which notes that follow are published.
    pub era: StoreEra,
    snapshot_key: String,
    condition: WriteCondition,
}

impl NoteHead {
    /// Head out of its row; an absent row is the head before the first note.
    pub fn from_row(row: Option<&TableRow>) -> Result<Self, NoteStoreError> {
        let Some(row) = row else {
            return Ok(Self {
                version: ConfigVersion::default(),
                id: ChangesetId::from(""),
                snapshot: ConfigVersion::default(),
                era: StoreEra::default(),
                snapshot_key: String::new(),
                condition: WriteCondition::Absent,
            });
        };
        let message: HeadMessage = decode(&row.key, &row.value)?;
        Ok(Self {
            version: ConfigVersion(message.version),
            id: ChangesetId::from(message.id),
            snapshot: ConfigVersion(message.snapshot),
            era: StoreEra::default(),
            snapshot_key: message.snapshot_key,
            condition: WriteCondition::Version(row.version),
        })
    }
}

/// What became of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is accepted.
    Accepted,
    /// Another note won its version.
    Lost(AcceptedChangeset),
}

/// Notes over a table and an object store.
#[derive(Clone, Debug)]
pub struct NoteStore<P> {
    platform: P,
}

impl<P: TableStore + ObjectStore> NoteStore<P> {
    /// Notes at the platform.
    pub const fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Read the head row.
    pub async fn head(&self) -> Result<NoteHead, NoteStoreError> {
        let rows = self.platform.read(&[HEAD_KEY]).await?;
        let head = NoteHead::from_row(rows.first())?;
        Ok(NoteHead {
            era: self.platform.era(),
            ..head
        })
    }

    /// Bring a ledger up to a head, reading only what it lacks.
    pub async fn advance(
        &self,
        ledger: &ConfigHistory,
        head: &NoteHead,
    ) -> Result<ConfigHistory, NoteStoreError> {
        let mut next = ledger.clone();
        if next.version() < head.snapshot {
            next = self.read_snapshot(&next, &head.snapshot_key).await?;
        }
        while next.version() < head.version {
            let notes = self.notes_after(next.version()).await?;
            let Some(folded) = next.with_changesets(&notes) else {
                return Err(NoteStoreError::Gap {
                    have: next.version(),
                    head: head.version,
                });
            };
            next = folded;
        }
        Ok(next)
    }

    /// Read the ledger in force with the notes since the newest whole state.
    pub async fn read(&self) -> Result<(ConfigHistory, NoteHead), NoteStoreError> {
        let head = self.head().await?;
        let ledger = self.advance(&ConfigHistory::default(), &head).await?;
        Ok((ledger, head))
    }

    /// Read up to a page of notes after a version.
    pub async fn notes_after(
        &self,
        version: ConfigVersion,
    ) -> Result<Vec<AcceptedChangeset>, NoteStoreError> {
        let after = delta_key(version);
        let rows = self.platform.scan(DELTA_PREFIX, &after, SCAN_LIMIT).await?;
        rows.iter().map(note_of).collect()
    }

    /// Publish a note that follows on `head` and leads to `next`.
    pub async fn publish(
        &self,
        head: &NoteHead,
        note: &AcceptedChangeset,
        next: &ConfigState,
    ) -> Result<PublishOutcome, NoteStoreError> {
        let (snapshot, snapshot_key) = self.write_snapshot(head, note, next).await?;
        let head_value = encode(&HeadMessage {
            version: note.version.0,
            id: note.id.to_string(),
            snapshot: snapshot.0,
            snapshot_key,
        });
        let delta_value = encode(&DeltaMessage::from(note));
        let key = delta_key(note.version);
        let writes = [
            TableWrite {
                key: HEAD_KEY,
                condition: head.condition,
                value: Some(&head_value),
            },
            TableWrite {
                key: &key,
                condition: WriteCondition::Absent,
                value: Some(&delta_value),
            },
        ];
        let mut last = None;
        for _ in 0..SETTLE_TRIES {
            match self.platform.transact(&writes).await {
                Ok(TransactOutcome::Committed) => return Ok(PublishOutcome::Accepted),
                Ok(TransactOutcome::Refused { .. }) => return self.settle(note, &key).await,
                Err(error @ StoreError::Unavailable { .. }) if last.is_none() => {
                    return Err(error.into());
                }
                // It may have been applied, or may be still: the same
                // conditional write again is refused in the former case.
                Err(error) => last = Some(error),
            }
        }
        let reason = "the store gave no answer";
        Err(last.map_or_else(
            || {
                NoteStoreError::Store(StoreError::AnswerLost {
                    reason: reason.to_owned(),
                })
            },
            NoteStoreError::Store,
        ))
    }

    /// Whose note holds the version that was refused.
    async fn settle(
        &self,
        note: &AcceptedChangeset,
        key: &str,
    ) -> Result<PublishOutcome, NoteStoreError> {
        let rows = self.platform.read(&[key]).await?;
        let Some(row) = rows.first() else {
            return Err(NoteStoreError::Gap {
                have: note.version,
                head: note.version,
            });
        };
        let winner = note_of(row)?;
        if winner.id == note.id {
            return Ok(PublishOutcome::Accepted);
        }
        Ok(PublishOutcome::Lost(winner))
    }

    async fn read_snapshot(
        &self,
        ledger: &ConfigHistory,
        key: &str,
    ) -> Result<ConfigHistory, NoteStoreError> {
        let Some(text) = self.platform.get(key).await? else {
            // The rows of all notes are kept, so they lead there as well.
            return Ok(ledger.clone());
        };
        let state: StateMessage = decode(key, &text)?;
        Ok(ledger
            .with_state(state.into())
            .unwrap_or_else(|| ledger.clone()))
    }

    /// Write a whole state when one is due; the head never names one that may
    /// be missing. The first note of an era cannot do without: no notes lead to it.
    async fn write_snapshot(
        &self,
        head: &NoteHead,
        note: &AcceptedChangeset,
        next: &ConfigState,
    ) -> Result<(ConfigVersion, String), StoreError> {
        let held = (head.snapshot, head.snapshot_key.clone());
        if next.version().0 < head.snapshot.0 + SNAPSHOT_EVERY {
            return Ok(held);
        }
        let key = snapshot_key(next.version(), &note.id);
        let value = encode(&StateMessage::from(next));
        match self.platform.put(&key, &value).await {
            Ok(()) => Ok((next.version(), key)),
            Err(error) if note.version != head.version.next() => Err(error),
            Err(_) => Ok(held),
        }
    }
}

fn note_of(row: &TableRow) -> Result<AcceptedChangeset, NoteStoreError> {
    decode::<DeltaMessage>(&row.key, &row.value).map(AcceptedChangeset::from)
}

fn decode<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, NoteStoreError> {
    serde_json::from_str(text).map_err(|error| NoteStoreError::Malformed {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}
