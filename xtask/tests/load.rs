//! Classes, refusals and slow servers, with real processes; counts only.

use std::time::{Duration, Instant};

use miette::Result;
use rstest::rstest;
use serde_json::json;
use stand_ins::{EngineCounts, EngineFaults};
use tokio::task::JoinSet;
use wire::vm::KindMessage;
use xtask::{
    CallerClient, ChatEnd, Deployment, DeploymentPlan, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
    load_plan::{LARGE_TEAM, LoadMix, LoadPlan, RequestKind},
    load_run::{FinishedRequest, RequestEnd, run_load},
};

const LONG_TOKENS: u32 = 300;
const SHORT_TOKENS: u32 = 8;

fn slow_engine() -> EnginePlan {
    EnginePlan {
        slots: 4,
        token_gap_us: 20_000,
        ..EnginePlan::default()
    }
}

/// Wait until every agent knows the slots of its engine.
async fn wait_for_slots(deployment: &Deployment) -> Result<()> {
    for site in &deployment.sites {
        if site.vm.kind != KindMessage::Engine {
            continue;
        }
        loop {
            let state: serde_json::Value = deployment
                .fleet
                .read(site.agent.vm.stream, "/state")
                .await?;
            if state["slots"].as_u64().is_some_and(|slots| slots > 0) {
                break;
            }
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}

/// Send generations at once; whole ones, refused ones and all others.
async fn send(deployment: &Deployment, count: u32, tokens: u32) -> (u32, u32, u32) {
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let entry = deployment.entry(0);
        tasks.spawn(async move {
            let caller = CallerClient::new("kivu-shores");
            let content = format!("Report {number} of {tokens}.");
            let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, &content, tokens);
            let outcome = caller.chat(entry, &request, None, |_| {}).await;
            let is_whole = outcome.faults(seed, tokens) == Default::default();
            (outcome.end, is_whole)
        });
    }
    let mut ends = (0, 0, 0);
    for (end, is_whole) in tasks.join_all().await {
        match end {
            ChatEnd::Finished if is_whole => ends.0 += 1,
            ChatEnd::Refused(429, text) if text.contains("\"not run\"") => ends.1 += 1,
            _ => ends.2 += 1,
        }
    }
    ends
}

async fn requests_of(deployment: &Deployment) -> Result<u64> {
    Ok(requests_by_site(deployment).await?.iter().sum())
}

async fn requests_by_site(deployment: &Deployment) -> Result<Vec<u64>> {
    let mut requests = Vec::new();
    for site in &deployment.sites {
        if site.vm.kind != KindMessage::Engine {
            continue;
        }
        let counts: EngineCounts = deployment
            .fleet
            .read(site.server.address, "/control")
            .await?;
        requests.push(counts.requests);
    }
    Ok(requests)
}

