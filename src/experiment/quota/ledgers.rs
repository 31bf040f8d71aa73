//! The nodes of the model with the state machines of [`crate::coordination::quota`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::model::{Event, Fleet, Packet};
use crate::coordination::quota::{
    Admission, FleetSize, Ledger, Placement, QuotaClient, QuotaReply, QuotaRequest, REPLY_TIMEOUT,
    ShardSet, shard_of,
};
use crate::state::id::Incarnation;
use crate::state::member::{Health, MemberRecord};

/// Time after which a request that waits asks again.
const ASK_AGAIN_TIME: Duration = Duration::from_millis(40);
/// Ticks between two choices of the ledgers.
const PLACEMENT_TICKS: u32 = 10;
/// Every n-th node has a fast link, as eight of 125 do.
const FAST_NODE_STEP: usize = 16;
/// Bytes of a request and a reply without asks and grants: sender, counter and authentication code.
const DATAGRAM_BYTES: usize = 66;
/// Bytes of an ask and of a grant.
const ASK_BYTES: usize = 9;
const GRANT_BYTES: usize = 3;

struct QuotaNode {
    client: QuotaClient,
    ledger: Ledger,
    size: FleetSize,
    ticks: u32,
}

struct Waiting {
    node: usize,
    workspace: usize,
    arrived: Instant,
}

/// All nodes.
pub struct Ledgers {
    nodes: Vec<QuotaNode>,
    waiting: HashMap<u64, Waiting>,
    next_request: u64,
    records: Vec<MemberRecord>,
    shards: ShardSet,
    /// The last choice of ledgers, with the members that it was made from.
    placement: (Vec<bool>, Placement),
}

impl Ledgers {
    /// Creates nodes that have run for a long time.
    pub fn new(fleet: &mut Fleet) -> Ledgers {
        let now = fleet.now;
        let nodes = fleet.nodes.iter().enumerate();
        let records = nodes.map(|(n, node)| record(n, node.peer)).collect();
        let mut shards = ShardSet::default();
        fleet.ids.iter().for_each(|id| shards.insert(shard_of(*id)));
        let mut ledgers = Ledgers {
            nodes: Vec::new(),
            waiting: HashMap::new(),
            next_request: 0,
            records,
            shards,
            placement: Default::default(),
        };
        for n in 0..fleet.nodes.len() {
            let started = fleet.nodes[n].started;
            let mut node = QuotaNode::new(fleet.nodes[n].peer, started, &mut fleet.rng);
            node.size.record_members(fleet.nodes.len() as u32, now);
            ledgers.nodes.push(node);
        }
        ledgers
    }

    /// Replaces the state of a node that starts again.
    pub fn restart(&mut self, fleet: &mut Fleet, node: usize) {
        self.waiting.retain(|_, w| w.node != node);
        let peer = fleet.nodes[node].peer;
        self.nodes[node] = QuotaNode::new(peer, fleet.now, &mut fleet.rng);
    }

    /// The preferred ledger of a workspace.
    pub fn ledger_of(&self, fleet: &Fleet, workspace: usize) -> Option<usize> {
        let shard = shard_of(fleet.ids[workspace]);
        let peer = self.placement.1.ledgers(shard).first()?;
        fleet.nodes.iter().position(|n| n.peer == *peer)
    }

    /// Handles a request that arrives at a node.
    pub fn arrive(&mut self, fleet: &mut Fleet, node: usize, workspace: usize) {
        self.next_request += 1;
        let waiting = Waiting {
            node,
            workspace,
            arrived: fleet.now,
        };
        self.waiting.insert(self.next_request, waiting);
        self.decide(fleet, self.next_request, QuotaClient::admit);
    }

    /// Drives the timers of a node.
    pub fn tick(&mut self, fleet: &mut Fleet, node: usize) {
        let now = fleet.now;
        if self.nodes[node].ticks.is_multiple_of(PLACEMENT_TICKS) {
            let members = fleet.members_seen(node);
            let placement = self.place(fleet, node);
            let state = &mut self.nodes[node];
            state.size.record_members(members, now);
            state.client.set_placement(placement);
        }
        let state = &mut self.nodes[node];
        state.ticks += 1;
        state.client.tick(now);
        self.flush(fleet, node);
    }

    /// Handles the events of the nodes.
    pub fn handle(&mut self, fleet: &mut Fleet, event: Event) {
        match event {
            Event::Flush(node) if fleet.nodes[node].alive => self.flush(fleet, node),
            Event::Deliver { from, to, packet } if fleet.nodes[to].alive => {
                let peer = fleet.nodes[from].peer;
                match packet {
                    Packet::Request(r) => {
                        if let Some(reply) = self.ask(fleet, to, peer, &r) {
                            let bytes = DATAGRAM_BYTES + GRANT_BYTES * reply.grants.len();
                            fleet.send(to, peer, Packet::Reply(reply), bytes);
                        }
                    }
                    Packet::Reply(reply) => self.receive(fleet, to, peer, &reply),
                }
            }
            Event::Wake { node, request } if fleet.nodes[node].alive => {
                let waited = self.waiting.get(&request).map(|w| fleet.now - w.arrived);
                match waited {
                    Some(t) if t >= REPLY_TIMEOUT => {
                        self.decide(fleet, request, QuotaClient::give_up);
                    }
                    Some(_) => self.decide(fleet, request, QuotaClient::decide),
                    None => {}
                }
            }
            _ => {}
        }
    }

