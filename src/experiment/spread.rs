//! Spread of one version over a large fleet: the distribution state machines of all nodes on a
//! virtual clock, with the distances between zones and regions, loss, and dead nodes that
//! nobody has noticed yet. One shared member table stands for everybody's.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::convergence::{put_service, put_team};
use super::{Report, rounded};
use crate::coordination::distribution::{Action, Actions, Distribution, PullResponse};
use crate::protocol::wire::WireDelta;
use crate::state::id::{ChangeId, Incarnation, Version};
use crate::state::member::{Health, MemberRecord, MemberTable};
use crate::state::snapshot::{Delta, Snapshot};

const ZONES: usize = 10;
const REGIONS: usize = 5;
/// One-way times: within a zone, between zones of a region, between regions.
const NEAR: Duration = Duration::from_micros(300);
const ZONE: Duration = Duration::from_micros(1400);
const REGION: Duration = Duration::from_millis(60);
/// Interval between ticks of a node.
const TICK: Duration = Duration::from_millis(50);
/// Interval between probes, which carry the version.
const PROBE: Duration = Duration::from_secs(1);
/// Time after which an unanswered fetch is asked again over TCP.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time that is followed.
const END: Duration = Duration::from_secs(30);
/// Bytes of an announcement, an acknowledgement, or a fetch, and of a delta's envelope.
const SMALL: u64 = 34;

/// One fleet and its faults.
#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    /// Share of datagrams that are lost, in percent.
    loss: u32,
    /// Share of nodes that are dead and not yet noticed, in percent.
    dead: u32,
}

const FAULTS: [(u32, u32); 4] = [(0, 0), (1, 0), (1, 10), (20, 30)];

/// Measures fleets of the given sizes under each fault.
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
        for (loss, dead) in FAULTS {
            let case = Case {
                nodes: *nodes,
                loss,
                dead,
            };
            let mut world = World::new(case, seed);
            world.run();
            report.add_row(world.row());
        }
    }
    report
}

enum Parcel {
    Announce(usize, usize, Version),
    Acknowledge(usize, usize, Version),
    Fetch(usize, usize, Version, u64),
    Answer(usize, u64, PullResponse),
    Tick(usize),
    Probe(usize),
}

struct World {
    case: Case,
    now: Instant,
    began: Instant,
    rng: fastrand::Rng,
    table: MemberTable,
    zones: Vec<Vec<usize>>,
    machines: Vec<Distribution>,
    dead: Vec<bool>,
    parcels: Vec<Option<Parcel>>,
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    times: Vec<Duration>,
    sent: u64,
    delta_bytes: u64,
}

fn address(n: usize) -> SocketAddr {
    let [_, a, b, c] = (n as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

fn index(a: &SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) & 0x00FF_FFFF) as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}

fn zone_name(n: usize) -> String {
    format!("zone-{}", n % ZONES)
}

impl World {
    fn new(case: Case, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let mut table = MemberTable::default();
        let mut zones = vec![Vec::new(); ZONES];
        for n in 0..case.nodes {
            table.merge(&record(n));
            zones[n % ZONES].push(n);
        }
        let empty = Arc::new(Snapshot::default());
        let machine = |rng: &mut fastrand::Rng| Distribution::new(empty.clone(), rng.fork());
        World {
            case,
            now,
            began: now,
            table,
            zones,
            machines: (0..case.nodes).map(|_| machine(&mut rng)).collect(),
            dead: (0..case.nodes)
                .map(|n| n > 0 && rng.u32(..100) < case.dead)
                .collect(),
            rng,
            parcels: Vec::new(),
            queue: BinaryHeap::new(),
            times: Vec::new(),
            sent: 0,
            delta_bytes: 0,
        }
    }

