//! Stateful fuzz test of membership: packet loss, kills, pauses, restarts, network partitions and
//! simultaneous restarts of half of the nodes. Once the faults stop, the nodes must agree on who is
//! alive.

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

const NODE_COUNT: usize = 8;
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Mean latency of a message; single messages take 0.5 to 1.5 times as long.
const MEAN_LATENCY: Duration = Duration::from_millis(20);
/// Guaranteed maximum time from the last fault until no node counts a dead node as alive.
const REMOVAL_TIME_MAX: Duration = Duration::from_secs(12);
/// Guaranteed maximum time from the end of a network partition until both sides have merged.
const MERGE_TIME_MAX: Duration = Duration::from_secs(60);

/// Node of the model.
struct Node {
    members: Members,
    alive: bool,
    /// The process is suspended: it neither ticks nor receives.
    paused: bool,
    incarnation: u64,
    /// Messages that have arrived; a paused node reads them when it resumes.
    inbox: VecDeque<(SocketAddr, Message)>,
}

/// Fleet of nodes and the network between them.
struct Model {
    nodes: Vec<Node>,
    /// Arrival time, sender, receiver and content of each message on the network.
    in_flight: Vec<(Instant, SocketAddr, SocketAddr, Message)>,
    now: Instant,
    loss_percent: u8,
    /// The network separates the first half of the nodes from the second.
    partitioned: bool,
    next_slot_check: Instant,
    rng: fastrand::Rng,
}

/// Address of node `n`.
fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

/// Index of the node with this address.
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

impl Model {
    fn new(seed: u64) -> Model {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let nodes = (0..NODE_COUNT)
            .map(|n| Node {
                members: Members::new(record(n, 1), now, rng.fork()),
                alive: true,
                paused: false,
                incarnation: 1,
                inbox: VecDeque::new(),
            })
            .collect();
        let mut model = Model {
            nodes,
            in_flight: Vec::new(),
            now,
            loss_percent: 0,
            partitioned: false,
            next_slot_check: now,
            rng,
        };
        (1..NODE_COUNT).for_each(|n| model.join(n, 0));
        model
    }

    /// Models a join over TCP: the contact merges the record of the newcomer, and the newcomer
    /// merges all records of the contact.
    fn join(&mut self, newcomer: usize, contact: usize) {
        let now = self.now;
        let own_record = self.nodes[newcomer].members.own_record().clone();
        let table = |n: &Node| -> Vec<MemberRecord> {
            n.members.table().records().map(|r| (**r).clone()).collect()
        };
        self.nodes[contact]
            .members
            .merge_records(&[own_record], now);
        let records = table(&self.nodes[contact]);
        self.nodes[newcomer].members.merge_table(&records, now);
    }

    /// Starts a new incarnation of node `n`, which joins through another live node.
    fn restart(&mut self, n: usize) {
        self.nodes[n].incarnation += 1;
        let incarnation = self.nodes[n].incarnation;
        let rng = self.rng.fork();
        self.nodes[n].members = Members::new(record(n, incarnation), self.now, rng);
        self.nodes[n].alive = true;
        self.nodes[n].paused = false;
        self.nodes[n].inbox.clear();
        let contact =
            (0..NODE_COUNT).find(|p| *p != n && self.nodes[*p].alive && !self.is_separated(n, *p));
        if let Some(contact) = contact {
            self.join(n, contact);
        }
    }

    /// Whether a partition separates two nodes.
    fn is_separated(&self, a: usize, b: usize) -> bool {
        self.partitioned && (a < NODE_COUNT / 2) != (b < NODE_COUNT / 2)
    }

    /// Puts messages on the network; `loss_percent` of them are lost.
    fn send(&mut self, from: usize, outbox: Outbox) {
        for (to, message) in outbox {
            if self.rng.u8(..100) >= self.loss_percent {
                let arrival = self.now + MEAN_LATENCY.mul_f64(0.5 + self.rng.f64());
                self.in_flight.push((arrival, address(from), to, message));
            }
        }
    }

