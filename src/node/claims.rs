//! Batches claims on idempotency keys: many wishes, one compare-and-swap for each shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Node, lock, wall_millis};
use crate::coordination::claims::{
    Batch, BatchEvent, BatchStep, Book, ClaimVerdict, KeyHash, Pacer, Wish,
};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::record::{claim_table_key, decode_claim_table, encode_claim_table};
use crate::state::member::Health;
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Longest sleep with nothing to write.
const IDLE_WAIT: Duration = Duration::from_secs(1);
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

impl Entered {
    fn shard(&self) -> u64 {
        key_of(&self.wish).shard()
    }
}

/// Wishes of one shard that wait to be written.
#[derive(Default)]
struct Shard {
    pacer: Pacer,
    waiting: Vec<Entered>,
    writing: bool,
}

impl Shard {
    fn enter(&mut self, entered: Entered) {
        self.pacer.entered(&entered.wish, Instant::now());
        self.waiting.push(entered);
    }

    /// All waiting wishes, if a write is due and none is under way.
    fn take(&mut self, now: Instant) -> Option<Vec<Entered>> {
        if self.writing || self.pacer.due().is_none_or(|due| due > now) {
            return None;
        }
        self.writing = true;
        self.pacer.written(now);
        Some(std::mem::take(&mut self.waiting))
    }
}

impl<P: Platform> Node<P> {
    /// Gathers wishes by shard and writes each shard when its pacer says so, one write at a time.
    pub(super) async fn claim_loop(self: Arc<Self>, mut wishes: WishReceiver) {
        let mut shards: BTreeMap<u64, Shard> = BTreeMap::new();
        let mut writing = JoinSet::new();
        loop {
            let idle = shards.values().filter(|s| !s.writing);
            let due = idle.filter_map(|s| s.pacer.due()).min();
            let due = due.unwrap_or_else(|| Instant::now() + IDLE_WAIT);
            tokio::select! {
                entered = wishes.0.recv() => match entered {
                    Some(entered) => shards.entry(entered.shard()).or_default().enter(entered),
                    None => return,
                },
                Some(ended) = writing.join_next() => {
                    if let Ok(shard) = ended {
                        shards.entry(shard).or_default().writing = false;
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    let now = Instant::now();
                    for (number, shard) in &mut shards {
                        if let Some(batch) = shard.take(now) {
                            writing.spawn(self.clone().write_batch(*number, batch));
                        }
                    }
                }
            }
        }
    }

    async fn write_batch(self: Arc<Self>, shard: u64, batch: Vec<Entered>) -> u64 {
        let wishes = batch.iter().map(|e| e.wish).collect();
        let verdicts = self.drive_batch(shard, wishes).await;
        for (at, entered) in batch.into_iter().enumerate() {
            let verdict = verdicts.as_ref().map(|v| v[at]);
            // A caller that went away needs no verdict.
            let _ = entered.reply.send(verdict);
        }
        shard
    }

    async fn drive_batch(&self, shard: u64, wishes: Vec<Wish>) -> Verdicts {
        let key = claim_table_key(shard);
        let mut batch = Batch::new(wishes, wall_millis() / 1000);
        let mut step = BatchStep::Read;
        loop {
            let event = match step {
                BatchStep::Read => BatchEvent::Book(self.read_book(&key).await),
                BatchStep::Swap(book, revision) => {
                    let text = encode_claim_table(&book);
                    let swapped = self
                        .platform
                        .compare_and_swap(&key, &text, revision, None)
                        .await;
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
            Ok(Some(value)) => Some((decode_claim_table(&value.text).ok()?, value.revision)),
            Err(_) => None,
        }
    }

    /// Writes one wish through the shard's owner, so that the platform's writes follow the number
    /// of watchers and not of nodes. The compare-and-swap decides, whoever makes it.
    pub(super) async fn wish(&self, wish: Wish) -> Option<ClaimVerdict> {
        if let Some(owner) = self.owner(key_of(&wish).shard()) {
            let request = PeerRequest::Claim(vec![wish]);
            match send_request(&self.key, owner, &request, OWNER_TIMEOUT).await {
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
            |r: &&Arc<crate::state::member::MemberRecord>| r.watcher && r.health < Health::Suspect;
        let peers = members.table().records().filter(watching).map(|r| r.peer);
        let weight = |p: &std::net::SocketAddr| {
            let mut feed = crate::state::digest::DigestBuilder::default();
            feed.text(&p.to_string()).number(shard).finish()
        };
        peers
            .max_by_key(weight)
            .filter(|p| *p != self.addresses.peers)
    }
}
