//! Stateful fuzz of the gate against a plain record of what was handed to the target and what
//! senders were told.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use fuzz::{Counts, chance, number_below};
use tarragoncourse::coordination::gate::{
    Admission, AdmissionRequest, Gate, VoidOutcome, Wakeup, Wakeups,
};
use tarragoncourse::coordination::outcome::{NotRun, Outcome, UnknownReason};
use tarragoncourse::coordination::queue::WorkKind;
use tarragoncourse::state::id::{AttemptId, Incarnation};
use tarragoncourse::state::object::Class;
use tokio::time::Instant;

const SLOTS: u32 = 4;

/// An attempt that its sender knows of.
#[derive(Clone, Copy)]
struct Sent {
    attempt: AttemptId,
    incarnation: Incarnation,
    sent: Instant,
    deadline: Instant,
    class: Class,
}

struct World {
    gate: Gate,
    incarnation: Incarnation,
    now: Instant,
    next: u128,
    /// Sent and not yet arrived; a broken link may deliver late.
    link: Vec<Sent>,
    waiting: HashMap<AttemptId, Sent>,
    at_target: Vec<AttemptId>,
    arrived: HashSet<AttemptId>,
    handed: HashSet<AttemptId>,
    told_not_run: HashSet<AttemptId>,
    all: Vec<Sent>,
}

impl World {
    fn new() -> World {
        let incarnation = Incarnation(1);
        World {
            gate: Gate::new(incarnation, SLOTS),
            incarnation,
            now: Instant::now(),
            next: 0,
            link: Vec::new(),
            waiting: HashMap::new(),
            at_target: Vec::new(),
            arrived: HashSet::new(),
            handed: HashSet::new(),
            told_not_run: HashSet::new(),
            all: Vec::new(),
        }
    }

    fn send(&mut self, u: &mut Unstructured) {
        self.next += 1;
        let sent = Sent {
            attempt: AttemptId(self.next),
            incarnation: self.incarnation,
            sent: self.now,
            deadline: self.now + Duration::from_millis(number_below(u, 4000) as u64 + 1),
            class: Class::ALL[number_below(u, 4)],
        };
        self.link.push(sent);
        self.all.push(sent);
    }

    fn arrive(&mut self, sent: Sent) {
        let first = self.arrived.insert(sent.attempt);
        let offer = AdmissionRequest {
            attempt: sent.attempt,
            incarnation: sent.incarnation,
            class: sent.class,
            kind: WorkKind {
                priority: sent.class.priority(),
                objective: 0,
            },
            objective: None,
            age: self.now - sent.sent,
            deadline: sent.deadline,
        };
        let (admission, wakes) = self.gate.admit(offer, self.now);
        self.wake(wakes);
        match admission {
            Admission::Run => self.hand(sent.attempt),
            Admission::Wait => drop(self.waiting.insert(sent.attempt, sent)),
            Admission::Refuse(_) if first => self.tell_not_run(sent.attempt),
            // The sender sent once and hears of the first copy; a later one can only be a
            // replay on the wire. It must not run; what it is answered reaches nobody.
            Admission::Refuse(_) => {}
            Admission::Repeated => {}
        }
    }

    fn hand(&mut self, attempt: AttemptId) {
        assert!(self.handed.insert(attempt), "{attempt} ran twice");
        assert!(
            !self.told_not_run.contains(&attempt),
            "{attempt} ran after `not run`"
        );
        self.at_target.push(attempt);
        assert!(self.at_target.len() <= SLOTS as usize, "over the slots");
    }

    fn tell_not_run(&mut self, attempt: AttemptId) {
        assert!(
            !self.handed.contains(&attempt),
            "{attempt} was told as not run, and ran"
        );
        self.told_not_run.insert(attempt);
    }

    fn wake(&mut self, wakes: Wakeups) {
        for wake in wakes {
            match wake {
                Wakeup::Run(a) => {
                    self.waiting.remove(&a).expect("it waited");
                    self.hand(a);
                }
                Wakeup::Refuse(a, _) => {
                    self.waiting.remove(&a).expect("it waited");
                    self.tell_not_run(a);
                }
            }
        }
    }

    fn finish(&mut self, u: &mut Unstructured, counts: &mut Counts) {
        let at = number_below(u, self.at_target.len());
        let attempt = self.at_target.swap_remove(at);
        let outcome = match number_below(u, 10) {
            0 => {
                counts.add("shed");
                Outcome::NotRun(NotRun::Shed)
            }
            1 => Outcome::Unknown(UnknownReason::TargetBroken),
            _ => Outcome::Answered,
        };
        let wakes = self.gate.finish(attempt, outcome, self.now);
        self.wake(wakes);
    }

    /// The sender's link broke, or the sender was paused for long: it asks for a void.
    fn void(&mut self, u: &mut Unstructured, counts: &mut Counts) {
        let sent = self.all[number_below(u, self.all.len())];
        let age = self.now - sent.sent;
        let (voided, wakes) = self
            .gate
            .void(sent.attempt, sent.incarnation, age, self.now);
        self.wake(wakes);
        match voided {
            VoidOutcome::Fenced => {
                counts.add("fenced");
                assert!(
                    !self.handed.contains(&sent.attempt),
                    "fenced after it was handed over"
                );
                self.told_not_run.insert(sent.attempt);
            }
            VoidOutcome::Ended(Outcome::NotRun(NotRun::Shed)) => counts.add("void of shed"),
            VoidOutcome::Running | VoidOutcome::Ended(_) => {
                counts.add("void too late");
                assert!(
                    self.handed.contains(&sent.attempt),
                    "said to have run, and did not"
                );
            }
            VoidOutcome::Indeterminate => counts.add("cannot tell"),
        }
    }

