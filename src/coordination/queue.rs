//! Who waits at a gate, who goes first, and who is turned away.
//!
//! The load that this answers: more work arrives than the target's slots can run, of several
//! priorities, each request worth most within its latency objective, less until its deadline and
//! nothing after. Waiting helps only while the wait is short against the objective, so a request
//! that would miss it is refused on arrival, when the caller can still do something else. What is
//! admitted goes by priority; within a priority, requests that can still meet their objective go
//! before those that cannot.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::NotRun;
use crate::state::id::AttemptId;
use crate::state::object::Class;

/// Levels of priority; lower ranks share the last.
pub const LEVELS: usize = 4;
/// Waiting attempts of one level, for each slot.
const QUEUE_PER_SLOT: usize = 8;
/// Every so many dispatches, the attempt that waits longest goes first, whatever its priority.
const FAIR_EVERY: u32 = 8;
/// Weight of the newest sample in a mean service time.
const MEAN_WEIGHT: f64 = 0.05;
/// Share of the mean service time that must be left until the deadline: most requests take less
/// than the mean.
const LAST_CHANCE: f64 = 0.25;
/// Longest wait, in mean service times, of a request that is already past its objective.
const LATE_PATIENCE: f64 = 1.0;

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// What kind of work it is.
    pub class: Class,
    /// Rank; zero is the highest.
    pub priority: u8,
    /// When it came.
    pub since: Instant,
    /// When its latency objective passes.
    pub objective: Option<Instant>,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

impl Waiting {
    fn level(&self) -> usize {
        usize::from(self.priority).min(LEVELS - 1)
    }
}

/// What the target can take now.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Attempts at the target.
    pub running: u32,
    /// Most attempts at the target.
    pub limit: u32,
    /// Whether bulk transfers may take another slot.
    pub bulk: bool,
}

impl Room {
    fn is_open(&self) -> bool {
        self.running < self.limit
    }
}

/// Whether an attempt may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may.
    Enter,
    /// It is turned away.
    Refuse(NotRun),
}

/// The waiting attempts of one gate, and the service times that the decisions rest on.
#[derive(Debug, Default)]
pub struct Queue {
    levels: [VecDeque<Waiting>; LEVELS],
    /// Mean service time by level, in seconds; zero before the first answer.
    means: [f64; LEVELS],
    /// Mean over all levels.
    mean: f64,
    dispatches: u32,
}

impl Queue {
    /// Attempts that wait.
    pub fn len(&self) -> usize {
        self.levels.iter().map(VecDeque::len).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(VecDeque::is_empty)
    }

    /// Mean service time of all answered attempts.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Takes in the service time of an answered attempt.
    pub fn learn(&mut self, priority: u8, took: Duration) {
        let level = usize::from(priority).min(LEVELS - 1);
        let took = took.as_secs_f64();
        for mean in [&mut self.means[level], &mut self.mean] {
            if *mean == 0.0 {
                *mean = took;
            }
            *mean += (took - *mean) * MEAN_WEIGHT;
        }
    }

    /// Decides whether an attempt may wait, or run at once where there is room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::queue::{Entry, Queue, Room, Waiting};
    /// use tarragoncourse::state::id::AttemptId;
    /// use tarragoncourse::state::object::Class;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut queue = Queue::default();
    /// queue.learn(0, Duration::from_millis(60));
    /// let attempt = Waiting {
    ///     attempt: AttemptId(1),
    ///     class: Class::Order,
    ///     priority: 1,
    ///     since: now,
    ///     objective: Some(now + Duration::from_millis(50)),
    ///     deadline: now + Duration::from_secs(1),
    /// };
    /// let full = Room { running: 1, limit: 1, bulk: true };
    /// assert_ne!(queue.admit(&attempt, full, now), Entry::Enter);
    /// let open = Room { running: 0, ..full };
    /// assert_eq!(queue.admit(&attempt, open, now), Entry::Enter);
    /// ```
    pub fn admit(&self, attempt: &Waiting, room: Room, now: Instant) -> Entry {
        let level = attempt.level();
        let wait = self.wait(attempt.priority, room);
        let least = Duration::from_secs_f64(self.mean_of(level) * LAST_CHANCE);
        if now + wait.max(least) >= attempt.deadline {
            return Entry::Refuse(NotRun::Deadline);
        }
        if self.levels[level].len() >= room.limit.max(1) as usize * QUEUE_PER_SLOT {
            return Entry::Refuse(NotRun::QueueFull);
        }
        let Some(objective) = attempt.objective.filter(|_| !wait.is_zero()) else {
            return Entry::Enter;
        };
        let mean = Duration::from_secs_f64(self.mean_of(level));
        let done = now + wait + mean;
        let hopeless = match objective > now {
            true => done > objective,
            false => wait > mean.mul_f64(LATE_PATIENCE) || done > attempt.deadline,
        };
        if hopeless {
            return Entry::Refuse(NotRun::QueueFull);
        }
        Entry::Enter
    }

