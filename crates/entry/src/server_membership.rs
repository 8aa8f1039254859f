//! Which servers are leaving, as an entry knows it.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use backing::{StopRecord, VmEntry};
use domain::{
    ServerName, StopVersion,
    vm_membership::{LeavingStatus, StopOrder},
};
use tokio::time::Instant;
use wire::agent_control::{NewsMessage, OrderNews, StopNews};

use crate::EntryState;

/// Recorded stops by server.
#[derive(Debug, Default)]
struct StopTable {
    version: StopVersion,
    orders: HashMap<ServerName, StopOrder>,
}

/// Evidence about all servers; replaced whole.
#[derive(Default)]
pub struct ServerMembership {
    stops: ArcSwap<StopTable>,
    listed: ArcSwap<Vec<ServerName>>,
    evidence: ArcSwap<HashMap<ServerName, LeavingStatus>>,
}

impl ServerMembership {
    /// Version of the recorded stops.
    pub fn version(&self) -> StopVersion {
        self.stops.load().version
    }

    /// Take in recorded stops; an older record is dropped.
    pub fn take_stops(&self, record: StopRecord) {
        let orders = record.orders.into_iter();
        let next = Arc::new(StopTable {
            version: record.version,
            orders: orders.map(|order| (order.server.clone(), order)).collect(),
        });
        self.stops.rcu(|held| {
            let is_newer = held.version < next.version;
            Arc::clone(if is_newer { &next } else { held })
        });
    }

    /// Forget servers that the platform's list names no more.
    fn retain_listed(&self, entries: &[VmEntry]) {
        self.evidence.rcu(|held| {
            let mut next = HashMap::clone(held);
            next.retain(|name, _| entries.iter().any(|entry| entry.spec.name == *name));
            next
        });
    }

    fn observe(&self, server: &ServerName, take: impl Fn(&mut LeavingStatus)) -> LeavingStatus {
        let mut seen = LeavingStatus::default();
        self.evidence.rcu(|held| {
            let mut next = HashMap::clone(held);
            let evidence = next.entry(server.clone()).or_default();
            take(evidence);
            seen = *evidence;
            next
        });
        seen
    }
}

impl<P> EntryState<P> {
    /// What to tell the agent of a server.
    pub fn news_for(&self, server: &str) -> NewsMessage {
        let stops = self.membership.stops.load();
        let stop = stops.orders.get(server).map(StopNews::from);
        let listed = self.membership.listed.load();
        NewsMessage {
            note_version: self.notes.ledger().version().0,
            entry: self.settings.listen,
            order: OrderNews {
                version: stops.version.0,
                stop,
            },
            is_listed_leaving: listed.iter().any(|name| name.as_str() == server),
        }
    }

    /// Take in the word of an agent about its own server.
    pub fn hear_agent(&self, server: &ServerName, is_leaving: bool) {
        let now = Instant::now();
        let evidence = self.membership.observe(server, |evidence| {
            // The agent has been told of the stops and says what they come to.
            evidence.observe_report(is_leaving);
        });
        if let Some(node) = self.servers.load().get(server) {
            node.set_leaving(evidence.is_leaving(now));
        }
    }

    /// Take in the platform's list and the recorded stops.
    pub fn hear_list(&self, entries: &[VmEntry]) {
        let now = Instant::now();
        let leaving = entries.iter().filter(|entry| entry.leaving);
        let names = leaving.map(|entry| entry.spec.name.clone()).collect();
        self.membership.listed.store(Arc::new(names));
        self.membership.retain_listed(entries);
        for entry in entries.iter().filter(|entry| entry.leaving) {
            let name = &entry.spec.name;
            self.membership
                .observe(name, |evidence| evidence.observe_list(true, now));
            self.mark_leaving(name);
        }
        self.apply_stops();
    }

    /// Mark the servers that a recorded stop names.
    ///
    /// Whether a stop holds for a restarted VM is for its agent to say, which
    /// is told of the stop and reports.
    fn apply_stops(&self) {
        for server in self.membership.stops.load().orders.keys() {
            let is_heard = self.membership.evidence.load().contains_key(server);
            if !is_heard {
                self.mark_leaving(server);
            }
        }
    }

    /// Give a server no new work until its agent says otherwise.
    fn mark_leaving(&self, server: &ServerName) {
        if let Some(node) = self.servers.load().get(server) {
            node.set_leaving(true);
        }
    }

    /// Mark all servers that stops name, since the record has changed.
    pub fn mark_stopped(&self) {
        for server in self.membership.stops.load().orders.keys() {
            self.mark_leaving(server);
        }
    }
}
