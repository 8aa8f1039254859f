//! A worker of the users' platform that answers by a script.
//!
//! Its bytes are written by hand, because most of what it is for is answers
//! that no HTTP library would send: torn, doubled, foreign and late ones.

mod worker_act;
mod worker_connection;

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{net::TcpListener, sync::watch};

use crate::endless_bytes::EndlessPart;

pub use worker_act::{
    StreamEnd, WorkerAct, WorkerArrival, WorkerIdentity, WorkerRequest, WorkerRun,
};

/// What the system asks of a worker on its own account.
#[derive(Clone, Copy, Debug)]
enum OwnQuestion {
    Health,
    Report,
    Held,
}

impl OwnQuestion {
    fn of(request: &WorkerRequest) -> Option<Self> {
        let path = request.head.strip_prefix("GET ")?.split(' ').next()?;
        match path {
            "/healthz" => Some(Self::Health),
            "/v1/report" => Some(Self::Report),
            "/v1/kv-list" => Some(Self::Held),
            _ => None,
        }
    }
}

/// Acts of a worker without a script: a share of requests meets a fault.
#[derive(Debug)]
struct FaultDraw {
    rng: SmallRng,
    percent: u32,
}

#[derive(Debug, Default)]
struct WorkerState {
    script: VecDeque<WorkerAct>,
    faults: Option<FaultDraw>,
    requests: Vec<WorkerRequest>,
    arrivals: Vec<WorkerArrival>,
    lifetimes: u64,
    ran: Vec<String>,
    held: Vec<(String, u64)>,
    listings: usize,
    mute: bool,
    mute_reports: usize,
    is_leaving: bool,
    has_restarted: bool,
    is_other_service: bool,
    identity: Option<WorkerIdentity>,
    crash_time: Option<Duration>,
    runs: Vec<WorkerRun>,
    own_questions: usize,
    late: String,
    endless_listings: Option<EndlessPart>,
    endless_health: Option<EndlessPart>,
    load: Option<&'static str>,
    event_pause: Option<Duration>,
    endless_bytes: u64,
    closed: usize,
    deadly_part: Option<(String, Duration)>,
    limit: Option<&'static str>,
    early_reset: Option<(&'static str, Duration)>,
    uploads: usize,
}

/// A worker in this process.
#[derive(Clone, Debug)]
pub struct ScriptedWorker {
    /// Where it listens.
    pub address: SocketAddr,
    instance: &'static str,
    state: Arc<Mutex<WorkerState>>,
    crashes: Arc<watch::Sender<u64>>,
    /// Crashes after which no connection is accepted any more; connections end then.
    closings: Arc<watch::Sender<u64>>,
}

/// Events of a whole stream of a worker without a script.
pub const STREAM_EVENTS: u64 = 30;
/// Time from the head of an answer to the crash that it brings about.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time from the beginning of a run to the head of its answer, at most.
const RUN_BEGINNING: Duration = Duration::from_millis(200);
/// Pause between two pieces of a stream that makes no progress.
const DRIBBLE_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two events: long enough that they come as pieces.
const EVENT_PAUSE: Duration = Duration::from_millis(2);

impl ScriptedWorker {
    /// Answers each request once its head is there with a success without a length and this
    /// part of its body, and resets the connection after a pause, with the body unread.
    pub fn reset_uploads(&self, part: &'static str, pause: Duration) {
        self.state().early_reset = Some((part, pause));
    }

    /// Requests whose connection was reset early.
    pub fn uploads(&self) -> usize {
        self.state().uploads
    }

    /// Start a worker; without a script it answers 200.
    pub async fn start(instance: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let worker = Self {
            address: listener.local_addr()?,
            instance,
            state: Arc::default(),
            crashes: Arc::new(watch::Sender::new(0)),
            closings: Arc::new(watch::Sender::new(0)),
        };
        tokio::spawn(worker.clone().serve(listener));
        Ok(worker)
    }

    /// What to do with the next requests.
    pub fn script(&self, acts: impl IntoIterator<Item = WorkerAct>) {
        self.state().script.extend(acts);
    }

    /// Drop what the script has left.
    pub fn clear_script(&self) {
        self.state().script.clear();
    }

