//! `cargo xtask measure notes`: release notes and planned stops under faults.
//!
//! A hundred small processes take notes in while the store is slow, down, loses
//! answers or is cut off, while operators race, and while a failure domain
//! restarts. Times run from when the operator began, which is before the note
//! was accepted, to when a process was seen to have it in force.

mod note_site;
mod stop_trial;
mod version_monitor;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use miette::{Result, miette};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stand_ins::{EngineCounts, LinkMode, PlatformCounts, PlatformFaults};

use crate::{
    deployment::{ENGINE_POOL, MODEL},
    measure::{MeasureOptions, MeasureReport, slope_fit::SlopeFit},
};
use note_site::{DOMAINS, NoteSite};

pub use note_site::NoteSize;
use stop_trial::{StopFigures, try_stops};
use version_monitor::VersionMonitor;

/// Longest time until a note is in force everywhere.
const IN_FORCE_MAX_S: f64 = 6.0;

/// Control bytes of a node a second at most.
const CONTROL_MAX_BPS: f64 = 5_000.0;

/// Time within which what is bound to come must have come.
const PATIENCE: Duration = Duration::from_secs(15);

/// Time over which traffic is counted.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(12);

/// Time that the holder of a lease is paused, past its term.
const HOLDER_PAUSE: Duration = Duration::from_secs(14);

/// Time within which a lease that has lapsed is taken again.
const HOLDER_PATIENCE: Duration = Duration::from_secs(30);

/// Time between two questions of an agent to entries, as in the product.
const PULL_INTERVAL_S: f64 = 1.5;

/// Agents that ask one entry, at the design size.
const AGENTS_PER_ENTRY: f64 = 1_400.0 / 370.0;

/// Teams in each of the notes by which the slope against teams is measured.
const TEAMS_STEP: u32 = 250;

/// Slowest processes that are named.
const SLOWEST_SHOWN: usize = 12;

/// A run of the measurement.
struct NoteTrial {
    site: NoteSite,
    monitor: VersionMonitor,
    rng: SmallRng,
    /// Teams whose limit was set last, with the weight that must be in force.
    accepted: Vec<(u64, String, u32)>,
    notes: u32,
    /// What was going on when a version was accepted.
    phases: BTreeMap<u64, &'static str>,
    phase: &'static str,
}

/// Traffic in a quiet window with a few notes.
#[derive(Clone, Copy, Debug, Default)]
struct TrafficFigures {
    agent_bps: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    note_bytes: f64,
    pull_bytes: f64,
    pull_bps: f64,
    tell_bps: f64,
    entry_store_bps: f64,
}

impl TrafficFigures {
    /// Bytes a second of an entry that so many agents ask.
    fn entry_bps(&self, agents: f64) -> f64 {
        self.entry_store_bps + self.tell_bps + self.pull_bps * agents
    }
}

/// Run the measurement.
pub async fn measure(options: MeasureOptions) -> Result<MeasureReport> {
    let size = NoteSize {
        agents: 96,
        entries: 8,
    };
    measure_sized(options, size).await
}

/// Run it with a number of processes.
pub async fn measure_sized(options: MeasureOptions, size: NoteSize) -> Result<MeasureReport> {
    let site = NoteSite::start(size).await?;
    let monitor = VersionMonitor::start(site.processes());
    let mut trial = NoteTrial {
        site,
        monitor,
        rng: SmallRng::seed_from_u64(options.seed),
        accepted: Vec::new(),
        notes: 0,
        phases: BTreeMap::new(),
        phase: "start",
    };
    trial.run().await
}

impl NoteTrial {
    async fn run(&mut self) -> Result<MeasureReport> {
        self.phase = "traffic";
        let traffic = self.measure_traffic().await?;
        self.phase = "slow store";
        let slow = PlatformFaults {
            slow_ms: 200,
            ..Default::default()
        };
        self.publish_under(&slow, 2).await?;
        self.phase = "lost answers";
        let lossy = PlatformFaults {
            lose_answers: 1,
            ..Default::default()
        };
        self.publish_under(&lossy, 2).await?;
        self.phase = "racing operators";
        self.race_operators(3).await?;
        self.phase = "domain cut off";
        self.cut_domain_off().await?;
        self.phase = "planned stops";
        let stops = try_stops(&self.site).await?;
        self.restart_domain_without_store().await?;
        self.phase = "after a restart without the store";
        let taken_over = self.pause_holders().await?;
        self.phase = "end";
        self.settle().await?;
        let lost = self.count_lost().await?;
        let teams = self.measure_teams().await?;
        self.report(&traffic, &stops, &teams, (lost, taken_over))
            .await
    }

