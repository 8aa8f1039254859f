//! Bookings under single faults.

use std::time::Duration;

use miette::{Result, miette};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use stand_ins::{PlatformFaults, ServiceFaults};
use xtask::{
    CallerClient, Deployment,
    measure::calls::{CallFaults, storm_faults},
};

use crate::support::{
    LOOK_PAUSE, ORDER, TEAM, final_outcome, ledger, order, plan, ran, recorded, runs, set_service,
    set_store, told, unknown_keys, wait_for,
};

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
    set_service(&deployment, 0, ServiceFaults::losing(1)).await?;
    // The journal is out of reach, so that the outcome stays open for a while.
    let site = &deployment.sites[0];
    let (answer, paused) = tokio::join!(order(&deployment, 0, "lost"), async {
        wait_for("the run", async || Ok(runs(&deployment, "lost").await? > 0)).await?;
        site.server.signal(Signal::SIGSTOP);
        Ok::<_, miette::Report>(())
    });
    paused?;
    assert_eq!(answer?, (504, "unknown".to_owned()));
    wait_for("the list", async || {
        Ok(!unknown_keys(&deployment).await?.is_empty())
    })
    .await?;
    assert_eq!(unknown_keys(&deployment).await?, ["lost"]);
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

/// Kills until one comes while the call is where it should be.
const KILLS_MAX: u32 = 8;

/// Where a call is when its agent dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPlace {
    /// The service has it, and will run it while the next process looks.
    BeforeRun,
    /// It ran, and the service keeps the answer back.
    AfterRun,
}

#[rstest]
#[case(CallPlace::BeforeRun)]
#[case(CallPlace::AfterRun)]
#[tokio::test(flavor = "multi_thread")]
async fn agent_that_dies_leaves_no_key_behind(#[case] place: CallPlace) -> Result<()> {
    let mut deployment = ledger(1).await?;
    let faults = match place {
        CallPlace::BeforeRun => ServiceFaults::late_run(550),
        CallPlace::AfterRun => ServiceFaults::late_answer(550),
    };
    // On a busy machine the kill may come late; then another key is tried.
    for round in 0..KILLS_MAX {
        set_service(&deployment, 0, faults.clone()).await?;
        let key = format!("orphan-{round}");
        let was_in_place = kill_during_call(&mut deployment, place, &key).await?;
        set_service(&deployment, 0, ServiceFaults::default()).await?;
        assert_eq!(order(&deployment, 1, &key).await?, ran());
        assert_eq!(runs(&deployment, &key).await?, 1);
        if was_in_place {
            return Ok(());
        }
    }
    Err(miette!("the agent was killed late each time"))
}

/// Kill and restart the agent of a call, and check that it ran once; returns
/// whether the call was where it should be at the kill.
async fn kill_during_call(
    deployment: &mut Deployment,
    place: CallPlace,
    key: &str,
) -> Result<bool> {
    let caller = CallerClient::new(TEAM);
    let entry = deployment.entry(0);
    let sent = key.to_owned();
    let booking = tokio::spawn(async move {
        let reply = caller.call(entry, ORDER, Some(&sent), "{}").await?;
        Ok::<_, miette::Report>(told(&reply))
    });
    wait_for("the call", async || match place {
        CallPlace::BeforeRun => Ok(recorded(deployment, key).await?.0 != 404),
        CallPlace::AfterRun => Ok(runs(deployment, key).await? == 1),
    })
    .await?;
    // The dispatch comes right after the record.
    tokio::time::sleep(LOOK_PAUSE).await;
    deployment.sites[0].agent.process.kill();
    let has_run = runs(deployment, key).await? == 1;
    deployment.restart_agent(0)?;
    let answer = booking.await.map_err(|error| miette!("{error}"))??;
    assert_ne!(answer.1, "not run");
    assert_eq!(final_outcome(deployment, key).await?, "ran");
    assert_eq!(runs(deployment, key).await?, 1);
    Ok(has_run == (place == CallPlace::AfterRun))
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_is_an_honest_refusal() -> Result<()> {
    let deployment = ledger(2).await?;
    assert_eq!(order(&deployment, 0, "earlier").await?, ran());
    assert_eq!(final_outcome(&deployment, "earlier").await?, "ran");
    set_store(&deployment, PlatformFaults::down()).await?;
    // An earlier use of the key may have run, and one did.
    assert_eq!(
        order(&deployment, 1, "earlier").await?,
        (503, "unknown".to_owned())
    );
    let first = CallerClient::new(TEAM).first_use();
    let reply = first.call(deployment.entry(0), ORDER, Some("first"), "{}");
    assert_eq!(told(&reply.await?), (503, "not run".to_owned()));
    // Without the word of the caller nobody can know that the key is new.
    assert_eq!(
        order(&deployment, 1, "silent").await?,
        (503, "unknown".to_owned())
    );
    for key in ["first", "silent"] {
        assert_eq!(
            runs(&deployment, key).await?,
            0,
            "{key} ran without a record"
        );
    }
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
    set_store(&deployment, PlatformFaults::losing(3)).await?;
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
    for site in 0..2 {
        set_service(&deployment, site, ServiceFaults::late_run(300)).await?;
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
