//! The set of known instances and the changes of the server list that update it.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use derive_more::{Display, Error};
use tokio::time::Instant;

use super::{RegisteredServer, removal_memory::RemovalMemory};
use crate::{
    FailureDomain, ServerName, ServerVersion, ServiceName, boot_instant::BootInstant,
    kv_placement::ServerSpeed, reachability::is_reachable, store_position::StoreEra,
};

/// Time within which running servers register again after the store was away or came
/// back from an older copy.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Maximum number of leaving instances that are remembered after their removal:
/// some hours of server replacements in a large deployment.
const DEPARTED_MAX: usize = 1_024;

/// Number of addresses beyond those of known instances whose speed is remembered.
const FORMER_SPEEDS_MAX: usize = 1_024;

/// Start time of an instance that has not registered yet.
pub(super) const STARTED_MS_UNKNOWN: u64 = 0;

/// State that a server reports in its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// About to shut down; receives no new requests.
    Draining,
}

/// Registration of one server instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name under which the instance registered.
    pub instance: ServerName,
    /// Service that the instance provides.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: FailureDomain,
    /// Version of the program that it runs.
    pub version: ServerVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that it reports.
    pub state: ServerState,
    /// Start time in milliseconds of its own clock; distinguishes instances that
    /// use the same name or address.
    pub started_ms: u64,
}

/// Why no request can be sent to a registered server.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordFault {
    /// The name cannot be sent in a header.
    #[display("unusable name")]
    UnusableName,
    /// No other process can listen at the address.
    #[display("unusable address")]
    UnusableAddress,
}

impl ServerRecord {
    /// Checks that requests can be sent to the server by a process that listens at
    /// the addresses `own`. The name addresses each request to the instance, so it
    /// must consist of visible ASCII characters.
    pub fn validate(&self, own: &[SocketAddr]) -> Result<(), RecordFault> {
        let name = self.instance.as_str();
        if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(RecordFault::UnusableName);
        }
        if !is_reachable(self.address, own) {
            return Err(RecordFault::UnusableAddress);
        }
        Ok(())
    }
}

/// Proof that the instance now at an address provides the same service as the
/// instance that held the address before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionProof {
    /// The previous instance was proved to be running so shortly before that its
    /// address cannot have been reassigned to another service.
    AddressReserved {
        /// Time for which the platform does not reassign the address of an ended server.
        reuse_time: Duration,
        /// Time after the new instance was heard from.
        now: BootInstant,
    },
    /// The instance serves a model that no other service serves. The caller has
    /// checked this.
    OnlyModel,
}

/// One change of the server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// An instance registered or changed its registration.
    Present(ServerRecord),
    /// The registration was removed or cannot be decoded.
    Absent(ServerName),
}

impl RegistryChange {
    /// Name of the instance concerned.
    pub fn instance(&self) -> &ServerName {
        match self {
            Self::Present(record) => &record.instance,
            Self::Absent(name) => name,
        }
    }
}

/// Ready instances of one service in one failure domain, including superseded ones.
#[derive(Clone, Debug)]
pub struct DomainServers {
    /// Failure domain.
    pub domain: FailureDomain,
    /// The instances in it.
    pub servers: Vec<Arc<RegisteredServer>>,
}

/// All known instances. Requests read an immutable snapshot, which each change
/// replaces as a whole.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    ready_by_service: HashMap<ServiceName, Vec<DomainServers>>,
    servers_by_name: HashMap<ServerName, Arc<RegisteredServer>>,
    address_holders: HashMap<SocketAddr, ServerName>,
    removal_deadlines: HashMap<ServerName, Instant>,
    store_recovered_at: Option<Instant>,
    /// Era of the store that the last listing is of; `None` before the first one.
    era: Option<StoreEra>,
    removals: RemovalMemory,
    /// Removed instances that had announced that they are leaving, the oldest first.
    /// A registration that returns meets its mark again.
    departed: VecDeque<Arc<RegisteredServer>>,
    /// Learned speeds by address, kept while an address has no instance.
    speeds: HashMap<SocketAddr, (ServiceName, Arc<ServerSpeed>)>,
}

impl ServerRegistry {
    /// Ready instances of a service, grouped by failure domain. Callers skip
    /// superseded instances.
    pub fn ready_servers(&self, service: &ServiceName) -> &[DomainServers] {
        self.ready_by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.servers_by_name.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.servers_by_name.is_empty()
    }

    /// Looks up an instance by name.
    pub fn find(&self, instance: &ServerName) -> Option<&Arc<RegisteredServer>> {
        self.servers_by_name.get(instance)
    }

    /// Whether an instance of that name is known.
    pub fn contains(&self, instance: &ServerName) -> bool {
        self.servers_by_name.contains_key(instance)
    }

