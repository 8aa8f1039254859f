//! Open calls of processes that are gone.
//!
//! A process finds those of its own predecessors when it starts. Those of
//! other servers of the pool it takes over when the platform has not listed
//! the server for so long that its VM is gone for good, and with it whatever
//! the server had received.

use std::{collections::HashMap, time::Duration};

use backing::{StoreError, TableRow, TableStore, VmList};
use domain::{
    ServerName,
    service_call::{CallOwner, DispatchLimit},
};
use tokio::time::Instant;
use wire::service_call::{OpenMessage, open_rows, pool_open_rows};

use crate::{AgentState, call_registry::OpenCase};

/// Rows read at once.
const PAGE_ROWS: usize = 100;

/// Time after which a transaction that got no answer takes no effect any more.
pub const STORE_LATE_MAX: Duration = Duration::from_secs(60);

/// Time between two looks for calls of earlier processes, soon after a start.
const OWN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks for calls of other servers at most.
const PEER_INTERVAL: Duration = Duration::from_secs(5);

/// Calls that their owners cannot settle any more.
pub struct OrphanCalls {
    started_at: Instant,
    next_own_look: Instant,
    next_peer_look: Instant,
    /// Servers with open calls that the platform does not list, and since when.
    absent: HashMap<ServerName, Instant>,
    cases: Vec<OpenCase>,
}

impl OrphanCalls {
    /// Calls that are orphans for a process started at a moment.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            next_own_look: started_at,
            next_peer_look: started_at,
            absent: HashMap::new(),
            cases: Vec::new(),
        }
    }

    /// The calls.
    pub fn cases(&self) -> impl Iterator<Item = &OpenCase> {
        self.cases.iter()
    }

    /// A call is settled.
    pub fn forget(&mut self, case: &OpenCase) {
        self.cases.retain(|other| other != case);
    }

    /// Look for more calls, if it is time.
    pub async fn look<T>(&mut self, state: &AgentState, store: &T) -> Result<(), StoreError>
    where
        T: TableStore + VmList,
    {
        let now = Instant::now();
        if now >= self.next_own_look {
            self.next_own_look = now + self.own_interval(now);
            self.read_own(state, store).await?;
        }
        if now >= self.next_peer_look {
            self.next_peer_look = now + PEER_INTERVAL.min(state.settings.peer_gone);
            self.read_peers(state, store, now).await?;
        }
        Ok(())
    }

    /// Writes of a process that died may take effect after the start of the
    /// next one, but not for ever.
    fn own_interval(&self, now: Instant) -> Duration {
        if now.duration_since(self.started_at) <= STORE_LATE_MAX {
            OWN_INTERVAL
        } else {
            PEER_INTERVAL
        }
    }

    /// Calls of earlier processes of the server.
    ///
    /// They can have dispatched them until this process started, not later:
    /// both listen on the same address.
    async fn read_own(
        &mut self,
        state: &AgentState,
        table: &impl TableStore,
    ) -> Result<(), StoreError> {
        let prefix = open_rows(state.settings.pool.as_str(), state.owner.server.as_str());
        for row in read_all(table, &prefix).await? {
            let Some(case) = open_case(&row, self.started_at) else {
                continue;
            };
            if case.owner != state.owner {
                self.add(case);
            }
        }
        Ok(())
    }

    /// Calls of servers that are gone.
    async fn read_peers<T>(
        &mut self,
        state: &AgentState,
        store: &T,
        now: Instant,
    ) -> Result<(), StoreError>
    where
        T: TableStore + VmList,
    {
        let prefix = pool_open_rows(state.settings.pool.as_str());
        let rows = read_all(store, &prefix).await?;
        let mut open: Vec<OpenCase> = rows
            .iter()
            .filter_map(|row| open_case(row, now))
            .filter(|case| case.owner.server != state.owner.server)
            .collect();
        if open.is_empty() {
            self.absent.clear();
            return Ok(());
        }
        let listed = store.list().await?;
        open.retain(|case| {
            let mut listed = listed.iter();
            !listed.any(|vm| vm.spec.name == case.owner.server)
        });
        self.absent
            .retain(|server, _| open.iter().any(|case| case.owner.server == *server));
        for case in open {
            let since = *self.absent.entry(case.owner.server.clone()).or_insert(now);
            let is_gone = now.duration_since(since) >= state.settings.peer_gone;
            if is_gone {
                self.add(case);
            }
        }
        Ok(())
    }

    fn add(&mut self, case: OpenCase) {
        let mut known = self.cases.iter();
        if known.any(|known| known.owner == case.owner && known.run == case.run) {
            return;
        }
        log::info!(request = case.request.as_str(); "left open by {}", case.owner.server);
        self.cases.push(case);
    }
}

async fn read_all(table: &impl TableStore, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
    let mut rows: Vec<TableRow> = Vec::new();
    loop {
        let after = rows.last().map_or("", |row| row.key.as_str());
        let page = table.scan(prefix, after, PAGE_ROWS).await?;
        if page.is_empty() {
            return Ok(rows);
        }
        rows.extend(page);
    }
}

/// Call of a listing row, dispatched until a moment at the latest.
fn open_case(row: &TableRow, until: Instant) -> Option<OpenCase> {
    let open = serde_json::from_str::<OpenMessage>(&row.value).ok()?;
    Some(OpenCase {
        request: open.request,
        owner: CallOwner {
            server: ServerName::from(open.owner),
            epoch: open.owner_epoch,
        },
        run: open.run,
        limit: DispatchLimit::Until(until),
        opened_at: until,
    })
}
