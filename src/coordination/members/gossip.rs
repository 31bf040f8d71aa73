//! Gossip of member records, each of which is sent a limited number of times, and comparison of
//! tables to repair what gossip did not deliver.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Members, Message, Outbox, PeerSummary};
use crate::state::member::{MemberRecord, TABLE_BUCKETS};

/// Minimum interval between two messages with table digests.
pub const DIGEST_PERIOD: Duration = Duration::from_secs(2);
/// Number of differing buckets from which the whole tables are exchanged.
const FULL_SYNC_MIN_BUCKETS: usize = 16;
/// The interval between full exchanges grows by one second per this many records, which limits
/// their traffic to about 64 KB/s.
const SYNC_RECORDS_PER_SECOND: usize = 1000;
/// Maximum number of records in one datagram; keeps the datagram below a common MTU of 1,400 bytes.
pub const RECORDS_PER_DATAGRAM: usize = 10;
/// Number of times a record is sent, in addition to the binary logarithm of the fleet's size.
/// Receiving the record again also counts as one transmission.
const BASE_TRANSMISSIONS: u32 = 2;
/// Number of records being gossiped from which new ones are sent only `BASE_TRANSMISSIONS` times;
/// table repair delivers the rest.
const GOSSIP_BACKLOG_MAX: usize = 64;
/// Number of peers that each batch of gossip is sent to.
const GOSSIP_FANOUT: usize = 2;

impl Members {
    /// Merges the whole table of a peer and gossips the records that are missing or outdated in it,
    /// so that two parts of a fleet that come into contact receive each other's records in both
    /// directions.
    pub fn merge_table(&mut self, theirs: &[MemberRecord], now: Instant) {
        let known: HashMap<SocketAddr, &MemberRecord> =
            theirs.iter().map(|r| (r.peer, r)).collect();
        let lacks = |r: &&Arc<MemberRecord>| {
            let theirs = known.get(&r.peer);
            r.health.is_alive() && theirs.is_none_or(|t| t.precedence() < r.precedence())
        };
        let lacking: Vec<SocketAddr> = self.table.records().filter(lacks).map(|r| r.peer).collect();
        self.merge_records(theirs, now);
        // If the peer lacks many records, it requests the whole table itself.
        if lacking.len() < GOSSIP_BACKLOG_MAX {
            lacking.into_iter().for_each(|peer| self.queue_gossip(peer));
        }
    }

    /// Peer whose whole table is to be requested, if a full exchange is due.
    pub fn take_sync_peer(&mut self) -> Option<SocketAddr> {
        self.sync_peer.take()
    }

    /// Queues the record of a member to be gossiped.
    pub(super) fn queue_gossip(&mut self, peer: SocketAddr) {
        let extra_transmissions = match self.gossip.len() < GOSSIP_BACKLOG_MAX {
            true => self.table.alive_count().max(1).ilog2(),
            false => 0,
        };
        self.gossip
            .insert(peer, BASE_TRANSMISSIONS + extra_transmissions);
    }

    /// Counts one transmission of a member's record, and removes the record from the queue after the
    /// last one.
    pub(super) fn count_transmission(&mut self, peer: &SocketAddr) {
        if let Some(transmissions_left) = self.gossip.get_mut(peer) {
            *transmissions_left -= 1;
            if *transmissions_left == 0 {
                self.gossip.remove(peer);
            }
        }
    }

    /// Sends this node's table digests if the peer's table differs.
    pub(super) fn check_table_digest(
        &mut self,
        from: SocketAddr,
        summary: PeerSummary,
        now: Instant,
        out: &mut Outbox,
    ) {
        if summary.table_digest != 0 && summary.table_digest != self.table.digest() {
            self.send_table_digests(from, now, out);
        }
    }

    /// Sends this node's table digests, at most once in [`DIGEST_PERIOD`].
    pub(super) fn send_table_digests(&mut self, to: SocketAddr, now: Instant, out: &mut Outbox) {
        if now < self.next_digests {
            return;
        }
        self.next_digests = now + DIGEST_PERIOD;
        let digests = Box::new(*self.table.bucket_digests());
        out.push((to, Message::TableDigests { digests }));
    }

    /// Sends a random selection of the records in buckets whose digests differ from the peer's.
    pub(super) fn send_differing_records(
        &mut self,
        to: SocketAddr,
        digests: &[u64; TABLE_BUCKETS],
        out: &mut Outbox,
    ) {
        let differing: Vec<MemberRecord> = self
            .table
            .records_in_differing_buckets(digests)
            .map(|r| (**r).clone())
            .collect();
        let max_records = RECORDS_PER_DATAGRAM * 4;
        let chosen = self.rng.choose_multiple(differing, max_records);
        for records in chosen.chunks(RECORDS_PER_DATAGRAM) {
            let records = records.to_vec();
            out.push((to, Message::Gossip { records }));
        }
    }

    /// Schedules an exchange of whole tables if they differ in many buckets; the larger the table,
    /// the less often.
    pub(super) fn plan_full_sync(
        &mut self,
        peer: SocketAddr,
        digests: &[u64; TABLE_BUCKETS],
        now: Instant,
    ) {
        let pairs = self.table.bucket_digests().iter().zip(digests);
        let differing = pairs.filter(|(a, b)| a != b).count();
        if differing < FULL_SYNC_MIN_BUCKETS || now < self.next_full_sync {
            return;
        }
        if !self.may_sync_with(peer) {
            return;
        }
        let extra_wait = Duration::from_secs((self.table.len() / SYNC_RECORDS_PER_SECOND) as u64);
        self.next_full_sync = now + DIGEST_PERIOD + extra_wait;
        self.sync_peer = Some(peer);
    }

    pub(super) fn send_gossip(&mut self, out: &mut Outbox) {
        if self.gossip.is_empty() {
            return;
        }
        for peer in self.sample_news_peers(GOSSIP_FANOUT) {
            let records = self.take_gossip();
            if records.is_empty() {
                return;
            }
            out.push((peer, Message::Gossip { records }));
        }
    }

    /// Returns the records with the most transmissions left, for one datagram, and counts one
    /// transmission for each.
    pub(super) fn take_gossip(&mut self) -> Vec<MemberRecord> {
        let mut candidates: Vec<(u32, SocketAddr)> =
            self.gossip.iter().map(|(p, n)| (*n, *p)).collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.truncate(RECORDS_PER_DATAGRAM);
        let mut records = Vec::with_capacity(candidates.len());
        for (_, peer) in candidates {
            records.extend(self.table.get(&peer).map(|r| (**r).clone()));
            self.count_transmission(&peer);
        }
        records
    }
}
