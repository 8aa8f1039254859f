//! Answers of servers as evidence about the old and the new version of a roll-out.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use domain::{
    FailureDomain,
    rollout::{AnswerSample, VersionSide},
    run_evidence::SendOutcome,
    server_registry::RegisteredServer,
};
use tokio::{sync::mpsc, time::Instant};

use crate::{
    front_state::FrontState,
    rollout_board::{LiveRollout, RolloutNote, RolloutSample},
    routed_request::RoutedRequest,
};

/// Time before a lost connection within which a failure of another server of the same
/// failure domain explains it: longer than an outage of 1.2 s.
const DOMAIN_TROUBLE_WINDOW: Duration = Duration::from_millis(1_500);
/// Pieces of a stream after which the mean time between them is known.
const GAP_EVENTS: u32 = 12;

/// An answer of the old or of the new version.
#[derive(Debug)]
pub(crate) struct WatchedAnswer {
    side: VersionSide,
    domain: FailureDomain,
    route: Box<str>,
    live: Arc<LiveRollout>,
    notes: mpsc::Sender<RolloutNote>,
}

impl WatchedAnswer {
    pub(crate) fn new(
        live: Arc<LiveRollout>,
        side: VersionSide,
        domain: FailureDomain,
        route: Box<str>,
        notes: mpsc::Sender<RolloutNote>,
    ) -> Self {
        Self {
            side,
            domain,
            route,
            live,
            notes,
        }
    }

    fn live(&self) -> &LiveRollout {
        &self.live
    }

    /// Whether the server is one of an old version.
    fn is_old(&self) -> bool {
        self.side == VersionSide::Old
    }

    /// Records a time or the end of the answer.
    pub(crate) fn record(&self, sample: AnswerSample) {
        let note = RolloutNote::Sample(RolloutSample {
            service: self.live.service.clone(),
            order: self.live.order,
            route: self.route.clone(),
            domain: self.domain.clone(),
            side: self.side,
            sample,
        });
        if self.notes.try_send(note).is_err() {
            log::debug!("queue of roll-out evidence is full");
        }
    }

    /// Records the end of the answer. A connection that was lost together with an old
    /// server of the failure domain says nothing about the new version.
    pub(crate) fn record_end(&self, state: &FrontState, outcome: SendOutcome) {
        let is_failure = match outcome {
            SendOutcome::Answered { server_error } => server_error,
            SendOutcome::Broken | SendOutcome::Silent => {
                let registry = state.registry.load();
                let servers = registry.ready_servers(&self.live.service);
                let since = Instant::now().checked_sub(DOMAIN_TROUBLE_WINDOW);
                let is_explained = since.is_some_and(|since| {
                    self.live
                        .filter
                        .has_old_failure(servers, &self.domain, since)
                });
                if is_explained && self.side == VersionSide::New {
                    return;
                }
                true
            }
            SendOutcome::NotConnected | SendOutcome::HandedBack | SendOutcome::Rejected => return,
        };
        self.record(AnswerSample::Ended { is_failure });
    }
}

/// Records what the answer to a plain request says about the version of its server.
pub(crate) fn note_call(
    state: &FrontState,
    server: &RegisteredServer,
    request: &RoutedRequest,
    outcome: SendOutcome,
    sent_at: Instant,
) {
    let Some(answer) = state.rollouts.watch(server, request) else {
        return;
    };
    if matches!(outcome, SendOutcome::Answered { .. } | SendOutcome::Silent) {
        answer.record(AnswerSample::Latency(sent_at.elapsed()));
    }
    answer.record_end(state, outcome);
}

/// A stream's answer, watched from the send to its end.
#[derive(Debug, Default)]
pub(crate) struct StreamWatch {
    answer: Option<WatchedAnswer>,
    sent_at: Option<Instant>,
    first_event_at: Option<Instant>,
    events: u32,
}

impl StreamWatch {
    /// Begins to watch a stream that is sent now.
    pub(crate) fn begin(
        state: &FrontState,
        server: &RegisteredServer,
        request: &RoutedRequest,
    ) -> Self {
        let answer = state.rollouts.watch(server, request);
        if let Some(answer) = answer.as_ref().filter(|answer| answer.is_old()) {
            answer.live().old_streams.fetch_add(1, Relaxed);
        }
        Self {
            answer,
            sent_at: Some(Instant::now()),
            first_event_at: None,
            events: 0,
        }
    }

    /// Records that events arrived. A stream that goes on from another server has no
    /// first event that could be compared.
    pub(crate) fn note_events(&mut self, is_resumed: bool) {
        let Some(answer) = &self.answer else {
            return;
        };
        let now = Instant::now();
        self.events += 1;
        match (self.first_event_at, self.sent_at) {
            (None, Some(sent_at)) => {
                self.first_event_at = Some(now);
                if !is_resumed {
                    answer.record(AnswerSample::Latency(now - sent_at));
                }
            }
            (Some(first_event_at), _) if self.events == GAP_EVENTS => {
                let gap = (now - first_event_at) / (GAP_EVENTS - 1);
                answer.record(AnswerSample::Gap(gap));
            }
            _ => {}
        }
    }

    /// Records the end of the answer.
    pub(crate) fn finish(&mut self, state: &FrontState, outcome: SendOutcome) {
        if let Some(answer) = &self.answer {
            answer.record_end(state, outcome);
        }
        self.leave();
    }

    fn leave(&mut self) {
        let answer = self.answer.take();
        if let Some(answer) = answer.filter(WatchedAnswer::is_old) {
            answer.live().old_streams.fetch_sub(1, Relaxed);
        }
    }
}

impl Drop for StreamWatch {
    fn drop(&mut self) {
        self.leave();
    }
}
