//! Gate in front of one target: admits attempts to the target's slots, queues them by priority,
//! refuses them, and voids them on request.
//!
//! Only the gate can decide that an attempt that reached it was *not run*. It keeps the state of
//! each attempt for [`ATTEMPT_RETENTION`], so that an ingress that lost its connection can void an
//! attempt (fence it, so that it never runs) or find out how it ended.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
use super::pace::Pacer;
use super::queue::{Capacity, Queue, QueueDecision, QueuedAttempt, WorkKind};
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;
use crate::state::rate::RequestRate;

/// Time for which the state of an attempt is kept.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);
/// Maximum age of an attempt that is admitted or voided, by the sender's wall clock. It is shorter
/// than [`ATTEMPT_RETENTION`], so that a request or a void that was delayed in transit never
/// arrives after the gate has evicted the attempt. The clocks of instances must agree to within
/// `ATTEMPT_RETENTION - ATTEMPT_AGE_MAX`.
pub const ATTEMPT_AGE_MAX: Duration = Duration::from_secs(30);
/// Maximum number of attempts whose state is kept; further attempts are refused.
pub const RETAINED_ATTEMPTS_MAX: usize = 200_000;
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
enum AttemptState {
    Waiting,
    Running {
        started_at: Instant,
        class: Class,
        kind: WorkKind,
    },
    Ended(Outcome),
    Fenced,
}

/// Counts of the gate's decisions since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Attempts sent to the target.
    pub started: u64,
    /// Attempts refused.
    pub refused: u64,
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

    /// Sends the queued attempts that the pace allows by now.
    pub fn run_due(&mut self, now: Instant) -> GateActions {
        self.dispatch(now)
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

    /// Sets the number of slots from newer settings.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.update_limit();
        }
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
        let refusal = self.refusal_reason(&request, now);
        self.queue.record_arrival(request.kind, refusal.is_some());
        if let Some(reason) = refusal {
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
        self.insert_attempt(request.attempt, AttemptState::Waiting, now);
        self.queue.push(queued_attempt(&request, now));
        let mut actions = self.dispatch(now);
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
        }) = self.attempts.get(&attempt).copied()
        else {
            return GateActions::new();
        };
        self.attempts.insert(attempt, AttemptState::Ended(outcome));
        self.running -= 1;
        self.queue.record_end(kind);
        self.bulk_running -= u32::from(class == Class::Bulk);
        self.record_outcome(class, kind, outcome, now - started_at);
        self.dispatch(now)
    }

    /// Fences a queued attempt whose sender has disconnected.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt) == Some(&AttemptState::Waiting) {
            self.attempts.insert(attempt, AttemptState::Fenced);
            self.queue.remove(attempt);
        }
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

    /// Whether an attempt without a recorded state can be fenced: it must certainly never have been
    /// admitted, and there must be space to record it.
    fn can_fence(&self, incarnation: Incarnation, age: Duration) -> bool {
        let same_incarnation = incarnation == self.incarnation;
        same_incarnation && age <= ATTEMPT_AGE_MAX && self.by_age.len() < RETAINED_ATTEMPTS_MAX
    }

    fn refusal_reason(&self, request: &AdmissionRequest, now: Instant) -> Option<NotRun> {
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
        if self.closed_reason.is_some() {
            return self.closed_reason;
        }
        match self
            .queue
            .check_admission(&queued_attempt(request, now), self.capacity(now), now)
        {
            QueueDecision::Accept => None,
            QueueDecision::Refuse(reason) => Some(reason),
        }
    }

    fn capacity(&self, now: Instant) -> Capacity {
        Capacity {
            pace: self.pacer.pace(now),
            running: self.running,
            limit: self.limit(),
            bulk_allowed: self.bulk_running < self.bulk_limit(),
        }
    }

    fn bulk_limit(&self) -> u32 {
        ((self.limit * BULK_SLOT_SHARE) as u32).max(1)
    }

    fn start_attempt(&mut self, next: &QueuedAttempt, now: Instant) {
        self.running += 1;
        self.pacer.take(now);
        self.queue.record_start(next.kind);
        self.bulk_running += u32::from(next.class == Class::Bulk);
        self.counts.started += 1;
        let state = AttemptState::Running {
            started_at: now,
            class: next.class,
            kind: next.kind,
        };
        self.attempts.insert(next.attempt, state);
    }

    fn dispatch(&mut self, now: Instant) -> GateActions {
        let mut actions = self.refuse_expired(now);
        while let Some(next) = self.queue.pop_next(self.capacity(now), now) {
            self.start_attempt(&next, now);
            actions.push(GateAction::Run(next.attempt));
        }
        actions
    }

    fn record_outcome(
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
    fn update_limit(&mut self) {
        let usable_share = 1.0 - self.shed_rate.powi(3);
        self.limit = (f64::from(self.slots) * usable_share).max(1.0);
    }

    fn refuse_attempt(&mut self, attempt: AttemptId, reason: NotRun) -> GateAction {
        self.counts.refused += 1;
        self.attempts.insert(attempt, AttemptState::Fenced);
        GateAction::Refuse(attempt, reason)
    }

    fn insert_attempt(&mut self, attempt: AttemptId, state: AttemptState, now: Instant) {
        self.attempts.insert(attempt, state);
        self.by_age.push_back((now, attempt));
    }

    /// Evicts attempts older than [`ATTEMPT_RETENTION`]. Those that have not ended are kept for
    /// another [`ATTEMPT_RETENTION`].
    fn evict_expired(&mut self, now: Instant) {
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

fn queued_attempt(request: &AdmissionRequest, now: Instant) -> QueuedAttempt {
    QueuedAttempt {
        attempt: request.attempt,
        class: request.class,
        kind: request.kind,
        enqueued_at: now,
        objective: request.objective,
        deadline: request.deadline,
    }
}
