//! Idle connections to backend servers.

use std::{sync::Arc, time::Duration};

use crossbeam_queue::ArrayQueue;
use domain::{
    ServerName,
    server_registry::{RegisteredServer, ServerRegistry},
};
use tokio::time::Instant;

use crate::backend_connection::BackendConnection;

/// Idle connections kept to one server; a server takes some hundred of all.
const IDLE_MAX: usize = 8;
/// Time after an answer within which a server's further bytes are looked for
/// before the connection is used again. Bytes of another answer come at once
/// or late; this catches the first kind, the request id the second.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Idle time up to which a connection serves a request that runs at most once.
const PROVEN_IDLE: Duration = Duration::from_millis(1_500);

/// How much an exchange asks of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Any that is open.
    Any,
    /// Used a moment ago, since a request on it cannot be sent twice.
    Recent,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: papaya::HashMap<ServerName, Arc<ArrayQueue<BackendConnection>>>,
}

impl ConnectionPool {
    /// An idle connection that can be trusted with an exchange.
    pub(crate) fn take(
        &self,
        server: &RegisteredServer,
        trust: ConnectionReuse,
        now: Instant,
    ) -> Option<BackendConnection> {
        let queue = Arc::clone(self.idle.pin().get(&server.record().instance)?);
        // At most one round, so that connections put back are not seen again.
        for _ in 0..queue.len() {
            let link = queue.pop()?;
            let idle = now.saturating_duration_since(link.idle_since);
            if !link.is_usable(now) {
                continue;
            }
            if idle >= SETTLE_TIME && (trust == ConnectionReuse::Any || idle < PROVEN_IDLE) {
                return Some(link);
            }
            put_back(&queue, link);
        }
        None
    }

    /// Keep a connection whose exchange ended cleanly.
    pub(crate) fn put(&self, server: &RegisteredServer, link: BackendConnection) {
        let idle = self.idle.pin();
        let queue = idle.get_or_insert_with(server.record().instance.clone(), || {
            Arc::new(ArrayQueue::new(IDLE_MAX))
        });
        put_back(queue, link);
    }

    /// Close connections to servers that are gone.
    pub(crate) fn retain(&self, registry: &ServerRegistry) {
        self.idle.pin().retain(|name, _| registry.contains(name));
    }
}

/// A full queue means enough idle connections, so the oldest one is closed.
fn put_back(queue: &ArrayQueue<BackendConnection>, link: BackendConnection) {
    drop(queue.force_push(link));
}