    fn decide(&mut self, fleet: &mut Fleet, request: u64, decide: Decide) {
        let Some(&Waiting {
            node,
            workspace,
            arrived,
        }) = self.waiting.get(&request)
        else {
            return;
        };
        let now = fleet.now;
        let state = &mut self.nodes[node];
        let admission = match &fleet.nodes[node].limits[workspace] {
            None => None,
            Some(limit) => {
                let nodes = state.size.get(now);
                let id = fleet.ids[workspace];
                Some(decide(&mut state.client, id, limit, nodes, now))
            }
        };
        match admission {
            None | Some(Admission::Run(_)) => {
                self.waiting.remove(&request);
                fleet.measurement.record_admitted(workspace, arrived, now);
            }
            Some(Admission::Refuse(_)) => {
                self.waiting.remove(&request);
                fleet.measurement.record_refused();
            }
            Some(Admission::Wait(send)) => {
                let left = (arrived + REPLY_TIMEOUT).saturating_duration_since(now);
                fleet.schedule(left.min(ASK_AGAIN_TIME), Event::Wake { node, request });
                match send {
                    Some(Duration::ZERO) => self.flush(fleet, node),
                    Some(delay) => fleet.schedule(delay, Event::Flush(node)),
                    None => {}
                }
            }
        }
    }

    fn flush(&mut self, fleet: &mut Fleet, node: usize) {
        let now = fleet.now;
        let state = &mut self.nodes[node];
        let seen = state.size.seen(now);
        let own_peer = fleet.nodes[node].peer;
        for (ledger, request) in state.client.take_requests(self.shards, seen, now) {
            if ledger == own_peer {
                if let Some(reply) = self.ask(fleet, node, own_peer, &request) {
                    self.receive(fleet, node, own_peer, &reply);
                }
                continue;
            }
            let bytes = DATAGRAM_BYTES + ASK_BYTES * request.asks.len();
            fleet.send(node, ledger, Packet::Request(request), bytes);
        }
    }

    fn ask(
        &mut self,
        fleet: &Fleet,
        node: usize,
        from: SocketAddr,
        request: &QuotaRequest,
    ) -> Option<QuotaReply> {
        let now = fleet.now;
        let state = &mut self.nodes[node];
        if from != fleet.nodes[node].peer {
            state.size.record_peer(request.nodes, now);
        }
        let limits = &fleet.nodes[node].limits;
        let limit_of = |id| {
            let workspace = fleet.ids.iter().position(|i| *i == id);
            workspace.and_then(|w| limits[w])
        };
        state
            .ledger
            .handle(from, request, &state.size, limit_of, now)
    }

    fn receive(&mut self, fleet: &mut Fleet, node: usize, from: SocketAddr, reply: &QuotaReply) {
        let now = fleet.now;
        let state = &mut self.nodes[node];
        state.size.record_peer(reply.nodes, now);
        if state.client.handle_reply(from, reply, now) {
            let waiting = self.waiting.iter().filter(|(_, w)| w.node == node);
            let mut requests: Vec<u64> = waiting.map(|(request, _)| *request).collect();
            requests.sort_unstable();
            for request in requests {
                self.decide(fleet, request, QuotaClient::decide);
            }
        }
    }

    /// Chooses the ledgers by the members that a node sees.
    fn place(&mut self, fleet: &Fleet, node: usize) -> Placement {
        let seen: Vec<bool> = (0..self.records.len())
            .map(|other| fleet.sees(node, other))
            .collect();
        if self.placement.0 != seen {
            let members = self.records.iter().zip(&seen).filter(|(_, seen)| **seen);
            let placement = Placement::new(members.map(|(record, _)| record));
            self.placement = (seen, placement);
        }
        self.placement.1.clone()
    }
}

/// How a request is decided.
type Decide = fn(
    &mut QuotaClient,
    crate::state::workspace::WorkspaceId,
    &crate::state::workspace::RateLimit,
    Option<u32>,
    Instant,
) -> Admission;

impl QuotaNode {
    fn new(peer: SocketAddr, started: Instant, rng: &mut fastrand::Rng) -> QuotaNode {
        QuotaNode {
            client: QuotaClient::new(peer, started, rng.fork()),
            ledger: Ledger::new(started, rng.fork()),
            size: FleetSize::new(started),
            ticks: 0,
        }
    }
}

fn record(n: usize, peer: SocketAddr) -> MemberRecord {
    let fast = n.is_multiple_of(FAST_NODE_STEP);
    MemberRecord {
        peer,
        gate_port: peer.port(),
        incarnation: Incarnation(1),
        sequence: 0,
        zone: "a".into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: if fast { 200 } else { 10 },
        target: None,
    }
}
