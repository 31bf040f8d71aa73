//! Queue of a gate: which attempts may wait, which one runs next, and which are refused.
//!
//! The queue is designed for overload: more requests arrive than the target's slots can run, with
//! several priorities and widely varying service times. A response is worth most within the latency
//! objective of its request, less until the deadline, and nothing afterwards. Waiting only helps
//! while the wait is short compared to the objective, so a request that would miss its objective is
//! refused on arrival, while its caller can still do something else.
//!
//! Queued attempts run in order of priority, and by earliest objective within a priority. Short
//! lookups thereby overtake long work, which matters because other requests occupy slots while they
//! wait for the results of lookups. Attempts that have missed their objective run last.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::NotRun;
use super::pace::Pace;
use crate::state::id::AttemptId;
use crate::state::object::Class;

/// Number of priority levels; all lower ranks share the last level.
pub const PRIORITY_LEVELS: usize = 4;
/// Maximum number of queued attempts per level and slot.
const QUEUED_PER_SLOT_MAX: usize = 8;
/// Once in this many dispatches, the attempt that has waited longest runs next, regardless of its
/// priority, for fairness between the levels.
const OLDEST_FIRST_EVERY: u32 = 8;
/// Weight of the newest sample in a mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Share of the mean service time that must remain until the deadline; otherwise the request is
/// refused. It is below one because most requests take less than the mean.
const DEADLINE_MARGIN: f64 = 0.25;
/// Share of the mean service time that must remain until the objective for the objective to count
/// as reachable.
const OBJECTIVE_MARGIN: f64 = 0.5;
/// Number of mean service times that must remain between the end of the wait and the objective.
/// Service times vary widely: with a headroom of one mean, two in five queued requests would miss
/// their objective.
const WAIT_HEADROOM: f64 = 1.5;
/// Wait, in mean service times, that is accepted even for a request that is past its objective, or
/// that could not meet it at this target even without waiting.
const LATE_WAIT_MAX: f64 = 0.5;
/// Weight of the newest arrival of a kind in the moving average of its share of refused arrivals.
const REFUSAL_RATE_WEIGHT: f64 = 0.02;
/// Share of refused arrivals of a kind above which the overload of this kind counts as sustained.
const SUSTAINED_REFUSAL_RATE: f64 = 0.1;
/// Minimum backlog reported during a sustained overload; longer than most callers can wait.
const SUSTAINED_OVERLOAD_WAIT: Duration = Duration::from_secs(2);
/// Maximum share of the slots that is assumed to be occupied by more urgent work.
const RESERVED_SHARE_MAX: f64 = 0.8;
/// Maximum number of kinds of work with separate statistics. Further kinds use the mean service
/// time of all kinds, and their overload never counts as sustained.
const KINDS_MAX: usize = 64;

/// Kind of work with similar service times: requests of routes with the same priority and latency
/// objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// Priority rank; zero is the highest.
    pub priority: u8,
    /// Latency objective of the route, in milliseconds; zero for none.
    pub objective_ms: u32,
}

impl WorkKind {
    fn level(self) -> usize {
        usize::from(self.priority).min(PRIORITY_LEVELS - 1)
    }
}

/// Attempt that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Class of the request.
    pub class: Class,
    /// Kind of work.
    pub kind: WorkKind,
    /// Time at which the attempt was queued.
    pub enqueued_at: Instant,
    /// Time at which the latency objective passes.
    pub objective: Option<Instant>,
    /// Time at which the caller's deadline passes.
    pub deadline: Instant,
}

impl QueuedAttempt {
    /// Time by which the attempt should be answered: its objective, or its deadline if it has none.
    fn due(&self) -> Instant {
        self.objective.unwrap_or(self.deadline)
    }
}

/// Current load and limit of the target, which decide whether it can accept another attempt.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of attempts at the target.
    pub running: u32,
    /// Maximum number of attempts at the target.
    pub limit: u32,
    /// Whether bulk transfers may occupy another slot.
    pub bulk_allowed: bool,
    /// The pace at which attempts may be sent, if the target names a rate.
    pub pace: Option<Pace>,
}

impl Capacity {
    fn is_open(&self) -> bool {
        self.running < self.limit && self.pace.is_none_or(Pace::is_open)
    }

