//! Simpler ways to keep limits, for comparison.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::model::{Fleet, Policy};
use crate::coordination::quota::{Bucket, capacity};

/// Time until what a node gossips is known to all others.
const GOSSIP_DELAY: Duration = Duration::from_secs(1);
/// Ticks between two rounds of gossip.
const GOSSIP_TICKS: u32 = 10;
/// Peers that a node sends its state to in a round.
const GOSSIP_PEERS: usize = 3;
/// Bytes of a message without entries, and of an entry.
const DATAGRAM_BYTES: usize = 60;
const ENTRY_BYTES: usize = 10;
/// Weight of the last round in the mean demand.
const DEMAND_WEIGHT: f64 = 0.2;
/// Window over which counters are compared with a limit.
const COUNTER_WINDOW: Duration = Duration::from_secs(5);

/// One node's state for one workspace.
#[derive(Clone, Debug, Default)]
struct Entry {
    bucket: Bucket,
    refilled_at: Option<Instant>,
    /// Requests that arrived since the last round of gossip.
    arrived: u32,
    /// Mean number of requests in a round, over the last ones.
    demand: f64,
    /// Requests that were admitted lately.
    admitted: VecDeque<Instant>,
}

/// Nodes that decide alone, from their own state and gossip.
pub struct Baseline {
    policy: Policy,
    /// By node and workspace.
    entries: Vec<Vec<Entry>>,
    ticks: Vec<u32>,
}

impl Baseline {
    /// Creates the nodes.
    pub fn new(policy: Policy, fleet: &Fleet) -> Baseline {
        Baseline {
            policy,
            entries: vec![vec![Entry::default(); fleet.loads.len()]; fleet.nodes.len()],
            ticks: vec![0; fleet.nodes.len()],
        }
    }

    /// Decides about a request that arrives at a node.
    pub fn arrive(&mut self, fleet: &mut Fleet, node: usize, workspace: usize) {
        let now = fleet.now;
        self.entries[node][workspace].arrived += 1;
        let Some(limit) = fleet.nodes[node].limits[workspace] else {
            return fleet.measurement.record_admitted(workspace, now, now);
        };
        let admitted = match self.policy {
            Policy::FixedShares | Policy::GossipShares => {
                let share = self.share(fleet, node, workspace);
                let entry = &mut self.entries[node][workspace];
                let since = entry.refilled_at.replace(now).unwrap_or(fleet.start);
                let seconds = (now - since).as_secs_f64();
                entry.bucket.refill(&limit, seconds * share, share);
                let taken = entry
                    .bucket
                    .take(1, capacity(&limit, share), &mut fleet.rng);
                taken == 1
            }
            Policy::GossipCounters => {
                let most = limit.rate * COUNTER_WINDOW.as_secs_f64() + limit.burst;
                f64::from(self.counted(fleet, node, workspace)) < most
            }
            Policy::NoLimit | Policy::Ledgers => true,
        };
        if admitted {
            self.entries[node][workspace].admitted.push_back(now);
            fleet.measurement.record_admitted(workspace, now, now);
        } else {
            fleet.measurement.record_refused();
        }
    }

    /// Gossips a node's state.
    pub fn tick(&mut self, fleet: &mut Fleet, node: usize) {
        self.ticks[node] += 1;
        let gossips = matches!(self.policy, Policy::GossipCounters | Policy::GossipShares);
        if !gossips || !self.ticks[node].is_multiple_of(GOSSIP_TICKS) {
            return;
        }
        let now = fleet.now;
        for entry in &mut self.entries[node] {
            let arrived = f64::from(std::mem::take(&mut entry.arrived));
            entry.demand += (arrived - entry.demand) * DEMAND_WEIGHT;
            while entry
                .admitted
                .front()
                .is_some_and(|at| now - *at > COUNTER_WINDOW + GOSSIP_DELAY)
            {
                entry.admitted.pop_front();
            }
        }
        for _ in 0..GOSSIP_PEERS {
            let bytes = DATAGRAM_BYTES + ENTRY_BYTES * fleet.loads.len();
            fleet.measurement.record_message(bytes);
        }
    }

    /// Part of the limit that a node uses.
    fn share(&self, fleet: &Fleet, node: usize, workspace: usize) -> f64 {
        let members = f64::from(fleet.members_seen(node));
        if self.policy == Policy::FixedShares {
            return 1.0 / members;
        }
        let demand = |n: usize| self.entries[n][workspace].demand;
        let others = (0..fleet.nodes.len()).filter(|n| *n != node && fleet.sees(node, *n));
        let total: f64 = others.map(demand).sum::<f64>() + demand(node);
        // A part is kept for nodes whose demand has just begun.
        0.9 * demand(node) / total.max(f64::MIN_POSITIVE) + 0.1 / members
    }

    /// Requests of the last window at all nodes, as far as a node knows of them.
    fn counted(&self, fleet: &Fleet, node: usize, workspace: usize) -> u32 {
        let now = fleet.now;
        let known = |n: usize, delay: Duration| {
            let recent = |at: &&Instant| {
                let age = now - **at;
                (delay..COUNTER_WINDOW).contains(&age)
            };
            self.entries[n][workspace]
                .admitted
                .iter()
                .filter(recent)
                .count() as u32
        };
        let others = (0..fleet.nodes.len()).filter(|n| *n != node && fleet.sees(node, *n));
        others.map(|n| known(n, GOSSIP_DELAY)).sum::<u32>() + known(node, Duration::ZERO)
    }
}
