//! Membership: SWIM failure detection with suspicion and refutation, gossip of member records, and
//! repair of tables that differ.
//!
//! Based on Das, Gupta and Motivala, "SWIM" (DSN 2002), with the local health multiplier of Dadgar,
//! Phillips and Currey, "Lifeguard" (2017): a node that is itself slow waits longer before it
//! suspects others.

mod gossip;
mod locality;
mod probe;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::{Incarnation, Path, Version};
use crate::state::member::{
    Health, MemberRecord, MemberTable, MergeOutcome, TABLE_BUCKETS, TargetRecord, TargetStart,
};

/// Interval between pings of one gone member, chosen at random, to detect members that have
/// returned.
pub const GONE_RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Interval between batches of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Expected number of peers that remind a restarted node of a target that was leaving.
const LEAVE_REMINDERS: f64 = 8.0;

pub use gossip::{DIGEST_PERIOD, RECORDS_PER_DATAGRAM};
pub use probe::{GONE_RETENTION, PROBE_PERIOD, PROBE_TIMEOUT, SUSPICION_TIMEOUT_BASE};

use probe::AWARENESS_MAX;

/// Summary of a node's state, carried by probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// The node's current configuration version.
    pub version: Version,
    /// Digest of the node's member table.
    pub table_digest: u64,
}

/// Membership datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Probe; the receiver replies with [`Message::Ack`].
    Ping {
        /// Sequence number, returned in the acknowledgement.
        sequence: u32,
        /// Summary of the sender's state.
        summary: PeerSummary,
        /// Gossiped records.
        records: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third node.
    PingRequest {
        /// Sequence number of the requesting node's probe.
        sequence: u32,
        /// Node to probe.
        peer: SocketAddr,
    },
    /// Acknowledges a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u32,
        /// Summary of the sender's state.
        summary: PeerSummary,
        /// Gossiped records.
        records: Vec<MemberRecord>,
    },
    /// Digests of the sender's member table. The receiver returns its records of the buckets that
    /// differ.
    TableDigests {
        /// One digest per bucket.
        digests: Box<[u64; TABLE_BUCKETS]>,
    },
    /// Records that the receiver may not have, sent outside of probes.
    Gossip {
        /// Gossiped records.
        records: Vec<MemberRecord>,
    },
}

/// Datagrams to send, with their destinations.
pub type Outbox = Vec<(SocketAddr, Message)>;

#[derive(Debug)]
struct Probe {
    peer: SocketAddr,
    sequence: u32,
    sent_at: Instant,
    /// Whether other peers have been asked to probe too.
    indirect: bool,
}

/// Ping sent on behalf of another node.
#[derive(Debug)]
struct Relay {
    /// Node that requested the ping.
    origin: SocketAddr,
    /// Sequence number of that node's probe.
    sequence: u32,
    sent_at: Instant,
}

/// Counts of membership events since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members suspected because they did not answer this node's probe.
    pub suspected: u64,
    /// Members that this node declared gone.
    pub declared: u64,
    /// Records about this node that it received from peers and refuted.
    pub refuted: u64,
    /// Times that this process found it had been paused.
    pub pauses: u64,
}

/// Membership state machine of one node.
#[derive(Debug)]
pub struct Members {
    own_record: MemberRecord,
    table: MemberTable,
    rng: fastrand::Rng,
    /// Peers still to be probed in this round.
    probe_order: Vec<SocketAddr>,
    /// Probe in progress.
    probe: Option<Probe>,
    /// Pings sent on behalf of other nodes, by sequence number.
    relays: HashMap<u32, Relay>,
    /// Suspected members and when they are declared gone.
    suspects: BTreeMap<SocketAddr, Instant>,
    /// Gone members and when they are removed from the table.
    gone: BTreeMap<SocketAddr, Instant>,
    /// Members whose records are gossiped, with the number of transmissions left.
    gossip: BTreeMap<SocketAddr, u32>,
    changed_services: BTreeSet<Path>,
    /// Live peers; rebuilt when `cache_stale` is set.
    peer_cache: Vec<SocketAddr>,
    cache_stale: bool,
    /// Sequence number of the last ping.
    sequence: u32,
    /// This node's current configuration version.
    version: Version,
    /// Local health score: zero if healthy, at most `AWARENESS_MAX`.
    awareness: u32,
    next_probe: Instant,
    next_gossip: Instant,
    next_gone_retry: Instant,
    next_digests: Instant,
    next_full_sync: Instant,
    /// Peer whose whole table is to be requested.
    sync_peer: Option<SocketAddr>,
    /// Target record that an earlier incarnation of this node published.
    past_target: Option<TargetRecord>,
    /// Records of earlier processes to be sent to the nodes that they describe.
    reminders: Vec<MemberRecord>,
    last_tick: Instant,
    counts: MemberCounts,
}