    /// Meet a share of requests with faults that are drawn.
    pub fn draw_faults(&self, seed: u64, percent: u32) {
        self.state().faults = Some(FaultDraw {
            rng: SmallRng::seed_from_u64(seed),
            percent,
        });
    }

    /// Hold a part of a prompt in memory.
    pub fn hold(&self, part: &str, tokens: u64) {
        self.state().held.push((part.to_owned(), tokens));
    }

    /// Leave the question what the worker holds without an answer.
    pub fn mute_listings(&self) {
        self.state().mute = true;
    }

    /// Answer the question what the worker holds without end.
    pub fn answer_listings_endlessly(&self, part: EndlessPart) {
        self.state().endless_listings = Some(part);
    }

    /// Answer health checks without end.
    pub fn answer_health_endlessly(&self, part: EndlessPart) {
        self.state().endless_health = Some(part);
    }

    /// Say in answers to health checks that so many requests run, wait and have room.
    pub fn set_load(&self, load: &'static str) {
        self.state().load = Some(load);
    }

    /// Name a limit in every answer, or none.
    pub fn name_limit(&self, limit: Option<&'static str>) {
        self.state().limit = limit;
    }

    /// Pause between two events of a stream.
    pub fn set_event_pause(&self, pause: Duration) {
        self.state().event_pause = Some(pause);
    }

    /// Leave the next questions for the report without an answer.
    pub fn mute_reports(&self, count: usize) {
        self.state().mute_reports = count;
    }

    /// Go on as another lifetime, which has the worker's name.
    pub fn restart(&self) {
        self.state().has_restarted = true;
    }

    /// Go on as a worker of another service, which has no models, that was given the
    /// address; it has the worker's name.
    pub fn hand_over(&self) {
        let mut state = self.state();
        state.has_restarted = true;
        state.is_other_service = true;
    }

    /// Be this instance of this service.
    pub fn serve_as(&self, identity: WorkerIdentity) {
        self.state().identity = Some(identity);
    }

    /// Who the worker is, if it was named.
    pub fn identity(&self) -> Option<WorkerIdentity> {
        self.state().identity.clone()
    }

