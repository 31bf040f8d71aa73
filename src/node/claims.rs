//! Batches operations on idempotency keys: claiming, completing and releasing them.
//!
//! The platform stores the state of the keys in claim tables, one for each shard. One
//! compare-and-swap of a claim table writes all operations of a batch.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Node, lock, unix_millis};
use crate::coordination::claims::{
    Batch, BatchEvent, BatchStep, ClaimOutcome, ClaimTable, KeyOperation, WritePacer,
};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::record::{claim_table_key, decode_claim_table, encode_claim_table};
use crate::state::member::Health;
use crate::state::revision::{Era, Revision};
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Longest sleep while no write is due.
const IDLE_SLEEP: Duration = Duration::from_millis(250);
/// Operations that can wait in the queue to be batched.
const QUEUE_CAPACITY: usize = 4096;
/// Timeout of a request to the owner of a shard.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// The outcomes of a batch in the order of its operations, or `None` if the platform did not
/// respond.
type ClaimOutcomes = Option<Vec<ClaimOutcome>>;

/// An operation and the channel that its outcome is sent to.
struct QueuedOperation {
    operation: KeyOperation,
    outcome_sender: oneshot::Sender<Option<ClaimOutcome>>,
}

/// The sending end of the queue of operations on idempotency keys.
#[derive(Debug)]
pub struct ClaimQueue(mpsc::Sender<QueuedOperation>);

/// The receiving end of the queue, read by [`Node::claim_loop`].
pub(super) struct ClaimReceiver(mpsc::Receiver<QueuedOperation>);

impl ClaimQueue {
    pub(super) fn new() -> (ClaimQueue, ClaimReceiver) {
        let (send, receive) = mpsc::channel(QUEUE_CAPACITY);
        (ClaimQueue(send), ClaimReceiver(receive))
    }

    /// Queues operations and waits for all outcomes. Returns `None` if the platform did not
    /// respond.
    pub async fn submit_all(&self, operations: Vec<KeyOperation>) -> ClaimOutcomes {
        let mut receivers = Vec::with_capacity(operations.len());
        for operation in operations {
            let (outcome_sender, receiver) = oneshot::channel();
            self.0
                .send(QueuedOperation {
                    operation,
                    outcome_sender,
                })
                .await
                .ok()?;
            receivers.push(receiver);
        }
        let mut outcomes = Vec::with_capacity(receivers.len());
        for receiver in receivers {
            outcomes.push(receiver.await.ok()??);
        }
        Some(outcomes)
    }
}

impl QueuedOperation {
    fn shard(&self) -> u64 {
        self.operation.key().shard()
    }
}

/// The operations of one shard that wait to be written.
#[derive(Default)]
struct Shard {
    pacer: WritePacer,
    waiting: Vec<QueuedOperation>,
    /// Whether a write is in progress.
    writing: bool,
}

impl Shard {
    fn push(&mut self, queued: QueuedOperation) {
        self.pacer
            .record_operation(&queued.operation, Instant::now());
        self.waiting.push(queued);
    }

    /// Takes all waiting operations if a write is due and none is in progress.
    fn take_due(&mut self, now: Instant) -> Option<Vec<QueuedOperation>> {
        if self.writing || self.pacer.next_write().is_none_or(|due| due > now) {
            return None;
        }
        self.writing = true;
        self.pacer.record_write(now);
        Some(std::mem::take(&mut self.waiting))
    }
}

