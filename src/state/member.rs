//! Member records, which each node publishes about itself and its target, and the table of the
//! records of all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, From};

use super::digest::DigestBuilder;
use super::id::{Incarnation, Path};

/// State of a member. If two records of a member have the same incarnation and sequence number, the
/// one whose state is listed later here takes precedence.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// The target started a short time ago and is in slow start: its share of requests is growing.
    #[display("cold")]
    Cold,
    /// The target receives its full share of requests.
    #[display("ready")]
    Ready,
    /// The node is running, but its target is not available.
    #[display("down")]
    Down,
    /// The node did not reply to probes. It is declared gone unless it refutes the suspicion in
    /// time.
    #[display("suspect")]
    Suspect,
    /// The node is shutting down: it finishes requests in progress and accepts no new ones.
    #[display("leaving")]
    Leaving,
    /// The node has stopped, or failed and did not refute the suspicion.
    #[display("gone")]
    Gone,
}

impl Health {
    /// Whether new requests may be sent to the member.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Health::Cold | Health::Ready | Health::Suspect)
    }

    /// Whether the node itself is assumed to be running, regardless of the state of its
    /// target.
    pub fn is_alive(self) -> bool {
        !matches!(self, Health::Gone)
    }
}

/// Longest name of a target instance, in bytes. Several records must fit into a datagram.
pub const INSTANCE_MAX_BYTES: usize = 200;

/// Identifies one start of a target: the name of the instance, and the start time in milliseconds
/// since the Unix epoch, or zero if it is not known.
pub type TargetStart = (Arc<str>, u64);

/// The software version of a target.
#[derive(Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetVersion(pub Arc<str>);

/// Longest text of a target's version, in bytes.
pub const VERSION_MAX_BYTES: usize = 100;

/// The published state of a node's local target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetRecord {
    /// Name of the target instance.
    pub instance: Arc<str>,
    /// Path of the service that the target belongs to.
    pub service: Path,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Identifies the last report that the target sent about itself: the start time of the target's
    /// process, in milliseconds since the Unix epoch, and the sequence number of the report. Later
    /// reports have greater values.
    pub last_report: (u64, u64),
    /// Whether the target has announced that it is shutting down. It accepts no new requests.
    pub leaving: bool,
    /// Software version of the target. Published only during a roll-out of its service.
    pub version: Option<TargetVersion>,
}

impl TargetRecord {
    /// The start of the target that the record describes.
    pub fn start(&self) -> TargetStart {
        (self.instance.clone(), self.last_report.0)
    }
}

/// What a node publishes about itself. The peer address identifies the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Address for other nodes, for both UDP and TCP.
    pub peer: SocketAddr,
    /// TCP port of the gate, at the same IP address.
    pub gate_port: u16,
    /// Incarnation of the node that the record describes.
    pub incarnation: Incarnation,
    /// Increased by the node with each change of its own record.
    pub sequence: u32,
    /// Availability zone.
    pub zone: Arc<str>,
    pub health: Health,
    /// Whether the node holds a watcher slot and therefore watches the platform for new
    /// configuration versions.
    pub watcher: bool,
    /// Bandwidth of the node's network link, in megabits per second; zero if unknown.
    pub link_mbit: u32,
    /// The node's local target, if it has one.
    pub target: Option<TargetRecord>,
}

impl MemberRecord {
    /// Address of the node's gate.
    pub fn gate_addr(&self) -> SocketAddr {
        SocketAddr::new(self.peer.ip(), self.gate_port)
    }

    /// Determines which of several records of one address is kept: the one with the greatest value.
    pub fn precedence(&self) -> (Incarnation, u32, Health) {
        (self.incarnation, self.sequence, self.health)
    }

    /// A 64-bit digest of the record, used to compare the tables of two nodes.
    pub fn digest(&self) -> u64 {
        let mut builder = DigestBuilder::default();
        builder.text(&self.peer.to_string());
        builder.number(self.incarnation.0);
        builder.number(self.sequence.into());
        builder.number(self.health as u64);
        let bytes = builder.finish().0;
        u64::from_le_bytes(bytes[..8].try_into().expect("the slice has eight bytes"))
    }
}

