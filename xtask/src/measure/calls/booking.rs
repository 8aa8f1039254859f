//! Impatient callers, and what they were told of their bookings.

use std::{net::SocketAddr, time::Duration};

use exchange::ExchangeReply;
use rand::{Rng, rngs::SmallRng};
use tokio::time::timeout;
use wire::ProblemReport;

use crate::caller::CallerClient;

/// Requests of one booking at most.
const TRIES_MAX: usize = 4;

/// What one request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The service's answer.
    Ran,
    /// The booking did not run.
    NotRun,
    /// It may have run, or is under way.
    Open,
    /// Nothing, for as long as the caller waited.
    Silent,
}

impl CallerAnswer {
    /// Read an answer.
    pub fn of(reply: &ExchangeReply) -> Self {
        let problem = serde_json::from_slice::<ProblemReport>(&reply.body).ok();
        let outcome = problem.and_then(|problem| problem.outcome);
        match outcome.as_deref() {
            None => Self::Ran,
            Some("not run") => Self::NotRun,
            Some(_) => Self::Open,
        }
    }
}

/// How a caller goes about one booking.
#[derive(Clone, Debug)]
pub struct BookingPlan {
    /// Key of the booking.
    pub key: String,
    /// Index of the entry that is asked first.
    pub first_entry: usize,
    /// Time that the caller waits for each answer.
    pub patience: Duration,
    /// Whether the booking is sent through two entries at once.
    pub is_twin: bool,
    /// Whether a caller that was refused tries again.
    pub retries_refusals: bool,
}

impl BookingPlan {
    /// Draw a plan.
    pub fn draw(key: String, rng: &mut SmallRng) -> Self {
        Self {
            key,
            first_entry: rng.random_range(0..2),
            patience: Duration::from_millis(rng.random_range(150..2_500)),
            is_twin: rng.random_ratio(1, 5),
            retries_refusals: rng.random_bool(0.5),
        }
    }
}

/// A booking and its answers, in the order in which they came.
#[derive(Clone, Debug)]
pub struct BookingRecord {
    /// Key of the booking.
    pub key: String,
    /// Answers.
    pub answers: Vec<CallerAnswer>,
}

impl BookingRecord {
    /// Whether the caller was told that the booking ran.
    pub fn told_ran(&self) -> bool {
        self.answers.contains(&CallerAnswer::Ran)
    }

    /// Whether the last word was that it did not run.
    pub fn ends_refused(&self) -> bool {
        self.answers.last() == Some(&CallerAnswer::NotRun)
    }
}

/// Place a booking, again and again until there is an answer to live with.
pub async fn book(
    client: CallerClient,
    entries: [SocketAddr; 2],
    plan: BookingPlan,
) -> BookingRecord {
    let mut answers = Vec::new();
    for turn in 0..TRIES_MAX {
        let at = (plan.first_entry + turn) % entries.len();
        let ask = |at: usize| ask(&client, entries[at], &plan);
        if plan.is_twin && turn == 0 {
            let (one, other) = tokio::join!(ask(at), ask(1 - at));
            answers.extend([one, other]);
        } else {
            answers.push(ask(at).await);
        }
        let is_done = match answers.last() {
            _ if answers.contains(&CallerAnswer::Ran) => true,
            Some(CallerAnswer::NotRun) => !plan.retries_refusals,
            _ => false,
        };
        if is_done {
            break;
        }
    }
    BookingRecord {
        key: plan.key,
        answers,
    }
}

async fn ask(client: &CallerClient, entry: SocketAddr, plan: &BookingPlan) -> CallerAnswer {
    let path = "/v1/services/ledger/order";
    let call = client.call(entry, path, Some(&plan.key), &plan.key);
    match timeout(plan.patience, call).await {
        Ok(Ok(reply)) => CallerAnswer::of(&reply),
        Ok(Err(_)) | Err(_) => CallerAnswer::Silent,
    }
}
