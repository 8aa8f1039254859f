//! Bookings under faults: at most once, and refusals that are honest.
//!
//! The ledger that all servers of the plain service share is the witness of
//! what ran; callers' answers are the witness of what was told. Callers are
//! impatient: they give up, repeat a key through the other entry, and some
//! send it through both at once.

mod booking;
mod crest;
mod fault_storm;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use exchange::{ExchangeCall, ExchangeClient};
use futures_util::{StreamExt, stream};
use miette::{IntoDiagnostic, Result};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stand_ins::{PlatformFaults, ServiceCounts, ServiceFaults};
use tokio::{task::JoinSet, time::Instant};
use wire::{
    service_call::{all_open_rows, call_row, unknown_row},
    table::{ReadMessage, ScanMessage},
};

use self::{
    booking::{BookingPlan, BookingRecord, CallerAnswer, book},
    fault_storm::storm,
};
use super::{MeasureOptions, MeasureReport};
use crate::{
    caller::CallerClient,
    deployment::{Deployment, DeploymentPlan},
};

/// Bookings placed under faults.
const BOOKINGS: usize = 2_400;

/// Time between two bookings under faults.
const BOOKING_GAP: Duration = Duration::from_millis(14);

/// Time after the faults within which every booking must be settled.
const SETTLE_PATIENCE: Duration = Duration::from_secs(15);

/// Outcomes asked for at once.
const ASKED_AT_ONCE: usize = 32;

/// Open calls that are shown beside a booking that stayed open.
const OPEN_SHOWN: usize = 100;

/// Team of all callers.
const TEAM: &str = "kivu-shores";

/// Bookings of the baseline.
const BASELINE_BOOKINGS: usize = 100;

/// Least bookings for each write at the store's limit.
const PER_WRITE_MIN: f64 = 10.0;

/// Most that the record may add to the median, in milliseconds.
const ADDED_P50_MAX_MS: f64 = 15.0;

/// Most that a refusal may take while the store is down, in milliseconds.
const REFUSAL_P99_MAX_MS: f64 = 300.0;

/// What the ledger and the callers disagree on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallFaults {
    /// Bookings that ran more than once.
    pub doubled: usize,
    /// Bookings told to have run that did not.
    pub lost: usize,
    /// Bookings told not to have run that did.
    pub false_refusals: usize,
    /// Bookings without a final outcome.
    pub unsettled: usize,
}

/// What the record of a booking says in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalOutcome {
    Ran,
    NotRun,
    /// Nothing was ever recorded.
    Absent,
    Unsettled,
}

/// Run the measurement.
pub async fn measure(options: MeasureOptions) -> Result<MeasureReport> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut deployment = plan().start().await?;
    let crest = crest::measure(&deployment).await?;
    println!("crest: {crest}");
    let outage = crest::measure_outage(&deployment).await?;
    println!("store down: {outage}");
    let StormOutcome {
        records,
        faults_caused,
        settle_s,
        faults,
    } = weather(&mut deployment, &mut rng, BOOKINGS).await?;
    println!("{} bookings under {faults_caused} faults", records.len());
    let baseline_doubled = measure_baseline(&deployment).await?;
    let answers = count_answers(&records);
    let figures = json!({
        "seed": options.seed, "bookings": records.len(), "faults": faults_caused,
        "doubled": faults.doubled, "lost": faults.lost,
        "false_refusals": faults.false_refusals, "unsettled": faults.unsettled,
        "settle_s": settle_s, "answers": answers, "crest": crest, "store_down": outage,
        "baseline_doubled": baseline_doubled, "baseline_bookings": BASELINE_BOOKINGS,
    });
    println!("answers: {answers}; settled in {settle_s:.1} s");
    println!("baseline: {baseline_doubled} of {BASELINE_BOOKINGS} doubled");
    Ok(report(figures, faults))
}

/// Place bookings under faults and say what the ledger and the callers disagree
/// on in the end.
pub async fn storm_faults(seed: u64, bookings: usize) -> Result<CallFaults> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut deployment = plan().start().await?;
    let outcome = weather(&mut deployment, &mut rng, bookings).await?;
    Ok(outcome.faults)
}

/// What came of bookings under faults.
struct StormOutcome {
    records: Vec<BookingRecord>,
    faults_caused: usize,
    settle_s: f64,
    faults: CallFaults,
}

