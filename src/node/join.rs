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
use crate::state::member::MemberRecord;
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Peers that answer in one round of joining.
const ANSWERS: usize = 3;
/// Peers asked in one round of joining.
const ASKED: usize = 16;
/// Time within which a peer sends its table.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait between rounds of joining.
const ROUND_MAX: Duration = Duration::from_secs(5);
/// Shortest wait between rounds of joining.
const ROUND_MIN: Duration = Duration::from_millis(100);
/// Time for which a node that joins without the platform listens for newer versions.
const SETTLE: Duration = Duration::from_secs(1);
/// Peers asked what they have heard of by a node that joins without the platform.
const WITNESSES: usize = 16;
/// Time within which a peer tells what it has heard of.
const HELD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between looks at whether the configuration is current.
const READY_POLL: Duration = Duration::from_millis(10);
/// Time after which a round starts over when the configuration has not come.
const READY_PATIENCE: Duration = Duration::from_secs(3);
/// Longest interval between comparisons of a joined node's table with the watcher slots.
const REJOIN_MAX: Duration = Duration::from_secs(10);
/// The same interval just after joining, and while the table grows or holds this node alone.
const REJOIN_MIN: Duration = Duration::from_secs(1);

/// What a round of joining found.
struct Found {
    /// The newest version known to the platform, if it answered.
    head: Option<Version>,
    /// The newest version held by the peers that answered, and how many did.
    peers: (Version, usize),
}

/// What came of asking one peer.
pub(super) enum Joined {
    /// It answered with the newest version that it has heard of.
    Heard(Version),
    /// It serves as many as it may; these are others.
    Busy(Vec<SocketAddr>),
    /// It did not answer.
    Silent,
}

