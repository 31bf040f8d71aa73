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
//!
//! Within a priority, workspaces take turns by the service time that they have used ([`fair`]), and
//! a kind of work that priority leaves without service gets a part of the slots ([`shares`]).

mod admission;
mod expiry;
mod fair;
mod level;
mod shares;
mod statistics;
mod wait;

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

pub use self::admission::QueueDecision;
pub use self::fair::{Charge, FLOWS_MAX};
pub use self::level::Dispatch;
use self::level::Level;
use self::shares::KindShares;
use self::statistics::KINDS_MAX;
use super::pace::Pace;
use crate::state::id::AttemptId;
use crate::state::object::Class;
use crate::state::workspace::WorkspaceId;

/// Number of priority levels; all lower ranks share the last level.
pub const PRIORITY_LEVELS: usize = 4;
/// Once in this many dispatches, the attempt that has waited longest runs next, regardless of its
/// priority, for fairness between the levels.
const OLDEST_FIRST_EVERY: u32 = 8;
/// Share of the mean service time that must remain until the deadline; otherwise the request is
/// refused. It is below one because most requests take less than the mean.
const DEADLINE_MARGIN: f64 = 0.25;

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

    /// Kinds with a smaller value run before others.
    fn order(self) -> (usize, u32) {
        (self.level(), self.objective_ms)
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
    /// Workspace of the caller; `None` without workspaces.
    pub workspace: Option<WorkspaceId>,
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

/// Workspaces with queued attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingFlows {
    /// Number of workspaces that wait, counted once a priority level.
    pub count: usize,
    /// The one that is furthest over its share; `None` also for attempts without a workspace.
    pub furthest_over: Option<WorkspaceId>,
}

/// Queued attempts of one gate, and the statistics on which decisions are based.
#[derive(Debug, Default)]
pub struct Queue {
    /// Queued attempts by priority level.
    levels: [Level; PRIORITY_LEVELS],
    shares: KindShares,
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
        self.levels.iter().map(Level::len).sum()
    }

    /// Whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(Level::is_empty)
    }

    /// Workspaces that wait.
    pub fn waiting_flows(&self) -> WaitingFlows {
        let waiting = self.levels.iter().map(|l| l.flows.waiting()).sum();
        let furthest = self.levels.iter().filter_map(|l| {
            let flow = l.flows.furthest_over()?;
            Some((l.flows.excess(flow), l.flows.workspace(flow)))
        });
        let furthest = furthest.max_by(|(a, _), (b, _)| a.total_cmp(b));
        WaitingFlows {
            count: waiting,
            furthest_over: furthest.and_then(|(_, workspace)| workspace),
        }
    }

    /// Queues an attempt.
    pub fn push(&mut self, attempt: QueuedAttempt) {
        let cost = self.cost(attempt.kind);
        self.levels[attempt.kind.level()].insert(attempt, cost);
    }

    /// Removes and returns the attempt that runs next, if a slot is free for one.
    pub fn pop_next(&mut self, capacity: Capacity, now: Instant) -> Option<Dispatch> {
        if !capacity.is_open() {
            return None;
        }
        let next_of = |k: WorkKind| self.next_in_level(k.level(), capacity, now, |a| a.kind == k);
        let guaranteed = self.kind_below_guarantee(capacity.limit, |k| next_of(k).is_some());
        if let Some(kind) = guaranteed {
            let at = next_of(kind)?;
            return Some(self.levels[kind.level()].take(at));
        }
        let candidates: [Option<usize>; PRIORITY_LEVELS] =
            std::array::from_fn(|l| self.next_in_level(l, capacity, now, |_| true));
        let most_urgent = candidates.iter().position(Option::is_some)?;
        self.dispatches = self.dispatches.wrapping_add(1);
        let level = match self.dispatches.is_multiple_of(OLDEST_FIRST_EVERY) {
            true => self.longest_waiting(&candidates).unwrap_or(most_urgent),
            false => most_urgent,
        };
        Some(self.levels[level].take(candidates[level]?))
    }

    /// Removes an attempt.
    pub fn remove(&mut self, attempt: AttemptId) {
        for level in &mut self.levels {
            level.remove_where(|a| a.attempt == attempt);
        }
    }

    /// Removes and returns all attempts, most urgent first.
    pub fn drain(&mut self) -> Vec<AttemptId> {
        let levels = self.levels.iter_mut();
        levels.flat_map(|l| l.remove_where(|_| true)).collect()
    }

    /// Position in a level of the attempt that runs next, of those that match.
    fn next_in_level(
        &self,
        level: usize,
        capacity: Capacity,
        now: Instant,
        matches: impl Fn(&QueuedAttempt) -> bool,
    ) -> Option<usize> {
        let may_run =
            |a: &QueuedAttempt| (capacity.bulk_allowed || a.class != Class::Bulk) && matches(a);
        self.levels[level].next(may_run, |a| !self.can_meet_objective(a, now))
    }

    fn longest_waiting(&self, candidates: &[Option<usize>; PRIORITY_LEVELS]) -> Option<usize> {
        let enqueued_at = |l: &usize| candidates[*l].map(|at| self.levels[*l].get(at).enqueued_at);
        (0..PRIORITY_LEVELS)
            .filter(|l| candidates[*l].is_some())
            .min_by_key(enqueued_at)
    }
}
