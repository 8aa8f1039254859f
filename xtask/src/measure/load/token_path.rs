//! How long tokens take from the engine to the caller, with and without the
//! system between them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use exchange::{ExchangeCall, ExchangeClient};
use miette::{IntoDiagnostic, Result, miette};
use stand_ins::{TextSeed, TokenStamp, wall_clock_us};
use wire::{
    engine::EngineRequest,
    stream::{PinMessage, TOKEN_EVENT},
};

use crate::{
    Deployment,
    deployment::{MODEL, MODEL_VERSION},
    load_run::{FinishedRequest, TimeSpread},
};

/// Tokens of the direct generation.
const DIRECT_TOKENS: u32 = 200;

/// Times that tokens took, and what they take without the system.
pub struct TokenPath {
    /// Through the system.
    pub through: TimeSpread,
    /// Directly from an engine.
    pub direct: TimeSpread,
}

/// Compare what callers saw with what engines stamped.
pub async fn token_path(
    deployment: &Deployment,
    requests: &[FinishedRequest],
    started_at: Instant,
) -> Result<TokenPath> {
    let started_us = wall_clock_us() - micros(started_at.elapsed());
    let mut stamps = HashMap::new();
    for site in &deployment.sites {
        if site.vm.kind == wire::vm::KindMessage::Engine {
            let all = read_stamps(deployment, site.server.address).await?;
            // Earlier phases asked for the same texts.
            stamps.extend(all.filter(|(_, at)| *at >= started_us));
        }
    }
    let mut times = Vec::new();
    for request in requests {
        let Some(seed) = request.seed else { continue };
        let planned_us = started_us + micros(request.planned.at);
        for (position, time) in (0..).zip(&request.token_times) {
            let received = planned_us + micros(*time);
            if let Some(produced) = stamps.get(&(seed.number(), position)) {
                times.push(Duration::from_micros(received.saturating_sub(*produced)));
            }
        }
    }
    Ok(TokenPath {
        through: TimeSpread::of(times.into_iter()),
        direct: direct_path(deployment).await?,
    })
}

async fn read_stamps(
    deployment: &Deployment,
    engine: SocketAddr,
) -> Result<impl Iterator<Item = ((u64, u32), u64)>> {
    let stamps: Vec<TokenStamp> = deployment.fleet.read(engine, "/stamps").await?;
    let pairs = stamps.into_iter();
    Ok(pairs.map(|stamp| ((stamp.seed, stamp.position), stamp.at_us)))
}

async fn direct_path(deployment: &Deployment) -> Result<TimeSpread> {
    let engine = deployment.sites[0].server.address;
    let request = EngineRequest {
        request_id: "direct".to_owned(),
        pin: PinMessage {
            model: MODEL.to_owned(),
            adapter: None,
            version: MODEL_VERSION,
        },
        prompt: "Straight from the engine.".to_owned(),
        resume: Vec::new(),
        max_tokens: DIRECT_TOKENS,
        priority: 0,
    };
    let seed = TextSeed::new(&request.pin, &request.prompt);
    let call = ExchangeCall::post(engine, "/v1/completions").json(&request);
    let opened = ExchangeClient::unpooled().open_events(call).await;
    let mut events = opened
        .into_diagnostic()?
        .map_err(|reply| miette!("the engine refused with status {}", reply.status))?;
    let mut received = Vec::new();
    while let Some(event) = events.read().await.into_diagnostic()? {
        if event.name == TOKEN_EVENT {
            received.push(wall_clock_us());
        }
    }
    let stamps: HashMap<_, _> = read_stamps(deployment, engine).await?.collect();
    let times = (0..).zip(received).filter_map(|(position, at)| {
        let produced = stamps.get(&(seed.number(), position))?;
        Some(Duration::from_micros(at.saturating_sub(*produced)))
    });
    Ok(TimeSpread::of(times))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
