//! The size that the users plan for, and what the slopes say of it.

use miette::Result;
use serde_json::{Value, json};

use crate::measure::slope_book::SlopeBook;

/// Entries.
const ENTRIES: f64 = 370.0;

/// Agents, one beside each worker.
const AGENTS: f64 = 1_400.0;

/// Requests a second.
const REQUESTS: f64 = 5_900.0;

/// Tokens a second.
const TOKENS: f64 = 1_200_000.0;

/// Seconds between two tokens of a generation.
pub const TOKEN_GAP: f64 = 0.04;

/// Seconds until the first token of a generation.
pub const FIRST_TOKEN: f64 = 0.31;

/// Tokens of a generation on average.
pub const TOKENS_EACH: f64 = TOKENS / REQUESTS;

/// Teams.
const TEAMS: f64 = 13_000.0;

/// Models.
const MODELS: f64 = 6.0;

/// Changes of configuration a second.
const CHANGES: f64 = 3_100.0 / 86_400.0;

/// Seconds between two readings of a list of that many servers by an entry,
/// by the rule of its refreshing task: 180 bytes a server, 1,500 bytes a second.
const LIST_INTERVAL: f64 = AGENTS * 180.0 / 1_500.0;

/// Bytes of a megabyte of memory.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Bounds of a process, and of the store.
const RSS_MB_MAX: f64 = 32.0;
const CORE_PERCENT_MAX: f64 = 1.2;
const BYTES_MAX: f64 = 5_000.0;
const STORE_READS_MAX: f64 = 2_000.0;
const STORE_WRITES_MAX: f64 = 400.0;

/// What one role needs at the design size.
#[derive(Clone, Copy, Debug)]
pub struct RoleNeed {
    /// Open generations.
    pub generations: f64,
    /// Memory without token logs, in megabytes.
    pub rss_mb: f64,
    /// Memory of the token logs, in megabytes.
    pub log_mb: f64,
    /// Control, in percent of a core.
    pub core_pct: f64,
    /// Control, in bytes a second.
    pub bps: f64,
    /// Control if all open generations were silent at once.
    pub all_silent: SilentNeed,
    /// Requests and tokens, in percent of a core.
    pub carried_core_pct: f64,
}

/// Control of a role in the worst case that streams can be in.
#[derive(Clone, Copy, Debug)]
pub struct SilentNeed {
    /// In percent of a core.
    pub core_pct: f64,
    /// In bytes a second.
    pub bps: f64,
}

/// What the whole deployment needs at the design size.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentNeed {
    /// An entry.
    pub entry: RoleNeed,
    /// An agent.
    pub agent: RoleNeed,
    /// Reads of the table a second.
    pub store_reads: f64,
    /// Readings of the list of VMs a second.
    pub vm_lists: f64,
    /// Transactions a second, without those of bookings.
    pub store_writes: f64,
    /// Transactions for one booking.
    pub writes_per_call: f64,
}

impl DeploymentNeed {
    /// Work it out from the slopes.
    pub fn from_slopes(book: &SlopeBook) -> Result<Self> {
        let slope = |name: &str| book.fit(name).map(|fit| fit.slope);
        Ok(Self {
            entry: entry_need(book)?,
            agent: agent_need(book)?,
            store_reads: ENTRIES * slope("store_reads_per_entry")?
                + AGENTS * slope("store_reads_per_agent")?
                + CHANGES * slope("store_reads_per_change")?,
            vm_lists: ENTRIES * slope("vm_lists_per_entry")?,
            store_writes: ENTRIES * slope("store_writes_per_entry")?
                + AGENTS * slope("store_writes_per_agent")?
                + CHANGES * slope("store_writes_per_change")?,
            writes_per_call: slope("store_writes_per_call")?,
        })
    }

    /// The last line of the measurement.
    pub fn line(&self) -> String {
        let worse = |of: fn(&RoleNeed) -> f64| of(&self.entry).max(of(&self.agent));
        format!(
            "control rss_mb={:.1} core_pct={:.2} bps={:.0} store_reads={:.0} store_writes={:.1}",
            worse(|need| need.rss_mb + need.log_mb),
            worse(|need| need.core_pct),
            worse(|need| need.bps),
            self.store_reads,
            self.store_writes.max(0.0),
        )
    }

    /// Bounds that are missed.
    pub fn missed(&self) -> Vec<String> {
        let mut bounds = Vec::new();
        for (role, need) in [("entry", &self.entry), ("agent", &self.agent)] {
            bounds.push((
                format!("{role} memory MB"),
                need.rss_mb + need.log_mb,
                RSS_MB_MAX,
            ));
            bounds.push((
                format!("{role} control % of a core"),
                need.core_pct,
                CORE_PERCENT_MAX,
            ));
            bounds.push((format!("{role} control bytes/s"), need.bps, BYTES_MAX));
        }
        bounds.push((
            "store reads/s".to_owned(),
            self.store_reads,
            STORE_READS_MAX,
        ));
        bounds.push((
            "store writes/s".to_owned(),
            self.store_writes,
            STORE_WRITES_MAX,
        ));
        bounds
            .into_iter()
            .filter(|(_, value, bound)| value > bound)
            .map(|(name, value, bound)| format!("{name}: {value:.1}, at most {bound}"))
            .collect()
    }

