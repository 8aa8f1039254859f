//! Generations come whole through every kind of loss, as real processes.

use std::time::Duration;

use futures_util::future::join_all;
use miette::Result;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{EngineCounts, EngineFaults, LinkMode};
use tokio::sync::{mpsc, watch};
use xtask::{
    CallerClient, ChatEnd, Deployment, DeploymentPlan, EnginePlan,
    deployment::{MODEL, MODEL_VERSION},
};

/// Generations under way when the fault comes.
const GENERATIONS: usize = 6;

/// Tokens of each.
const TOKENS: u32 = 300;

/// Token of the first generation after which the fault comes.
const FAULT_AFTER: usize = 60;

/// Time that a fault lasts, longer than all detection.
const FAULT_HOLD: Duration = Duration::from_millis(1_500);

/// Longest wait for something that must come about.
const PATIENCE: Duration = Duration::from_secs(15);

#[derive(Clone, Copy)]
enum Loss {
    EngineKilled,
    EngineHang,
    AgentKilled,
    VmKilled,
    VmPaused,
    EntryKilled,
    EngineAndEntry,
    Link(LinkMode),
    AgentDrained,
    EntriesReplaced,
    NoteWithdrawn,
}

fn plan() -> DeploymentPlan {
    let engine = EnginePlan {
        token_gap_us: 8_000,
        ..EnginePlan::default()
    };
    DeploymentPlan::default()
        .engines(3)
        .entries(2)
        .engine(engine)
        .proxied()
        .agent_extra(json!({ "drain_max_ms": 1_200 }))
        .platform_args(&["--vm-lag-ms", "0"])
}

#[rstest]
#[case::engine_killed(Loss::EngineKilled)]
#[case::engine_hang(Loss::EngineHang)]
#[case::agent_killed(Loss::AgentKilled)]
#[case::vm_killed(Loss::VmKilled)]
#[case::vm_paused(Loss::VmPaused)]
#[case::entry_killed(Loss::EntryKilled)]
#[case::engine_and_entry(Loss::EngineAndEntry)]
#[case::silence_open(Loss::Link(LinkMode::SilenceOpen))]
#[case::lose_forward(Loss::Link(LinkMode::LoseForward))]
#[case::lose_backward(Loss::Link(LinkMode::LoseBackward))]
#[case::cut(Loss::Link(LinkMode::Cut))]
#[case::agent_drained(Loss::AgentDrained)]
#[case::entries_replaced(Loss::EntriesReplaced)]
#[case::note_withdrawn(Loss::NoteWithdrawn)]
#[tokio::test(flavor = "multi_thread")]
async fn generations_come_whole(#[case] loss: Loss) -> Result<()> {
    check(loss).await
}

async fn check(loss: Loss) -> Result<()> {
    let plan = plan();
    let mut deployment = plan.start().await?;
    let addresses: Vec<_> = deployment.entries.iter().map(|one| one.address).collect();
    let (board, entries) = watch::channel(addresses);
    let (reached, mut fault_due) = mpsc::unbounded_channel();
    let mut callers = Vec::new();
    for at in 0..GENERATIONS {
        let reached = reached.clone();
        let entries = entries.clone();
        callers.push(async move {
            let prompt = format!("Report {at}.");
            let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, &prompt, TOKENS);
            let caller = CallerClient::new("kivu-shores");
            let whole = caller.chat_through(&entries, 0, &request, |count| {
                if at == 0 && count == FAULT_AFTER {
                    let _ = reached.send(());
                }
            });
            (whole.await, seed)
        });
    }
    let fault = async {
        fault_due.recv().await;
        cause(loss, &mut deployment, &plan, &board).await
    };
    let (outcomes, caused) = tokio::join!(join_all(callers), fault);
    caused?;
    for (whole, seed) in outcomes {
        assert_eq!(whole.outcome.end, ChatEnd::Finished);
        assert_eq!(whole.faults(seed, TOKENS), Default::default());
    }
    Ok(())
}

