//! Detection of prompt parts that crash servers.
//!
//! One task owns the evidence. Requests hand it what they saw through a channel and
//! read its verdict from a snapshot.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use domain::{
    PartDigest,
    crash_evidence::{
        CrashEvidence, CrashLedger, CrashReport, HeldParts, HoldVerdict, PartAcquittal, ReportId,
    },
    server_registry::RegisteredServer,
};
use rand::Rng;
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    backend_connection::BackendConnection,
    front_state::{ENTRY_LIFETIME, FrontState},
};

/// Capacity of the channel to the owning task.
const MAX_QUEUED_NOTES: usize = 1_024;
/// Time that a stream waits until its report counts. The verdict on its parts may
/// depend on it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the losses of other servers are noticed that ended at the same moment.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time between two removals of old reports.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

/// Client of the task that owns the evidence, and its verdict.
#[derive(Debug)]
pub struct CrashWatch {
    held: ArcSwap<HeldParts>,
    verdicts: watch::Sender<()>,
    notes: mpsc::Sender<CrashNote>,
    /// Signals that this entry saw a crash, which the others are to learn.
    pub(crate) own_report: Notify,
}

/// Receiver of the observations, to be passed to [`watch_crashes`].
#[derive(Debug)]
pub struct CrashNotes(mpsc::Receiver<CrashNote>);

#[derive(Debug)]
enum CrashNote {
    Report(CrashReport, oneshot::Sender<()>),
    Acquittal(Arc<[PartDigest]>, Instant),
    Exchange(CrashEvidence, oneshot::Sender<CrashEvidence>),
}

impl CrashWatch {
    /// Creates a watch without evidence, and the receiver of its observations.
    pub fn new() -> (Self, CrashNotes) {
        let (notes, receiver) = mpsc::channel(MAX_QUEUED_NOTES);
        let watch = Self {
            held: ArcSwap::default(),
            verdicts: watch::Sender::new(()),
            notes,
            own_report: Notify::new(),
        };
        (watch, CrashNotes(receiver))
    }

    /// The parts that are held back.
    pub(crate) fn held(&self) -> arc_swap::Guard<Arc<HeldParts>> {
        self.held.load()
    }