    /// A note that sets the limit of one of many teams.
    fn next_note(&mut self) -> (String, u32, Value) {
        self.notes += 1;
        let team = format!("team-{}", self.rng.random_range(0..13_000));
        let weight = self.rng.random_range(1..=10_000);
        let note = json!({
            "id": format!("trial-{}", self.notes),
            "changes": [{ "change": "limit_team", "team": team, "weight": weight }],
        });
        (team, weight, note)
    }

    fn publish_next(&mut self) -> Result<Option<u64>> {
        let (team, weight, note) = self.next_note();
        self.publish(&note, Some((team, weight)))
    }

    fn publish(&mut self, note: &Value, limit: Option<(String, u32)>) -> Result<Option<u64>> {
        let asked_at = Instant::now();
        let published = self.site.publish("trial", note)?;
        if let Some(version) = published {
            self.monitor.accepted(version, asked_at);
            self.phases.insert(version, self.phase);
            self.accepted
                .extend(limit.map(|(team, weight)| (version, team, weight)));
        }
        Ok(published)
    }

    fn must_publish(&mut self) -> Result<u64> {
        self.publish_next()?
            .ok_or_else(|| miette!("a note was refused"))
    }

    async fn set_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let platform = self.site.fleet.platform();
        self.site.fleet.control(platform, faults).await
    }

    async fn wait_everywhere(&self, version: u64) -> Result<()> {
        let processes = self.site.processes().len();
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if self.monitor.is_everywhere(version, processes) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // What is missing is counted in the end.
        Ok(())
    }

    async fn publish_under(&mut self, faults: &PlatformFaults, count: u32) -> Result<()> {
        for _ in 0..count {
            self.set_faults(faults).await?;
            let version = self.must_publish()?;
            self.wait_everywhere(version).await?;
        }
        self.set_faults(&PlatformFaults::default()).await
    }

    /// Two operators publish at once, time and again; what each is told must
    /// be so.
    async fn race_operators(&mut self, rounds: u32) -> Result<()> {
        let mut newest = 0;
        for _ in 0..rounds {
            let (one, other) = (self.next_note(), self.next_note());
            let site = &self.site;
            let asked_at = Instant::now();
            let published = std::thread::scope(|scope| {
                let first = scope.spawn(|| site.publish("one", &one.2));
                let second = site.publish("other", &other.2);
                let first = first.join().map_err(|_| miette!("an operator failed"))?;
                Ok::<_, miette::Report>([first?, second?])
            })?;
            for (version, (team, weight, _)) in published.into_iter().zip([one, other]) {
                let Some(version) = version else {
                    continue;
                };
                self.monitor.accepted(version, asked_at);
                self.phases.insert(version, self.phase);
                self.accepted.push((version, team, weight));
                newest = newest.max(version);
            }
        }
        self.wait_everywhere(newest).await
    }

    /// A failure domain cannot reach the platform, nor be told anything.
    async fn cut_domain_off(&mut self) -> Result<()> {
        self.site.set_domain(1, LinkMode::Silence).await?;
        for _ in 0..3 {
            let version = self.must_publish()?;
            self.wait_everywhere(version).await?;
        }
        self.site.set_domain(1, LinkMode::Pass).await
    }

    async fn restart_domain_without_store(&mut self) -> Result<()> {
        let down = PlatformFaults {
            down: true,
            ..Default::default()
        };
        self.set_faults(&down).await?;
        if self.publish_next()?.is_some() {
            return Err(miette!("a note was accepted while the store was down"));
        }
        let agents = self.site.agents.iter_mut().enumerate();
        for (_, agent) in agents.filter(|(at, _)| at % DOMAINS == 2) {
            self.site.fleet.restart_agent(agent)?;
        }
        tokio::time::sleep(Duration::from_secs(8)).await;
        self.set_faults(&PlatformFaults::default()).await
    }

    /// Whoever may hold a lease is paused past its term while a note asks for
    /// orders, and wakes among the orders of the next holder.
    async fn pause_holders(&mut self) -> Result<u64> {
        let mut taken_over = 0;
        for version in [4, 5] {
            let note = json!({ "changes": [{
                "change": "change", "model": MODEL, "version": version,
                "pool": ENGINE_POOL, "window": 32_768,
            }] });
            self.wait_for_holder().await?;
            let published = self.publish(&note, None)?;
            tokio::time::sleep(Duration::from_millis(700)).await;
            let holder = self.holder(None).await?;
            if let Some(holder) = holder {
                self.site.agents[holder].process.signal(Signal::SIGSTOP);
                tokio::time::sleep(HOLDER_PAUSE).await;
                taken_over += u64::from(self.holder(Some(holder)).await?.is_some());
                self.monitor.woken(self.site.agents[holder].vm.stream);
                self.site.agents[holder].process.signal(Signal::SIGCONT);
            }
            self.wait_everywhere(published.unwrap_or(0)).await?;
        }
        Ok(taken_over)
    }

    /// Wait until the lease is held, which lapsed if the store was down for long.
    async fn wait_for_holder(&self) -> Result<()> {
        let deadline = Instant::now() + HOLDER_PATIENCE;
        while self.holder(None).await?.is_none() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        // Without a holder nothing is taken over, which the report counts.
        Ok(())
    }

    /// The agent that holds the lease of the pool, by its own word; the paused
    /// one is not asked.
    async fn holder(&self, paused: Option<usize>) -> Result<Option<usize>> {
        let agents = self.site.agents.iter().enumerate();
        for (at, agent) in agents.filter(|(at, _)| Some(*at) != paused) {
            let state: Value = self.site.fleet.read(agent.vm.stream, "/state").await?;
            if state["lease"].is_object() {
                return Ok(Some(at));
            }
        }
        Ok(None)
    }

    async fn settle(&mut self) -> Result<()> {
        let version = self.must_publish()?;
        self.wait_everywhere(version).await
    }

    /// Accepted notes that the history or the state in force does not show.
    async fn count_lost(&self) -> Result<u64> {
        let (_, history) = self
            .site
            .fleet
            .operator(&["note", "history", "--count", "500"])?;
        let (_, state) = self.site.fleet.operator(&["note", "show"])?;
        let state: Value = serde_json::from_str(&state).map_err(|error| miette!("{error}"))?;
        let mut lost = 0;
        for (version, team, weight) in &self.accepted {
            let is_recorded = history
                .lines()
                .any(|line| line.starts_with(&format!("version {version} note ")));
            let is_latest = !self
                .accepted
                .iter()
                .any(|(other, name, _)| name == team && other > version);
            let held = &state["teams"][team]["weight"];
            if !is_recorded || (is_latest && *held != json!(weight)) {
                lost += 1;
            }
        }
        Ok(lost)
    }

    async fn measure_traffic(&mut self) -> Result<TrafficFigures> {
        let site = &self.site;
        let platform = site.fleet.platform();
        let before: PlatformCounts = site.fleet.read(platform, "/control").await?;
        let entry_before = site.bytes(&site.entry_links).await?;
        let agent_before = site.bytes(&site.agent_links).await?;
        let tells_before = site.bytes(&site.control_links).await?;
        let started = Instant::now();
        let mut newest = 0;
        for _ in 0..4 {
            newest = self.must_publish()?;
            tokio::time::sleep(TRAFFIC_WINDOW / 4).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        let site = &self.site;
        let after: PlatformCounts = site.fleet.read(platform, "/control").await?;
        let entry_bytes = site.bytes(&site.entry_links).await? - entry_before;
        let agent_bytes = site.bytes(&site.agent_links).await? - agent_before;
        let tell_bytes = site.bytes(&site.control_links).await? - tells_before;
        let pull_bytes = self.pull_bytes(newest).await?;
        let note_bytes = self.pull_bytes(newest - 1).await? - pull_bytes;
        let notes_per_s = 4.0 / seconds;
        let pull_bps = pull_bytes / PULL_INTERVAL_S + note_bytes * notes_per_s;
        let (agents, entries) = (self.site.agents.len(), self.site.entries.len());
        let share = |bytes: u64, nodes: usize| bytes as f64 / seconds / nodes as f64;
        self.wait_everywhere(newest).await?;
        Ok(TrafficFigures {
            agent_bps: share(agent_bytes + tell_bytes, agents) + pull_bps,
            reads_per_s: (after.reads - before.reads) as f64 / seconds,
            writes_per_s: (after.transactions - before.transactions) as f64 / seconds,
            note_bytes,
            pull_bytes,
            pull_bps,
            tell_bps: share(tell_bytes, entries),
            entry_store_bps: share(entry_bytes, entries),
        })
    }

    /// Bytes of one question of an agent to an entry, both ways.
    async fn pull_bytes(&self, after: u64) -> Result<f64> {
        let entry = self.site.entries[0].address;
        let counted = self.site.link(entry).await?;
        let path = format!("/v1/note?after={after}&server=writer-0&orders=99");
        let _: Value = self.site.fleet.read(counted, &path).await?;
        Ok(self.site.bytes(&[counted]).await? as f64)
    }

    /// Bytes of all that a new process takes in, by the teams with a limit.
    async fn measure_teams(&mut self) -> Result<SlopeFit> {
        let mut points = Vec::new();
        for step in 1..=SlopeFit::POINTS_MIN as u32 {
            let teams = TEAMS_STEP * (step - 1)..TEAMS_STEP * step;
            let changes: Vec<Value> = teams
                .map(|team| json!({ "change": "limit_team", "team": format!("new-{team}"), "weight": 7 }))
                .collect();
            let published = self.publish(&json!({ "changes": changes }), None)?;
            self.wait_everywhere(published.unwrap_or(0)).await?;
            let bytes = self.pull_bytes(0).await?;
            points.push((f64::from(TEAMS_STEP * step), bytes));
        }
        Ok(SlopeFit::new(points))
    }

    async fn stale_orders(&self) -> Result<(u64, u64)> {
        let mut sums = (0, 0);
        for engine in &self.site.engines {
            let counts: EngineCounts = self.site.fleet.read(engine.address, "/control").await?;
            sums.0 += counts.stale_orders;
            sums.1 += counts.orders;
        }
        Ok(sums)
    }

    async fn report(
        &self,
        traffic: &TrafficFigures,
        stops: &StopFigures,
        teams: &SlopeFit,
        (lost, taken_over): (u64, u64),
    ) -> Result<MeasureReport> {
        let (stale_orders, orders) = self.stale_orders().await?;
        let sightings = self.monitor.stop();
        let times = sightings.times();
        let quantile = |share: f64| {
            let at = (times.len().saturating_sub(1)) as f64 * share;
            times
                .get(at as usize)
                .map_or(f64::INFINITY, |time| time.seconds)
        };
        for time in times.iter().rev().take(SLOWEST_SHOWN) {
            println!(
                "version {} in force after {:.2} s at {} (published in: {})",
                time.version,
                time.seconds,
                self.site.name(time.process),
                self.phases.get(&time.version).unwrap_or(&"unknown"),
            );
        }
        let max_s = quantile(1.0);
        let lost = lost + sightings.missing() as u64;
        let agents = self.site.agents.len() as f64 / self.site.entries.len() as f64;
        let design_bps = traffic.entry_bps(AGENTS_PER_ENTRY);
        let control_bps = design_bps.max(traffic.agent_bps);
        let figures = json!({
            "processes": self.site.agents.len() + self.site.entries.len(),
            "notes_accepted": self.accepted.len(),
            "in_force_s": { "p50": quantile(0.5), "p99": quantile(0.99), "max": max_s },
            "regained_without_store_s": sightings.regained_s,
            "reverted": sightings.reverted,
            "lost": lost,
            "leases_taken_over": taken_over,
            "orders": orders,
            "stale_orders": stale_orders,
            "late_work": stops.late_work,
            "cut": stops.cut,
            "chats": stops.chats,
            "entry_bps": { "here": traffic.entry_bps(agents), "at_the_design_size": design_bps },
            "agents_per_entry": { "here": agents, "at_the_design_size": AGENTS_PER_ENTRY },
            "whole_note_bytes_by_teams": teams.to_json(),
            "agent_bps": traffic.agent_bps,
            "note_bytes": traffic.note_bytes,
            "pull_bytes": traffic.pull_bytes,
            "entry_tell_bps": traffic.tell_bps,
            "entry_store_bps": traffic.entry_store_bps,
            "store_reads_per_s": traffic.reads_per_s,
            "store_writes_per_s": traffic.writes_per_s,
        });
        let line = format!(
            "notes max_s={max_s:.2} reverted={} lost={lost} stale_orders={stale_orders} \
             late_work={} cut={} control_bps={control_bps:.0}",
            sightings.reverted, stops.late_work, stops.cut
        );
        let mut missed = Vec::new();
        let mut check = |is_met: bool, target: &str| {
            if !is_met {
                missed.push(target.to_owned());
            }
        };
        check(max_s < IN_FORCE_MAX_S, "in force everywhere within 6 s");
        check(sightings.reverted == 0, "no version goes backwards");
        check(lost == 0, "no accepted note is lost");
        check(taken_over > 0, "leases of paused holders are taken over");
        check(orders > 0, "orders are carried out");
        check(stale_orders == 0, "no order under an old fencing number");
        check(stops.late_work == 0, "no new work after 3 s");
        check(stops.cut == 0, "no request cut by a planned stop");
        check(control_bps < CONTROL_MAX_BPS, "control below 5 KB/s a node");
        Ok(MeasureReport {
            figures,
            line,
            missed,
        })
    }
}