/// Number of buckets into which a table is divided so that two nodes can compare their tables.
pub const TABLE_BUCKETS: usize = 64;

/// Result of merging a record into a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is newer than the one in the table, or its address was unknown. The table now
    /// holds it.
    Updated,
    /// The table already holds this record.
    Unchanged,
    /// The table holds a newer record.
    Outdated,
}

/// All known records, with digests for comparing tables and indexes by zone and by service.
#[derive(Clone, Debug)]
pub struct MemberTable {
    records: BTreeMap<SocketAddr, Arc<MemberRecord>>,
    zone_index: BTreeMap<Arc<str>, BTreeSet<SocketAddr>>,
    service_index: BTreeMap<Path, BTreeSet<SocketAddr>>,
    bucket_digests: [u64; TABLE_BUCKETS],
    alive_count: usize,
    /// The start of the last target at each address that is known to have been leaving. A node that
    /// restarts beside such a target may publish it again before it learns of the leave.
    left: BTreeMap<SocketAddr, TargetStart>,
}

impl Default for MemberTable {
    fn default() -> Self {
        MemberTable {
            records: BTreeMap::new(),
            zone_index: BTreeMap::new(),
            service_index: BTreeMap::new(),
            bucket_digests: [0; TABLE_BUCKETS],
            alive_count: 0,
            left: BTreeMap::new(),
        }
    }
}

impl MemberTable {
    /// Stores a record if it is newer than the one in the table for the same address.
    pub fn merge(&mut self, record: &MemberRecord) -> MergeOutcome {
        let existing = self.records.get(&record.peer).cloned();
        if let Some(existing) = &existing {
            match record.precedence().cmp(&existing.precedence()) {
                std::cmp::Ordering::Less => return MergeOutcome::Outdated,
                std::cmp::Ordering::Equal => return MergeOutcome::Unchanged,
                std::cmp::Ordering::Greater => self.remove_from_indexes(existing),
            }
        }
        if let Some(target) = record.target.as_ref().filter(|t| t.leaving) {
            self.mark_left(record.peer, target.start());
        }
        self.insert(Arc::new(record.clone()));
        MergeOutcome::Updated
    }

    /// Records that a target is leaving, whatever the records of its node say from now on.
    pub fn mark_left(&mut self, peer: SocketAddr, start: TargetStart) {
        self.left.insert(peer, start);
    }

    /// Whether the target of a record is known to have been leaving.
    pub fn has_left(&self, record: &MemberRecord) -> bool {
        let target = record.target.as_ref();
        target.is_some_and(|t| t.leaving || self.left.get(&record.peer) == Some(&t.start()))
    }

    /// Removes the record of an address.
    pub fn remove(&mut self, peer: &SocketAddr) {
        if let Some(existing) = self.records.get(peer).cloned() {
            self.remove_from_indexes(&existing);
            self.records.remove(peer);
            self.left.remove(peer);
        }
    }

    /// Returns the record of an address.
    pub fn get(&self, peer: &SocketAddr) -> Option<&Arc<MemberRecord>> {
        self.records.get(peer)
    }

    /// All records, in the order of their addresses.
    pub fn records(&self) -> impl Iterator<Item = &Arc<MemberRecord>> {
        self.records.values()
    }

    /// Number of records, including those of members that are gone.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of members that are not gone.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    /// Addresses of the live members of a zone, in order.
    pub fn peers_in_zone(&self, zone: &str) -> Option<&BTreeSet<SocketAddr>> {
        self.zone_index.get(zone)
    }

