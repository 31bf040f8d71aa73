//! Drives the policies of all nodes and the gates of all targets on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::figures::{Figures, LATE_AFTER, Recorder};
use super::model::{Case, Disturbance, RUN_TIME, SLOTS, WARM_UP, ZONES, draw_bytes, draw_news_age};
use super::policy::{AttemptEnd, PickRequest, Policy};
use crate::coordination::gate::{Admission, AdmissionRequest, Gate, GateAction, GateActions};
use crate::coordination::outcome::Outcome;
use crate::coordination::queue::WorkKind;
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;
use crate::state::routing::Candidate;

/// Time from the arrival of a request until its deadline.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time for which an offered slot is kept free for the node that it was offered to.
const OFFER_TTL: Duration = Duration::from_secs(1);
/// Time for which earlier loads of a target are kept, at least the greatest age of news.
const LOAD_HISTORY: Duration = Duration::from_secs(2);

/// A request sent to a target. Its index in [`Simulation::attempts`] is its attempt id.
#[derive(Clone, Copy)]
struct Attempt {
    node: usize,
    target: usize,
    arrived: Instant,
    work: Duration,
    /// Speed of the target when the attempt started there.
    speed: f64,
}

struct Target {
    gate: Gate,
    /// Loads with the times from which they held, oldest first.
    loads: VecDeque<(Instant, u32)>,
    /// Ends of the offers that have not been used.
    offers: VecDeque<Instant>,
}

impl Target {
    fn load(&self) -> u32 {
        self.gate.running() + self.gate.waiting() as u32
    }

    fn note_load(&mut self, now: Instant) {
        self.loads.push_back((now, self.load()));
        while self.loads.len() > 1 && now - self.loads[1].0 > LOAD_HISTORY {
            self.loads.pop_front();
        }
    }

    fn load_before(&self, age: Duration, now: Instant) -> u32 {
        let held = self.loads.iter().rev().find(|(from, _)| now - *from >= age);
        held.map_or(0, |(_, load)| *load)
    }

    /// Offers one free slot, if there are more than have been offered.
    fn offer(&mut self, now: Instant) -> Option<Instant> {
        self.offers.retain(|until| *until > now);
        let taken = self.load() as usize + self.offers.len();
        (taken < SLOTS as usize).then(|| {
            self.offers.push_back(now + OFFER_TTL);
            now + OFFER_TTL
        })
    }
}

pub(super) struct Simulation<P> {
    case: Case,
    start: Instant,
    now: Instant,
    rng: fastrand::Rng,
    policies: Vec<P>,
    targets: Vec<Target>,
    candidates: Vec<Candidate>,
    attempts: Vec<Attempt>,
    /// When each running attempt completes.
    completions: BinaryHeap<Reverse<(Instant, usize)>>,
    recorder: Recorder,
}

