//! Gate in front of one target: admits attempts to the target's slots, queues them by priority,
//! refuses them, and voids them on request.
//!
//! Only the gate can decide that an attempt that reached it was *not run*. It keeps the state of
//! each attempt for [`ATTEMPT_RETENTION`], so that an ingress that lost its connection can void an
//! attempt (fence it, so that it never runs) or find out how it ended.

mod attempts;
mod limit;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use self::attempts::AttemptState;
pub use self::attempts::{ATTEMPT_AGE_MAX, ATTEMPT_RETENTION, RETAINED_ATTEMPTS_MAX, VoidOutcome};
use super::outcome::{NotRun, Outcome};
use super::pace::Pacer;
use super::queue::{Dispatch, Queue, QueueDecision, QueuedAttempt, WaitingFlows, WorkKind};
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;
use crate::state::workspace::WorkspaceId;

/// Attempt to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the gate that the sender addressed.
    pub incarnation: Incarnation,
    /// Class of the request.
    pub class: Class,
    /// Kind of work, which determines the priority and the expected service time.
    pub kind: WorkKind,
    /// Workspace of the caller; `None` without workspaces.
    pub workspace: Option<WorkspaceId>,
    /// Time at which the latency objective passes.
    pub objective: Option<Instant>,
    /// Time since the attempt was sent, calculated from the wall clocks of the sender and the gate.
    pub age: Duration,
    /// Time at which the caller's deadline passes.
    pub deadline: Instant,
}

/// Decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send the attempt to the target now.
    Run,
    /// The attempt is queued. A later call, such as [`Gate::finish`] or [`Gate::expire`], returns
    /// the [`GateAction`] that runs or refuses it.
    Wait,
    /// Refused; the attempt will never run here.
    Refuse(NotRun),
    /// Duplicate of an attempt that was admitted before. The duplicate does not run; the first one
    /// may.
    Repeated,
}

/// Action to perform for an attempt that left the queue. The task that waits for the decision must
/// be notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the attempt to the target now.
    Run(AttemptId),
    /// Refused; the attempt will never run here.
    Refuse(AttemptId, NotRun),
}

/// Actions to perform.
pub type GateActions = Vec<GateAction>;

/// Counts of the gate's decisions since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Attempts sent to the target.
    pub started: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Queued attempts refused to make room for another workspace.
    pub replaced: u64,
    /// Attempts fenced because they were voided.
    pub voided: u64,
    /// Attempts that the target shed.
    pub shed: u64,
}

/// State machine of one gate.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    slots: u32,
    /// Limit on the number of attempts at the target: the slots, reduced while the target sheds.
    limit: f64,
    /// Moving average of the share of attempts that the target shed.
    shed_rate: f64,
    /// The target has not answered since [`Gate::limit_until_answered`].
    unanswered: bool,
    pacer: Pacer,
    running: u32,
    bulk_running: u32,
    queue: Queue,
    attempts: HashMap<AttemptId, AttemptState>,
    /// Keys of `attempts` with the time of their insertion, oldest first.
    by_age: VecDeque<(Instant, AttemptId)>,
    leaving: bool,
    closed_reason: Option<NotRun>,
    counts: GateCounts,
}

impl Gate {
    /// Creates a gate with a number of slots for one incarnation of the node.
    pub fn new(incarnation: Incarnation, slots: u32) -> Gate {
        Gate {
            incarnation,
            slots,
            limit: f64::from(slots),
            shed_rate: 0.0,
            unanswered: false,
            pacer: Pacer::default(),
            running: 0,
            bulk_running: 0,
            queue: Queue::default(),
            attempts: HashMap::new(),
            by_age: VecDeque::new(),
            leaving: false,
            closed_reason: None,
            counts: GateCounts::default(),
        }
    }

    /// Number of attempts running at the target.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued attempts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Sends the queued attempts that the pace allows by now.
    pub fn run_due(&mut self, now: Instant) -> GateActions {
        self.dispatch(now)
    }

    /// Workspaces with queued attempts.
    pub fn waiting_flows(&self) -> WaitingFlows {
        self.queue.waiting_flows()
    }

    /// Mean service time over all kinds of work.
    pub fn mean_service_time(&self) -> Duration {
        self.queue.mean_service_time()
    }

    /// Time after which an attempt of this kind that is refused now may be admitted.
    pub fn backlog(&self, kind: WorkKind, now: Instant) -> Duration {
        self.queue.expected_backlog(kind, self.capacity(now))
    }

    /// Counts of the gate's decisions.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }

    /// Incarnation of the gate.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Reason for which new attempts are refused, or `None` if the gate accepts them.
    pub fn closed_reason(&self) -> Option<NotRun> {
        self.closed_reason
    }

    /// Sets the incarnation after the incarnation of the node has increased.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Closes the gate to new attempts for a reason, such as a drained or unreachable target;
    /// `None` opens it again.
    pub fn set_closed(&mut self, reason: Option<NotRun>) {
        self.closed_reason = reason;
    }

    /// Refuses all queued attempts and all new ones from now on, because the gate is stopping.
    pub fn leave(&mut self) -> GateActions {
        self.leaving = true;
        self.refuse_waiting(NotRun::Leaving)
    }

    /// Refuses all queued attempts.
    pub fn refuse_waiting(&mut self, reason: NotRun) -> GateActions {
        let waiting = self.queue.drain();
        self.refuse_all(waiting, reason)
    }

