//! Whether an address can be listened on.
//!
//! The HTTP server shares its port with any other process that asks for the
//! same (`SO_REUSEPORT`), so a second daemon on a port would start and take
//! half of the connections without a word. The probe binds without sharing and
//! fails as soon as anyone listens.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

/// Tells whether addresses can be listened on.
pub trait PortProbe {
    /// Find out whether a process could listen on `address` alone.
    fn probe(&self, address: SocketAddr) -> io::Result<()>;
}

/// Tries each address by binding it for a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct BindProbe;

impl PortProbe for BindProbe {
    fn probe(&self, address: SocketAddr) -> io::Result<()> {
        TcpListener::bind(address).map(drop)
    }
}
