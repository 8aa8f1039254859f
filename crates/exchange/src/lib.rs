//! HTTP client whose errors tell whether a request may have been sent.
//!
//! Whether a call may be repeated depends on whether any byte of it can have
//! reached the server. This crate therefore classifies every failure by what it
//! proves, in one place for all processes. What a server sends is bounded, so that one
//! that sends bytes without end does not exhaust the memory of its caller.

mod event_bound;
mod event_stream;
mod exchange_call;
mod exchange_client;

pub use event_stream::{EventStream, StreamEvent};
pub use exchange_call::ExchangeCall;
pub use exchange_client::{ExchangeClient, ExchangeError, ExchangeReply};
