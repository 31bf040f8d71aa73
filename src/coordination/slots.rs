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
    Take(usize),
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
    pub renewed: Instant,
}

/// The slot state machine of one node.
#[derive(Debug)]
pub struct Slots {
    held: Option<HeldSlot>,
    next: Instant,
    attempt: usize,
}

impl Slots {
    /// Starts without a slot.
    pub fn new(now: Instant) -> Slots {
        Slots {
            held: None,
            next: now,
            attempt: 0,
        }
    }

    /// The slot held, if its lease cannot have lapsed by `now`.
    pub fn held(&self, now: Instant) -> Option<HeldSlot> {
        self.held.filter(|h| now - h.renewed < LEASE_TTL)
    }

    /// Decides what to do now.
    pub fn step(
        &mut self,
        table: &MemberTable,
        zone: &str,
        own: SocketAddr,
        now: Instant,
    ) -> SlotStep {
        if now < self.next {
            return SlotStep::Idle;
        }
        self.next = now + RENEW_PERIOD;
        let rank = rank(table, zone, own);
        if let Some(held) = self.held(now) {
            if rank >= 2 * SLOTS_PER_ZONE + SPARE_CANDIDATES {
                self.held = None;
                return SlotStep::Release(held.lease);
            }
            return SlotStep::Renew(held.lease);
        }
        self.held = None;
        if rank >= SLOTS_PER_ZONE + SPARE_CANDIDATES || taken(table, zone) >= SLOTS_PER_ZONE {
            return SlotStep::Idle;
        }
        self.attempt += 1;
        SlotStep::Take((rank + self.attempt) % SLOTS_PER_ZONE)
    }

    /// A slot was taken by a call made at `asked`.
    pub fn took(&mut self, number: usize, lease: u64, asked: Instant) {
        self.held = Some(HeldSlot {
            number,
            lease,
            renewed: asked,
        });
    }

    /// The lease was renewed by a call made at `asked`.
    pub fn renewed(&mut self, lease: u64, asked: Instant) {
        if let Some(h) = self.held.as_mut().filter(|h| h.lease == lease) {
            h.renewed = asked;
        }
    }

    /// The platform no longer knows the lease.
    pub fn lapsed(&mut self, lease: u64) {
        self.held = self.held.filter(|h| h.lease != lease);
    }
}

/// Place of a node among the live members of its zone: by its link, then by a hash of the address.
fn rank(table: &MemberTable, zone: &str, own: SocketAddr) -> usize {
    let place = place(table, &own);
    let peers = table.peers_in_zone(zone).into_iter().flatten();
    peers.filter(|p| self::place(table, p) < place).count()
}

fn place(table: &MemberTable, peer: &SocketAddr) -> (Reverse<u32>, (u64, SocketAddr)) {
    let link = table.get(peer).map_or(0, |r| r.link_mbit);
    (Reverse(link), mark(peer))
}

fn taken(table: &MemberTable, zone: &str) -> usize {
    let peers = table.peers_in_zone(zone).into_iter().flatten();
    let holds = |p: &&SocketAddr| {
        let record = table.get(p);
        record.is_some_and(|r| r.watcher && r.health < Health::Suspect)
    };
    peers.filter(holds).count()
}

fn mark(peer: &SocketAddr) -> (u64, SocketAddr) {
    let hash = blake3::hash(peer.to_string().as_bytes());
    let head = hash.as_bytes()[..8].try_into().expect("eight bytes");
    (u64::from_le_bytes(head), *peer)
}
