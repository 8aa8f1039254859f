//! What this entry knows about admission to each service.

use std::sync::Arc;

use domain::{
    ServiceName,
    urgency::{TeamShares, UrgencyMix},
};

use crate::wait_room::WaitRoom;

/// Admission to one service as this entry sees it.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    /// Ranks that this entry sent recently.
    pub(crate) mix: UrgencyMix,
    /// Who sent new streams recently.
    pub(crate) teams: TeamShares,
    /// Streams that no server takes now.
    pub(crate) wait_room: WaitRoom,
}

/// Admission to all services.
#[derive(Debug, Default)]
pub(crate) struct AdmissionBook {
    services: papaya::HashMap<ServiceName, Arc<ServiceAdmission>>,
}

impl AdmissionBook {
    /// Returns what is known about a service.
    pub(crate) fn service(&self, service: &ServiceName) -> Arc<ServiceAdmission> {
        let services = self.services.pin();
        Arc::clone(services.get_or_insert_with(service.clone(), || {
            Arc::new(ServiceAdmission {
                mix: UrgencyMix::default(),
                teams: TeamShares::default(),
                wait_room: WaitRoom::start(),
            })
        }))
    }

    /// Signals that servers of any service may take requests.
    pub(crate) fn signal_room(&self) {
        for admission in self.services.pin().values() {
            admission.wait_room.signal_room();
        }
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        let services = self.services.pin();
        let waiting = services.values();
        waiting.map(|admission| admission.wait_room.waiting()).sum()
    }
}
