//! Settling calls whose outcome is open.
//!
//! One task looks at the calls that this process gave up or lost the answer
//! of, and at those that processes left behind which are gone.
//! It moves their records as far as the evidence goes; what stays unknown is
//! listed for its team until evidence comes.

use std::{sync::Arc, time::Duration};

use backing::{StoreError, TableRow, TableStore, VmList, WriteCondition};
use domain::service_call::{
    AbsenceRule, CallRecord, CallState, DispatchLimit, JournalLookup, ServerUptime, WriteLimits,
    settled_state,
};
use futures_util::future::join_all;
use settings::JournalOffer;
use tokio::time::{Instant, MissedTickBehavior};
use wire::service_call::call_row;

use crate::{
    AgentState,
    call_registry::OpenCase,
    call_rows::{listing_removal, open_record, record_write},
    call_runner::wall_now,
    intent_log::{RowWrite, WriteOutcome, WriteUrgency},
    orphan_calls::{OrphanCalls, STORE_LATE_MAX},
};

/// Time between two looks.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest gap between two answers of a server that is awake.
const GAP_MAX: Duration = Duration::from_millis(600);

/// Cases looked at in one go.
const CASES_MAX: usize = 100;

/// Pause before a server that does not answer is asked again.
const ASLEEP_PAUSE: Duration = Duration::from_millis(300);

/// Time for which the write of a settled record is waited for.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// What is written of a case.
struct SettledCase<'a> {
    case: &'a OpenCase,
    write: RowWrite,
    /// Whether the case is closed by the write.
    is_final: bool,
}

/// Settles calls for as long as the process runs.
pub struct CallSettler<T> {
    state: Arc<AgentState>,
    table: T,
    rule: AbsenceRule,
    uptime: ServerUptime,
    /// The server is not asked before, since it did not answer.
    asleep_until: Instant,
    /// Case that the next look begins with.
    next_case: usize,
    orphans: OrphanCalls,
}

impl<T: TableStore + VmList> CallSettler<T> {
    /// Settler of the calls at the server beside the agent.
    pub fn new(state: Arc<AgentState>, table: T, now: Instant) -> Self {
        let rule = AbsenceRule {
            run_max: state.settings.service_run_max,
            answer_gap_max: GAP_MAX,
        };
        Self {
            state,
            table,
            rule,
            uptime: ServerUptime::default(),
            asleep_until: now,
            next_case: 0,
            orphans: OrphanCalls::new(now),
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
        self.orphans.look(&self.state, &self.table).await?;
        let cases = self.next_cases();
        if cases.is_empty() {
            return Ok(());
        }
        let keys: Vec<String> = cases.iter().map(|case| call_row(&case.request)).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        let rows = self.table.read(&keys).await?;
        let mut writes = Vec::new();
        for (case, key) in cases.iter().zip(keys) {
            let row = rows.iter().find(|row| row.key == key);
            writes.extend(self.judge(case, row).await);
        }
        let limits = WriteLimits::until(Instant::now() + WRITE_PATIENCE);
        let intents = &self.state.intents;
        let written = writes.into_iter().map(|settled| async move {
            let written = intents.write(settled.write, limits).await;
            (written == WriteOutcome::Recorded && settled.is_final).then_some(settled.case)
        });
        for case in join_all(written).await.into_iter().flatten() {
            self.forget(case);
        }
        Ok(())
    }

    /// The cases of this look; all have their turn.
    fn next_cases(&mut self) -> Vec<OpenCase> {
        let mut cases = self.state.call_registry.cases();
        cases.extend(self.orphans.cases().cloned());
        if cases.is_empty() {
            return cases;
        }
        cases.sort_by(|one, other| one.request.cmp(&other.request));
        let first = self.next_case % cases.len();
        cases.rotate_left(first);
        cases.truncate(CASES_MAX);
        self.next_case = first + cases.len();
        cases
    }

    /// What is to be written of a case now, if anything.
    async fn judge<'a>(
        &mut self,
        case: &'a OpenCase,
        row: Option<&TableRow>,
    ) -> Option<SettledCase<'a>> {
        let Some((row, record)) =
            row.and_then(|row| Some((row, open_record(row, &case.owner, case.run)?)))
        else {
            // A write that was given up may still take effect, but not for ever.
            let is_late = case.opened_at.elapsed() > STORE_LATE_MAX;
            let is_over = is_late || case.limit != DispatchLimit::Never && row.is_some();
            return is_over.then(|| SettledCase {
                case,
                write: listing_removal(&self.state, &case.owner, case.run),
                is_final: true,
            });
        };
        let lookup = self.read_journal(case).await;
        let state = match settled_state(case.limit, &lookup, &self.uptime, &self.rule) {
            Some(state) => state,
            // The owner is gone, so the team is told at once.
            None if record.state == CallState::Intended => CallState::Unknown,
            None => return None,
        };
        let settled = CallRecord {
            recorded_at: wall_now(),
            state,
            ..record
        };
        log::info!(request = case.request.as_str(); "settled as {:?}", settled.state);
        Some(SettledCase {
            case,
            is_final: !settled.state.is_open(),
            write: record_write(
                &self.state,
                &case.request,
                WriteCondition::Version(row.version),
                &settled,
                WriteUrgency::Intent,
            ),
        })
    }

    async fn read_journal(&mut self, case: &OpenCase) -> JournalLookup {
        let is_told = match self.state.settings.journal {
            JournalOffer::None => false,
            JournalOffer::ByKey => case.owner.server == self.state.owner.server,
            JournalOffer::ByPool => true,
        };
        if !is_told || case.limit == DispatchLimit::Never {
            return JournalLookup::Unavailable;
        }
        if Instant::now() < self.asleep_until {
            return JournalLookup::Unavailable;
        }
        let lookup = self.state.service.read_journal(&case.request).await;
        let now = Instant::now();
        match lookup {
            JournalLookup::Unavailable => {
                self.uptime.record_failure();
                self.asleep_until = now + ASLEEP_PAUSE;
            }
            _ => self.uptime.record_answer(&self.rule, now),
        }
        lookup
    }

    fn forget(&mut self, case: &OpenCase) {
        if case.owner == self.state.owner {
            self.state.call_registry.close(case.run);
        } else {
            self.orphans.forget(case);
        }
    }
}
