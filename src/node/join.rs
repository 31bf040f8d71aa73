//! Joining the fleet: first peers, the member table, and a current configuration before serving.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::{Actions, Pulled};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::record::{SLOT_PREFIX, decode_slot};
use crate::state::id::Version;
use crate::state::member::Record;
use crate::transport::link::ask;
use crate::transport::platform::Platform;

/// Peers that answer in one round of joining.
const ROUND_REPLIES: usize = 3;
/// Peers asked in one round of joining.
const ROUND_PEERS_MAX: usize = 16;
/// Time within which a peer sends its table.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait between rounds of joining.
const ROUND_DELAY_MAX: Duration = Duration::from_secs(5);
/// Shortest wait between rounds of joining.
const ROUND_DELAY_MIN: Duration = Duration::from_millis(100);
/// Time for which a node that joins without the platform listens for newer versions.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Peers asked what they have heard of by a node that joins without the platform.
const SAMPLE_PEERS: usize = 16;
/// Time within which a peer tells what it has heard of.
const VERSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between looks at whether the configuration is current.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a round starts over when the configuration has not come.
const READY_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest interval between comparisons of a joined node's table with the watcher slots.
const REJOIN_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// The same interval just after joining, and while the table grows or holds this node alone.
const REJOIN_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// What a round of joining found.
struct RoundResult {
    /// The newest version known to the platform, if it answered.
    head: Option<Version>,
    /// The newest version held by the peers that answered, and how many did.
    peers: (Version, usize),
}

/// What came of asking one peer.
pub(super) enum PeerAnswer {
    /// It answered with the newest version that it has heard of.
    Version(Version),
    /// It serves as many as it may; these are others.
    Busy(Vec<SocketAddr>),
    /// It did not answer.
    NoReply,
}

