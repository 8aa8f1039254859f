//! Roll-outs of a plain service while entries, links and the store fail.
//!
//! The service has workers of its own, which spoil nothing unless the version is bad.
//! Orders follow each other until the end; each version is drawn as good, as failing or
//! as slow.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use miette::{IntoDiagnostic, Result};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stand_ins::{ScriptedWorker, WorkerAct};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{BrokenPromise, SoakSite, soak_callers::request_tide, soak_site::registration};

/// Plain service whose versions are rolled out.
pub const SERVICE: &str = "tide";
/// Bounds in the settings of the entries.
pub const EXPOSE_SHARE: f64 = 0.2;
/// See [`EXPOSE_SHARE`].
pub const EXPOSE_SLACK: f64 = 20.0;
/// Time after the fiftieth bad answer from which a version gets nothing.
pub const ROLLBACK: Duration = Duration::from_secs(5);
/// Time by which a store that is away and an entry that stands still delay that.
const ROLLBACK_STRETCH: Duration = Duration::from_millis(7_500);
/// Bad answers after which the rollback is due.
const BAD_ANSWERS: usize = 50;
/// Time limit of an order.
const PERIOD: Duration = Duration::from_secs(6);
/// Time after the time limit for which the end of an order is awaited while faults go on.
const END_WAIT: Duration = Duration::from_secs(6);
/// Time after the end of all faults within which the last order has an end: its time
/// limit, which entries that find it count anew, and a start of the entries.
const SETTLE_WAIT: Duration = Duration::from_secs(20);
/// Time from an order to the start of the new servers, in which entries that are in
/// touch learn of it.
const START_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between two requests.
const TIDE_PAUSE: Duration = Duration::from_millis(8);
/// Pause between two looks at the state of an order.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// More acts than a worker gets requests in a run.
const ACTS: usize = 20_000;
/// Time of an answer of a slow version; the route's target is 500 ms.
const SLOW_ANSWER: Duration = Duration::from_millis(900);
/// Failure domains of the workers.
const DOMAINS: [&str; 2] = ["a", "b"];

/// Orders by how they ended.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("orders={orders} bad={bad} finished={finished} reverted={reverted}")]
pub struct RolloutCounts {
    /// Orders given.
    pub orders: u32,
    /// Those for a bad version.
    pub bad: u32,
    /// Those that finished while faults went on.
    pub finished: u32,
    /// Those that were reverted while faults went on.
    pub reverted: u32,
}

/// One order as the workers and the store saw it.
#[derive(Clone, Debug)]
pub struct RolloutRecord {
    /// Version that was ordered.
    pub version: String,
    /// Whether it is bad.
    pub is_bad: bool,
    /// When the order was given.
    pub ordered_at: Instant,
    /// Arrivals at the servers of all versions until the time limit.
    pub arrivals: usize,
    /// Arrivals at servers of the new version, in order.
    pub new_arrivals: Vec<Instant>,
    /// Last state in the store for this order.
    pub state: Option<String>,
}

/// Promises about roll-outs that a record breaks.
pub fn rollout_faults(record: &RolloutRecord) -> Vec<BrokenPromise> {
    if !record.is_bad {
        return Vec::new();
    }
    let mut broken = Vec::new();
    let version = record.version.clone();
    let limit = record.ordered_at + PERIOD;
    let exposed = record.new_arrivals.iter().filter(|at| **at <= limit);
    let exposed = exposed.count();
    let bound = EXPOSE_SHARE * record.arrivals as f64 + EXPOSE_SLACK;
    if exposed as f64 > bound {
        broken.push(BrokenPromise::Exposed(version.clone(), exposed));
    }
    if let Some(last_bad) = record.new_arrivals.get(BAD_ANSWERS - 1) {
        let end = *last_bad + ROLLBACK + ROLLBACK_STRETCH;
        if record.new_arrivals.iter().any(|at| *at > end) {
            broken.push(BrokenPromise::NotRolledBack(version.clone()));
        }
    }
    if record.state.as_deref() == Some("finished") {
        broken.push(BrokenPromise::BadFinished(version));
    }
    broken
}

/// Servers of one version.
struct VersionServers {
    workers: Vec<ScriptedWorker>,
}

