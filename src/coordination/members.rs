//! Membership: SWIM failure detection with suspicion and refutation, gossip, and table repair.
//!
//! After Das, Gupta and Motivala, "SWIM" (DSN 2002), with the local health multiplier of
//! Dadgar, Phillips and Currey, "Lifeguard" (2017): a node that is itself slow waits longer
//! before it doubts others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::{Incarnation, Path, Version};
use crate::state::member::{Health, MemberTable, Merge, Record, TABLE_BUCKETS};

/// Interval between probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a probe is answered, before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a suspect has to refute.
pub const SUSPICION: Duration = Duration::from_secs(3);
/// Time for which gone members are remembered and retried.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Interval between retries of one gone member.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(5);
/// Shortest interval between offers of table digests.
pub const COMPARE_PERIOD: Duration = Duration::from_secs(2);
/// Peers asked to probe on this node's behalf.
const INDIRECT_PROBES: usize = 3;
/// Differing buckets from which two tables are exchanged whole.
const BUCKETS_FOR_EXCHANGE: usize = 16;
/// Records for which an exchange waits one second longer; bounds its bytes to about 64 KB/s.
const RECORDS_PER_SECOND: usize = 1000;
/// Records in one datagram; keeps it under a common MTU of 1,400 bytes.
pub const RECORDS_PER_DATAGRAM: usize = 10;
/// Times a record is passed on, less one for each time it is heard again, beyond the logarithm
/// of the fleet's size.
const PASSES: u32 = 2;
/// Records under way beyond which each is passed on `PASSES` times only; repair does the rest.
const NEWS_BUSY: usize = 64;
/// Peers that a batch of news goes to at once.
const NEWS_FANOUT: usize = 2;
/// Interval between batches of news.
const NEWS_PERIOD: Duration = Duration::from_millis(200);
/// Highest local health score.
const AWARENESS_MAX: u32 = 8;
/// A gap between ticks beyond this means that the process was paused.
const PAUSE: Duration = Duration::from_millis(1500);

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
        records: Vec<Record>,
    },
    /// Asks the receiver to probe a third node.
    PingRequest {
        /// The requester's probe.
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
        records: Vec<Record>,
    },
    /// Offers the digests of the sender's table, to be compared.
    Compare {
        /// One digest a bucket.
        marks: Box<[u64; TABLE_BUCKETS]>,
    },
    /// Records that the receiver may lack.
    News {
        /// The records.
        records: Vec<Record>,
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
    requester: SocketAddr,
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
    own: Record,
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
    last_tick: Instant,
    counts: MemberCounts,
}

