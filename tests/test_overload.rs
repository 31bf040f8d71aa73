//! The worst loads, replayed on the decisions alone: who waits, who goes first, who is refused.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use tarragoncourse::coordination::gate::{Admission, AdmissionRequest, Gate, Wakeup, Wakeups};
use tarragoncourse::coordination::outcome::{NotRun, Outcome};
use tarragoncourse::coordination::queue::WorkKind;
use tarragoncourse::coordination::retry::{RetryAllowance, RetryBudgets, retry_after};
use tarragoncourse::coordination::split::weighted_index;
use tarragoncourse::state::id::{AttemptId, Incarnation, Path};
use tarragoncourse::state::object::Class;
use tokio::time::Instant;

const SLOTS: u32 = 14;

/// A sort of requests: share of arrivals, mean work, objective and deadline in milliseconds.
#[derive(Clone, Copy)]
struct Sort {
    share: f64,
    work: f64,
    objective: u64,
    deadline: u64,
}

/// Short lookups, for which other requests wait, beside long orders of the same priority.
const LOOKUP: Sort = Sort {
    share: 0.78,
    work: 15.0,
    objective: 60,
    deadline: 200,
};
const ORDER: Sort = Sort {
    share: 0.22,
    work: 100.0,
    objective: 250,
    deadline: 1000,
};

#[derive(Default)]
struct Tally {
    asked: u32,
    timely: u32,
    late: u32,
    refused: u32,
    /// Refused after waiting for over an eighth of the objective.
    refused_late: u32,
}

struct Model {
    gate: Gate,
    now: Instant,
    rng: fastrand::Rng,
    sorts: HashMap<u128, (Sort, Instant)>,
    ends: BinaryHeap<Reverse<(Instant, u128)>>,
    tallies: HashMap<u64, Tally>,
}

impl Model {
    fn new() -> Model {
        Model {
            gate: Gate::new(Incarnation(1), SLOTS),
            now: Instant::now(),
            rng: fastrand::Rng::with_seed(7),
            sorts: HashMap::new(),
            ends: BinaryHeap::new(),
            tallies: HashMap::new(),
        }
    }

    /// Plays arrivals of a multiple of the capacity for so many seconds.
    fn play(&mut self, load: f64, seconds: u64) {
        let mean = LOOKUP.share * LOOKUP.work + ORDER.share * ORDER.work;
        let rate = load * f64::from(SLOTS) / (mean / 1000.0);
        let end = self.now + Duration::from_secs(seconds);
        let mut next = self.now;
        let mut id = self.sorts.len() as u128;
        while next < end {
            while let Some(Reverse((at, done))) = self.ends.peek().copied() {
                if at > next {
                    break;
                }
                self.ends.pop();
                self.now = at;
                self.finish(done);
            }
            self.now = next;
            id += 1;
            self.arrive(id);
            next += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate);
        }
    }

    fn arrive(&mut self, id: u128) {
        let sort = match self.rng.f64() < LOOKUP.share {
            true => LOOKUP,
            false => ORDER,
        };
        self.sorts.insert(id, (sort, self.now));
        self.tally(sort).asked += 1;
        let millis = Duration::from_millis;
        let offer = AdmissionRequest {
            attempt: AttemptId(id),
            incarnation: Incarnation(1),
            class: Class::Order,
            kind: WorkKind {
                priority: 1,
                objective: sort.objective as u32,
            },
            objective: Some(self.now + millis(sort.objective)),
            age: Duration::ZERO,
            deadline: self.now + millis(sort.deadline),
        };
        let (admission, wakes) = self.gate.admit(offer, self.now);
        self.wake(wakes);
        match admission {
            Admission::Run => self.start(id),
            Admission::Refuse(_) => self.refuse(id),
            Admission::Wait | Admission::Repeated => {}
        }
    }

    fn start(&mut self, id: u128) {
        let (sort, _) = self.sorts[&id];
        // Exponential work: as spread out as the users' is.
        let work = sort.work * -(1.0 - self.rng.f64()).ln();
        let at = self.now + Duration::from_secs_f64(work / 1000.0);
        self.ends.push(Reverse((at, id)));
    }

    fn finish(&mut self, id: u128) {
        let wakes = self.gate.finish(AttemptId(id), Outcome::Answered, self.now);
        let (sort, came) = self.sorts[&id];
        let took = self.now - came;
        let tally = self.tally(sort);
        match took <= Duration::from_millis(sort.objective) {
            true => tally.timely += 1,
            false => tally.late += 1,
        }
        self.wake(wakes);
    }

    fn refuse(&mut self, id: u128) {
        let (sort, came) = self.sorts[&id];
        let held = self.now - came;
        let tally = self.tally(sort);
        tally.refused += 1;
        tally.refused_late += u32::from(held > Duration::from_millis(sort.objective) / 8);
    }

    fn wake(&mut self, wakes: Wakeups) {
        for wake in wakes {
            match wake {
                Wakeup::Run(a) => self.start(a.0),
                Wakeup::Refuse(a, _) => self.refuse(a.0),
            }
        }
    }

    fn tally(&mut self, sort: Sort) -> &mut Tally {
        self.tallies.entry(sort.objective).or_default()
    }
}

