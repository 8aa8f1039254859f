//! Slots of an engine, given to waiting requests by priority.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use tokio::sync::oneshot;

#[derive(Debug)]
struct Waiter {
    order: (u8, u64),
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}

#[derive(Debug, Default)]
struct QueueInner {
    free: u32,
    arrivals: u64,
    waiters: BinaryHeap<Reverse<Waiter>>,
}

/// A number of slots and the requests that wait for one.
#[derive(Debug)]
pub struct SlotQueue {
    inner: Mutex<QueueInner>,
    waiting: AtomicU32,
    running: AtomicU32,
}

impl SlotQueue {
    /// Queue of `slots` free slots.
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(QueueInner {
                free: slots,
                ..QueueInner::default()
            }),
            waiting: AtomicU32::new(0),
            running: AtomicU32::new(0),
        })
    }

    /// Requests that hold a slot and requests that wait.
    pub fn counts(&self) -> (u32, u32) {
        (
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed),
        )
    }

    /// Wait for a slot; lower priorities go first.
    pub async fn take(self: &Arc<Self>, priority: u8) -> SlotGuard {
        let woken = {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            if inner.free > 0 {
                inner.free -= 1;
                None
            } else {
                let (wake, woken) = oneshot::channel();
                inner.arrivals += 1;
                let order = (priority, inner.arrivals);
                inner.waiters.push(Reverse(Waiter { order, wake }));
                Some(woken)
            }
        };
        if let Some(woken) = woken {
            self.waiting.fetch_add(1, Ordering::Relaxed);
            let counted = WaitCount(self);
            // A waiter is dropped only after it was woken.
            let _ = woken.await;
            drop(counted);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        SlotGuard {
            queue: Arc::clone(self),
        }
    }

    fn give_back(&self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(Reverse(waiter)) = inner.waiters.pop() {
            // A waiter that has gone away leaves the slot to the next.
            if waiter.wake.send(()).is_ok() {
                return;
            }
        }
        inner.free += 1;
    }
}

struct WaitCount<'a>(&'a SlotQueue);

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A slot, until it is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    queue: Arc<SlotQueue>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.running.fetch_sub(1, Ordering::Relaxed);
        self.queue.give_back();
    }
}
