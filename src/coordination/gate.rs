//! The gate before one target: admits into slots, queues by priority, refuses, and voids.
//!
//! The gate alone may say *not run* for an attempt that reached it. It remembers attempts for a
//! window, so that an ingress whose link broke can have an attempt voided or learn its fate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
use super::queue::{Capacity, Queue, QueueDecision, QueuedAttempt, WorkKind};
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;

/// Time for which attempts are remembered.
pub const ATTEMPT_RETENTION: Duration = Duration::from_secs(60);
/// Oldest attempt that is taken or voided, by the sender's wall clock. Memory outlasts it, so that
/// neither a request nor a void that was long under way meets a gate that has forgotten the id.
/// Clocks of instances must agree within `MEMORY - ATTEMPT_AGE_MAX`.
pub const ATTEMPT_AGE_MAX: Duration = Duration::from_secs(30);
/// Most attempts remembered; further ones are refused.
pub const RETAINED_ATTEMPTS_MAX: usize = 200_000;
/// Share of the slots that bulk transfers may hold at once.
const BULK_SLOT_SHARE: f64 = 0.5;
/// Weight of the newest outcome in the share of attempts that the target sheds.
const SHED_WEIGHT: f64 = 0.2;

/// An attempt that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that the sender means.
    pub incarnation: Incarnation,
    /// What kind of work it is.
    pub class: Class,
    /// Whose service times it shares; gives its priority.
    pub kind: WorkKind,
    /// When its latency objective passes.
    pub objective: Option<Instant>,
    /// Time since the sender sent it, by wall clocks.
    pub age: Duration,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

/// The gate's answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Hand it to the target now.
    Run,
    /// Wait until [`Gate::finish`] or [`Gate::expire`] names it.
    Wait,
    /// Refused; it will never run here.
    Refuse(NotRun),
    /// A copy of an attempt that was admitted before. The copy does not run; the first one may.
    Repeated,
}

/// What became of a waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// Hand it to the target now.
    Run(AttemptId),
    /// Refused; it will never run here.
    Refuse(AttemptId, NotRun),
}

/// Woken attempts.
pub type Wakeups = Vec<Wakeup>;

/// What a gate knows of an attempt that is to be voided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoidOutcome {
    /// It was not handed to the target, and never will be.
    Fenced,
    /// It was handed to the target and is still there.
    Running,
    /// It was handed to the target and ended like this.
    Ended(Outcome),
    /// This life of the gate cannot tell.
    Indeterminate,
}

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

/// Counts of the gate's decisions since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Attempts handed to the target.
    pub handed: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts fenced by a void.
    pub voided: u64,
    /// Times the target shed.
    pub shed: u64,
}

/// The state machine of one gate.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    slots: u32,
    limit: f64,
    /// Share of recent attempts that the target shed.
    shed_rate: f64,
    running: u32,
    bulk_running: u32,
    queue: Queue,
    attempts: HashMap<AttemptId, AttemptState>,
    by_age: VecDeque<(Instant, AttemptId)>,
    leaving: bool,
    closed_reason: Option<NotRun>,
    counts: GateCounts,
}

impl Gate {
    /// A gate with a number of slots, in one life.
    pub fn new(incarnation: Incarnation, slots: u32) -> Gate {
        Gate {
            incarnation,
            slots,
            limit: f64::from(slots),
            shed_rate: 0.0,
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

    /// Attempts that are at the target.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Attempts that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The present limit on attempts at the target.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Mean service time.
    pub fn mean_service_time(&self) -> Duration {
        self.queue.mean_service_time()
    }

    /// Time after which somebody of a kind who is refused now may find room.
    pub fn backlog(&self, kind: WorkKind) -> Duration {
        self.queue.expected_backlog(kind, self.capacity())
    }

    /// Counts of decisions.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }

    /// The life of this gate.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes the number of slots from newer settings.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.update_limit();
        }
    }

