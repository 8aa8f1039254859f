//! The owner of the roll-outs.
//!
//! One task holds the orders in force and their evidence. It reads the rows of orders
//! and the observations of requests, applies the rules of [`domain::rollout`], publishes
//! the result on the [`RolloutBoard`](crate::RolloutBoard) and starts the writes of
//! status rows. Without bounds in the settings it acts on no order.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, atomic::AtomicU32, atomic::Ordering::Relaxed},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use domain::{
    ServerVersion, ServiceName,
    rollout::{
        ExposureAllowance, ExposureBounds, OrderId, OrderOrigin, PhaseChange, ReportKey,
        RolloutBook, RolloutNews, RolloutOrder, RolloutPhase, RouteNeed, ServiceEntry, SiteView,
        StatusState, VersionSide,
    },
    store_position::StorePosition,
};
use platform::rollout_row::{
    decode_order, decode_status, order_error_key, order_key, order_service,
};
use rand::Rng;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::{
    front_state::{ENTRY_LIFETIME, FrontState},
    rollout_board::{LiveRollout, OrderRow, RolloutNote, RolloutNotes, RolloutSample, StatusEnd},
    rollout_status::{KnownRows, report_row_error, spawn_status_write},
};

/// Time between two looks at the time limits and the evidence.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time that entries leave to the one that decided, or to the first one by name, to
/// write the status row.
const FIRST_WRITER_TIME: Duration = Duration::from_millis(600);
/// Time between two entries that write if the ones before them did not.
const NEXT_WRITER_TIME: Duration = Duration::from_millis(150);
/// Number of entries that write one after the other; the others write with the last.
const WRITER_RANKS: u32 = 8;
/// Time after a failed write before it is repeated.
const REWRITE_TIME: Duration = Duration::from_millis(700);
/// Number of failures of the new version seen by this entry that it tells at once.
const URGENT_FAILURES: u64 = 2;

/// Spawns the task that owns the roll-outs.
pub fn watch_rollouts(state: &Arc<FrontState>, notes: RolloutNotes) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut owner = RolloutOwner::new(state);
        owner.run(notes).await;
    });
}

/// What the owner keeps of one order besides the domain's aggregate.
struct OrderDesk {
    order: OrderId,
    allowance: Arc<ExposureAllowance>,
    old_streams: Arc<AtomicU32>,
    /// State that is to be written, and since when.
    due: Option<(StatusState, Instant)>,
    is_decider: bool,
    is_writing: bool,
    write_after: Instant,
    known_row: u64,
    told_failures: u64,
}

struct RolloutOwner {
    state: Arc<FrontState>,
    book: RolloutBook,
    desks: HashMap<ServiceName, OrderDesk>,
    /// The row of each key that was read last.
    read_rows: HashMap<String, ReadRow>,
}

/// Row of an order that was read, whether it can be used or not.
#[derive(Clone, Copy)]
struct ReadRow {
    version: StorePosition,
    is_removed: bool,
}

impl RolloutOwner {
    fn new(state: Arc<FrontState>) -> Self {
        Self {
            state,
            book: RolloutBook::default(),
            desks: HashMap::new(),
            read_rows: HashMap::new(),
        }
    }

