//! Answers to other nodes' requests over TCP.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::Pulled;
use crate::coordination::transfer::Grant;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::Version;
use crate::state::member::MemberRecord;
use crate::transport::link::read_request;
use crate::transport::platform::Platform;

/// Peer connections served at once.
const CONNECTIONS: usize = 256;
/// Time within which a peer must take a whole reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Peers named in a busy reply.
const BUSY_HINTS: usize = 3;

impl<P: Platform> Node<P> {
    pub(super) async fn peer_loop(self: Arc<Self>, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let permit = room.clone().acquire_owned().await.expect("never closed");
            match listener.accept().await {
                Ok((stream, _)) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        node.answer(stream).await;
                        drop(permit);
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn answer(self: Arc<Self>, stream: TcpStream) {
        let Ok(asked) = read_request(&self.key, stream).await else {
            return;
        };
        let kind = request_kind(&asked.request);
        let room = match &asked.request {
            PeerRequest::Pull(_) => self.pulls.try_acquire().map(Some),
            PeerRequest::Join(_) => self.joins.try_acquire().map(Some),
            _ => Ok(None),
        };
        let reply = match &asked.request {
            PeerRequest::Pull(_) | PeerRequest::Join(_) if room.is_err() => self.busy(),
            PeerRequest::Pull(since) => PeerReply::Pull(lock(&self.distribution).serve(*since)),
            PeerRequest::Join(record) => self.admit(record),
            PeerRequest::Void {
                attempt,
                incarnation,
                age,
            } => {
                let mut state = lock(&self.gate);
                let now = Instant::now();
                let (voided, wakes) = state.gate.void(*attempt, *incarnation, *age, now);
                state.deliver(wakes);
                PeerReply::Voided(voided)
            }
            PeerRequest::Claim(wishes) => {
                PeerReply::Claims(self.claims.enter_all(wishes.clone()).await)
            }
            PeerRequest::Transfer {
                bytes,
                time_limit: patience,
            } => {
                let grant = self.ask_link(*bytes, *patience);
                PeerReply::Transfer(grant)
            }
            PeerRequest::Versions => {
                PeerReply::Versions(self.version(), lock(&self.distribution).wanted())
            }
        };
        let sent = tokio::time::timeout(REPLY_TIMEOUT, asked.reply(&reply)).await;
        if let Ok(Ok(bytes)) = sent {
            self.metrics.sent(kind, bytes);
        }
    }

    fn ask_link(&self, bytes: u64, patience: Option<Duration>) -> Grant {
        // A gate that takes no work at all need not be sent the body to say so.
        let shut = {
            let gate = &lock(&self.gate).gate;
            gate.closed().is_some() || gate.is_leaving()
        };
        if shut {
            return Grant::Refuse(Duration::ZERO);
        }
        match &mut *lock(&self.link) {
            Some(link) => link.ask(bytes, patience, Instant::now()),
            None => Grant::After(Duration::ZERO),
        }
    }

    fn busy(&self) -> PeerReply {
        let mut others = lock(&self.members).sample(BUSY_HINTS);
        others.extend_from_slice(lock(&self.distribution).sources());
        others.truncate(BUSY_HINTS);
        PeerReply::Pull(Pulled::Busy(others))
    }

    fn admit(&self, record: &MemberRecord) -> PeerReply {
        let mut members = lock(&self.members);
        members.learn(std::slice::from_ref(record), Instant::now());
        let records = members.table().records().map(|r| (**r).clone()).collect();
        drop(members);
        // A version that was heard of counts: it was accepted, though it is not in force here yet.
        let wanted: Version = lock(&self.distribution).wanted();
        PeerReply::Table(records, wanted)
    }
}

fn request_kind(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Pull(_) => "delta",
        PeerRequest::Join(_) => "join",
        PeerRequest::Void { .. } => "void",
        PeerRequest::Claim(_) => "claim",
        PeerRequest::Versions => "operator",
        PeerRequest::Transfer { .. } => "transfer",
    }
}