    /// Why new work is refused, if it is.
    pub fn closed_reason(&self) -> Option<NotRun> {
        self.closed_reason
    }

    /// Follows a raised incarnation of the node.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Refuses new work for a reason, such as a drained or unreachable target, or takes it again.
    pub fn set_closed(&mut self, reason: Option<NotRun>) {
        self.closed_reason = reason;
    }

    /// Refuses all new work from now on, and what waits.
    pub fn leave(&mut self) -> Wakeups {
        self.leaving = true;
        self.refuse_waiting(NotRun::Leaving)
    }

    /// Refuses all that waits.
    pub fn refuse_waiting(&mut self, reason: NotRun) -> Wakeups {
        let waiting = self.queue.drain();
        self.refuse_all(waiting, reason)
    }

    /// Whether the gate is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Decides on an attempt. Others may be woken by the way.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> (Admission, Wakeups) {
        self.evict_expired(now);
        // A known id is a repeated or a voided attempt: never a second run.
        if let Some(state) = self.attempts.get(&request.attempt) {
            self.counts.refused += 1;
            let admission = match state {
                AttemptState::Fenced => Admission::Refuse(NotRun::Voided),
                _ => Admission::Repeated,
            };
            return (admission, Wakeups::new());
        }
        let rejected = self.rejection_reason(&request, now);
        self.queue.record_arrival(request.kind, rejected.is_some());
        if let Some(reason) = rejected {
            self.counts.refused += 1;
            // A copy that comes later must not run either. A stale offer, or one for another life,
            // is always refused; to remember it would vouch for what this life cannot know.
            let certain = !matches!(reason, NotRun::Stale | NotRun::Incarnation);
            if certain && self.by_age.len() < RETAINED_ATTEMPTS_MAX {
                self.retain(request.attempt, AttemptState::Fenced, now);
            }
            return (Admission::Refuse(reason), Wakeups::new());
        }
        self.retain(request.attempt, AttemptState::Waiting, now);
        self.queue.push(queued_attempt(&request, now));
        let mut wakeups = self.dispatch(now);
        let own = wakeups
            .iter()
            .position(|wakeup| *wakeup == Wakeup::Run(request.attempt));
        match own {
            Some(at) => {
                wakeups.swap_remove(at);
                (Admission::Run, wakeups)
            }
            None => (Admission::Wait, wakeups),
        }
    }

    /// An attempt at the target ended. Returns who runs next.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now: Instant) -> Wakeups {
        let Some(AttemptState::Running {
            started_at,
            class,
            kind,
        }) = self.attempts.get(&attempt).copied()
        else {
            return Wakeups::new();
        };
        self.attempts.insert(attempt, AttemptState::Ended(outcome));
        self.running -= 1;
        self.queue.record_end(kind);
        self.bulk_running -= u32::from(class == Class::Bulk);
        self.record_outcome(class, kind, outcome, now - started_at);
        self.dispatch(now)
    }

    /// A waiting attempt's sender went away.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt) == Some(&AttemptState::Waiting) {
            self.attempts.insert(attempt, AttemptState::Fenced);
            self.queue.remove(attempt);
        }
    }

    /// Refuses waiting attempts that can no longer be answered in time.
    pub fn expire(&mut self, now: Instant) -> Wakeups {
        let mut wakeups = self.drop_expired(now);
        let hopeless = self.queue.remove_hopeless(self.capacity(), now);
        wakeups.extend(self.refuse_all(hopeless, NotRun::Deadline));
        wakeups
    }

    fn drop_expired(&mut self, now: Instant) -> Wakeups {
        self.evict_expired(now);
        let expired = self.queue.remove_expired(now);
        self.refuse_all(expired, NotRun::Deadline)
    }

    fn refuse_all(&mut self, attempts: Vec<AttemptId>, reason: NotRun) -> Wakeups {
        let refuse = |a| self.refuse_attempt(a, reason);
        attempts.into_iter().map(refuse).collect()
    }

    /// Fences an attempt that was not handed over, or tells what became of it. `age` is the time
    /// since it was sent, by wall clocks.
    pub fn void(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        age: Duration,
        now: Instant,
    ) -> (VoidOutcome, Wakeups) {
        self.evict_expired(now);
        let none = Wakeups::new();
        match self.attempts.get(&attempt).copied() {
            Some(AttemptState::Running { .. }) => (VoidOutcome::Running, none),
            Some(AttemptState::Ended(outcome)) => (VoidOutcome::Ended(outcome), none),
            Some(AttemptState::Fenced) => (VoidOutcome::Fenced, none),
            Some(AttemptState::Waiting) => {
                self.counts.voided += 1;
                self.queue.remove(attempt);
                let wakeup = self.refuse_attempt(attempt, NotRun::Voided);
                (VoidOutcome::Fenced, vec![wakeup])
            }
            None if !self.is_unseen(incarnation, age) => (VoidOutcome::Indeterminate, none),
            None => {
                self.counts.voided += 1;
                self.retain(attempt, AttemptState::Fenced, now);
                (VoidOutcome::Fenced, none)
            }
        }
    }

    /// Whether an id that is not remembered was surely never seen, and can be remembered.
    fn is_unseen(&self, incarnation: Incarnation, age: Duration) -> bool {
        let same_life = incarnation == self.incarnation;
        same_life && age <= ATTEMPT_AGE_MAX && self.by_age.len() < RETAINED_ATTEMPTS_MAX
    }

    fn rejection_reason(&self, request: &AdmissionRequest, now: Instant) -> Option<NotRun> {
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
            .check_admission(&queued_attempt(request, now), self.capacity(), now)
        {
            QueueDecision::Accept => None,
            QueueDecision::Refuse(reason) => Some(reason),
        }
    }

    fn capacity(&self) -> Capacity {
        Capacity {
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
        self.queue.record_start(next.kind);
        self.bulk_running += u32::from(next.class == Class::Bulk);
        self.counts.handed += 1;
        let state = AttemptState::Running {
            started_at: now,
            class: next.class,
            kind: next.kind,
        };
        self.attempts.insert(next.attempt, state);
    }

    fn dispatch(&mut self, now: Instant) -> Wakeups {
        let mut wakeups = self.drop_expired(now);
        while let Some(next) = self.queue.pop_next(self.capacity(), now) {
            self.start_attempt(&next, now);
            wakeups.push(Wakeup::Run(next.attempt));
        }
        wakeups
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
        self.counts.shed += shed as u64;
        self.shed_rate += (shed - self.shed_rate) * SHED_WEIGHT;
        self.update_limit();
        if outcome == Outcome::Answered && class != Class::Bulk {
            self.queue.record_service_time(kind, elapsed);
        }
    }

    /// A target that sheds nearly everything gets next to nothing. One that sheds a part, whatever
    /// its load, keeps most of its slots: what it sheds takes no time, and the rest it answers.
    fn update_limit(&mut self) {
        let kept_share = 1.0 - self.shed_rate.powi(3);
        self.limit = (f64::from(self.slots) * kept_share).max(1.0);
    }

    fn refuse_attempt(&mut self, attempt: AttemptId, reason: NotRun) -> Wakeup {
        self.counts.refused += 1;
        self.attempts.insert(attempt, AttemptState::Fenced);
        Wakeup::Refuse(attempt, reason)
    }

    fn retain(&mut self, attempt: AttemptId, state: AttemptState, now: Instant) {
        self.attempts.insert(attempt, state);
        self.by_age.push_back((now, attempt));
    }

    fn evict_expired(&mut self, now: Instant) {
        while let Some((at, attempt)) = self.by_age.front().copied() {
            let old = now - at >= ATTEMPT_RETENTION;
            let ended = matches!(
                self.attempts.get(&attempt),
                Some(AttemptState::Ended(_) | AttemptState::Fenced) | None
            );
            if !old {
                return;
            }
            self.by_age.pop_front();
            if ended {
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
