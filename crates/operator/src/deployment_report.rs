//! What `bamboocross status` shows, as text for one screen and as JSON.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use backing::VmEntry;
use domain::serving_config::ConfigState;
use serde_json::{Value, json};

/// Silence of a server, in milliseconds, after which it is shown as stuck; its
/// agent asks it four times a second.
const SERVER_SILENCE_MS: u64 = 1_000;

/// A process of the list and the state that it told, if it answered.
#[derive(Clone, Debug)]
pub struct ProcessView<T> {
    /// Which process.
    pub process: T,
    /// Its state.
    pub state: Option<Value>,
}

/// A call whose outcome is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledCall {
    /// Team and key of the call.
    pub request: String,
    /// Server whose agent recorded the intent.
    pub server: String,
    /// State of its record.
    pub state: &'static str,
}

/// The whole deployment, as far as it answered.
#[derive(Clone, Debug)]
pub struct DeploymentReport {
    /// The release note in force.
    pub note: ConfigState,
    /// Entries that were asked.
    pub entries: Vec<ProcessView<SocketAddr>>,
    /// Servers of the platform's list.
    pub servers: Vec<ProcessView<VmEntry>>,
    /// Unsettled calls.
    pub calls: Vec<UnsettledCall>,
    /// Whether there are more records of calls than were read.
    pub is_calls_cut: bool,
}

/// Servers of one pool in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    servers: u64,
    silent: u64,
    stuck: u64,
    leaving: u64,
    generations: u64,
    calls: u64,
}

impl<T> ProcessView<T> {
    fn number(&self, field: &str) -> u64 {
        let value = self.state.as_ref().map(|state| &state[field]);
        match value {
            Some(Value::Array(items)) => items.len() as u64,
            Some(value) => value.as_u64().unwrap_or(0),
            None => 0,
        }
    }

    fn flag(&self, field: &str) -> bool {
        let value = self.state.as_ref().map(|state| &state[field]);
        value.and_then(Value::as_bool).unwrap_or(false)
    }

    fn text(&self, field: &str) -> &str {
        let value = self.state.as_ref().map(|state| &state[field]);
        value.and_then(Value::as_str).unwrap_or("silent")
    }
}

impl ProcessView<VmEntry> {
    fn is_leaving(&self) -> bool {
        self.process.leaving || self.flag("leaving")
    }

    /// Whether the agent answers but its server gives no sign of life.
    fn is_stuck(&self) -> bool {
        self.number("server_silence_ms") > SERVER_SILENCE_MS
    }
}

impl DeploymentReport {
    /// The report as JSON.
    pub fn to_json(&self) -> Value {
        let models: Vec<Value> = self
            .note
            .models()
            .map(|(name, duty)| {
                json!({
                    "model": name.as_str(),
                    "version": duty.version.0,
                    "pool": duty.pool.as_str(),
                })
            })
            .collect();
        let entries: Vec<Value> = self.entries.iter().map(entry_json).collect();
        let servers: Vec<Value> = self.servers.iter().map(server_json).collect();
        let calls: Vec<Value> = self.calls.iter().map(call_json).collect();
        json!({
            "note_version": self.note.version().0,
            "models": models,
            "entries": entries,
            "servers": servers,
            "unsettled_calls": calls,
            "unsettled_calls_cut": self.is_calls_cut,
        })
    }

    fn pools(&self) -> BTreeMap<(&str, &str), PoolCounts> {
        let mut pools: BTreeMap<(&str, &str), PoolCounts> = BTreeMap::new();
        for view in &self.servers {
            let spec = &view.process.spec;
            let key = (spec.pool.as_str(), spec.domain.as_str());
            let counts = pools.entry(key).or_default();
            counts.servers += 1;
            counts.silent += u64::from(view.state.is_none());
            counts.stuck += u64::from(view.is_stuck());
            counts.leaving += u64::from(view.is_leaving());
            counts.generations += view.number("generations");
            counts.calls += view.number("calls");
        }
        pools
    }

    fn write_note(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "release note: version {} in force", self.note.version())?;
        for (name, duty) in self.note.models() {
            writeln!(f, "  {name} {} in {}", duty.version, duty.pool)?;
        }
        Ok(())
    }

    fn write_entries(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "entries: {}", self.entries.len())?;
        for view in &self.entries {
            writeln!(
                f,
                "  {:<21} {:<16} {:<14} note {:<4} requests {:<5} long {:<5}{}",
                view.process,
                view.text("name"),
                view.text("failure_domain"),
                view.number("note_version"),
                view.number("requests"),
                view.number("long_requests"),
                if view.flag("draining") {
                    " draining"
                } else {
                    ""
                },
            )?;
        }
        Ok(())
    }

    fn write_servers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "servers: {}", self.servers.len())?;
        for ((pool, domain), counts) in self.pools() {
            writeln!(
                f,
                "  {pool:<16} {domain:<14} servers {:<4} silent {:<3} stuck {:<3} leaving {:<3} generations {:<5} calls {}",
                counts.servers,
                counts.silent,
                counts.stuck,
                counts.leaving,
                counts.generations,
                counts.calls,
            )?;
        }
        for view in self.servers.iter().filter(|view| view.is_leaving()) {
            let spec = &view.process.spec;
            writeln!(
                f,
                "  leaving: {} in {}, {} generations and {} calls in flight",
                spec.name,
                spec.domain,
                view.number("generations"),
                view.number("calls"),
            )?;
        }
        for view in self.servers.iter().filter(|view| view.is_stuck()) {
            let spec = &view.process.spec;
            let silence = view.number("server_silence_ms");
            writeln!(
                f,
                "  stuck: {} in {}, no sign of life for {silence} ms",
                spec.name, spec.domain
            )?;
        }
        for view in self.servers.iter().filter(|view| view.state.is_none()) {
            let spec = &view.process.spec;
            let address = spec.addresses.stream;
            writeln!(f, "  silent: {} in {} at {address}", spec.name, spec.domain)?;
        }
        Ok(())
    }
}

impl fmt::Display for DeploymentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_note(f)?;
        self.write_entries(f)?;
        self.write_servers(f)?;
        let cut = if self.is_calls_cut {
            " in the records read; there are more"
        } else {
            ""
        };
        write!(f, "unsettled calls: {}{cut}", self.calls.len())?;
        for call in &self.calls {
            let UnsettledCall {
                request,
                server,
                state,
            } = call;
            write!(f, "\n  {request} at {server}: {state}")?;
        }
        Ok(())
    }
}

fn entry_json(view: &ProcessView<SocketAddr>) -> Value {
    json!({ "address": view.process.to_string(), "state": view.state })
}

fn server_json(view: &ProcessView<VmEntry>) -> Value {
    let spec = &view.process.spec;
    json!({
        "server": spec.name.as_str(),
        "pool": spec.pool.as_str(),
        "failure_domain": spec.domain.as_str(),
        "leaving": view.is_leaving(),
        "state": view.state,
    })
}

fn call_json(call: &UnsettledCall) -> Value {
    json!({ "request": call.request, "server": call.server, "state": call.state })
}