    /// Time until the pace allows an attempt that has `ahead` others before it.
    fn pace_delay(&self, ahead: usize) -> Duration {
        self.pace.map_or(Duration::ZERO, |p| p.delay(ahead))
    }
}

/// Expected wait of an attempt.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedWait {
    time: Duration,
    /// Whether the target's rate, rather than its slots, determines the time.
    paced: bool,
}

impl ExpectedWait {
    /// Reason for a refusal because of this wait; `unpaced` if the slots determine the wait.
    fn refusal(self, unpaced: NotRun) -> NotRun {
        match self.paced {
            true => NotRun::RateLimited,
            false => unpaced,
        }
    }
}

/// Decision on whether an attempt may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The attempt may be queued.
    Accept,
    /// The attempt is refused.
    Refuse(NotRun),
}

/// Queued attempts of one gate, and the statistics on which decisions are based.
#[derive(Debug, Default)]
pub struct Queue {
    /// Queued attempts by priority level; each level is ordered by [`QueuedAttempt::due`].
    levels: [Vec<QueuedAttempt>; PRIORITY_LEVELS],
    /// Mean service time of each kind, in seconds.
    mean_by_kind: HashMap<WorkKind, f64>,
    /// Mean service time of all kinds, in seconds; zero before the first response.
    overall_mean: f64,
    /// Moving average of the share of each kind's arrivals that were refused.
    refusal_rates: HashMap<WorkKind, f64>,
    /// Number of attempts of each kind at the target.
    running_by_kind: HashMap<WorkKind, u32>,
    /// Number of attempts that were dequeued to run.
    dispatches: u32,
}

impl Queue {
    /// Number of queued attempts.
    pub fn len(&self) -> usize {
        self.levels.iter().map(Vec::len).sum()
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(Vec::is_empty)
    }

