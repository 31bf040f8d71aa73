//! Picking and limiting against plain ways, on the state machines alone and a virtual clock.
//!
//! One service of five targets with twelve slots each, open-loop arrivals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use tokio::time::Instant;

use super::{Report, rounded};
use crate::coordination::gate::{Admission, AdmissionRequest, Gate, Wakeup, Wakeups};
use crate::coordination::outcome::Outcome;
use crate::coordination::pick::{PickCriteria, Picker, TargetFeedback};
use crate::coordination::queue::WorkKind;
use crate::state::id::{AttemptId, Incarnation};
use crate::state::member::Health;
use crate::state::object::Class;
use crate::state::routing::Candidate;

const TARGETS: usize = 5;
const SLOTS: u32 = 12;
/// Ingresses; few see most of the load themselves, many see little of it.
const INGRESSES: [usize; 2] = [4, 200];
const SERVICE: Duration = Duration::from_millis(20);
const TIME: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(2);

/// How a target is picked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    TwoChoices,
    RoundRobin,
    /// Fewest attempts of the ingress's own.
    LeastConnections,
}

/// One load and its targets.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Share of the service's capacity that arrives.
    load: f64,
    /// Factor on the first target's service time.
    slow: f64,
    /// Share of arrivals that are bulk transfers of twenty times the service time.
    bulk: f64,
}

const CASES: [Case; 4] = [
    Case {
        name: "even",
        load: 0.7,
        slow: 1.0,
        bulk: 0.0,
    },
    Case {
        name: "one slow x4",
        load: 0.7,
        slow: 4.0,
        bulk: 0.0,
    },
    Case {
        name: "bulk beside lookups",
        load: 0.8,
        slow: 1.0,
        bulk: 0.05,
    },
    Case {
        name: "overload x1.3",
        load: 1.3,
        slow: 1.0,
        bulk: 0.0,
    },
];

/// Measures each case with each way.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new(&[
        "case",
        "ingresses",
        "way",
        "answered",
        "refused",
        "lookup p50 ms",
        "lookup p99 ms",
        "bulk p99 ms",
    ]);
    for (case, ingresses) in CASES.into_iter().flat_map(|c| INGRESSES.map(|n| (c, n))) {
        for way in [Way::TwoChoices, Way::RoundRobin, Way::LeastConnections] {
            let mut world = World::new(case, way, ingresses, seed);
            world.run();
            let ms = |h: &Histogram<u64>, q| rounded(h.value_at_quantile(q) as f64 / 1000.0);
            report.add_row(vec![
                Value::from(case.name),
                Value::from(ingresses),
                Value::from(format!("{way:?}")),
                Value::from(world.answered),
                Value::from(world.refused),
                ms(&world.lookups, 0.5),
                ms(&world.lookups, 0.99),
                ms(&world.bulk, 0.99),
            ]);
        }
    }
    report
}

#[derive(Clone, Copy)]
struct Job {
    ingress: usize,
    target: usize,
    class: Class,
    began: Instant,
}

struct World {
    case: Case,
    way: Way,
    now: Instant,
    end: Instant,
    rng: fastrand::Rng,
    pickers: Vec<Picker>,
    turns: Vec<usize>,
    own: Vec<[u32; TARGETS]>,
    gates: Vec<Gate>,
    candidates: Vec<Candidate>,
    jobs: Vec<Job>,
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    lookups: Histogram<u64>,
    bulk: Histogram<u64>,
    answered: u64,
    refused: u64,
}

impl World {
    fn new(case: Case, way: Way, ingresses: usize, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let histogram = || Histogram::new(3).expect("three digits are valid");
        World {
            case,
            way,
            now,
            end: now + TIME,
            pickers: (0..ingresses).map(|_| Picker::new(rng.fork())).collect(),
            turns: (0..ingresses).collect(),
            own: vec![[0; TARGETS]; ingresses],
            gates: (0..TARGETS)
                .map(|_| Gate::new(Incarnation(1), SLOTS))
                .collect(),
            candidates: (0..TARGETS).map(candidate).collect(),
            jobs: Vec::new(),
            ends: BinaryHeap::new(),
            lookups: histogram(),
            bulk: histogram(),
            answered: 0,
            refused: 0,
            rng,
        }
    }