impl VersionServers {
    async fn start(site: &SoakSite, version: &str, act: Option<&WorkerAct>) -> Result<Self> {
        let mut workers = Vec::new();
        for domain in DOMAINS {
            let worker = ScriptedWorker::start("t").await.into_diagnostic()?;
            worker.script(act.into_iter().cycle().take(ACTS).cloned());
            let mut row = registration(SERVICE, worker.address, domain);
            row["version"] = json!(version);
            let key = format!("i-{}", worker.address.port());
            site.store.put("servers", &key, row.to_string().as_bytes());
            workers.push(worker);
        }
        Ok(Self { workers })
    }

    /// Stops at once.
    fn stop(&self, site: &SoakSite) {
        for worker in &self.workers {
            site.store
                .remove("servers", &format!("i-{}", worker.address.port()));
            worker.crash_for(Duration::from_secs(3_600));
        }
    }

    fn arrivals(&self) -> Vec<Instant> {
        let workers = self.workers.iter();
        let mut arrivals: Vec<Instant> = workers
            .flat_map(ScriptedWorker::arrivals)
            .map(|arrival| arrival.at)
            .collect();
        arrivals.sort_unstable();
        arrivals
    }
}

/// Roll out versions until `end`, one after the other, while faults go on.
pub async fn draw_rollouts(
    site: Arc<SoakSite>,
    seed: u64,
    end: Instant,
) -> Result<(RolloutCounts, Vec<RolloutRecord>)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7469_6465);
    let mut counts = RolloutCounts::default();
    let mut records = Vec::new();
    let mut current = VersionServers::start(&site, "t0", None).await?;
    let mut tide = JoinSet::new();
    let callers = Arc::clone(&site);
    tide.spawn(async move {
        for number in 0.. {
            let entry = number % callers.entry_count();
            tokio::spawn(request_tide(Arc::clone(&callers), entry));
            sleep(TIDE_PAUSE).await;
        }
    });
    while Instant::now() < end {
        counts.orders += 1;
        let version = format!("t{}", counts.orders);
        let act = match rng.random_range(0..4) {
            0 => Some(WorkerAct::Answer(500, "failed")),
            1 => Some(WorkerAct::AnswerAfter(SLOW_ANSWER)),
            _ => None,
        };
        counts.bad += u32::from(act.is_some());
        let order = json!({"service": SERVICE, "to": version, "period-s": PERIOD.as_secs()});
        let ordered_at = Instant::now();
        site.store.put("op", &key(), order.to_string().as_bytes());
        sleep(START_PAUSE).await;
        let next = VersionServers::start(&site, &version, act.as_ref()).await?;
        // All entries end with the faults.
        let until = end.min(ordered_at + PERIOD + END_WAIT);
        let state = wait_end(&site, &version, until).await;
        let arrived = [&current, &next].map(VersionServers::arrivals);
        let is_counted = |at: &&Instant| **at >= ordered_at && **at <= ordered_at + PERIOD;
        records.push(RolloutRecord {
            version,
            is_bad: act.is_some(),
            ordered_at,
            arrivals: arrived.iter().flatten().filter(is_counted).count(),
            new_arrivals: next.arrivals(),
            state: state.clone(),
        });
        if state.as_deref() == Some("finished") {
            counts.finished += 1;
            current.stop(&site);
            current = next;
        } else {
            counts.reverted += u32::from(state.is_some());
            next.stop(&site);
        }
    }
    Ok((counts, records))
}

/// Whether the last order has an end after all faults.
pub async fn settles(site: &SoakSite) -> bool {
    let value = site.store.rows().value("op", &key()).unwrap_or_default();
    let order: Value = serde_json::from_slice(&value).unwrap_or_default();
    let end = Instant::now() + SETTLE_WAIT;
    match order["to"].as_str() {
        Some(version) => wait_end(site, version, end).await.is_some(),
        None => true,
    }
}

/// Waits until the store holds the end of the order for `version`; each version gets one
/// order.
async fn wait_end(site: &SoakSite, version: &str, until: Instant) -> Option<String> {
    while Instant::now() < until {
        let value = site
            .store
            .rows()
            .value("status", &key())
            .unwrap_or_default();
        let row: Value = serde_json::from_slice(&value).unwrap_or_default();
        let state = row["state"].as_str().unwrap_or("running");
        if state != "running" && row["to"] == version {
            return Some(state.to_owned());
        }
        sleep(LOOK_PAUSE).await;
    }
    None
}

fn key() -> String {
    format!("rollout/{SERVICE}")
}