    fn run(&mut self) {
        for n in 0..self.case.nodes {
            let (tick, probe) = (self.phase(TICK), self.phase(PROBE));
            self.push(tick, Parcel::Tick(n));
            self.push(probe, Parcel::Probe(n));
        }
        self.accept();
        let alive = self.dead.iter().filter(|d| !**d).count();
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if self.times.len() == alive || self.now - self.began > END {
                return;
            }
            if let Some(parcel) = self.parcels[id].take() {
                self.deliver(parcel);
            }
        }
    }

    /// Node zero accepts the first version: 600 bytes or so on the wire.
    fn accept(&mut self) {
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
        let next = base.apply(&delta).expect("made on this base");
        let mut peers = self.relays(0);
        peers.extend((1..ZONES).map(|z| address(self.pick(z))));
        peers.extend((0..2).map(|_| address(self.pick(0))));
        let mut out = Actions::new();
        let deltas = vec![Arc::new(delta)];
        self.machines[0].adopt_if_newer(Arc::new(next), deltas, &peers, self.now, &mut out);
        self.act(0, out);
    }

    fn pick(&mut self, zone: usize) -> usize {
        let at = self.rng.usize(..self.zones[zone].len());
        self.zones[zone][at]
    }

    fn relays(&mut self, n: usize) -> Vec<SocketAddr> {
        let mut peers = self.table.neighbours(&zone_name(n), &address(n), 1);
        peers.push(address(self.rng.usize(..self.case.nodes)));
        peers.retain(|p| *p != address(n));
        peers
    }

    fn act(&mut self, n: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Announce(to, v) => self.datagram(n, &to, |t| Parcel::Announce(n, t, v)),
                Action::Acknowledge(to, v) => {
                    self.datagram(n, &to, |t| Parcel::Acknowledge(n, t, v));
                }
                Action::Pull {
                    from,
                    since,
                    fetch_id,
                } => self.fetch(n, &from, since, fetch_id),
                Action::ReadPlatform { fetch_id } => {
                    let at = self.now + ZONE * 4;
                    self.push(at, Parcel::Answer(n, fetch_id, PullResponse::Failed));
                }
                Action::Adopt(_) => self.times.push(self.now - self.began),
            }
        }
    }

    fn datagram(&mut self, from: usize, to: &SocketAddr, parcel: impl FnOnce(usize) -> Parcel) {
        let to = index(to);
        self.sent += SMALL;
        if self.rng.u32(..100) >= self.case.loss {
            let at = self.now + self.way(from, to);
            self.push(at, parcel(to));
        }
    }

    /// A fetch by datagram; when it or its answer is lost, TCP repeats it after the time-out.
    fn fetch(&mut self, n: usize, from: &SocketAddr, since: Version, ticket: u64) {
        let from = index(from);
        let way = self.way(n, from);
        self.sent += SMALL;
        let lost = (0..2).any(|_| self.rng.u32(..100) < self.case.loss);
        let at = match lost {
            false => self.now + way,
            true => self.now + FETCH_TIMEOUT + way * 5,
        };
        self.push(at, Parcel::Fetch(n, from, since, ticket));
    }

    fn deliver(&mut self, parcel: Parcel) {
        let now = self.now;
        let mut out = Actions::new();
        match parcel {
            Parcel::Announce(from, to, v) if !self.dead[to] => {
                self.machines[to].handle_announcement(address(from), v, now, &mut out);
                self.act(to, out);
            }
            Parcel::Acknowledge(from, to, v) if !self.dead[to] => {
                self.machines[to].handle_ack(address(from), v);
            }
            Parcel::Fetch(n, from, since, ticket) if !self.dead[from] => {
                let answer = self.machines[from].answer_pull(since);
                self.sent += SMALL + self.delta_bytes;
                let at = now + self.way(n, from);
                self.push(at, Parcel::Answer(n, ticket, answer));
            }
            Parcel::Answer(n, ticket, pulled) => {
                let peers = self.relays(n);
                self.machines[n].handle_fetch_result(ticket, pulled, &peers, now, &mut out);
                self.act(n, out);
            }
            Parcel::Tick(n) if !self.dead[n] => {
                let ring = self.table.neighbours(&zone_name(n), &address(n), 3);
                let spare = ring.get(2..).unwrap_or_default();
                self.machines[n].tick(spare, now, &mut out);
                self.act(n, out);
                self.push(now + TICK, Parcel::Tick(n));
            }
            Parcel::Probe(n) if !self.dead[n] => {
                self.probe(n);
                self.push(now + PROBE, Parcel::Probe(n));
            }
            _ => {}
        }
    }

    /// A probe and its answer tell both sides' versions. Its bytes belong to membership.
    fn probe(&mut self, n: usize) {
        let peer = self.rng.usize(..self.case.nodes);
        let lost = self.rng.u32(..100) < self.case.loss;
        if lost || peer == n || self.dead[peer] {
            return;
        }
        for (a, b) in [(n, peer), (peer, n)] {
            let told = self.machines[b].current().version();
            let mut out = Actions::new();
            self.machines[a].handle_version(address(b), told, self.now, &mut out);
            self.act(a, out);
        }
    }

    fn way(&mut self, a: usize, b: usize) -> Duration {
        let (a, b) = (a % ZONES, b % ZONES);
        let base = if a == b {
            NEAR
        } else if a % REGIONS == b % REGIONS {
            ZONE
        } else {
            REGION
        };
        base.mul_f64(0.9 + self.rng.f64() * 0.3)
    }

    fn phase(&mut self, of: Duration) -> Instant {
        self.now + of.mul_f64(self.rng.f64())
    }

    fn push(&mut self, at: Instant, parcel: Parcel) {
        self.queue.push(Reverse((at, self.parcels.len())));
        self.parcels.push(Some(parcel));
    }

    fn row(&mut self) -> Vec<Value> {
        self.times.sort();
        let alive = self.dead.iter().filter(|d| !**d).count();
        let quantile = |q: f64| {
            let at = (alive as f64 * q).ceil() as usize - 1;
            let reached = self.times.get(at);
            reached.map_or(Value::Null, |d| rounded(d.as_secs_f64()))
        };
        vec![
            Value::from(self.case.nodes),
            Value::from(self.case.loss),
            Value::from(self.case.dead),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            rounded(self.sent as f64 / alive as f64),
            Value::from(self.delta_bytes),
        ]
    }
}

fn record(n: usize) -> MemberRecord {
    MemberRecord {
        peer: address(n),
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