#[rstest]
#[case::long_work_has_half_of_the_slots(LONG_TOKENS, 8, 4)]
#[case::short_work_has_a_short_queue(SHORT_TOKENS, 40, 12)]
#[tokio::test(flavor = "multi_thread")]
async fn refused_work_never_ran(
    #[case] tokens: u32,
    #[case] sent: u32,
    #[case] at_once_max: u64,
) -> Result<()> {
    let deployment = DeploymentPlan::default()
        .engines(2)
        .engine(slow_engine())
        .start()
        .await?;
    wait_for_slots(&deployment).await?;
    let (whole, refused, others) = send(&deployment, sent, tokens).await;
    let ran = requests_of(&deployment).await?;
    assert_eq!(others, 0, "{whole} whole, {refused} refused");
    assert!(refused > 0, "nothing was refused of {sent}");
    assert_eq!(u64::from(whole), ran, "a refused request ran");
    assert!(ran >= at_once_max, "slots were left empty: {ran} ran");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn short_work_finds_slots_beside_long_work() -> Result<()> {
    let deployment = DeploymentPlan::default()
        .engines(2)
        .engine(slow_engine())
        .start()
        .await?;
    wait_for_slots(&deployment).await?;
    let long = send(&deployment, 12, LONG_TOKENS);
    let short = async {
        while requests_of(&deployment).await? < 4 {
            tokio::task::yield_now().await;
        }
        let short = send(&deployment, 4, SHORT_TOKENS).await;
        Ok::<_, miette::Report>(short)
    };
    let (long, short) = tokio::join!(long, short);
    assert_eq!(short?, (4, 0, 0), "long work: {long:?}");
    assert_eq!(long.0, 4, "long work beyond its slots: {long:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn baseline_refuses_nothing() -> Result<()> {
    let plain = json!({ "policy": "plain" });
    let deployment = DeploymentPlan::default()
        .engines(2)
        .engine(slow_engine())
        .entry_extra(plain.clone())
        .agent_extra(plain)
        .start()
        .await?;
    wait_for_slots(&deployment).await?;
    assert_eq!(send(&deployment, 40, SHORT_TOKENS).await, (40, 0, 0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn straggler_moves_and_stays_whole() -> Result<()> {
    let deployment = DeploymentPlan::default()
        .engines(4)
        .engine(slow_engine())
        .start()
        .await?;
    wait_for_slots(&deployment).await?;
    // Every engine's pace becomes known.
    while paces_known(&deployment).await? < 4 {
        assert_eq!(send(&deployment, 4, SHORT_TOKENS).await, (4, 0, 0));
    }
    let before = requests_of(&deployment).await?;
    let slowed = EngineFaults {
        slow_milli: 50_000,
        ..EngineFaults::default()
    };
    let idle = requests_by_site(&deployment).await?;
    let slow = async {
        while requests_of(&deployment).await? < before + 4 {
            tokio::task::yield_now().await;
        }
        // Slow one engine that has a report in its middle.
        let busy = requests_by_site(&deployment).await?;
        let site = (0..4).find(|&at| busy[at] > idle[at]);
        let site = &deployment.sites[site.expect("reports have begun")];
        let engine = site.server.address;
        deployment.fleet.control(engine, &slowed).await
    };
    let (ends, slow) = tokio::join!(send(&deployment, 4, 128), slow);
    slow?;
    assert_eq!(ends, (4, 0, 0));
    let moved = requests_of(&deployment).await? - before - 4;
    assert!(
        (1..=4).contains(&moved),
        "{moved} attempts beyond the first"
    );
    Ok(())
}

async fn paces_known(deployment: &Deployment) -> Result<usize> {
    let state: serde_json::Value = deployment.fleet.read(deployment.entry(0), "/state").await?;
    let servers = state["servers"].as_array().cloned().unwrap_or_default();
    let known = servers
        .iter()
        .filter(|server| server["token_gap_us"].as_u64().is_some_and(|gap| gap > 0));
    Ok(known.count())
}

/// Ends of the requests of a kind: whole, refused, failed.
fn ends(requests: &[FinishedRequest], kind: RequestKind) -> (usize, usize, usize) {
    let count = |end| {
        let same = requests.iter().filter(|one| one.planned.kind == kind);
        same.filter(|one| one.end == end).count()
    };
    (
        count(RequestEnd::Whole),
        count(RequestEnd::Refused),
        count(RequestEnd::Failed),
    )
}

/// Swing from half of the capacity to three times of it and back, without
/// warning, over four failure domains.
async fn swing(
    deployment: &mut Deployment,
    disturb: impl AsyncFnOnce(&mut Deployment),
) -> Vec<FinishedRequest> {
    let mix = LoadMix {
        long_share: 0.06,
        stock_share: 0.3,
        large_share: 0.5,
        small_teams: 40,
    };
    // The slots carry about 48 generations of this mix a second.
    let arrivals = LoadPlan::new(mix, 1)
        .step(24.0, Duration::from_secs(1))
        .step(144.0, Duration::from_secs(3))
        .step(24.0, Duration::from_secs(1))
        .arrivals(|_| true);
    let entries: Vec<_> = deployment.entries.iter().map(|one| one.address).collect();
    let load = run_load(&entries, &arrivals, Instant::now());
    tokio::join!(load, disturb(deployment)).0
}

async fn four_domains() -> Result<Deployment> {
    let deployment = DeploymentPlan::default()
        .engines(4)
        .services(1)
        .entries(2)
        .engine(EnginePlan {
            slots: 4,
            ..EnginePlan::default()
        })
        .start()
        .await?;
    wait_for_slots(&deployment).await?;
    Ok(deployment)
}

#[tokio::test(flavor = "multi_thread")]
async fn crest_is_answered_or_refused() -> Result<()> {
    let mut deployment = four_domains().await?;
    let finished = swing(&mut deployment, async |_| {}).await;
    let (stock, stock_refused, stock_failed) = ends(&finished, RequestKind::Stock);
    assert!(stock > 0);
    assert_eq!(
        (stock_refused, stock_failed),
        (0, 0),
        "plain calls wait for generations"
    );
    let short = ends(&finished, RequestKind::Short);
    let long = ends(&finished, RequestKind::Long);
    assert_eq!((short.2, long.2), (0, 0), "short {short:?}, long {long:?}");
    assert!(short.1 > 0 && long.1 > 0, "short {short:?}, long {long:?}");
    // A generation that moved began more than once.
    let ran = usize::try_from(requests_of(&deployment).await?).unwrap_or(usize::MAX);
    let whole = short.0 + long.0;
    assert!(ran >= whole, "{ran} began of {whole}");
    assert!(
        ran - whole <= 20 + whole / 4,
        "{ran} began for {whole} whole"
    );
    // Half of all requests are the large team's, but less of the answers.
    let short_of = |is_large: bool| {
        let short = finished
            .iter()
            .filter(|one| one.planned.kind == RequestKind::Short)
            .filter(|one| (one.planned.team == LARGE_TEAM) == is_large);
        short.filter(|one| one.end == RequestEnd::Whole).count()
    };
    let (large, small) = (short_of(true), short_of(false));
    println!("short {short:?}, long {long:?}, begun {ran}, large {large}, small {small}");
    assert!(
        small > large * 3 / 2,
        "{small} of small teams, {large} of the large one"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_domain_at_the_crest_fails_nothing() -> Result<()> {
    let mut deployment = four_domains().await?;
    let finished = swing(&mut deployment, async |deployment| {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let site = &mut deployment.sites[3];
        site.server.kill();
        site.agent.process.kill();
    })
    .await;
    let short = ends(&finished, RequestKind::Short);
    let long = ends(&finished, RequestKind::Long);
    println!("short {short:?}, long {long:?}");
    assert_eq!((short.2, long.2), (0, 0), "short {short:?}, long {long:?}");
    Ok(())
}
