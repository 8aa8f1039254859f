//! The policy under load: which server, which class, whether at all.
//!
//! [`BalancedPolicy`] is the product's; [`PlainPolicy`] is the baseline that
//! measurements compare with. Which one a process has is known at its start, so
//! the path of a request branches on it and calls through no `dyn`.

use std::sync::Arc;

use domain::{
    WorkClass,
    backend_server::{
        P2cSelector, PoolServers, RandomSelector, SelectionQuery, ServerNode, ServerSelector,
    },
    team_budget::{
        AdmissionGate, AdmissionRefusal, RefusalCause, RetryBudget, ShareLimiter, ShareVerdict,
    },
};
use rand::Rng;
use settings::LoadPolicy;
use tokio::time::Instant;

/// Generations that may move for being slow, of 1,000 first tries.
///
/// A move is taken only where there is room for it, so this bounds the tokens
/// that are read again rather than the load.
const MOVES_MILLI: u32 = 250;

/// Calls that may be tried again, of 1,000 first tries.
const RETRIES_MILLI: u32 = 200;

/// A generation that asks to be taken in.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Team that asks.
    pub team: &'a str,
    /// Shares of the capacity that the release note gives the team.
    pub weight: u32,
    /// Class of work.
    pub class: WorkClass,
    /// Tokens to generate at most.
    pub tokens: u32,
}

/// How a process treats load.
pub trait EntryPolicy: ServerSelector {
    /// Whether a team may have a generation started now.
    fn judge(
        &self,
        request: &AdmissionRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(), AdmissionRefusal>;

    /// Servers turned away a generation that was taken in.
    fn note_turned_away(&self, class: WorkClass);

    /// Whether a generation that is far slower than its peers may move now.
    fn may_move(&self) -> bool;

    /// The server that was to take such a generation refused it.
    fn note_move_refused(&self);

    /// Class by which servers treat work of a class.
    fn server_class(&self, class: WorkClass) -> WorkClass;
}

/// Weighted choice, classes and fair shares.
pub struct BalancedPolicy {
    choice: P2cSelector,
    short: ShareLimiter,
    long: ShareLimiter,
    moves: RetryBudget,
}

impl BalancedPolicy {
    /// Policy without load.
    pub fn new(now: Instant) -> Self {
        Self {
            choice: P2cSelector,
            short: ShareLimiter::new(now),
            long: ShareLimiter::new(now),
            moves: RetryBudget::new(MOVES_MILLI),
        }
    }

    const fn shares(&self, class: WorkClass) -> &ShareLimiter {
        match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        }
    }
}

impl ServerSelector for BalancedPolicy {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        self.choice.select(pool, query, rng)
    }
}

impl EntryPolicy for BalancedPolicy {
    fn judge(
        &self,
        request: &AdmissionRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(), AdmissionRefusal> {
        let shares = self.shares(request.class);
        match shares.admit(request.team, request.weight, request.tokens, now, rng) {
            ShareVerdict::Within => {
                self.moves.record_first_attempt();
                Ok(())
            }
            ShareVerdict::Above => Err(AdmissionRefusal {
                class: request.class,
                cause: RefusalCause::Share,
                retry_after: AdmissionGate::RETRY_AFTER,
            }),
        }
    }

    fn note_turned_away(&self, class: WorkClass) {
        self.shares(class).record_server_refusal();
    }

    fn may_move(&self) -> bool {
        self.moves.try_withdraw()
    }

    fn note_move_refused(&self) {
        self.moves.refund();
    }

    fn server_class(&self, class: WorkClass) -> WorkClass {
        class
    }
}

/// Random choice, one queue, no admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainPolicy(RandomSelector);

impl ServerSelector for PlainPolicy {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        self.0.select(pool, query, rng)
    }
}

impl EntryPolicy for PlainPolicy {
    fn judge(
        &self,
        _request: &AdmissionRequest<'_>,
        _now: Instant,
        _rng: &mut impl Rng,
    ) -> Result<(), AdmissionRefusal> {
        Ok(())
    }

    fn note_turned_away(&self, _class: WorkClass) {}

    fn may_move(&self) -> bool {
        false
    }

    fn note_move_refused(&self) {}

    fn server_class(&self, _class: WorkClass) -> WorkClass {
        WorkClass::Short
    }
}

/// The policy that the settings name.
pub enum ProcessPolicy {
    /// The product's.
    Balanced(Box<BalancedPolicy>),
    /// The baseline.
    Plain(PlainPolicy),
}

impl ProcessPolicy {
    /// Policy without load.
    pub fn new(policy: LoadPolicy, now: Instant) -> Self {
        match policy {
            LoadPolicy::Balanced => Self::Balanced(Box::new(BalancedPolicy::new(now))),
            LoadPolicy::Plain => Self::Plain(PlainPolicy::default()),
        }
    }

    /// Budget of calls that are tried again.
    pub const fn call_retries() -> RetryBudget {
        RetryBudget::new(RETRIES_MILLI)
    }
}

impl ServerSelector for ProcessPolicy {
    fn select<'a>(
        &self,
        pool: &'a PoolServers,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<ServerNode>> {
        match self {
            Self::Balanced(policy) => policy.select(pool, query, rng),
            Self::Plain(policy) => policy.select(pool, query, rng),
        }
    }
}

impl EntryPolicy for ProcessPolicy {
    fn judge(
        &self,
        request: &AdmissionRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(), AdmissionRefusal> {
        match self {
            Self::Balanced(policy) => policy.judge(request, now, rng),
            Self::Plain(policy) => policy.judge(request, now, rng),
        }
    }

    fn note_turned_away(&self, class: WorkClass) {
        match self {
            Self::Balanced(policy) => policy.note_turned_away(class),
            Self::Plain(policy) => policy.note_turned_away(class),
        }
    }

    fn may_move(&self) -> bool {
        match self {
            Self::Balanced(policy) => policy.may_move(),
            Self::Plain(policy) => policy.may_move(),
        }
    }

    fn note_move_refused(&self) {
        match self {
            Self::Balanced(policy) => policy.note_move_refused(),
            Self::Plain(policy) => policy.note_move_refused(),
        }
    }

    fn server_class(&self, class: WorkClass) -> WorkClass {
        match self {
            Self::Balanced(policy) => policy.server_class(class),
            Self::Plain(policy) => policy.server_class(class),
        }
    }
}
