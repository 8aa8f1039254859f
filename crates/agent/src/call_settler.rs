//! Settling calls whose outcome is open.
//!
//! One task looks at the calls that this process gave up or lost the answer
//! of, and at those that an earlier process of the same server left behind.
//! It moves their records as far as the evidence goes; what stays unknown is
//! listed for its team until evidence comes.

use std::{sync::Arc, time::Duration};

use domain::service_call::{
    CallRecord, CallState, DispatchLimit, FenceRule, JournalReading, ServerVigil, settle,
};
use platform::{StoreError, TableRow, TableStore, WriteCondition};
use settings::JournalOffer;
use tokio::time::{Instant, MissedTickBehavior};
use wire::service_call::{OpenMessage, RecordMessage, call_row, open_rows};

use crate::{
    AgentState,
    call_registry::OpenCase,
    call_rows::{listing_removal, record_write},
    call_runner::wall_now,
    intent_log::{WriteOutcome, WriteUrgency},
};

/// Time between two looks.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest gap between two answers of a server that is awake.
const GAP_MAX: Duration = Duration::from_millis(600);

/// Cases looked at in one go.
const CASES_MAX: usize = 100;

/// Time after which a transaction that got no answer takes no effect any more.
const STORE_LATE_MAX: Duration = Duration::from_secs(60);

/// Time for which the write of a settled record is waited for.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// Settles calls for as long as the process runs.
pub struct CallSettler<T> {
    state: Arc<AgentState>,
    table: T,
    rule: FenceRule,
    vigil: ServerVigil,
    started_at: Instant,
    /// Calls of earlier processes of the server; none before they are read.
    inherited: Option<Vec<OpenCase>>,
}

impl<T: TableStore> CallSettler<T> {
    /// Settler of the calls at the server beside the agent.
    pub fn new(state: Arc<AgentState>, table: T, now: Instant) -> Self {
        let rule = FenceRule {
            run_max: state.settings.service_run_max,
            gap_max: GAP_MAX,
        };
        Self {
            state,
            table,
            rule,
            vigil: ServerVigil::default(),
            started_at: now,
            inherited: None,
        }
    }

    /// Settle until the process ends.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(SETTLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Err(error) = self.look().await {
                log::warn!("open calls wait: {error}");
            }
        }
    }

    async fn look(&mut self) -> Result<(), StoreError> {
        if self.inherited.is_none() {
            self.inherited = Some(self.read_inherited().await?);
        }
        let mut cases = self.state.call_registry.cases();
        cases.extend(self.inherited.iter().flatten().cloned());
        cases.sort_by_key(|case| case.opened_at);
        cases.truncate(CASES_MAX);
        if cases.is_empty() {
            return Ok(());
        }
        let keys: Vec<String> = cases.iter().map(|case| call_row(&case.request)).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        let rows = self.table.read(&keys).await?;
        for (case, key) in cases.iter().zip(keys) {
            let row = rows.iter().find(|row| row.key == key);
            self.look_at(case, row).await;
        }
        Ok(())
    }

    /// Calls that earlier processes of the server left open.
    ///
    /// They can have dispatched them until this process started, not later:
    /// both listen on the same address.
    async fn read_inherited(&self) -> Result<Vec<OpenCase>, StoreError> {
        let owner = &self.state.owner;
        let pool = self.state.settings.pool.as_str();
        let prefix = open_rows(pool, owner.server.as_str());
        let mut cases = Vec::new();
        let mut after = String::new();
        loop {
            let rows = self.table.scan(&prefix, &after, CASES_MAX).await?;
            let Some(last) = rows.last() else {
                break;
            };
            after.clone_from(&last.key);
            let open = rows
                .iter()
                .filter_map(|row| serde_json::from_str::<OpenMessage>(&row.value).ok());
            cases.extend(
                open.filter(|open| open.epoch != owner.epoch)
                    .map(|open| OpenCase {
                        request: open.request,
                        epoch: open.epoch,
                        run: open.run,
                        limit: DispatchLimit::Until(self.started_at),
                        opened_at: self.started_at,
                    }),
            );
        }
        if !cases.is_empty() {
            log::info!("{} calls of an earlier process are open", cases.len());
        }
        Ok(cases)
    }

    async fn look_at(&mut self, case: &OpenCase, row: Option<&TableRow>) {
        let Some((row, record)) = row.and_then(|row| Some((row, own_record(case, row)?))) else {
            // The write may still take effect, but not for ever.
            if row.is_some() || case.opened_at.elapsed() > STORE_LATE_MAX {
                self.close(case).await;
            }
            return;
        };
        let reading = self.read_journal(case).await;
        let state = match settle(case.limit, &reading, &self.vigil, &self.rule) {
            Some(state) => state,
            // The owner is gone, so the team is told at once.
            None if record.state == CallState::Intended => CallState::Unknown,
            None => return,
        };
        let settled = CallRecord {
            recorded_at: wall_now(),
            state,
            ..record
        };
        let write = record_write(
            &self.state,
            &case.request,
            WriteCondition::Version(row.version),
            &settled,
            WriteUrgency::Intent,
        );
        let deadline = Instant::now() + WRITE_PATIENCE;
        let written = self.state.intents.write(write, deadline).await;
        if written == WriteOutcome::Recorded && !settled.state.is_open() {
            log::info!(request = case.request.as_str(); "settled as {:?}", settled.state);
            self.forget(case);
        }
    }

    async fn read_journal(&mut self, case: &OpenCase) -> JournalReading {
        if self.state.settings.journal == JournalOffer::None || case.limit == DispatchLimit::Never {
            return JournalReading::Silent;
        }
        let reading = self.state.service.read_journal(&case.request).await;
        match reading {
            JournalReading::Silent => self.vigil.failed(),
            _ => self.vigil.answered(&self.rule, Instant::now()),
        }
        reading
    }

    /// Another record stands in the place of the case's.
    async fn close(&mut self, case: &OpenCase) {
        let write = listing_removal(&self.state, case.epoch, case.run);
        let deadline = Instant::now() + WRITE_PATIENCE;
        if self.state.intents.write(write, deadline).await == WriteOutcome::Recorded {
            self.forget(case);
        }
    }

    fn forget(&mut self, case: &OpenCase) {
        if case.epoch == self.state.owner.epoch {
            self.state.call_registry.close(case.run);
        } else if let Some(inherited) = &mut self.inherited {
            inherited.retain(|other| other != case);
        }
    }
}

/// The record of a row, if it is the open one of the case.
fn own_record(case: &OpenCase, row: &TableRow) -> Option<CallRecord> {
    let message = serde_json::from_str::<RecordMessage>(&row.value).ok()?;
    let record = CallRecord::try_from(message).ok()?;
    let is_own = record.owner.epoch == case.epoch && record.run == case.run;
    (is_own && record.state.is_open()).then_some(record)
}
