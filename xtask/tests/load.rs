//! Classes, refusals and slow servers, with real processes; counts only.

use miette::Result;
use rstest::rstest;
use serde_json::json;
use stand_ins::{EngineCounts, EngineFaults};
use tokio::task::JoinSet;
use xtask::{
    CallerClient, ChatEnd, Deployment, DeploymentPlan, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
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
    let mut requests = 0;
    for site in &deployment.sites {
        let counts: EngineCounts = deployment
            .fleet
            .read(site.server.address, "/control")
            .await?;
        requests += counts.requests;
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
    let slow = async {
        // Slow the engines of two reports in the middle of them.
        while requests_of(&deployment).await? < before + 4 {
            tokio::task::yield_now().await;
        }
        for site in &deployment.sites[..2] {
            deployment
                .fleet
                .control(site.server.address, &slowed)
                .await?;
        }
        Ok::<_, miette::Report>(())
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
