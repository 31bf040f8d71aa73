//! Membership: SWIM failure detection with suspicion and refutation, gossip, and table repair.
//!
//! After Das, Gupta and Motivala, "SWIM" (DSN 2002), with the local health multiplier of
//! Dadgar, Phillips and Currey, "Lifeguard" (2017): a node that is itself slow waits longer
//! before it doubts others.

mod news;
mod probe;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::{Incarnation, Path, Version};
use crate::state::member::{
    Health, MemberRecord, MemberTable, MergeOutcome, TABLE_BUCKETS, TargetRecord,
};

/// Interval between retries of one gone member.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(5);
/// Interval between batches of news.
const NEWS_PERIOD: Duration = Duration::from_millis(200);

pub use news::{COMPARE_PERIOD, RECORDS_PER_DATAGRAM};
pub use probe::{GONE_RETENTION, PROBE_PERIOD, PROBE_TIMEOUT, SUSPICION};

use probe::AWARENESS_MAX;

/// The head of a peer's configuration, carried by probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Brief {
    /// Version that the peer holds.
    pub version: Version,
    /// Digest of the peer's member table.
    pub table: u64,
}

/// A membership datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for an acknowledgement.
    Ping {
        /// Matches the acknowledgement to the probe.
        sequence: u32,
        /// The sender's heads.
        brief: Brief,
        /// News.
        records: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third node.
    PingRequest {
        /// The number of the probe of the node that asks.
        sequence: u32,
        /// Whom to probe.
        target: SocketAddr,
    },
    /// Answers a probe.
    Ack {
        /// The probe that is answered.
        sequence: u32,
        /// The sender's heads.
        brief: Brief,
        /// News.
        records: Vec<MemberRecord>,
    },
    /// Offers the digests of the sender's table, to be compared.
    Compare {
        /// One digest a bucket.
        marks: Box<[u64; TABLE_BUCKETS]>,
    },
    /// Records that the receiver may lack.
    News {
        /// The records.
        records: Vec<MemberRecord>,
    },
}

/// Datagrams to send.
pub type Outbox = Vec<(SocketAddr, Message)>;

#[derive(Debug)]
struct Probe {
    target: SocketAddr,
    sequence: u32,
    sent: Instant,
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    origin: SocketAddr,
    sequence: u32,
    sent: Instant,
}

/// Counts of membership events since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that became suspect by this node's own probe.
    pub suspected: u64,
    /// Members declared gone by this node.
    pub declared: u64,
    /// Claims about this node that it refuted.
    pub refuted: u64,
    /// Times this process found that it had been paused.
    pub pauses: u64,
}

/// The membership state machine of one node.
#[derive(Debug)]
pub struct Members {
    own: MemberRecord,
    table: MemberTable,
    rng: fastrand::Rng,
    order: Vec<SocketAddr>,
    probe: Option<Probe>,
    relays: HashMap<u32, Relay>,
    suspects: BTreeMap<SocketAddr, Instant>,
    gone: BTreeMap<SocketAddr, Instant>,
    news: BTreeMap<SocketAddr, u32>,
    changed: BTreeSet<Path>,
    others: Vec<SocketAddr>,
    stale: bool,
    sequence: u32,
    version: Version,
    awareness: u32,
    next_probe: Instant,
    next_news: Instant,
    next_repair: Instant,
    next_compare: Instant,
    next_exchange: Instant,
    exchange_with: Option<SocketAddr>,
    /// What an earlier life of this node published of its target.
    past: Option<TargetRecord>,
    last_tick: Instant,
    counts: MemberCounts,
}

impl Members {
    /// Starts with only this node known.
    pub fn new(own: MemberRecord, now: Instant, mut rng: fastrand::Rng) -> Members {
        let mut table = MemberTable::default();
        table.merge(&own);
        let spread = PROBE_PERIOD.mul_f64(rng.f64());
        Members {
            own,
            table,
            rng,
            order: Vec::new(),
            probe: None,
            relays: HashMap::new(),
            suspects: BTreeMap::new(),
            gone: BTreeMap::new(),
            news: BTreeMap::new(),
            changed: BTreeSet::new(),
            others: Vec::new(),
            stale: true,
            sequence: 0,
            version: Version(0),
            awareness: 0,
            next_probe: now + spread,
            next_news: now,
            next_repair: now + spread,
            next_compare: now,
            next_exchange: now,
            exchange_with: None,
            past: None,
            last_tick: now,
            counts: MemberCounts::default(),
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All records known.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Counts of events.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// The local health score; zero is healthy.
    pub fn awareness(&self) -> u32 {
        self.awareness
    }

    /// What an earlier life of this node published of its target, if a peer told of it since the
    /// last call.
    pub fn take_past(&mut self) -> Option<TargetRecord> {
        self.past.take()
    }

    /// Services whose targets changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Path> {
        std::mem::take(&mut self.changed)
    }

    /// Live peers, without this node, in no particular order.
    pub fn peers(&mut self) -> &[SocketAddr] {
        if self.stale {
            self.stale = false;
            let alive = |r: &&Arc<MemberRecord>| r.health.is_alive() && r.peer != self.own.peer;
            self.others = self.table.records().filter(alive).map(|r| r.peer).collect();
        }
        &self.others
    }

    /// Random distinct live peers.
    pub fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut rng = self.rng.fork();
        rng.choose_multiple(self.peers().iter().copied(), count)
    }

