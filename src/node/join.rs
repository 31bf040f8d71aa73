//! Joining the fleet: finds peers, exchanges member tables with them, and obtains an up-to-date
//! configuration before the node becomes ready.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::{Actions, PullReply};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::record::{SLOT_PREFIX, decode_slot};
use crate::state::id::Version;
use crate::state::member::MemberRecord;
use crate::transport::link::send_request;
use crate::transport::platform::{Platform, Value};

/// Number of replies after which a join round stops contacting peers.
const ROUND_REPLIES: usize = 3;
/// Limit on the peers contacted in a join round.
const ROUND_PEERS_MAX: usize = 16;
/// Time for which a contacted peer may be silent before the next one is contacted as well.
const SILENT_PEER_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a member table exchange with a peer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest upper bound of the random delay between join rounds.
const ROUND_DELAY_MAX: Duration = Duration::from_secs(5);
/// Upper bound of the random delay after the first join round; it doubles with each round.
const ROUND_DELAY_MIN: Duration = Duration::from_millis(100);
/// Time for which a node that joins while the platform is down waits for newer versions to
/// propagate.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Peers that a node asks for their newest known version when it joins while the platform is down.
const SAMPLE_PEERS: usize = 16;
/// Timeout of a request for a peer's versions.
const VERSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether the configuration is up to date.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a join round fails if the configuration has not arrived.
const READY_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time after the start for which the gate stays closed because no peer has told what an
/// earlier process at this address published.
const HISTORY_WAIT_MAX: Duration = Duration::from_millis(1500);
/// Longest interval between comparisons of a joined node's member table with the watcher slots.
const REJOIN_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Shortest interval between these comparisons: just after joining, and while the table grows or
/// contains only this node.
const REJOIN_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// The versions that a join round found.
struct RoundResult {
    /// The newest version in the platform, or `None` if the platform did not respond.
    head: Option<Version>,
    /// The newest version that the replying peers know, and the number of replies.
    peers: (Version, usize),
}

/// The result of contacting one peer.
pub(super) enum ContactResult {
    /// The peer replied with the newest version that it knows.
    Version(Version),
    /// The peer is at its concurrency limit, and suggests these other peers.
    Busy(Vec<SocketAddr>),
    /// The peer did not reply, or sent an unexpected reply.
    NoReply,
}

impl<P: Platform> Node<P> {
    /// Joins the fleet, makes the node ready, and then runs [`Node::rejoin_loop`].
    pub(super) async fn join_loop(self: Arc<Self>) {
        sleep_random_up_to(self.settings.join_jitter).await;
        // Waits for the read from the platform to end, since peers would send the configuration
        // over the same network link at the same time.
        if P::EXTERNAL_CONFIG {
            self.first_read.notified().await;
        }
        let mut delay = ROUND_DELAY_MIN;
        while !self.join_round().await {
            sleep_random_up_to(delay).await;
            delay = (delay * 2).min(ROUND_DELAY_MAX);
        }
        self.become_ready();
        self.rejoin_loop().await;
    }

    /// Whether the node knows what an earlier process at its address published about the local
    /// target, or has waited for it long enough.
    pub(super) fn is_history_known(&self) -> bool {
        self.history_known.load(Ordering::Acquire) || self.started.elapsed() >= HISTORY_WAIT_MAX
    }

    /// Makes a node ready that has read the operator's document, if it knows of no newer version.
    pub(super) fn become_ready_with_document(&self) {
        let newest_known = lock(&self.distribution).newest_known();
        if self.has_read_document() && self.version() >= newest_known {
            self.become_ready();
        }
    }

    fn has_read_document(&self) -> bool {
        self.document_read.load(Ordering::Acquire)
    }

    /// Makes the node ready to serve callers.
    pub(super) fn become_ready(&self) {
        if !self.ready.swap(true, Ordering::AcqRel) {
            log::info!("ready version={}", self.version());
        }
    }

    /// Runs one join round: contacts peers, reads the platform's head, and waits for the
    /// configuration. Returns whether the node has an up-to-date configuration.
    async fn join_round(self: &Arc<Self>) -> bool {
        let slots = self.platform.list(SLOT_PREFIX).await;
        let mut candidates = self.settings.peers.clone();
        fastrand::shuffle(&mut candidates);
        candidates.extend(self.slot_holders(slots.as_deref().unwrap_or_default()));
        // A slot of this address was acquired by an earlier process, which peers may remember.
        let is_first_node = slots.is_ok() && candidates.is_empty();
        let peers = self.join_peers(candidates).await;
        if is_first_node {
            self.history_known.store(true, Ordering::Release);
        }
        let head = self.platform_version().await;
        self.wait_for_version(RoundResult { head, peers }).await
    }