impl Members {
    /// Creates the state machine with a table that contains only this node.
    pub fn new(own_record: MemberRecord, now: Instant, mut rng: fastrand::Rng) -> Members {
        let mut table = MemberTable::default();
        table.merge(&own_record);
        let initial_delay = PROBE_PERIOD.mul_f64(rng.f64());
        Members {
            own_record,
            table,
            rng,
            probe_order: Vec::new(),
            probe: None,
            relays: HashMap::new(),
            suspects: BTreeMap::new(),
            gone: BTreeMap::new(),
            gossip: BTreeMap::new(),
            changed_services: BTreeSet::new(),
            peer_cache: Vec::new(),
            cache_stale: true,
            sequence: 0,
            version: Version(0),
            awareness: 0,
            next_probe: now + initial_delay,
            next_gossip: now,
            next_gone_retry: now + initial_delay,
            next_digests: now,
            next_full_sync: now,
            sync_peer: None,
            past_target: None,
            reminders: Vec::new(),
            last_tick: now,
            counts: MemberCounts::default(),
        }
    }

    /// Record of this node.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Table of all known records.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Counts of events.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Local health score of the Lifeguard paper; zero is healthy.
    pub fn awareness(&self) -> u32 {
        self.awareness
    }

    /// Target record that an earlier incarnation of this node published, if a peer has sent one
    /// since the last call.
    pub fn take_past_target(&mut self) -> Option<TargetRecord> {
        self.past_target.take()
    }

    /// Records that the target of a peer said in an answer that it is leaving.
    pub fn mark_left(&mut self, peer: SocketAddr, start: TargetStart) {
        self.table.mark_left(peer, start);
        let target = self.table.get(&peer).and_then(|r| r.target.as_ref());
        self.changed_services
            .extend(target.map(|t| t.service.clone()));
    }

    /// Services whose targets changed since the last call.
    pub fn take_changed_services(&mut self) -> BTreeSet<Path> {
        std::mem::take(&mut self.changed_services)
    }

    /// Live peers without this node, in no particular order.
    pub fn live_peers(&mut self) -> &[SocketAddr] {
        if self.cache_stale {
            self.cache_stale = false;
            let alive =
                |r: &&Arc<MemberRecord>| r.health.is_alive() && r.peer != self.own_record.peer;
            self.peer_cache = self.table.records().filter(alive).map(|r| r.peer).collect();
        }
        &self.peer_cache
    }

