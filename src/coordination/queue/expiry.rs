//! Decides which queued attempts can no longer be answered in time.

use std::collections::HashMap;

use tokio::time::Instant;

use super::{Capacity, DEADLINE_MARGIN, Queue, QueuedAttempt, WorkKind};
use crate::state::id::AttemptId;

impl Queue {
    /// Removes and returns the attempts that can no longer meet their deadline.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<AttemptId> {
        let mut levels = std::mem::take(&mut self.levels);
        let is_expired =
            |a: &QueuedAttempt| a.deadline <= now + self.mean_for(a.kind).mul_f64(DEADLINE_MARGIN);
        let expired = levels.iter_mut().flat_map(|l| l.remove_where(is_expired));
        let expired = expired.collect();
        self.levels = levels;
        expired
    }

    /// Removes and returns the attempts that will miss their deadline because of the attempts ahead
    /// of them, so that their callers are answered now rather than at the deadline. During a
    /// sustained overload of their kind, all attempts that can no longer meet their objective are
    /// removed as well, except for those that run by the guarantee of their kind.
    pub fn remove_too_late(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        let mut too_late = Vec::new();
        let mut work_ahead = self.mean_service_time();
        let mut count_ahead = 0;
        let slots = f64::from(capacity.limit.max(1));
        let (guaranteed, others) = self.in_turn(capacity, now);
        let is_given_up = |a: &QueuedAttempt| {
            !self.can_meet_objective(a, now) && self.is_overload_sustained(a.kind)
        };
        let (given_up, others): (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) =
            others.into_iter().partition(|a| is_given_up(a));
        too_late.extend(given_up.iter().map(|a| a.attempt));
        for a in guaranteed.into_iter().chain(others) {
            let mean = self.mean_for(a.kind);
            let start_delay = work_ahead
                .div_f64(slots)
                .max(capacity.pace_delay(count_ahead));
            let done_at = now + start_delay + mean.mul_f64(DEADLINE_MARGIN);
            if done_at > a.deadline {
                too_late.push(a.attempt);
                continue;
            }
            work_ahead += mean;
            count_ahead += 1;
        }
        for level in &mut self.levels {
            level.remove_where(|a| too_late.contains(&a.attempt));
        }
        too_late
    }

    /// The queued attempts in the order in which they are expected to run: those that run by the
    /// guarantee of their kind, and the others.
    fn in_turn(
        &self,
        capacity: Capacity,
        now: Instant,
    ) -> (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) {
        let is_late = |a: &QueuedAttempt| !self.can_meet_objective(a, now);
        let mut left: HashMap<WorkKind, usize> = HashMap::new();
        self.levels
            .iter()
            .flat_map(|l| l.in_turn(is_late))
            .partition(|a| {
                let guaranteed = || self.guaranteed(a.kind, capacity.limit);
                let left = left.entry(a.kind).or_insert_with(guaranteed);
                let is_guaranteed = *left > 0;
                *left = left.saturating_sub(1);
                is_guaranteed
            })
    }
}
