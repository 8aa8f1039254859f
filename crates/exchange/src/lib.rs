//! HTTP exchanges that say how far they got.
//!
//! Whether a call may be repeated depends on whether any byte of it can have
//! reached the other side. Every failure here is therefore sorted by what it
//! proves, and that sorting is done in one place for all processes.

mod event_stream;
mod exchange_call;
mod exchange_client;

pub use event_stream::{EventStream, StreamEvent};
pub use exchange_call::ExchangeCall;
pub use exchange_client::{ExchangeClient, ExchangeError, ExchangeReply};
