//! Shares of a target's service in a shortage, by workspace and kind of work. The simulation drives
//! the gate's queue on a virtual clock, without sockets. The baseline queues the same attempts
//! without their workspaces.
//!
//! Requests arrive in an open loop as Poisson processes; service times are exponential.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::{Report, rounded};
use crate::coordination::queue::{Capacity, Charge, Queue, QueueDecision, QueuedAttempt, WorkKind};
use crate::state::id::AttemptId;
use crate::state::object::Class;
use crate::state::workspace::WorkspaceId;

/// Short requests of the highest priority.
pub const LOOKUP: WorkKind = WorkKind {
    priority: 0,
    objective_ms: 60,
};
/// Long requests of a lower priority.
pub const ORDER: WorkKind = WorkKind {
    priority: 1,
    objective_ms: 250,
};
/// Simulated time in which requests arrive, in seconds.
pub const RUN_TIME_S: f64 = 20.0;
/// Deadline of a request, in objectives.
const DEADLINE_OBJECTIVES: u32 = 4;
/// Interval at which attempts that are too late are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Mean service time of a request of the experiment, in milliseconds.
const MEAN_MS: f64 = 100.0;
/// Number of workspaces of the experiment.
const WORKSPACES: u64 = 10;
/// Load of a workspace of the experiment without the surge, as a share of the capacity.
const WORKSPACE_LOAD: f64 = 0.09;
/// Factor by which one workspace exceeds its usual load.
const SURGE: f64 = 7.0;

/// Queue under test.
pub trait Policy: Default {
    /// Lets an attempt arrive; returns the refused attempts, of which it may be one.
    fn arrive(&mut self, a: QueuedAttempt, capacity: Capacity, now: Instant) -> Vec<AttemptId>;
    /// Dequeues the attempt that runs next.
    fn next(&mut self, capacity: Capacity, now: Instant) -> Option<QueuedAttempt>;
    /// Records that an attempt was answered.
    fn end(&mut self, a: &QueuedAttempt, elapsed: Duration);
    /// Removes the attempts that are too late.
    fn expire(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId>;
}

/// The gate's queue, called as the gate does.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// The queue.
    pub queue: Queue,
    charges: HashMap<AttemptId, Charge>,
}

impl Policy for FairQueue {
    fn arrive(&mut self, a: QueuedAttempt, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        let decision = self.queue.check_admission(&a, capacity, now);
        let refused = matches!(decision, QueueDecision::Refuse(_));
        self.queue.record_arrival(a.kind, refused);
        match decision {
            QueueDecision::Refuse(_) => return vec![a.attempt],
            QueueDecision::Accept => self.queue.push(a),
            QueueDecision::Replace(other) => {
                self.queue.remove(other);
                self.queue.push(a);
                return vec![other];
            }
        }
        Vec::new()
    }

    fn next(&mut self, capacity: Capacity, now: Instant) -> Option<QueuedAttempt> {
        let next = self.queue.pop_next(capacity, now)?;
        self.queue.record_start(next.attempt.kind);
        self.charges.insert(next.attempt.attempt, next.charge);
        Some(next.attempt)
    }

    fn end(&mut self, a: &QueuedAttempt, elapsed: Duration) {
        if let Some(charge) = self.charges.remove(&a.attempt) {
            self.queue.record_end(a.kind, charge, elapsed);
            self.queue.record_service_time(a.kind, elapsed);
        }
    }

    fn expire(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        let mut removed = self.queue.remove_expired(now);
        removed.extend(self.queue.remove_too_late(capacity, now));
        removed
    }
}

/// The gate's queue without workspaces.
#[derive(Debug, Default)]
struct SingleFlow(FairQueue);

impl Policy for SingleFlow {
    fn arrive(&mut self, mut a: QueuedAttempt, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        a.workspace = None;
        self.0.arrive(a, capacity, now)
    }

    fn next(&mut self, capacity: Capacity, now: Instant) -> Option<QueuedAttempt> {
        self.0.next(capacity, now)
    }

    fn end(&mut self, a: &QueuedAttempt, elapsed: Duration) {
        self.0.end(a, elapsed);
    }

    fn expire(&mut self, capacity: Capacity, now: Instant) -> Vec<AttemptId> {
        self.0.expire(capacity, now)
    }
}

/// Requests of one workspace and kind.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Workspace of the callers.
    pub workspace: u64,
    /// Kind of work.
    pub kind: WorkKind,
    /// Mean number of requests per second.
    pub per_second: f64,
    /// Mean service time, in milliseconds.
    pub mean_ms: f64,
    /// Time of the first arrivals, in seconds since the start.
    pub from_s: f64,
}

impl Load {
    /// Requests that arrive during the whole run.
    pub fn steady(workspace: u64, kind: WorkKind, per_second: f64, mean_ms: f64) -> Load {
        Load {
            workspace,
            kind,
            per_second,
            mean_ms,
            from_s: 0.0,
        }
    }

    /// Arrival times and service times.
    fn arrivals(&self, rng: &mut fastrand::Rng) -> Vec<(Duration, Duration)> {
        let mut arrivals = Vec::new();
        let mut at = self.from_s;
        loop {
            at += -(1.0 - rng.f64()).ln() / self.per_second;
            if at >= RUN_TIME_S {
                return arrivals;
            }
            let work_ms = self.mean_ms * -(1.0 - rng.f64()).ln();
            let work = Duration::from_secs_f64(work_ms / 1000.0);
            arrivals.push((Duration::from_secs_f64(at), work));
        }
    }
}

/// Number of requests of each load that arrived, and of those that were answered in time.
#[derive(Clone, Debug)]
pub struct Tallies(Vec<(Load, u32, u32)>);

