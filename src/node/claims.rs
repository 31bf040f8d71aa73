//! Batches claims on idempotency keys: many wishes, one compare-and-swap for each shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::{Node, lock, wall_millis};
use crate::coordination::claims::{
    Batch, BatchEvent, BatchStep, Book, ClaimVerdict, KeyHash, Wish,
};
use crate::protocol::peer::{PeerReply, PeerRequest, WISHES_MAX};
use crate::protocol::record::{book_key, decode_book, encode_book};
use crate::state::member::Health;
use crate::transport::link::ask;
use crate::transport::platform::Platform;

/// Time for which the first wish of a batch waits for others.
const LINGER: Duration = Duration::from_millis(3);
/// Wishes that may wait to be batched.
const QUEUE_MAX: usize = 4096;
/// Time within which a shard's owner answers.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

type Verdicts = Option<Vec<ClaimVerdict>>;

struct Entered {
    wish: Wish,
    reply: oneshot::Sender<Option<ClaimVerdict>>,
}

/// Where wishes are handed in.
#[derive(Debug)]
pub struct ClaimQueue(mpsc::Sender<Entered>);

/// Where wishes are taken out in batches.
pub(super) struct WishReceiver(mpsc::Receiver<Entered>);

impl ClaimQueue {
    pub(super) fn new() -> (ClaimQueue, WishReceiver) {
        let (send, receive) = mpsc::channel(QUEUE_MAX);
        (ClaimQueue(send), WishReceiver(receive))
    }

    /// Hands in wishes and waits for all verdicts; none when the platform did not answer.
    pub async fn enter_all(&self, wishes: Vec<Wish>) -> Verdicts {
        let mut waiting = Vec::with_capacity(wishes.len());
        for wish in wishes {
            let (reply, verdict) = oneshot::channel();
            self.0.send(Entered { wish, reply }).await.ok()?;
            waiting.push(verdict);
        }
        let mut verdicts = Vec::with_capacity(waiting.len());
        for verdict in waiting {
            verdicts.push(verdict.await.ok()??);
        }
        Some(verdicts)
    }
}

fn key_of(wish: &Wish) -> KeyHash {
    match wish {
        Wish::Claim(k, _) | Wish::Settle(k, _, _) | Wish::Release(k, _) => *k,
    }
}

impl<P: Platform> Node<P> {
    pub(super) async fn claim_loop(self: Arc<Self>, mut wishes: WishReceiver) {
        loop {
            let Some(first) = wishes.0.recv().await else {
                return;
            };
            tokio::time::sleep(LINGER).await;
            let mut shards: BTreeMap<u64, Vec<Entered>> = BTreeMap::new();
            let mut next = Some(first);
            let mut taken = 0;
            while let Some(entered) = next {
                let shard = key_of(&entered.wish).shard();
                shards.entry(shard).or_default().push(entered);
                taken += 1;
                next = if taken < WISHES_MAX {
                    wishes.0.try_recv().ok()
                } else {
                    None
                };
            }
            for (shard, batch) in shards {
                tokio::spawn(self.clone().write_batch(shard, batch));
            }
        }
    }

    async fn write_batch(self: Arc<Self>, shard: u64, batch: Vec<Entered>) {
        let wishes = batch.iter().map(|e| e.wish).collect();
        let verdicts = self.drive_batch(shard, wishes).await;
        for (at, entered) in batch.into_iter().enumerate() {
            let verdict = verdicts.as_ref().map(|v| v[at]);
            let _ = entered.reply.send(verdict);
        }
    }

    async fn drive_batch(&self, shard: u64, wishes: Vec<Wish>) -> Verdicts {
        let key = book_key(shard);
        let mut batch = Batch::new(wishes, wall_millis() / 1000);
        let mut step = BatchStep::Read;
        loop {
            let event = match step {
                BatchStep::Read => BatchEvent::Book(self.read_book(&key).await),
                BatchStep::Swap(book, revision) => {
                    let text = encode_book(&book);
                    let swapped = self.platform.swap(&key, &text, revision, None).await;
                    BatchEvent::Swapped(swapped.ok().map(|s| s.is_some()))
                }
                BatchStep::Done(verdicts) => return Some(verdicts),
                BatchStep::Failed => return None,
            };
            step = batch.next(event);
        }
    }

    async fn read_book(&self, key: &str) -> Option<(Book, u64)> {
        match self.platform.get(key).await {
            Ok(None) => Some((Book::default(), 0)),
            Ok(Some(value)) => Some((decode_book(&value.text).ok()?, value.revision)),
            Err(_) => None,
        }
    }

    /// Writes one wish through the shard's owner, so that the platform's writes follow the number
    /// of watchers and not of nodes. The compare-and-swap decides, whoever makes it.
    pub(super) async fn wish(&self, wish: Wish) -> Option<ClaimVerdict> {
        if let Some(owner) = self.owner(key_of(&wish).shard()) {
            let request = PeerRequest::Claim(vec![wish]);
            match ask(&self.key, owner, &request, OWNER_TIMEOUT).await {
                Ok((PeerReply::Claims(Some(verdicts)), _)) => return verdicts.first().copied(),
                Ok((PeerReply::Claims(None), _)) => return None,
                // The owner may have written it; writing it again is the same wish.
                _ => {}
            }
        }
        let verdicts = self.claims.enter_all(vec![wish]).await?;
        verdicts.first().copied()
    }

    /// The watcher that batches a shard's claims, unless it is this node.
    fn owner(&self, shard: u64) -> Option<std::net::SocketAddr> {
        let members = lock(&self.members);
        let watching =
            |r: &&Arc<crate::state::member::Record>| r.watcher && r.health < Health::Suspect;
        let peers = members.table().records().filter(watching).map(|r| r.peer);
        let weight = |p: &std::net::SocketAddr| {
            let mut feed = crate::state::digest::Feed::default();
            feed.text(&p.to_string()).number(shard).finish()
        };
        peers
            .max_by_key(weight)
            .filter(|p| *p != self.addresses.peers)
    }
}