async fn cause(
    loss: Loss,
    deployment: &mut Deployment,
    plan: &DeploymentPlan,
    board: &watch::Sender<Vec<std::net::SocketAddr>>,
) -> Result<()> {
    let site = busy_site(deployment).await?;
    let engine = deployment.sites[site].server.address;
    match loss {
        Loss::EngineKilled => deployment.sites[site].server.kill(),
        Loss::EngineHang => {
            let faults = EngineFaults {
                hang: true,
                ..EngineFaults::default()
            };
            deployment.fleet.control(engine, &faults).await?;
        }
        Loss::AgentKilled => deployment.sites[site].agent.process.kill(),
        Loss::VmKilled => {
            deployment.sites[site].server.kill();
            deployment.sites[site].agent.process.kill();
        }
        Loss::VmPaused => {
            signal_vm(deployment, site, Signal::SIGSTOP);
            tokio::time::sleep(FAULT_HOLD).await;
            signal_vm(deployment, site, Signal::SIGCONT);
            wait_until_idle(deployment, site).await?;
        }
        Loss::EntryKilled => deployment.entries[0].kill(),
        Loss::EngineAndEntry => {
            deployment.sites[site].server.kill();
            tokio::time::sleep(FAULT_HOLD / 10).await;
            deployment.entries[0].kill();
        }
        Loss::Link(mode) => {
            deployment.set_link(site, mode).await?;
            tokio::time::sleep(FAULT_HOLD).await;
            deployment.set_link(site, LinkMode::Pass).await?;
        }
        Loss::AgentDrained => {
            let agent = &mut deployment.sites[site].agent.process;
            agent.signal(Signal::SIGTERM);
        }
        Loss::EntriesReplaced => {
            for at in 0..deployment.entries.len() {
                let newer = deployment.start_entry(plan, at).await?;
                let older = std::mem::replace(&mut deployment.entries[at], newer);
                let addresses = deployment.entries.iter().map(|one| one.address);
                board.send_replace(addresses.collect());
                older.signal(Signal::SIGTERM);
                let mut older = older;
                let ended = tokio::task::spawn_blocking(move || older.wait_for_end(PATIENCE));
                let status = ended.await.ok().flatten();
                assert_eq!(status.and_then(|status| status.code()), Some(0));
            }
        }
        Loss::NoteWithdrawn => {
            let withdrawal = json!({ "changes": [{ "change": "withdraw", "model": MODEL }] });
            deployment.fleet.publish(&withdrawal)?;
            tokio::time::sleep(FAULT_HOLD / 3).await;
            deployment.sites[site].server.kill();
        }
    }
    Ok(())
}

fn signal_vm(deployment: &Deployment, site: usize, signal: Signal) {
    let site = &deployment.sites[site];
    site.agent.process.signal(signal);
    site.server.signal(signal);
}

/// The site with the most generations.
async fn busy_site(deployment: &Deployment) -> Result<usize> {
    let mut busiest = (0, 0);
    for (at, site) in deployment.sites.iter().enumerate() {
        let state: Value = deployment
            .fleet
            .read(site.agent.vm.stream, "/state")
            .await?;
        let generations = state["generations"].as_array().map_or(0, Vec::len);
        busiest = busiest.max((generations, at));
    }
    assert!(busiest.0 > 0, "no server is busy");
    Ok(busiest.1)
}

/// Wait until an engine that was left has been told to stop.
async fn wait_until_idle(deployment: &Deployment, site: usize) -> Result<()> {
    let engine = deployment.sites[site].server.address;
    let stopped = async {
        loop {
            let before: EngineCounts = deployment.fleet.read(engine, "/control").await?;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let after: EngineCounts = deployment.fleet.read(engine, "/control").await?;
            if before.decode == after.decode {
                return Ok(());
            }
        }
    };
    let stopped: Result<Result<()>, _> = tokio::time::timeout(PATIENCE, stopped).await;
    stopped.expect("the engine goes on for nobody")
}

/// The same key sent at once through two entries: no answer is a mix.
#[tokio::test(flavor = "multi_thread")]
async fn same_request_twice_is_answered_twice() -> Result<()> {
    let deployment = plan().start().await?;
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", TOKENS);
    let caller = CallerClient::new("kivu-shores");
    let answers = (0..2).map(|at| caller.chat(deployment.entry(at), &request, None, |_| {}));
    for outcome in join_all(answers).await {
        assert_eq!(outcome.end, ChatEnd::Finished);
        assert_eq!(outcome.faults(seed, TOKENS), Default::default());
    }
    Ok(())
}

