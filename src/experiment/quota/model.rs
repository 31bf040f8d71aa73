//! A fleet with callers, faults and a lossy network, on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::baselines::Baseline;
use super::ledgers::Ledgers;
use super::measure::Measurement;
use crate::coordination::quota::{QuotaReply, QuotaRequest};
use crate::state::id::Path;
use crate::state::workspace::{RateLimit, WorkspaceId};

/// Time between the loss of a member and its declaration as gone by the others.
pub const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Time after its start until a node's member table is complete.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// Availability zones.
pub const ZONE_COUNT: usize = 4;
/// Time before the first request, in which the nodes take their first leases.
const WARM_UP: Duration = Duration::from_secs(2);
/// Interval of the nodes' timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time until a changed limit is in force at a node, at most.
pub const APPLY_TIME: Duration = Duration::from_millis(2500);

/// How the limits are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Policy {
    #[display("no limit")]
    NoLimit,
    #[display("fixed shares")]
    FixedShares,
    #[display("gossiped counters")]
    GossipCounters,
    #[display("gossiped shares")]
    GossipShares,
    #[display("ledgers")]
    Ledgers,
}

/// A change in the fleet, the network or the load. Nodes are numbered; node 0 has a fast link.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These nodes end without a word.
    Kill(Vec<usize>),
    /// These nodes end and start again after a time.
    Restart(Vec<usize>, Duration),
    /// The node that is the preferred ledger of this workspace ends.
    KillLedgerOf(usize),
    /// The nodes below this number and the others cannot reach each other.
    Partition(usize),
    /// All nodes can reach each other again.
    Heal,
    /// The limit of a workspace changes; the nodes apply it one after the other.
    SetLimit(usize, Option<RateLimit>),
    /// From now on, the load of a workspace is this multiple of its usual load.
    Scale(usize, f64),
    /// All callers use nodes of this zone; `None` for all nodes.
    Zone(Option<usize>),
}

/// One workspace and its usual load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second.
    pub usual: f64,
    pub limit: Option<RateLimit>,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub loads: Vec<Load>,
    pub duration: Duration,
    /// Faults by the time at which they occur.
    pub faults: Vec<(Duration, Fault)>,
    /// Part of the datagrams that are lost, that arrive twice, and that are late by up to 3 s.
    pub lost: f64,
    pub doubled: f64,
    pub delayed: f64,
    pub seed: u64,
}

impl Scenario {
    /// A fleet without faults.
    pub fn new(nodes: usize, loads: Vec<Load>, duration: Duration, seed: u64) -> Scenario {
        Scenario {
            nodes,
            loads,
            duration,
            faults: Vec::new(),
            lost: 0.0,
            doubled: 0.0,
            delayed: 0.0,
            seed,
        }
    }

    /// Plays the scenario.
    pub fn play(&self, policy: Policy) -> Measurement {
        let mut model = Model::new(self, policy);
        model.run();
        model.fleet.measurement.finish();
        model.fleet.measurement
    }
}

/// Returns workspaces whose loads follow Zipf's law with the exponent 1.2 and add up to `total`
/// requests per second. Each limit is 1.6 times the usual load, with a burst of one second.
pub fn zipf_loads(count: usize, total: f64) -> Vec<Load> {
    let weight = |n: usize| 1.0 / ((n + 1) as f64).powf(1.2);
    let sum: f64 = (0..count).map(weight).sum();
    let load = |n| {
        let usual = total * weight(n) / sum;
        let limit = RateLimit::new(usual * 1.6, usual * 1.6);
        Load { usual, limit }
    };
    (0..count).map(load).collect()
}

/// Identifier of a workspace of the model.
pub fn workspace_id(workspace: usize) -> WorkspaceId {
    let path = Path::new(&format!("model/workspaces/w{workspace}"));
    (&path.expect("the path is valid")).into()
}