    /// All zones, each with the addresses of its live members.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, &BTreeSet<SocketAddr>)> {
        self.zone_index.iter()
    }

    /// Records of the live members whose target belongs to a service, in the order of their
    /// addresses.
    pub fn records_of_service(&self, service: &Path) -> impl Iterator<Item = &Arc<MemberRecord>> {
        let peers = self.service_index.get(service).into_iter().flatten();
        peers.filter_map(|p| self.records.get(p))
    }

    /// Returns the live neighbours of the address `center` in its zone. The addresses of a zone
    /// form a ring in ascending order; the result has up to `per_side` neighbours from each side,
    /// the nearest first.
    pub fn neighbours(&self, zone: &str, center: &SocketAddr, per_side: usize) -> Vec<SocketAddr> {
        let Some(ring) = self.zone_index.get(zone) else {
            return Vec::new();
        };
        let after = (
            std::ops::Bound::Excluded(center),
            std::ops::Bound::Unbounded,
        );
        let mut following = ring.range(after).chain(ring.iter());
        let mut preceding = ring.range(..center).rev().chain(ring.iter().rev());
        let mut neighbours = Vec::with_capacity(2 * per_side);
        for _ in 0..per_side {
            for peer in [following.next(), preceding.next()].into_iter().flatten() {
                if peer != center && !neighbours.contains(peer) {
                    neighbours.push(*peer);
                }
            }
        }
        neighbours
    }

    /// Combines the digests of all buckets into one digest of the table.
    pub fn digest(&self) -> u64 {
        let combine =
            |acc: u64, d: &u64| acc.rotate_left(7) ^ d.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.bucket_digests.iter().fold(0, combine)
    }

    /// The digest of each bucket.
    pub fn bucket_digests(&self) -> &[u64; TABLE_BUCKETS] {
        &self.bucket_digests
    }

    /// Records in the buckets whose digests differ from `digests`, which are those of another
    /// table.
    pub fn records_in_differing_buckets<'a>(
        &'a self,
        digests: &'a [u64],
    ) -> impl Iterator<Item = &'a Arc<MemberRecord>> {
        let differs = |r: &&Arc<MemberRecord>| {
            let bucket = bucket_of(&r.peer);
            digests.get(bucket) != Some(&self.bucket_digests[bucket])
        };
        self.records.values().filter(differs)
    }

    /// Stores a record and indexes it. Members that are gone are left out of the indexes and the
    /// digests, because nodes remove them from their tables at different times.
    fn insert(&mut self, record: Arc<MemberRecord>) {
        if record.health.is_alive() {
            self.alive_count += 1;
            self.bucket_digests[bucket_of(&record.peer)] ^= record.digest();
            let zone = self.zone_index.entry(record.zone.clone()).or_default();
            zone.insert(record.peer);
            if let Some(t) = &record.target {
                let service = self.service_index.entry(t.service.clone()).or_default();
                service.insert(record.peer);
            }
        }
        self.records.insert(record.peer, record);
    }

    fn remove_from_indexes(&mut self, record: &MemberRecord) {
        if !record.health.is_alive() {
            return;
        }
        self.bucket_digests[bucket_of(&record.peer)] ^= record.digest();
        self.alive_count -= 1;
        if let Some(zone) = self.zone_index.get_mut(&record.zone) {
            zone.remove(&record.peer);
        }
        let service = record.target.as_ref().map(|t| &t.service);
        if let Some(peers) = service.and_then(|s| self.service_index.get_mut(s)) {
            peers.remove(&record.peer);
        }
    }
}

/// Returns the bucket of an address. The result is the same at all nodes, which compare the digests
/// of their buckets.
fn bucket_of(peer: &SocketAddr) -> usize {
    let mut hash = u64::from(peer.port());
    let hash_byte = |acc: u64, b: u8| (acc ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3);
    hash = match peer.ip() {
        std::net::IpAddr::V4(ip) => ip.octets().into_iter().fold(hash, hash_byte),
        std::net::IpAddr::V6(ip) => ip.octets().into_iter().fold(hash, hash_byte),
    };
    (hash ^ (hash >> 29)) as usize % TABLE_BUCKETS
}