    /// Mean service time of all answered attempts.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_mean)
    }

    /// Records the service time of an answered attempt.
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

    /// Decides whether an attempt may be queued; if a slot is free, it can run at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::queue::{
    ///     Capacity, Queue, QueueDecision, QueuedAttempt, WorkKind,
    /// };
    /// use tarragoncourse::state::id::AttemptId;
    /// use tarragoncourse::state::object::Class;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let kind = WorkKind { priority: 1, objective_ms: 50 };
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
    /// let full = Capacity { running: 1, limit: 1, bulk_allowed: true, pace: None };
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
        let expected = self.wait_until_turn(level, attempt.due(), capacity, now);
        let reserved_share = self.reserved_share(attempt.kind, capacity);
        let wait = expected.time.div_f64(1.0 - reserved_share);
        let min_time = mean.mul_f64(DEADLINE_MARGIN);
        if now + min_time >= attempt.deadline {
            return QueueDecision::Refuse(NotRun::Deadline);
        }
        if now + wait >= attempt.deadline {
            return QueueDecision::Refuse(expected.refusal(NotRun::QueueFull));
        }
        if self.levels[level].len() >= capacity.limit.max(1) as usize * QUEUED_PER_SLOT_MAX {
            return QueueDecision::Refuse(NotRun::QueueFull);
        }
        let Some(objective) = attempt.objective.filter(|_| !wait.is_zero()) else {
            return QueueDecision::Accept;
        };
        // If the service time alone exceeds the objective, refusing the request helps nobody, so a
        // wait of up to `LATE_WAIT_MAX` mean service times is accepted.
        let time_left = objective.saturating_duration_since(now);
        let max_wait = time_left.saturating_sub(mean.mul_f64(WAIT_HEADROOM));
        let max_wait = max_wait.max(mean.mul_f64(LATE_WAIT_MAX));
        if wait > max_wait || now + wait + mean > attempt.deadline {
            return QueueDecision::Refuse(expected.refusal(NotRun::QueueFull));
        }
        QueueDecision::Accept
    }

    /// Records an arrival and whether it was refused.
    pub fn record_arrival(&mut self, kind: WorkKind, refused: bool) {
        if self.refusal_rates.len() < KINDS_MAX || self.refusal_rates.contains_key(&kind) {
            let sample = f64::from(u8::from(refused));
            let refusal_rate = self.refusal_rates.entry(kind).or_default();
            *refusal_rate += (sample - *refusal_rate) * REFUSAL_RATE_WEIGHT;
        }
    }

    /// Records that an attempt was sent to the target.
    pub fn record_start(&mut self, kind: WorkKind) {
        *self.running_by_kind.entry(kind).or_default() += 1;
    }

    /// Records that an attempt at the target ended.
    pub fn record_end(&mut self, kind: WorkKind) {
        if let Some(running) = self.running_by_kind.get_mut(&kind) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running_by_kind.remove(&kind);
            }
        }
    }

    /// Time after which an attempt of this kind that is refused now may be admitted. During a
    /// sustained overload the time is longer, because callers that retry only take the place of
    /// others.
    pub fn expected_backlog(&self, kind: WorkKind, capacity: Capacity) -> Duration {
        let wait = self.expected_wait(kind.priority, capacity);
        match self.is_overload_sustained(kind) {
            true => wait.max(SUSTAINED_OVERLOAD_WAIT),
            false => wait,
        }
    }

    fn is_overload_sustained(&self, kind: WorkKind) -> bool {
        let refusal_rate = self.refusal_rates.get(&kind);
        refusal_rate.is_some_and(|rate| *rate > SUSTAINED_REFUSAL_RATE)
    }

    /// Expected wait of an attempt that arrives now with this priority and without an objective.
    pub fn expected_wait(&self, priority: u8, capacity: Capacity) -> Duration {
        if capacity.is_open() && self.is_empty() {
            return Duration::ZERO;
        }
        let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
        let ahead = self.levels[..=level].iter().flatten();
        self.time_to_drain(ahead, capacity).time
    }

    /// Queues an attempt.
    pub fn push(&mut self, attempt: QueuedAttempt) {
        let level = &mut self.levels[attempt.kind.level()];
        let at = level.partition_point(|a| a.due() <= attempt.due());
        level.insert(at, attempt);
    }

    /// Removes and returns the attempt that runs next, if a slot is free for one.
    pub fn pop_next(&mut self, capacity: Capacity, now: Instant) -> Option<QueuedAttempt> {
        if !capacity.is_open() {
            return None;
        }
        let candidates: [Option<usize>; PRIORITY_LEVELS] =
            std::array::from_fn(|l| self.next_in_level(l, capacity, now));
        let most_urgent = candidates.iter().position(Option::is_some)?;
        self.dispatches = self.dispatches.wrapping_add(1);
        let level = match self.dispatches.is_multiple_of(OLDEST_FIRST_EVERY) {
            true => self.longest_waiting(&candidates).unwrap_or(most_urgent),
            false => most_urgent,
        };
        Some(self.levels[level].remove(candidates[level]?))
    }

    /// Removes an attempt.
    pub fn remove(&mut self, attempt: AttemptId) {
        for queue in &mut self.levels {
            queue.retain(|a| a.attempt != attempt);
        }
    }

    /// Removes and returns the attempts that can no longer meet their deadline.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<AttemptId> {
        let mut expired = Vec::new();
        let mut levels = std::mem::take(&mut self.levels);
        for queue in &mut levels {
            queue.retain(|a| {
                let late = a.deadline <= now + self.mean_for(a.kind).mul_f64(DEADLINE_MARGIN);
                expired.extend(late.then_some(a.attempt));
                !late
            });
        }
        self.levels = levels;
        expired
    }

    /// Removes and returns the attempts that will miss their deadline because of the attempts ahead
    /// of them, so that their callers are answered now rather than at the deadline. During a
    /// sustained overload of their kind, all attempts that can no longer meet their objective are
    /// removed as well.
    pub fn remove_too_late(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        let mut too_late = Vec::new();
        let mut work_ahead = self.mean_service_time();
        let mut count_ahead = 0;
        let slots = f64::from(capacity.limit.max(1));
        for queue in &self.levels {
            let (timely, late): (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) =
                queue.iter().partition(|a| self.can_meet_objective(a, now));
            let (overloaded, late): (Vec<&QueuedAttempt>, Vec<&QueuedAttempt>) = late
                .into_iter()
                .partition(|a| self.is_overload_sustained(a.kind));
            too_late.extend(overloaded.iter().map(|a| a.attempt));
            for a in timely.into_iter().chain(late) {
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
        }
        for queue in &mut self.levels {
            queue.retain(|a| !too_late.contains(&a.attempt));
        }
        too_late
    }

    /// Removes and returns all attempts, most urgent first.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        let all = self.levels.iter_mut().flat_map(|q| q.drain(..));
        all.map(|a| a.attempt).collect()
    }

    fn mean_for(&self, kind: WorkKind) -> Duration {
        let mean = self.mean_by_kind.get(&kind).copied();
        Duration::from_secs_f64(mean.unwrap_or(self.overall_mean))
    }

    /// Share of the slots occupied by work that runs before this kind. It is assumed to stay
    /// occupied while an attempt of this kind waits.
    fn reserved_share(&self, kind: WorkKind, capacity: Capacity) -> f64 {
        let before = |k: &WorkKind| (k.level(), k.objective_ms) < (kind.level(), kind.objective_ms);
        let urgent = self.running_by_kind.iter().filter(|(k, _)| before(k));
        let slots: u32 = urgent.map(|(_, n)| n).sum();
        (f64::from(slots) / f64::from(capacity.limit.max(1))).min(RESERVED_SHARE_MAX)
    }

    /// Expected wait of an attempt of this level that is due at `due`.
    fn wait_until_turn(
        &self,
        level: usize,
        due: Instant,
        capacity: Capacity,
        now: Instant,
    ) -> ExpectedWait {
        if capacity.is_open() && self.is_empty() {
            return ExpectedWait::default();
        }
        let urgent = self.levels[..level].iter().flatten();
        // Attempts past their objective run after those that can still meet theirs.
        let timely = due > now;
        let before = move |a: &&QueuedAttempt| match timely {
            true => a.due() <= due && self.can_meet_objective(a, now),
            false => a.due() <= due || self.can_meet_objective(a, now),
        };
        let ahead = self.levels[level].iter().filter(before);
        self.time_to_drain(urgent.chain(ahead), capacity)
    }

    /// Expected time until the given attempts have been sent, a slot is free, and the pace allows
    /// one more attempt.
    fn time_to_drain<'a>(
        &self,
        ahead: impl Iterator<Item = &'a QueuedAttempt>,
        capacity: Capacity,
    ) -> ExpectedWait {
        let (mut work, mut count) = (self.mean_service_time(), 0);
        for a in ahead {
            work += self.mean_for(a.kind);
            count += 1;
        }
        // While a rate is named, attempts may wait although slots are free.
        let slot_is_free = capacity.pace.is_some() && capacity.running < capacity.limit;
        let slot_time = match slot_is_free && count == 0 {
            true => Duration::ZERO,
            false => work.div_f64(f64::from(capacity.limit.max(1))),
        };
        let pace_time = capacity.pace_delay(count);
        ExpectedWait {
            time: slot_time.max(pace_time),
            paced: pace_time > slot_time,
        }
    }

    fn can_meet_objective(&self, a: &QueuedAttempt, now: Instant) -> bool {
        let margin = self.mean_for(a.kind).mul_f64(OBJECTIVE_MARGIN);
        a.objective.is_none_or(|o| now + margin <= o)
    }

    /// Position in a level of the attempt that runs next: the first that can still meet its
    /// objective, or else the first.
    fn next_in_level(&self, level: usize, capacity: Capacity, now: Instant) -> Option<usize> {
        let eligible = |a: &QueuedAttempt| capacity.bulk_allowed || a.class != Class::Bulk;
        let queue = &self.levels[level];
        let first = queue
            .iter()
            .position(|a| eligible(a) && self.can_meet_objective(a, now));
        first.or_else(|| queue.iter().position(eligible))
    }

    fn longest_waiting(&self, candidates: &[Option<usize>; PRIORITY_LEVELS]) -> Option<usize> {
        let enqueued_at = |l: &usize| candidates[*l].map(|at| self.levels[*l][at].enqueued_at);
        (0..PRIORITY_LEVELS)
            .filter(|l| candidates[*l].is_some())
            .min_by_key(enqueued_at)
    }
}