    fn restart(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.gate = Gate::new(self.incarnation, SLOTS);
        self.waiting.clear();
        self.at_target.clear();
    }

    fn check_waiting(&mut self) {
        let wakes = self.gate.expire(self.now);
        self.wake(wakes);
        let late = self.waiting.values().filter(|w| w.deadline <= self.now);
        assert_eq!(late.count(), 0, "waits beyond its deadline");
        assert_eq!(self.gate.waiting(), self.waiting.len());
        assert_eq!(self.gate.running() as usize, self.at_target.len());
    }
}

fn step(w: &mut World, u: &mut Unstructured, counts: &mut Counts) {
    match number_below(u, 100) {
        0..=29 => w.send(u),
        30..=59 if !w.link.is_empty() => {
            let at = number_below(u, w.link.len());
            let sent = w.link[at];
            if chance(u, 90) {
                w.link.swap_remove(at);
            } else {
                counts.add("delivered twice");
            }
            w.arrive(sent);
        }
        60..=79 if !w.at_target.is_empty() => w.finish(u, counts),
        80..=87 if !w.all.is_empty() => w.void(u, counts),
        88 => {
            counts.add("restart");
            w.restart();
        }
        89 => {
            counts.add("long pause");
            w.now += Duration::from_secs(number_below(u, 100) as u64);
        }
        _ => w.now += Duration::from_millis(number_below(u, 300) as u64),
    }
    w.check_waiting();
}

#[test]
fn an_attempt_runs_at_most_once_and_never_after_not_run() {
    fuzz::run("gate", 300, 4000, |u, counts| {
        let mut w = World::new();
        while !u.is_empty() {
            step(&mut w, u, counts);
            counts.add("steps");
        }
    });
}

fn offer(n: u128, class: Class, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        attempt: AttemptId(n),
        incarnation: Incarnation(1),
        class,
        kind: WorkKind {
            priority: class.priority(),
            objective: 0,
        },
        objective: None,
        age: Duration::ZERO,
        deadline: now + Duration::from_secs(60),
    }
}

#[test]
fn lookups_go_first_and_bulk_is_not_starved() {
    let now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 1);
    assert_eq!(
        gate.admit(offer(0, Class::Lookup, now), now).0,
        Admission::Run
    );
    assert_eq!(
        gate.admit(offer(1, Class::Bulk, now), now).0,
        Admission::Wait
    );
    let mut order = Vec::new();
    let mut running = AttemptId(0);
    for n in 2..20 {
        let later = now + Duration::from_millis(n as u64);
        assert_eq!(
            gate.admit(offer(n, Class::Lookup, later), later).0,
            Admission::Wait
        );
        let wakes = gate.finish(running, Outcome::Answered, later);
        let [Wakeup::Run(next)] = wakes[..] else {
            panic!("one runs next: {wakes:?}");
        };
        order.push(next.0);
        running = next;
    }
    assert_eq!(order[0], 2, "a lookup overtakes the bulk transfer");
    assert!(
        order.contains(&1),
        "the bulk transfer ran while lookups kept coming: {order:?}"
    );
}

#[test]
fn bulk_leaves_slots_for_others() {
    let now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 4);
    let run = |a: (Admission, Wakeups)| a.0 == Admission::Run;
    let handed = (0..4)
        .filter(|n| run(gate.admit(offer(*n, Class::Bulk, now), now)))
        .count();
    assert_eq!(handed, 2);
    assert!(run(gate.admit(offer(9, Class::Lookup, now), now)));
}

#[test]
fn shedding_lowers_the_limit_and_answers_raise_it_again() {
    let mut now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 16);
    let mut attempt = |gate: &mut Gate, outcome| {
        now += Duration::from_millis(2);
        let n = now.elapsed().as_nanos() + u128::from(fastrand::u64(..));
        let o = offer(n, Class::Lookup, now);
        assert_eq!(gate.admit(o, now).0, Admission::Run);
        gate.finish(o.attempt, outcome, now + Duration::from_millis(1));
    };
    (0..20).for_each(|_| attempt(&mut gate, Outcome::NotRun(NotRun::Shed)));
    assert_eq!(gate.limit(), 1);
    (0..200).for_each(|_| attempt(&mut gate, Outcome::Answered));
    assert_eq!(gate.limit(), 16);
}

#[test]
fn an_attempt_long_under_way_is_neither_run_nor_vouched_for() {
    let now = Instant::now();
    let mut gate = Gate::new(Incarnation(1), 4);
    let mut stale = offer(1, Class::Order, now);
    stale.age = Duration::from_secs(31);
    assert_eq!(gate.admit(stale, now).0, Admission::Refuse(NotRun::Stale));
    let (voided, _) = gate.void(AttemptId(2), Incarnation(1), Duration::from_secs(31), now);
    assert_eq!(voided, VoidOutcome::Indeterminate);
}
