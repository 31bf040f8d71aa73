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
pub const PRIORITY_LEVELS: usize = 4;
/// Waiting attempts of one level, for each slot.
const QUEUE_PER_SLOT: usize = 8;
/// Every so many dispatches, the attempt that waits longest goes first, whatever its priority.
const OLDEST_FIRST_EVERY: u32 = 8;
/// Weight of the newest sample in a mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Share of the mean service time that must be left until the deadline: most requests take less
/// than the mean.
const DEADLINE_MARGIN: f64 = 0.25;
/// Share of the mean service time with which a request may still meet its objective.
const OBJECTIVE_MARGIN: f64 = 0.5;
/// Mean service times that must fit between a wait and the objective. Service times spread widely,
/// so one mean would let two of five that waited miss it.
const WAIT_HEADROOM: f64 = 1.5;
/// Wait, in mean service times, that is always worth while: of a request that is past its
/// objective, or that cannot meet it at this target even without a wait.
const LATE_WAIT_MAX: f64 = 0.5;
/// Weight of the newest arrival in the share of a kind's arrivals that are refused.
const REFUSAL_RATE_WEIGHT: f64 = 0.02;
/// Share of refusals beyond which the overload is taken to last.
const SUSTAINED_REFUSAL_RATE: f64 = 0.1;
/// Wait that is told while an overload lasts: longer than most callers have.
const SUSTAINED_OVERLOAD_WAIT: Duration = Duration::from_secs(2);
/// Largest share of the slots that more urgent work is taken to keep.
const RESERVED_SHARE_MAX: f64 = 0.8;
/// Kinds of work whose service times are told apart; further ones share the mean of all.
const KINDS_MAX: usize = 64;

/// Work whose service times are alike: requests of routes of one priority and objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// Rank; zero is the highest.
    pub priority: u8,
    /// The route's latency objective, in milliseconds; zero for none.
    pub objective: u32,
}

impl WorkKind {
    fn level(self) -> usize {
        usize::from(self.priority).min(PRIORITY_LEVELS - 1)
    }
}

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAttempt {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// What sort of work it is.
    pub class: Class,
    /// Whose service times it shares.
    pub kind: WorkKind,
    /// When it came.
    pub enqueued_at: Instant,
    /// When its latency objective passes.
    pub objective: Option<Instant>,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

impl QueuedAttempt {
    /// When it should be answered at the latest to be worth most.
    fn due(&self) -> Instant {
        self.objective.unwrap_or(self.deadline)
    }
}

/// What the target can take now.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Attempts at the target.
    pub running: u32,
    /// Most attempts at the target.
    pub limit: u32,
    /// Whether bulk transfers may take another slot.
    pub bulk_allowed: bool,
}

impl Capacity {
    fn is_open(&self) -> bool {
        self.running < self.limit
    }
}

/// Whether an attempt may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It may.
    Accept,
    /// It is turned away.
    Refuse(NotRun),
}

