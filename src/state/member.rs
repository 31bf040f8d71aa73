//! What each node publishes about itself and its target, and the table of all such records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use super::digest::DigestBuilder;
use super::id::{Incarnation, Path};

/// State of a member, in the order in which claims of one incarnation overrule each other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// Started a short while ago; takes a growing share.
    #[display("cold")]
    Cold,
    /// Takes its whole share.
    #[display("ready")]
    Ready,
    /// The node lives; its target does not answer.
    #[display("down")]
    Down,
    /// Missed its probes; gone unless it refutes.
    #[display("suspect")]
    Suspect,
    /// Stopping on purpose: finishes its work, takes none.
    #[display("leaving")]
    Leaving,
    /// Stopped, or failed without refuting.
    #[display("gone")]
    Gone,
}

impl Health {
    /// Whether new requests may be sent there.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Health::Cold | Health::Ready | Health::Suspect)
    }

    /// Whether the node itself is taken to be running.
    pub fn is_alive(self) -> bool {
        !matches!(self, Health::Gone)
    }
}

/// The target that a node stands beside.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetRecord {
    /// Name of the target instance.
    pub instance: Arc<str>,
    /// Service that the target belongs to.
    pub service: Path,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Order among the target's own reports: its start, then the number of the report.
    pub last_report: (u64, u64),
    /// Whether the target has said that it stops; it takes no new work.
    pub leaving: bool,
}

/// What one node says of itself. Identified by its peer address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Peer address, UDP and TCP.
    pub peer: SocketAddr,
    /// Port of the gate at the same IP address.
    pub gate_port: u16,
    /// The life of the address that the record speaks of.
    pub incarnation: Incarnation,
    /// Raised by the node with each change of its own record.
    pub sequence: u32,
    /// Availability zone.
    pub zone: Arc<str>,
    /// State.
    pub health: Health,
    /// Whether the node holds a watcher slot.
    pub watcher: bool,
    /// Rate of the node's link, in megabits a second; zero where it is not known.
    pub link_mbit: u32,
    /// The target beside the node, if it has one.
    pub target: Option<TargetRecord>,
}

impl MemberRecord {
    /// Where the node's gate listens.
    pub fn gate_addr(&self) -> SocketAddr {
        SocketAddr::new(self.peer.ip(), self.gate_port)
    }

    /// Order of claims about one address: the greater one wins.
    pub fn precedence(&self) -> (Incarnation, u32, Health) {
        (self.incarnation, self.sequence, self.health)
    }

    /// A 64-bit digest, for comparing tables.
    pub fn digest(&self) -> u64 {
        let mut digest = DigestBuilder::default();
        digest.text(&self.peer.to_string());
        digest.number(self.incarnation.0);
        digest.number(self.sequence.into());
        digest.number(self.health as u64);
        let bytes = digest.finish().0;
        u64::from_le_bytes(bytes[..8].try_into().expect("eight bytes"))
    }
}

/// Number of buckets in which tables are compared.
pub const TABLE_BUCKETS: usize = 64;

/// Whether a record told the table something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is newer than what was held.
    Updated,
    /// The very record is held.
    Unchanged,
    /// A newer record is held.
    Outdated,
}

/// All records known, with digests to compare tables and an index by zone and service.
#[derive(Clone, Debug)]
pub struct MemberTable {
    records: BTreeMap<SocketAddr, Arc<MemberRecord>>,
    zone_index: BTreeMap<Arc<str>, BTreeSet<SocketAddr>>,
    service_index: BTreeMap<Path, BTreeSet<SocketAddr>>,
    bucket_digests: [u64; TABLE_BUCKETS],
    alive_count: usize,
}

impl Default for MemberTable {
    fn default() -> Self {
        MemberTable {
            records: BTreeMap::new(),
            zone_index: BTreeMap::new(),
            service_index: BTreeMap::new(),
            bucket_digests: [0; TABLE_BUCKETS],
            alive_count: 0,
        }
    }
}

impl MemberTable {
    /// Takes a record in if it is newer than the one held for its address.
    pub fn merge(&mut self, record: &MemberRecord) -> MergeOutcome {
        let existing = self.records.get(&record.peer).cloned();
        if let Some(existing) = &existing {
            match record.precedence().cmp(&existing.precedence()) {
                std::cmp::Ordering::Less => return MergeOutcome::Outdated,
                std::cmp::Ordering::Equal => return MergeOutcome::Unchanged,
                std::cmp::Ordering::Greater => self.remove_from_indexes(existing),
            }
        }
        self.insert(Arc::new(record.clone()));
        MergeOutcome::Updated
    }

    /// Forgets an address.
    pub fn remove(&mut self, peer: &SocketAddr) {
        if let Some(existing) = self.records.get(peer).cloned() {
            self.remove_from_indexes(&existing);
            self.records.remove(peer);
        }
    }

    /// The record of an address.
    pub fn get(&self, peer: &SocketAddr) -> Option<&Arc<MemberRecord>> {
        self.records.get(peer)
    }

    /// All records, by address.
    pub fn records(&self) -> impl Iterator<Item = &Arc<MemberRecord>> {
        self.records.values()
    }

    /// Number of records, gone ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records that are not gone.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    /// Live addresses of a zone, in order.
    pub fn peers_in_zone(&self, zone: &str) -> Option<&BTreeSet<SocketAddr>> {
        self.zone_index.get(zone)
    }

    /// All zones with their live addresses.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, &BTreeSet<SocketAddr>)> {
        self.zone_index.iter()
    }

    /// Records of a service's live targets, in address order.
    pub fn records_of_service(&self, service: &Path) -> impl Iterator<Item = &Arc<MemberRecord>> {
        let peers = self.service_index.get(service).into_iter().flatten();
        peers.filter_map(|p| self.records.get(p))
    }

    /// The live neighbours of an address on the ring of its zone, up to `per_side` on each side,
    /// nearest first.
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
        let mut found = Vec::with_capacity(2 * per_side);
        for _ in 0..per_side {
            for peer in [following.next(), preceding.next()].into_iter().flatten() {
                if peer != center && !found.contains(peer) {
                    found.push(*peer);
                }
            }
        }
        found
    }

    /// Digest of the whole table.
    pub fn digest(&self) -> u64 {
        let combine =
            |acc: u64, m: &u64| acc.rotate_left(7) ^ m.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.bucket_digests.iter().fold(0, combine)
    }

    /// Digest of each bucket.
    pub fn bucket_digests(&self) -> &[u64; TABLE_BUCKETS] {
        &self.bucket_digests
    }

    /// Records of the buckets whose digests differ from another table's.
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

    /// Gone members are left out of the digests: tables forget them at different times.
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

fn bucket_of(peer: &SocketAddr) -> usize {
    let mut hash = u64::from(peer.port());
    let hash_byte = |acc: u64, b: u8| (acc ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3);
    hash = match peer.ip() {
        std::net::IpAddr::V4(ip) => ip.octets().into_iter().fold(hash, hash_byte),
        std::net::IpAddr::V6(ip) => ip.octets().into_iter().fold(hash, hash_byte),
    };
    (hash ^ (hash >> 29)) as usize % TABLE_BUCKETS
}
