//! Confirmation of a leave by other nodes, before it is acknowledged to the local target.
//!
//! What a node has acknowledged must outlast it. It has no disk, so another node must know of the leave:
//! a node that restarts learns from its peers what it published before.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Node, lock};
use crate::protocol::key::FleetKey;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::member::MemberRecord;
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Number of nodes that must know of a leave, unless the fleet is smaller or time is short.
const CONFIRMATIONS: usize = 2;
/// Number of nodes that are asked in one round.
const PEERS_PER_ROUND: usize = 3;
/// Time after which other nodes are asked as well.
const ROUND_TIME: Duration = Duration::from_millis(200);
/// Time after which one confirmation is enough, and without any the leave is not confirmed. A target waits
/// for an acknowledgement for about a second.
const CONFIRM_TIME: Duration = Duration::from_millis(700);

impl<P: Platform> Node<P> {
    /// Waits until other nodes know that the local target is leaving, if it is. Returns whether the leave
    /// may be acknowledged; it may not while there are other members and none of them answers.
    pub async fn confirm_leave(&self) -> bool {
        let record = lock(&self.members).own_record().clone();
        let target = record.target.as_ref().filter(|t| t.leaving);
        let Some(start) = target.map(|t| t.start()) else {
            return true;
        };
        if *lock(&self.confirmed_leave) == Some(start.clone()) {
            return true;
        }
        let confirmed = self.ask_to_confirm(&record).await;
        // A node that has just started does not know the others yet.
        let is_alone = self.is_history_known() && lock(&self.members).live_peers().is_empty();
        log::info!(
            "leave published instance={} confirmed={confirmed} alone={is_alone}",
            start.0
        );
        if confirmed > 0 {
            *lock(&self.confirmed_leave) = Some(start);
        }
        confirmed > 0 || is_alone
    }

    /// Sends this node's record to other nodes until enough of them have taken it. Returns how many have.
    async fn ask_to_confirm(&self, record: &MemberRecord) -> usize {
        let ends = Instant::now() + CONFIRM_TIME;
        let (mut requests, mut confirmed) = (JoinSet::new(), 0);
        let mut asked: Vec<SocketAddr> = Vec::new();
        loop {
            let wanted = CONFIRMATIONS.min(lock(&self.members).live_peers().len());
            if confirmed >= wanted {
                return confirmed;
            }
            for peer in self.unasked_peers(&asked) {
                asked.push(peer);
                let (key, record) = (self.fleet_key.clone(), record.clone());
                requests.spawn(async move { is_confirmed_by(&key, peer, record, ends).await });
            }
            let round_ends = ends.min(Instant::now() + ROUND_TIME);
            while confirmed < wanted
                && let Ok(Some(reply)) =
                    tokio::time::timeout_at(round_ends, requests.join_next()).await
            {
                confirmed += usize::from(reply.unwrap_or(false));
            }
            if confirmed < wanted {
                tokio::time::sleep_until(round_ends).await;
            }
            if Instant::now() >= ends {
                return confirmed;
            }
        }
    }

    /// Some live members that were not asked yet.
    fn unasked_peers(&self, asked: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut peers = lock(&self.members).sample_peers(PEERS_PER_ROUND + asked.len());
        peers.retain(|p| !asked.contains(p));
        peers.truncate(PEERS_PER_ROUND);
        peers
    }
}

/// Sends a record to a peer. Returns whether the peer has it. A peer of an earlier release does not know
/// the request and is asked to let the sender join, which has the same effect.
async fn is_confirmed_by(
    key: &FleetKey,
    peer: SocketAddr,
    record: MemberRecord,
    ends: Instant,
) -> bool {
    let time_left = || ends.saturating_duration_since(Instant::now());
    let request = PeerRequest::Publish(record.clone());
    if let Ok((PeerReply::Published, _)) = send_request(key, peer, &request, time_left()).await {
        return true;
    }
    let request = PeerRequest::Join(record);
    let reply = send_request(key, peer, &request, time_left()).await;
    matches!(reply, Ok((PeerReply::Table(..), _)))
}
