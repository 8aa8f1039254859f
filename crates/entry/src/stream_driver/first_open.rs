//! Opening the first stream before the caller is answered.
//!
//! As long as nothing was started, a request that no server can begin in time
//! is refused with a status of its own, and the refusal is a proof that it did
//! not run.

use domain::team_budget::{AdmissionGate, AdmissionRefusal, RefusalCause};

use tokio::time::Instant;

use super::{OpenError, StreamDriver};
use crate::load_policy::EntryPolicy;

/// Servers that are asked before a request is refused.
const FIRST_TRIES_MAX: usize = 4;

impl<P: Send + Sync + 'static> StreamDriver<P> {
    /// Open the first stream, or refuse the request.
    ///
    /// When something may have been started, or nothing can be reached, the
    /// driver goes on by itself.
    pub async fn open_first(&mut self) -> Result<(), AdmissionRefusal> {
        for _ in 0..FIRST_TRIES_MAX {
            let Some(node) = self.next_node() else {
                break;
            };
            let opened_at = Instant::now();
            match self.open_at(&node).await {
                Ok(events) => {
                    self.link = Some(self.link_to(&node, events, opened_at));
                    return Ok(());
                }
                Err(OpenError::Full) => self.exclude(&node.spec().name),
                Err(OpenError::Unreachable(_)) => {
                    node.record_failure();
                    self.exclude(&node.spec().name);
                }
                Err(OpenError::Other(reason)) => {
                    log::warn!(
                        request:% = self.generation;
                        "no stream from {}: {reason}", node.spec().name
                    );
                    node.record_failure();
                    self.exclude(&node.spec().name);
                    return Ok(());
                }
            }
        }
        if self.excluded.is_empty() {
            return Ok(());
        }
        let class = self.open.class.into();
        self.state.policy.note_turned_away(class);
        Err(AdmissionRefusal {
            class,
            cause: RefusalCause::Servers,
            retry_after: AdmissionGate::RETRY_AFTER,
        })
    }
}