impl Members {
    /// Starts with only this node known.
    pub fn new(own: Record, now: Instant, mut rng: fastrand::Rng) -> Members {
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
            last_tick: now,
            counts: MemberCounts::default(),
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &Record {
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

    /// Services whose targets changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Path> {
        std::mem::take(&mut self.changed)
    }

    /// Live peers, without this node, in no particular order.
    pub fn peers(&mut self) -> &[SocketAddr] {
        if self.stale {
            self.stale = false;
            let alive = |r: &&Arc<Record>| r.health.is_alive() && r.peer != self.own.peer;
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
        let zone = self.table.zone(&self.own.zone);
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
    pub fn update(&mut self, change: impl FnOnce(&mut Record)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.publish();
        }
    }

    /// Takes in records that a peer sent. Returns how many were new.
    pub fn learn(&mut self, records: &[Record], now: Instant) -> usize {
        records.iter().filter(|r| self.take(r, now)).count()
    }

    /// Takes in the whole table of a peer, and passes on what that table lacks: two parts of a
    /// fleet that meet learn of each other both ways.
    pub fn exchange(&mut self, theirs: &[Record], now: Instant) {
        let known: HashMap<SocketAddr, &Record> = theirs.iter().map(|r| (r.peer, r)).collect();
        let lacks = |r: &&Arc<Record>| {
            let theirs = known.get(&r.peer);
            r.health.is_alive() && theirs.is_none_or(|t| t.precedence() < r.precedence())
        };
        let lacking: Vec<SocketAddr> = self.table.records().filter(lacks).map(|r| r.peer).collect();
        self.learn(theirs, now);
        // The peer asks for the whole itself when it lacks much.
        if lacking.len() < NEWS_BUSY {
            lacking.into_iter().for_each(|peer| self.spread_news(peer));
        }
    }

    /// A peer whose whole table is to be asked for, if one is due.
    pub fn take_exchange(&mut self) -> Option<SocketAddr> {
        self.exchange_with.take()
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

    fn take(&mut self, record: &Record, now: Instant) -> bool {
        if record.peer == self.own.peer {
            self.refute(record);
            return false;
        }
        let unknown = self.table.get(&record.peer).is_none();
        if unknown && record.health == Health::Gone {
            return false;
        }
        match self.store(record) {
            Merge::Newer => {
                self.note_health(record, now);
                true
            }
            Merge::Known => {
                self.heard_again(&record.peer);
                false
            }
            Merge::Older => false,
        }
    }

    fn store(&mut self, record: &Record) -> Merge {
        let before = self.table.get(&record.peer).cloned();
        let merged = self.table.merge(record);
        if merged == Merge::Newer {
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

    fn spread_news(&mut self, peer: SocketAddr) {
        let more = match self.news.len() < NEWS_BUSY {
            true => self.table.alive().max(1).ilog2(),
            false => 0,
        };
        self.news.insert(peer, PASSES + more);
    }

    fn note_health(&mut self, record: &Record, now: Instant) {
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

    fn heard_again(&mut self, peer: &SocketAddr) {
        if let Some(left) = self.news.get_mut(peer) {
            *left -= 1;
            if *left == 0 {
                self.news.remove(peer);
            }
        }
    }

    /// Answers a claim about this node with a newer record.
    fn refute(&mut self, claim: &Record) {
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

    fn acknowledge(&mut self, to: SocketAddr, sequence: u32, out: &mut Outbox) {
        let brief = self.brief();
        let records = self.pick_news();
        out.push((
            to,
            Message::Ack {
                sequence,
                brief,
                records,
            },
        ));
    }

    fn relay(
        &mut self,
        requester: SocketAddr,
        sequence: u32,
        target: SocketAddr,
        now: Instant,
        out: &mut Outbox,
    ) {
        let own = self.next_sequence();
        self.relays.retain(|_, r| now - r.sent < PROBE_PERIOD * 2);
        let sent = now;
        self.relays.insert(
            own,
            Relay {
                requester,
                sequence,
                sent,
            },
        );
        let brief = self.brief();
        let records = Vec::new();
        out.push((
            target,
            Message::Ping {
                sequence: own,
                brief,
                records,
            },
        ));
    }

    fn acknowledged(&mut self, from: SocketAddr, sequence: u32, out: &mut Outbox) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let sequence = relay.sequence;
            let brief = self.brief();
            let records = Vec::new();
            out.push((
                relay.requester,
                Message::Ack {
                    sequence,
                    brief,
                    records,
                },
            ));
            return;
        }
        let matches = |p: &Probe| p.sequence == sequence && (p.target == from || p.indirect);
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.awareness = self.awareness.saturating_sub(1);
        }
    }

    /// Offers this node's table digests when a peer's table differs, at a bounded rate.
    fn compare(&mut self, from: SocketAddr, brief: Brief, now: Instant, out: &mut Outbox) {
        if brief.table != 0 && brief.table != self.table.digest() {
            self.offer_compare(from, now, out);
        }
    }

    fn offer_compare(&mut self, from: SocketAddr, now: Instant, out: &mut Outbox) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE_PERIOD;
        let marks = Box::new(*self.table.marks());
        out.push((from, Message::Compare { marks }));
    }

    fn answer_compare(&mut self, to: SocketAddr, marks: &[u64; TABLE_BUCKETS], out: &mut Outbox) {
        let differing: Vec<Record> = self.table.differing(marks).map(|r| (**r).clone()).collect();
        let most = RECORDS_PER_DATAGRAM * 4;
        let chosen = self.rng.choose_multiple(differing, most);
        for records in chosen.chunks(RECORDS_PER_DATAGRAM) {
            let records = records.to_vec();
            out.push((to, Message::News { records }));
        }
    }

    /// Tables that differ in many places are exchanged whole, less often the larger they are.
    fn plan_exchange(&mut self, with: SocketAddr, marks: &[u64; TABLE_BUCKETS], now: Instant) {
        let pairs = self.table.marks().iter().zip(marks);
        let differing = pairs.filter(|(a, b)| a != b).count();
        if differing < BUCKETS_FOR_EXCHANGE || now < self.next_exchange {
            return;
        }
        let pause = Duration::from_secs((self.table.len() / RECORDS_PER_SECOND) as u64);
        self.next_exchange = now + COMPARE_PERIOD + pause;
        self.exchange_with = Some(with);
    }

    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE {
            return;
        }
        self.counts.pauses += 1;
        self.awareness = (self.awareness + 2).min(AWARENESS_MAX);
        self.probe = None;
        self.suspects.values_mut().for_each(|at| *at += gap);
        self.next_probe = now + PROBE_PERIOD;
        self.publish();
    }

    fn check_probe(&mut self, now: Instant, out: &mut Outbox) {
        let Some(probe) = &self.probe else {
            return;
        };
        let waited = now - probe.sent;
        let scale = 1 + self.awareness;
        if !probe.indirect && waited >= PROBE_TIMEOUT * scale {
            self.ask_others(out);
        }
        let (target, limit) = match &self.probe {
            Some(p) => (p.target, PROBE_PERIOD * scale),
            None => return,
        };
        if waited >= limit {
            self.probe = None;
            self.awareness = (self.awareness + 1).min(AWARENESS_MAX);
            self.suspect(target, now);
            self.ping(target, out);
        }
    }

    fn ask_others(&mut self, out: &mut Outbox) {
        let helpers = self.sample(INDIRECT_PROBES + 1);
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.indirect = true;
        let (sequence, target) = (probe.sequence, probe.target);
        let helpers = helpers.into_iter().filter(|h| *h != target);
        for helper in helpers.take(INDIRECT_PROBES) {
            out.push((helper, Message::PingRequest { sequence, target }));
        }
    }

    fn suspect(&mut self, target: SocketAddr, now: Instant) {
        let Some(held) = self.table.get(&target) else {
            return;
        };
        if held.health >= Health::Suspect && held.health != Health::Leaving {
            return;
        }
        let mut claim = (**held).clone();
        claim.health = match claim.health {
            Health::Leaving => Health::Gone,
            _ => Health::Suspect,
        };
        self.counts.suspected += 1;
        self.store(&claim);
        self.note_health(&claim, now);
    }

    fn check_suspects(&mut self, now: Instant) {
        let due: Vec<SocketAddr> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in due {
            self.suspects.remove(&peer);
            let Some(held) = self.table.get(&peer) else {
                continue;
            };
            let mut claim = (**held).clone();
            claim.health = Health::Gone;
            self.counts.declared += 1;
            self.store(&claim);
            self.note_health(&claim, now);
        }
    }

    fn forget_gone(&mut self, now: Instant) {
        let due = |(_, at): &(&SocketAddr, &Instant)| **at <= now;
        let due: Vec<SocketAddr> = self.gone.iter().filter(due).map(|(p, _)| *p).collect();
        for peer in due {
            self.gone.remove(&peer);
            self.news.remove(&peer);
            self.table.remove(&peer);
        }
    }

    fn start_probe(&mut self, now: Instant, out: &mut Outbox) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.ping(target, out);
        self.probe = Some(Probe {
            target,
            sequence,
            sent: now,
            indirect: false,
        });
    }

    fn ping(&mut self, target: SocketAddr, out: &mut Outbox) -> u32 {
        let sequence = self.next_sequence();
        let brief = self.brief();
        let mut records = self.pick_news();
        // A doubted member is told so, which lets it refute at once.
        let held = self.table.get(&target);
        let doubted = held.filter(|r| r.health >= Health::Suspect);
        records.extend(doubted.map(|r| (**r).clone()));
        out.push((
            target,
            Message::Ping {
                sequence,
                brief,
                records,
            },
        ));
        sequence
    }

    /// Round robin over a shuffled order, so that every live member is probed in bounded time.
    fn next_target(&mut self) -> Option<SocketAddr> {
        loop {
            if self.order.is_empty() {
                self.order = self.peers().to_vec();
                self.rng.shuffle(&mut self.order);
            }
            let peer = self.order.pop()?;
            let alive = |r: &Arc<Record>| r.health.is_alive();
            if self.table.get(&peer).is_some_and(alive) {
                return Some(peer);
            }
        }
    }

    fn retry_gone(&mut self, out: &mut Outbox) {
        let gone = self.rng.choice(self.gone.keys().copied());
        if let Some(peer) = gone {
            self.ping(peer, out);
        }
    }

    fn send_news(&mut self, out: &mut Outbox) {
        if self.news.is_empty() {
            return;
        }
        for peer in self.sample(NEWS_FANOUT) {
            let records = self.pick_news();
            if records.is_empty() {
                return;
            }
            out.push((peer, Message::News { records }));
        }
    }

    /// Takes the news passed on least so far, and counts one pass for each.
    fn pick_news(&mut self) -> Vec<Record> {
        let mut fresh: Vec<(u32, SocketAddr)> = self.news.iter().map(|(p, n)| (*n, *p)).collect();
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        fresh.truncate(RECORDS_PER_DATAGRAM);
        let mut records = Vec::with_capacity(fresh.len());
        for (_, peer) in fresh {
            records.extend(self.table.get(&peer).map(|r| (**r).clone()));
            self.heard_again(&peer);
        }
        records
    }

    fn patience(&self) -> Duration {
        SUSPICION * (1 + self.awareness / 2)
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