    /// All of it as JSON.
    pub fn to_json(self) -> Value {
        json!({
            "entry": self.entry.to_json(),
            "agent": self.agent.to_json(),
            "store_reads": self.store_reads,
            "vm_lists": self.vm_lists,
            "store_writes": self.store_writes,
            "writes_per_call": self.writes_per_call,
        })
    }
}

impl RoleNeed {
    fn to_json(self) -> Value {
        json!({
            "generations": self.generations,
            "rss_mb": self.rss_mb,
            "log_mb": self.log_mb,
            "core_pct": self.core_pct,
            "bps": self.bps,
            "all_silent": {
                "core_pct": self.all_silent.core_pct,
                "bps": self.all_silent.bps,
            },
            "carried_core_pct": self.carried_core_pct,
        })
    }
}

/// Tokens in the logs of one process: a generation that is under way has half
/// of its tokens on average.
fn log_tokens(generations: f64) -> f64 {
    generations * TOKENS_EACH / 2.0
}

fn entry_need(book: &SlopeBook) -> Result<RoleNeed> {
    let slope = |name: &str| book.fit(name).map(|fit| fit.slope);
    let generations = TOKENS * TOKEN_GAP / ENTRIES;
    let rss = book.fit("entry_rss_bytes_per_server")?.at(AGENTS)
        + generations * slope("entry_rss_bytes_per_generation")?
        + TEAMS * slope("entry_rss_bytes_per_team")?.max(0.0)
        + MODELS * slope("entry_rss_bytes_per_model")?.max(0.0);
    let idle_core = book.fit("entry_idle_core_per_server")?.at(AGENTS);
    let silent_core = slope("entry_silent_core_per_generation")?.max(0.0);
    let silent_bps = slope("stream_silent_bps_per_generation")?;
    let flow_bps = slope("flow_control_bps_per_generation")?;
    // An entry works on control when some of it comes, and no heartbeat costs
    // less than a load that rides on a token.
    let core = idle_core + generations * silent_core * flow_bps / silent_bps;
    let fixed_bps = book.fit("entry_platform_bps_per_server")?.base
        + book.fit("entry_list_bytes_per_server")?.at(AGENTS) / LIST_INTERVAL
        + slope("entry_tell_bytes_per_second")?;
    let carried = TOKENS / ENTRIES * slope("entry_core_seconds_per_token")?
        + REQUESTS / ENTRIES * slope("entry_core_seconds_per_chat")?;
    Ok(RoleNeed {
        generations,
        rss_mb: rss / MEGABYTE,
        log_mb: log_tokens(generations) * slope("entry_rss_bytes_per_log_token")? / MEGABYTE,
        core_pct: core * 100.0,
        bps: fixed_bps + generations * flow_bps,
        all_silent: SilentNeed {
            core_pct: (idle_core + generations * silent_core) * 100.0,
            bps: fixed_bps + generations * silent_bps,
        },
        carried_core_pct: carried * 100.0,
    })
}

fn agent_need(book: &SlopeBook) -> Result<RoleNeed> {
    let slope = |name: &str| book.fit(name).map(|fit| fit.slope);
    let generations = TOKENS * TOKEN_GAP / AGENTS;
    let rss = slope("agent_rss_bytes_per_process")?
        + generations * slope("agent_rss_bytes_per_generation")?;
    // An agent looks at each open stream as often as at a silent one, so all
    // count as silent here.
    let core = slope("agent_idle_core_per_process")?
        + generations * slope("agent_silent_core_per_generation")?.max(0.0);
    let fixed_bps = slope("agent_platform_bps_per_process")?
        + slope("entry_tell_bytes_per_second")? * ENTRIES / AGENTS;
    let carried = TOKENS / AGENTS * slope("agent_core_seconds_per_token")?
        + REQUESTS / AGENTS * slope("agent_core_seconds_per_chat")?;
    Ok(RoleNeed {
        generations,
        rss_mb: rss / MEGABYTE,
        log_mb: log_tokens(generations) * slope("agent_rss_bytes_per_log_token")? / MEGABYTE,
        core_pct: core * 100.0,
        bps: fixed_bps + generations * slope("flow_control_bps_per_generation")?,
        all_silent: SilentNeed {
            core_pct: core * 100.0,
            bps: fixed_bps + generations * slope("stream_silent_bps_per_generation")?,
        },
        carried_core_pct: carried * 100.0,
    })
}