    /// Distinct live peers, chosen at random.
    pub fn sample_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut rng = self.rng.fork();
        rng.choose_multiple(self.live_peers().iter().copied(), count)
    }

    /// Distinct live peers in this node's zone, chosen at random.
    pub fn sample_own_zone(&mut self, count: usize) -> Vec<SocketAddr> {
        let zone = self.table.peers_in_zone(&self.own_record.zone);
        let own_peer = self.own_record.peer;
        let peers = zone.into_iter().flatten().copied();
        self.rng
            .choose_multiple(peers.filter(|p| *p != own_peer), count)
    }

    /// One live peer in each other zone, chosen at random.
    pub fn sample_other_zones(&mut self) -> Vec<SocketAddr> {
        let own_zone = self.own_record.zone.clone();
        let zones = self.table.zones().filter(|(zone, _)| **zone != own_zone);
        let rng = &mut self.rng;
        zones
            .filter_map(|(_, peers)| rng.choice(peers.iter().copied()))
            .collect()
    }

    /// Changes the record of this node, and publishes it if the change makes a difference.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let before = self.own_record.clone();
        change(&mut self.own_record);
        if self.own_record != before {
            self.publish();
        }
    }

    /// Merges records received from a peer. Returns how many of them were new.
    pub fn merge_records(&mut self, records: &[MemberRecord], now: Instant) -> usize {
        records.iter().filter(|r| self.merge_record(r, now)).count()
    }

    /// Handles one datagram.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Instant, out: &mut Outbox) {
        match message {
            Message::Ping {
                sequence,
                summary,
                records,
            } => {
                self.merge_records(&records, now);
                self.send_ack(from, sequence, out);
                self.check_table_digest(from, summary, now, out);
            }
            Message::PingRequest { sequence, peer } => {
                self.relay_ping(from, sequence, peer, now, out);
            }
            Message::Ack {
                sequence,
                summary,
                records,
            } => {
                self.merge_records(&records, now);
                self.handle_ack(from, sequence, out);
                self.check_table_digest(from, summary, now, out);
            }
            Message::TableDigests { digests } => {
                self.send_differing_records(from, &digests, out);
                self.send_table_digests(from, now, out);
                self.plan_full_sync(from, &digests, now);
            }
            Message::Gossip { records } => {
                self.merge_records(&records, now);
            }
        }
    }

    /// Performs all actions that are due. `version` is this node's current configuration version;
    /// probes carry it to peers.
    pub fn tick(&mut self, version: Version, now: Instant, out: &mut Outbox) {
        self.version = version;
        self.detect_pause(now);
        for record in self.reminders.drain(..) {
            let records = vec![record.clone()];
            out.push((record.peer, Message::Gossip { records }));
        }
        self.check_probe(now, out);
        self.check_suspects(now);
        self.evict_gone(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.start_probe(now, out);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_PERIOD;
            self.send_gossip(out);
        }
        if now >= self.next_gone_retry {
            self.next_gone_retry = now + GONE_RETRY_PERIOD;
            self.ping_gone(out);
        }
    }

    /// Messages that send this node's current record to `count` random peers without waiting for
    /// the next batch of gossip.
    pub fn own_record_messages(&mut self, count: usize) -> Outbox {
        let records = vec![self.own_record.clone()];
        let peers = self.sample_peers(count);
        let message = |p| {
            let records = records.clone();
            (p, Message::Gossip { records })
        };
        peers.into_iter().map(message).collect()
    }

    fn publish(&mut self) {
        self.own_record.sequence += 1;
        self.store_record(&self.own_record.clone());
    }

    fn summary(&self) -> PeerSummary {
        PeerSummary {
            version: self.version,
            table_digest: self.table.digest(),
        }
    }

    fn merge_record(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.peer == self.own_record.peer {
            if record.incarnation < self.own_record.incarnation {
                self.note_past_target(record.target.as_ref());
            }
            self.refute(record);
            return false;
        }
        let unknown = self.table.get(&record.peer).is_none();
        if unknown && record.health == Health::Gone {
            return false;
        }
        match self.store_record(record) {
            MergeOutcome::Updated => {
                self.track_health(record, now);
                true
            }
            MergeOutcome::Unchanged => {
                self.count_transmission(&record.peer);
                false
            }
            MergeOutcome::Outdated => false,
        }
    }

    /// Keeps the target that an earlier incarnation of this node published. Not all peers have heard of its
    /// leave, so a record that says so is not replaced by another one.
    fn note_past_target(&mut self, target: Option<&TargetRecord>) {
        if !self.past_target.as_ref().is_some_and(|t| t.leaving) {
            self.past_target = target.cloned();
        }
    }

    fn store_record(&mut self, record: &MemberRecord) -> MergeOutcome {
        let before = self.table.get(&record.peer).cloned();
        let merged = self.table.merge(record);
        if merged == MergeOutcome::Updated {
            if let Some(before) = before.as_deref() {
                self.remind_of_leave(before, record);
            }
            let targets = [before.as_deref(), Some(record)];
            let services = targets
                .into_iter()
                .flatten()
                .filter_map(|r| r.target.as_ref());
            self.changed_services
                .extend(services.map(|t| t.service.clone()));
            self.queue_gossip(record.peer);
            self.cache_stale = true;
        }
        merged
    }

    /// Queues the record of an earlier process for the node that has restarted, if the target of that
    /// process was leaving. The node cannot know it otherwise.
    fn remind_of_leave(&mut self, before: &MemberRecord, record: &MemberRecord) {
        let restarted = before.incarnation < record.incarnation;
        let leaving = before.target.as_ref().is_some_and(|t| t.leaving);
        let share = LEAVE_REMINDERS / self.table.alive_count().max(1) as f64;
        if restarted && leaving && self.rng.f64() < share {
            self.reminders.push(before.clone());
        }
    }

    /// Starts or ends the suspicion and retention periods of a member according to its record.
    fn track_health(&mut self, record: &MemberRecord, now: Instant) {
        self.suspects.remove(&record.peer);
        self.gone.remove(&record.peer);
        match record.health {
            Health::Suspect => {
                self.suspects
                    .insert(record.peer, now + self.suspicion_timeout());
            }
            Health::Gone => {
                self.gone.insert(record.peer, now + GONE_RETENTION);
            }
            _ => {}
        }
    }

    /// Publishes a newer record of this node if a peer sent one that would override the current
    /// one.
    fn refute(&mut self, record: &MemberRecord) {
        if record.precedence() <= self.own_record.precedence() {
            // Peers that still hold an outdated record of this node as suspect, leaving or gone
            // receive the current one.
            if record.health >= Health::Suspect {
                self.queue_gossip(self.own_record.peer);
            }
            return;
        }
        self.counts.refuted += 1;
        self.awareness = (self.awareness + 1).min(AWARENESS_MAX);
        if record.incarnation > self.own_record.incarnation {
            self.own_record.incarnation = Incarnation(record.incarnation.0 + 1);
        } else {
            self.own_record.sequence = self.own_record.sequence.max(record.sequence);
        }
        self.publish();
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
