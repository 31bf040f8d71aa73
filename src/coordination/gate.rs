//! The gate before one target: admits into slots, queues by priority, refuses, and voids.
//!
//! The gate alone may say *not run* for an attempt that reached it. It remembers attempts for a
//! window, so that an ingress whose link broke can have an attempt voided or learn its fate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
use super::queue::{Entry, Kind, Queue, Room, Waiting};
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;

/// Time for which attempts are remembered.
pub const MEMORY: Duration = Duration::from_secs(60);
/// Oldest attempt that is taken or voided, by the sender's wall clock. Memory outlasts it, so that
/// neither a request nor a void that was long under way meets a gate that has forgotten the id.
/// Clocks of instances must agree within `MEMORY - ATTEMPT_AGE_MAX`.
pub const ATTEMPT_AGE_MAX: Duration = Duration::from_secs(30);
/// Most attempts remembered; further ones are refused.
pub const MEMORY_MAX: usize = 200_000;
/// Share of the slots that bulk transfers may hold at once.
const BULK_SHARE: f64 = 0.5;
/// Weight of the newest outcome in the share of attempts that the target sheds.
const SHED_WEIGHT: f64 = 0.2;

/// An attempt that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that the sender means.
    pub incarnation: Incarnation,
    /// What kind of work it is.
    pub class: Class,
    /// Whose service times it shares; gives its priority.
    pub kind: Kind,
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
pub enum Wake {
    /// Hand it to the target now.
    Run(AttemptId),
    /// Refused; it will never run here.
    Refuse(AttemptId, NotRun),
}

/// Woken attempts.
pub type Wakes = Vec<Wake>;

/// What a gate knows of an attempt that is to be voided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Voided {
    /// It was not handed to the target, and never will be.
    Fenced,
    /// It was handed to the target and is still there.
    Running,
    /// It was handed to the target and ended like this.
    Ended(Outcome),
    /// This life of the gate cannot tell.
    CannotTell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Waiting,
    Running {
        since: Instant,
        class: Class,
        kind: Kind,
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
    shed: f64,
    running: u32,
    bulk: u32,
    queue: Queue,
    fates: HashMap<AttemptId, Fate>,
    ages: VecDeque<(Instant, AttemptId)>,
    leaving: bool,
    closed: Option<NotRun>,
    counts: GateCounts,
}

impl Gate {
    /// A gate with a number of slots, in one life.
    pub fn new(incarnation: Incarnation, slots: u32) -> Gate {
        Gate {
            incarnation,
            slots,
            limit: f64::from(slots),
            shed: 0.0,
            running: 0,
            bulk: 0,
            queue: Queue::default(),
            fates: HashMap::new(),
            ages: VecDeque::new(),
            leaving: false,
            closed: None,
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
    pub fn mean(&self) -> Duration {
        self.queue.mean()
    }

    /// Time after which somebody of a kind who is refused now may find room.
    pub fn backlog(&self, kind: Kind) -> Duration {
        self.queue.room_after(kind, self.room())
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
            self.follow_shedding();
        }
    }

    /// Why new work is refused, if it is.
    pub fn closed(&self) -> Option<NotRun> {
        self.closed
    }

    /// Follows a raised incarnation of the node.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Refuses new work for a reason, such as a drained or unreachable target, or takes it again.
    pub fn set_closed(&mut self, reason: Option<NotRun>) {
        self.closed = reason;
    }

    /// Refuses all new work from now on, and what waits.
    pub fn leave(&mut self) -> Wakes {
        self.leaving = true;
        self.turn_away(NotRun::Leaving)
    }

    /// Refuses all that waits.
    pub fn turn_away(&mut self, reason: NotRun) -> Wakes {
        let waiting = self.queue.clear();
        self.refuse_all(waiting, reason)
    }

    /// Whether the gate is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Decides on an attempt. Others may be woken by the way.
    pub fn offer(&mut self, offer: Offer, now: Instant) -> (Admission, Wakes) {
        self.forget(now);
        // A known id is a repeated or a voided attempt: never a second run.
        if let Some(fate) = self.fates.get(&offer.attempt) {
            self.counts.refused += 1;
            let admission = match fate {
                Fate::Fenced => Admission::Refuse(NotRun::Voided),
                _ => Admission::Repeated,
            };
            return (admission, Wakes::new());
        }
        let rejected = self.reject(&offer, now);
        self.queue.arrived(offer.kind, rejected.is_some());
        if let Some(reason) = rejected {
            self.counts.refused += 1;
            // A copy that comes later must not run either. A stale offer, or one for another life,
            // is always refused; to remember it would vouch for what this life cannot know.
            let certain = !matches!(reason, NotRun::Stale | NotRun::Incarnation);
            if certain && self.ages.len() < MEMORY_MAX {
                self.remember(offer.attempt, Fate::Fenced, now);
            }
            return (Admission::Refuse(reason), Wakes::new());
        }
        self.remember(offer.attempt, Fate::Waiting, now);
        self.queue.push(waiting(&offer, now));
        let mut wakes = self.dispatch(now);
        let own = wakes.iter().position(|w| *w == Wake::Run(offer.attempt));
        match own {
            Some(at) => {
                wakes.swap_remove(at);
                (Admission::Run, wakes)
            }
            None => (Admission::Wait, wakes),
        }
    }

    /// An attempt at the target ended. Returns who runs next.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now: Instant) -> Wakes {
        let Some(Fate::Running { since, class, kind }) = self.fates.get(&attempt).copied() else {
            return Wakes::new();
        };
        self.fates.insert(attempt, Fate::Ended(outcome));
        self.running -= 1;
        self.queue.ended(kind);
        self.bulk -= u32::from(class == Class::Bulk);
        self.learn(class, kind, outcome, now - since);
        self.dispatch(now)
    }

