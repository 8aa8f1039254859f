//! The platform's services behind small traits.
//!
//! Callers name the trait they need and take the implementation as a type
//! parameter, so that tests run against a store of their own. An error says
//! whether a write may have taken effect, because the caller must then settle
//! it by reading and not by writing again.

mod entry_roster;
mod http_platform;
mod lease_store;
mod note_peer;
mod note_store;
mod object_store;
mod stop_store;
mod table_store;
mod vm_list;

pub use entry_roster::{announce_entry, known_entries, retire_entry};
pub use http_platform::HttpPlatform;
pub use lease_store::{ClaimOutcome, LeaseRow, LeaseStore};
pub use note_peer::{NotePeer, PeerUpdate};
pub use note_store::{NoteHead, NoteStore, NoteStoreError, PublishOutcome, SNAPSHOT_EVERY};
pub use object_store::ObjectStore;
pub use stop_store::{StopOutcome, StopRecord, StopStore, order_head};
pub use table_store::{
    StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition,
};
pub use vm_list::{VmEntry, VmList, list_interval};
