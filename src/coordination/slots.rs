//! Watcher slots: a fixed few nodes in each availability zone watch the platform's head.
//!
//! Slots are leased keys in the platform. Which nodes try for them is decided by rank among the
//! zone's live members, so the platform's load does not follow the fleet's size. Wide links rank
//! first: a watcher receives every version whole. Holding a slot
//! gives no authority; it is also how joining nodes find their first peers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::{Health, MemberTable};

/// Slots in each availability zone.
pub const SLOTS_PER_ZONE: usize = 2;
/// Time after which an unrenewed lease lapses.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals, and between tries for a slot.
pub const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Nodes of a zone that may try for its slots, beyond the number of slots.
const SPARE_CANDIDATES: usize = 1;

/// What to do about slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStep {
    /// Nothing now.
    Idle,
    /// Try to take this slot of the own zone.
    Acquire(usize),
    /// Renew the held lease.
    Renew(u64),
    /// Another node ranks before this one; give the slot back.
    Release(u64),
}

/// The slot that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSlot {
    /// Number of the slot in the zone.
    pub number: usize,
    /// Lease that the key hangs on.
    pub lease: u64,
    /// When the lease was last known to be good: the time before the call that renewed it.
    pub renewed_at: Instant,
}

/// The slot state machine of one node.
#[derive(Debug)]
pub struct WatcherSlot {
    held: Option<HeldSlot>,
    next_check: Instant,
    tries: usize,
}

impl WatcherSlot {
    /// Starts without a slot.
    pub fn new(now: Instant) -> WatcherSlot {
        WatcherSlot {
            held: None,
            next_check: now,
            tries: 0,
        }
    }

    /// The slot held, if its lease cannot have lapsed by `now`.
    pub fn held(&self, now: Instant) -> Option<HeldSlot> {
        self.held.filter(|h| now - h.renewed_at < LEASE_TTL)
    }

    /// Decides what to do now.
    pub fn next_step(
        &mut self,
        table: &MemberTable,
        zone: &str,
        own: SocketAddr,
        now: Instant,
    ) -> SlotStep {
        if now < self.next_check {
            return SlotStep::Idle;
        }
        self.next_check = now + RENEW_PERIOD;
        let rank = rank(table, zone, own);
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

    /// A slot was taken by a call made at `asked`.
    pub fn record_acquired(&mut self, number: usize, lease: u64, called_at: Instant) {
        self.held = Some(HeldSlot {
            number,
            lease,
            renewed_at: called_at,
        });
    }

    /// The lease was renewed by a call made at `asked`.
    pub fn record_renewed(&mut self, lease: u64, called_at: Instant) {
        if let Some(h) = self.held.as_mut().filter(|h| h.lease == lease) {
            h.renewed_at = called_at;
        }
    }

    /// The platform no longer knows the lease.
    pub fn record_expired(&mut self, lease: u64) {
        self.held = self.held.filter(|h| h.lease != lease);
    }
}

/// Place of a node among the live members of its zone: by its link, then by a hash of the address.
fn rank(table: &MemberTable, zone: &str, own: SocketAddr) -> usize {
    let rank_key = rank_key(table, &own);
    let peers = table.zone(zone).into_iter().flatten();
    peers
        .filter(|p| self::rank_key(table, p) < rank_key)
        .count()
}

fn rank_key(table: &MemberTable, peer: &SocketAddr) -> (Reverse<u32>, (u64, SocketAddr)) {
    let link = table.get(peer).map_or(0, |r| r.link);
    (Reverse(link), address_hash(peer))
}

fn occupied_slots(table: &MemberTable, zone: &str) -> usize {
    let peers = table.zone(zone).into_iter().flatten();
    let is_watcher = |p: &&SocketAddr| {
        let record = table.get(p);
        record.is_some_and(|r| r.watcher && r.health < Health::Suspect)
    };
    peers.filter(is_watcher).count()
}

fn address_hash(peer: &SocketAddr) -> (u64, SocketAddr) {
    let hash = blake3::hash(peer.to_string().as_bytes());
    let head = hash.as_bytes()[..8].try_into().expect("eight bytes");
    (u64::from_le_bytes(head), *peer)
}
