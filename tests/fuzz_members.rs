//! Stateful fuzz of membership: loss, kills, freezes, restarts, splits and herds over many nodes'
//! state machines, and what must hold once faults stop.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use fuzz::{Counts, chance, number_below};
use tarragoncourse::coordination::members::{Members, Message, Outbox};
use tarragoncourse::state::id::{Incarnation, Version};
use tarragoncourse::state::member::{Health, MemberRecord};
use tokio::time::Instant;

const NODES: usize = 8;
const TICK: Duration = Duration::from_millis(50);
const LATENCY: Duration = Duration::from_millis(20);
/// Stated bound: a dead node is out everywhere within this time of the last fault.
const OUT_WITHIN: Duration = Duration::from_secs(12);
/// Stated bound: split fleets have merged within this time of the heal.
const MERGED_WITHIN: Duration = Duration::from_secs(60);

struct Node {
    machine: Members,
    alive: bool,
    frozen: bool,
    incarnation: u64,
    inbox: VecDeque<(SocketAddr, Message)>,
}

struct World {
    nodes: Vec<Node>,
    wire: Vec<(Instant, SocketAddr, SocketAddr, Message)>,
    now: Instant,
    loss: u8,
    split: bool,
    next_meeting: Instant,
    rng: fastrand::Rng,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

fn index(a: SocketAddr) -> usize {
    let text = a.ip().to_string();
    let last = text.rsplit('.').next().unwrap();
    last.parse::<usize>().unwrap() - 1
}

fn record(n: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        peer: address(n),
        gate_port: 7001,
        incarnation: Incarnation(incarnation),
        sequence: 0,
        zone: ["a", "b"][n % 2].into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: None,
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let nodes = (0..NODES)
            .map(|n| Node {
                machine: Members::new(record(n, 1), now, rng.fork()),
                alive: true,
                frozen: false,
                incarnation: 1,
                inbox: VecDeque::new(),
            })
            .collect();
        let mut world = World {
            nodes,
            wire: Vec::new(),
            now,
            loss: 0,
            split: false,
            next_meeting: now,
            rng,
        };
        (1..NODES).for_each(|n| world.join(n, 0));
        world
    }