    /// Returns the holders of the watcher slots in random order, those in this node's zone last,
    /// which are contacted first.
    fn slot_holders(&self, slots: &[(String, Value)]) -> Vec<SocketAddr> {
        let own_zone = format!("{SLOT_PREFIX}{}/", self.settings.zone);
        let mut slots: Vec<_> = slots.iter().collect();
        fastrand::shuffle(&mut slots);
        slots.sort_by_key(|(key, _)| key.starts_with(&own_zone));
        let holders = slots.iter().map(|(_, value)| decode_slot(&value.text));
        holders.flatten().collect()
    }

    /// Returns the newest version in the platform, or `None` if the platform did not respond.
    async fn platform_version(&self) -> Option<Version> {
        if P::EXTERNAL_CONFIG {
            return self.has_read_document().then(|| self.version());
        }
        let found = self.read_head().await.ok()?;
        Some(found.map_or(Version(0), |(head, _)| head.version))
    }

    /// Contacts a few peers: learns the member table from them, and returns the newest version that
    /// they know and the number of replies. A busy peer suggests others, so that the load of many
    /// nodes that join at the same time spreads over the fleet.
    ///
    /// One peer is contacted after the other, since the first reply contains the whole table. While
    /// a peer is silent, for example because its instance has lost power, the next one is contacted
    /// as well.
    pub(super) async fn join_peers(
        self: &Arc<Self>,
        mut candidates: Vec<SocketAddr>,
    ) -> (Version, usize) {
        let (mut newest, mut replies, mut contacted) = (Version(0), 0, 0);
        let mut seen = HashSet::from([self.addresses.peers]);
        let mut contacts = JoinSet::new();
        while replies < ROUND_REPLIES {
            let next = match contacted < ROUND_PEERS_MAX {
                true => next_unseen(&mut candidates, &mut seen),
                false => None,
            };
            if let Some(peer) = next {
                contacted += 1;
                let node = self.clone();
                contacts.spawn(async move { node.contact_peer(peer).await });
            } else if contacts.is_empty() {
                break;
            }
            match tokio::time::timeout(SILENT_PEER_DELAY, contacts.join_next()).await {
                Ok(Some(Ok(ContactResult::Version(version)))) => {
                    newest = newest.max(version);
                    replies += 1;
                }
                Ok(Some(Ok(ContactResult::Busy(others)))) => candidates.extend(others),
                Ok(Some(Ok(ContactResult::NoReply) | Err(_)) | None) => {}
                // The peers that have replied suffice.
                Err(_) if next.is_none() && replies > 0 => break,
                Err(_) => {}
            }
        }
        (newest, replies)
    }

    /// Exchanges member tables with a peer that is not a live member of the table; asks a live
    /// member only for its versions.
    async fn contact_peer(self: &Arc<Self>, peer: SocketAddr) -> ContactResult {
        match self.knows_live_peer(&peer) {
            true => self.request_version(peer, PeerRequest::Versions).await,
            false => self.sync_members_with(peer).await,
        }
    }

    /// Sends this node's member record to a peer, and merges the member table that the peer
    /// returns.
    pub(super) async fn sync_members_with(self: &Arc<Self>, peer: SocketAddr) -> ContactResult {
        let own = lock(&self.members).own_record().clone();
        self.request_version(peer, PeerRequest::Join(own)).await
    }

