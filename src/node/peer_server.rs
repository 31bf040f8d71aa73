//! Serves requests from other nodes over TCP.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::PullReply;
use crate::coordination::transfer::TransferDecision;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::Version;
use crate::state::member::MemberRecord;
use crate::transport::link::read_request;
use crate::transport::platform::Platform;

/// Peer connections that are served concurrently.
const PEER_CONNECTIONS_MAX: usize = 256;
/// Timeout for sending a reply to a peer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after an accept error, such as too many open files.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);
/// Number of other peers that a busy reply suggests.
const BUSY_REPLY_PEERS: usize = 3;

impl<P: Platform> Node<P> {
    /// Accepts connections from other nodes, and serves each one in a task.
    pub(super) async fn peer_loop(self: Arc<Self>, listener: Arc<TcpListener>) {
        let connections = Arc::new(Semaphore::new(PEER_CONNECTIONS_MAX));
        loop {
            let permit = connections
                .clone()
                .acquire_owned()
                .await
                .expect("the semaphore is never closed");
            match listener.accept().await {
                Ok((stream, _)) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        node.serve_connection(stream).await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    log::warn!("no connection of a peer accepted: {e}");
                    tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
                }
            }
        }
    }

    /// Reads one request from a connection and replies to it.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let Ok(incoming) = read_request(&self.fleet_key, stream).await else {
            return;
        };
        let kind = request_kind(&incoming.request);
        let permit = match &incoming.request {
            PeerRequest::Pull(_) => self.pull_permits.try_acquire().map(Some),
            PeerRequest::Join(_) => self.join_permits.try_acquire().map(Some),
            _ => Ok(None),
        };
        let reply = match &incoming.request {
            PeerRequest::Pull(_) | PeerRequest::Join(_) if permit.is_err() => self.busy_reply(),
            PeerRequest::Pull(since) => {
                PeerReply::Pull(lock(&self.distribution).answer_pull(*since))
            }
            PeerRequest::Join(record) => self.join_reply(record),
            PeerRequest::Void {
                attempt,
                incarnation,
                age,
            } => {
                let mut state = lock(&self.gate);
                let now = Instant::now();
                let (outcome, actions) = state.gate.void(*attempt, *incarnation, *age, now);
                state.notify_waiters(actions);
                PeerReply::Voided(outcome)
            }
            PeerRequest::Claim(operations) => {
                PeerReply::Claims(self.claim_queue.submit_all(operations.clone()).await)
            }
            PeerRequest::Transfer { bytes, time_limit } => {
                let decision = self.decide_transfer(*bytes, *time_limit);
                PeerReply::Transfer(decision)
            }
            PeerRequest::Publish(record) => {
                let record = std::slice::from_ref(record);
                lock(&self.members).merge_records(record, Instant::now());
                self.refresh_targets();
                PeerReply::Published
            }
            PeerRequest::Versions => {
                PeerReply::Versions(self.version(), lock(&self.distribution).newest_known())
            }
        };
        let sent = tokio::time::timeout(REPLY_TIMEOUT, incoming.reply(&reply)).await;
        if let Ok(Ok(bytes)) = sent {
            self.metrics.record_sent(kind, bytes);
        }
    }

    /// Decides whether a peer may send a large body to the local gate, and when.
    fn decide_transfer(&self, bytes: u64, time_limit: Option<Duration>) -> TransferDecision {
        // Refused here, so that the body is not sent to a gate that would refuse the attempt.
        let closed = {
            let gate = &lock(&self.gate).gate;
            gate.closed_reason().is_some() || gate.is_leaving()
        };
        if closed {
            return TransferDecision::Refuse(Duration::ZERO);
        }
        match &mut *lock(&self.link_schedule) {
            Some(schedule) => schedule.reserve(bytes, time_limit, Instant::now()),
            None => TransferDecision::SendAfter(Duration::ZERO),
        }
    }

    /// Suggests other peers to a node whose request exceeds the concurrency limit.
    fn busy_reply(&self) -> PeerReply {
        let mut others = lock(&self.members).sample_peers(BUSY_REPLY_PEERS);
        others.extend_from_slice(lock(&self.distribution).sources());
        others.truncate(BUSY_REPLY_PEERS);
        PeerReply::Pull(PullReply::Busy(others))
    }

    /// Adds a joining node to the member table, and returns the table from before and the newest
    /// known version. The table may hold the record of an earlier process at the address of the
    /// joining node, which tells whether the local target is leaving.
    fn join_reply(&self, record: &MemberRecord) -> PeerReply {
        let mut members = lock(&self.members);
        let records = members.table().records().map(|r| (**r).clone()).collect();
        members.merge_records(std::slice::from_ref(record), Instant::now());
        drop(members);
        self.send_decisions(record.peer);
        // The newest known version has been accepted, even if it is not active on this node yet.
        let newest_known: Version = lock(&self.distribution).newest_known();
        PeerReply::Table(records, newest_known)
    }
}

/// Returns the `kind` label of a request in the metrics.
fn request_kind(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Pull(_) => "delta",
        PeerRequest::Join(_) => "join",
        PeerRequest::Publish(_) => "member",
        PeerRequest::Void { .. } => "void",
        PeerRequest::Claim(_) => "claim",
        PeerRequest::Versions => "operator",
        PeerRequest::Transfer { .. } => "transfer",
    }
}