    /// Crash, and after `down` let another worker have the address.
    pub fn crash_and_reassign(&self, identity: WorkerIdentity, down: Duration) {
        {
            let mut state = self.state();
            state.identity = Some(identity);
            state.crash_time = Some(down);
            state.is_leaving = false;
            state.lifetimes += 1;
            state.break_off_beginnings();
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Crash whatever the worker runs, and come back after `down`.
    pub fn crash_for(&self, down: Duration) {
        {
            let mut state = self.state();
            state.crash_time = Some(down);
            state.break_off_beginnings();
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// All runs of requests.
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.state().runs.clone()
    }

    /// Crash at the beginning of each answer to a prompt with this part, and come back
    /// after `down`.
    pub fn crash_on_part(&self, part: &str, down: Duration) {
        self.state().deadly_part = Some((part.to_owned(), down));
    }

    /// How often the worker crashed.
    pub fn crashes(&self) -> u64 {
        *self.crashes.borrow()
    }

    fn crashes_on(&self, request: &WorkerRequest) -> bool {
        let state = self.state();
        let prefix = request.header("x-bamboocross-prompt-prefix");
        let (Some((part, _)), Some(prefix)) = (&state.deadly_part, prefix) else {
            return false;
        };
        let mut ids = prefix.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id.trim() == part)
    }

    /// Name of the present lifetime: as tests register it, until a restart.
    fn lifetime(&self) -> String {
        if let Some(identity) = self.identity() {
            return identity.name;
        }
        if self.state().has_restarted {
            self.instance.to_owned()
        } else {
            format!("i-{}", self.address.port())
        }
    }

    /// Whether the worker says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.state().is_leaving
    }

    /// Begin another lifetime, which does not leave, and return its number.
    pub fn begin_lifetime(&self) -> u64 {
        let mut state = self.state();
        state.is_leaving = false;
        state.lifetimes += 1;
        state.lifetimes
    }

    /// Number of the present lifetime.
    pub fn lifetime_number(&self) -> u64 {
        self.state().lifetimes
    }

    /// All requests that arrived.
    pub fn arrivals(&self) -> Vec<WorkerArrival> {
        self.state().arrivals.clone()
    }

    /// Say in every answer that the worker leaves.
    pub fn leave(&self) {
        self.state().is_leaving = true;
    }

    /// How often the system asked something on its own account.
    pub fn own_questions(&self) -> usize {
        self.state().own_questions
    }

    /// Bytes that were taken of answers that never end.
    pub fn endless_bytes(&self) -> u64 {
        self.state().endless_bytes
    }

    /// How often the worker was asked what it holds.
    pub fn listings(&self) -> usize {
        self.state().listings
    }

    /// Ids of the requests that ran, one entry a run.
    pub fn ran(&self) -> Vec<String> {
        self.state().ran.clone()
    }

    /// Requests so far.
    pub fn requests(&self) -> Vec<WorkerRequest> {
        self.state().requests.clone()
    }

    /// Connections that their caller closed while an answer was due.
    pub fn abandoned(&self) -> usize {
        self.state().closed
    }

    fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkerState {
    /// Records that the worker crashes, for the runs that just began.
    fn break_off_beginnings(&mut self) {
        let just_begun = self
            .runs
            .iter_mut()
            .rev()
            .take_while(|run| run.at.elapsed() < RUN_BEGINNING);
        just_begun.for_each(|run| run.is_broken_off = true);
    }

    /// Header lines with which the worker speaks of itself.
    fn notice_lines(&self) -> String {
        let leaving = if self.is_leaving {
            "server-leaving: 1\r\n"
        } else {
            ""
        };
        let limit = self.limit.map(|limit| format!("server-limit: {limit}\r\n"));
        let load = self
            .load
            .map(|load| format!("x-bamboocross-load: {load}\r\n"));
        format!(
            "{leaving}{}{}",
            limit.unwrap_or_default(),
            load.unwrap_or_default()
        )
    }

    fn list_held(&mut self) -> String {
        let held: Vec<String> = self
            .held
            .iter()
            .map(|(part, tokens)| format!(r#"["","{part}",{tokens},"m"]"#))
            .collect();
        format!(
            r#"{{"epoch":1,"next-token":1,"held":[{}]}}"#,
            held.join(",")
        )
    }

    fn next_act(&mut self, request: &WorkerRequest) -> WorkerAct {
        let target = request.header("x-bamboocross-target-instance");
        if let Some(identity) = &self.identity
            && target.is_some_and(|target| target != identity.name)
        {
            return WorkerAct::MisdirectedTo(identity.name.clone());
        }
        if let Some(act) = self.script.pop_front() {
            return act;
        }
        let is_stream =
            request.path().starts_with("/report/") || request.path().starts_with("/once/");
        if let Some(draw) = &mut self.faults
            && draw.rng.random_range(0..100) < draw.percent
        {
            return draw.act(is_stream);
        }
        if is_stream {
            WorkerAct::Events(STREAM_EVENTS, StreamEnd::Complete)
        } else {
            WorkerAct::Answer(200, "ok")
        }
    }
}

impl FaultDraw {
    fn act(&mut self, is_stream: bool) -> WorkerAct {
        let at = self.rng.random_range(0..STREAM_EVENTS);
        let acts = if is_stream {
            vec![
                WorkerAct::Events(at, StreamEnd::Cut),
                WorkerAct::Events(at, StreamEnd::Torn),
                WorkerAct::Events(at, StreamEnd::Hang),
                WorkerAct::Rejected,
                WorkerAct::Reset,
            ]
        } else {
            vec![
                WorkerAct::Reset,
                WorkerAct::Truncated,
                WorkerAct::Extra,
                WorkerAct::Foreign,
                WorkerAct::NoSeal,
                WorkerAct::Junk,
                WorkerAct::Silence,
                WorkerAct::Rejected,
                WorkerAct::Pause("0.3"),
                WorkerAct::Answer(500, "failed"),
            ]
        };
        let index = self.rng.random_range(0..acts.len());
        acts[index].clone()
    }
}