impl<P: Policy> Simulation<P> {
    pub(super) fn new(case: Case, seed: u64) -> Simulation<P> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let target = |_| Target {
            gate: Gate::new(Incarnation(1), SLOTS),
            loads: VecDeque::new(),
            offers: VecDeque::new(),
        };
        let targets = case.fleet.targets;
        let policy = |_| P::new(targets, rng.fork());
        Simulation {
            case,
            start,
            now: start,
            policies: (0..case.fleet.nodes).map(policy).collect(),
            targets: (0..targets).map(target).collect(),
            candidates: case.fleet.candidates(),
            attempts: Vec::new(),
            completions: BinaryHeap::new(),
            recorder: Recorder::new((0..targets).map(|t| case.fleet.speed(t)).collect()),
            rng,
        }
    }

    pub(super) fn run(mut self) -> Figures {
        let rate = self.case.rate();
        let mut next_arrival = self.start;
        while next_arrival < self.start + RUN_TIME {
            while let Some(Reverse((at, id))) = self.completions.peek().copied()
                && at <= next_arrival
            {
                self.completions.pop();
                self.now = at;
                self.complete(id);
            }
            self.record_state(next_arrival - self.now);
            self.now = next_arrival;
            self.arrive();
            next_arrival += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
        }
        self.recorder.figures()
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Time since the start of the measurement, once it has started.
    fn measured(&self) -> Option<Duration> {
        self.elapsed().checked_sub(WARM_UP)
    }

    fn record_state(&mut self, lasted: Duration) {
        if self.measured().is_some() {
            let state = |t: &Target| (t.gate.running(), t.gate.waiting() as u64);
            self.recorder
                .record_state(self.targets.iter().map(state), lasted);
        }
    }

    fn arrive(&mut self) {
        let node = self.case.draw_node(self.elapsed(), &mut self.rng);
        let zone = self.case.fleet.node_zone(node);
        let bytes = draw_bytes(&mut self.rng);
        let picked = self.policies[node].pick(PickRequest {
            candidates: &self.candidates,
            zone: ZONES[zone],
            bytes,
            now: self.now,
        });
        let target = picked.target;
        if picked.by_offer {
            self.targets[target].offers.pop_front();
        }
        if let Some(measured) = self.measured() {
            self.recorder.record_arrival(target, measured);
            let crossed = self.case.fleet.target_zone(target) != zone;
            self.recorder.crossed += u64::from(crossed);
            self.recorder.crossed_bytes += bytes * u64::from(crossed);
        }
        self.attempts.push(Attempt {
            node,
            target,
            arrived: self.now,
            work: self.case.draw_work(&mut self.rng),
            speed: 1.0,
        });
        self.admit(self.attempts.len() - 1, target);
        self.probe(node);
    }

    fn admit(&mut self, id: usize, target: usize) {
        let objective = self.case.service_time().mul_f64(LATE_AFTER);
        let request = AdmissionRequest {
            attempt: AttemptId(id as u128),
            incarnation: Incarnation(1),
            class: Class::Lookup,
            kind: WorkKind {
                priority: 0,
                objective_ms: objective.as_millis() as u32,
            },
            workspace: None,
            objective: Some(self.now + objective),
            age: Duration::ZERO,
            deadline: self.now + DEADLINE,
        };
        let (admission, actions) = self.targets[target].gate.admit(request, self.now);
        self.apply(actions);
        match admission {
            Admission::Run => self.start_attempt(id),
            Admission::Wait | Admission::Repeated => {}
            Admission::Refuse(_) => self.end(id, None),
        }
        self.targets[target].note_load(self.now);
    }

    fn probe(&mut self, node: usize) {
        while let Some(target) = self.policies[node].next_probe() {
            let load = self.reported_load(target, Duration::ZERO);
            self.policies[node].record_probe(target, load, self.now);
            self.recorder.probes += u64::from(self.measured().is_some());
        }
    }

    fn start_attempt(&mut self, id: usize) {
        let target = self.attempts[id].target;
        let speed = self.case.speed_at(target, self.elapsed());
        self.attempts[id].speed = speed;
        let service_time = self.attempts[id].work.div_f64(speed);
        self.completions
            .push(Reverse((self.now + service_time, id)));
    }

    fn complete(&mut self, id: usize) {
        let attempt = self.attempts[id];
        let gate = &mut self.targets[attempt.target].gate;
        let actions = gate.finish(AttemptId(id as u128), Outcome::Answered, self.now);
        self.apply(actions);
        let response_time = self.now - attempt.arrived;
        if self.measured().is_some() {
            let late = response_time > self.case.service_time().mul_f64(LATE_AFTER);
            self.recorder.answered += 1;
            self.recorder.late += u64::from(late);
            self.recorder
                .record_completion(attempt.target, attempt.speed);
        }
        self.targets[attempt.target].note_load(self.now);
        self.end(id, Some(response_time));
    }

    /// Passes the end of an attempt to the policy of its node.
    fn end(&mut self, id: usize, response_time: Option<Duration>) {
        let Attempt { node, target, .. } = self.attempts[id];
        let refused = response_time.is_none() && self.measured().is_some();
        self.recorder.refused += u64::from(refused);
        let age = draw_news_age(&mut self.rng);
        let load = self.reported_load(target, age);
        let offer = match P::USES_OFFERS && response_time.is_some() {
            true => self.targets[target].offer(self.now),
            false => None,
        };
        self.policies[node].record(AttemptEnd {
            candidates: &self.candidates,
            target,
            response_time,
            load,
            offer,
            now: self.now,
        });
    }

    fn reported_load(&self, target: usize, age: Duration) -> u32 {
        let is_wrong = self.case.disturbance == Disturbance::WrongLoad && target == 0;
        match is_wrong {
            true => 0,
            false => self.targets[target].load_before(age, self.now),
        }
    }

    fn apply(&mut self, actions: GateActions) {
        for action in actions {
            match action {
                GateAction::Run(a) => self.start_attempt(a.0 as usize),
                GateAction::Refuse(a, _) => self.end(a.0 as usize, None),
            }
        }
    }
}
