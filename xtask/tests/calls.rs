//! Bookings under single faults, as real processes.
//!
//! What ran is counted at the ledger that all servers of the service share.

use std::time::Duration;

use exchange::ExchangeReply;
use miette::{Result, miette};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{PlatformFaults, ServiceCounts, ServiceFaults};
use wire::service_call::RequestList;
use xtask::{
    CallerClient, Deployment, DeploymentPlan,
    measure::calls::{CallFaults, storm_faults},
};

const ORDER: &str = "/v1/services/ledger/order";

const TEAM: &str = "kivu-shores";

/// Looks at a record before it counts as stuck.
const LOOKS_MAX: u32 = 300;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

fn plan(services: usize) -> DeploymentPlan {
    DeploymentPlan::default()
        .engines(0)
        .services(services)
        .entries(2)
        .proxied()
        .shared_ledger()
        .agent_extra(json!({ "journal": "by_key", "service_run_max_ms": 600 }))
        .platform_args(&["--vm-lag-ms", "0"])
}

async fn ledger(services: usize) -> Result<Deployment> {
    plan(services).start().await
}

/// Status and `outcome` of an answer; answers of the service have none.
fn told(reply: &ExchangeReply) -> (u16, String) {
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let outcome = body["outcome"].as_str().unwrap_or("ran");
    (reply.status.as_u16(), outcome.to_owned())
}

async fn order(deployment: &Deployment, entry: usize, key: &str) -> Result<(u16, String)> {
    let caller = CallerClient::new(TEAM);
    let reply = caller.call(deployment.entry(entry), ORDER, Some(key), "{}");
    Ok(told(&reply.await?))
}

async fn runs(deployment: &Deployment, key: &str) -> Result<u64> {
    let ledger = deployment.ledger.as_ref().expect("the plan has a ledger");
    let counts: ServiceCounts = deployment.fleet.read(ledger.address, "/control").await?;
    let runs = counts.runs.get(&format!("{TEAM}/{key}"));
    Ok(runs.copied().unwrap_or_default())
}