/// The same key sent at once through two entries: the engine works once, the
/// later reader has the whole text and the other a stated end.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_twice_is_never_a_mix() -> Result<()> {
    let deployment = plan().start().await?;
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", TOKENS);
    let caller = CallerClient::new("kivu-shores").keyed("report-1");
    let answers = (0..2).map(|at| caller.chat(deployment.entry(at), &request, None, |_| {}));
    let mut finished = 0;
    for outcome in join_all(answers).await {
        let received = outcome.tokens.len() as u32;
        assert_eq!(outcome.faults(seed, received), Default::default());
        match outcome.end {
            ChatEnd::Finished => {
                assert_eq!(received, TOKENS);
                finished += 1;
            }
            ChatEnd::Incomplete(_) => {}
            end => panic!("{end:?}"),
        }
    }
    assert!(finished >= 1);
    let mut decoded = 0;
    for site in &deployment.sites {
        let engine = site.server.address;
        let counts: EngineCounts = deployment.fleet.read(engine, "/control").await?;
        decoded += counts.decode;
    }
    assert_eq!(decoded, u64::from(TOKENS));
    Ok(())
}

/// A key with another body is refused, whichever entry it comes through.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_body_is_refused() -> Result<()> {
    let deployment = plan().start().await?;
    let caller = CallerClient::new("kivu-shores").keyed("report-1");
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", TOKENS);
    let (other, _) = CallerClient::request(MODEL, MODEL_VERSION, "Letter.", TOKENS);
    let first = caller.chat(deployment.entry(0), &request, None, |_| {});
    let second = async {
        tokio::time::sleep(FAULT_HOLD / 3).await;
        caller.chat(deployment.entry(1), &other, None, |_| {}).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.end, ChatEnd::Finished);
    assert_eq!(first.faults(seed, TOKENS), Default::default());
    assert!(
        matches!(&second.end, ChatEnd::Refused(422, text) if text.contains("key-reused")),
        "{:?}",
        second.end
    );
    Ok(())
}

/// A caller that comes back while its old connection is read: the old one ends
/// with a stated event, the new one gets the rest.
#[tokio::test(flavor = "multi_thread")]
async fn taken_over_reader_is_told() -> Result<()> {
    let deployment = plan().start().await?;
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", TOKENS);
    let caller = CallerClient::new("kivu-shores");
    let (reached, mut due) = mpsc::unbounded_channel();
    let first = caller.chat(deployment.entry(0), &request, None, |count| {
        if count == FAULT_AFTER {
            let _ = reached.send(());
        }
    });
    let second = async {
        due.recv().await;
        let site = busy_site(&deployment).await?;
        let site = &deployment.sites[site];
        let state: Value = deployment
            .fleet
            .read(site.agent.vm.stream, "/state")
            .await?;
        let generation = state["generations"][0].as_str().unwrap_or_default();
        let id = format!("{generation}.{FAULT_AFTER}.{}", site.vm.name);
        let entry = deployment.entry(1);
        Ok::<_, miette::Report>(caller.chat(entry, &request, Some(&id), |_| {}).await)
    };
    let (first, second) = tokio::join!(first, second);
    let second = second?;
    assert!(
        matches!(first.end, ChatEnd::Incomplete(_)),
        "{:?}",
        first.end
    );
    assert_eq!(second.end, ChatEnd::Finished);
    let mut whole = first.clone();
    whole.tokens.truncate(FAULT_AFTER);
    whole.tokens.extend(second.tokens);
    assert_eq!(whole.faults(seed, TOKENS), Default::default());
    Ok(())
}

/// The tail of a finished generation can be fetched for the grace time.
#[tokio::test(flavor = "multi_thread")]
async fn finished_tail_can_be_fetched() -> Result<()> {
    let deployment = plan().start().await?;
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", TOKENS);
    let caller = CallerClient::new("kivu-shores");
    let outcome = caller
        .chat(deployment.entry(0), &request, None, |_| {})
        .await;
    let id = outcome.last_event_id.clone().unwrap_or_default();
    let earlier = id.replacen(&format!(".{TOKENS}."), ".290.", 1);
    let tail = caller
        .chat(deployment.entry(1), &request, Some(&earlier), |_| {})
        .await;
    assert_eq!(tail.end, ChatEnd::Finished);
    assert_eq!(tail.tokens, outcome.tokens[290..]);
    assert_eq!(outcome.faults(seed, TOKENS), Default::default());
    Ok(())
}