async fn weather(
    deployment: &mut Deployment,
    rng: &mut SmallRng,
    bookings: usize,
) -> Result<StormOutcome> {
    let (records, faults_caused) = book_under_faults(deployment, rng, bookings).await?;
    calm(deployment).await?;
    let settled_from = Instant::now();
    let finals = settle(deployment, &records).await;
    let settle_s = settled_from.elapsed().as_secs_f64();
    let runs = ledger(deployment).await?;
    let faults = judge(&records, &finals, &runs);
    for (record, _) in records
        .iter()
        .zip(&finals)
        .filter(|(_, outcome)| **outcome == FinalOutcome::Unsettled)
    {
        explain(deployment, &record.key).await?;
    }
    Ok(StormOutcome {
        records,
        faults_caused,
        settle_s,
        faults,
    })
}

/// Print what the table holds of a booking, and what the agents logged of it.
async fn explain(deployment: &Deployment, key: &str) -> Result<()> {
    let request = format!("{TEAM}/{key}");
    let read = ReadMessage {
        keys: vec![call_row(&request), unknown_row(&request)],
    };
    let platform = deployment.fleet.platform();
    let call = ExchangeCall::post(platform, "/v1/table/read").json(&read);
    let rows = ExchangeClient::unpooled()
        .send(call)
        .await
        .into_diagnostic()?;
    println!("{request}: {}", String::from_utf8_lossy(&rows.body));
    let open = ScanMessage {
        prefix: all_open_rows().to_owned(),
        after: String::new(),
        limit: OPEN_SHOWN,
    };
    let call = ExchangeCall::post(platform, "/v1/table/scan").json(&open);
    let rows = ExchangeClient::unpooled()
        .send(call)
        .await
        .into_diagnostic()?;
    println!("open: {}", String::from_utf8_lossy(&rows.body));
    for site in &deployment.sites {
        let log = deployment.fleet.log(&site.vm.name);
        for line in log.lines().filter(|line| {
            line.ends_with(&request)
                || line.contains(&format!("{request} "))
                || line.contains(&format!("{request}\""))
        }) {
            println!("{}: {line}", site.vm.name);
        }
    }
    Ok(())
}

fn report(figures: Value, faults: CallFaults) -> MeasureReport {
    let figure = |group: &str, name: &str| figures[group][name].as_f64().unwrap_or(f64::NAN);
    let per_write = figure("crest", "per_write");
    let added = figure("crest", "added_p50_ms");
    let refusal = figure("store_down", "refusal_p99_ms");
    let mut missed = Vec::new();
    if faults != CallFaults::default() {
        missed.push(format!("bookings: {faults:?}"));
    }
    if per_write.is_nan() || per_write < PER_WRITE_MIN {
        missed.push(format!("{per_write:.1} bookings per write"));
    }
    if added.is_nan() || added >= ADDED_P50_MAX_MS {
        missed.push(format!("{added:.1} ms added"));
    }
    if refusal.is_nan() || refusal > REFUSAL_P99_MAX_MS {
        missed.push(format!("refused after {refusal:.0} ms"));
    }
    if figures["baseline_doubled"] == 0 {
        missed.push("the baseline doubled nothing, so the check shows nothing".to_owned());
    }
    let line = format!(
        "calls doubled={} lost={} false_refusals={} unsettled={} per_write={per_write:.1} added_p50_ms={added:.1}",
        faults.doubled, faults.lost, faults.false_refusals, faults.unsettled,
    );
    MeasureReport {
        figures,
        line,
        missed,
    }
}

fn plan() -> DeploymentPlan {
    DeploymentPlan::default()
        .engines(0)
        .services(3)
        .entries(2)
        .proxied()
        .shared_ledger()
        .agent_extra(json!({ "journal": "by_key", "service_run_max_ms": 1_000 }))
        .platform_args(&["--vm-lag-ms", "0"])
}

async fn book_under_faults(
    deployment: &mut Deployment,
    rng: &mut SmallRng,
    bookings: usize,
) -> Result<(Vec<BookingRecord>, usize)> {
    let entries = [deployment.entry(0), deployment.entry(1)];
    let plans: Vec<BookingPlan> = (0..bookings)
        .map(|at| BookingPlan::draw(format!("booking-{at}"), rng))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = tokio::spawn(place(entries, plans, Arc::clone(&is_over)));
    let faults = storm(deployment, rng, &is_over).await?;
    Ok((callers.await.into_diagnostic()?, faults))
}

async fn place(
    entries: [std::net::SocketAddr; 2],
    plans: Vec<BookingPlan>,
    is_over: Arc<AtomicBool>,
) -> Vec<BookingRecord> {
    let client = CallerClient::new(TEAM);
    let mut bookings = JoinSet::new();
    for plan in plans {
        bookings.spawn(book(client.clone(), entries, plan));
        tokio::time::sleep(BOOKING_GAP).await;
    }
    is_over.store(true, Ordering::Relaxed);
    bookings.join_all().await
}