    /// Waits until one of `parts` is held back.
    pub(crate) async fn wait_held(&self, parts: &[PartDigest]) {
        let mut verdicts = self.verdicts.subscribe();
        while self.held.load().find(parts).is_none() {
            if verdicts.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that an answer with these parts, begun at `begun_at`, goes on.
    pub(crate) fn acquit(&self, parts: &Arc<[PartDigest]>, begun_at: Instant) {
        if parts.is_empty() {
            return;
        }
        let note = CrashNote::Acquittal(Arc::clone(parts), begun_at);
        // The next answer with these parts acquits them as well.
        if self.notes.try_send(note).is_err() {
            log::debug!("queue of crash evidence is full");
        }
    }

    /// Merges the evidence of another entry and returns this entry's.
    pub(crate) async fn exchange(&self, evidence: CrashEvidence) -> CrashEvidence {
        let (reply, receiver) = oneshot::channel();
        let note = CrashNote::Exchange(evidence, reply);
        if self.notes.send(note).await.is_err() {
            return CrashEvidence::default();
        }
        receiver.await.unwrap_or_default()
    }

    async fn report(&self, report: CrashReport) {
        let (reply, receiver) = oneshot::channel();
        let sent = async {
            if self
                .notes
                .send(CrashNote::Report(report, reply))
                .await
                .is_ok()
            {
                // Fails only if the task has ended with the process.
                let _ = receiver.await;
            }
        };
        if timeout(REPORT_TIMEOUT, sent).await.is_err() {
            log::warn!("crash report delayed");
        }
    }
}

/// Reports that `server` broke off an answer to a prompt with these parts at its
/// beginning, if the server has ended. A lost connection alone accuses nobody, nor does
/// the end of several servers since the answer began.
pub(crate) async fn report_crash(
    state: &FrontState,
    server: &RegisteredServer,
    parts: &[PartDigest],
    begun_at: Instant,
) {
    let seen_at = Instant::now();
    if parts.is_empty() {
        return;
    }
    if BackendConnection::open(server.record().address)
        .await
        .is_ok()
    {
        return;
    }
    sleep(SETTLE_TIME).await;
    if state.registry.load().has_other_failure(server, begun_at) {
        log::info!(
            server = server.record().instance.as_str();
            "server ended as it began to answer, together with others"
        );
        return;
    }
    let report = CrashReport {
        id: ReportId::from(rand::rng().random::<u64>()),
        server: server.record().instance.clone(),
        seen_by: state.settings.load().name.as_str().into(),
        begun_at,
        seen_at,
        parts: parts.into(),
    };
    log::warn!(
        server = report.server.as_str(),
        parts:? = parts;
        "server ended as it began to answer"
    );
    state
        .metrics
        .crash_reports
        .with_label_values(&["own"])
        .inc();
    state.crash_watch.report(report).await;
}

/// Judges a request by the parts of its prompt. Lets one request through when a trial
/// of a held part is due.
pub(crate) fn judge_parts(state: &FrontState, parts: &[PartDigest]) -> HoldVerdict {
    let held = state.crash_watch.held();
    if held.find(parts).is_none() {
        return HoldVerdict::Free;
    }
    let now = Instant::now();
    let settings = state.settings.load();
    let roster = state.roster.load();
    let may_try = roster.is_first(&settings.name, ENTRY_LIFETIME, now);
    let verdict = held.judge(parts, may_try, now);
    if let HoldVerdict::Trial(part) = verdict {
        log::warn!(part:% = part; "request let through as a trial");
    }
    verdict
}

/// Spawns the task that owns the evidence.
pub fn watch_crashes(state: &Arc<FrontState>, notes: CrashNotes) {
    let state = Arc::clone(state);
    tokio::spawn(async move { own_evidence(&state, notes.0).await });
}

async fn own_evidence(state: &FrontState, mut notes: mpsc::Receiver<CrashNote>) {
    let mut ledger = CrashLedger::default();
    let mut expiry = interval(EXPIRY_PERIOD);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let note = tokio::select! {
            note = notes.recv() => note,
            _ = expiry.tick() => {
                ledger.expire(Instant::now());
                publish(state, &ledger);
                continue;
            }
        };
        let Some(note) = note else {
            return;
        };
        match note {
            CrashNote::Report(report, reply) => {
                ledger.add_report(report);
                publish(state, &ledger);
                state.crash_watch.own_report.notify_one();
                // The stream may have ended in the meantime.
                let _ = reply.send(());
            }
            CrashNote::Acquittal(parts, begun_at) => {
                let mut has_news = false;
                for part in parts.iter().copied() {
                    has_news |= ledger.acquit(PartAcquittal { part, begun_at });
                }
                if has_news {
                    publish(state, &ledger);
                }
            }
            CrashNote::Exchange(evidence, reply) => {
                let others = evidence.reports.clone();
                let has_acquittals = !evidence.acquittals.is_empty();
                let news = ledger.merge(evidence);
                let counter = &state.metrics.crash_reports;
                counter.with_label_values(&["entry"]).inc_by(news as u64);
                if news > 0 || has_acquittals {
                    publish(state, &ledger);
                }
                // The call of the other entry may have ended in the meantime.
                let _ = reply.send(ledger.evidence(&others));
            }
        }
    }
}

/// Replaces the verdict by that of the present evidence.
fn publish(state: &FrontState, ledger: &CrashLedger) {
    let watch = &state.crash_watch;
    let earlier = watch.held.load_full();
    let held = ledger.held_parts(&earlier);
    let now = Instant::now();
    for part in held
        .iter()
        .filter(|part| earlier.find(&[part.part]).is_none())
    {
        log::warn!(
            part:% = part.part,
            crashes = part.crashes,
            seen_by:? = part.seen_by,
            since_ms = now.saturating_duration_since(part.first_at).as_millis() as u64;
            "prompt part held back"
        );
    }
    for part in earlier
        .iter()
        .filter(|part| held.find(&[part.part]).is_none())
    {
        log::warn!(part:% = part.part; "prompt part no longer held back");
    }
    if held.is_empty() && earlier.is_empty() {
        return;
    }
    state
        .metrics
        .held_parts
        .set(i64::try_from(held.len()).unwrap_or(i64::MAX));
    watch.held.store(Arc::new(held));
    watch.verdicts.send_replace(());
}