    /// A waiting attempt's sender went away.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if self.fates.get(&attempt) == Some(&Fate::Waiting) {
            self.fates.insert(attempt, Fate::Fenced);
            self.queue.remove(attempt);
        }
    }

    /// Refuses waiting attempts that can no longer be answered in time.
    pub fn expire(&mut self, now: Instant) -> Wakes {
        let mut wakes = self.drop_expired(now);
        let hopeless = self.queue.prune(self.room(), now);
        wakes.extend(self.refuse_all(hopeless, NotRun::Deadline));
        wakes
    }

    fn drop_expired(&mut self, now: Instant) -> Wakes {
        self.forget(now);
        let due = self.queue.expire(now);
        self.refuse_all(due, NotRun::Deadline)
    }

    fn refuse_all(&mut self, attempts: Vec<AttemptId>, reason: NotRun) -> Wakes {
        let refuse = |a| self.refuse_waiting(a, reason);
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
    ) -> (Voided, Wakes) {
        self.forget(now);
        let none = Wakes::new();
        match self.fates.get(&attempt).copied() {
            Some(Fate::Running { .. }) => (Voided::Running, none),
            Some(Fate::Ended(outcome)) => (Voided::Ended(outcome), none),
            Some(Fate::Fenced) => (Voided::Fenced, none),
            Some(Fate::Waiting) => {
                self.counts.voided += 1;
                self.queue.remove(attempt);
                let wake = self.refuse_waiting(attempt, NotRun::Voided);
                (Voided::Fenced, vec![wake])
            }
            None if !self.can_vouch(incarnation, age) => (Voided::CannotTell, none),
            None => {
                self.counts.voided += 1;
                self.remember(attempt, Fate::Fenced, now);
                (Voided::Fenced, none)
            }
        }
    }

    /// Whether an id that is not remembered was surely never seen, and can be remembered.
    fn can_vouch(&self, incarnation: Incarnation, age: Duration) -> bool {
        let same = incarnation == self.incarnation;
        same && age <= ATTEMPT_AGE_MAX && self.ages.len() < MEMORY_MAX
    }

    fn reject(&self, offer: &Offer, now: Instant) -> Option<NotRun> {
        if offer.incarnation != self.incarnation {
            return Some(NotRun::Incarnation);
        }
        if offer.age > ATTEMPT_AGE_MAX {
            return Some(NotRun::Stale);
        }
        if self.ages.len() >= MEMORY_MAX {
            return Some(NotRun::Overloaded);
        }
        if self.leaving {
            return Some(NotRun::Leaving);
        }
        if self.closed.is_some() {
            return self.closed;
        }
        match self.queue.admit(&waiting(offer, now), self.room(), now) {
            Entry::Enter => None,
            Entry::Refuse(reason) => Some(reason),
        }
    }

    fn room(&self) -> Room {
        Room {
            running: self.running,
            limit: self.limit(),
            bulk: self.bulk < self.bulk_limit(),
        }
    }

    fn bulk_limit(&self) -> u32 {
        ((self.limit * BULK_SHARE) as u32).max(1)
    }

    fn hand(&mut self, next: &Waiting, now: Instant) {
        self.running += 1;
        self.queue.started(next.kind);
        self.bulk += u32::from(next.class == Class::Bulk);
        self.counts.handed += 1;
        let fate = Fate::Running {
            since: now,
            class: next.class,
            kind: next.kind,
        };
        self.fates.insert(next.attempt, fate);
    }

    fn dispatch(&mut self, now: Instant) -> Wakes {
        let mut wakes = self.drop_expired(now);
        while let Some(next) = self.queue.next(self.room(), now) {
            self.hand(&next, now);
            wakes.push(Wake::Run(next.attempt));
        }
        wakes
    }

    fn learn(&mut self, class: Class, kind: Kind, outcome: Outcome, took: Duration) {
        let shed = match outcome {
            Outcome::NotRun(NotRun::Shed) => 1.0,
            Outcome::Answered => 0.0,
            _ => return,
        };
        self.counts.shed += shed as u64;
        self.shed += (shed - self.shed) * SHED_WEIGHT;
        self.follow_shedding();
        if outcome == Outcome::Answered && class != Class::Bulk {
            self.queue.learn(kind, took);
        }
    }

    /// A target that sheds nearly everything gets next to nothing. One that sheds a part, whatever
    /// its load, keeps most of its slots: what it sheds takes no time, and the rest it answers.
    fn follow_shedding(&mut self) {
        let kept = 1.0 - self.shed.powi(3);
        self.limit = (f64::from(self.slots) * kept).max(1.0);
    }

    fn refuse_waiting(&mut self, attempt: AttemptId, reason: NotRun) -> Wake {
        self.counts.refused += 1;
        self.fates.insert(attempt, Fate::Fenced);
        Wake::Refuse(attempt, reason)
    }

    fn remember(&mut self, attempt: AttemptId, fate: Fate, now: Instant) {
        self.fates.insert(attempt, fate);
        self.ages.push_back((now, attempt));
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, attempt)) = self.ages.front().copied() {
            let old = now - at >= MEMORY;
            let ended = matches!(
                self.fates.get(&attempt),
                Some(Fate::Ended(_) | Fate::Fenced) | None
            );
            if !old {
                return;
            }
            self.ages.pop_front();
            if ended {
                self.fates.remove(&attempt);
            } else {
                self.ages.push_back((now, attempt));
            }
        }
    }
}

fn waiting(offer: &Offer, now: Instant) -> Waiting {
    Waiting {
        attempt: offer.attempt,
        class: offer.class,
        kind: offer.kind,
        since: now,
        objective: offer.objective,
        deadline: offer.deadline,
    }
}
