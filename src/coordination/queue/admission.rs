//! Decides which attempts may be queued, and which of those that wait make room.

use std::time::Duration;

use tokio::time::Instant;

use super::{Capacity, DEADLINE_MARGIN, Queue, QueuedAttempt};
use crate::coordination::outcome::NotRun;
use crate::state::id::AttemptId;

/// Maximum number of queued attempts per level and slot.
const QUEUED_PER_SLOT_MAX: usize = 8;
/// Number of mean service times that must remain between the end of the wait and the objective.
/// Service times vary widely: with a headroom of one mean, two in five queued requests would miss
/// their objective.
const WAIT_HEADROOM: f64 = 1.5;
/// Wait, in mean service times, that is accepted even for a request that is past its objective, or
/// that could not meet it at this target even without waiting.
const LATE_WAIT_MAX: f64 = 0.5;

/// Decision on whether an attempt may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The attempt may be queued.
    Accept,
    /// The attempt may be queued if this one, of a workspace further over its share, is refused.
    Replace(AttemptId),
    /// The attempt is refused.
    Refuse(NotRun),
}

impl Queue {
    /// Decides whether an attempt may be queued; if a slot is free, it can run at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::queue::{
    ///     Capacity, Queue, QueueDecision, QueuedAttempt, WorkKind,
    /// };
    /// use tarragoncourse::state::id::AttemptId;
    /// use tarragoncourse::state::object::Class;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let kind = WorkKind { priority: 1, objective_ms: 50 };
    /// let mut queue = Queue::default();
    /// queue.record_service_time(kind, Duration::from_millis(60));
    /// let attempt = QueuedAttempt {
    ///     attempt: AttemptId(1),
    ///     class: Class::Order,
    ///     kind,
    ///     workspace: None,
    ///     enqueued_at: now,
    ///     objective: Some(now + Duration::from_millis(50)),
    ///     deadline: now + Duration::from_secs(1),
    /// };
    /// let full = Capacity { running: 1, limit: 1, bulk_allowed: true, pace: None };
    /// assert_ne!(queue.check_admission(&attempt, full, now), QueueDecision::Accept);
    /// let open = Capacity { running: 0, ..full };
    /// assert_eq!(queue.check_admission(&attempt, open, now), QueueDecision::Accept);
    /// ```
    pub fn check_admission(
        &self,
        attempt: &QueuedAttempt,
        capacity: Capacity,
        now: Instant,
    ) -> QueueDecision {
        let Err(reason) = self.check_room(attempt, None, capacity, now) else {
            return QueueDecision::Accept;
        };
        if reason == NotRun::Deadline {
            return QueueDecision::Refuse(reason);
        }
        if self.check_guarantee(attempt, capacity, now) {
            return QueueDecision::Accept;
        }
        let level = &self.levels[attempt.kind.level()];
        let is_late = |a: &QueuedAttempt| !self.can_meet_objective(a, now);
        let replaced = level.replaceable_by(attempt, self.cost(attempt.kind), is_late);
        let fits = |a| self.check_room(attempt, Some(a), capacity, now).is_ok();
        replaced
            .filter(|a| fits(*a))
            .map_or(QueueDecision::Refuse(reason), QueueDecision::Replace)
    }

    /// Checks that an attempt has room and can be answered in time, if the attempt `without` gives
    /// up its place.
    fn check_room(
        &self,
        attempt: &QueuedAttempt,
        without: Option<AttemptId>,
        capacity: Capacity,
        now: Instant,
    ) -> Result<(), NotRun> {
        let expected = self.wait_until_turn(attempt, without, capacity, now);
        let reserved_share = self.reserved_share(attempt.kind, capacity);
        let wait = expected.time.div_f64(1.0 - reserved_share);
        let min_time = self.mean_for(attempt.kind).mul_f64(DEADLINE_MARGIN);
        if now + min_time >= attempt.deadline {
            return Err(NotRun::Deadline);
        }
        if now + wait >= attempt.deadline {
            return Err(expected.refusal(NotRun::QueueFull));
        }
        let level = &self.levels[attempt.kind.level()];
        let queued = level.len() - usize::from(without.is_some());
        if queued >= capacity.limit.max(1) as usize * QUEUED_PER_SLOT_MAX {
            return Err(NotRun::QueueFull);
        }
        match self.is_wait_worthwhile(attempt, wait, now) {
            true => Ok(()),
            false => Err(expected.refusal(NotRun::QueueFull)),
        }
    }

    /// Whether an attempt belongs to a kind that is served too rarely, and can be answered in time
    /// if it waits only for others of its kind.
    fn check_guarantee(&self, attempt: &QueuedAttempt, capacity: Capacity, now: Instant) -> bool {
        let level = &self.levels[attempt.kind.level()];
        let waiting = level.waiting_of(attempt.kind);
        if waiting.count() >= self.guaranteed(attempt.kind, capacity.limit) {
            return false;
        }
        let ahead = level.waiting_of(attempt.kind);
        let wait = self.time_to_drain(ahead, capacity).time;
        now + wait < attempt.deadline && self.is_wait_worthwhile(attempt, wait, now)
    }

    /// Whether an attempt that waits for this time can still meet its objective.
    fn is_wait_worthwhile(&self, attempt: &QueuedAttempt, wait: Duration, now: Instant) -> bool {
        let Some(objective) = attempt.objective.filter(|_| !wait.is_zero()) else {
            return true;
        };
        // If the service time alone exceeds the objective, refusing the request helps nobody, so a
        // wait of up to `LATE_WAIT_MAX` mean service times is accepted.
        let mean = self.mean_for(attempt.kind);
        let time_left = objective.saturating_duration_since(now);
        let max_wait = time_left.saturating_sub(mean.mul_f64(WAIT_HEADROOM));
        let max_wait = max_wait.max(mean.mul_f64(LATE_WAIT_MAX));
        wait <= max_wait && now + wait + mean <= attempt.deadline
    }
}
