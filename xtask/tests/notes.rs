//! Release notes and planned stops through faults of the store, as processes.

use std::time::{Duration, Instant};

use exchange::{ExchangeCall, ExchangeClient};
use miette::{IntoDiagnostic, Result, miette};
use serde_json::{Value, json};
use stand_ins::{EngineCounts, PlatformCounts, PlatformFaults};
use xtask::{CallerClient, Deployment, DeploymentPlan, deployment::MODEL};

/// Time within which something that is bound to come must have come.
const PATIENCE: Duration = Duration::from_secs(20);

async fn three_engines() -> Result<Deployment> {
    DeploymentPlan::default()
        .engines(3)
        .entries(2)
        .platform_args(&["--vm-lag-ms", "0"])
        .start()
        .await
}

fn limit(team: &str, weight: u32) -> Value {
    json!({ "changes": [{ "change": "limit_team", "team": team, "weight": weight }] })
}

/// Version in force at every process, entries first.
async fn versions(deployment: &Deployment) -> Result<Vec<u64>> {
    let entries = deployment.entries.iter().map(|entry| entry.address);
    let agents = deployment.sites.iter().map(|site| site.agent.vm.stream);
    let mut versions = Vec::new();
    for address in entries.chain(agents) {
        let state: Value = deployment.fleet.read(address, "/state").await?;
        versions.push(state["note_version"].as_u64().unwrap_or(0));
    }
    Ok(versions)
}

async fn wait_for_version(deployment: &Deployment, version: u64) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if versions(deployment)
            .await?
            .iter()
            .all(|&held| held >= version)
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let held = versions(deployment).await?;
    Err(miette!(
        "version {version} is not in force everywhere: {held:?}"
    ))
}

async fn set_faults(deployment: &Deployment, faults: &PlatformFaults) -> Result<()> {
    let platform = deployment.fleet.platform();
    deployment.fleet.control(platform, faults).await
}