    async fn run(&mut self, mut notes: RolloutNotes) {
        let mut looks = interval(LOOK_PERIOD);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_open = self.is_open();
            let state = Arc::clone(&self.state);
            tokio::select! {
                () = state.rollouts.row_read.notified() => {
                    self.read_rows();
                    self.look();
                }
                note = notes.0.recv() => match note {
                    Some(note) => self.take_note(note),
                    None => return,
                },
                _ = looks.tick(), if is_open => self.look(),
            }
        }
    }

    /// Whether an order is not settled yet, or its outcome is not known to be in the store.
    fn is_open(&self) -> bool {
        self.book.iter().any(|service| {
            let rollout = &service.rollout;
            !rollout.phase().is_settled() || rollout.status_row().is_none()
        })
    }

    fn bounds(&self) -> Option<ExposureBounds> {
        self.state.settings.load().exposure
    }

    fn read_rows(&mut self) {
        let rows = self.state.rollouts.rows();
        for (key, row) in rows.iter() {
            let version = row.row.version;
            let read = self.read_rows.get(key);
            if read.is_some_and(|read| read.version >= version) {
                continue;
            }
            let is_removed = row.row.value.is_none();
            let read = ReadRow {
                version,
                is_removed,
            };
            self.read_rows.insert(key.clone(), read);
            self.read_row(key, row);
        }
    }

    fn read_row(&mut self, key: &str, row: &OrderRow) {
        let version = row.row.version;
        let (Some(service), Some(value)) = (order_service(key), row.row.value.as_deref()) else {
            log::warn!(key = key; "order was removed from the store; it stays in force");
            return;
        };
        let order = match decode_order(service, value, version) {
            Ok(order) => order,
            Err(error) => {
                let error = error.to_string();
                log::error!(
                    service = service,
                    row_version = version.version,
                    reason = error.as_str();
                    "order to roll out cannot be used; the one before stays in force"
                );
                if self.bounds().is_some() && !row.is_relayed {
                    report_row_error(&self.state, key, version, order_error_key(service), error);
                }
                return;
            }
        };
        let (service, id, to) = (order.service.clone(), order.id, order.to.clone());
        self.offer(order, Instant::now(), row.origin);
        let status = row
            .status
            .as_ref()
            .filter(|status| status.version > version);
        let Some((status, value)) = status.and_then(|row| Some((row, row.value.as_deref()?)))
        else {
            return;
        };
        match decode_status(value) {
            Ok((found, named)) if named == to => {
                self.adopt_status(&service, id, found, status.version.version);
            }
            Ok((_, named)) => {
                log::warn!(
                    service = service.as_str(),
                    to = to.as_str(),
                    named = named.as_str();
                    "state of an order not adopted: it names another version"
                );
            }
            Err(error) => {
                log::warn!(service = service.as_str(), error:%; "state of an order cannot be decoded")
            }
        }
    }

    /// Puts an order in force if it is the newest one of its service.
    fn offer(&mut self, order: RolloutOrder, ordered_at: Instant, origin: OrderOrigin) {
        let service = order.service.clone();
        let (id, to, period) = (order.id, order.to.clone(), order.period);
        let Some(bounds) = self.bounds() else {
            log::warn!(
                service = service.as_str(),
                to = to.as_str(),
                row_version = id.position().version;
                "order to roll out not acted on: the settings have no exposure bounds"
            );
            return;
        };
        if self.book.renew(&order) {
            self.renew_desk(&service, id);
            return;
        }
        let key = ReportKey::from(rand::rng().random::<u64>());
        let ready = ready_versions(&self.state, &service);
        if !self.book.offer(order, ordered_at, key, &ready) {
            return;
        }
        let entries = self.slack_sharers(origin);
        log::info!(
            service = service.as_str(),
            to = to.as_str(),
            row_version = id.position().version,
            period_ms = u64::try_from(period.as_millis()).unwrap_or(u64::MAX),
            entries:? = entries;
            "order to roll out in force"
        );
        let desk = OrderDesk {
            order: id,
            allowance: Arc::new(ExposureAllowance::new(bounds, entries)),
            old_streams: Arc::default(),
            due: None,
            is_decider: false,
            is_writing: false,
            write_after: Instant::now(),
            known_row: 0,
            told_failures: 0,
        };
        self.desks.insert(service.clone(), desk);
        self.state.rollouts.urgent_news.notify_one();
        self.look_at(&service);
        self.publish();
    }

    /// Continues an order that was written again after a return of the store. What was
    /// spent of its allowance stays spent, and its state is written again.
    fn renew_desk(&mut self, service: &ServiceName, id: OrderId) {
        let Some(desk) = self.desks.get_mut(service) else {
            return;
        };
        desk.order = id;
        desk.due = None;
        desk.is_writing = false;
        desk.known_row = 0;
        log::info!(
            service = service.as_str(),
            row_version = id.position().version;
            "order to roll out written again; it stays in force"
        );
        self.state.rollouts.urgent_news.notify_one();
        self.look_at(service);
        self.publish();
    }

    /// Number of entries that share the slack of a new order, or `None` if this entry
    /// gets no part of it.
    fn slack_sharers(&self, origin: OrderOrigin) -> Option<usize> {
        let now = Instant::now();
        let roster = self.state.roster.load();
        let settings = self.state.settings.load();
        let is_settled = roster.is_settled(&settings.name, ENTRY_LIFETIME, now);
        (origin == OrderOrigin::Announced && is_settled).then(|| roster.count(ENTRY_LIFETIME, now))
    }

    fn take_note(&mut self, note: RolloutNote) {
        match note {
            RolloutNote::Sample(sample) => self.record(sample),
            RolloutNote::Exchange(news, reply) => {
                let known: Vec<RolloutNews> = news;
                for news in &known {
                    self.merge(news);
                }
                // The call of the other entry may have ended in the meantime.
                let _ = reply.send(self.reply_to(&known));
            }
            RolloutNote::Own(reply) => {
                let orders = self.book.iter().map(|service| {
                    let known = service.rollout.ledger().sequences_of_others();
                    service.news(&known)
                });
                // The call to the other entry may have been given up.
                let _ = reply.send(orders.collect());
            }
            RolloutNote::Written(service, order, end) => self.end_write(&service, order, end),
        }
    }

    fn record(&mut self, sample: RolloutSample) {
        let Some(service) = self.book.get_mut(&sample.service) else {
            return;
        };
        let rollout = &mut service.rollout;
        if rollout.order().id != sample.order || rollout.phase().is_settled() {
            return;
        }
        let mut failures = 0;
        rollout.ledger_mut().update_own(|own| {
            own.record(&sample.route, sample.side, &sample.domain, sample.sample);
            let routes = own.routes.values();
            failures = routes
                .map(|counts| counts.total(VersionSide::New).failures)
                .sum();
        });
        if let Some(desk) = self.desks.get_mut(&sample.service)
            && failures >= desk.told_failures + URGENT_FAILURES
        {
            desk.told_failures = failures;
            self.state.rollouts.urgent_news.notify_one();
        }
    }

    fn merge(&mut self, news: &RolloutNews) {
        let service = news.order.service.clone();
        let known = self.book.get(&service);
        if known.is_none_or(|known| known.rollout.order().id < news.order.id) {
            if self.bounds().is_none() {
                return;
            }
            let has_listed = self.state.freshness().confirmed_at.is_some();
            let origin = if has_listed {
                OrderOrigin::Announced
            } else {
                OrderOrigin::Found
            };
            self.offer(news.order.clone(), news.ordered_at, origin);
        }
        self.book.merge_history(news);
        let Some(known) = self.book.get_mut(&service) else {
            return;
        };
        let change = known.rollout.merge(news.clone());
        if let Some(change) = change {
            self.report_change(&service, &change);
        }
        self.publish();
    }

    /// News that an entry lacks which told `known`.
    fn reply_to(&self, known: &[RolloutNews]) -> Vec<RolloutNews> {
        let orders = self.book.iter().map(|service| {
            let id = service.rollout.order().id;
            let told = known.iter().find(|news| news.order.id == id);
            let sequences = told.map(|news| news.known.clone()).unwrap_or_default();
            service.news(&sequences)
        });
        orders.collect()
    }

    fn look(&mut self) {
        let services: Vec<ServiceName> = self
            .book
            .iter()
            .map(|service| service.rollout.order().service.clone())
            .collect();
        for service in &services {
            self.look_at(service);
        }
        self.publish();
    }

    /// Applies the evidence and the time rules to one order.
    fn look_at(&mut self, service: &ServiceName) {
        let now = Instant::now();
        let (Some(bounds), Some(known), Some(desk)) = (
            self.bounds(),
            self.book.get_mut(service),
            self.desks.get_mut(service),
        ) else {
            return;
        };
        let rollout = &mut known.rollout;
        let streams = desk.old_streams.load(Relaxed);
        let told = rollout.ledger().own().map_or(0, |own| own.old_streams);
        if streams != told {
            rollout
                .ledger_mut()
                .update_own(|own| own.old_streams = streams);
        }
        let versions = ready_versions(&self.state, service);
        let entries = self.state.roster.load().count(ENTRY_LIFETIME, now);
        let view = SiteView {
            entries,
            versions: &versions,
            share: bounds.share,
            now,
        };
        let desired = self.state.desired.load();
        let target = |route: &str| desired.as_ref()?.latency_target(route);
        let change = rollout.advance(view, target);
        if change.is_some() {
            desk.is_decider = true;
        }
        let wanted = rollout.due_status(entries, now);
        if desk.due.map(|(due, _)| due) != wanted {
            desk.due = wanted.map(|wanted| (wanted, now));
        }
        if let Some(change) = change {
            self.report_change(service, &change);
            self.state.rollouts.urgent_news.notify_one();
        }
        self.write_due(service, now);
    }

    /// Starts the write of the status row if it is this entry's turn.
    fn write_due(&mut self, service: &ServiceName, now: Instant) {
        let Some(known) = self.book.get(service) else {
            return;
        };
        let Some(order_row) = self.order_row(known.rollout.order()) else {
            return;
        };
        let Some(desk) = self.desks.get_mut(service) else {
            return;
        };
        let Some((wanted, since)) = desk.due else {
            return;
        };
        let settings = self.state.settings.load();
        let roster = self.state.roster.load();
        let rank = roster.rank(&settings.name, ENTRY_LIFETIME, now);
        let rank = u32::try_from(rank).unwrap_or(WRITER_RANKS);
        let is_first = desk.is_decider || rank == 0;
        let delay = if is_first {
            Duration::ZERO
        } else {
            FIRST_WRITER_TIME + NEXT_WRITER_TIME * rank.min(WRITER_RANKS)
        };
        if desk.is_writing || now < desk.write_after || now < since + delay {
            return;
        }
        desk.is_writing = true;
        let status_row = known.rollout.status_row().unwrap_or(0).max(desk.known_row);
        let rows = KnownRows {
            order: order_row,
            status: StorePosition::from(status_row),
        };
        spawn_status_write(&self.state, known.rollout.order().clone(), wanted, rows);
    }

    /// Version of the row under the key of an order in force; 0 if it was removed. A newer
    /// row than the order's own cannot be used, or it would be the order in force. `None`
    /// if the store came back without the order, and the operator has not written it again.
    fn order_row(&self, order: &RolloutOrder) -> Option<StorePosition> {
        let given = order.id.position();
        if given.era < self.state.era() {
            return None;
        }
        let read = self.read_rows.get(&order_key(order.service.as_str()));
        Some(match read.filter(|read| read.version > given) {
            Some(read) if read.is_removed => StorePosition::default(),
            Some(read) => read.version,
            None => given,
        })
    }

    fn end_write(&mut self, service: &ServiceName, order: OrderId, end: StatusEnd) {
        let Some(desk) = self.desks.get_mut(service) else {
            return;
        };
        if desk.order != order {
            return;
        }
        desk.is_writing = false;
        match end {
            StatusEnd::Recorded(found, row) => self.adopt_status(service, order, found, row),
            StatusEnd::Stale(row) => desk.known_row = row,
            StatusEnd::Failed => desk.write_after = Instant::now() + REWRITE_TIME,
        }
        self.look_at(service);
        self.publish();
    }

    fn adopt_status(
        &mut self,
        service: &ServiceName,
        order: OrderId,
        found: StatusState,
        row: u64,
    ) {
        let known = self.book.get_mut(service);
        let Some(known) = known.filter(|known| known.rollout.order().id == order) else {
            return;
        };
        log::info!(
            service = service.as_str(),
            row_version = row,
            phase:? = found;
            "state of the roll-out recorded in the store"
        );
        if let Some(desk) = self.desks.get_mut(service) {
            desk.known_row = desk.known_row.max(row);
        }
        if let Some(change) = known.rollout.adopt_status(order, found, row) {
            self.report_change(service, &change);
        }
        self.state.rollouts.urgent_news.notify_one();
        self.publish();
    }

    fn report_change(&self, service: &ServiceName, change: &PhaseChange) {
        let Some(known) = self.book.get(service) else {
            return;
        };
        let order = known.rollout.order();
        let sums = known.rollout.ledger().routes();
        let total = |side| {
            let totals = sums.values().map(|counts| counts.total(side));
            totals.fold((0, 0), |(answers, failures), total| {
                let answers = u64::saturating_add(answers, total.answers);
                (answers, u64::saturating_add(failures, total.failures))
            })
        };
        let (old_answers, old_failures) = total(VersionSide::Old);
        let (answers, failures) = total(VersionSide::New);
        log::warn!(
            service = service.as_str(),
            to = order.to.as_str(),
            phase:? = change.phase,
            reason:% = change.reason,
            route:? = change.route,
            answers = answers,
            failures = failures,
            old_answers = old_answers,
            old_failures = old_failures,
            age_ms = known.rollout.ordered_at().elapsed().as_millis() as u64;
            "roll-out enters another phase"
        );
        let label = phase_label(change.phase);
        let changes = &self.state.metrics.rollout_changes;
        changes.with_label_values(&[label]).inc();
    }

    /// Replaces what requests see, if it changed.
    fn publish(&self) {
        let share = self.bounds().map_or(0.0, |bounds| bounds.share);
        let current = self.state.rollouts.live();
        let mut is_changed = current.len() != self.desks.len();
        let mut live = HashMap::new();
        for service in self.book.iter() {
            let order = service.rollout.order();
            let Some(desk) = self.desks.get(&order.service) else {
                continue;
            };
            let fresh = live_rollout(service, desk, share);
            let kept = current.get(&order.service).filter(|known| {
                known.order == fresh.order
                    && known.filter == fresh.filter
                    && known.covered == fresh.covered
            });
            is_changed |= kept.is_none();
            let published = kept.map_or_else(|| Arc::new(fresh), Arc::clone);
            live.insert(order.service.clone(), published);
        }
        if is_changed {
            self.state.rollouts.publish(live);
        }
    }
}

