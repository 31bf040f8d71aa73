//! Choice of peers by availability zone.
//!
//! Bytes between zones are expensive, and in a fleet of several zones most random peers are in
//! another zone. Gossip therefore goes mostly to the node's own zone: a record that reaches a zone
//! spreads within it, so that few copies of it need to cross.

use std::net::SocketAddr;

use super::Members;

/// Number of live members of the node's own zone from which peers are chosen by zone. In a smaller
/// zone, the loss of a few members could keep a record from leaving it.
const LOCAL_ZONE_MIN_MEMBERS: usize = 8;
/// Share of gossip and of announcements that go to any zone.
const REMOTE_GOSSIP_SHARE: f64 = 0.125;
/// Number of members of other zones that are probed, relative to those of the own zone.
const REMOTE_PROBE_RATIO: f64 = 0.25;

impl Members {
    /// Live peers for gossip and announcements, chosen at random, mostly in this node's zone.
    pub fn sample_news_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count {
            let remote = !self.prefers_own_zone() || self.rng.f64() < REMOTE_GOSSIP_SHARE;
            let peer = match remote {
                true => self.sample_peers(1).pop(),
                false => self.sample_own_zone(1).pop(),
            };
            peers.extend(peer.filter(|p| !peers.contains(p)));
        }
        peers
    }

    /// Whether tables are compared in full with this peer.
    pub(super) fn may_sync_with(&mut self, peer: SocketAddr) -> bool {
        let is_local = self
            .table
            .get(&peer)
            .is_some_and(|r| r.zone == self.own_record.zone);
        is_local || !self.prefers_own_zone() || self.rng.f64() < REMOTE_GOSSIP_SHARE
    }

    /// Peers to probe in the next round, in random order: all of this node's zone, and some of the
    /// other zones, whose members are probed by their own zone as well.
    pub(super) fn probe_round(&mut self) -> Vec<SocketAddr> {
        let mut peers = self.live_peers().to_vec();
        self.rng.shuffle(&mut peers);
        if !self.prefers_own_zone() {
            return peers;
        }
        let own_zone = &self.own_record.zone;
        let is_local = |p: &SocketAddr| self.table.get(p).is_some_and(|r| r.zone == *own_zone);
        let local_count = peers.iter().filter(|p| is_local(p)).count();
        let mut remote_left = (local_count as f64 * REMOTE_PROBE_RATIO).ceil() as usize;
        peers.retain(|p| {
            if is_local(p) {
                return true;
            }
            let kept = remote_left > 0;
            remote_left = remote_left.saturating_sub(1);
            kept
        });
        peers
    }

    fn prefers_own_zone(&self) -> bool {
        let zone = self.table.peers_in_zone(&self.own_record.zone);
        zone.is_some_and(|peers| peers.len() >= LOCAL_ZONE_MIN_MEMBERS)
    }
}
