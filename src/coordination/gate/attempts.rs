//! States of the attempts that reached the gate, and what voiding an attempt finds.

use std::time::Duration;

use tokio::time::Instant;

use super::{Gate, GateAction, GateActions};
use crate::coordination::outcome::{NotRun, Outcome};
use crate::coordination::queue::{Charge, WorkKind};
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;

/// Time for which the state of an attempt is kept.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);
/// Maximum age of an attempt that is admitted or voided, by the sender's wall clock. It is shorter
/// than [`ATTEMPT_RETENTION`], so that a request or a void that was delayed in transit never
/// arrives after the gate has evicted the attempt. The clocks of instances must agree to within
/// `ATTEMPT_RETENTION - ATTEMPT_AGE_MAX`.
pub const ATTEMPT_AGE_MAX: Duration = Duration::from_secs(30);
/// Maximum number of attempts whose state is kept; further attempts are refused.
pub const RETAINED_ATTEMPTS_MAX: usize = 200_000;

/// Result of voiding an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidOutcome {
    /// The attempt was not sent to the target and never will be.
    Fenced,
    /// The attempt was sent to the target and is still running.
    Running,
    /// The attempt was sent to the target and ended with this outcome.
    Ended(Outcome),
    /// This incarnation of the gate cannot tell whether the attempt ran.
    Indeterminate,
}

/// State of an attempt that reached the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    Waiting,
    Running {
        started_at: Instant,
        class: Class,
        kind: WorkKind,
        charge: Charge,
    },
    Ended(Outcome),
    Fenced,
}

impl Gate {
    /// Fences an attempt that was not sent to the target, or returns what happened to it. `age` is
    /// the time since the ingress sent the attempt, calculated from wall clocks. If the attempt was
    /// queued, the returned action refuses it.
    pub fn void(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        age: Duration,
        now: Instant,
    ) -> (VoidOutcome, GateActions) {
        self.evict_expired(now);
        let none = GateActions::new();
        match self.attempts.get(&attempt).copied() {
            Some(AttemptState::Running { .. }) => (VoidOutcome::Running, none),
            Some(AttemptState::Ended(outcome)) => (VoidOutcome::Ended(outcome), none),
            Some(AttemptState::Fenced) => (VoidOutcome::Fenced, none),
            Some(AttemptState::Waiting) => {
                self.counts.voided += 1;
                self.queue.remove(attempt);
                let action = self.refuse_attempt(attempt, NotRun::Voided);
                (VoidOutcome::Fenced, vec![action])
            }
            None if !self.can_fence(incarnation, age) => (VoidOutcome::Indeterminate, none),
            None => {
                self.counts.voided += 1;
                self.insert_attempt(attempt, AttemptState::Fenced, now);
                (VoidOutcome::Fenced, none)
            }
        }
    }

    /// Fences a queued attempt whose sender has disconnected.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt) == Some(&AttemptState::Waiting) {
            self.attempts.insert(attempt, AttemptState::Fenced);
            self.queue.remove(attempt);
        }
    }

    /// Whether an attempt without a recorded state can be fenced: it must certainly never have been
    /// admitted, and there must be space to record it.
    pub(super) fn can_fence(&self, incarnation: Incarnation, age: Duration) -> bool {
        let same_incarnation = incarnation == self.incarnation;
        same_incarnation && age <= ATTEMPT_AGE_MAX && self.by_age.len() < RETAINED_ATTEMPTS_MAX
    }

    pub(super) fn refuse_attempt(&mut self, attempt: AttemptId, reason: NotRun) -> GateAction {
        self.counts.refused += 1;
        self.attempts.insert(attempt, AttemptState::Fenced);
        GateAction::Refuse(attempt, reason)
    }

    pub(super) fn insert_attempt(&mut self, attempt: AttemptId, state: AttemptState, now: Instant) {
        self.attempts.insert(attempt, state);
        self.by_age.push_back((now, attempt));
    }

    /// Evicts attempts older than [`ATTEMPT_RETENTION`]. Those that have not ended are kept for
    /// another [`ATTEMPT_RETENTION`].
    pub(super) fn evict_expired(&mut self, now: Instant) {
        while let Some((inserted_at, attempt)) = self.by_age.front().copied() {
            let expired = now - inserted_at >= ATTEMPT_RETENTION;
            let is_final = matches!(
                self.attempts.get(&attempt),
                Some(AttemptState::Ended(_) | AttemptState::Fenced) | None
            );
            if !expired {
                return;
            }
            self.by_age.pop_front();
            if is_final {
                self.attempts.remove(&attempt);
            } else {
                self.by_age.push_back((now, attempt));
            }
        }
    }
}