    /// Time until an attempt of a priority that comes now would be handed over.
    pub fn wait(&self, priority: u8, room: Room) -> Duration {
        let level = usize::from(priority).min(LEVELS - 1);
        if room.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.levels[..=level].iter().enumerate();
        let work: f64 = ahead
            .map(|(l, q)| q.len() as f64 * self.mean_of(l))
            .sum::<f64>();
        Duration::from_secs_f64((work + self.mean) / f64::from(room.limit.max(1)))
    }

    /// Lets an attempt wait.
    pub fn push(&mut self, attempt: Waiting) {
        self.levels[attempt.level()].push_back(attempt);
    }

    /// Takes out the attempt that runs next, if one may.
    pub fn next(&mut self, room: Room, now: Instant) -> Option<Waiting> {
        if !room.is_open() {
            return None;
        }
        let heads: [Option<usize>; LEVELS] = std::array::from_fn(|l| self.head(l, room, now));
        let urgent = heads.iter().position(Option::is_some)?;
        self.dispatches = self.dispatches.wrapping_add(1);
        let level = match self.dispatches.is_multiple_of(FAIR_EVERY) {
            true => self.oldest(&heads).unwrap_or(urgent),
            false => urgent,
        };
        self.levels[level].remove(heads[level]?)
    }

    /// Takes out an attempt.
    pub fn remove(&mut self, attempt: AttemptId) {
        for queue in &mut self.levels {
            queue.retain(|w| w.attempt != attempt);
        }
    }

    /// Takes out the attempts whose deadline cannot be met any more.
    pub fn expire(&mut self, now: Instant) -> Vec<AttemptId> {
        let mut due = Vec::new();
        for level in 0..LEVELS {
            let least = Duration::from_secs_f64(self.mean_of(level) * LAST_CHANCE);
            let late = |w: &Waiting| w.deadline <= now + least;
            let queue = &mut self.levels[level];
            due.extend(queue.iter().filter(|w| late(w)).map(|w| w.attempt));
            queue.retain(|w| !late(w));
        }
        due
    }

    /// Takes out everybody, most urgent first.
    pub fn clear(&mut self) -> Vec<AttemptId> {
        let all = self.levels.iter_mut().flat_map(|q| q.drain(..));
        all.map(|w| w.attempt).collect()
    }

    fn mean_of(&self, level: usize) -> f64 {
        match self.means[level] {
            0.0 => self.mean,
            mean => mean,
        }
    }

    /// The place in a level of the attempt that goes first: the oldest that can still meet its
    /// objective, or else the oldest.
    fn head(&self, level: usize, room: Room, now: Instant) -> Option<usize> {
        let half = Duration::from_secs_f64(self.mean_of(level) / 2.0);
        let may = |w: &Waiting| room.bulk || w.class != Class::Bulk;
        let timely = |w: &Waiting| w.objective.is_none_or(|o| now + half <= o);
        let queue = &self.levels[level];
        let first = queue.iter().position(|w| may(w) && timely(w));
        first.or_else(|| queue.iter().position(may))
    }

    fn oldest(&self, heads: &[Option<usize>; LEVELS]) -> Option<usize> {
        let since = |l: &usize| heads[*l].map(|at| self.levels[*l][at].since);
        (0..LEVELS)
            .filter(|l| heads[*l].is_some())
            .min_by_key(since)
    }
}