    /// Advances the clock by one tick period, delivers the messages that have arrived, and runs the
    /// tick of every node that is neither dead nor paused.
    fn tick(&mut self) {
        self.now += TICK_PERIOD;
        self.join_slot_holders();
        let now = self.now;
        let (due, not_due): (Vec<_>, Vec<_>) = self.in_flight.drain(..).partition(|m| m.0 <= now);
        self.in_flight = not_due;
        for (_, from, to, message) in due {
            let n = index(to);
            if self.nodes[n].alive && !self.is_separated(index(from), n) {
                self.nodes[n].inbox.push_back((from, message));
            }
        }
        for n in 0..NODE_COUNT {
            if !self.nodes[n].alive || self.nodes[n].paused {
                continue;
            }
            let mut outbox = Outbox::new();
            self.nodes[n].members.tick(Version(1), now, &mut outbox);
            while let Some((from, message)) = self.nodes[n].inbox.pop_front() {
                self.nodes[n]
                    .members
                    .receive(from, message, now, &mut outbox);
            }
            self.send(n, outbox);
        }
    }

    /// Models joins through the watcher slots: every 10 s, each node joins the slot holders of both
    /// zones that it does not count as alive. The first running node of a zone holds its slot.
    fn join_slot_holders(&mut self) {
        if self.now < self.next_slot_check {
            return;
        }
        self.next_slot_check = self.now + Duration::from_secs(10);
        let running = |n: &Node| n.alive && !n.paused;
        let holders: Vec<usize> = [0, 1]
            .into_iter()
            .filter_map(|zone| {
                (zone..NODE_COUNT)
                    .step_by(2)
                    .find(|n| running(&self.nodes[*n]))
            })
            .collect();
        for n in (0..NODE_COUNT)
            .filter(|n| running(&self.nodes[*n]))
            .collect::<Vec<_>>()
        {
            for holder in &holders {
                if *holder != n && !self.sees_alive(n, *holder) && !self.is_separated(n, *holder) {
                    self.join(n, *holder);
                }
            }
        }
    }

    /// Runs ticks until the given time has passed.
    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Whether node `n` counts `peer` as alive.
    fn sees_alive(&self, n: usize, peer: usize) -> bool {
        let record = self.nodes[n].members.table().get(&address(peer));
        record.is_some_and(|r| r.health.is_alive())
    }

    /// Whether every live node counts exactly the live nodes as alive, each in its current
    /// incarnation.
    fn views_agree(&self) -> bool {
        let live = |n: &usize| self.nodes[*n].alive;
        (0..NODE_COUNT).filter(live).all(|n| {
            (0..NODE_COUNT).all(|peer| {
                let record = self.nodes[n].members.table().get(&address(peer));
                let incarnation = record.map(|r| r.incarnation.0);
                self.sees_alive(n, peer) == self.nodes[peer].alive
                    && (!self.nodes[peer].alive
                        || incarnation == Some(self.nodes[peer].incarnation))
            })
        })
    }

    /// Describes the member table of each node, for messages of failed assertions.
    fn describe_views(&self) -> String {
        let mut text = String::new();
        for n in 0..NODE_COUNT {
            let node = &self.nodes[n];
            text += &format!(
                "\n{n} alive={} incarnation={}:",
                node.alive, node.incarnation
            );
            for r in node.members.table().records() {
                let (peer, incarnation) = (index(r.peer), r.incarnation.0);
                text += &format!(" {peer}/{incarnation}.{}={}", r.sequence, r.health);
            }
        }
        text
    }

    /// Runs until all views agree; panics if they do not within the given time.
    fn run_until_views_agree(&mut self, within: Duration, phase: &str) {
        let end = self.now + within;
        while !self.views_agree() {
            assert!(
                self.now < end,
                "{phase}: no agreement on membership within {within:?}{}",
                self.describe_views()
            );
            self.tick();
        }
    }
}

