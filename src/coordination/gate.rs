//! The gate before one target: admits into slots, queues by class, refuses, and voids.
//!
//! The gate alone may say *not run* for an attempt that reached it. It remembers attempts for a
//! window, so that an ingress whose link broke can have an attempt voided or learn its fate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
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
/// Waiting attempts of one class, for each slot.
const QUEUE_PER_SLOT: usize = 8;
/// Share of the slots that bulk transfers may hold at once.
const BULK_SHARE: f64 = 0.5;
/// Every so many dispatches, the attempt that waits longest goes first, whatever its class.
const FAIR_EVERY: u32 = 8;
/// Weight of the newest sample in the mean service time.
const MEAN_WEIGHT: f64 = 0.1;
/// Factor on the limit when the target sheds.
const SHED_FACTOR: f64 = 0.8;
/// Factor on the limit when the target has slowed down under load.
const SLOW_FACTOR: f64 = 0.95;
/// A service time beyond this multiple of the best seen counts as slowed down.
const SLOW_RATIO: f64 = 3.0;
/// Growth of the best service time at each sample, so that it follows a changed target.
const BEST_DRIFT: f64 = 1.001;

/// An attempt that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that the sender means.
    pub incarnation: Incarnation,
    /// Priority.
    pub class: Class,
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
    Running { since: Instant, class: Class },
    Ended(Outcome),
    Fenced,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    attempt: AttemptId,
    since: Instant,
    deadline: Instant,
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
    running: u32,
    bulk: u32,
    queues: [VecDeque<Waiting>; 4],
    fates: HashMap<AttemptId, Fate>,
    ages: VecDeque<(Instant, AttemptId)>,
    leaving: bool,
    closed: Option<NotRun>,
    dispatches: u32,
    mean: f64,
    best: f64,
    counts: GateCounts,
}

impl Gate {
    /// A gate with a number of slots, in one life.
    pub fn new(incarnation: Incarnation, slots: u32) -> Gate {
        Gate {
            incarnation,
            slots,
            limit: f64::from(slots),
            running: 0,
            bulk: 0,
            queues: Default::default(),
            fates: HashMap::new(),
            ages: VecDeque::new(),
            leaving: false,
            closed: None,
            dispatches: 0,
            mean: 0.0,
            best: 0.0,
            counts: GateCounts::default(),
        }
    }

    /// Attempts that are at the target.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Attempts that wait.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// The present limit on attempts at the target.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Mean service time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
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
            self.limit = f64::from(slots);
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
        let mut wakes = Wakes::new();
        for class in Class::ALL {
            while let Some(w) = self.queues[class as usize].pop_front() {
                wakes.push(self.refuse_waiting(w.attempt, NotRun::Leaving));
            }
        }
        wakes
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
        if let Some(reason) = self.reject(&offer, now) {
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
        self.queues[offer.class as usize].push_back(Waiting {
            attempt: offer.attempt,
            since: now,
            deadline: offer.deadline,
        });
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
        let Some(Fate::Running { since, class }) = self.fates.get(&attempt).copied() else {
            return Wakes::new();
        };
        self.fates.insert(attempt, Fate::Ended(outcome));
        self.running -= 1;
        self.bulk -= u32::from(class == Class::Bulk);
        self.learn(class, outcome, now - since);
        self.dispatch(now)
    }

    /// A waiting attempt's sender went away.
    pub fn abandon(&mut self, attempt: AttemptId) {
        if self.fates.get(&attempt) == Some(&Fate::Waiting) {
            self.fates.insert(attempt, Fate::Fenced);
            self.unqueue(attempt);
        }
    }

