//! Simulates the distribution of one version to a large fleet. The simulation drives the
//! distribution state machines of all nodes on a virtual clock. It models the delays within and
//! between zones and regions, lost datagrams, and dead nodes that no other node has detected yet.
//! All nodes share one member table.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::convergence::{put_service, put_team};
use super::{Report, rounded};
use crate::coordination::distribution::{Action, Actions, Distribution, PullReply};
use crate::protocol::wire::WireDelta;
use crate::state::id::{ChangeId, Incarnation, Version};
use crate::state::member::{Health, MemberRecord, MemberTable};
use crate::state::snapshot::{Delta, Snapshot};

/// Number of availability zones, to which the nodes are assigned in turn.
const ZONE_COUNT: usize = 10;
/// Number of regions, to which the zones are assigned in turn.
const REGION_COUNT: usize = 5;
/// One-way delay within a zone, without random variation.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between zones of a region, without random variation.
const SAME_REGION_DELAY: Duration = Duration::from_micros(1400);
/// One-way delay between regions, without random variation.
const CROSS_REGION_DELAY: Duration = Duration::from_millis(60);
/// Interval between ticks of a node's state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between membership probes of a node. A probe and its reply contain the version of
/// their sender.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a fetch without a reply is retried over TCP.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Simulated time after which a run ends even if some nodes do not have the version.
const TIME_LIMIT: Duration = Duration::from_secs(30);
/// Size of an announcement, an acknowledgement or a fetch, and of the envelope of a delta.
const SMALL_MESSAGE_BYTES: u64 = 34;

/// One simulated fleet and its faults.
#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    /// Percentage of datagrams that are lost.
    loss_percent: u32,
    /// Percentage of nodes that are dead although the member table lists them as live.
    dead_percent: u32,
}

/// Simulated faults: percentages of lost datagrams and of dead nodes.
const LOSS_AND_DEAD_PERCENT: [(u32, u32); 4] = [(0, 0), (1, 0), (1, 10), (20, 30)];

/// Simulates fleets of the given sizes with each combination of faults.
pub fn run(sizes: &[usize], seed: u64) -> Report {
    let mut report = Report::new(&[
        "nodes",
        "loss %",
        "dead %",
        "p50 s",
        "p99 s",
        "last s",
        "sent B/node",
        "delta B",
    ]);
    for nodes in sizes {
        for (loss_percent, dead_percent) in LOSS_AND_DEAD_PERCENT {
            let case = Case {
                nodes: *nodes,
                loss_percent,
                dead_percent,
            };
            let mut simulation = Simulation::new(case, seed);
            simulation.run();
            report.add_row(simulation.report_row());
        }
    }
    report
}

/// A scheduled event. Nodes are given by their numbers.
enum Event {
    /// An announcement arrives: sender, receiver, announced version.
    Announce(usize, usize, Version),
    /// An acknowledgement arrives: sender, receiver, acknowledged version.
    Acknowledge(usize, usize, Version),
    /// A fetch arrives: fetching node, node that it fetches from, current version of the fetching
    /// node, fetch id.
    Fetch(usize, usize, Version, u64),
    /// The result of a fetch arrives: fetching node, fetch id, result.
    FetchResult(usize, u64, PullReply),
    /// A tick of a node is due.
    Tick(usize),
    /// A probe of a node is due.
    Probe(usize),
}

/// The state of one simulation.
struct Simulation {
    case: Case,
    now: Instant,
    start: Instant,
    rng: fastrand::Rng,
    table: MemberTable,
    /// Numbers of the nodes in each zone.
    zone_nodes: Vec<Vec<usize>>,
    /// State machine of each node.
    distributions: Vec<Distribution>,
    /// Whether each node is dead.
    dead: Vec<bool>,
    /// All events that were scheduled so far; `None` after an event is handled.
    events: Vec<Option<Event>>,
    /// Due times of the events, with their index in `events`.
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Time from the start until each node adopted the version.
    adoption_times: Vec<Duration>,
    /// Bytes that all nodes have sent, without membership traffic.
    sent_bytes: u64,
    delta_bytes: u64,
}

fn peer_address(n: usize) -> SocketAddr {
    let [_, a, b, c] = (n as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

fn node_index(a: &SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) & 0x00FF_FFFF) as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}

