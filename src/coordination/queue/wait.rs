//! Expected wait of an attempt: how long it takes until its turn.

use std::time::Duration;

use tokio::time::Instant;

use super::level::Level;
use super::{Capacity, PRIORITY_LEVELS, Queue, QueuedAttempt, WorkKind};
use crate::coordination::outcome::NotRun;
use crate::state::id::AttemptId;

/// Share of the mean service time that must remain until the objective for the objective to count
/// as reachable.
const OBJECTIVE_MARGIN: f64 = 0.5;
/// Minimum backlog reported during a sustained overload; longer than most callers can wait.
const SUSTAINED_OVERLOAD_WAIT: Duration = Duration::from_secs(2);
/// Maximum share of the slots that is assumed to be occupied by more urgent work.
const RESERVED_SHARE_MAX: f64 = 0.8;

/// Expected wait of an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExpectedWait {
    pub(super) time: Duration,
    /// Whether the target's rate, rather than its slots, determines the time.
    pub(super) paced: bool,
}

impl ExpectedWait {
    /// Reason for a refusal because of this wait; `unpaced` if the slots determine the wait.
    pub(super) fn refusal(self, unpaced: NotRun) -> NotRun {
        match self.paced {
            true => NotRun::RateLimited,
            false => unpaced,
        }
    }
}

impl Queue {
    /// Time after which an attempt of this kind that is refused now may be admitted. During a
    /// sustained overload the time is longer, because callers that retry only take the place of
    /// others.
    pub fn expected_backlog(&self, kind: WorkKind, capacity: Capacity) -> Duration {
        let wait = self.expected_wait(kind.priority, capacity);
        match self.is_overload_sustained(kind) {
            true => wait.max(SUSTAINED_OVERLOAD_WAIT),
            false => wait,
        }
    }

    /// Expected wait of an attempt that arrives now with this priority and without an objective.
    pub fn expected_wait(&self, priority: u8, capacity: Capacity) -> Duration {
        if capacity.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
        let ahead = self.levels[..=level].iter().flat_map(Level::attempts);
        self.time_to_drain(ahead, capacity).time
    }

    /// Share of the slots occupied by work that runs before this kind. It is assumed to stay
    /// occupied while an attempt of this kind waits.
    pub(super) fn reserved_share(&self, kind: WorkKind, capacity: Capacity) -> f64 {
        let before = |k: &WorkKind| k.order() < kind.order();
        let urgent = self.running_by_kind.iter().filter(|(k, _)| before(k));
        let slots: u32 = urgent.map(|(_, n)| n).sum();
        (f64::from(slots) / f64::from(capacity.limit.max(1))).min(RESERVED_SHARE_MAX)
    }

    /// Expected wait of an attempt that arrives now, if the attempt `without` gives up its place.
    pub(super) fn wait_until_turn(
        &self,
        attempt: &QueuedAttempt,
        without: Option<AttemptId>,
        capacity: Capacity,
        now: Instant,
    ) -> ExpectedWait {
        if capacity.is_open() && self.is_empty() {
            return ExpectedWait::default();
        }
        let level = attempt.kind.level();
        let urgent = self.levels[..level].iter().flat_map(Level::attempts);
        // Attempts past their objective run after those that can still meet theirs.
        let due = attempt.due();
        let timely = due > now;
        let before = move |a: &QueuedAttempt| match timely {
            true => a.due() <= due && self.can_meet_objective(a, now),
            false => a.due() <= due || self.can_meet_objective(a, now),
        };
        let ahead = self.levels[level].ahead_of(attempt, without, before);
        self.time_to_drain(urgent.chain(ahead), capacity)
    }

    /// Expected time until the given attempts have been sent, a slot is free, and the pace allows
    /// one more attempt.
    pub(super) fn time_to_drain<'a>(
        &self,
        ahead: impl Iterator<Item = &'a QueuedAttempt>,
        capacity: Capacity,
    ) -> ExpectedWait {
        let (mut work, mut count) = (self.mean_service_time(), 0);
        for a in ahead {
            work += self.mean_for(a.kind);
            count += 1;
        }
        // While a rate is named, attempts may wait although slots are free.
        let slot_is_free = capacity.pace.is_some() && capacity.running < capacity.limit;
        let slot_time = match slot_is_free && count == 0 {
            true => Duration::ZERO,
            false => work.div_f64(f64::from(capacity.limit.max(1))),
        };
        let pace_time = capacity.pace_delay(count);
        ExpectedWait {
            time: slot_time.max(pace_time),
            paced: pace_time > slot_time,
        }
    }

    pub(super) fn can_meet_objective(&self, a: &QueuedAttempt, now: Instant) -> bool {
        let margin = self.mean_for(a.kind).mul_f64(OBJECTIVE_MARGIN);
        a.objective.is_none_or(|o| now + margin <= o)
    }
}