impl<P: Platform> Node<P> {
    pub(super) async fn join_loop(self: Arc<Self>) {
        sleep_random_up_to(self.settings.join_jitter).await;
        // Peers would send the configuration over the same link as the platform does: one of them
        // at a time.
        if P::EXTERNAL {
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

    pub(super) fn become_ready(&self) {
        if !self.ready.swap(true, Ordering::AcqRel) {
            log::info!("ready version={}", self.version());
        }
    }

    async fn join_round(self: &Arc<Self>) -> bool {
        let slots = self.platform.list(SLOT_PREFIX).await;
        let holders = slots.iter().flatten();
        let holders = holders.filter_map(|(_, v)| decode_slot(&v.text));
        let mut known: Vec<SocketAddr> = holders.collect();
        known.extend(&self.settings.peers);
        let peers = self.join_peers(known).await;
        let head = self.platform_version().await;
        self.wait_for_version(RoundResult { head, peers }).await
    }

    /// The newest version in the platform; none if the platform did not answer.
    async fn platform_version(&self) -> Option<Version> {
        // A node that read the operator's document is ready with it.
        if P::EXTERNAL {
            return self.is_ready().then(|| self.version());
        }
        let found = self.read_head().await.ok()?;
        Some(found.map_or(Version(0), |(head, _)| head.version))
    }

    /// Learns the member table from one of the known peers, and the newest version that a few
    /// have heard of. A busy peer names others, so that a herd spreads over the fleet.
    pub(super) async fn join_peers(
        self: &Arc<Self>,
        mut candidates: Vec<SocketAddr>,
    ) -> (Version, usize) {
        fastrand::shuffle(&mut candidates);
        let (mut newest, mut answers, mut contacted) = (Version(0), 0, 0);
        let mut seen = HashSet::from([self.addresses.peers]);
        while let Some(peer) = candidates.pop() {
            if !seen.insert(peer) {
                continue;
            }
            contacted += 1;
            match self.contact_peer(peer).await {
                PeerAnswer::Version(version) => {
                    newest = newest.max(version);
                    answers += 1;
                }
                PeerAnswer::Busy(others) => candidates.extend(others),
                PeerAnswer::NoReply => {}
            }
            if answers == ROUND_REPLIES || contacted == ROUND_PEERS_MAX {
                break;
            }
        }
        (newest, answers)
    }

    /// Exchanges tables with a peer that is not known yet; asks a known one for its version.
    async fn contact_peer(self: &Arc<Self>, peer: SocketAddr) -> PeerAnswer {
        match self.knows_live_peer(&peer) {
            true => self.request_version(peer, PeerRequest::Held).await,
            false => self.sync_members_with(peer).await,
        }
    }

    /// Exchanges whole member tables with a peer.
    pub(super) async fn sync_members_with(self: &Arc<Self>, peer: SocketAddr) -> PeerAnswer {
        let own = lock(&self.members).own().clone();
        self.request_version(peer, PeerRequest::Join(own)).await
    }

    async fn request_version(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> PeerAnswer {
        let Ok((reply, bytes)) = ask(&self.key, peer, &request, JOIN_TIMEOUT).await else {
            return PeerAnswer::NoReply;
        };
        self.metrics.record_exchange("join", bytes);
        let version = match reply {
            PeerReply::Table(records, version) => {
                self.merge_members(&records);
                version
            }
            PeerReply::Held(held, wanted) => held.max(wanted),
            PeerReply::Pulled(Pulled::Busy(others)) => return PeerAnswer::Busy(others),
            _ => return PeerAnswer::NoReply,
        };
        let mut actions = Actions::new();
        lock(&self.distribution).hear(peer, version, Instant::now(), &mut actions);
        self.execute(actions);
        PeerAnswer::Version(version)
    }

    fn merge_members(&self, records: &[Record]) {
        lock(&self.members).exchange(records, Instant::now());
        self.sync_incarnation();
    }

    /// An earlier life of this address may have had a clock that was ahead. The node then raises
    /// its incarnation, and gate and datagrams follow: peers refuse those of an earlier life.
    pub(super) fn sync_incarnation(&self) {
        let incarnation = lock(&self.members).own().incarnation;
        if lock(&self.sender).sealer.incarnation() == incarnation {
            return;
        }
        lock(&self.gate).gate.set_incarnation(incarnation);
        lock(&self.sender).sealer.set_incarnation(incarnation);
    }

    /// Waits until the configuration is at least as new as what the round found. With the
    /// platform down, the peers' newest version counts, if any peer answered.
    async fn wait_for_version(self: &Arc<Self>, round: RoundResult) -> bool {
        let min_version = match (round.head, round.peers) {
            (Some(head), (peers, _)) => head.max(peers),
            (None, (peers, answers)) if answers > 0 => {
                peers.max(self.newest_sampled_version().await)
            }
            (None, _) => return false,
        };
        // Without any document there is nothing to serve callers by.
        if P::EXTERNAL && min_version == Version(0) {
            return false;
        }
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).head_moved(min_version, now, &mut actions);
        self.execute(actions);
        while self.version() < min_version {
            if now.elapsed() > READY_TIMEOUT {
                return false;
            }
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        true
    }

    /// The newest version that a wider sample of the fleet has heard of, after a while in which
    /// a version under way reaches the sample. Nothing is accepted while the platform is down.
    async fn newest_sampled_version(&self) -> Version {
        tokio::time::sleep(SETTLE_TIME).await;
        let peers = lock(&self.members).sample(SAMPLE_PEERS);
        let mut newest = lock(&self.distribution).wanted();
        for peer in peers {
            let reply = ask(&self.key, peer, &PeerRequest::Held, VERSION_TIMEOUT).await;
            if let Ok((PeerReply::Held(held, wanted), _)) = reply {
                newest = newest.max(held).max(wanted);
            }
        }
        newest
    }

    /// Watchers compare their table with the slots, so that fleets that were apart merge again. A
    /// node that knows of no other does too: a whole fleet may have started at one moment.
    async fn rejoin_loop(self: &Arc<Self>) {
        let mut interval = REJOIN_INTERVAL_MIN;
        loop {
            tokio::time::sleep(interval).await;
            sleep_random_up_to(self.settings.join_jitter).await;
            let before = self.members_alive();
            if before <= 1 || lock(&self.watcher_slot).held(Instant::now()).is_some() {
                self.join_slot_holders().await;
            }
            let grew = self.members_alive() > before;
            interval = if before <= 1 || grew {
                REJOIN_INTERVAL_MIN
            } else {
                (interval * 2).min(REJOIN_INTERVAL_MAX)
            };
        }
    }

    async fn join_slot_holders(self: &Arc<Self>) {
        let slots = self.platform.list(SLOT_PREFIX).await;
        let holders = slots.iter().flatten();
        let mut known: Vec<SocketAddr> =
            holders.filter_map(|(_, v)| decode_slot(&v.text)).collect();
        known.extend(&self.settings.peers);
        known.retain(|p| !self.knows_live_peer(p));
        self.join_peers(known).await;
    }

    pub(super) fn knows_live_peer(&self, peer: &SocketAddr) -> bool {
        let members = lock(&self.members);
        members
            .table()
            .get(peer)
            .is_some_and(|r| r.health.is_alive())
    }
}

async fn sleep_random_up_to(max: Duration) {
    tokio::time::sleep(max.mul_f64(fastrand::f64())).await;
}