    fn run(&mut self) {
        let mean = 1.0 + self.case.bulk * 19.0;
        let capacity = TARGETS as f64 * f64::from(SLOTS) / (SERVICE.as_secs_f64() * mean);
        let rate = self.case.load * capacity;
        let mut next = self.now;
        while next < self.end {
            while let Some(Reverse((at, job))) = self.ends.peek().copied() {
                if at > next {
                    break;
                }
                self.ends.pop();
                self.now = at;
                self.finish(job);
            }
            self.now = next;
            self.arrive();
            next += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
        }
    }

    fn arrive(&mut self) {
        let ingress = self.rng.usize(..self.pickers.len());
        let class = if self.rng.f64() < self.case.bulk {
            Class::Bulk
        } else {
            Class::Lookup
        };
        let target = self.pick(ingress);
        let id = self.jobs.len();
        self.jobs.push(Job {
            ingress,
            target,
            class,
            began: self.now,
        });
        self.own[ingress][target] += 1;
        let offer = AdmissionRequest {
            attempt: AttemptId(id as u128),
            incarnation: Incarnation(1),
            class,
            kind: WorkKind {
                priority: class.priority(),
                objective: 0,
            },
            objective: None,
            age: Duration::ZERO,
            deadline: self.now + DEADLINE,
        };
        let (admission, wakes) = self.gates[target].admit(offer, self.now);
        self.wake(wakes);
        match admission {
            Admission::Run => self.start(id),
            Admission::Wait | Admission::Repeated => {}
            Admission::Refuse(_) => self.refuse(id),
        }
    }

    fn pick(&mut self, ingress: usize) -> usize {
        match self.way {
            Way::RoundRobin => {
                self.turns[ingress] += 1;
                self.turns[ingress] % TARGETS
            }
            Way::LeastConnections => {
                let own = self.own[ingress];
                let first = self.rng.usize(..TARGETS);
                let order = (0..TARGETS).map(|n| (first + n) % TARGETS);
                order.min_by_key(|t| own[*t]).unwrap_or(0)
            }
            Way::TwoChoices => {
                let wanted = PickCriteria {
                    zone: "a",
                    ..PickCriteria::default()
                };
                let picked = self.pickers[ingress].pick(&self.candidates, wanted, self.now);
                let peer = picked.map(|c| c.peer);
                let place = self.candidates.iter().position(|c| Some(c.peer) == peer);
                place.unwrap_or(0)
            }
        }
    }

    fn start(&mut self, id: usize) {
        let job = self.jobs[id];
        let mut time = SERVICE.mul_f64(0.5 + self.rng.f64());
        if job.target == 0 {
            time = time.mul_f64(self.case.slow);
        }
        if job.class == Class::Bulk {
            time *= 20;
        }
        self.ends.push(Reverse((self.now + time, id)));
    }

    fn finish(&mut self, id: usize) {
        let job = self.jobs[id];
        let gate = &mut self.gates[job.target];
        let wakes = gate.finish(AttemptId(id as u128), Outcome::Answered, self.now);
        let load = gate.running() + gate.waiting() as u32;
        self.answered += 1;
        let took = (self.now - job.began).as_micros() as u64;
        match job.class {
            Class::Bulk => self.bulk.record(took).expect("grows as needed"),
            _ => self.lookups.record(took).expect("grows as needed"),
        }
        let timed = (job.class != Class::Bulk).then(|| self.now - job.began);
        self.leave(job, TargetFeedback::Answered(load, timed));
        self.wake(wakes);
    }

    fn refuse(&mut self, id: usize) {
        let job = self.jobs[id];
        let gate = &self.gates[job.target];
        let load = gate.running() + gate.waiting() as u32;
        self.refused += 1;
        self.leave(job, TargetFeedback::Refused(load));
    }

    fn leave(&mut self, job: Job, sign: TargetFeedback) {
        self.own[job.ingress][job.target] -= 1;
        if self.way == Way::TwoChoices {
            let peer = self.candidates[job.target].peer;
            self.pickers[job.ingress].record_feedback(peer, sign, &self.candidates, self.now);
        }
    }

    fn wake(&mut self, wakes: Wakeups) {
        for wake in wakes {
            match wake {
                Wakeup::Run(a) => self.start(a.0 as usize),
                Wakeup::Refuse(a, _) => self.refuse(a.0 as usize),
            }
        }
    }
}

fn candidate(n: usize) -> Candidate {
    let peer = SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000));
    Candidate {
        peer,
        gate_addr: peer,
        incarnation: Incarnation(1),
        zone: "a".into(),
        health: Health::Ready,
        slots: SLOTS,
        ramp: Duration::ZERO,
    }
}