/// Message between nodes.
#[derive(Clone, Debug)]
pub enum Packet {
    Request(QuotaRequest),
    Reply(QuotaReply),
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Event {
    Arrival(usize),
    Tick(usize),
    /// The asks that a node has collected are sent.
    Flush(usize),
    Deliver {
        from: usize,
        to: usize,
        packet: Packet,
    },
    /// A request that waits at a node is decided again.
    Wake {
        node: usize,
        request: u64,
    },
    Fault(usize),
    Start(usize),
    Apply {
        node: usize,
        workspace: usize,
        /// Number of the change. An older one that comes later is ignored, as configuration
        /// versions are.
        version: usize,
        limit: Option<RateLimit>,
    },
}

/// A node as the others see it.
#[derive(Clone, Debug)]
pub struct NodeState {
    pub peer: SocketAddr,
    pub alive: bool,
    pub started: Instant,
    lost_at: Instant,
    /// Nodes with different values cannot reach each other.
    pub side: bool,
    /// The limits in force at the node.
    pub limits: Vec<Option<RateLimit>>,
    /// Numbers of the last changes that the node has applied, by workspace.
    versions: Vec<usize>,
}

impl NodeState {
    fn apply(&mut self, workspace: usize, version: usize, limit: Option<RateLimit>) {
        if self.versions[workspace] < version {
            self.versions[workspace] = version;
            self.limits[workspace] = limit;
        }
    }
}

/// The fleet, the network and the clock, without the nodes' decisions.
pub struct Fleet {
    pub start: Instant,
    pub now: Instant,
    pub nodes: Vec<NodeState>,
    pub loads: Vec<Load>,
    pub ids: Vec<WorkspaceId>,
    pub rng: fastrand::Rng,
    pub measurement: Measurement,
    split_at: Option<Instant>,
    scales: Vec<f64>,
    zone: Option<usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next_event: u64,
    network: (f64, f64, f64),
}

impl Fleet {
    fn new(scenario: &Scenario) -> Fleet {
        let start = Instant::now();
        // The fleet has been running for a long time.
        let long_ago = start - Duration::from_secs(60);
        let limits: Vec<Option<RateLimit>> = scenario.loads.iter().map(|l| l.limit).collect();
        let node = |n: usize| NodeState {
            peer: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000)),
            alive: true,
            started: long_ago,
            lost_at: long_ago,
            side: false,
            limits: limits.clone(),
            versions: vec![0; scenario.loads.len()],
        };
        Fleet {
            start,
            now: start,
            nodes: (0..scenario.nodes).map(node).collect(),
            loads: scenario.loads.clone(),
            ids: (0..scenario.loads.len()).map(workspace_id).collect(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            measurement: Measurement::new(scenario, start),
            split_at: None,
            scales: vec![1.0; scenario.loads.len()],
            zone: None,
            queue: BinaryHeap::new(),
            events: Default::default(),
            next_event: 0,
            network: (scenario.lost, scenario.doubled, scenario.delayed),
        }
    }

    /// Adds an event after a delay.
    pub fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
    }

    /// Sends a datagram, which may be lost, late or doubled. Its own node is reached at once.
    pub fn send(&mut self, from: usize, to: SocketAddr, packet: Packet, bytes: usize) {
        self.measurement.record_message(bytes);
        let Some(to) = self.nodes.iter().position(|n| n.peer == to) else {
            return;
        };
        let (lost, doubled, delayed) = self.network;
        let copies = match self.rng.f64() < doubled {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            let mut delay = Duration::from_micros(self.rng.u64(100..900));
            if self.rng.f64() < delayed {
                delay += Duration::from_millis(self.rng.u64(..3000));
            }
            if self.rng.f64() >= lost && self.nodes[from].side == self.nodes[to].side {
                let packet = packet.clone();
                self.schedule(delay, Event::Deliver { from, to, packet });
            }
        }
    }

    /// Whether `node` takes `other` for a live member.
    pub fn sees(&self, node: usize, other: usize) -> bool {
        let recent = |at: Instant| self.now - at < DETECTION_TIME;
        let (node, other) = (&self.nodes[node], &self.nodes[other]);
        let reachable = node.side == other.side || self.split_at.is_some_and(recent);
        reachable && (other.alive || recent(other.lost_at))
    }

    /// Number of live members in the table of a node, which fills after its start.
    pub fn members_seen(&self, node: usize) -> u32 {
        let all = (0..self.nodes.len())
            .filter(|o| self.sees(node, *o))
            .count();
        let running = self.now - self.nodes[node].started;
        let known = (running.as_secs_f64() / JOIN_TIME.as_secs_f64()).min(1.0);
        ((all as f64 * known) as u32).max(1)
    }

    /// Picks the node that a caller uses.
    fn entry_node(&mut self) -> Option<usize> {
        let usable =
            |n: &usize| self.nodes[*n].alive && self.zone.is_none_or(|zone| n % ZONE_COUNT == zone);
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(usable).collect();
        match nodes.is_empty() {
            true => None,
            false => Some(nodes[self.rng.usize(..nodes.len())]),
        }
    }

    fn schedule_arrival(&mut self, workspace: usize) {
        let rate = self.loads[workspace].usual * self.scales[workspace];
        let gap = -(1.0 - self.rng.f64()).ln() / rate.max(0.001);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival(workspace));
    }
}

/// Decisions of the nodes about requests.
enum Limiter {
    Baseline(Baseline),
    Ledgers(Box<Ledgers>),
}

