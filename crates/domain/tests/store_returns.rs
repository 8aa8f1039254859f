//! Entries before a store that comes back from older copies, in drawn orders of events.
//!
//! The entries follow the rules of [`domain::store_position`], [`domain::list_relay`],
//! [`domain::state_relay`] and [`domain::server_registry`] like `front::store_watch`, but
//! read and relay at drawn moments, and answers arrive later than they were made.

use std::{collections::BTreeMap, time::Duration};

use domain::{
    FailureDomain, ServerName, ServerVersion, ServiceName,
    desired_state::StateVersion,
    list_relay::{ChangeLog, RelayRule},
    server_registry::{RegistryChange, ServerRecord, ServerRegistry, ServerState},
    state_relay::{StateCursor, StateNews},
    store_position::{EraNews, StoreEra, StorePosition},
};
use proptest::prelude::*;
use tokio::time::Instant;

const ENTRIES: usize = 3;
const SERVERS: u16 = 4;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The operator writes the next version.
    Publish,
    /// A server registers, drains, leaves or starts again.
    TurnServer(u16),
    KeepCopy,
    Restore,
    /// The operator and the servers write again what the store lacks.
    WriteAgain,
    /// Another table changes.
    WriteOther,
    /// An entry asks the store for the server list.
    AskList(usize),
    /// An entry asks the store for the desired state.
    AskState(usize),
    /// The answers arrive.
    Hear(usize),
    /// An entry asks another one for the list and the desired state.
    Follow(usize, usize),
    Restart(usize),
    Wait(u64),
}

#[derive(Clone, Debug, Default)]
struct Contents {
    version: u64,
    /// Number and row of the desired state.
    state: Option<(u64, u64)>,
    /// Registrations with their rows; none if removed.
    servers: BTreeMap<u16, (u64, Option<ServerRecord>)>,
}

/// What the store answers to a read of both tables from a position, or to a listing.
#[derive(Clone, Debug)]
struct Answer {
    position: StorePosition,
    is_gone: bool,
    state: Option<StateVersion>,
    servers: Vec<(u64, RegistryChange)>,
}

/// Position of a watch of one table, and the answer that is on its way to it.
#[derive(Debug, Default)]
struct Watch {
    since: Option<StorePosition>,
    pending: Option<(Option<StorePosition>, Answer)>,
}

impl Watch {
    fn ask(&mut self, store: &Store) {
        if self.pending.is_none() {
            self.pending = Some((self.since, store.answer(self.since)));
        }
    }

    /// Returns an answer that goes on from the position, and whether it is a listing.
    fn hear(&mut self, newest: &mut StoreEra) -> Option<(bool, Answer)> {
        let (since, answer) = self.pending.take()?;
        let era = answer.position.era;
        let news = era.judge(since, *newest);
        *newest = era.max(*newest);
        if news == EraNews::Restored || (news == EraNews::Same && answer.is_gone) {
            self.since = None;
        }
        if news != EraNews::Same || answer.is_gone {
            return None;
        }
        self.since = self.since.max(Some(answer.position));
        Some((since.is_none(), answer))
    }
}

#[derive(Debug, Default)]
struct Store {
    era: u64,
    contents: Contents,
    copies: Vec<Contents>,
}

#[derive(Debug, Default)]
struct Entry {
    era: StoreEra,
    list_watch: Watch,
    state_watch: Watch,
    state: Option<StateVersion>,
    newest_row: StorePosition,
    log: ChangeLog,
    registry: ServerRegistry,
    /// Starts of servers that this entry saw draining.
    drained: BTreeMap<ServerName, u64>,
}

struct World {
    now: Instant,
    store: Store,
    number: u64,
    /// What the servers wrote last: their start and state; none if they are gone.
    servers: BTreeMap<u16, (u64, Option<ServerState>)>,
    entries: Vec<Entry>,
}

fn name(server: u16) -> ServerName {
    ServerName::from(format!("i{server}"))
}

fn record(server: u16, started_ms: u64, state: ServerState) -> ServerRecord {
    ServerRecord {
        instance: name(server),
        service: ServiceName::from("pool"),
        address: ([10, 0, 0, 1], 80 + server).into(),
        domain: FailureDomain::from("a"),
        version: ServerVersion::from("v1"),
        slots: 8,
        state,
        started_ms,
    }
}

impl Contents {
    fn write_state(&mut self, number: u64) {
        self.version += 1;
        self.state = Some((number, self.version));
    }

    fn write_server(&mut self, server: u16, record: Option<ServerRecord>) {
        self.version += 1;
        self.servers.insert(server, (self.version, record));
    }
}

