//! Builder for HTTP calls.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde::Serialize;

/// Timeout of a call that sets none.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);

/// Maximum size of an answer in bytes for a call that sets none. Answers of servers are a
/// few kilobytes.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// HTTP request to be sent.
#[derive(Clone, Debug)]
pub struct ExchangeCall<'a> {
    pub(crate) method: Method,
    pub(crate) address: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'static str, &'a str)>,
    pub(crate) body: Vec<u8>,
    pub(crate) timeout: Duration,
    pub(crate) answer_bytes_max: usize,
}

impl<'a> ExchangeCall<'a> {
    /// Creates a GET request.
    pub fn get(address: SocketAddr, path: &'a str) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Creates a POST request.
    pub fn post(address: SocketAddr, path: &'a str) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// Creates a request with any method.
    pub fn new(method: Method, address: SocketAddr, path: &'a str) -> Self {
        Self {
            method,
            address,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout: TIMEOUT_DEFAULT,
            answer_bytes_max: ANSWER_BYTES_MAX,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets a JSON body and the content type.
    ///
    /// # Panics
    ///
    /// If `body` cannot be serialized as JSON, such as a map without string keys.
    #[must_use]
    pub fn json(mut self, body: &impl Serialize) -> Self {
        self.body = serde_json::to_vec(body).expect("wire types serialize without errors");
        self.headers.push(("content-type", "application/json"));
        self
    }

    /// Sets a body without a content type.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Sets the maximum size of the answer's body in bytes.
    #[must_use]
    pub const fn answer_bytes_max(mut self, bytes: usize) -> Self {
        self.answer_bytes_max = bytes;
        self
    }

    /// Sets the timeout for the response head and, with
    /// [`ExchangeClient::send`](crate::ExchangeClient::send), for the whole body.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