#[test]
fn lookups_are_served_and_what_is_admitted_is_timely_at_a_third_over_the_capacity() {
    let mut model = Model::new();
    model.play(1.3, 60);
    let lookups = &model.tallies[&LOOKUP.objective];
    let orders = &model.tallies[&ORDER.objective];
    let share = |n: u32, of: u32| f64::from(n) / f64::from(of);
    assert!(
        share(lookups.timely + lookups.late, lookups.asked) > 0.95,
        "lookups served: {}",
        share(lookups.timely + lookups.late, lookups.asked)
    );
    let answered = orders.timely + orders.late;
    assert!(
        share(orders.timely, answered) > 0.75,
        "answered orders that were timely: {}",
        share(orders.timely, answered)
    );
    for tally in [lookups, orders] {
        assert!(
            share(tally.refused_late, tally.asked) < 0.02,
            "refused after a wait: {}",
            share(tally.refused_late, tally.asked)
        );
    }
}

#[test]
fn under_the_capacity_next_to_nothing_is_refused() {
    let mut model = Model::new();
    model.play(0.6, 60);
    for tally in model.tallies.values() {
        assert!(f64::from(tally.refused) / f64::from(tally.asked) < 0.01);
    }
}

#[test]
fn a_target_that_sheds_half_of_its_requests_keeps_its_slots() {
    let mut now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 12);
    for n in 0..400u128 {
        now += Duration::from_millis(5);
        let offer = AdmissionRequest {
            attempt: AttemptId(n),
            incarnation: Incarnation(1),
            class: Class::Order,
            kind: WorkKind {
                priority: 1,
                objective: 0,
            },
            objective: None,
            age: Duration::ZERO,
            deadline: now + Duration::from_secs(1),
        };
        assert_eq!(gate.admit(offer, now).0, Admission::Run);
        let outcome = match n % 2 {
            0 => Outcome::NotRun(NotRun::Shed),
            _ => Outcome::Answered,
        };
        gate.finish(offer.attempt, outcome, now + Duration::from_millis(1));
    }
    assert!(gate.limit() >= 8, "limit {} of 12", gate.limit());
}

#[test]
fn callers_are_asked_back_while_their_objective_can_be_met() {
    let ms = Duration::from_millis;
    let soon = retry_after(ms(2000), ms(160), 0.0);
    assert!(soon <= ms(80), "{soon:?}");
    let hopeless = retry_after(ms(2000), ms(0), 0.0);
    assert_eq!(hopeless, ms(2000));
    assert!(retry_after(ms(100), ms(0), 1.0) > retry_after(ms(100), ms(0), 0.0));
}

/// Every node of a fleet spends all that it may: together they stay within the fleet's allowance.
#[test]
fn a_fleet_repeats_within_its_allowance() {
    let (ratio, slack, nodes, requests) = (0.2, 62.0, 13, 300);
    let service = Path::new("a/services/b").unwrap();
    let mut repeats = 0;
    for _ in 0..nodes {
        let mut budgets = RetryBudgets::default();
        budgets.set_allowance(RetryAllowance::fleet_share(ratio, slack, nodes));
        for _ in 0..requests {
            budgets.for_service(&service).record_request();
            repeats += u32::from(budgets.for_service(&service).try_spend());
        }
    }
    let most = ratio * f64::from(requests * nodes as u32) + slack;
    assert!(f64::from(repeats) <= most, "{repeats} of {most}");
}

#[test]
fn parts_are_drawn_by_weight_on_every_short_stretch() {
    for from in [0u64, 17, 4000, 1 << 19] {
        let seconds = (from..from + 40).filter(|n| weighted_index(&[90, 10], *n) == 1);
        let count = seconds.count();
        assert!((3..=5).contains(&count), "{count} of 40 from {from}");
    }
    assert_eq!(weighted_index(&[0, 5, 0], 3), 1);
}

/// A target that turned slow takes longer for a lookup than its objective allows. It is still the
/// only one: the lookups go on, a little late.
#[test]
fn a_slow_target_is_not_shut_out_for_good() {
    let mut now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 2);
    let mut refused = 0;
    for n in 0..300u128 {
        let offer = |id: u128, now: Instant| AdmissionRequest {
            attempt: AttemptId(id),
            incarnation: Incarnation(1),
            class: Class::Order,
            kind: WorkKind {
                priority: 1,
                objective: 60,
            },
            objective: Some(now + Duration::from_millis(60)),
            age: Duration::ZERO,
            deadline: now + Duration::from_millis(200),
        };
        // Three come together; each takes 50 ms.
        let mut running = Vec::new();
        for k in 0..3 {
            let o = offer(3 * n + k, now);
            match gate.admit(o, now).0 {
                Admission::Run => running.push(o.attempt),
                Admission::Refuse(_) => refused += 1,
                Admission::Wait | Admission::Repeated => {}
            }
        }
        while !running.is_empty() {
            now += Duration::from_millis(50);
            let ended = std::mem::take(&mut running);
            for attempt in ended {
                for wake in gate.finish(attempt, Outcome::Answered, now) {
                    match wake {
                        Wakeup::Run(a) => running.push(a),
                        Wakeup::Refuse(..) => refused += 1,
                    }
                }
            }
        }
    }
    assert!(refused < 30, "{refused} of 900 refused");
}