impl Store {
    fn answer(&self, since: Option<StorePosition>) -> Answer {
        let era = StoreEra::from(self.era);
        let contents = &self.contents;
        let position = |version| StorePosition { era, version };
        let after = since.map_or(0, |since| since.version);
        let change = |(server, (row, record)): (&u16, &(u64, Option<ServerRecord>))| {
            let change = match record {
                Some(record) => RegistryChange::Present(record.clone()),
                None => RegistryChange::Absent(name(*server)),
            };
            (*row, change)
        };
        let is_listed = |(row, change): &(u64, RegistryChange)| {
            *row > after && (since.is_some() || matches!(change, RegistryChange::Present(_)))
        };
        let state = contents.state.filter(|(_, row)| *row > after);
        Answer {
            position: position(contents.version),
            is_gone: after > contents.version,
            state: state.map(|(number, row)| StateVersion {
                number,
                row: position(row),
            }),
            servers: contents
                .servers
                .iter()
                .map(change)
                .filter(is_listed)
                .collect(),
        }
    }
}

impl Entry {
    fn hear(&mut self, now: Instant) {
        if let Some((_, answer)) = self.state_watch.hear(&mut self.era) {
            self.adopt_state(answer.state);
        }
        let Some((is_complete, answer)) = self.list_watch.hear(&mut self.era) else {
            return;
        };
        let position = |version| StorePosition {
            version,
            ..answer.position
        };
        let rows = answer.servers.iter().map(|(row, _)| *row);
        let newest_row = position(rows.max().unwrap_or(0));
        self.newest_row = self.newest_row.max(newest_row);
        let changes = answer.servers.into_iter().map(|(_, change)| change);
        let changes: Vec<RegistryChange> = changes.collect();
        self.adopt(is_complete, answer.position, &changes, now);
    }

    fn adopt(
        &mut self,
        is_complete: bool,
        position: StorePosition,
        changes: &[RegistryChange],
        now: Instant,
    ) {
        if is_complete {
            let records: Vec<ServerRecord> = changes.iter().filter_map(present).cloned().collect();
            self.log = ChangeLog::new(position, self.newest_row.version, &records);
            self.registry.begin_era(position.era, now);
            self.registry.replace(&records, now);
        } else {
            let new: Vec<&RegistryChange> = self.log.new_changes(changes);
            let mut log = self.log.clone();
            log.record(&new, self.newest_row.version);
            self.log = log;
            self.registry.apply(changes, now);
        }
        let draining = changes.iter().filter_map(present);
        let draining = draining.filter(|record| record.state == ServerState::Draining);
        self.drained
            .extend(draining.map(|record| (record.instance.clone(), record.started_ms)));
    }

    fn adopt_state(&mut self, offered: Option<StateVersion>) {
        self.state = self.state.max(offered);
    }

    /// Takes what another entry tells, as far as it goes beyond what this one knows. A watch
    /// that waits for the store asks no other entry.
    fn follow(&mut self, leader: &Self, now: Instant) {
        let rule = RelayRule {
            poll_period: Duration::from_millis(1_100),
        };
        if let (Some(known), Some(offered)) = (self.state, leader.state)
            && self.state_watch.pending.is_none()
        {
            let cursor = |version| StateCursor {
                version,
                confirmed_at: now,
            };
            if cursor(known).judge(cursor(offered), rule, now) == StateNews::Newer {
                self.adopt_state(Some(offered));
                self.era = self.era.max(offered.row.era);
                self.state_watch.since = self.state_watch.since.max(Some(offered.row));
            }
        }
        let (Some(read), Some(offered)) = (self.list_watch.since, leader.list_watch.since) else {
            return;
        };
        if self.list_watch.pending.is_some()
            || leader.newest_row < self.newest_row
            || offered.era < read.era
            || leader.log.era() != offered.era
        {
            return;
        }
        let Some(logged) = leader.log.changes_since(read) else {
            return;
        };
        let changes: Vec<RegistryChange> = logged.changes.into_iter().cloned().collect();
        self.era = self.era.max(offered.era);
        self.newest_row = self.newest_row.max(leader.newest_row);
        self.list_watch.since = Some(read.max(offered));
        self.adopt(logged.is_complete, offered, &changes, now);
    }

    fn ready(&self) -> Vec<ServerRecord> {
        let groups = self.registry.ready_servers(&ServiceName::from("pool"));
        let servers = groups.iter().flat_map(|group| &group.servers);
        let mut ready: Vec<ServerRecord> = servers.map(|server| server.record().clone()).collect();
        ready.sort_by_key(|record| record.address);
        ready
    }
}

fn present(change: &RegistryChange) -> Option<&ServerRecord> {
    match change {
        RegistryChange::Present(record) => Some(record),
        RegistryChange::Absent(_) => None,
    }
}

