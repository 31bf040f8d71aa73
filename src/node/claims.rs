//! Batches claims on idempotency keys: many wishes, one compare-and-swap for each shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Node, lock, unix_millis};
use crate::coordination::claims::{
    Batch, BatchEvent, BatchStep, Book, ClaimVerdict, KeyHash, Pacer, Wish,
};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::record::{book_key, decode_book, encode_book};
use crate::state::member::Health;
use crate::transport::link::ask;
use crate::transport::platform::Platform;

/// Longest sleep with nothing to write.
const IDLE_SLEEP: Duration = Duration::from_secs(1);
/// Wishes that may wait to be batched.
const QUEUE_CAPACITY: usize = 4096;
/// Time within which a shard's owner answers.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

type ClaimOutcomes = Option<Vec<ClaimVerdict>>;

struct QueuedOperation {
    operation: Wish,
    reply: oneshot::Sender<Option<ClaimVerdict>>,
}

/// Where wishes are handed in.
#[derive(Debug)]
pub struct ClaimQueue(mpsc::Sender<QueuedOperation>);

/// Where wishes are taken out in batches.
pub(super) struct ClaimReceiver(mpsc::Receiver<QueuedOperation>);

impl ClaimQueue {
    pub(super) fn new() -> (ClaimQueue, ClaimReceiver) {
        let (send, receive) = mpsc::channel(QUEUE_CAPACITY);
        (ClaimQueue(send), ClaimReceiver(receive))
    }

    /// Hands in wishes and waits for all verdicts; none when the platform did not answer.
    pub async fn submit_all(&self, operations: Vec<Wish>) -> ClaimOutcomes {
        let mut waiting = Vec::with_capacity(operations.len());
        for operation in operations {
            let (reply, outcome) = oneshot::channel();
            self.0
                .send(QueuedOperation { operation, reply })
                .await
                .ok()?;
            waiting.push(outcome);
        }
        let mut outcomes = Vec::with_capacity(waiting.len());
        for outcome in waiting {
            outcomes.push(outcome.await.ok()??);
        }
        Some(outcomes)
    }
}

fn key_hash(operation: &Wish) -> KeyHash {
    match operation {
        Wish::Claim(k, _) | Wish::Settle(k, _, _) | Wish::Release(k, _) => *k,
    }
}

impl QueuedOperation {
    fn shard(&self) -> u64 {
        key_hash(&self.operation).shard()
    }
}

/// Wishes of one shard that wait to be written.
#[derive(Default)]
struct Shard {
    pacer: Pacer,
    waiting: Vec<QueuedOperation>,
    writing: bool,
}

impl Shard {
    fn push(&mut self, queued: QueuedOperation) {
        self.pacer.entered(&queued.operation, Instant::now());
        self.waiting.push(queued);
    }

    /// All waiting wishes, if a write is due and none is under way.
    fn take_due(&mut self, now: Instant) -> Option<Vec<QueuedOperation>> {
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
    pub(super) async fn claim_loop(self: Arc<Self>, mut receiver: ClaimReceiver) {
        let mut shards: BTreeMap<u64, Shard> = BTreeMap::new();
        let mut writing = JoinSet::new();
        loop {
            let idle = shards.values().filter(|s| !s.writing);
            let due = idle.filter_map(|s| s.pacer.due()).min();
            let due = due.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
            tokio::select! {
                queued = receiver.0.recv() => match queued {
                    Some(queued) => shards.entry(queued.shard()).or_default().push(queued),
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
                        if let Some(batch) = shard.take_due(now) {
                            writing.spawn(self.clone().write_batch(*number, batch));
                        }
                    }
                }
            }
        }
    }

    async fn write_batch(self: Arc<Self>, shard: u64, batch: Vec<QueuedOperation>) -> u64 {
        let operations = batch.iter().map(|e| e.operation).collect();
        let outcomes = self.run_batch(shard, operations).await;
        for (index, queued) in batch.into_iter().enumerate() {
            let outcome = outcomes.as_ref().map(|v| v[index]);
            // A caller that went away needs no verdict.
            let _ = queued.reply.send(outcome);
        }
        shard
    }

    async fn run_batch(&self, shard: u64, operations: Vec<Wish>) -> ClaimOutcomes {
        let key = book_key(shard);
        let mut batch = Batch::new(operations, unix_millis() / 1000);
        let mut step = BatchStep::Read;
        loop {
            let event = match step {
                BatchStep::Read => BatchEvent::Book(self.read_table(&key).await),
                BatchStep::Swap(table, revision) => {
                    let text = encode_book(&table);
                    let swapped = self.platform.swap(&key, &text, revision, None).await;
                    BatchEvent::Swapped(swapped.ok().map(|s| s.is_some()))
                }
                BatchStep::Done(outcomes) => return Some(outcomes),
                BatchStep::Failed => return None,
            };
            step = batch.next(event);
        }
    }

    async fn read_table(&self, key: &str) -> Option<(Book, u64)> {
        match self.platform.get(key).await {
            Ok(None) => Some((Book::default(), 0)),
            Ok(Some(value)) => Some((decode_book(&value.text).ok()?, value.revision)),
            Err(_) => None,
        }
    }

    /// Writes one wish through the shard's owner, so that the platform's writes follow the number
    /// of watchers and not of nodes. The compare-and-swap decides, whoever makes it.
    pub(super) async fn submit_operation(&self, operation: Wish) -> Option<ClaimVerdict> {
        if let Some(owner) = self.shard_owner(key_hash(&operation).shard()) {
            let request = PeerRequest::Claim(vec![operation]);
            match ask(&self.key, owner, &request, OWNER_TIMEOUT).await {
                Ok((PeerReply::Claims(Some(outcomes)), _)) => return outcomes.first().copied(),
                Ok((PeerReply::Claims(None), _)) => return None,
                // The owner may have written it; writing it again is the same wish.
                _ => {}
            }
        }
        let outcomes = self.claim_queue.submit_all(vec![operation]).await?;
        outcomes.first().copied()
    }

    /// The watcher that batches a shard's claims, unless it is this node.
    fn shard_owner(&self, shard: u64) -> Option<std::net::SocketAddr> {
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
