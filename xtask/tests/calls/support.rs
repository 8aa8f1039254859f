//! What the tests of calls share: a deployment with a ledger, and what it tells.

use std::time::Duration;

use exchange::ExchangeReply;
use miette::{Result, miette};
use serde_json::{Value, json};
use stand_ins::{PlatformFaults, ServiceCounts, ServiceFaults};
use wire::service_call::RequestList;
use xtask::{CallerClient, Deployment, DeploymentPlan};

/// Path of the operation that may not be repeated.
pub const ORDER: &str = "/v1/services/ledger/order";

/// Team of the callers.
pub const TEAM: &str = "kivu-shores";

/// Looks at a record before it counts as stuck.
pub const LOOKS_MAX: u32 = 300;

/// Pause between two looks.
pub const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Plan of servers that share a ledger, each with a journal of its own calls.
pub fn plan(services: usize) -> DeploymentPlan {
    DeploymentPlan::default()
        .engines(0)
        .services(services)
        .entries(2)
        .proxied()
        .shared_ledger()
        .agent_extra(json!({ "journal": "by_key", "service_run_max_ms": 600 }))
        .platform_args(&["--vm-lag-ms", "0"])
}

/// Start such a plan.
pub async fn ledger(services: usize) -> Result<Deployment> {
    plan(services).start().await
}

/// Status and `outcome` of an answer; answers of the service have none.
pub fn told(reply: &ExchangeReply) -> (u16, String) {
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let outcome = body["outcome"].as_str().unwrap_or("ran");
    (reply.status.as_u16(), outcome.to_owned())
}

/// Order under a key.
pub async fn order(deployment: &Deployment, entry: usize, key: &str) -> Result<(u16, String)> {
    let caller = CallerClient::new(TEAM);
    let reply = caller.call(deployment.entry(entry), ORDER, Some(key), "{}");
    Ok(told(&reply.await?))
}

/// How often a key has run.
pub async fn runs(deployment: &Deployment, key: &str) -> Result<u64> {
    let ledger = deployment.ledger.as_ref().expect("the plan has a ledger");
    let counts: ServiceCounts = deployment.fleet.read(ledger.address, "/control").await?;
    let runs = counts.runs.get(&format!("{TEAM}/{key}"));
    Ok(runs.copied().unwrap_or_default())
}

/// What is told of the record of a key.
pub async fn recorded(deployment: &Deployment, key: &str) -> Result<(u16, String)> {
    let caller = CallerClient::new(TEAM);
    let path = format!("/v1/requests/{key}");
    Ok(told(&caller.get(deployment.entry(0), &path).await?))
}

/// Look at the record until its outcome is final.
pub async fn final_outcome(deployment: &Deployment, key: &str) -> Result<String> {
    for _ in 0..LOOKS_MAX {
        let (status, outcome) = recorded(deployment, key).await?;
        if outcome != "unknown" || status == 404 {
            return Ok(outcome);
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(miette!("{key} is not settled"))
}

/// Keys that the team is told are of unknown outcome.
pub async fn unknown_keys(deployment: &Deployment) -> Result<Vec<String>> {
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

/// Set the faults of a server of the service.
pub async fn set_service(
    deployment: &Deployment,
    site: usize,
    faults: ServiceFaults,
) -> Result<()> {
    let address = deployment.sites[site].server.address;
    deployment.fleet.control(address, &faults).await
}

/// Set the faults of the store.
pub async fn set_store(deployment: &Deployment, faults: PlatformFaults) -> Result<()> {
    let platform = deployment.fleet.platform();
    deployment.fleet.control(platform, &faults).await
}

/// What a caller of a call that ran is told.
pub fn ran() -> (u16, String) {
    (200, "ran".to_owned())
}

/// Look until something is seen.
pub async fn wait_for<F>(what: &str, mut look: impl FnMut() -> F) -> Result<()>
where
    F: Future<Output = Result<bool>>,
{
    for _ in 0..LOOKS_MAX {
        if look().await? {
            return Ok(());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    Err(miette!("{what} was not seen"))
}