impl World {
    fn new(now: Instant) -> Self {
        Self {
            now,
            store: Store {
                era: 1,
                ..Store::default()
            },
            number: 0,
            servers: BTreeMap::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
        }
    }

    fn play(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Publish => {
                self.number += 1;
                self.store.contents.write_state(self.number);
            }
            Event::TurnServer(server) => self.turn_server(server),
            Event::KeepCopy => self.store.copies.push(self.store.contents.clone()),
            Event::Restore => {
                if let Some(copy) = self.store.copies.pop() {
                    self.store.contents = copy;
                    self.store.era += 1;
                }
            }
            Event::WriteAgain => self.write_again(),
            Event::WriteOther => self.store.contents.version += 1,
            Event::AskList(entry) => self.entries[entry].list_watch.ask(&self.store),
            Event::AskState(entry) => self.entries[entry].state_watch.ask(&self.store),
            Event::Hear(entry) => self.entries[entry].hear(now),
            Event::Follow(entry, leader) if entry != leader => {
                let told = std::mem::take(&mut self.entries[leader]);
                self.entries[entry].follow(&told, now);
                self.entries[leader] = told;
            }
            Event::Follow(..) => {}
            Event::Restart(entry) => self.entries[entry] = Entry::default(),
            Event::Wait(millis) => self.now += Duration::from_millis(millis),
        }
    }

    fn turn_server(&mut self, server: u16) {
        let (started, state) = self.servers.get(&server).copied().unwrap_or((0, None));
        let next = match state {
            None => (started + 1, Some(ServerState::Ready)),
            Some(ServerState::Ready) => (started, Some(ServerState::Draining)),
            Some(ServerState::Draining) => (started, None),
        };
        self.servers.insert(server, next);
        let written = next.1.map(|state| record(server, next.0, state));
        self.store.contents.write_server(server, written);
    }

    fn write_again(&mut self) {
        let contents = &mut self.store.contents;
        if self.number > 0
            && contents
                .state
                .is_none_or(|(number, _)| number != self.number)
        {
            contents.write_state(self.number);
        }
        for (server, (started, state)) in &self.servers {
            let wanted = state.map(|state| record(*server, *started, state));
            let found = contents.servers.get(server);
            if found.and_then(|(_, record)| record.as_ref()) != wanted.as_ref() {
                contents.write_server(*server, wanted);
            }
        }
    }

    /// No draining server is used again, and no desired state goes back.
    fn check(&self, before: &[Option<StateVersion>]) {
        for (entry, before) in self.entries.iter().zip(before) {
            let number = |version: &Option<StateVersion>| version.map(|version| version.number);
            assert!(number(&entry.state) >= number(before));
            for record in entry.ready() {
                let drained = entry.drained.get(&record.instance);
                assert!(drained.is_none_or(|started| *started < record.started_ms));
            }
        }
    }

    /// In calm, after all was written again, every entry has what the operator and the
    /// servers wrote last.
    fn settle(&mut self) {
        self.write_again();
        for _ in 0..6 {
            for entry in &mut self.entries {
                entry.hear(self.now);
                entry.list_watch.ask(&self.store);
                entry.state_watch.ask(&self.store);
                entry.hear(self.now);
            }
            self.now += Duration::from_secs(3);
        }
        let expected: Vec<ServerRecord> = self
            .servers
            .iter()
            .filter(|(_, (_, state))| *state == Some(ServerState::Ready))
            .map(|(server, (started, _))| record(*server, *started, ServerState::Ready))
            .collect();
        for entry in &self.entries {
            let number = entry.state.map_or(0, |version| version.number);
            assert_eq!(number, self.number);
            assert_eq!(entry.ready(), expected);
        }
    }
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Publish),
        4 => (0..SERVERS).prop_map(Event::TurnServer),
        2 => Just(Event::KeepCopy),
        2 => Just(Event::Restore),
        2 => Just(Event::WriteAgain),
        2 => Just(Event::WriteOther),
        6 => (0..ENTRIES).prop_map(Event::AskList),
        4 => (0..ENTRIES).prop_map(Event::AskState),
        6 => (0..ENTRIES).prop_map(Event::Hear),
        4 => (0..ENTRIES, 0..ENTRIES).prop_map(|(entry, leader)| Event::Follow(entry, leader)),
        1 => (0..ENTRIES).prop_map(Event::Restart),
        2 => (100..4_000_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn entries_agree_with_what_was_written_last(
        events in prop::collection::vec(any_event(), 1..80),
    ) {
        let mut world = World::new(Instant::now());
        for event in events {
            let before: Vec<Option<StateVersion>> = match event {
                Event::Restart(_) => vec![None; ENTRIES],
                _ => world.entries.iter().map(|entry| entry.state).collect(),
            };
            world.play(event);
            world.check(&before);
        }
        world.settle();
    }
}