struct Model {
    fleet: Fleet,
    limiter: Limiter,
    faults: Vec<Fault>,
    end: Instant,
    /// Number of changes of limits so far.
    version: usize,
}

impl Model {
    fn new(scenario: &Scenario, policy: Policy) -> Model {
        let mut fleet = Fleet::new(scenario);
        let limiter = match policy {
            Policy::Ledgers => Limiter::Ledgers(Box::new(Ledgers::new(&mut fleet))),
            _ => Limiter::Baseline(Baseline::new(policy, &fleet)),
        };
        for n in 0..scenario.nodes {
            let delay = TICK_INTERVAL.mul_f64(fleet.rng.f64());
            fleet.schedule(delay, Event::Tick(n));
        }
        for w in 0..scenario.loads.len() {
            fleet.schedule(WARM_UP, Event::Arrival(w));
        }
        for (number, (at, _)) in scenario.faults.iter().enumerate() {
            fleet.schedule(*at, Event::Fault(number));
        }
        Model {
            end: fleet.start + scenario.duration,
            faults: scenario.faults.iter().map(|f| f.1.clone()).collect(),
            fleet,
            limiter,
            version: 0,
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.fleet.queue.pop() {
            if at >= self.end {
                return;
            }
            self.fleet.now = at;
            if let Some(event) = self.fleet.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(workspace) => {
                self.fleet.schedule_arrival(workspace);
                if let Some(node) = self.fleet.entry_node() {
                    let now = self.fleet.now;
                    self.fleet.measurement.record_arrival(workspace, now);
                    match &mut self.limiter {
                        Limiter::Baseline(b) => b.arrive(&mut self.fleet, node, workspace),
                        Limiter::Ledgers(l) => l.arrive(&mut self.fleet, node, workspace),
                    }
                }
            }
            Event::Tick(node) => {
                self.fleet.schedule(TICK_INTERVAL, Event::Tick(node));
                if self.fleet.nodes[node].alive {
                    match &mut self.limiter {
                        Limiter::Baseline(b) => b.tick(&mut self.fleet, node),
                        Limiter::Ledgers(l) => l.tick(&mut self.fleet, node),
                    }
                }
            }
            Event::Fault(number) => {
                let fault = self.faults[number].clone();
                self.apply_fault(fault);
            }
            Event::Start(node) => self.start(node),
            Event::Apply {
                node,
                workspace,
                version,
                limit,
            } => self.fleet.nodes[node].apply(workspace, version, limit),
            event => {
                if let Limiter::Ledgers(l) = &mut self.limiter {
                    l.handle(&mut self.fleet, event);
                }
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.fleet.now;
        match fault {
            Fault::Kill(nodes) => nodes.into_iter().for_each(|n| self.kill(n)),
            Fault::Restart(nodes, pause) => {
                for node in nodes {
                    self.kill(node);
                    self.fleet.schedule(pause, Event::Start(node));
                }
            }
            Fault::KillLedgerOf(workspace) => {
                if let Limiter::Ledgers(l) = &self.limiter
                    && let Some(node) = l.ledger_of(&self.fleet, workspace)
                {
                    self.kill(node);
                }
            }
            Fault::Partition(first) => {
                self.fleet.split_at = Some(now);
                for (n, node) in self.fleet.nodes.iter_mut().enumerate() {
                    node.side = n >= first;
                }
            }
            Fault::Heal => self.fleet.nodes.iter_mut().for_each(|n| n.side = false),
            Fault::SetLimit(workspace, limit) => self.set_limit(workspace, limit),
            Fault::Scale(workspace, factor) => self.fleet.scales[workspace] = factor,
            Fault::Zone(zone) => self.fleet.zone = zone,
        }
    }

    fn set_limit(&mut self, workspace: usize, limit: Option<RateLimit>) {
        let now = self.fleet.now;
        self.version += 1;
        let version = self.version;
        self.fleet.measurement.record_limit(workspace, limit, now);
        for node in 0..self.fleet.nodes.len() {
            let delay = APPLY_TIME.mul_f64(self.fleet.rng.f64());
            let event = Event::Apply {
                node,
                workspace,
                version,
                limit,
            };
            self.fleet.schedule(delay, event);
        }
    }

    fn kill(&mut self, node: usize) {
        let state = &mut self.fleet.nodes[node];
        state.alive = false;
        state.lost_at = self.fleet.now;
    }

    fn start(&mut self, node: usize) {
        let state = &mut self.fleet.nodes[node];
        state.alive = true;
        state.started = self.fleet.now;
        if let Limiter::Ledgers(l) = &mut self.limiter {
            l.restart(&mut self.fleet, node);
        }
    }
}
