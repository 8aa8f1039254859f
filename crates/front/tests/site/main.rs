//! Tests of the entry process with a failing store and failing backend servers.

mod beliefs;
mod calls;
mod entry_process;
mod peers;
mod streams;
mod support;