    /// Random distinct live peers of this node's zone.
    pub fn sample_zone(&mut self, count: usize) -> Vec<SocketAddr> {
        let zone = self.table.peers_in_zone(&self.own.zone);
        let own = self.own.peer;
        let peers = zone.into_iter().flatten().copied();
        self.rng.choose_multiple(peers.filter(|p| *p != own), count)
    }

    /// A random live peer of each other zone.
    pub fn one_of_each_zone(&mut self) -> Vec<SocketAddr> {
        let own = self.own.zone.clone();
        let zones = self.table.zones().filter(|(zone, _)| **zone != own);
        let rng = &mut self.rng;
        zones
            .filter_map(|(_, peers)| rng.choice(peers.iter().copied()))
            .collect()
    }

    /// Publishes a change of this node's own record.
    pub fn update(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.publish();
        }
    }

    /// Takes in records that a peer sent. Returns how many were new.
    pub fn learn(&mut self, records: &[MemberRecord], now: Instant) -> usize {
        records.iter().filter(|r| self.take(r, now)).count()
    }

    /// Handles one datagram.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Instant, out: &mut Outbox) {
        match message {
            Message::Ping {
                sequence,
                brief,
                records,
            } => {
                self.learn(&records, now);
                self.acknowledge(from, sequence, out);
                self.compare(from, brief, now, out);
            }
            Message::PingRequest { sequence, target } => {
                self.relay(from, sequence, target, now, out);
            }
            Message::Ack {
                sequence,
                brief,
                records,
            } => {
                self.learn(&records, now);
                self.acknowledged(from, sequence, out);
                self.compare(from, brief, now, out);
            }
            Message::Compare { marks } => {
                self.answer_compare(from, &marks, out);
                self.offer_compare(from, now, out);
                self.plan_exchange(from, &marks, now);
            }
            Message::News { records } => {
                self.learn(&records, now);
            }
        }
    }

    /// Does what is due. `version` is the configuration version held, told to peers.
    pub fn tick(&mut self, version: Version, now: Instant, out: &mut Outbox) {
        self.version = version;
        self.notice_pause(now);
        self.check_probe(now, out);
        self.check_suspects(now);
        self.forget_gone(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.start_probe(now, out);
        }
        if now >= self.next_news {
            self.next_news = now + NEWS_PERIOD;
            self.send_news(out);
        }
        if now >= self.next_repair {
            self.next_repair = now + REPAIR_PERIOD;
            self.retry_gone(out);
        }
    }

    /// Datagrams that tell some peers of this node's present record at once.
    pub fn farewell(&mut self, count: usize) -> Outbox {
        let records = vec![self.own.clone()];
        let peers = self.sample(count);
        let news = |p| {
            let records = records.clone();
            (p, Message::News { records })
        };
        peers.into_iter().map(news).collect()
    }

    fn publish(&mut self) {
        self.own.sequence += 1;
        self.store(&self.own.clone());
    }

    fn brief(&self) -> Brief {
        Brief {
            version: self.version,
            table: self.table.digest(),
        }
    }

    fn take(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.peer == self.own.peer {
            if record.incarnation < self.own.incarnation {
                self.past = record.target.clone();
            }
            self.refute(record);
            return false;
        }
        let unknown = self.table.get(&record.peer).is_none();
        if unknown && record.health == Health::Gone {
            return false;
        }
        match self.store(record) {
            MergeOutcome::Updated => {
                self.note_health(record, now);
                true
            }
            MergeOutcome::Unchanged => {
                self.heard_again(&record.peer);
                false
            }
            MergeOutcome::Outdated => false,
        }
    }

    fn store(&mut self, record: &MemberRecord) -> MergeOutcome {
        let before = self.table.get(&record.peer).cloned();
        let merged = self.table.merge(record);
        if merged == MergeOutcome::Updated {
            let targets = [before.as_deref(), Some(record)];
            let services = targets
                .into_iter()
                .flatten()
                .filter_map(|r| r.target.as_ref());
            self.changed.extend(services.map(|t| t.service.clone()));
            self.spread_news(record.peer);
            self.stale = true;
        }
        merged
    }

    fn note_health(&mut self, record: &MemberRecord, now: Instant) {
        self.suspects.remove(&record.peer);
        self.gone.remove(&record.peer);
        match record.health {
            Health::Suspect => {
                self.suspects.insert(record.peer, now + self.patience());
            }
            Health::Gone => {
                self.gone.insert(record.peer, now + GONE_RETENTION);
            }
            _ => {}
        }
    }

    /// Answers a claim about this node with a newer record.
    fn refute(&mut self, claim: &MemberRecord) {
        if claim.precedence() <= self.own.precedence() {
            // Whoever still believes an old claim is told the present record.
            if claim.health >= Health::Suspect {
                self.spread_news(self.own.peer);
            }
            return;
        }
        self.counts.refuted += 1;
        self.awareness = (self.awareness + 1).min(AWARENESS_MAX);
        if claim.incarnation > self.own.incarnation {
            self.own.incarnation = Incarnation(claim.incarnation.0 + 1);
        } else {
            self.own.sequence = self.own.sequence.max(claim.sequence);
        }
        self.publish();
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