/// Starts or ends a random fault, or lets time pass.
fn apply_random_event(model: &mut Model, u: &mut Unstructured, counts: &mut Counts) {
    let n = number_below(u, NODE_COUNT);
    let live_count = model.nodes.iter().filter(|x| x.alive).count();
    match number_below(u, 12) {
        0 if live_count > 2 => {
            counts.add("kill");
            model.nodes[n].alive = false;
        }
        1 if !model.nodes[n].alive => {
            counts.add("restart");
            model.restart(n);
        }
        2 => {
            counts.add("pause or resume");
            model.nodes[n].paused = !model.nodes[n].paused;
        }
        3 => {
            counts.add("packet loss changed");
            model.loss_percent = number_below(u, 40) as u8;
        }
        4 if chance(u, 40) => {
            counts.add("partition started or ended");
            model.partitioned = !model.partitioned;
        }
        5 if chance(u, 20) && live_count == NODE_COUNT => {
            counts.add("half of the nodes restarted");
            (0..NODE_COUNT / 2).for_each(|n| model.nodes[n].alive = false);
            model.run_for(Duration::from_secs(2));
            (0..NODE_COUNT / 2).for_each(|n| model.restart(n));
        }
        _ => model.run_for(Duration::from_millis(number_below(u, 4000) as u64)),
    }
}

#[test]
fn live_nodes_agree_on_membership_after_faults_stop() {
    fuzz::run("members", 60, 300, |u, counts| {
        let mut model = Model::new(u.arbitrary().unwrap_or(0));
        while !u.is_empty() {
            apply_random_event(&mut model, u, counts);
            counts.add("steps");
        }
        model.loss_percent = 0;
        model.partitioned = false;
        model.nodes.iter_mut().for_each(|n| n.paused = false);
        model.run_until_views_agree(MERGE_TIME_MAX, "after random faults");
    });
}

#[test]
fn a_dead_node_is_removed_and_live_nodes_stay() {
    let mut model = Model::new(7);
    model.run_for(Duration::from_secs(5));
    model.nodes[3].alive = false;
    model.run_until_views_agree(REMOVAL_TIME_MAX, "after one node died");
}

#[test]
fn live_nodes_agree_again_after_packet_loss() {
    let mut model = Model::new(8);
    model.loss_percent = 20;
    model.run_for(Duration::from_secs(120));
    model.loss_percent = 0;
    model.run_until_views_agree(REMOVAL_TIME_MAX, "after packet loss");
}

#[test]
fn a_node_that_resumes_after_a_pause_declares_no_peer_gone() {
    let mut model = Model::new(9);
    model.run_for(Duration::from_secs(5));
    model.nodes[2].paused = true;
    model.run_for(Duration::from_secs(20));
    assert!(
        !model.sees_alive(0, 2),
        "the paused node must not count as alive"
    );
    model.nodes[2].paused = false;
    let declared = model.nodes[2].members.counts().declared;
    model.run_until_views_agree(REMOVAL_TIME_MAX, "after the pause");
    assert_eq!(
        model.nodes[2].members.counts().declared,
        declared,
        "the resumed node must not declare a peer gone"
    );
    assert!(model.nodes[2].members.counts().pauses > 0);
}

#[test]
fn a_partitioned_fleet_merges_after_the_partition_heals() {
    let mut model = Model::new(10);
    model.run_for(Duration::from_secs(5));
    model.partitioned = true;
    model.run_for(Duration::from_secs(120));
    assert!(
        !model.sees_alive(0, NODE_COUNT - 1),
        "the other side of the partition must not count as alive"
    );
    model.partitioned = false;
    model.run_until_views_agree(MERGE_TIME_MAX, "after the partition");
}

#[test]
fn a_late_record_of_an_old_incarnation_is_ignored() {
    let mut model = Model::new(11);
    model.run_for(Duration::from_secs(5));
    let old_record = model.nodes[1].members.own_record().clone();
    model.nodes[1].alive = false;
    model.run_for(Duration::from_millis(500));
    model.restart(1);
    model.run_for(Duration::from_secs(3));
    // A late record says that the old incarnation is gone; the current one must not be affected.
    let mut late = old_record;
    late.health = Health::Gone;
    late.sequence = 1000;
    let now = model.now;
    assert_eq!(model.nodes[0].members.merge_records(&[late], now), 0);
    model.run_until_views_agree(REMOVAL_TIME_MAX, "after the restart");
}