impl<P: Platform> Node<P> {
    /// Groups operations by shard, and writes the waiting operations of a shard when its pacer
    /// allows it. Each shard has at most one write in progress.
    pub(super) async fn claim_loop(self: Arc<Self>, receiver: Arc<Mutex<ClaimReceiver>>) {
        let mut receiver = receiver.lock().await;
        let mut shards: BTreeMap<u64, Shard> = BTreeMap::new();
        let mut writes = JoinSet::new();
        loop {
            for number in self.lost_shards() {
                writes.spawn(self.clone().write_batch(number, Vec::new()));
            }
            let idle = shards.values().filter(|s| !s.writing);
            let due = idle.filter_map(|s| s.pacer.next_write()).min();
            let due = due.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
            tokio::select! {
                queued = receiver.0.recv() => match queued {
                    Some(queued) => shards.entry(queued.shard()).or_default().push(queued),
                    None => return,
                },
                Some(ended) = writes.join_next() => {
                    if let Ok(shard) = ended {
                        shards.entry(shard).or_default().writing = false;
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    let now = Instant::now();
                    for (number, shard) in &mut shards {
                        if let Some(batch) = shard.take_due(now) {
                            writes.spawn(self.clone().write_batch(*number, batch));
                        }
                    }
                }
            }
        }
    }

    async fn write_batch(self: Arc<Self>, shard: u64, batch: Vec<QueuedOperation>) -> u64 {
        let operations = batch.iter().map(|q| q.operation).collect();
        let outcomes = self.run_batch(shard, operations).await;
        for (index, queued) in batch.into_iter().enumerate() {
            let outcome = outcomes.as_ref().map(|v| v[index]);
            // Fails if the submitter has stopped waiting, which is harmless.
            let _ = queued.outcome_sender.send(outcome);
        }
        shard
    }

    /// Runs a batch until it has ended in the era in which it began. If the platform comes back from
    /// an older copy meanwhile, the batch runs again, together with what the platform has lost.
    async fn run_batch(&self, shard: u64, operations: Vec<KeyOperation>) -> ClaimOutcomes {
        loop {
            let era = self.platform.era();
            let batch = self.prepare_batch(shard, &operations, era);
            let outcomes = self.run_in_era(shard, batch, era).await;
            if self.platform.era() == era {
                let outcomes = outcomes?;
                lock(&self.claim_memory).record(&operations, &outcomes, Instant::now());
                return Some(outcomes);
            }
        }
    }

    /// Builds a batch that first restores what the platform may have lost.
    fn prepare_batch(&self, shard: u64, operations: &[KeyOperation], era: Era) -> Batch {
        let now = Instant::now();
        let mut memory = lock(&self.claim_memory);
        memory.observe_era(era, now);
        let settling = memory.is_settling(now);
        let lost = match settling {
            true => memory.operations(shard),
            false => Vec::new(),
        };
        Batch::new(operations.to_vec(), unix_millis() / 1000).after_return(lost, settling)
    }

    /// Runs a batch; ends it early if a response shows a later era.
    async fn run_in_era(&self, shard: u64, mut batch: Batch, era: Era) -> ClaimOutcomes {
        let key = claim_table_key(shard);
        let mut step = BatchStep::Read;
        loop {
            let event = match step {
                BatchStep::Read => BatchEvent::Table(self.read_table(&key).await),
                BatchStep::Swap(..) if self.platform.era() != era => return None,
                BatchStep::Swap(table, revision) => {
                    let text = encode_claim_table(&table);
                    let swapped = self
                        .platform
                        .compare_and_swap(&key, &text, revision, None)
                        .await;
                    BatchEvent::Swapped(swapped.ok().map(|s| s.is_some()))
                }
                BatchStep::Done(outcomes) => return Some(outcomes),
                BatchStep::Failed => return None,
            };
            step = batch.advance(event);
        }
    }

    /// The shards whose remembered claims are to be written again, because the platform has come
    /// back from an older copy since the last call.
    fn lost_shards(&self) -> BTreeSet<u64> {
        let era = self.platform.era();
        let mut memory = lock(&self.claim_memory);
        if !memory.observe_era(era, Instant::now()) {
            return BTreeSet::new();
        }
        let shards: BTreeSet<u64> = memory.shards().collect();
        if !shards.is_empty() {
            log::warn!("claims written again era={era} shards={}", shards.len());
        }
        shards
    }

    async fn read_table(&self, key: &str) -> Option<(ClaimTable, Revision)> {
        match self.platform.get(key).await {
            Ok(None) => Some((ClaimTable::default(), Revision::ABSENT)),
            Ok(Some(value)) => Some((decode_claim_table(&value.text).ok()?, value.revision)),
            Err(_) => None,
        }
    }

    /// Executes one operation through the owner of its shard, so that the number of writes to the
    /// platform grows with the number of watchers and not with the number of nodes. Correctness
    /// does not depend on the owner: the compare-and-swap decides, whichever node executes it.
    pub(super) async fn submit_operation(&self, operation: KeyOperation) -> Option<ClaimOutcome> {
        if let Some(owner) = self.shard_owner(operation.key().shard()) {
            let request = PeerRequest::Claim(vec![operation]);
            match send_request(&self.fleet_key, owner, &request, OWNER_TIMEOUT).await {
                Ok((PeerReply::Claims(Some(outcomes)), _)) => return outcomes.first().copied(),
                Ok((PeerReply::Claims(None), _)) => return None,
                // The owner may have executed the operation although it did not reply; executing it
                // again is idempotent.
                _ => {}
            }
        }
        let outcomes = self.claim_queue.submit_all(vec![operation]).await?;
        outcomes.first().copied()
    }

    /// Returns the watcher that batches the operations of a shard, by rendezvous hashing over the
    /// watchers that are not suspected. Returns `None` if that is this node or there is no watcher.
    fn shard_owner(&self, shard: u64) -> Option<std::net::SocketAddr> {
        let members = lock(&self.members);
        let watching =
            |r: &&Arc<crate::state::member::MemberRecord>| r.watcher && r.health < Health::Suspect;
        let peers = members.table().records().filter(watching).map(|r| r.peer);
        let weight = |p: &std::net::SocketAddr| {
            let mut builder = crate::state::digest::DigestBuilder::default();
            builder.text(&p.to_string()).number(shard).finish()
        };
        peers
            .max_by_key(weight)
            .filter(|p| *p != self.addresses.peers)
    }
}
