//! Watcher slots: a fixed number of nodes in each availability zone watch the head of the
//! configuration in the platform for new versions.
//!
//! Slots are leased keys in the platform. The rank of a node among the live members of its zone
//! decides whether it tries to acquire a slot, so the load on the platform does not grow with the
//! fleet. Nodes with faster links rank first, because a watcher receives every version in full. A
//! slot gives its holder no authority. Joining nodes also use the slots to find their first peers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::{Health, MemberTable};
use crate::state::revision::{Era, Lease};

/// Number of slots in each availability zone.
pub const SLOTS_PER_ZONE: usize = 2;
/// Time after which a lease expires if it is not renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals, and between attempts to acquire a slot.
pub const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Number of nodes, beyond the number of slots, that may try to acquire a slot of their zone.
const SPARE_CANDIDATES: usize = 1;

/// Up to this fleet size, every node watches the document of an external operator itself.
const WATCH_ALL_MAX_NODES: usize = 16;
/// Time after the start within which a node learns the size of the fleet and its watchers.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// What decides whether a node watches the document of an external operator itself.
#[derive(Clone, Copy, Debug)]
pub struct DocumentWatch {
    /// Whether the node has an up-to-date configuration.
    pub ready: bool,
    /// Time since the node started.
    pub uptime: Duration,
    /// Whether the node holds a watcher slot.
    pub holds_slot: bool,
    /// Number of live members of the fleet.
    pub members_alive: usize,
    /// Whether the member table contains a live watcher of the node's zone.
    pub zone_watched: bool,
}

impl DocumentWatch {
    /// Whether the node watches the document itself. Without a configuration it always does, because
    /// it needs one to become ready. If all nodes restart at one moment, the slots stay occupied by
    /// the leases of the earlier processes, and until they expire no node of the zone may hold one.
    pub fn is_needed(&self) -> bool {
        let few_watchers = all_nodes_watch(self.members_alive) || !self.zone_watched;
        !self.ready || self.holds_slot || (self.uptime >= JOIN_TIME && few_watchers)
    }
}

/// Whether every node of a fleet of this size watches the document itself.
pub fn all_nodes_watch(members_alive: usize) -> bool {
    members_alive <= WATCH_ALL_MAX_NODES
}

/// Next step for the watcher slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStep {
    /// Do nothing now.
    Idle,
    /// Try to acquire the slot with this number in the node's own zone.
    Acquire(usize),
    /// Renew this lease.
    Renew(Lease),
    /// Release this lease, because too many other nodes rank before this one.
    Release(Lease),
}

/// Slot held by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// Number of the slot in its zone.
    pub number: usize,
    /// Lease to which the slot's key is attached.
    pub lease: Lease,
    /// Time at which the lease was last known to be valid: when the call that acquired or renewed
    /// it was sent.
    pub renewed_at: Instant,
}

/// State machine for the watcher slot of one node.
#[derive(Debug)]
pub struct WatcherSlot {
    held: Option<HeldSlot>,
    /// When the node next renews its lease or tries to acquire a slot.
    next_check: Instant,
    /// Number of attempts to acquire a slot; each one tries the next slot of the zone.
    tries: usize,
}

impl WatcherSlot {
    /// Creates the state machine without a slot.
    pub fn new(now: Instant) -> WatcherSlot {
        WatcherSlot {
            held: None,
            next_check: now,
            tries: 0,
        }
    }

    /// The slot that this node holds, or `None` if its lease may have expired by `now`.
    pub fn held(&self, now: Instant) -> Option<HeldSlot> {
        self.held.filter(|h| now - h.renewed_at < LEASE_TTL)
    }

    /// Decides on the next step.
    pub fn next_step(
        &mut self,
        table: &MemberTable,
        zone: &str,
        own_peer: SocketAddr,
        now: Instant,
    ) -> SlotStep {
        if now < self.next_check {
            return SlotStep::Idle;
        }
        self.next_check = now + RENEW_PERIOD;
        let rank = rank(table, zone, own_peer);
        if let Some(held) = self.held(now) {
            if rank >= 2 * SLOTS_PER_ZONE + SPARE_CANDIDATES {
                self.held = None;
                return SlotStep::Release(held.lease);
            }
            return SlotStep::Renew(held.lease);
        }
        self.held = None;
        if rank >= SLOTS_PER_ZONE + SPARE_CANDIDATES
            || occupied_slots(table, zone) >= SLOTS_PER_ZONE
        {
            return SlotStep::Idle;
        }
        self.tries += 1;
        SlotStep::Acquire((rank + self.tries) % SLOTS_PER_ZONE)
    }

    /// Records that a call sent at `called_at` acquired a slot.
    pub fn record_acquired(&mut self, number: usize, lease: Lease, called_at: Instant) {
        self.held = Some(HeldSlot {
            number,
            lease,
            renewed_at: called_at,
        });
    }

    /// Records that a call sent at `called_at` renewed the lease.
    pub fn record_renewed(&mut self, lease: Lease, called_at: Instant) {
        if let Some(h) = self.held.as_mut().filter(|h| h.lease == lease) {
            h.renewed_at = called_at;
        }
    }

    /// Records that the platform no longer has the lease. The slot is acquired again at once.
    pub fn record_expired(&mut self, lease: Lease, now: Instant) {
        if self.held.is_some_and(|h| h.lease == lease) {
            self.held = None;
            self.next_check = now;
        }
    }

    /// Records the newest era of the platform. A lease of an earlier one may be lost.
    pub fn record_era(&mut self, era: Era, now: Instant) {
        if let Some(held) = self.held.filter(|h| h.lease.era < era) {
            self.record_expired(held.lease, now);
        }
    }
}

/// Rank of a node among the live members of its zone: by link rate, then by a hash of the address.
fn rank(table: &MemberTable, zone: &str, own_peer: SocketAddr) -> usize {
    let own_key = rank_key(table, &own_peer);
    let peers = table.peers_in_zone(zone).into_iter().flatten();
    peers.filter(|p| self::rank_key(table, p) < own_key).count()
}

fn rank_key(table: &MemberTable, peer: &SocketAddr) -> (Reverse<u32>, (u64, SocketAddr)) {
    let link_mbit = table.get(peer).map_or(0, |r| r.link_mbit);
    (Reverse(link_mbit), address_hash(peer))
}

/// Whether the member table contains a live watcher of a zone.
pub fn is_zone_watched(table: &MemberTable, zone: &str) -> bool {
    occupied_slots(table, zone) > 0
}

fn occupied_slots(table: &MemberTable, zone: &str) -> usize {
    let peers = table.peers_in_zone(zone).into_iter().flatten();
    let is_watcher = |p: &&SocketAddr| {
        let record = table.get(p);
        record.is_some_and(|r| r.watcher && r.health < Health::Suspect)
    };
    peers.filter(is_watcher).count()
}

fn address_hash(peer: &SocketAddr) -> (u64, SocketAddr) {
    let hash = blake3::hash(peer.to_string().as_bytes());
    let prefix = hash.as_bytes()[..8]
        .try_into()
        .expect("a hash has at least 8 bytes");
    (u64::from_le_bytes(prefix), *peer)
}