/// The waiting attempts of one gate, and the service times that the decisions rest on.
#[derive(Debug, Default)]
pub struct Queue {
    /// Each level by the time at which its attempts are due.
    levels: [Vec<QueuedAttempt>; PRIORITY_LEVELS],
    /// Mean service times, in seconds.
    mean_by_kind: HashMap<WorkKind, f64>,
    /// Mean over all kinds, in seconds; zero before the first answer.
    overall_mean: f64,
    /// Share of each kind's recent arrivals that were refused.
    refusal_rates: HashMap<WorkKind, f64>,
    /// Attempts of each kind at the target.
    running_by_kind: HashMap<WorkKind, u32>,
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
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_mean)
    }

    /// Takes in the service time of an answered attempt.
    pub fn record_service_time(&mut self, kind: WorkKind, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if self.overall_mean == 0.0 {
            self.overall_mean = elapsed;
        }
        self.overall_mean += (elapsed - self.overall_mean) * SERVICE_TIME_WEIGHT;
        if self.mean_by_kind.len() < KINDS_MAX || self.mean_by_kind.contains_key(&kind) {
            let mean = self.mean_by_kind.entry(kind).or_insert(elapsed);
            *mean += (elapsed - *mean) * SERVICE_TIME_WEIGHT;
        }
    }

    /// Decides whether an attempt may wait, or run at once where there is room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::queue::{QueueDecision, WorkKind, Queue, Capacity, QueuedAttempt};
    /// use tarragoncourse::state::id::AttemptId;
    /// use tarragoncourse::state::object::Class;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let kind = WorkKind { priority: 1, objective: 50 };
    /// let mut queue = Queue::default();
    /// queue.record_service_time(kind, Duration::from_millis(60));
    /// let attempt = QueuedAttempt {
    ///     attempt: AttemptId(1),
    ///     class: Class::Order,
    ///     kind,
    ///     enqueued_at: now,
    ///     objective: Some(now + Duration::from_millis(50)),
    ///     deadline: now + Duration::from_secs(1),
    /// };
    /// let full = Capacity { running: 1, limit: 1, bulk_allowed: true };
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
        let level = attempt.kind.level();
        let mean = self.mean_for(attempt.kind);
        let wait = self.wait_until_turn(level, attempt.due(), capacity, now);
        let wait = wait.div_f64(1.0 - self.reserved_share(attempt.kind, capacity));
        let least = mean.mul_f64(DEADLINE_MARGIN);
        if now + wait.max(least) >= attempt.deadline {
            return QueueDecision::Refuse(NotRun::Deadline);
        }
        if self.levels[level].len() >= capacity.limit.max(1) as usize * QUEUE_PER_SLOT {
            return QueueDecision::Refuse(NotRun::QueueFull);
        }
        let Some(objective) = attempt.objective.filter(|_| !wait.is_zero()) else {
            return QueueDecision::Accept;
        };
        // Where the work alone takes as long as the objective allows, refusing helps nobody.
        let slack = objective.saturating_duration_since(now);
        let max_wait = slack.saturating_sub(mean.mul_f64(WAIT_HEADROOM));
        let max_wait = max_wait.max(mean.mul_f64(LATE_WAIT_MAX));
        if wait > max_wait || now + wait + mean > attempt.deadline {
            return QueueDecision::Refuse(NotRun::QueueFull);
        }
        QueueDecision::Accept
    }

    /// Counts an arrival, and whether it was refused.
    pub fn record_arrival(&mut self, kind: WorkKind, refused: bool) {
        if self.refusal_rates.len() < KINDS_MAX || self.refusal_rates.contains_key(&kind) {
            let share = f64::from(u8::from(refused));
            let refusal_rate = self.refusal_rates.entry(kind).or_default();
            *refusal_rate += (share - *refusal_rate) * REFUSAL_RATE_WEIGHT;
        }
    }

    /// Counts an attempt that was handed to the target.
    pub fn record_start(&mut self, kind: WorkKind) {
        *self.running_by_kind.entry(kind).or_default() += 1;
    }

    /// Counts an attempt that ended at the target.
    pub fn record_end(&mut self, kind: WorkKind) {
        if let Some(running) = self.running_by_kind.get_mut(&kind) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running_by_kind.remove(&kind);
            }
        }
    }

    /// Time after which somebody of a kind who is refused now may find room. While an overload
    /// lasts, those who come back only take the place of others.
    pub fn expected_backlog(&self, kind: WorkKind, capacity: Capacity) -> Duration {
        let wait = self.expected_wait(kind.priority, capacity);
        match self.is_overload_sustained(kind) {
            true => wait.max(SUSTAINED_OVERLOAD_WAIT),
            false => wait,
        }
    }

    fn is_overload_sustained(&self, kind: WorkKind) -> bool {
        let refusal_rate = self.refusal_rates.get(&kind);
        refusal_rate.is_some_and(|p| *p > SUSTAINED_REFUSAL_RATE)
    }

    /// Time until an attempt of a priority that comes now, with no objective of its own, would be
    /// handed over.
    pub fn expected_wait(&self, priority: u8, capacity: Capacity) -> Duration {
        if capacity.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
        let ahead = self.levels[..=level].iter().flatten();
        self.time_to_drain(ahead, capacity)
    }

    /// Lets an attempt wait.
    pub fn push(&mut self, attempt: QueuedAttempt) {
        let level = &mut self.levels[attempt.kind.level()];
        let at = level.partition_point(|w| w.due() <= attempt.due());
        level.insert(at, attempt);
    }

    /// Takes out the attempt that runs next, if one may.
    pub fn pop_next(&mut self, capacity: Capacity, now: Instant) -> Option<QueuedAttempt> {
        if !capacity.is_open() {
            return None;
        }
        let heads: [Option<usize>; PRIORITY_LEVELS] =
            std::array::from_fn(|l| self.next_in_level(l, capacity, now));
        let urgent = heads.iter().position(Option::is_some)?;
        self.dispatches = self.dispatches.wrapping_add(1);
        let level = match self.dispatches.is_multiple_of(OLDEST_FIRST_EVERY) {
            true => self.longest_waiting(&heads).unwrap_or(urgent),
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
    pub fn remove_expired(&mut self, now: Instant) -> Vec<AttemptId> {
        let mut due = Vec::new();
        let mut levels = std::mem::take(&mut self.levels);
        for queue in &mut levels {
            queue.retain(|w| {
                let late = w.deadline <= now + self.mean_for(w.kind).mul_f64(DEADLINE_MARGIN);
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
    pub fn remove_hopeless(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        let mut too_late = Vec::new();
        let mut ahead = self.mean_service_time();
        let slots = f64::from(capacity.limit.max(1));
        for queue in &self.levels {
            let (timely, late): (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) =
                queue.iter().partition(|w| self.can_meet_objective(w, now));
            let (lost, late): (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) = late
                .into_iter()
                .partition(|w| self.is_overload_sustained(w.kind));
            too_late.extend(lost.iter().map(|w| w.attempt));
            for w in timely.into_iter().chain(late) {
                let mean = self.mean_for(w.kind);
                let done = now + ahead.div_f64(slots) + mean.mul_f64(DEADLINE_MARGIN);
                match done > w.deadline {
                    true => too_late.push(w.attempt),
                    false => ahead += mean,
                }
            }
        }
        for queue in &mut self.levels {
            queue.retain(|w| !too_late.contains(&w.attempt));
        }
        too_late
    }

    /// Takes out everybody, most urgent first.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        let all = self.levels.iter_mut().flat_map(|q| q.drain(..));
        all.map(|w| w.attempt).collect()
    }

    fn mean_for(&self, kind: WorkKind) -> Duration {
        let mean = self.mean_by_kind.get(&kind).copied();
        Duration::from_secs_f64(mean.unwrap_or(self.overall_mean))
    }

    /// Share of the slots that work which goes before a kind keeps, now and while it waits.
    fn reserved_share(&self, kind: WorkKind, capacity: Capacity) -> f64 {
        let before = |k: &WorkKind| (k.level(), k.objective) < (kind.level(), kind.objective);
        let urgent = self.running_by_kind.iter().filter(|(k, _)| before(k));
        let slots: u32 = urgent.map(|(_, n)| n).sum();
        (f64::from(slots) / f64::from(capacity.limit.max(1))).min(RESERVED_SHARE_MAX)
    }

    /// Time until an attempt that is due at some time would be handed over.
    fn wait_until_turn(
        &self,
        level: usize,
        due: Instant,
        capacity: Capacity,
        now: Instant,
    ) -> Duration {
        if capacity.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let urgent = self.levels[..level].iter().flatten();
        // Whoever is late gives way to whoever is not.
        let timely = due > now;
        let before = move |w: &&QueuedAttempt| match timely {
            true => w.due() <= due && self.can_meet_objective(w, now),
            false => w.due() <= due || self.can_meet_objective(w, now),
        };
        let ahead = self.levels[level].iter().filter(before);
        self.time_to_drain(urgent.chain(ahead), capacity)
    }

    /// Time in which the target takes some attempts, and one more slot falls free.
    fn time_to_drain<'a>(
        &self,
        ahead: impl Iterator<Item = &'a QueuedAttempt>,
        capacity: Capacity,
    ) -> Duration {
        let work: Duration = ahead.map(|w| self.mean_for(w.kind)).sum();
        (work + self.mean_service_time()).div_f64(f64::from(capacity.limit.max(1)))
    }

    fn can_meet_objective(&self, w: &QueuedAttempt, now: Instant) -> bool {
        let margin = self.mean_for(w.kind).mul_f64(OBJECTIVE_MARGIN);
        w.objective.is_none_or(|o| now + margin <= o)
    }

    /// The place in a level of the attempt that goes first: the first that can still meet its
    /// objective, or else the first.
    fn next_in_level(&self, level: usize, capacity: Capacity, now: Instant) -> Option<usize> {
        let eligible = |w: &QueuedAttempt| capacity.bulk_allowed || w.class != Class::Bulk;
        let queue = &self.levels[level];
        let first = queue
            .iter()
            .position(|w| eligible(w) && self.can_meet_objective(w, now));
        first.or_else(|| queue.iter().position(eligible))
    }

    fn longest_waiting(&self, heads: &[Option<usize>; PRIORITY_LEVELS]) -> Option<usize> {
        let enqueued_at = |l: &usize| heads[*l].map(|at| self.levels[*l][at].enqueued_at);
        (0..PRIORITY_LEVELS)
            .filter(|l| heads[*l].is_some())
            .min_by_key(enqueued_at)
    }
}