    /// What joining does over TCP: both learn each other's records.
    fn join(&mut self, newcomer: usize, through: usize) {
        let now = self.now;
        let own = self.nodes[newcomer].machine.own().clone();
        let table = |n: &Node| -> Vec<MemberRecord> {
            n.machine.table().records().map(|r| (**r).clone()).collect()
        };
        self.nodes[through].machine.merge_records(&[own], now);
        let records = table(&self.nodes[through]);
        self.nodes[newcomer].machine.merge_table(&records, now);
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n].incarnation += 1;
        let incarnation = self.nodes[n].incarnation;
        let rng = self.rng.fork();
        self.nodes[n].machine = Members::new(record(n, incarnation), self.now, rng);
        self.nodes[n].alive = true;
        self.nodes[n].frozen = false;
        self.nodes[n].inbox.clear();
        let through = (0..NODES).find(|p| *p != n && self.nodes[*p].alive && !self.apart(n, *p));
        if let Some(through) = through {
            self.join(n, through);
        }
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.split && (a < NODES / 2) != (b < NODES / 2)
    }

    fn post(&mut self, from: usize, out: Outbox) {
        for (to, message) in out {
            if self.rng.u8(..100) >= self.loss {
                let at = self.now + LATENCY.mul_f64(0.5 + self.rng.f64());
                self.wire.push((at, address(from), to, message));
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.meet_holders();
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.wire.drain(..).partition(|p| p.0 <= now);
        self.wire = rest;
        for (_, from, to, message) in due {
            let n = index(to);
            if self.nodes[n].alive && !self.apart(index(from), n) {
                self.nodes[n].inbox.push_back((from, message));
            }
        }
        for n in 0..NODES {
            if !self.nodes[n].alive || self.nodes[n].frozen {
                continue;
            }
            let mut out = Outbox::new();
            self.nodes[n].machine.tick(Version(1), now, &mut out);
            while let Some((from, message)) = self.nodes[n].inbox.pop_front() {
                self.nodes[n].machine.receive(from, message, now, &mut out);
            }
            self.post(n, out);
        }
    }

    /// What the watcher slots do: whoever does not know the holder of its zone's slot meets it.
    fn meet_holders(&mut self) {
        if self.now < self.next_meeting {
            return;
        }
        self.next_meeting = self.now + Duration::from_secs(10);
        let awake = |n: &Node| n.alive && !n.frozen;
        let holders: Vec<usize> = [0, 1]
            .into_iter()
            .filter_map(|zone| (zone..NODES).step_by(2).find(|n| awake(&self.nodes[*n])))
            .collect();
        for n in (0..NODES)
            .filter(|n| awake(&self.nodes[*n]))
            .collect::<Vec<_>>()
        {
            for holder in &holders {
                if *holder != n && !self.sees(n, *holder) && !self.apart(n, *holder) {
                    self.join(n, *holder);
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    fn sees(&self, n: usize, peer: usize) -> bool {
        let held = self.nodes[n].machine.table().get(&address(peer));
        held.is_some_and(|r| r.health.is_alive())
    }

    /// Whether every live node sees exactly the live nodes, each in its present life.
    fn agreed(&self) -> bool {
        let live = |n: &usize| self.nodes[*n].alive;
        (0..NODES).filter(live).all(|n| {
            (0..NODES).all(|peer| {
                let held = self.nodes[n].machine.table().get(&address(peer));
                let life = held.map(|r| r.incarnation.0);
                self.sees(n, peer) == self.nodes[peer].alive
                    && (!self.nodes[peer].alive || life == Some(self.nodes[peer].incarnation))
            })
        })
    }

    /// Who sees whom, for a failure's message.
    fn views(&self) -> String {
        let mut text = String::new();
        for n in 0..NODES {
            let node = &self.nodes[n];
            text += &format!("\n{n} alive={} life={}:", node.alive, node.incarnation);
            for r in node.machine.table().records() {
                let (peer, life) = (index(r.peer), r.incarnation.0);
                text += &format!(" {peer}/{life}.{}={}", r.sequence, r.health);
            }
        }
        text
    }

    fn until_agreed(&mut self, within: Duration, what: &str) {
        let end = self.now + within;
        while !self.agreed() {
            assert!(
                self.now < end,
                "{what}: not agreed within {within:?}{}",
                self.views()
            );
            self.tick();
        }
    }
}

fn step(w: &mut World, u: &mut Unstructured, counts: &mut Counts) {
    let n = number_below(u, NODES);
    let live = w.nodes.iter().filter(|x| x.alive).count();
    match number_below(u, 12) {
        0 if live > 2 => {
            counts.add("kill");
            w.nodes[n].alive = false;
        }
        1 if !w.nodes[n].alive => {
            counts.add("restart");
            w.restart(n);
        }
        2 => {
            counts.add("freeze or thaw");
            w.nodes[n].frozen = !w.nodes[n].frozen;
        }
        3 => {
            counts.add("loss changed");
            w.loss = number_below(u, 40) as u8;
        }
        4 if chance(u, 40) => {
            counts.add("split or heal");
            w.split = !w.split;
        }
        5 if chance(u, 20) && live == NODES => {
            counts.add("herd");
            (0..NODES / 2).for_each(|n| w.nodes[n].alive = false);
            w.run(Duration::from_secs(2));
            (0..NODES / 2).for_each(|n| w.restart(n));
        }
        _ => w.run(Duration::from_millis(number_below(u, 4000) as u64)),
    }
}

#[test]
fn live_nodes_agree_on_who_lives_once_faults_stop() {
    fuzz::run("members", 60, 300, |u, counts| {
        let mut w = World::new(u.arbitrary().unwrap_or(0));
        while !u.is_empty() {
            step(&mut w, u, counts);
            counts.add("steps");
        }
        w.loss = 0;
        w.split = false;
        w.nodes.iter_mut().for_each(|n| n.frozen = false);
        w.until_agreed(MERGED_WITHIN, "after random faults");
    });
}

#[test]
fn a_dead_node_is_out_and_the_others_stay() {
    let mut w = World::new(7);
    w.run(Duration::from_secs(5));
    w.nodes[3].alive = false;
    w.until_agreed(OUT_WITHIN, "one node dead");
}

#[test]
fn a_lossy_network_keeps_no_live_node_out() {
    let mut w = World::new(8);
    w.loss = 20;
    w.run(Duration::from_secs(120));
    w.loss = 0;
    w.until_agreed(OUT_WITHIN, "after loss");
}

#[test]
fn a_frozen_node_that_wakes_doubts_itself_first() {
    let mut w = World::new(9);
    w.run(Duration::from_secs(5));
    w.nodes[2].frozen = true;
    w.run(Duration::from_secs(20));
    assert!(!w.sees(0, 2), "the frozen node is out");
    w.nodes[2].frozen = false;
    let declared = w.nodes[2].machine.counts().declared;
    w.until_agreed(OUT_WITHIN, "after the freeze");
    assert_eq!(
        w.nodes[2].machine.counts().declared,
        declared,
        "it declared nobody gone"
    );
    assert!(w.nodes[2].machine.counts().pauses > 0);
}

#[test]
fn a_split_fleet_merges_again() {
    let mut w = World::new(10);
    w.run(Duration::from_secs(5));
    w.split = true;
    w.run(Duration::from_secs(120));
    assert!(!w.sees(0, NODES - 1), "the other side is out");
    w.split = false;
    w.until_agreed(MERGED_WITHIN, "after the heal");
}

#[test]
fn a_returning_incarnation_is_not_confused_with_the_old_one() {
    let mut w = World::new(11);
    w.run(Duration::from_secs(5));
    let old = w.nodes[1].machine.own().clone();
    w.nodes[1].alive = false;
    w.run(Duration::from_millis(500));
    w.restart(1);
    w.run(Duration::from_secs(3));
    // A late claim about the old life changes nothing.
    let mut late = old;
    late.health = Health::Gone;
    late.sequence = 1000;
    let now = w.now;
    assert_eq!(w.nodes[0].machine.merge_records(&[late], now), 0);
    w.until_agreed(OUT_WITHIN, "after the restart");
}
