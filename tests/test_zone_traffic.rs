//! Membership of a fleet of 300 nodes in five availability zones: news reaches every node, and little
//! of it crosses zones.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tarragoncourse::coordination::members::{Members, Message, Outbox};
use tarragoncourse::state::id::{Incarnation, Version};
use tarragoncourse::state::member::{Health, MemberRecord};
use tokio::time::Instant;

const NODE_COUNT: usize = 300;
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time within which a change must be known to all nodes.
const NEWS_TIME_MAX: Duration = Duration::from_secs(8);
/// Time within which a dead node must be removed by all nodes.
const REMOVAL_TIME_MAX: Duration = Duration::from_secs(12);

fn address(n: usize) -> SocketAddr {
    let [a, b] = (n as u16).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7000))
}

fn index(a: SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, a, b] = ip.octets();
            usize::from(u16::from_be_bytes([a, b]))
        }
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn zone(n: usize) -> &'static str {
    ZONES[n % ZONES.len()]
}

fn record(n: usize) -> MemberRecord {
    MemberRecord {
        peer: address(n),
        gate_port: 7001,
        incarnation: Incarnation(1),
        sequence: 0,
        zone: zone(n).into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: None,
    }
}

/// Number of records in a message.
fn record_count(message: &Message) -> usize {
    match message {
        Message::Ping { records, .. }
        | Message::Ack { records, .. }
        | Message::Gossip { records } => records.len(),
        Message::PingRequest { .. } | Message::TableDigests { .. } => 0,
    }
}

/// A fleet whose nodes know each other, and a network that delivers each message one tick later.
struct Fleet {
    nodes: Vec<Members>,
    /// Nodes that neither send nor receive.
    dead: Vec<usize>,
    network: VecDeque<(SocketAddr, SocketAddr, Message)>,
    now: Instant,
    /// Records sent, and those of them that were sent to another zone.
    sent_records: usize,
    crossing_records: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let records: Vec<_> = (0..NODE_COUNT).map(record).collect();
        let mut nodes: Vec<_> = (0..NODE_COUNT)
            .map(|n| Members::new(record(n), now, rng.fork()))
            .collect();
        for members in &mut nodes {
            members.merge_table(&records, now);
        }
        let mut fleet = Fleet {
            nodes,
            dead: Vec::new(),
            network: VecDeque::new(),
            now,
            sent_records: 0,
            crossing_records: 0,
        };
        // Ends the gossip about the initial records.
        for _ in 0..400 {
            fleet.tick();
        }
        (fleet.sent_records, fleet.crossing_records) = (0, 0);
        fleet
    }

    fn tick(&mut self) {
        self.now += TICK_PERIOD;
        let mut sent = VecDeque::new();
        let arrived = std::mem::take(&mut self.network);
        for (from, to, message) in arrived {
            if self.dead.contains(&index(to)) {
                continue;
            }
            let mut out = Outbox::new();
            self.nodes[index(to)].receive(from, message, self.now, &mut out);
            sent.extend(out.into_iter().map(|(next, message)| (to, next, message)));
        }
        for n in (0..NODE_COUNT).filter(|n| !self.dead.contains(n)) {
            let mut out = Outbox::new();
            self.nodes[n].tick(Version(1), self.now, &mut out);
            sent.extend(
                out.into_iter()
                    .map(|(to, message)| (address(n), to, message)),
            );
        }
        for (from, to, message) in &sent {
            let records = record_count(message);
            self.sent_records += records;
            if zone(index(*from)) != zone(index(*to)) {
                self.crossing_records += records;
            }
        }
        self.network = sent;
    }

    /// Runs until all live nodes meet a condition, and returns the time that it took.
    fn run_until(&mut self, max: Duration, condition: impl Fn(&Members) -> bool) -> Duration {
        let started = self.now;
        while self.now - started <= max {
            let mut live = (0..NODE_COUNT).filter(|n| !self.dead.contains(n));
            if live.all(|n| condition(&self.nodes[n])) {
                return self.now - started;
            }
            self.tick();
        }
        panic!("condition not met within {max:?}");
    }
}

fn health_of(members: &Members, n: usize) -> Option<Health> {
    members.table().get(&address(n)).map(|r| r.health)
}

#[test]
fn news_reaches_all_zones_and_few_copies_cross_between_them() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.nodes[7].update_own(|r| r.health = Health::Down);
        let time = fleet.run_until(NEWS_TIME_MAX, |m| health_of(m, 7) == Some(Health::Down));
        for _ in 0..100 {
            fleet.tick();
        }
        let share = fleet.crossing_records as f64 / fleet.sent_records as f64;
        println!(
            "seed={seed} time={time:?} sent={} crossing={share:.2}",
            fleet.sent_records
        );
        // Random peers would be in another zone four times out of five.
        assert!(
            share <= 0.25,
            "share of the copies that crossed zones: {share}"
        );
    }
}

#[test]
fn a_dead_node_is_removed_in_all_zones() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.dead.push(11);
        let time = fleet.run_until(REMOVAL_TIME_MAX, |m| health_of(m, 11) == Some(Health::Gone));
        println!("seed={seed} time={time:?}");
    }
}