    /// Sends a request to a peer, and handles the member table or the versions in its reply.
    async fn request_version(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> ContactResult {
        let Ok((reply, bytes)) = send_request(&self.fleet_key, peer, &request, JOIN_TIMEOUT).await
        else {
            return ContactResult::NoReply;
        };
        self.metrics.record_exchange("join", bytes);
        let version = match reply {
            PeerReply::Table(records, version) => {
                self.merge_members(&records);
                self.history_known.store(true, Ordering::Release);
                version
            }
            PeerReply::Versions(active, newest_known) => active.max(newest_known),
            PeerReply::Pull(PullReply::Busy(others)) => return ContactResult::Busy(others),
            _ => return ContactResult::NoReply,
        };
        let mut actions = Actions::new();
        lock(&self.distribution).handle_version(peer, version, Instant::now(), &mut actions);
        self.execute(actions);
        self.become_ready_with_document();
        ContactResult::Version(version)
    }

    fn merge_members(&self, records: &[MemberRecord]) {
        lock(&self.members).merge_table(records, Instant::now());
        self.sync_incarnation();
    }

    /// Copies the incarnation of this node's member record to the gate and to the datagram sender.
    /// The incarnation in the record is raised if an earlier process at this address had a larger
    /// one, because its clock was ahead. Peers reject messages of an earlier incarnation.
    pub(super) fn sync_incarnation(&self) {
        let incarnation = lock(&self.members).own_record().incarnation;
        if lock(&self.sender).sealer.incarnation() == incarnation {
            return;
        }
        lock(&self.gate).gate.set_incarnation(incarnation);
        lock(&self.sender).sealer.set_incarnation(incarnation);
    }

    /// Waits until the configuration is at least as new as the versions that the round found. If
    /// the platform is down, the newest version of the peers counts, provided that a peer replied.
    /// Returns whether the configuration is up to date.
    async fn wait_for_version(self: &Arc<Self>, round: RoundResult) -> bool {
        let min_version = match (round.head, round.peers) {
            (Some(head), (newest, _)) => head.max(newest),
            (None, (newest, replies)) if replies > 0 => {
                newest.max(self.newest_sampled_version().await)
            }
            (None, _) => return false,
        };
        // Without a document there are no routes for callers' requests.
        if P::EXTERNAL_CONFIG && min_version == Version(0) {
            return false;
        }
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).handle_head_change(min_version, now, &mut actions);
        self.execute(actions);
        while self.version() < min_version {
            if now.elapsed() > READY_TIMEOUT {
                return false;
            }
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        true
    }

    /// Returns the newest version that a larger sample of the fleet knows. Waits first, so that a
    /// version that is still being propagated can reach the sample; no new versions are accepted
    /// while the platform is down.
    async fn newest_sampled_version(self: &Arc<Self>) -> Version {
        tokio::time::sleep(SETTLE_TIME).await;
        let peers = lock(&self.members).sample_peers(SAMPLE_PEERS);
        let mut newest = lock(&self.distribution).newest_known();
        let mut requests = JoinSet::new();
        for peer in peers {
            let node = self.clone();
            requests.spawn(async move { node.request_newest(peer).await });
        }
        while let Some(reply) = requests.join_next().await {
            newest = newest.max(reply.ok().flatten().unwrap_or_default());
        }
        newest
    }

    /// Returns the newest version that a peer knows, or `None` if it does not reply.
    async fn request_newest(&self, peer: SocketAddr) -> Option<Version> {
        let request = PeerRequest::Versions;
        match send_request(&self.fleet_key, peer, &request, VERSION_TIMEOUT).await {
            Ok((PeerReply::Versions(active, newest_known), _)) => Some(active.max(newest_known)),
            _ => None,
        }
    }

    /// Compares the member table with the holders of the watcher slots from time to time. Watchers
    /// do so to merge the parts of a fleet after a partition. A node that knows no other node does
    /// so too, because all nodes may have started at the same moment, before any of them had
    /// acquired a slot.
    async fn rejoin_loop(self: &Arc<Self>) {
        let mut interval = REJOIN_INTERVAL_MIN;
        loop {
            tokio::time::sleep(interval).await;
            sleep_random_up_to(self.settings.join_jitter).await;
            let alive_before = self.members_alive();
            if alive_before <= 1 || self.holds_slot() {
                self.join_slot_holders().await;
            }
            let grew = self.members_alive() > alive_before;
            interval = if alive_before <= 1 || grew {
                REJOIN_INTERVAL_MIN
            } else {
                (interval * 2).min(REJOIN_INTERVAL_MAX)
            };
        }
    }

    /// Joins the holders of watcher slots and the configured peers that are not in the member
    /// table.
    async fn join_slot_holders(self: &Arc<Self>) {
        let slots = self.platform.list(SLOT_PREFIX).await;
        self.join_holders(slots.as_deref().unwrap_or_default())
            .await;
    }

    /// Joins the holders of the given watcher slots and the configured peers that are not in the
    /// member table.
    pub(super) async fn join_holders(self: &Arc<Self>, slots: &[(String, Value)]) {
        let mut candidates = self.settings.peers.clone();
        candidates.extend(self.slot_holders(slots));
        candidates.retain(|p| !self.knows_live_peer(p));
        self.join_peers(candidates).await;
    }

    /// Returns whether a peer is in the member table and alive.
    pub(super) fn knows_live_peer(&self, peer: &SocketAddr) -> bool {
        let members = lock(&self.members);
        members
            .table()
            .get(peer)
            .is_some_and(|r| r.health.is_alive())
    }
}

/// Removes candidates until one was not seen before, and returns that one.
fn next_unseen(
    candidates: &mut Vec<SocketAddr>,
    seen: &mut HashSet<SocketAddr>,
) -> Option<SocketAddr> {
    while let Some(peer) = candidates.pop() {
        if seen.insert(peer) {
            return Some(peer);
        }
    }
    None
}

/// Sleeps for a random time of at most `max`.
async fn sleep_random_up_to(max: Duration) {
    tokio::time::sleep(max.mul_f64(fastrand::f64())).await;
}
