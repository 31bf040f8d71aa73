//! Who waits at a gate, who goes first, and who is turned away.
//!
//! The load that this answers: more work arrives than the target's slots can run, of several
//! priorities and of very different lengths, each request worth most within its latency objective,
//! less until its deadline and nothing after. Waiting helps only while the wait is short against
//! the objective, so a request that would miss it is refused on arrival, when its caller can still
//! do something else. What is admitted goes by priority; within a priority the earliest objective
//! goes first, so that short lookups, for which other requests wait and hold slots, pass the long
//! work between them. Requests that have missed their objective go last.

use std::collections::HashMap;
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
/// Share of the mean service time with which a request may still meet its objective.
const LAST_HOPE: f64 = 0.5;
/// Mean service times that must fit between a wait and the objective. Service times spread widely,
/// so one mean would let two of five that waited miss it.
const HEADROOM: f64 = 1.5;
/// Wait, in mean service times, that is always worth while: of a request that is past its
/// objective, or that cannot meet it at this target even without a wait.
const LATE_PATIENCE: f64 = 0.5;
/// Weight of the newest arrival in the share of a kind's arrivals that are refused.
const PRESSURE_WEIGHT: f64 = 0.02;
/// Share of refusals beyond which the overload is taken to last.
const PRESSURE_LASTING: f64 = 0.1;
/// Wait that is told while an overload lasts: longer than most callers have.
const LASTING_WAIT: Duration = Duration::from_secs(2);
/// Largest share of the slots that more urgent work is taken to keep.
const KEPT_MAX: f64 = 0.8;
/// Kinds of work whose service times are told apart; further ones share the mean of all.
const KINDS_MAX: usize = 64;

/// Work whose service times are alike: requests of routes of one priority and objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Kind {
    /// Rank; zero is the highest.
    pub priority: u8,
    /// The route's latency objective, in milliseconds; zero for none.
    pub objective: u32,
}

impl Kind {
    fn level(self) -> usize {
        usize::from(self.priority).min(LEVELS - 1)
    }
}

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// What sort of work it is.
    pub class: Class,
    /// Whose service times it shares.
    pub kind: Kind,
    /// When it came.
    pub since: Instant,
    /// When its latency objective passes.
    pub objective: Option<Instant>,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

impl Waiting {
    /// When it should be answered at the latest to be worth most.
    fn due(&self) -> Instant {
        self.objective.unwrap_or(self.deadline)
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
    /// Each level by the time at which its attempts are due.
    levels: [Vec<Waiting>; LEVELS],
    /// Mean service times, in seconds.
    means: HashMap<Kind, f64>,
    /// Mean over all kinds, in seconds; zero before the first answer.
    mean: f64,
    /// Share of each kind's recent arrivals that were refused.
    pressure: HashMap<Kind, f64>,
    /// Attempts of each kind at the target.
    running: HashMap<Kind, u32>,
    dispatches: u32,
}

impl Queue {
    /// Attempts that wait.
    pub fn len(&self) -> usize {
        self.levels.iter().map(Vec::len).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(Vec::is_empty)
    }

    /// Mean service time of all answered attempts.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Takes in the service time of an answered attempt.
    pub fn learn(&mut self, kind: Kind, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = took;
        }
        self.mean += (took - self.mean) * MEAN_WEIGHT;
        if self.means.len() < KINDS_MAX || self.means.contains_key(&kind) {
            let mean = self.means.entry(kind).or_insert(took);
            *mean += (took - *mean) * MEAN_WEIGHT;
        }
    }