impl<P: Platform> Node<P> {
    pub(super) async fn join_loop(self: Arc<Self>) {
        sleep_up_to(self.settings.join_jitter).await;
        // Peers would send the configuration over the same link as the platform does: one of them
        // at a time.
        if P::EXTERNAL_CONFIG {
            self.first_read.notified().await;
        }
        let mut round = ROUND_MIN;
        while !self.join_round().await {
            sleep_up_to(round).await;
            round = (round * 2).min(ROUND_MAX);
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
        let head = self.newest_accepted().await;
        self.wait_current(Found { head, peers }).await
    }

    /// The newest version in the platform; none if the platform did not answer.
    async fn newest_accepted(&self) -> Option<Version> {
        // A node that read the operator's document is ready with it.
        if P::EXTERNAL_CONFIG {
            return self.is_ready().then(|| self.version());
        }
        let found = self.read_head().await.ok()?;
        Some(found.map_or(Version(0), |(head, _)| head.version))
    }

    /// Learns the member table from one of the known peers, and the newest version that a few
    /// have heard of. A busy peer names others, so that a herd spreads over the fleet.
    pub(super) async fn join_peers(
        self: &Arc<Self>,
        mut known: Vec<SocketAddr>,
    ) -> (Version, usize) {
        fastrand::shuffle(&mut known);
        let (mut newest, mut answers, mut asked) = (Version(0), 0, 0);
        let mut seen = HashSet::from([self.addresses.peers]);
        while let Some(peer) = known.pop() {
            if !seen.insert(peer) {
                continue;
            }
            asked += 1;
            match self.join_peer(peer).await {
                Joined::Heard(version) => {
                    newest = newest.max(version);
                    answers += 1;
                }
                Joined::Busy(others) => known.extend(others),
                Joined::Silent => {}
            }
            if answers == ANSWERS || asked == ASKED {
                break;
            }
        }
        (newest, answers)
    }

    /// Exchanges tables with a peer that is not known yet; asks a known one for its version.
    async fn join_peer(self: &Arc<Self>, peer: SocketAddr) -> Joined {
        match self.knows(&peer) {
            true => self.ask_peer(peer, PeerRequest::Versions).await,
            false => self.exchange_with(peer).await,
        }
    }

    /// Exchanges whole member tables with a peer.
    pub(super) async fn exchange_with(self: &Arc<Self>, peer: SocketAddr) -> Joined {
        let own = lock(&self.members).own().clone();
        self.ask_peer(peer, PeerRequest::Join(own)).await
    }

    async fn ask_peer(self: &Arc<Self>, peer: SocketAddr, request: PeerRequest) -> Joined {
        let Ok((reply, moved)) = send_request(&self.key, peer, &request, JOIN_TIMEOUT).await else {
            return Joined::Silent;
        };
        self.metrics.exchanged("join", moved);
        let version = match reply {
            PeerReply::Table(records, version) => {
                self.exchange(&records);
                version
            }
            PeerReply::Versions(held, wanted) => held.max(wanted),
            PeerReply::Pull(Pulled::Busy(others)) => return Joined::Busy(others),
            _ => return Joined::Silent,
        };
        let mut actions = Actions::new();
        lock(&self.distribution).hear(peer, version, Instant::now(), &mut actions);
        self.execute(actions);
        Joined::Heard(version)
    }

    fn exchange(&self, records: &[MemberRecord]) {
        lock(&self.members).exchange(records, Instant::now());
        self.follow_incarnation();
    }

    /// An earlier life of this address may have had a clock that was ahead. The node then raises
    /// its incarnation, and gate and datagrams follow: peers refuse those of an earlier life.
    pub(super) fn follow_incarnation(&self) {
        let incarnation = lock(&self.members).own().incarnation;
        if lock(&self.sender).sealer.incarnation() == incarnation {
            return;
        }
        lock(&self.gate).gate.set_incarnation(incarnation);
        lock(&self.sender).sealer.set_incarnation(incarnation);
    }

    /// Waits until the configuration is at least as new as what the round found. With the
    /// platform down, the peers' newest version counts, if any peer answered.
    async fn wait_current(self: &Arc<Self>, found: Found) -> bool {
        let floor = match (found.head, found.peers) {
            (Some(head), (peers, _)) => head.max(peers),
            (None, (peers, answers)) if answers > 0 => peers.max(self.newest_heard().await),
            (None, _) => return false,
        };
        // Without any document there is nothing to serve callers by.
        if P::EXTERNAL_CONFIG && floor == Version(0) {
            return false;
        }
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).head_moved(floor, now, &mut actions);
        self.execute(actions);
        while self.version() < floor {
            if now.elapsed() > READY_PATIENCE {
                return false;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        true
    }

    /// The newest version that a wider sample of the fleet has heard of, after a while in which
    /// a version under way reaches the sample. Nothing is accepted while the platform is down.
    async fn newest_heard(&self) -> Version {
        tokio::time::sleep(SETTLE).await;
        let peers = lock(&self.members).sample(WITNESSES);
        let mut newest = lock(&self.distribution).wanted();
        for peer in peers {
            let reply = send_request(&self.key, peer, &PeerRequest::Versions, HELD_TIMEOUT).await;
            if let Ok((PeerReply::Versions(held, wanted), _)) = reply {
                newest = newest.max(held).max(wanted);
            }
        }
        newest
    }

    /// Watchers compare their table with the slots, so that fleets that were apart merge again. A
    /// node that knows of no other does too: a whole fleet may have started at one moment.
    async fn rejoin_loop(self: &Arc<Self>) {
        let mut period = REJOIN_MIN;
        loop {
            tokio::time::sleep(period).await;
            sleep_up_to(self.settings.join_jitter).await;
            let before = self.members_alive();
            if before <= 1 || lock(&self.slots).held(Instant::now()).is_some() {
                self.join_holders().await;
            }
            let grew = self.members_alive() > before;
            period = if before <= 1 || grew {
                REJOIN_MIN
            } else {
                (period * 2).min(REJOIN_MAX)
            };
        }
    }

    async fn join_holders(self: &Arc<Self>) {
        let slots = self.platform.list(SLOT_PREFIX).await;
        let holders = slots.iter().flatten();
        let mut known: Vec<SocketAddr> =
            holders.filter_map(|(_, v)| decode_slot(&v.text)).collect();
        known.extend(&self.settings.peers);
        known.retain(|p| !self.knows(p));
        self.join_peers(known).await;
    }

    pub(super) fn knows(&self, peer: &SocketAddr) -> bool {
        let members = lock(&self.members);
        members
            .table()
            .get(peer)
            .is_some_and(|r| r.health.is_alive())
    }
}

async fn sleep_up_to(most: Duration) {
    tokio::time::sleep(most.mul_f64(fastrand::f64())).await;
}
