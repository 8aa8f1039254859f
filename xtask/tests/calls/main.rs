//! Bookings as real processes.
//!
//! What ran is counted at the ledger that all servers of the service share.

mod old_records;
mod single_faults;
mod support;
