//! The task that owns the queue of resumptions.

use domain::generation_stream::{ResumeLimits, ResumeQueue, ResumeVerdict};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

/// A driver's request to resume.
struct ResumeRequest {
    silent_since: Instant,
    cost: u32,
    release: oneshot::Sender<()>,
}

/// Way to the queue.
#[derive(Clone, Debug)]
pub struct ResumeLine {
    sender: mpsc::UnboundedSender<ResumeRequest>,
}

impl ResumeLine {
    /// Start the task; it ends when no driver and no line is left.
    pub fn start(limits: ResumeLimits) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(release_in_turn(limits, receiver));
        Self { sender }
    }

    /// Ask for a turn; one driver has at most one request waiting.
    pub fn enter(&self, silent_since: Instant, cost: u32) -> oneshot::Receiver<()> {
        let (release, turn) = oneshot::channel();
        // Were the task gone, the turn would come as an error at once.
        let _ = self.sender.send(ResumeRequest {
            silent_since,
            cost,
            release,
        });
        turn
    }
}

async fn release_in_turn(
    limits: ResumeLimits,
    mut requests: mpsc::UnboundedReceiver<ResumeRequest>,
) {
    let mut queue = ResumeQueue::new(limits, Instant::now());
    loop {
        let wake = match queue.pop_ready(Instant::now()) {
            ResumeVerdict::Ready(release) => {
                // A caller that left meanwhile needs no turn.
                let _: Result<(), ()> = oneshot::Sender::send(release, ());
                continue;
            }
            ResumeVerdict::Wait(until) => Some(until),
            ResumeVerdict::Empty => None,
        };
        let request = match wake {
            Some(until) => match tokio::time::timeout_at(until, requests.recv()).await {
                Ok(request) => request,
                Err(_) => continue,
            },
            None => requests.recv().await,
        };
        let Some(request) = request else {
            return;
        };
        queue.push(request.silent_since, request.cost, request.release);
    }
}