    /// Whether the gate is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Decides on an attempt. The returned actions concern other attempts, which were queued.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> (Admission, GateActions) {
        self.evict_expired(now);
        // The identifier is known if the attempt is a duplicate or has been fenced. In both cases
        // it must not run.
        if let Some(state) = self.attempts.get(&request.attempt) {
            self.counts.refused += 1;
            let admission = match state {
                AttemptState::Fenced => Admission::Refuse(NotRun::Voided),
                _ => Admission::Repeated,
            };
            return (admission, GateActions::new());
        }
        let decision = self.decide(&request, now);
        let refused = matches!(decision, QueueDecision::Refuse(_));
        self.queue.record_arrival(request.kind, refused);
        if let QueueDecision::Refuse(reason) = decision {
            self.counts.refused += 1;
            // A duplicate that arrives later must not run either, so the attempt is fenced. Stale
            // attempts and attempts for another incarnation are always refused but not fenced: a
            // fence would assert that the attempt never ran, which this incarnation cannot know.
            let certain = !matches!(reason, NotRun::Stale | NotRun::Incarnation);
            if certain && self.by_age.len() < RETAINED_ATTEMPTS_MAX {
                self.insert_attempt(request.attempt, AttemptState::Fenced, now);
            }
            return (Admission::Refuse(reason), GateActions::new());
        }
        let mut actions = GateActions::new();
        if let QueueDecision::Replace(other) = decision {
            self.counts.replaced += 1;
            self.queue.remove(other);
            actions.push(self.refuse_attempt(other, NotRun::QueueFull));
        }
        self.insert_attempt(request.attempt, AttemptState::Waiting, now);
        self.queue.push(queued_attempt(&request, now));
        actions.extend(self.dispatch(now));
        let own_index = actions
            .iter()
            .position(|action| *action == GateAction::Run(request.attempt));
        match own_index {
            Some(index) => {
                actions.swap_remove(index);
                (Admission::Run, actions)
            }
            None => (Admission::Wait, actions),
        }
    }

    /// Records that an attempt at the target ended. Returns actions for queued attempts, such as
    /// those that run next.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now: Instant) -> GateActions {
        let Some(AttemptState::Running {
            started_at,
            class,
            kind,
            charge,
        }) = self.attempts.get(&attempt).copied()
        else {
            return GateActions::new();
        };
        self.attempts.insert(attempt, AttemptState::Ended(outcome));
        self.running -= 1;
        self.queue.record_end(kind, charge, now - started_at);
        self.bulk_running -= u32::from(class == Class::Bulk);
        self.record_outcome(class, kind, outcome, now - started_at);
        self.dispatch(now)
    }

    /// Refuses queued attempts that can no longer be answered in time.
    pub fn expire(&mut self, now: Instant) -> GateActions {
        let mut actions = self.refuse_expired(now);
        let too_late = self.queue.remove_too_late(self.capacity(now), now);
        // Another target may still answer them in time.
        actions.extend(self.refuse_all(too_late, NotRun::QueueFull));
        actions
    }

    fn refuse_expired(&mut self, now: Instant) -> GateActions {
        self.evict_expired(now);
        let expired = self.queue.remove_expired(now);
        self.refuse_all(expired, NotRun::Deadline)
    }

    fn refuse_all(&mut self, attempts: Vec<AttemptId>, reason: NotRun) -> GateActions {
        let refuse = |a| self.refuse_attempt(a, reason);
        attempts.into_iter().map(refuse).collect()
    }

    fn decide(&self, request: &AdmissionRequest, now: Instant) -> QueueDecision {
        match self.refusal_reason(request) {
            Some(reason) => QueueDecision::Refuse(reason),
            None => {
                let attempt = queued_attempt(request, now);
                self.queue
                    .check_admission(&attempt, self.capacity(now), now)
            }
        }
    }

    /// Reason for which an attempt is refused regardless of the queue.
    fn refusal_reason(&self, request: &AdmissionRequest) -> Option<NotRun> {
        if request.incarnation != self.incarnation {
            return Some(NotRun::Incarnation);
        }
        if request.age > ATTEMPT_AGE_MAX {
            return Some(NotRun::Stale);
        }
        if self.by_age.len() >= RETAINED_ATTEMPTS_MAX {
            return Some(NotRun::Overloaded);
        }
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        self.closed_reason
    }

    fn start_attempt(&mut self, next: &Dispatch, now: Instant) {
        let QueuedAttempt {
            attempt,
            class,
            kind,
            ..
        } = next.attempt;
        self.running += 1;
        self.pacer.take(now);
        self.queue.record_start(kind);
        self.bulk_running += u32::from(class == Class::Bulk);
        self.counts.started += 1;
        let state = AttemptState::Running {
            started_at: now,
            class,
            kind,
            charge: next.charge,
        };
        self.attempts.insert(attempt, state);
    }

    fn dispatch(&mut self, now: Instant) -> GateActions {
        let mut actions = self.refuse_expired(now);
        while let Some(next) = self.queue.pop_next(self.capacity(now), now) {
            self.start_attempt(&next, now);
            actions.push(GateAction::Run(next.attempt.attempt));
        }
        actions
    }
}

fn queued_attempt(request: &AdmissionRequest, now: Instant) -> QueuedAttempt {
    QueuedAttempt {
        attempt: request.attempt,
        class: request.class,
        kind: request.kind,
        workspace: request.workspace,
        enqueued_at: now,
        objective: request.objective,
        deadline: request.deadline,
    }
}
