//! Faults in an order that the seed gives, alone or two at once.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use miette::Result;
use nix::sys::signal::Signal;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use stand_ins::{LinkMode, PlatformFaults, ServiceFaults};

use crate::deployment::Deployment;

/// Declare the kinds of faults, and the list of all of them.
macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident,)*) => {
        /// One kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        /// All kinds.
        pub const KINDS: &[FaultKind] = &[$(FaultKind::$kind,)*];
    };
}

fault_kinds! {
    /// The store refuses everything.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store's answers are lost after the write.
    StoreLosesAnswers,
    /// One agent cannot reach the store.
    StoreCut,
    /// One agent's words to the store arrive, its answers do not.
    StoreAnswersLost,
    /// The service's answers are lost after the run.
    ServiceLosesAnswers,
    /// The service takes its time before the run.
    ServiceLateRun,
    /// The service takes its time after the run.
    ServiceLateAnswer,
    /// The service sleeps.
    ServicePause,
    /// The service dies.
    ServiceKill,
    /// The agent dies, wherever its calls are.
    AgentKill,
    /// The agent dies while it waits for the store.
    AgentKillAtIntent,
    /// The agent dies between dispatch and run.
    AgentKillBeforeRun,
    /// The agent dies between run and answer.
    AgentKillAfterRun,
    /// The agent sleeps past the deadlines of its calls.
    AgentPause,
    /// The agent cannot be reached.
    LinkCut,
    /// The agent's connections are silent.
    LinkSilence,
    /// The agent's open connections are silent for good.
    LinkSilenceOpen,
    /// Calls reach the agent, its answers are lost.
    LinkAnswersLost,
}

use FaultKind::*;

/// Time that a fault is given to catch calls before an agent is killed.
const CATCH: Duration = Duration::from_millis(150);

/// Cause faults until told to stop, each kind at least once if time allows.
pub async fn storm(
    deployment: &mut Deployment,
    rng: &mut SmallRng,
    is_over: &AtomicBool,
) -> Result<usize> {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let mut faults = vec![draw(deployment, rng, KINDS[count % KINDS.len()])];
        if rng.random_ratio(1, 3) {
            let kind = *KINDS.choose(rng).expect("there are kinds");
            faults.push(draw(deployment, rng, kind));
        }
        for &(kind, site) in &faults {
            begin(deployment, kind, site).await?;
        }
        let length = Duration::from_millis(rng.random_range(300..1_800));
        tokio::time::sleep(length).await;
        for &(kind, site) in &faults {
            end(deployment, kind, site).await?;
        }
        count += faults.len();
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..500))).await;
    }
    Ok(count)
}

fn draw(deployment: &Deployment, rng: &mut SmallRng, kind: FaultKind) -> (FaultKind, usize) {
    (kind, rng.random_range(0..deployment.sites.len()))
}

/// Cause a fault.
pub async fn begin(deployment: &mut Deployment, kind: FaultKind, site: usize) -> Result<()> {
    match kind {
        StoreDown => set_store(deployment, PlatformFaults::down()).await,
        StoreSlow => set_store(deployment, PlatformFaults::slow(400)).await,
        StoreLosesAnswers => set_store(deployment, PlatformFaults::losing(6)).await,
        StoreCut => deployment.set_store_link(site, LinkMode::Cut).await,
        StoreAnswersLost => {
            let mode = LinkMode::LoseBackward;
            deployment.set_store_link(site, mode).await
        }
        ServiceLosesAnswers => set_service(deployment, site, ServiceFaults::losing(20)).await,
        ServiceLateRun => set_service(deployment, site, ServiceFaults::late_run(400)).await,
        ServiceLateAnswer => set_service(deployment, site, ServiceFaults::late_answer(400)).await,
        ServicePause => {
            deployment.sites[site].server.signal(Signal::SIGSTOP);
            Ok(())
        }
        ServiceKill => {
            deployment.sites[site].server.kill();
            Ok(())
        }
        AgentKill => kill_agent(deployment, site).await,
        AgentKillAtIntent => {
            set_store(deployment, PlatformFaults::slow(200)).await?;
            kill_agent(deployment, site).await
        }
        AgentKillBeforeRun => {
            set_service(deployment, site, ServiceFaults::late_run(400)).await?;
            kill_agent(deployment, site).await
        }
        AgentKillAfterRun => {
            set_service(deployment, site, ServiceFaults::late_answer(400)).await?;
            kill_agent(deployment, site).await
        }
        AgentPause => {
            deployment.sites[site].agent.process.signal(Signal::SIGSTOP);
            Ok(())
        }
        LinkCut => deployment.set_link(site, LinkMode::Cut).await,
        LinkSilence => deployment.set_link(site, LinkMode::Silence).await,
        LinkSilenceOpen => deployment.set_link(site, LinkMode::SilenceOpen).await,
        LinkAnswersLost => deployment.set_link(site, LinkMode::LoseBackward).await,
    }
}

/// End a fault.
pub async fn end(deployment: &mut Deployment, kind: FaultKind, site: usize) -> Result<()> {
    match kind {
        StoreDown | StoreSlow | StoreLosesAnswers => {
            set_store(deployment, PlatformFaults::default()).await
        }
        StoreCut | StoreAnswersLost => deployment.set_store_link(site, LinkMode::Pass).await,
        ServiceLosesAnswers | ServiceLateRun | ServiceLateAnswer => {
            set_service(deployment, site, ServiceFaults::default()).await
        }
        ServicePause => {
            deployment.sites[site].server.signal(Signal::SIGCONT);
            Ok(())
        }
        ServiceKill => deployment.restart_service(site),
        AgentKill => deployment.restart_agent(site),
        AgentKillAtIntent => {
            set_store(deployment, PlatformFaults::default()).await?;
            deployment.restart_agent(site)
        }
        AgentKillBeforeRun | AgentKillAfterRun => {
            set_service(deployment, site, ServiceFaults::default()).await?;
            deployment.restart_agent(site)
        }
        AgentPause => {
            deployment.sites[site].agent.process.signal(Signal::SIGCONT);
            Ok(())
        }
        LinkCut | LinkSilence | LinkSilenceOpen | LinkAnswersLost => {
            deployment.set_link(site, LinkMode::Pass).await
        }
    }
}

async fn kill_agent(deployment: &mut Deployment, site: usize) -> Result<()> {
    tokio::time::sleep(CATCH).await;
    deployment.sites[site].agent.process.kill();
    Ok(())
}

async fn set_store(deployment: &Deployment, faults: PlatformFaults) -> Result<()> {
    let platform = deployment.fleet.platform();
    deployment.fleet.control(platform, &faults).await
}

/// Set a service's faults; one that sleeps or is dead has faults enough.
async fn set_service(deployment: &Deployment, site: usize, faults: ServiceFaults) -> Result<()> {
    let address = deployment.sites[site].server.address;
    let set = deployment.fleet.control(address, &faults);
    // The process may be paused or dead by the other fault of the round.
    let _ = tokio::time::timeout(Duration::from_millis(300), set).await;
    Ok(())
}