#[tokio::test(flavor = "multi_thread")]
async fn note_comes_into_force_everywhere() -> Result<()> {
    let deployment = three_engines().await?;
    deployment.fleet.publish(&limit("kivu-shores", 5))?;
    wait_for_version(&deployment, 2).await?;
    let (status, text) = deployment.fleet.operator(&["note", "history"])?;
    assert!(status.success(), "{text}");
    assert!(text.contains("version 2 note "), "{text}");
    let (_, text) = deployment.fleet.operator(&["note", "diff", "1"])?;
    assert_eq!(
        text.trim(),
        r#"{"change":"limit_team","team":"kivu-shores","limit":{"weight":5}}"#
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_of_a_note_is_no_second_note() -> Result<()> {
    let deployment = three_engines().await?;
    let lose = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    set_faults(&deployment, &lose).await?;
    let first = deployment.fleet.publish(&limit("kivu-shores", 5))?;
    assert!(first.contains("version 2 accepted"), "{first}");
    let second = deployment.fleet.publish(&limit("kivu-shores", 5))?;
    assert!(second.contains("version 2 accepted already"), "{second}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn note_file_with_findings_is_refused_whole() -> Result<()> {
    let deployment = three_engines().await?;
    let path = deployment.fleet.folder().join("bad.json");
    let note = json!({ "changes": [
        { "change": "lift_team", "team": "nobody" },
        { "change": "withdraw", "model": "nothing" },
    ] });
    std::fs::write(&path, note.to_string()).map_err(|error| miette!("{error}"))?;
    let path = path.display().to_string();
    let (status, text) = deployment.fleet.operator(&["note", "publish", &path])?;
    assert_eq!(status.code(), Some(3), "{text}");
    assert!(text.contains("team nobody has no limit"), "{text}");
    assert!(text.contains("model nothing is not served"), "{text}");
    Ok(())
}

/// A VM whose store is down learns the version in force from its peers, and
/// nobody falls back.
#[tokio::test(flavor = "multi_thread")]
async fn agents_restarted_without_the_store_learn_from_peers() -> Result<()> {
    let mut deployment = three_engines().await?;
    deployment.fleet.publish(&limit("kivu-shores", 5))?;
    wait_for_version(&deployment, 2).await?;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    set_faults(&deployment, &down).await?;
    for site in &mut deployment.sites {
        deployment.fleet.restart_agent(&mut site.agent)?;
    }
    wait_for_version(&deployment, 2).await
}

/// A stop that nobody but the store heard of still keeps new work away.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_server_gets_no_new_work() -> Result<()> {
    let deployment = three_engines().await?;
    let (status, text) = deployment.fleet.operator(&["vm", "stop", "writer-0"])?;
    assert!(status.success(), "{text}");
    assert!(text.contains("writer-0: leaving"), "{text}");
    let engine = deployment.sites[0].server.address;
    let before: EngineCounts = deployment.fleet.read(engine, "/control").await?;
    let caller = CallerClient::new("kivu-shores");
    for at in 0..20 {
        let (request, _) = CallerClient::request(MODEL, 3, &format!("report {at}"), 2);
        let outcome = caller
            .chat(deployment.entry(at), &request, None, |_| {})
            .await;
        assert_eq!(outcome.tokens.len(), 2);
    }
    let after: EngineCounts = deployment.fleet.read(engine, "/control").await?;
    assert_eq!(after.requests, before.requests);
    let (status, text) = deployment.fleet.operator(&["vm", "undo", "writer-0"])?;
    assert!(status.success(), "{text}");
    assert!(text.contains("writer-0: serving"), "{text}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stops_leave_a_model_with_a_server() -> Result<()> {
    let deployment = three_engines().await?;
    let stop = |args: &[&str]| deployment.fleet.operator(args);
    assert!(stop(&["vm", "stop", "writer-0"])?.0.success());
    assert!(stop(&["vm", "withdraw", "writer-1"])?.0.success());
    let (status, text) = stop(&["vm", "stop", "writer-2"])?;
    assert_eq!(status.code(), Some(5), "{text}");
    assert!(text.contains("would be left without"), "{text}");
    let (status, text) = stop(&["vm", "stop", "writer-2", "--force"])?;
    assert!(status.success(), "{text}");
    let (status, text) = stop(&["vm", "stop", "writer-1"])?;
    assert_eq!(status.code(), Some(5), "{text}");
    assert!(text.contains("withdraw of writer-1 by"), "{text}");
    Ok(())
}

/// The store's reads stay within those of the entries.
#[tokio::test(flavor = "multi_thread")]
async fn agents_do_not_poll_the_store() -> Result<()> {
    let mut deployment = three_engines().await?;
    // Entries gone, agents alone would be all that reads.
    wait_for_version(&deployment, 1).await?;
    deployment.entries.clear();
    let platform = deployment.fleet.platform();
    let before: PlatformCounts = deployment.fleet.read(platform, "/control").await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after: PlatformCounts = deployment.fleet.read(platform, "/control").await?;
    // Three agents may each turn to the store once in six seconds.
    assert!(after.reads - before.reads <= 18, "{before:?} {after:?}");
    Ok(())
}

/// What an agent answers to an order under a number.
async fn order(deployment: &Deployment, site: usize, fencing: u64) -> Result<Value> {
    let call = json!({
        "jsonrpc": "2.0", "id": 1, "method": "agent_order",
        "params": [{ "fencing": fencing, "kind": {
            "order": "load", "pin": { "model": "other", "version": 1 },
        } }],
    });
    let control = deployment.sites[site].agent.vm.control;
    let reply = ExchangeClient::unpooled()
        .send(ExchangeCall::post(control, "/").json(&call))
        .await
        .into_diagnostic()?;
    let reply: Value = reply.json().into_diagnostic()?;
    Ok(reply["result"].clone())
}

/// Versions of the model that an engine has loaded.
async fn loaded(deployment: &Deployment, site: usize) -> Result<Vec<u64>> {
    let engine = deployment.sites[site].server.address;
    let load: Value = deployment.fleet.read(engine, "/v1/load").await?;
    let pins = load["loaded"].as_array().cloned().unwrap_or_default();
    let versions = pins.iter().filter(|pin| pin["model"] == MODEL);
    Ok(versions.filter_map(|pin| pin["version"].as_u64()).collect())
}

async fn wait_for_loaded(deployment: &Deployment, version: u64) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        let mut settled = 0;
        for site in 0..deployment.sites.len() {
            settled += usize::from(loaded(deployment, site).await? == [version]);
        }
        if settled == deployment.sites.len() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(miette!("version {version} is not loaded everywhere"))
}

/// The holder of the lease has engines load what the note wants and drop the
/// rest, and the gate passes no order under a lower number.
#[tokio::test(flavor = "multi_thread")]
async fn orders_follow_the_note() -> Result<()> {
    let deployment = three_engines().await?;
    wait_for_loaded(&deployment, 3).await?;
    deployment.fleet.publish(&json!({ "changes": [{
        "change": "change", "model": MODEL, "version": 4,
        "pool": "writer-pool", "window": 32_768,
    }] }))?;
    wait_for_loaded(&deployment, 4).await?;
    assert_eq!(order(&deployment, 0, 0).await?, "too_old");
    Ok(())
}

/// An agent that cannot have read the highest number passes no order.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_without_the_store_passes_no_order() -> Result<()> {
    let mut deployment = three_engines().await?;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    set_faults(&deployment, &down).await?;
    deployment
        .fleet
        .restart_agent(&mut deployment.sites[0].agent)?;
    assert_eq!(order(&deployment, 0, 1_000).await?, "not_ready");
    Ok(())
}

/// A note whose version was given out again, since the platform came back from a copy older
/// than the first note of that version, did not come into force.
#[tokio::test(flavor = "multi_thread")]
async fn note_after_a_return_of_the_platform_is_in_force() -> Result<()> {
    let deployment = three_engines().await?;
    let platform = deployment.fleet.platform();
    wait_for_version(&deployment, 1).await?;
    deployment
        .fleet
        .post(platform, "/control/copy", &json!({}))
        .await?;
    deployment.fleet.publish(&limit("kivu-lost", 5))?;
    wait_for_version(&deployment, 2).await?;
    deployment
        .fleet
        .post(platform, "/control/restore", &json!({}))
        .await?;
    deployment.fleet.publish(&limit("kivu-shores", 5))?;
    let is_in_force =
        |notes: &String| notes.contains("kivu-shores") && !notes.contains("kivu-lost");
    let deadline = Instant::now() + PATIENCE;
    while !notes(&deployment).await?.iter().all(is_in_force) {
        let versions = versions(&deployment).await?;
        assert!(Instant::now() < deadline, "versions {versions:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// What every process passes on to one that knows no note.
async fn notes(deployment: &Deployment) -> Result<Vec<String>> {
    let entries = deployment.entries.iter().map(|entry| entry.address);
    let agents = deployment.sites.iter().map(|site| site.agent.vm.stream);
    let mut notes = Vec::new();
    for address in entries.chain(agents) {
        let passed: Value = deployment.fleet.read(address, "/v1/note?after=0").await?;
        notes.push(passed.to_string());
    }
    Ok(notes)
}

/// A stop whose version was given out again, since the platform came back from a copy older
/// than the first stop of that version, was not heeded by entries.
#[tokio::test(flavor = "multi_thread")]
async fn stop_after_a_return_of_the_platform_is_heeded() -> Result<()> {
    let deployment = three_engines().await?;
    let fleet = &deployment.fleet;
    let platform = fleet.platform();
    fleet.post(platform, "/control/copy", &json!({})).await?;
    assert!(fleet.operator(&["vm", "stop", "writer-0"])?.0.success());
    wait_for_leaving(&deployment, "writer-0").await?;
    fleet.post(platform, "/control/restore", &json!({})).await?;
    assert!(fleet.operator(&["vm", "stop", "writer-1"])?.0.success());
    wait_for_leaving(&deployment, "writer-1").await
}

/// Waits until all entries know that a server leaves.
async fn wait_for_leaving(deployment: &Deployment, server: &str) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    for entry in &deployment.entries {
        loop {
            let state: Value = deployment.fleet.read(entry.address, "/state").await?;
            let mut servers = state["servers"].as_array().into_iter().flatten();
            if servers.any(|known| known["server"] == server && known["leaving"] == true) {
                break;
            }
            if Instant::now() > deadline {
                return Err(miette!("{server} is not leaving: {state}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
