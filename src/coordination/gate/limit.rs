//! Decides how many attempts may be at the target, and at which rate they are sent.

use std::time::Duration;

use tokio::time::Instant;

use super::Gate;
use crate::coordination::outcome::{NotRun, Outcome};
use crate::coordination::queue::{Capacity, WorkKind};
use crate::state::object::Class;
use crate::state::rate::RequestRate;

/// Maximum share of the slots that bulk transfers may occupy.
const BULK_SLOT_SHARE: f64 = 0.5;
/// Weight of the newest outcome in the moving average of the share of attempts that the target
/// sheds.
const SHED_WEIGHT: f64 = 0.2;
/// Share of the slots that may be used before the target's first answer, after
/// [`Gate::limit_until_answered`].
const UNANSWERED_SLOT_SHARE: f64 = 0.25;
/// One divided by the relative change of the usable slots up to which the published number stays.
const USABLE_SLOTS_TOLERANCE: u32 = 4;

impl Gate {
    /// Current limit on the number of attempts at the target.
    pub fn limit(&self) -> u32 {
        let share = if self.unanswered {
            UNANSWERED_SLOT_SHARE
        } else {
            1.0
        };
        ((self.limit * share).round() as u32).max(1)
    }

    /// Uses only a part of the slots until the target's first answer. A node that starts beside a
    /// running target does not know which rate the target accepts, nor how many requests of an
    /// earlier process are still running there; the first answer tells.
    pub fn limit_until_answered(&mut self) {
        self.unanswered = true;
    }

    /// Sets the number of slots from newer settings.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.update_limit();
        }
    }

    /// Sets or removes the rate that the target accepts.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.pacer.set_rate(rate, now);
    }

    /// The rate that the target accepts, if it names one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.pacer.rate()
    }

    /// Number of slots that the target can use while it names a rate, at which some of them stay
    /// free; `None` if it names none. `published` is the number published so far, which is kept
    /// until the difference is clear.
    pub fn usable_slots(&self, published: Option<u32>) -> Option<u32> {
        let mean = self.queue.mean_service_time();
        let rate = self.rate().filter(|_| !mean.is_zero())?;
        let used = rate.per_second() * mean.as_secs_f64();
        let usable = (used.ceil() as u32).clamp(1, self.slots.max(1));
        let tolerated = usable.div_ceil(USABLE_SLOTS_TOLERANCE);
        Some(match published {
            Some(before) if before.abs_diff(usable) <= tolerated => before,
            _ => usable,
        })
    }

    /// Time until the pace allows a queued attempt to be sent; `None` if something else delays it,
    /// such as a missing slot, or if the queue is empty.
    pub fn pace_delay(&self, now: Instant) -> Option<Duration> {
        let slot_is_free = self.running < self.limit();
        let pace = self.pacer.pace(now).filter(|p| !p.is_open())?;
        (slot_is_free && !self.queue.is_empty()).then(|| pace.delay(0))
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        Capacity {
            pace: self.pacer.pace(now),
            running: self.running,
            limit: self.limit(),
            bulk_allowed: self.bulk_running < self.bulk_limit(),
        }
    }

    pub(super) fn bulk_limit(&self) -> u32 {
        ((self.limit * BULK_SLOT_SHARE) as u32).max(1)
    }

    pub(super) fn record_outcome(
        &mut self,
        class: Class,
        kind: WorkKind,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let shed = match outcome {
            Outcome::NotRun(NotRun::Shed) => 1.0,
            Outcome::Answered => 0.0,
            _ => return,
        };
        self.unanswered = false;
        self.counts.shed += shed as u64;
        self.shed_rate += (shed - self.shed_rate) * SHED_WEIGHT;
        self.update_limit();
        if outcome == Outcome::Answered && class != Class::Bulk {
            self.queue.record_service_time(kind, elapsed);
        }
    }

    /// Reduces the limit by the cube of the share of shed attempts. A target that sheds nearly all
    /// attempts gets almost none. A target that sheds some of them regardless of load keeps most of
    /// its slots, because the attempts it sheds take no time and it answers the others.
    pub(super) fn update_limit(&mut self) {
        let usable_share = 1.0 - self.shed_rate.powi(3);
        self.limit = (f64::from(self.slots) * usable_share).max(1.0);
    }
}
