//! The order in force of each service.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::{ReportKey, RolloutNews, RolloutOrder, ServiceRollout, VERSIONS_MAX, VersionFilter};
use crate::{ServerVersion, ServiceName};

/// Largest number of services with an order.
pub const SERVICES_MAX: usize = 64;

/// Largest number of replaced orders of a service that are remembered.
const EARLIER_MAX: usize = 8;

/// A service's order in force, and what earlier orders left behind.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The order in force.
    pub rollout: ServiceRollout,
    /// Versions of earlier orders that did not finish. Their servers get nothing until
    /// an order names the version again.
    pub barred: BTreeSet<ServerVersion>,
    /// Versions to which earlier orders moved the traffic. An entry that was not told so
    /// before the next order came takes them for barred.
    pub established: BTreeSet<ServerVersion>,
    /// Orders that were replaced, the last one last. The store may come back with them.
    earlier: Vec<RolloutOrder>,
}

/// The orders in force.
#[derive(Clone, Debug, Default)]
pub struct RolloutBook {
    services: BTreeMap<ServiceName, ServiceEntry>,
}

impl ServiceEntry {
    /// Selection of the service's servers.
    pub fn filter(&self) -> VersionFilter {
        let rollout = &self.rollout;
        VersionFilter {
            new: rollout.order().to.clone(),
            old: rollout.old_versions().iter().cloned().collect(),
            barred: self.barred.iter().cloned().collect(),
            phase: rollout.phase(),
        }
    }

    fn bar(&mut self, versions: impl IntoIterator<Item = ServerVersion>) {
        let to = &self.rollout.order().to;
        for version in versions {
            let is_known = version == *to || self.established.contains(&version);
            if !is_known && self.barred.len() < VERSIONS_MAX {
                self.barred.insert(version);
            }
        }
    }

    fn establish(&mut self, versions: impl IntoIterator<Item = ServerVersion>) {
        let to = &self.rollout.order().to;
        for version in versions {
            self.barred.remove(&version);
            if version != *to && self.established.len() < VERSIONS_MAX {
                self.established.insert(version);
            }
        }
    }

    /// Whether `version` carries the traffic. Versions that run beside the one of an order
    /// may also be left from an earlier order that did not finish; those are barred.
    fn is_incumbent(&self, version: &ServerVersion) -> bool {
        let rollout = &self.rollout;
        if rollout.phase().is_moved() {
            rollout.order().to == *version
        } else {
            rollout.old_versions().contains(version) && !self.barred.contains(version)
        }
    }

    /// What is known of the order, for an entry that has the reports `known`.
    pub fn news(&self, known: &BTreeMap<ReportKey, u64>) -> RolloutNews {
        RolloutNews {
            barred: self.barred.clone(),
            established: self.established.clone(),
            ..self.rollout.news(known)
        }
    }
}

impl RolloutBook {
    /// Keeps an order in force that the operator wrote again after the store came back from
    /// an older copy, under its new identity. Returns whether `order` is such a one.
    pub fn renew(&mut self, order: &RolloutOrder) -> bool {
        let known = self.services.get_mut(&order.service);
        let Some(known) = known.filter(|known| order.renews(known.rollout.order())) else {
            return false;
        };
        known.rollout.renew(order.id);
        true
    }

    /// Puts an order in force that is newer than the known one of its service. `ready`
    /// are the versions of the service's ready servers. Returns whether it is newer.
    ///
    /// An order that names the version which already carries the traffic begins with
    /// the move: during a trial that version would get a small share of the requests
    /// and no other one the rest.
    pub fn offer(
        &mut self,
        order: RolloutOrder,
        ordered_at: Instant,
        key: ReportKey,
        ready: &[ServerVersion],
    ) -> bool {
        let service = order.service.clone();
        let known = self.services.get(&service);
        let is_older = |known: &ServiceEntry| {
            !order.follows(known.rollout.order())
                || known
                    .earlier
                    .iter()
                    .any(|earlier| order.is_copy_of(earlier))
        };
        if known.is_some_and(is_older) || (known.is_none() && self.services.len() >= SERVICES_MAX) {
            return false;
        }
        let before = self.services.remove(&service);
        let is_incumbent = match &before {
            Some(before) => before.is_incumbent(&order.to),
            None => ready.iter().all(|version| *version == order.to) && !ready.is_empty(),
        };
        let rollout = if is_incumbent {
            ServiceRollout::of_incumbent(order, ordered_at, key)
        } else {
            ServiceRollout::new(order, ordered_at, key)
        };
        let mut entry = ServiceEntry {
            rollout,
            barred: BTreeSet::new(),
            established: BTreeSet::new(),
            earlier: Vec::new(),
        };
        if let Some(mut before) = before {
            entry.earlier = std::mem::take(&mut before.earlier);
            if entry.earlier.len() >= EARLIER_MAX {
                entry.earlier.remove(0);
            }
            entry.earlier.push(before.rollout.order().clone());
            entry.establish(before.established);
            let last = Some(before.rollout.order().to.clone());
            if before.rollout.phase().is_moved() {
                entry.establish(last);
            } else {
                entry.bar(last);
            }
            entry.bar(before.barred);
        }
        self.services.insert(service, entry);
        true
    }

    /// Merges what another entry knows of the outcome of earlier orders.
    pub fn merge_history(&mut self, news: &RolloutNews) {
        let entry = self.services.get_mut(&news.order.service);
        if let Some(entry) = entry.filter(|entry| entry.rollout.order().id == news.order.id) {
            entry.establish(news.established.iter().cloned());
            entry.bar(news.barred.iter().cloned());
        }
    }

    /// The order of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(service)
    }

    /// The order of a service, to be changed.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut ServiceEntry> {
        self.services.get_mut(service)
    }

    /// All orders in force.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// All orders in force, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServiceEntry> {
        self.services.values_mut()
    }
}