impl Tallies {
    /// Number of requests of the matching loads that were answered in time.
    pub fn answered(&self, matches: impl Fn(&Load) -> bool) -> u32 {
        let matching = self.0.iter().filter(|(load, ..)| matches(load));
        matching.map(|(_, _, answered)| answered).sum()
    }

    /// Share of the requests of the matching loads that were answered in time.
    pub fn served(&self, matches: impl Fn(&Load) -> bool) -> f64 {
        let matching = self.0.iter().filter(|(load, ..)| matches(load));
        let arrived: u32 = matching.map(|(_, arrived, _)| arrived).sum();
        f64::from(self.answered(matches)) / f64::from(arrived.max(1))
    }
}

/// Runs loads through a queue in front of a target with a number of slots.
pub fn simulate<P: Policy>(slots: u32, loads: &[Load], seed: u64) -> Tallies {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut arrivals = Vec::new();
    for (load, n) in loads.iter().zip(0..) {
        let times = load.arrivals(&mut rng).into_iter();
        arrivals.extend(times.map(|(at, work)| (start + at, work, n)));
    }
    arrivals.sort();
    let mut tallies: Vec<(Load, u32, u32)> = loads.iter().map(|l| (*l, 0, 0)).collect();
    let mut load_of = Vec::new();
    let mut target = Target::<P>::new(slots, start);
    for (id, (at, work, n)) in (0..).zip(arrivals) {
        load_of.push(n);
        tallies[n].1 += 1;
        for answered in target.run_until(at) {
            tallies[load_of[answered.0 as usize]].2 += 1;
        }
        let load = &loads[n];
        let attempt = new_attempt(id, Some(load.workspace), load.kind, at);
        target.arrive(attempt, work, at);
    }
    Tallies(tallies)
}

/// Creates an attempt that arrives now.
pub fn new_attempt(
    id: u128,
    workspace: Option<u64>,
    kind: WorkKind,
    now: Instant,
) -> QueuedAttempt {
    let objective = Duration::from_millis(u64::from(kind.objective_ms));
    QueuedAttempt {
        attempt: AttemptId(id),
        class: Class::Order,
        kind,
        workspace: workspace.map(WorkspaceId),
        enqueued_at: now,
        objective: Some(now + objective),
        deadline: now + objective * DEADLINE_OBJECTIVES,
    }
}

/// A queue with a target that runs what it dequeues.
#[derive(Debug)]
pub struct Target<P> {
    policy: P,
    slots: u32,
    expire_at: Instant,
    work: HashMap<AttemptId, Duration>,
    running: HashMap<AttemptId, (QueuedAttempt, Instant)>,
    ends: BinaryHeap<Reverse<(Instant, AttemptId)>>,
}

impl<P: Policy> Target<P> {
    /// Creates an idle target with a number of slots.
    pub fn new(slots: u32, now: Instant) -> Target<P> {
        Target {
            policy: P::default(),
            slots,
            expire_at: now,
            work: HashMap::new(),
            running: HashMap::new(),
            ends: BinaryHeap::new(),
        }
    }

    /// Attempts at the target.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.keys().copied()
    }

    /// Lets an attempt arrive; returns the refused ones.
    pub fn arrive(&mut self, a: QueuedAttempt, work: Duration, now: Instant) -> Vec<AttemptId> {
        self.work.insert(a.attempt, work);
        let refused = self.policy.arrive(a, self.capacity(), now);
        self.dispatch(now);
        refused
    }

    /// Lets the target run until a time; returns the attempts that were answered in time.
    pub fn run_until(&mut self, until: Instant) -> Vec<AttemptId> {
        let mut answered = Vec::new();
        while let Some(Reverse((at, id))) = self.ends.peek().copied().filter(|e| e.0.0 <= until) {
            self.ends.pop();
            if let Some((a, started_at)) = self.running.remove(&id) {
                self.policy.end(&a, at - started_at);
                answered.extend((at <= a.deadline).then_some(id));
            }
            self.dispatch(at);
        }
        if until >= self.expire_at {
            self.policy.expire(self.capacity(), until);
            self.expire_at = until + EXPIRE_INTERVAL;
        }
        answered
    }

    fn capacity(&self) -> Capacity {
        Capacity {
            running: self.running.len() as u32,
            limit: self.slots,
            bulk_allowed: true,
            pace: None,
        }
    }

    fn dispatch(&mut self, now: Instant) {
        while let Some(a) = self.policy.next(self.capacity(), now) {
            let work = self.work.remove(&a.attempt).unwrap_or_default();
            self.ends.push(Reverse((now + work, a.attempt)));
            self.running.insert(a.attempt, (a, now));
        }
    }
}

/// Runs the experiment: one workspace at seven times its load beside nine others, at targets with
/// few and with many slots.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new(&["slots", "queue", "others served", "surge served"]);
    for slots in [1, 2, 4, 14] {
        let loads = surge(slots);
        let cases = [
            ("fair", simulate::<FairQueue>(slots, &loads, seed)),
            ("single flow", simulate::<SingleFlow>(slots, &loads, seed)),
        ];
        for (name, tallies) in cases {
            report.add_row(vec![
                slots.into(),
                name.into(),
                rounded(tallies.served(|l| l.workspace != 0)),
                rounded(tallies.served(|l| l.workspace == 0)),
            ]);
        }
    }
    report
}

/// Equal workspaces, of which the first one sends a multiple of its load.
pub fn surge(slots: u32) -> Vec<Load> {
    let rate = WORKSPACE_LOAD * f64::from(slots) * 1000.0 / MEAN_MS;
    let load = |w| Load::steady(w, ORDER, rate, MEAN_MS);
    let mut loads: Vec<Load> = (0..WORKSPACES).map(load).collect();
    loads[0].per_second *= SURGE;
    loads
}
