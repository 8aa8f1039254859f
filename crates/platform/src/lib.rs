//! The platform's services behind small traits.
//!
//! Callers name the trait they need and take the implementation as a type
//! parameter, so that tests run against a store of their own. An error says
//! whether a write may have taken effect, because the caller must then settle
//! it by reading and not by writing again.

mod http_platform;
mod object_store;
mod table_store;
mod vm_list;

pub use http_platform::HttpPlatform;
pub use object_store::ObjectStore;
pub use table_store::{
    StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition,
};
pub use vm_list::{VmEntry, VmList};
