//! One HTTP call, built step by step.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde::Serialize;

/// Time that a call may take when nothing else is said.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct ExchangeCall<'a> {
    pub(crate) method: Method,
    pub(crate) address: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'static str, &'a str)>,
    pub(crate) body: Vec<u8>,
    pub(crate) timeout: Duration,
}

impl<'a> ExchangeCall<'a> {
    /// Call that reads.
    pub fn get(address: SocketAddr, path: &'a str) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Call that writes.
    pub fn post(address: SocketAddr, path: &'a str) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// Call with a method of its own.
    pub fn new(method: Method, address: SocketAddr, path: &'a str) -> Self {
        Self {
            method,
            address,
            path,
            headers: Vec::new(),
            body: Vec::new(),
            timeout: TIMEOUT_DEFAULT,
        }
    }

    /// Add a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Set a JSON body.
    ///
    /// # Panics
    ///
    /// If `body` cannot be written as JSON, which no wire type can cause.
    #[must_use]
    pub fn json(mut self, body: &impl Serialize) -> Self {
        self.body = serde_json::to_vec(body).expect("wire types are plain data");
        self.headers.push(("content-type", "application/json"));
        self
    }

    /// Set a body as it is.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// Set the time until the answer's head must have come.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
