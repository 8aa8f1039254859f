//! Which ranked streams are refused as the queues of the servers grow.
//!
//! A stream that would be late itself is refused, as without ranks. In addition, one of
//! a less urgent class is refused while the wait is still bearable for itself, when its
//! prompt would take room from more urgent ones: the wait at the best of several
//! queried servers approaches the shortest latency target of the more urgent classes.
//! The threshold of a class is the lower the less urgent it is.
//!
//! The refused part grows with the wait beyond the threshold up to [`SHED_SHARE_MAX`];
//! the rest of each class, drawn at random, is admitted at any load. It grows faster for a
//! team that sends more than an equal share, and slower for the others. The draw knows
//! neither session nor size, so none of them is refused in particular.

use std::time::Duration;

use super::UrgencyClass;

/// Largest part of a class that is refused for the sake of more urgent ones. With one
/// repeat by its caller, a third of the requests of the least urgent class is still
/// admitted.
pub const SHED_SHARE_MAX: f64 = 0.8;
/// Steepness of the growth of the refused part: [`SHED_SHARE_MAX`] is reached when the
/// wait exceeds the threshold by half.
const RAMP: f64 = 2.0;
/// Fewest prompts that wait at a server that counts as overloaded.
const WAITING_MIN: u32 = 2;
/// Least part of the time left that the wait for other prompts takes. A stream that is
/// late because of its own prompt is not refused.
const WAIT_PART_MIN: f64 = 0.5;

/// Queue of the best server that was queried for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueView {
    /// Requests that wait there.
    pub waiting: u32,
    /// Time until the prompts ahead are prefilled.
    pub wait: Duration,
    /// Time of a prefill of the stream's own prompt, or of a usual prompt if that is
    /// shorter: a large prompt is not refused for its size.
    pub prefill: Duration,
}

/// A stream of a service with ranked requests, before its first send.
#[derive(Clone, Copy, Debug)]
pub struct RankedRequest {
    /// Its class.
    pub class: UrgencyClass,
    /// Its wait as a multiple of that in a queue without ranks, from
    /// [`UrgencyMix::wait_factor`](super::UrgencyMix::wait_factor).
    pub wait_factor: f64,
    /// Its team's requests as a multiple of an equal share, from
    /// [`TeamShares::excess`](super::TeamShares::excess).
    pub team_excess: f64,
    /// Time until its first event is late; `None` if its route has no target.
    pub time_left: Option<Duration>,
    /// Uniform random number in `0..1`, the same for all decisions on the request.
    pub draw: f64,
}

/// Whether a stream is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is sent with the rank of its class.
    Admit,
    /// It is sent as one of the least share of its class, with
    /// [`UrgencyClass::reserved_rank`]. Behind all of the more urgent ones it would wait
    /// until it is late, and its prefill would be wasted.
    AdmitReserved,
    /// Its first event would be late.
    Late,
    /// It would take room from more urgent requests.
    Shed,
}

impl QueueView {
    /// Judges a ranked stream.
    pub fn judge(&self, request: &RankedRequest) -> AdmissionVerdict {
        if self.waiting < WAITING_MIN {
            return AdmissionVerdict::Admit;
        }
        let wait = self.wait.mul_f64(request.wait_factor);
        let shed_share = self.shed_share(request);
        let is_reserved = shed_share > 0.0 && request.draw >= SHED_SHARE_MAX;
        // The most urgent class is the only one that a reserved stream waits for.
        let wait = if is_reserved {
            self.wait.min(wait)
        } else {
            wait
        };
        let is_late = request
            .time_left
            .is_some_and(|left| wait > left.mul_f64(WAIT_PART_MIN) && wait + self.prefill > left);
        if is_late {
            AdmissionVerdict::Late
        } else if is_reserved {
            AdmissionVerdict::AdmitReserved
        } else if request.draw < shed_share {
            AdmissionVerdict::Shed
        } else {
            AdmissionVerdict::Admit
        }
    }

    /// Part of the requests of a class that are refused for the sake of more urgent
    /// ones: none up to the threshold, [`SHED_SHARE_MAX`] from one and a half thresholds on.
    fn shed_share(&self, request: &RankedRequest) -> f64 {
        let threshold = shed_threshold(request.class).filter(|threshold| !threshold.is_zero());
        threshold.map_or(0.0, |threshold| {
            let excess = self.wait.as_secs_f64() / threshold.as_secs_f64() - 1.0;
            (excess * RAMP * request.team_excess).clamp(0.0, 1.0) * SHED_SHARE_MAX
        })
    }
}

/// Wait at which the first requests of a class are refused; `None` for the most urgent
/// class. It falls evenly with the class, to half of the target that is to be kept.
fn shed_threshold(class: UrgencyClass) -> Option<Duration> {
    let place = (class.index() + 1) as f64 / class.count() as f64;
    let target = class.guarded_target()?;
    Some(target.mul_f64(1.0 - place / 2.0))
}
