//! The task that owns the queue of requests that wait for one service.
//!
//! Requests join and leave it through a channel. When room may have come, the next
//! request is called; it looks for a server, and if it finds one, the one after it is
//! called. The queue therefore empties as far as there is room, and no further.

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed},
};

use domain::{
    urgency::RequestStage,
    wait_queue::{JoinOutcome, WaitQueue, WaitTicket, WaitingRequest},
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::routed_request::RoutedRequest;

/// Client of the task that owns the queue of one service. The task ends with it.
#[derive(Debug)]
pub(crate) struct WaitRoom {
    orders: mpsc::UnboundedSender<WaitOrder>,
    room: Arc<Notify>,
    tickets: AtomicU64,
    waiting: Arc<AtomicUsize>,
}

/// Change of the queue. Each request joins once at a time and leaves once, so the channel
/// holds at most two orders of each open request.
enum WaitOrder {
    Join(WaitingRequest, oneshot::Sender<CallUp>),
    Leave(WaitTicket),
}

/// Why a request no longer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallUp {
    /// It is next.
    Next,
    /// The queue is full of more urgent requests.
    NoPlace,
}

impl WaitRoom {
    /// Starts the owning task.
    pub(crate) fn start() -> Self {
        let (orders, receiver) = mpsc::unbounded_channel();
        let room = Arc::new(Notify::new());
        let waiting = Arc::new(AtomicUsize::new(0));
        let owner = QueueOwner {
            queue: WaitQueue::default(),
            callers: Vec::new(),
            waiting: Arc::clone(&waiting),
        };
        tokio::spawn(owner.run(receiver, Arc::clone(&room)));
        Self {
            orders,
            room,
            tickets: AtomicU64::new(0),
            waiting,
        }
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Relaxed)
    }

    /// Signals that a server may take a request.
    pub(crate) fn signal_room(&self) {
        if self.waiting() > 0 {
            self.room.notify_one();
        }
    }

    /// Waits until the request is next, `check_at` at the latest if none is before it.
    /// It leaves the queue when the future is dropped.
    pub(crate) async fn wait(&self, request: &RoutedRequest, check_at: Instant) -> CallUp {
        let ticket = WaitTicket(self.tickets.fetch_add(1, Relaxed));
        let (caller, called) = oneshot::channel();
        let waiting = WaitingRequest {
            ticket,
            urgency: request.urgency,
            is_resumed: request.stage() == RequestStage::Resumed,
            team: request.team.clone(),
            received: request.received,
            check_at,
        };
        // Fails only if the owner has ended with the runtime, which drops `caller` too.
        let _ = self.orders.send(WaitOrder::Join(waiting, caller));
        let _place = WaitPlace { room: self, ticket };
        called.await.unwrap_or(CallUp::NoPlace)
    }
}

/// Place in the queue, given up when dropped.
struct WaitPlace<'a> {
    room: &'a WaitRoom,
    ticket: WaitTicket,
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        // Fails only if the owner has ended with the runtime.
        let _ = self.room.orders.send(WaitOrder::Leave(self.ticket));
    }
}

struct QueueOwner {
    queue: WaitQueue,
    callers: Vec<(WaitTicket, oneshot::Sender<CallUp>)>,
    waiting: Arc<AtomicUsize>,
}

impl QueueOwner {
    async fn run(mut self, mut orders: mpsc::UnboundedReceiver<WaitOrder>, room: Arc<Notify>) {
        loop {
            let next_check = self.queue.next_check();
            let check = async {
                match next_check {
                    Some(check_at) => sleep_until(check_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                order = orders.recv() => match order {
                    Some(WaitOrder::Join(request, caller)) => self.join(request, caller),
                    Some(WaitOrder::Leave(ticket)) => self.leave(ticket),
                    None => return,
                },
                () = room.notified() => self.call_next(),
                () = check => self.call_due(),
            }
            self.waiting.store(self.queue.len(), Relaxed);
        }
    }

    fn join(&mut self, request: WaitingRequest, caller: oneshot::Sender<CallUp>) {
        let ticket = request.ticket;
        let refused = match self.queue.join(request) {
            JoinOutcome::Joined => None,
            JoinOutcome::Displaced(displaced) => Some(displaced),
            JoinOutcome::Full => Some(ticket),
        };
        self.callers.push((ticket, caller));
        if let Some(refused) = refused {
            self.call(refused, CallUp::NoPlace);
        }
    }

    fn leave(&mut self, ticket: WaitTicket) {
        self.queue.leave(ticket);
        self.callers.retain(|(other, _)| *other != ticket);
    }

    /// Calls the next request. One whose caller has left is passed over.
    fn call_next(&mut self) {
        while let Some(ticket) = self.queue.take_next() {
            if self.call(ticket, CallUp::Next) {
                return;
            }
        }
    }

    /// Calls the next request because the time of a check has come.
    fn call_due(&mut self) {
        let next = self.queue.take_due(Instant::now());
        if next.is_some_and(|ticket| !self.call(ticket, CallUp::Next)) {
            self.call_next();
        }
    }

    /// Returns whether the request was still waiting.
    fn call(&mut self, ticket: WaitTicket, call_up: CallUp) -> bool {
        let Some(index) = self.callers.iter().position(|(other, _)| *other == ticket) else {
            return false;
        };
        let (_, caller) = self.callers.swap_remove(index);
        caller.send(call_up).is_ok()
    }
}