/// Look at the record until its outcome is final.
async fn final_outcome(deployment: &Deployment, key: &str) -> Result<String> {
    let caller = CallerClient::new(TEAM);
    let path = format!("/v1/requests/{key}");
    for _ in 0..LOOKS_MAX {
        let reply = caller.get(deployment.entry(0), &path).await?;
        let (status, outcome) = told(&reply);
        if outcome != "unknown" || status == 404 {
            return Ok(outcome);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(miette!("{key} is not settled"))
}

async fn unknown_keys(deployment: &Deployment) -> Result<Vec<String>> {
    let caller = CallerClient::new(TEAM);
    let path = "/v1/requests?state=unknown";
    let reply = caller.get(deployment.entry(1), path).await?;
    let list: RequestList =
        serde_json::from_slice(&reply.body).map_err(|error| miette!("{error}"))?;
    Ok(list
        .requests
        .into_iter()
        .map(|request| request.key)
        .collect())
}

async fn set_service(deployment: &Deployment, site: usize, faults: ServiceFaults) -> Result<()> {
    let address = deployment.sites[site].server.address;
    deployment.fleet.control(address, &faults).await
}

async fn set_store(deployment: &Deployment, faults: PlatformFaults) -> Result<()> {
    let platform = deployment.fleet.platform();
    deployment.fleet.control(platform, &faults).await
}

fn ran() -> (u16, String) {
    (200, "ran".to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn key_through_two_entries_runs_once() -> Result<()> {
    let deployment = ledger(2).await?;
    for at in 0..20 {
        let key = format!("twin-{at}");
        let (one, other) = tokio::join!(order(&deployment, 0, &key), order(&deployment, 1, &key));
        assert_eq!((one?, other?), (ran(), ran()));
        assert_eq!(runs(&deployment, &key).await?, 1);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_bound_to_its_body() -> Result<()> {
    let deployment = ledger(1).await?;
    assert_eq!(order(&deployment, 0, "bound").await?, ran());
    let caller = CallerClient::new(TEAM);
    let reply = caller.call(deployment.entry(1), ORDER, Some("bound"), "{\"oil\": 2}");
    assert_eq!(told(&reply.await?), (422, "not run".to_owned()));
    let other = CallerClient::new("wax-shop");
    let reply = other.call(deployment.entry(1), ORDER, Some("bound"), "{\"oil\": 2}");
    assert_eq!(told(&reply.await?), ran());
    assert_eq!(runs(&deployment, "bound").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_listed_until_settled() -> Result<()> {
    let deployment = ledger(1).await?;
    let lose = ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    };
    set_service(&deployment, 0, lose).await?;
    // The journal is out of reach, so that the outcome stays open for a while.
    let site = &deployment.sites[0];
    let (answer, paused) = tokio::join!(order(&deployment, 0, "lost"), async {
        while runs(&deployment, "lost").await? == 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        site.server.signal(Signal::SIGSTOP);
        Ok::<_, miette::Report>(())
    });
    paused?;
    assert_eq!(answer?, (504, "unknown".to_owned()));
    let mut listed = unknown_keys(&deployment).await?;
    for _ in 0..LOOKS_MAX {
        if !listed.is_empty() {
            break;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
        listed = unknown_keys(&deployment).await?;
    }
    assert_eq!(listed, ["lost"]);
    let (status, text) = deployment.fleet.operator(&["requests", "--team", TEAM])?;
    assert!(status.success() && text.contains("lost"), "{text}");
    assert_eq!(order(&deployment, 1, "lost").await?.1, "unknown");
    site.server.signal(Signal::SIGCONT);
    assert_eq!(final_outcome(&deployment, "lost").await?, "ran");
    assert!(unknown_keys(&deployment).await?.is_empty());
    assert_eq!(order(&deployment, 1, "lost").await?, ran());
    assert_eq!(runs(&deployment, "lost").await?, 1);
    Ok(())
}

#[rstest]
#[case::before_the_run(400, 0)]
#[case::after_the_run(0, 400)]
#[tokio::test(flavor = "multi_thread")]
async fn agent_that_dies_leaves_no_key_behind(
    #[case] delay_before_ms: u64,
    #[case] delay_after_ms: u64,
) -> Result<()> {
    let mut deployment = ledger(1).await?;
    let slow = ServiceFaults {
        delay_before_ms,
        delay_after_ms,
        ..ServiceFaults::default()
    };
    set_service(&deployment, 0, slow).await?;
    let caller = CallerClient::new(TEAM);
    let entry = deployment.entry(0);
    let booking = tokio::spawn(async move {
        let reply = caller.call(entry, ORDER, Some("orphan"), "{}").await?;
        Ok::<_, miette::Report>(told(&reply))
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.restart_agent(0)?;
    let answer = booking.await.map_err(|error| miette!("{error}"))??;
    assert_ne!(answer.1, "not run");
    let outcome = final_outcome(&deployment, "orphan").await?;
    assert_eq!(
        (outcome.as_str(), runs(&deployment, "orphan").await?),
        ("ran", 1)
    );
    set_service(&deployment, 0, ServiceFaults::default()).await?;
    assert_eq!(order(&deployment, 1, "orphan").await?, ran());
    assert_eq!(runs(&deployment, "orphan").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_is_an_honest_refusal() -> Result<()> {
    let deployment = ledger(2).await?;
    assert_eq!(order(&deployment, 0, "earlier").await?, ran());
    assert_eq!(final_outcome(&deployment, "earlier").await?, "ran");
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    set_store(&deployment, down).await?;
    // An earlier use of the key may have run, and one did.
    assert_eq!(
        order(&deployment, 1, "earlier").await?,
        (503, "unknown".to_owned())
    );
    let first = CallerClient::new(TEAM).first_use();
    let reply = first.call(deployment.entry(0), ORDER, Some("first"), "{}");
    assert_eq!(told(&reply.await?), (503, "not run".to_owned()));
    let stock = CallerClient::new(TEAM);
    let path = "/v1/services/ledger/stock";
    let reply = stock.call(deployment.entry(0), path, None, "{}");
    assert_eq!(told(&reply.await?), ran());
    set_store(&deployment, PlatformFaults::default()).await?;
    assert_eq!(order(&deployment, 0, "first").await?, ran());
    assert_eq!(order(&deployment, 0, "earlier").await?, ran());
    assert_eq!(runs(&deployment, "first").await?, 1);
    assert_eq!(runs(&deployment, "earlier").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answer_leaves_no_key_behind() -> Result<()> {
    let deployment = ledger(2).await?;
    let lose = PlatformFaults {
        lose_answers: 3,
        ..PlatformFaults::default()
    };
    set_store(&deployment, lose).await?;
    let answer = order(&deployment, 0, "late").await?;
    set_store(&deployment, PlatformFaults::default()).await?;
    if answer.1 == "unknown" {
        // The intent took effect after it was given up, and is taken back.
        assert_eq!(final_outcome(&deployment, "late").await?, "not run");
        assert_eq!(runs(&deployment, "late").await?, 0);
    }
    assert_eq!(order(&deployment, 1, "late").await?, ran());
    assert_eq!(runs(&deployment, "late").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_service_did_not_run() -> Result<()> {
    let mut deployment = ledger(1).await?;
    deployment.sites[0].server.kill();
    assert_eq!(
        order(&deployment, 0, "dead").await?,
        (503, "not run".to_owned())
    );
    assert_eq!(runs(&deployment, "dead").await?, 0);
    assert_eq!(final_outcome(&deployment, "dead").await?, "not run");
    deployment.restart_service(0)?;
    assert_eq!(order(&deployment, 1, "dead").await?, ran());
    assert_eq!(runs(&deployment, "dead").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_that_wakes_runs_nothing_again() -> Result<()> {
    let deployment = ledger(2).await?;
    for site in &deployment.sites {
        site.agent.process.signal(Signal::SIGSTOP);
        let keys: Vec<String> = (0..4).map(|at| format!("{}-{at}", site.vm.name)).collect();
        for key in &keys {
            let answer = order(&deployment, 0, key).await?;
            assert_ne!(answer.1, "not run");
        }
        site.agent.process.signal(Signal::SIGCONT);
        for key in &keys {
            let outcome = final_outcome(&deployment, key).await?;
            let expected = u64::from(outcome == "ran");
            assert_eq!(runs(&deployment, key).await?, expected, "{key}: {outcome}");
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_settle_for_a_server_that_is_gone() -> Result<()> {
    let mut deployment = plan(2)
        .agent_extra(json!({
            "journal": "by_pool", "service_run_max_ms": 600, "peer_gone_ms": 1_000,
        }))
        .start()
        .await?;
    let slow = ServiceFaults {
        delay_before_ms: 300,
        ..ServiceFaults::default()
    };
    for site in 0..2 {
        set_service(&deployment, site, slow.clone()).await?;
    }
    let keys: Vec<String> = (0..8).map(|at| format!("gone-{at}")).collect();
    let entry = deployment.entry(0);
    let bookings: Vec<_> = keys
        .iter()
        .cloned()
        .map(|key| {
            tokio::spawn(async move {
                let caller = CallerClient::new(TEAM);
                caller.call(entry, ORDER, Some(&key), "{}").await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    deployment.sites[0].agent.process.kill();
    let gone = deployment.sites.remove(0);
    deployment.publish_vms().await?;
    for booking in bookings {
        booking.await.map_err(|error| miette!("{error}"))??;
    }
    drop(gone);
    for key in &keys {
        let outcome = final_outcome(&deployment, key).await?;
        let expected = u64::from(outcome == "ran");
        assert_eq!(runs(&deployment, key).await?, expected, "{key}: {outcome}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn storm_of_faults_leaves_nothing_open() -> Result<()> {
    assert_eq!(storm_faults(7, 600).await?, CallFaults::default());
    Ok(())
}
