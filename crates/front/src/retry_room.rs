//! Retry budgets of all services at this entry.

use std::{sync::Arc, time::Duration};

use domain::{
    ServiceName,
    retry_pool::{SlackRule, SlackTimes, room_to_lend, room_wanted},
    retry_share::{RetryBounds, RetryShare},
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::front_state::{ENTRY_LIFETIME, FrontState};

/// Time within which an entry lists one that announced itself: the longest time
/// between two listings.
const LISTING_TIME: Duration = Duration::from_secs(30);
/// Time between two checks of a retry that waits for room. Own room comes back as earlier
/// retries leave the window.
const ROOM_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Budgets by service, and the rule for the slack.
#[derive(Debug)]
pub(crate) struct RetryRoom {
    shares: papaya::HashMap<ServiceName, Arc<RetryShare>>,
    slack: SlackRule,
    /// Signals that a retry waits for room.
    pub(crate) need: Notify,
    /// Signals that another entry lent room.
    pub(crate) borrowed: Notify,
}

/// Room wanted from other entries for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoomWant {
    pub(crate) service: ServiceName,
    pub(crate) room: u32,
}

/// Room lent to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LentRoom {
    pub(crate) room: u32,
    pub(crate) time: Duration,
}

impl RetryRoom {
    pub(crate) fn new() -> Self {
        Self {
            shares: papaya::HashMap::new(),
            slack: SlackRule::new(Instant::now()),
            need: Notify::new(),
            borrowed: Notify::new(),
        }
    }

    /// Returns the share of a service.
    pub(crate) fn share(&self, service: &ServiceName, bounds: RetryBounds) -> Arc<RetryShare> {
        let shares = self.shares.pin();
        let share = shares.get_or_insert_with(service.clone(), || {
            Arc::new(RetryShare::new(bounds, Instant::now()))
        });
        Arc::clone(share)
    }

    /// The rule for the slack.
    pub(crate) fn slack(&self) -> &SlackRule {
        &self.slack
    }

    /// All services that had a request, with their shares.
    pub(crate) fn all(&self) -> Vec<(ServiceName, Arc<RetryShare>)> {
        let shares = self.shares.pin();
        let shares = shares.iter();
        shares
            .map(|(service, share)| (service.clone(), Arc::clone(share)))
            .collect()
    }
}

impl FrontState {
    /// Takes one retry from a service's budget. Returns whether there was one left.
    pub(crate) fn spend_retry(&self, share: &RetryShare) -> bool {
        let now = Instant::now();
        let entries = self.slack_divisor_in_use(now);
        let is_spent = share.try_spend(entries, now);
        let outcome = if is_spent { "spent" } else { "denied" };
        self.count_retries(outcome, 1);
        is_spent
    }

    /// Takes one retry as [`FrontState::spend_retry`] does, and waits for room until
    /// `limit` if there is none.
    pub(crate) async fn wait_for_retry(&self, share: &RetryShare, limit: Instant) -> bool {
        if self.spend_retry(share) {
            return true;
        }
        let _waiting = share.wait_for_room();
        loop {
            let borrowed = self.retries.borrowed.notified();
            self.retries.need.notify_one();
            let now = Instant::now();
            if share.try_spend_again(self.slack_divisor_in_use(now), now) {
                self.count_retries("spent", 1);
                return true;
            }
            if now >= limit {
                return false;
            }
            tokio::select! {
                () = borrowed => {}
                () = sleep_until(limit.min(now + ROOM_CHECK_PERIOD)) => {}
            }
        }
    }

    /// Counts retries by what became of them.
    pub(crate) fn count_retries(&self, outcome: &str, count: u32) {
        let counter = &self.metrics.retry_room;
        counter.with_label_values(&[outcome]).inc_by(count.into());
    }

    /// Returns whether a service's budget has a retry left.
    pub(crate) fn has_retry(&self, share: &RetryShare) -> bool {
        let now = Instant::now();
        share.remaining(self.slack_divisor(now), now) >= 1.0
    }

    /// Returns the remaining retries of the service that has the fewest left; 0 if no
    /// service has had a request yet.
    pub(crate) fn retries_left(&self, now: Instant) -> i64 {
        let entries = self.slack_divisor(now);
        let shares = self.retries.all();
        let remaining = shares
            .iter()
            .map(|(_, share)| share.remaining(entries, now) as i64);
        remaining.min().unwrap_or(0)
    }

    /// Returns this entry's share of a service's retry budget.
    pub(crate) fn retry_share(&self, service: &ServiceName) -> Arc<RetryShare> {
        self.retries.share(service, self.settings.load().retry)
    }

    /// Room that this entry wants from others, by service.
    pub(crate) fn wanted_room(&self, now: Instant) -> Vec<RoomWant> {
        let entries = self.slack_divisor(now);
        let shares = self.retries.all().into_iter();
        shares
            .map(|(service, share)| {
                let room = room_wanted(&share, entries, now);
                RoomWant { service, room }
            })
            .filter(|want| want.room > 0)
            .collect()
    }

    /// Lends room of a service to another entry, if there is any to spare.
    pub(crate) fn lend_room(&self, want: &RoomWant, now: Instant) -> Option<LentRoom> {
        let desired = self.desired.load();
        desired.as_ref()?.service(&want.service)?;
        let share = self.retry_share(&want.service);
        let entries = self.slack_divisor_in_use(now);
        let domains = self.server_domains(&want.service);
        let room = room_to_lend(&share, want.room, entries, domains, now);
        if !share.lend(room, entries, now) {
            return None;
        }
        self.count_retries("lent", room);
        Some(LentRoom {
            room,
            time: share.lease_time(),
        })
    }

    /// Time rules of the use of the slack.
    pub(crate) fn slack_times(&self) -> SlackTimes {
        SlackTimes {
            window: self.settings.load().retry.window,
            listing: LISTING_TIME,
        }
    }

    /// Number by which this entry divides the slack. An entry that exchanges nothing
    /// with others goes by the store's list alone.
    pub(crate) fn slack_divisor(&self, now: Instant) -> usize {
        let listed = self.roster.load().count(ENTRY_LIFETIME, now);
        if self.settings.load().peer.is_none() {
            return listed;
        }
        let slack = self.retries.slack();
        slack.divisor(listed, self.slack_times(), now)
    }

    fn slack_divisor_in_use(&self, now: Instant) -> usize {
        let listed = self.roster.load().count(ENTRY_LIFETIME, now);
        if self.settings.load().peer.is_none() {
            return listed;
        }
        let slack = self.retries.slack();
        slack.divisor_in_use(listed, self.slack_times(), now)
    }

    fn server_domains(&self, service: &ServiceName) -> usize {
        self.registry.load().ready_servers(service).len()
    }
}