    /// Refuses waiting attempts whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Wakes {
        self.forget(now);
        let mut due = Vec::new();
        for queue in &mut self.queues {
            due.extend(
                queue
                    .iter()
                    .filter(|w| w.deadline <= now)
                    .map(|w| w.attempt),
            );
            queue.retain(|w| w.deadline > now);
        }
        let refuse = |a| self.refuse_waiting(a, NotRun::Deadline);
        due.into_iter().map(refuse).collect()
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
                self.unqueue(attempt);
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
        if now + self.expected_wait(offer.class) >= offer.deadline {
            return Some(NotRun::Deadline);
        }
        let most = self.slots as usize * QUEUE_PER_SLOT;
        let full = self.queues[offer.class as usize].len() >= most;
        full.then_some(NotRun::QueueFull)
    }

    /// Time until an attempt of the class is handed over, from the queue ahead of it.
    fn expected_wait(&self, class: Class) -> Duration {
        if self.has_room(class) && self.waiting() == 0 {
            return Duration::ZERO;
        }
        let ahead: usize = self.queues[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum();
        Duration::from_secs_f64((ahead + 1) as f64 * self.mean / self.limit.max(1.0))
    }

    fn has_room(&self, class: Class) -> bool {
        if class == Class::Bulk && self.bulk >= self.bulk_limit() {
            return false;
        }
        self.running < self.limit()
    }

    fn bulk_limit(&self) -> u32 {
        ((self.limit * BULK_SHARE) as u32).max(1)
    }

    fn hand(&mut self, attempt: AttemptId, class: Class, now: Instant) {
        self.running += 1;
        self.bulk += u32::from(class == Class::Bulk);
        self.counts.handed += 1;
        let since = now;
        self.fates.insert(attempt, Fate::Running { since, class });
    }

    fn dispatch(&mut self, now: Instant) -> Wakes {
        let mut wakes = self.expire(now);
        while self.running < self.limit() {
            let Some(class) = self.next_class() else {
                break;
            };
            let waiting = self.queues[class as usize].pop_front();
            let attempt = waiting.expect("the class has a waiting attempt").attempt;
            self.hand(attempt, class, now);
            wakes.push(Wake::Run(attempt));
        }
        wakes
    }

    fn next_class(&mut self) -> Option<Class> {
        let ready = |c: &Class| !self.queues[*c as usize].is_empty() && self.has_room(*c);
        let urgent = Class::ALL.into_iter().find(ready)?;
        let since = |c: &Class| self.queues[*c as usize].front().map(|w| w.since);
        let oldest = Class::ALL.into_iter().filter(ready).min_by_key(since);
        self.dispatches = self.dispatches.wrapping_add(1);
        if self.dispatches.is_multiple_of(FAIR_EVERY) {
            return oldest;
        }
        Some(urgent)
    }

    fn learn(&mut self, class: Class, outcome: Outcome, took: Duration) {
        if outcome == Outcome::NotRun(NotRun::Shed) {
            self.counts.shed += 1;
            self.limit = (self.limit * SHED_FACTOR).max(1.0);
            return;
        }
        if outcome != Outcome::Answered || class == Class::Bulk {
            return;
        }
        let took = took.as_secs_f64();
        if self.mean == 0.0 {
            (self.mean, self.best) = (took, took);
        }
        self.mean += (took - self.mean) * MEAN_WEIGHT;
        self.best = (self.best * BEST_DRIFT).min(took).max(0.001);
        let full = f64::from(self.running + 1) >= self.limit.floor();
        if full && self.mean > self.best * SLOW_RATIO {
            self.limit = (self.limit * SLOW_FACTOR).max(self.least());
        } else {
            let grown = self.limit + 1.0 / self.limit;
            self.limit = grown.min(f64::from(self.slots));
        }
    }

    /// Slowness alone, which a varied mix of requests also shows, never takes over half the slots.
    fn least(&self) -> f64 {
        (f64::from(self.slots) / 2.0).max(1.0)
    }

    fn refuse_waiting(&mut self, attempt: AttemptId, reason: NotRun) -> Wake {
        self.counts.refused += 1;
        self.fates.insert(attempt, Fate::Fenced);
        Wake::Refuse(attempt, reason)
    }

    fn unqueue(&mut self, attempt: AttemptId) {
        for queue in &mut self.queues {
            queue.retain(|w| w.attempt != attempt);
        }
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