    /// Decides whether an attempt may wait, or run at once where there is room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::queue::{Entry, Kind, Queue, Room, Waiting};
    /// use tarragoncourse::state::id::AttemptId;
    /// use tarragoncourse::state::object::Class;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let kind = Kind { priority: 1, objective: 50 };
    /// let mut queue = Queue::default();
    /// queue.learn(kind, Duration::from_millis(60));
    /// let attempt = Waiting {
    ///     attempt: AttemptId(1),
    ///     class: Class::Order,
    ///     kind,
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
        let level = attempt.kind.level();
        let mean = self.mean_of(attempt.kind);
        let wait = self.wait_before(level, attempt.due(), room, now);
        let wait = wait.div_f64(1.0 - self.kept(attempt.kind, room));
        let least = mean.mul_f64(LAST_CHANCE);
        if now + wait.max(least) >= attempt.deadline {
            return Entry::Refuse(NotRun::Deadline);
        }
        if self.levels[level].len() >= room.limit.max(1) as usize * QUEUE_PER_SLOT {
            return Entry::Refuse(NotRun::QueueFull);
        }
        let Some(objective) = attempt.objective.filter(|_| !wait.is_zero()) else {
            return Entry::Enter;
        };
        // Where the work alone takes as long as the objective allows, refusing helps nobody.
        let slack = objective.saturating_duration_since(now);
        let patience = slack.saturating_sub(mean.mul_f64(HEADROOM));
        let patience = patience.max(mean.mul_f64(LATE_PATIENCE));
        if wait > patience || now + wait + mean > attempt.deadline {
            return Entry::Refuse(NotRun::QueueFull);
        }
        Entry::Enter
    }

    /// Counts an arrival, and whether it was refused.
    pub fn arrived(&mut self, kind: Kind, refused: bool) {
        if self.pressure.len() < KINDS_MAX || self.pressure.contains_key(&kind) {
            let share = f64::from(u8::from(refused));
            let pressure = self.pressure.entry(kind).or_default();
            *pressure += (share - *pressure) * PRESSURE_WEIGHT;
        }
    }

    /// Counts an attempt that was handed to the target.
    pub fn started(&mut self, kind: Kind) {
        *self.running.entry(kind).or_default() += 1;
    }

    /// Counts an attempt that ended at the target.
    pub fn ended(&mut self, kind: Kind) {
        if let Some(running) = self.running.get_mut(&kind) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&kind);
            }
        }
    }

    /// Time after which somebody of a kind who is refused now may find room. While an overload
    /// lasts, those who come back only take the place of others.
    pub fn room_after(&self, kind: Kind, room: Room) -> Duration {
        let wait = self.wait(kind.priority, room);
        match self.is_lasting(kind) {
            true => wait.max(LASTING_WAIT),
            false => wait,
        }
    }

    fn is_lasting(&self, kind: Kind) -> bool {
        let pressure = self.pressure.get(&kind);
        pressure.is_some_and(|p| *p > PRESSURE_LASTING)
    }

    /// Time until an attempt of a priority that comes now, with no objective of its own, would be
    /// handed over.
    pub fn wait(&self, priority: u8, room: Room) -> Duration {
        if room.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let level = usize::from(priority).min(LEVELS - 1);
        let ahead = self.levels[..=level].iter().flatten();
        self.time_for(ahead, room)
    }

    /// Lets an attempt wait.
    pub fn push(&mut self, attempt: Waiting) {
        let level = &mut self.levels[attempt.kind.level()];
        let at = level.partition_point(|w| w.due() <= attempt.due());
        level.insert(at, attempt);
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
        Some(self.levels[level].remove(heads[level]?))
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
        let mut levels = std::mem::take(&mut self.levels);
        for queue in &mut levels {
            queue.retain(|w| {
                let late = w.deadline <= now + self.mean_of(w.kind).mul_f64(LAST_CHANCE);
                due.extend(late.then_some(w.attempt));
                !late
            });
        }
        self.levels = levels;
        due
    }

    /// Takes out the attempts that those ahead of them will keep until it is too late, so that their
    /// callers hear of it now and not at the deadline. While an overload lasts, that holds for all
    /// that have missed their objective.
    pub fn prune(&mut self, room: Room, now: Instant) -> Vec<AttemptId> {
        let mut hopeless = Vec::new();
        let mut ahead = self.mean();
        let slots = f64::from(room.limit.max(1));
        for queue in &self.levels {
            let (timely, late): (Vec<&Waiting>, Vec<&Waiting>) =
                queue.iter().partition(|w| self.is_timely(w, now));
            let (lost, late): (Vec<&Waiting>, Vec<&Waiting>) =
                late.into_iter().partition(|w| self.is_lasting(w.kind));
            hopeless.extend(lost.iter().map(|w| w.attempt));
            for w in timely.into_iter().chain(late) {
                let mean = self.mean_of(w.kind);
                let done = now + ahead.div_f64(slots) + mean.mul_f64(LAST_CHANCE);
                match done > w.deadline {
                    true => hopeless.push(w.attempt),
                    false => ahead += mean,
                }
            }
        }
        for queue in &mut self.levels {
            queue.retain(|w| !hopeless.contains(&w.attempt));
        }
        hopeless
    }

    /// Takes out everybody, most urgent first.
    pub fn clear(&mut self) -> Vec<AttemptId> {
        let all = self.levels.iter_mut().flat_map(|q| q.drain(..));
        all.map(|w| w.attempt).collect()
    }

    fn mean_of(&self, kind: Kind) -> Duration {
        let mean = self.means.get(&kind).copied();
        Duration::from_secs_f64(mean.unwrap_or(self.mean))
    }

    /// Share of the slots that work which goes before a kind keeps, now and while it waits.
    fn kept(&self, kind: Kind, room: Room) -> f64 {
        let before = |k: &Kind| (k.level(), k.objective) < (kind.level(), kind.objective);
        let urgent = self.running.iter().filter(|(k, _)| before(k));
        let slots: u32 = urgent.map(|(_, n)| n).sum();
        (f64::from(slots) / f64::from(room.limit.max(1))).min(KEPT_MAX)
    }

    /// Time until an attempt that is due at some time would be handed over.
    fn wait_before(&self, level: usize, due: Instant, room: Room, now: Instant) -> Duration {
        if room.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let urgent = self.levels[..level].iter().flatten();
        // Whoever is late gives way to whoever is not.
        let timely = due > now;
        let before = move |w: &&Waiting| match timely {
            true => w.due() <= due && self.is_timely(w, now),
            false => w.due() <= due || self.is_timely(w, now),
        };
        let ahead = self.levels[level].iter().filter(before);
        self.time_for(urgent.chain(ahead), room)
    }

    /// Time in which the target takes some attempts, and one more slot falls free.
    fn time_for<'a>(&self, ahead: impl Iterator<Item = &'a Waiting>, room: Room) -> Duration {
        let work: Duration = ahead.map(|w| self.mean_of(w.kind)).sum();
        (work + self.mean()).div_f64(f64::from(room.limit.max(1)))
    }

    fn is_timely(&self, w: &Waiting, now: Instant) -> bool {
        let hope = self.mean_of(w.kind).mul_f64(LAST_HOPE);
        w.objective.is_none_or(|o| now + hope <= o)
    }

    /// The place in a level of the attempt that goes first: the first that can still meet its
    /// objective, or else the first.
    fn head(&self, level: usize, room: Room, now: Instant) -> Option<usize> {
        let may = |w: &Waiting| room.bulk || w.class != Class::Bulk;
        let queue = &self.levels[level];
        let first = queue.iter().position(|w| may(w) && self.is_timely(w, now));
        first.or_else(|| queue.iter().position(may))
    }

    fn oldest(&self, heads: &[Option<usize>; LEVELS]) -> Option<usize> {
        let since = |l: &usize| heads[*l].map(|at| self.levels[*l][at].since);
        (0..LEVELS)
            .filter(|l| heads[*l].is_some())
            .min_by_key(since)
    }
}