fn live_rollout(service: &ServiceEntry, desk: &OrderDesk, share: f64) -> LiveRollout {
    let rollout = &service.rollout;
    let covered: BTreeSet<Box<str>> = if rollout.phase() == RolloutPhase::Trial {
        let sums = rollout.ledger().routes();
        let is_covered = |need: RouteNeed| need.answers > 0 && need.is_met();
        sums.into_iter()
            .filter(|(_, counts)| is_covered(RouteNeed::new(counts, share)))
            .map(|(route, _)| Box::from(route))
            .collect()
    } else {
        BTreeSet::new()
    };
    LiveRollout {
        service: rollout.order().service.clone(),
        order: rollout.order().id,
        filter: service.filter(),
        allowance: Arc::clone(&desk.allowance),
        covered,
        old_streams: Arc::clone(&desk.old_streams),
        split: ArcSwapOption::empty(),
    }
}

fn ready_versions(state: &FrontState, service: &ServiceName) -> Vec<ServerVersion> {
    let registry = state.registry.load();
    let servers = registry.ready_servers(service).iter();
    let versions: BTreeSet<&ServerVersion> = servers
        .flat_map(|domain| &domain.servers)
        .map(|server| &server.record().version)
        .collect();
    versions.into_iter().cloned().collect()
}

/// Metric label of a phase.
pub(crate) fn phase_label(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::Trial => "trial",
        RolloutPhase::Moving => "moving",
        RolloutPhase::Reverting => "reverting",
        RolloutPhase::Finished => "finished",
        RolloutPhase::Reverted => "reverted",
    }
}