/// End all faults.
async fn calm(deployment: &mut Deployment) -> Result<()> {
    let platform = deployment.fleet.platform();
    let fleet = &deployment.fleet;
    fleet.control(platform, &PlatformFaults::default()).await?;
    for site in &deployment.sites {
        let faults = ServiceFaults::default();
        fleet.control(site.server.address, &faults).await?;
    }
    Ok(())
}

/// Ask for the outcome of every booking until all are final.
async fn settle(deployment: &Deployment, records: &[BookingRecord]) -> Vec<FinalOutcome> {
    let deadline = Instant::now() + SETTLE_PATIENCE;
    stream::iter(records)
        .map(|record| final_outcome(deployment, record, deadline))
        .buffered(ASKED_AT_ONCE)
        .collect()
        .await
}

async fn final_outcome(
    deployment: &Deployment,
    record: &BookingRecord,
    deadline: Instant,
) -> FinalOutcome {
    let client = CallerClient::new(TEAM);
    let path = format!("/v1/requests/{}", record.key);
    loop {
        let asked = client.get(deployment.entry(0), &path).await;
        let outcome = match &asked {
            Ok(reply) if reply.status.as_u16() == 404 => FinalOutcome::Absent,
            Ok(reply) => match CallerAnswer::of(reply) {
                CallerAnswer::Ran => FinalOutcome::Ran,
                CallerAnswer::NotRun => FinalOutcome::NotRun,
                CallerAnswer::Open | CallerAnswer::Silent => FinalOutcome::Unsettled,
            },
            Err(_) => FinalOutcome::Unsettled,
        };
        if outcome != FinalOutcome::Unsettled || Instant::now() > deadline {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn ledger(deployment: &Deployment) -> Result<ServiceCounts> {
    let ledger = deployment.ledger.as_ref();
    let address = ledger.expect("the plan shares a ledger").address;
    deployment.fleet.read(address, "/control").await
}

fn judge(records: &[BookingRecord], finals: &[FinalOutcome], counts: &ServiceCounts) -> CallFaults {
    let mut faults = CallFaults::default();
    for (record, outcome) in records.iter().zip(finals) {
        let runs = counts
            .runs
            .get(&format!("{TEAM}/{}", record.key))
            .copied()
            .unwrap_or_default();
        let told_ran = record.told_ran() || *outcome == FinalOutcome::Ran;
        let told_not = record.ends_refused() || *outcome == FinalOutcome::NotRun;
        let has_lost_record = *outcome == FinalOutcome::Absent && runs > 0;
        let seen = [
            (&mut faults.doubled, runs > 1),
            (&mut faults.lost, told_ran && runs == 0),
            (&mut faults.false_refusals, told_not && runs > 0),
            (
                &mut faults.unsettled,
                *outcome == FinalOutcome::Unsettled || has_lost_record,
            ),
        ];
        let is_at_fault = seen.iter().any(|(_, is_seen)| *is_seen);
        for (count, is_seen) in seen {
            *count += usize::from(is_seen);
        }
        if is_at_fault {
            println!("{record:?}: {outcome:?}, {runs} runs");
        }
    }
    faults
}

fn count_answers(records: &[BookingRecord]) -> Value {
    let count = |answer: CallerAnswer| {
        let all = records.iter().flat_map(|record| &record.answers);
        all.filter(|&&seen| seen == answer).count()
    };
    json!({
        "ran": count(CallerAnswer::Ran),
        "not_run": count(CallerAnswer::NotRun),
        "open": count(CallerAnswer::Open),
        "silent": count(CallerAnswer::Silent),
    })
}

/// Callers that go to the service themselves and repeat on a timeout.
async fn measure_baseline(deployment: &Deployment) -> Result<usize> {
    let service = deployment.sites[0].server.address;
    let faults = ServiceFaults::losing(BASELINE_BOOKINGS as u64 / 4);
    deployment.fleet.control(service, &faults).await?;
    let client = CallerClient::new(TEAM);
    for at in 0..BASELINE_BOOKINGS {
        let key = format!("{TEAM}/baseline-{at}");
        for _ in 0..3 {
            let call = client.call(service, "/order", Some(&key), "{}");
            let patience = Duration::from_millis(100);
            if let Ok(Ok(_)) = tokio::time::timeout(patience, call).await {
                break;
            }
        }
    }
    let counts = ledger(deployment).await?;
    let doubled = counts
        .runs
        .iter()
        .filter(|(key, runs)| key.contains("/baseline-") && **runs > 1);
    Ok(doubled.count())
}
