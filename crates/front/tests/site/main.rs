//! Tests of the entry process with a failing store and failing backend servers.

mod calls;
mod entry_process;
mod peers;
mod store_faults;
mod streams;
mod support;