    /// Whether [`apply`](Self::apply) may have an effect. Most registrations
    /// are renewed unchanged, so this check avoids copying the registry.
    pub fn is_changed_by(&self, changes: &[RegistryChange], now: Instant) -> bool {
        let has_effect = |change: &RegistryChange| match change {
            RegistryChange::Present(record) => {
                self.removal_deadlines.contains_key(&record.instance)
                    || self
                        .servers_by_name
                        .get(&record.instance)
                        .is_none_or(|server| server.record() != record)
            }
            RegistryChange::Absent(name) => {
                self.servers_by_name.contains_key(name) || self.removals.is_held(name)
            }
        };
        self.removal_deadlines
            .values()
            .any(|deadline| *deadline <= now)
            || self.removals.is_release_due(now)
            || changes.iter().any(has_effect)
    }

    /// All known instances, whether ready or draining.
    pub fn all(&self) -> impl Iterator<Item = &Arc<RegisteredServer>> {
        self.servers_by_name.values()
    }

    /// Instances that announced that they are leaving, including removed ones.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &Arc<RegisteredServer>> {
        self.servers_by_name
            .values()
            .filter(|server| server.is_leaving())
            .chain(&self.departed)
    }

    /// Finds the instance of this name and start time, also if it was removed after
    /// it had announced that it is leaving.
    pub fn find_instance(
        &self,
        name: &ServerName,
        started_ms: u64,
    ) -> Option<&Arc<RegisteredServer>> {
        let known = self.servers_by_name.get(name).into_iter();
        known.chain(&self.departed).find(|server| {
            let record = server.record();
            record.instance == *name && record.started_ms == started_ms
        })
    }

    /// Whether `server` is still the known instance under its name, ready or not.
    pub fn is_current(&self, server: &RegisteredServer) -> bool {
        self.servers_by_name
            .get(&server.record().instance)
            .is_some_and(|known| known.is_same_instance(server.record()))
    }

    /// Whether another server of the same service failed at `since` or later. Several that
    /// fail together have a cause that none of them has alone.
    pub fn has_other_failure(&self, server: &RegisteredServer, since: Instant) -> bool {
        let domains = self.ready_servers(&server.record().service).iter();
        domains
            .flat_map(|domain| &domain.servers)
            .filter(|other| other.record().instance != server.record().instance)
            .any(|other| other.has_failed_since(since))
    }

    /// Records that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.store_recovered_at = Some(now);
    }

    /// Records that the next listing is of this era of the store. In a later era than the
    /// one before, servers that registered within the lost time are missing until they
    /// register again, and servers that left within it are listed until the store removes
    /// them again.
    pub fn begin_era(&mut self, era: StoreEra, now: Instant) {
        if self.era.is_some_and(|before| before != era) {
            self.store_recovered_at = Some(now);
            self.removals.begin_era(now);
        }
        self.era = Some(era);
    }

    /// Replaces the contents by a complete listing.
    pub fn replace(&mut self, records: &[ServerRecord], now: Instant) {
        let listed: HashSet<&ServerName> = records.iter().map(|record| &record.instance).collect();
        let known = self
            .servers_by_name
            .keys()
            .chain(self.removals.held_names());
        let missing = known.filter(|name| !listed.contains(name));
        let changes: Vec<RegistryChange> = missing
            .cloned()
            .map(RegistryChange::Absent)
            .chain(records.iter().cloned().map(RegistryChange::Present))
            .collect();
        self.apply(&changes, now);
    }

    /// Applies changes in order, then removes absent instances whose grace period
    /// has ended. Without changes, it does only the latter.
    pub fn apply(&mut self, changes: &[RegistryChange], now: Instant) {
        for record in self.removals.release(now) {
            self.insert_unless_older(record);
        }
        for change in changes {
            match change {
                RegistryChange::Present(record) if self.removals.holds_back(record, now) => {}
                RegistryChange::Present(record) => self.insert_unless_older(record.clone()),
                RegistryChange::Absent(name) => {
                    self.removals.forget_held(name);
                    self.mark_absent(name.clone(), now);
                }
            }
        }
        let is_expired = |deadline: &Instant| *deadline <= now;
        let expired: Vec<ServerName> = self
            .removal_deadlines
            .extract_if(|_, deadline| is_expired(deadline))
            .map(|(name, _)| name)
            .collect();
        for name in expired {
            if let Some(server) = self.servers_by_name.get(&name) {
                self.removals.record(server.record().clone(), now);
            }
            self.remove_server(&name);
        }
        self.rebuild();
    }

    /// Number of listed instances that are not used because they were removed before the
    /// store came back.
    pub fn held_back(&self) -> usize {
        self.removals.held_names().count()
    }

    /// Adds `instance`, which answered at the address of `old`, if `proof` shows
    /// that it provides the same service. It replaces the current holder of that
    /// address and stays until a listing omits it or a change removes it. Returns
    /// whether it was added.
    pub fn adopt(
        &mut self,
        old: &RegisteredServer,
        instance: ServerName,
        proof: AdoptionProof,
    ) -> bool {
        let is_proven = match proof {
            AdoptionProof::AddressReserved { reuse_time, now } => {
                old.is_proven_running(reuse_time, now)
            }
            AdoptionProof::OnlyModel => true,
        };
        let has_departed = self
            .departed
            .iter()
            .any(|departed| departed.record().instance == instance);
        if !is_proven || has_departed || self.servers_by_name.contains_key(&instance) {
            return false;
        }
        self.insert_unless_older(ServerRecord {
            instance,
            started_ms: STARTED_MS_UNKNOWN,
            state: ServerState::Ready,
            ..old.record().clone()
        });
        self.rebuild();
        true
    }

    fn insert_unless_older(&mut self, mut record: ServerRecord) {
        if let Some(known) = self.servers_by_name.get(&record.instance)
            && record.started_ms != STARTED_MS_UNKNOWN
            && record.started_ms < known.record().started_ms
        {
            // A late registration of the instance's earlier start.
            return;
        }
        if let Some(known) = self.servers_by_name.get(&record.instance)
            && known.record().started_ms == record.started_ms
            && known.record().state == ServerState::Draining
        {
            // Draining is final; a store that came back may hold an older registration.
            record.state = ServerState::Draining;
        }
        self.removal_deadlines.remove(&record.instance);
        // A server that moved no longer holds its old address.
        if let Some(known) = self.servers_by_name.get(&record.instance) {
            let old_address = known.record().address;
            if old_address != record.address
                && self.address_holders.get(&old_address) == Some(&record.instance)
            {
                self.address_holders.remove(&old_address);
            }
        }
        // An address has one holder: the instance with the later start time. An
        // instance whose start time is unknown replaces the holder and is itself
        // replaced by any other.
        if let Some(holder) = self
            .address_holders
            .insert(record.address, record.instance.clone())
            && holder != record.instance
            && let Some(other) = self.servers_by_name.get(&holder)
        {
            if record.started_ms != STARTED_MS_UNKNOWN
                && record.started_ms < other.record().started_ms
            {
                self.address_holders.insert(record.address, holder);
                return;
            }
            self.remove_server(&holder);
        }
        let name = record.instance.clone();
        let speed = self.speed_at(&record);
        let known = self.servers_by_name.get(&name).into_iter();
        let server = known
            .chain(&self.departed)
            .find(|known| known.record().instance == name && known.is_same_instance(&record))
            .map_or_else(
                || RegisteredServer::with_speed(record.clone(), speed),
                |known| known.updated(record.clone()),
            );
        self.servers_by_name.insert(name, Arc::new(server));
    }

    /// Speed of the VM at the address of a registration. Another service at the address
    /// is another VM, or does other work.
    fn speed_at(&mut self, record: &ServerRecord) -> Arc<ServerSpeed> {
        if let Some((service, speed)) = self.speeds.get(&record.address)
            && *service == record.service
        {
            return Arc::clone(speed);
        }
        if self.speeds.len() >= self.servers_by_name.len() + FORMER_SPEEDS_MAX {
            let holders = &self.address_holders;
            self.speeds
                .retain(|address, _| holders.contains_key(address));
        }
        let speed = Arc::new(ServerSpeed::new(Instant::now()));
        let entry = (record.service.clone(), Arc::clone(&speed));
        self.speeds.insert(record.address, entry);
        speed
    }

    /// Learned speed of the VM at an address, if a server of the service is or was there.
    pub fn speed(&self, service: &ServiceName, address: SocketAddr) -> Option<&Arc<ServerSpeed>> {
        let (known, speed) = self.speeds.get(&address)?;
        (known == service).then_some(speed)
    }

    fn remove_server(&mut self, name: &ServerName) {
        let Some(server) = self.servers_by_name.remove(name) else {
            return;
        };
        let address = server.record().address;
        if self.address_holders.get(&address) == Some(name) {
            self.address_holders.remove(&address);
        }
        if !server.is_leaving() {
            return;
        }
        self.departed
            .retain(|departed| departed.record().instance != *name);
        self.departed.push_back(server);
        if self.departed.len() > DEPARTED_MAX {
            self.departed.pop_front();
        }
    }

    fn mark_absent(&mut self, name: ServerName, now: Instant) {
        if !self.servers_by_name.contains_key(&name) {
            return;
        }
        let deadline = self
            .store_recovered_at
            .map_or(now, |recovered_at| recovered_at + REREGISTRATION_GRACE);
        self.removal_deadlines.entry(name).or_insert(deadline);
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
            match domains
                .iter_mut()
                .find(|group| group.domain == record.domain)
            {
                Some(group) => group.servers.push(Arc::clone(server)),
                None => domains.push(DomainServers {
                    domain: record.domain.clone(),
                    servers: vec![Arc::clone(server)],
                }),
            }
        }
        self.ready_by_service = by_service;
    }
}
