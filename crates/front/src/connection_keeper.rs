//! Bound on the connections of one listener.
//!
//! When most of them are in use, each new one closes the one that is needed least
//! (`domain::ingress_budget` chooses it). When all are in use, a new one waits for a
//! moment and is closed if none becomes free.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool, AtomicU64, AtomicUsize,
            Ordering::{AcqRel, Relaxed},
        },
    },
    task::{Context, Poll},
    time::Duration,
};

use derive_more::AsRef;
use domain::ingress_budget::{ConnectionActivity, choose_closed, choose_stalled, crowded_from};
use hyper::body::{Body, Frame, SizeHint};
use prometheus::IntCounter;
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// Time for which a new connection waits until another one is closed: the chosen one is
/// closed as soon as its task runs.
const ADMISSION_WAIT: Duration = Duration::from_millis(50);

/// The open connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionKeeper {
    listener: &'static str,
    limit: usize,
    count: AtomicUsize,
    next_id: AtomicU64,
    open: papaya::HashMap<u64, Arc<OpenConnection>>,
    closed: Notify,
    is_logged: AtomicBool,
    closings: IntCounter,
}

/// One open connection.
#[derive(AsRef, Debug)]
pub(crate) struct OpenConnection {
    #[as_ref]
    activity: ConnectionActivity,
    close: Notify,
    has_unread_body: AtomicBool,
}

/// Place of a connection among those of its listener; returned when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPlace {
    keeper: Arc<ConnectionKeeper>,
    id: u64,
    connection: Arc<OpenConnection>,
}

impl ConnectionKeeper {
    pub(crate) fn new(listener: &'static str, limit: usize, closings: IntCounter) -> Self {
        Self {
            listener,
            limit,
            count: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
            open: papaya::HashMap::new(),
            closed: Notify::new(),
            is_logged: AtomicBool::new(false),
            closings,
        }
    }

    /// Returns whether most connections are in use.
    pub(crate) fn is_crowded(&self) -> bool {
        self.count.load(Relaxed) > crowded_from(self.limit)
    }

    /// Finds a place for a new connection; `None` if none becomes free. Called by the
    /// one task that accepts connections of this listener.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<ConnectionPlace> {
        self.log_crowding();
        if self.is_crowded() {
            self.close_one(Instant::now());
        }
        if self.count.load(Relaxed) >= self.limit {
            // A notification may be from before.
            let freed = async {
                while self.count.load(Relaxed) >= self.limit {
                    self.closed.notified().await;
                }
            };
            // The count is checked below.
            let _ = timeout(ADMISSION_WAIT, freed).await;
        }
        if self.count.load(Relaxed) >= self.limit {
            self.closings.inc();
            return None;
        }
        Some(self.open_place())
    }

    fn open_place(self: &Arc<Self>) -> ConnectionPlace {
        let connection = Arc::new(OpenConnection {
            activity: ConnectionActivity::new(Instant::now()),
            close: Notify::new(),
            has_unread_body: AtomicBool::new(false),
        });
        let id = self.next_id.fetch_add(1, Relaxed);
        self.count.fetch_add(1, Relaxed);
        self.open.pin().insert(id, Arc::clone(&connection));
        ConnectionPlace {
            keeper: Arc::clone(self),
            id,
            connection,
        }
    }

    fn close_one(&self, now: Instant) {
        let open = self.open.pin();
        let connections = open.iter().map(|(_, open)| (open, open.as_ref()));
        let is_full = self.count.load(Relaxed) >= self.limit;
        self.close(choose_closed(connections, is_full, now));
    }

    /// Closes the connection whose answer was not read for the longest time.
    pub(crate) fn close_stalled(&self, now: Instant) {
        let open = self.open.pin();
        let connections = open.iter().map(|(_, open)| (open, open.as_ref()));
        self.close(choose_stalled(connections, now));
    }

    fn close(&self, chosen: Option<&Arc<OpenConnection>>) {
        if let Some(connection) = chosen {
            self.closings.inc();
            connection.close.notify_one();
        }
    }

    /// Logs when crowding begins and ends.
    fn log_crowding(&self) {
        let is_crowded = self.is_crowded();
        if self.is_logged.swap(is_crowded, AcqRel) == is_crowded {
            return;
        }
        let count = self.count.load(Relaxed);
        if is_crowded {
            log::warn!(
                listener = self.listener,
                connections = count,
                limit = self.limit;
                "connections are crowded"
            );
        } else {
            log::info!(
                listener = self.listener,
                connections = count;
                "connections are no longer crowded"
            );
        }
    }
}

impl ConnectionPlace {
    pub(crate) fn connection(&self) -> &Arc<OpenConnection> {
        &self.connection
    }

    /// Waits until the connection is to be closed for others.
    pub(crate) async fn wait_close(&self) {
        self.connection.close.notified().await;
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.keeper.open.pin().remove(&self.id);
        self.keeper.count.fetch_sub(1, Relaxed);
        self.keeper.closed.notify_one();
    }
}

impl OpenConnection {
    pub(crate) fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }

    /// Records a request until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.activity.begin_request();
        RequestGuard(Arc::clone(self))
    }

    /// Records that the body of the present request may not be read to its end.
    pub(crate) fn mark_unread_body(&self) {
        self.has_unread_body.store(true, Relaxed);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Relaxed)
    }
}

/// A request whose answer is not complete.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<OpenConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.activity.end_request(Instant::now());
    }
}

/// Body of an answer, which ends its request.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
