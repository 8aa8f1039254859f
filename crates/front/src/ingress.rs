//! What the connections that others open hold in this process.

use std::sync::Arc;

use domain::ingress_budget::{BodyBudget, IngressLimits, PieceBudget};
use settings::FrontSettings;

use crate::{connection_keeper::ConnectionKeeper, front_metrics::FrontMetrics};

/// Accounts of callers' bodies and connections. The bounds are those of the settings at
/// the start: a VM does not change its size.
#[derive(Debug)]
pub(crate) struct Ingress {
    pub(crate) limits: IngressLimits,
    pub(crate) bodies: Arc<BodyBudget>,
    /// Pieces of streams that wait for their readers.
    pub(crate) pieces: Arc<PieceBudget>,
    pub(crate) callers: Arc<ConnectionKeeper>,
    pub(crate) ready: Arc<ConnectionKeeper>,
    pub(crate) admin: Arc<ConnectionKeeper>,
    pub(crate) peers: Arc<ConnectionKeeper>,
}

impl Ingress {
    pub(crate) fn new(settings: &FrontSettings, metrics: &FrontMetrics) -> Self {
        let limits = IngressLimits::derive(settings.memory, settings.descriptors_max);
        let keeper = |listener, limit| {
            let closed = metrics.closed_connections.with_label_values(&[listener]);
            Arc::new(ConnectionKeeper::new(listener, limit, closed))
        };
        Self {
            limits,
            bodies: Arc::new(BodyBudget::new(limits.body_bytes)),
            pieces: Arc::new(PieceBudget::new(limits.piece_bytes)),
            callers: keeper("callers", limits.connections),
            ready: keeper("ready", limits.side_connections),
            admin: keeper("admin", limits.side_connections),
            peers: keeper("peer", limits.peer_connections),
        }
    }

    /// Returns whether memory for bodies or connections are short.
    pub(crate) fn is_crowded(&self) -> bool {
        self.bodies.is_crowded() || self.callers.is_crowded()
    }
}
