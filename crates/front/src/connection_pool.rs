//! Pool of idle connections to backend servers.

use std::{sync::Arc, time::Duration};

use crossbeam_queue::ArrayQueue;
use domain::{
    ServerName,
    server_registry::{RegisteredServer, ServerRegistry},
};
use tokio::time::Instant;

use crate::backend_connection::BackendConnection;

/// Maximum number of idle connections per server. A server accepts some hundred
/// connections in total.
const MAX_IDLE_PER_SERVER: usize = 8;
/// Time after an answer before the connection is reused. Surplus bytes of
/// another answer arrive either at once or late: the ones that arrive at once
/// make the connection unusable within this time, the late ones are detected by
/// the request id.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Maximum idle time of a connection that is reused for a request that runs at
/// most once.
const RECENT_IDLE_MAX: Duration = Duration::from_millis(1_500);

/// Which idle connections an exchange may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Any open connection.
    Any,
    /// Only a recently used one, because the request cannot be sent twice.
    Recent,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: papaya::HashMap<ServerName, Arc<ArrayQueue<BackendConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that an exchange may reuse.
    pub(crate) fn take(
        &self,
        server: &RegisteredServer,
        reuse: ConnectionReuse,
        now: Instant,
    ) -> Option<BackendConnection> {
        let queue = Arc::clone(self.idle.pin().get(&server.record().instance)?);
        // Bounded by the queue length, so that no connection put back below is
        // examined twice.
        for _ in 0..queue.len() {
            let connection = queue.pop()?;
            let idle = now.saturating_duration_since(connection.idle_since);
            if !connection.is_usable(now) {
                continue;
            }
            if idle >= SETTLE_TIME && (reuse == ConnectionReuse::Any || idle < RECENT_IDLE_MAX) {
                return Some(connection);
            }
            push(&queue, connection);
        }
        None
    }

    /// Stores a connection that is new or whose exchange completed cleanly.
    pub(crate) fn put(&self, server: &RegisteredServer, connection: BackendConnection) {
        let idle = self.idle.pin();
        let queue = idle.get_or_insert_with(server.record().instance.clone(), || {
            Arc::new(ArrayQueue::new(MAX_IDLE_PER_SERVER))
        });
        push(queue, connection);
    }

    /// Closes connections to servers that are no longer registered.
    pub(crate) fn retain(&self, registry: &ServerRegistry) {
        self.idle.pin().retain(|name, _| registry.contains(name));
    }
}

/// Adds a connection, closing the oldest one if the queue is full.
fn push(queue: &ArrayQueue<BackendConnection>, connection: BackendConnection) {
    drop(queue.force_push(connection));
}