fn zone_name(n: usize) -> String {
    format!("zone-{}", n % ZONE_COUNT)
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let mut table = MemberTable::default();
        let mut zone_nodes = vec![Vec::new(); ZONE_COUNT];
        for n in 0..case.nodes {
            table.merge(&member_record(n));
            zone_nodes[n % ZONE_COUNT].push(n);
        }
        let empty = Arc::new(Snapshot::default());
        let distribution = |rng: &mut fastrand::Rng| Distribution::new(empty.clone(), rng.fork());
        Simulation {
            case,
            now,
            start: now,
            table,
            zone_nodes,
            distributions: (0..case.nodes).map(|_| distribution(&mut rng)).collect(),
            dead: (0..case.nodes)
                .map(|n| n > 0 && rng.u32(..100) < case.dead_percent)
                .collect(),
            rng,
            events: Vec::new(),
            queue: BinaryHeap::new(),
            adoption_times: Vec::new(),
            sent_bytes: 0,
            delta_bytes: 0,
        }
    }

    fn run(&mut self) {
        for n in 0..self.case.nodes {
            let (tick, probe) = (
                self.random_phase(TICK_INTERVAL),
                self.random_phase(PROBE_INTERVAL),
            );
            self.schedule(tick, Event::Tick(n));
            self.schedule(probe, Event::Probe(n));
        }
        self.accept_first_version();
        let live_count = self.dead.iter().filter(|d| !**d).count();
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if self.adoption_times.len() == live_count || self.now - self.start > TIME_LIMIT {
                return;
            }
            if let Some(event) = self.events[id].take() {
                self.handle_event(event);
            }
        }
    }

    /// Node 0 accepts the first version, whose delta has about 600 bytes when encoded, and
    /// announces it.
    fn accept_first_version(&mut self) {
        let mut edits = vec![put_team()];
        edits.extend((0..5).map(|n| put_service(n, 1)));
        let base = Snapshot::default();
        let digest = base.with_edits(&edits).digest();
        let delta = Delta {
            base: Version(0),
            version: Version(1),
            digest,
            change: ChangeId(1),
            author: "admin".to_string(),
            edits,
        };
        let wire = postcard::to_stdvec(&WireDelta::from(&delta));
        self.delta_bytes = wire.map_or(0, |w| w.len() as u64);
        let next = base
            .apply(&delta)
            .expect("the delta was built on this base");
        let mut peers = self.relay_peers(0);
        peers.extend((1..ZONE_COUNT).map(|z| peer_address(self.random_node(z))));
        peers.extend((0..2).map(|_| peer_address(self.random_node(0))));
        let mut out = Actions::new();
        let deltas = vec![Arc::new(delta)];
        self.distributions[0].adopt_if_newer(Arc::new(next), deltas, &peers, self.now, &mut out);
        self.perform(0, out);
    }

    /// Returns a random node of a zone.
    fn random_node(&mut self, zone: usize) -> usize {
        let index = self.rng.usize(..self.zone_nodes[zone].len());
        self.zone_nodes[zone][index]
    }

    /// Returns the peers to which a node relays a version: its neighbours in the ring of its zone,
    /// and a random node.
    fn relay_peers(&mut self, n: usize) -> Vec<SocketAddr> {
        let mut peers = self.table.neighbours(&zone_name(n), &peer_address(n), 1);
        peers.push(peer_address(self.rng.usize(..self.case.nodes)));
        peers.retain(|p| *p != peer_address(n));
        peers
    }

    /// Performs the actions that the state machine of a node has returned.
    fn perform(&mut self, n: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Announce(to, v) => self.send_datagram(n, &to, |t| Event::Announce(n, t, v)),
                Action::Acknowledge(to, v) => {
                    self.send_datagram(n, &to, |t| Event::Acknowledge(n, t, v));
                }
                Action::Pull {
                    from,
                    since,
                    fetch_id,
                } => self.send_fetch(n, &from, since, fetch_id),
                Action::ReadPlatform { fetch_id } => {
                    // A simulated platform read always fails, after four one-way delays.
                    let at = self.now + SAME_REGION_DELAY * 4;
                    self.schedule(at, Event::FetchResult(n, fetch_id, PullReply::Failed));
                }
                Action::Adopt(_) => self.adoption_times.push(self.now - self.start),
            }
        }
    }

    /// Sends a small datagram, which is lost with the probability of the case.
    fn send_datagram(&mut self, from: usize, to: &SocketAddr, event: impl FnOnce(usize) -> Event) {
        let to = node_index(to);
        self.sent_bytes += SMALL_MESSAGE_BYTES;
        if self.rng.u32(..100) >= self.case.loss_percent {
            let at = self.now + self.one_way_delay(from, to);
            self.schedule(at, event(to));
        }
    }

    /// Sends a fetch in a datagram. If it or its reply is lost, it is retried over TCP after the
    /// timeout.
    fn send_fetch(&mut self, n: usize, from: &SocketAddr, since: Version, fetch_id: u64) {
        let from = node_index(from);
        let delay = self.one_way_delay(n, from);
        self.sent_bytes += SMALL_MESSAGE_BYTES;
        let lost = (0..2).any(|_| self.rng.u32(..100) < self.case.loss_percent);
        let at = match lost {
            false => self.now + delay,
            true => self.now + FETCH_TIMEOUT + delay * 5,
        };
        self.schedule(at, Event::Fetch(n, from, since, fetch_id));
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        let mut out = Actions::new();
        match event {
            Event::Announce(from, to, v) if !self.dead[to] => {
                self.distributions[to].handle_announcement(peer_address(from), v, now, &mut out);
                self.perform(to, out);
            }
            Event::Acknowledge(from, to, v) if !self.dead[to] => {
                self.distributions[to].handle_ack(peer_address(from), v);
            }
            Event::Fetch(n, from, since, fetch_id) if !self.dead[from] => {
                let reply = self.distributions[from].answer_pull(since);
                self.sent_bytes += SMALL_MESSAGE_BYTES + self.delta_bytes;
                let at = now + self.one_way_delay(n, from);
                self.schedule(at, Event::FetchResult(n, fetch_id, reply));
            }
            Event::FetchResult(n, fetch_id, reply) => {
                let peers = self.relay_peers(n);
                self.distributions[n].handle_fetch_result(fetch_id, reply, &peers, now, &mut out);
                self.perform(n, out);
            }
            Event::Tick(n) if !self.dead[n] => {
                let ring = self.table.neighbours(&zone_name(n), &peer_address(n), 3);
                let fallbacks = ring.get(2..).unwrap_or_default();
                self.distributions[n].tick(fallbacks, now, &mut out);
                self.perform(n, out);
                self.schedule(now + TICK_INTERVAL, Event::Tick(n));
            }
            Event::Probe(n) if !self.dead[n] => {
                self.probe(n);
                self.schedule(now + PROBE_INTERVAL, Event::Probe(n));
            }
            _ => {}
        }
    }

    /// Sends a probe to a random node. Each of the two nodes receives the version of the other with
    /// the probe or its reply. The bytes are not counted because they are membership traffic.
    fn probe(&mut self, n: usize) {
        let peer = self.rng.usize(..self.case.nodes);
        let lost = self.rng.u32(..100) < self.case.loss_percent;
        if lost || peer == n || self.dead[peer] {
            return;
        }
        for (a, b) in [(n, peer), (peer, n)] {
            let version = self.distributions[b].current().version();
            let mut out = Actions::new();
            self.distributions[a].handle_version(peer_address(b), version, self.now, &mut out);
            self.perform(a, out);
        }
    }

    /// Returns a random one-way delay between two nodes: 90 to 120 % of the value for their
    /// distance.
    fn one_way_delay(&mut self, a: usize, b: usize) -> Duration {
        let (a, b) = (a % ZONE_COUNT, b % ZONE_COUNT);
        let base = if a == b {
            SAME_ZONE_DELAY
        } else if a % REGION_COUNT == b % REGION_COUNT {
            SAME_REGION_DELAY
        } else {
            CROSS_REGION_DELAY
        };
        base.mul_f64(0.9 + self.rng.f64() * 0.3)
    }

    /// Returns a random time within the first interval, so that the timers of the nodes are not
    /// synchronized.
    fn random_phase(&mut self, interval: Duration) -> Instant {
        self.now + interval.mul_f64(self.rng.f64())
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn report_row(&mut self) -> Vec<Value> {
        self.adoption_times.sort();
        let live_count = self.dead.iter().filter(|d| !**d).count();
        let quantile = |q: f64| {
            let index = (live_count as f64 * q).ceil() as usize - 1;
            let time = self.adoption_times.get(index);
            time.map_or(Value::Null, |d| rounded(d.as_secs_f64()))
        };
        vec![
            Value::from(self.case.nodes),
            Value::from(self.case.loss_percent),
            Value::from(self.case.dead_percent),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            rounded(self.sent_bytes as f64 / live_count as f64),
            Value::from(self.delta_bytes),
        ]
    }
}

fn member_record(n: usize) -> MemberRecord {
    MemberRecord {
        peer: peer_address(n),
        gate_port: 7001,
        incarnation: Incarnation(1),
        sequence: 0,
        zone: zone_name(n).into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: None,
    }
}
