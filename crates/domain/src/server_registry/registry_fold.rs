//! The list of servers as the fold of listings and changes.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use super::RegisteredServer;
use crate::{FailureDomain, ServerName, ServiceName};

/// Time after an outage of the store within which living servers are back.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Start of a lifetime that has not registered yet.
pub(super) const START_UNKNOWN: u64 = 0;

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
    pub domain: FailureDomain,
    /// Requests at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
    /// Its start, in milliseconds of its own clock; tells lifetimes apart.
    pub started_ms: u64,
}

/// Why the server that holds an address now is of the service that held it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionProof {
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
    pub domain: FailureDomain,
    /// Its servers.
    pub servers: Vec<Arc<RegisteredServer>>,
}

/// All servers, as requests see them; replaced whole by each change.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    ready_by_service: HashMap<ServiceName, Vec<DomainServers>>,
    servers_by_name: HashMap<ServerName, Arc<RegisteredServer>>,
    address_holders: HashMap<SocketAddr, ServerName>,
    lapsed: HashMap<ServerName, Instant>,
    store_recovered_at: Option<Instant>,
}

impl ServerRegistry {
    /// Servers of a service that may get requests, by failure domain.
    pub fn servers(&self, service: &ServiceName) -> &[DomainServers] {
        self.ready_by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Number of servers in the list.
    pub fn len(&self) -> usize {
        self.servers_by_name.len()
    }

    /// Whether there is no server in the list.
    pub fn is_empty(&self) -> bool {
        self.servers_by_name.is_empty()
    }

    /// A server by the name of its lifetime.
    pub fn find(&self, instance: &ServerName) -> Option<&Arc<RegisteredServer>> {
        self.servers_by_name.get(instance)
    }

    /// Whether a lifetime of that name is in the list.
    pub fn contains(&self, instance: &ServerName) -> bool {
        self.servers_by_name.contains_key(instance)
    }

    /// Whether changes would change anything: most registrations come again as
    /// they were.
    pub fn is_changed_by(&self, changes: &[RegistryChange], now: Instant) -> bool {
        let new = |change: &RegistryChange| match change {
            RegistryChange::Present(record) => {
                self.lapsed.contains_key(&record.instance)
                    || self
                        .servers_by_name
                        .get(&record.instance)
                        .is_none_or(|server| server.record() != record)
            }
            RegistryChange::Absent(name) => self.servers_by_name.contains_key(name),
        };
        self.lapsed.values().any(|deadline| *deadline <= now) || changes.iter().any(new)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Arc<RegisteredServer>> {
        self.servers_by_name.values()
    }

    /// Whether a lifetime is in the list, ready or not.
    pub fn is_current(&self, server: &RegisteredServer) -> bool {
        self.servers_by_name
            .get(&server.record().instance)
            .is_some_and(|known| known.is_same_instance(server.record()))
    }

    /// Note that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.store_recovered_at = Some(now);
    }

    /// Replace the list by a whole listing.
    pub fn replace(&mut self, records: &[ServerRecord], now: Instant) {
        let listed: HashSet<&ServerName> = records.iter().map(|record| &record.instance).collect();
        let missing = self
            .servers_by_name
            .keys()
            .filter(|name| !listed.contains(name));
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
                RegistryChange::Present(record) => self.insert(record.clone()),
                RegistryChange::Absent(name) => self.mark_absent(name.clone(), now),
            }
        }
        let is_expired = |deadline: &Instant| *deadline <= now;
        for (name, _) in self.lapsed.extract_if(|_, deadline| is_expired(deadline)) {
            if let Some(server) = self.servers_by_name.remove(&name) {
                let address = &server.record().address;
                if self.address_holders.get(address) == Some(&name) {
                    self.address_holders.remove(address);
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
        old: &RegisteredServer,
        instance: ServerName,
        proof: AdoptionProof,
        now: Instant,
    ) -> bool {
        let is_proved = match proof {
            AdoptionProof::RecentLife(reuse_time) => old.silence(now) < reuse_time,
            AdoptionProof::OnlyModel => true,
        };
        if !is_proved || self.servers_by_name.contains_key(&instance) {
            return false;
        }
        self.insert(ServerRecord {
            instance,
            started_ms: START_UNKNOWN,
            state: ServerState::Ready,
            ..old.record().clone()
        });
        self.rebuild();
        true
    }

    fn insert(&mut self, record: ServerRecord) {
        self.lapsed.remove(&record.instance);
        // An address has one holder: a later lifetime ends the earlier ones.
        if let Some(holder) = self
            .address_holders
            .insert(record.address, record.instance.clone())
            && holder != record.instance
            && let Some(other) = self.servers_by_name.get(&holder)
        {
            if record.started_ms != START_UNKNOWN && record.started_ms < other.record().started_ms {
                self.address_holders.insert(record.address, holder);
                return;
            }
            self.servers_by_name.remove(&holder);
        }
        let name = record.instance.clone();
        let server = match self.servers_by_name.get(&name) {
            Some(known) if known.is_same_instance(&record) => Arc::new(known.updated(record)),
            _ => Arc::new(RegisteredServer::new(record)),
        };
        self.servers_by_name.insert(name, server);
    }

    fn mark_absent(&mut self, name: ServerName, now: Instant) {
        if !self.servers_by_name.contains_key(&name) {
            return;
        }
        let deadline = self
            .store_recovered_at
            .map_or(now, |ended| ended + REREGISTRATION_GRACE);
        self.lapsed.entry(name).or_insert(deadline);
    }

    fn rebuild(&mut self) {
        let mut by_service: HashMap<ServiceName, Vec<DomainServers>> = HashMap::new();
        for server in self.servers_by_name.values() {
            let record = server.record();
            if record.state != ServerState::Ready {
                continue;
            }
            let domains = match by_service.get_mut(&record.service) {
                Some(domains) => domains,
                None => by_service.entry(record.service.clone()).or_default(),
            };
            match domains.iter_mut().find(|own| own.domain == record.domain) {
                Some(own) => own.servers.push(Arc::clone(server)),
                None => domains.push(DomainServers {
                    domain: record.domain.clone(),
                    servers: vec![Arc::clone(server)],
                }),
            }
        }
        self.ready_by_service = by_service;
    }
}
