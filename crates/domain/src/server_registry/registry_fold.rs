//! The list of servers as the fold of listings and changes.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::ServerSlot;
use crate::{DomainName, ServerName, ServiceName};

/// Time after an outage of the store within which living servers are back.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_000);

/// Start of a lifetime that has not registered yet.
pub(super) const BORN_UNKNOWN: u64 = 0;

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Leaves soon; gets nothing new.
    Draining,
}

/// One registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Lifetime that registered.
    pub instance: ServerName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
    /// Its start, in milliseconds of its own clock; tells lifetimes apart.
    pub born_ms: u64,
}

/// Why the server that holds an address now is of the service that held it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptProof {
    /// The address is given to no other service for this time after the last
    /// sign of life there.
    RecentLife(Duration),
    /// The server serves a model that no other service serves.
    OnlyModel,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// A server registered, or changed what it says.
    Present(ServerRecord),
    /// The registration is gone, or cannot be read.
    Absent(ServerName),
}

impl RegistryChange {
    /// Lifetime that it is about.
    pub fn instance(&self) -> &ServerName {
        match self {
            Self::Present(record) => &record.instance,
            Self::Absent(name) => name,
        }
    }
}

/// Servers of one service in one failure domain.
#[derive(Clone, Debug)]
pub struct DomainServers {
    /// Failure domain.
    pub domain: DomainName,
    /// Its servers.
    pub slots: Vec<Arc<ServerSlot>>,
}

/// All servers, as requests see them; replaced whole by each change.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    services: HashMap<ServiceName, Vec<DomainServers>>,
    slots: HashMap<ServerName, Arc<ServerSlot>>,
    holders: HashMap<SocketAddr, ServerName>,
    lapsed: HashMap<ServerName, Instant>,
    outage_ended: Option<Instant>,
}

impl ServerRegistry {
    /// Servers of a service that may get requests, by failure domain.
    pub fn servers(&self, service: &ServiceName) -> &[DomainServers] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of servers in the list.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no server in the list.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// A server by the name of its lifetime.
    pub fn find(&self, instance: &ServerName) -> Option<&Arc<ServerSlot>> {
        self.slots.get(instance)
    }

    /// Whether a lifetime of that name is in the list.
    pub fn contains(&self, instance: &ServerName) -> bool {
        self.slots.contains_key(instance)
    }

    /// Whether changes would change anything: most registrations come again as
    /// they were.
    pub fn is_changed_by(&self, changes: &[RegistryChange], now: Instant) -> bool {
        let new = |change: &RegistryChange| match change {
            RegistryChange::Present(record) => {
                self.lapsed.contains_key(&record.instance)
                    || self
                        .slots
                        .get(&record.instance)
                        .is_none_or(|slot| slot.record() != record)
            }
            RegistryChange::Absent(name) => self.slots.contains_key(name),
        };
        self.lapsed.values().any(|limit| *limit <= now) || changes.iter().any(new)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Arc<ServerSlot>> {
        self.slots.values()
    }

    /// Whether a lifetime is in the list, ready or not.
    pub fn knows(&self, slot: &ServerSlot) -> bool {
        self.slots
            .get(&slot.record().instance)
            .is_some_and(|known| known.is_same_life(slot.record()))
    }

    /// Note that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.outage_ended = Some(now);
    }

    /// Replace the list by a whole listing.
    pub fn replace(&mut self, records: &[ServerRecord], now: Instant) {
        let listed: HashSet<&ServerName> = records.iter().map(|record| &record.instance).collect();
        let missing = self.slots.keys().filter(|name| !listed.contains(name));
        let changes: Vec<RegistryChange> = missing
            .cloned()
            .map(RegistryChange::Absent)
            .chain(records.iter().cloned().map(RegistryChange::Present))
            .collect();
        self.apply(&changes, now);
    }

    /// Apply changes in their order; also when there are none, since servers
    /// whose registration lapsed may be gone by now.
    pub fn apply(&mut self, changes: &[RegistryChange], now: Instant) {
        for change in changes {
            match change {
                RegistryChange::Present(record) => self.put(record.clone()),
                RegistryChange::Absent(name) => self.lapse(name.clone(), now),
            }
        }
        let expired = |limit: &Instant| *limit <= now;
        for (name, _) in self.lapsed.extract_if(|_, limit| expired(limit)) {
            if let Some(slot) = self.slots.remove(&name) {
                let address = &slot.record().address;
                if self.holders.get(address) == Some(&name) {
                    self.holders.remove(address);
                }
            }
        }
        self.rebuild();
    }

    /// Take in what a server said of itself at the address of `old`: another
    /// lifetime holds it, of the same service as the proof tells. It stays until
    /// the list says otherwise.
    pub fn adopt(
        &mut self,
        old: &ServerSlot,
        instance: ServerName,
        proof: AdoptProof,
        now: Instant,
    ) -> bool {
        let is_proved = match proof {
            AdoptProof::RecentLife(reuse_time) => old.silence(now) < reuse_time,
            AdoptProof::OnlyModel => true,
        };
        if !is_proved || self.slots.contains_key(&instance) {
            return false;
        }
        self.put(ServerRecord {
            instance,
            born_ms: BORN_UNKNOWN,
            state: ServerState::Ready,
            ..old.record().clone()
        });
        self.rebuild();
        true
    }

    fn put(&mut self, record: ServerRecord) {
        self.lapsed.remove(&record.instance);
        // An address has one holder: a later lifetime ends the earlier ones.
        if let Some(holder) = self.holders.insert(record.address, record.instance.clone())
            && holder != record.instance
            && let Some(other) = self.slots.get(&holder)
        {
            if record.born_ms != BORN_UNKNOWN && record.born_ms < other.record().born_ms {
                self.holders.insert(record.address, holder);
                return;
            }
            self.slots.remove(&holder);
        }
        let name = record.instance.clone();
        let slot = match self.slots.get(&name) {
            Some(known) if known.is_same_life(&record) => Arc::new(known.updated(record)),
            _ => Arc::new(ServerSlot::new(record)),
        };
        self.slots.insert(name, slot);
    }

    fn lapse(&mut self, name: ServerName, now: Instant) {
        if !self.slots.contains_key(&name) {
            return;
        }
        let limit = self.outage_ended.map_or(now, |ended| ended + REAPPEAR_TIME);
        self.lapsed.entry(name).or_insert(limit);
    }

    fn rebuild(&mut self) {
        let mut services: HashMap<ServiceName, Vec<DomainServers>> = HashMap::new();
        for slot in self.slots.values() {
            let record = slot.record();
            if record.state != ServerState::Ready {
                continue;
            }
            let domains = match services.get_mut(&record.service) {
                Some(domains) => domains,
                None => services.entry(record.service.clone()).or_default(),
            };
            match domains.iter_mut().find(|own| own.domain == record.domain) {
                Some(own) => own.slots.push(Arc::clone(slot)),
                None => domains.push(DomainServers {
                    domain: record.domain.clone(),
                    slots: vec![Arc::clone(slot)],
                }),
            }
        }
        self.services = services;
    }
}
