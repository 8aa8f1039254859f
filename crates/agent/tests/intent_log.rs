//! Writes of intents around an outage of the store.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use agent::{AgentMetrics, IntentLog, RowWrite, WriteOutcome, WriteUrgency};
use backing::{StoreError, TableRow, TableStore, TableWrite, TransactOutcome, WriteCondition};
use domain::service_call::DispatchRule;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// What the store does with a transaction.
#[derive(Clone, Copy, Debug)]
enum StoreAct {
    /// Refuses it at once.
    Refuse,
    /// Applies it after this many milliseconds.
    Commit(u64),
}

/// A store that follows a script and then refuses.
#[derive(Clone)]
struct ScriptedTable(Arc<Mutex<VecDeque<StoreAct>>>);

impl TableStore for ScriptedTable {
    async fn read(&self, _keys: &[&str]) -> Result<Vec<TableRow>, StoreError> {
        Ok(Vec::new())
    }

    async fn scan(
        &self,
        _prefix: &str,
        _after: &str,
        _limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        Ok(Vec::new())
    }

    async fn transact(&self, _writes: &[TableWrite<'_>]) -> Result<TransactOutcome, StoreError> {
        let act = {
            let mut script = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            script.pop_front()
        };
        match act.unwrap_or(StoreAct::Refuse) {
            StoreAct::Commit(millis) => {
                sleep(Duration::from_millis(millis)).await;
                Ok(TransactOutcome::Committed)
            }
            StoreAct::Refuse => Err(StoreError::Unavailable {
                reason: "down".to_owned(),
            }),
        }
    }
}

fn intent(key: &str) -> RowWrite {
    RowWrite {
        key: key.to_owned(),
        condition: WriteCondition::Absent,
        value: Some("intent".to_owned()),
        listings: Vec::new(),
        urgency: WriteUrgency::Intent,
    }
}

/// The first write after an outage has the time of any other once it is on its
/// way; one that the store refuses is given up soon.
#[rstest]
#[case::back_and_slow(StoreAct::Commit(120), true, 120)]
#[case::still_down(StoreAct::Refuse, false, 40)]
#[case::too_slow(StoreAct::Commit(500), false, 220)]
#[tokio::test(start_paused = true)]
async fn first_write_after_an_outage(
    #[case] act: StoreAct,
    #[case] recorded: bool,
    #[case] waited_ms: u128,
) {
    // The outage is known from a write that was refused until it was given up.
    let refusals = vec![StoreAct::Refuse; 2];
    let script = refusals.into_iter().chain([act]).collect();
    let table = ScriptedTable(Arc::new(Mutex::new(script)));
    let log = IntentLog::start(table, AgentMetrics::new());
    let rule = DispatchRule::default();
    let write = async |key: &str| {
        let now = Instant::now();
        let limits = rule.intent_limits(log.is_failing(), now, now + Duration::from_secs(2));
        let outcome = log.write(intent(key), limits).await;
        (outcome, now.elapsed().as_millis())
    };
    let now = Instant::now();
    let limits = rule.intent_limits(true, now, now + Duration::from_secs(2));
    let earlier = log.write(intent("earlier"), limits).await;
    assert!(
        matches!(earlier, WriteOutcome::Undecided { .. }),
        "{earlier:?}"
    );
    assert!(log.is_failing());
    sleep(Duration::from_millis(100)).await;
    let (outcome, waited) = write("first").await;
    assert_eq!(outcome == WriteOutcome::Recorded, recorded, "{outcome:?}");
    assert!(waited.abs_diff(waited_ms) <= 2, "{waited} ms");
}
