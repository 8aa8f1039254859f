//! What control costs on streams that flow.
//!
//! Generations come and go as they do at the design size: drawn from a Poisson
//! process, with the mean length, the time between tokens and the time until
//! the first token that the users name, and as many at an agent as there would
//! be. Control is counted on the links, by what the bytes are. Its processor
//! time cannot be told from that of tokens in one process, so each point is run
//! a second time with agents that hardly look at their streams: what is missing
//! then is the looks' and the heartbeats'.

use std::time::Duration;

use miette::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    EnginePlan,
    measure::{
        control_site::{BEAT_MS, ControlSite},
        design_size::{FIRST_TOKEN, TOKEN_GAP, TOKENS_EACH},
        proc_reader::ProcReader,
        slope_book::{SlopeBook, watch},
    },
};

/// Agents, by point.
const AGENTS: [usize; 4] = [1, 2, 3, 4];

/// Open generations of an agent, and the slots of its engine.
const GENERATIONS_EACH: usize = 34;
const SLOTS: u32 = 48;

/// Time between two looks of agents that hardly look, in milliseconds.
const RARE_BEAT_MS: u32 = 1_000;

/// Words of a prompt that the engine has not cached.
const PROMPT_WORDS: u32 = 10;

/// Time that arrivals go on before the window, and the window.
const SETTLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(12);

/// Measure control on streams that flow.
pub async fn measure(book: &mut SlopeBook, seed: u64) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut bytes = Vec::new();
    let mut entry_core = Vec::new();
    let mut agent_core = Vec::new();
    let mut entry_beats = Vec::new();
    let mut agent_beats = Vec::new();
    for agents in AGENTS {
        // Both runs of a point draw the same arrivals.
        let seed = rng.random();
        let point = measure_point(agents, BEAT_MS, seed).await?;
        let rare = measure_point(agents, RARE_BEAT_MS, seed).await?;
        bytes.push((point.generations, point.control_bps));
        entry_core.push((point.generations, point.entry_core));
        agent_core.push((point.generations, point.agent_core));
        entry_beats.push((point.generations, point.entry_core - rare.entry_core));
        agent_beats.push((point.generations, point.agent_core - rare.agent_core));
    }
    book.enter("flow_control_bps_per_generation", bytes);
    book.enter("entry_flow_core_per_generation", entry_core);
    book.enter("agent_flow_core_per_generation", agent_core);
    book.enter("entry_flow_beats_core_per_generation", entry_beats);
    book.enter("agent_flow_beats_core_per_generation", agent_beats);
    Ok(())
}

/// What one number of agents gave.
struct FlowPoint {
    /// Generations whose tokens flowed, on average.
    generations: f64,
    /// Control bytes a second on their streams.
    control_bps: f64,
    /// Processor time of the entry, tokens and requests included.
    entry_core: f64,
    /// The same for all agents.
    agent_core: f64,
}

async fn measure_point(agents: usize, beat_ms: u32, seed: u64) -> Result<FlowPoint> {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let prefill = FIRST_TOKEN - TOKEN_GAP;
    let engine = EnginePlan {
        slots: SLOTS,
        token_gap_us: (TOKEN_GAP * 1e6) as u32,
        prefill_us_per_token: (prefill * 1e6) as u32 / PROMPT_WORDS,
        ..EnginePlan::default()
    };
    let mut site = ControlSite::start_beating(engine, agents, SETTLE, beat_ms).await?;
    let mut arrivals = ArrivalPlan::new(agents * GENERATIONS_EACH);
    arrivals.open_standing(&mut site, rng);
    arrivals.run(&mut site, rng, SETTLE).await;
    let before = (site.stream_control_bytes(), site.received());
    let readers = std::iter::once(&site.entry).chain(&site.agents);
    let readers: Vec<ProcReader> = readers.cloned().collect();
    let readers: Vec<&ProcReader> = readers.iter().collect();
    let (spent, ()) = tokio::join!(
        watch(&readers, WINDOW),
        arrivals.run(&mut site, rng, WINDOW)
    );
    let spent = spent?;
    let per_second = |before: f64, after: f64| (after - before) / WINDOW.as_secs_f64();
    Ok(FlowPoint {
        generations: per_second(before.1, site.received()) * TOKEN_GAP,
        control_bps: per_second(before.0, site.stream_control_bytes()),
        entry_core: spent[0].core,
        agent_core: spent[1..].iter().map(|spend| spend.core).sum(),
    })
}

/// Generations that come at a mean rate.
struct ArrivalPlan {
    standing: usize,
    opened: u32,
}

impl ArrivalPlan {
    const fn new(standing: usize) -> Self {
        Self {
            standing,
            opened: 0,
        }
    }

    /// Open as many as are under way on average, each somewhere in its midst.
    fn open_standing(&mut self, site: &mut ControlSite, rng: &mut SmallRng) {
        for _ in 0..self.standing {
            let left = rng.random_range(1..=TOKENS_EACH as u32);
            self.open(site, left);
        }
    }

    /// Open generations as they come, for so long.
    async fn run(&mut self, site: &mut ControlSite, rng: &mut SmallRng, time: Duration) {
        let end = Instant::now() + time;
        let rate = self.standing as f64 / (TOKENS_EACH * TOKEN_GAP);
        let mut next = Instant::now();
        loop {
            let pause = -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            next += Duration::from_secs_f64(pause);
            if next >= end {
                return tokio::time::sleep_until(end).await;
            }
            tokio::time::sleep_until(next).await;
            self.open(site, TOKENS_EACH as u32);
        }
    }

    /// Open one, with a prompt that no engine has cached.
    fn open(&mut self, site: &mut ControlSite, tokens: u32) {
        let words = (0..PROMPT_WORDS).map(|word| format!("item-{}-{word}", self.opened));
        let content = words.collect::<Vec<_>>().join(" ");
        self.opened += 1;
        site.open_one(&content, tokens);
    }
}
