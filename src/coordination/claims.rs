//! Claims on idempotency keys, kept in the platform so that they outlast any instance.
//!
//! The claims of many requests go into one compare-and-swap of a shard's book. A verdict comes
//! only from a book that was read from or swapped into the platform, never from a cache: the
//! write serialiser decides, as in Queen MQ's exact windowed deduplication.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::state::digest::Feed;
use crate::state::id::AttemptId;

/// Number of books that keys are spread over.
pub const SHARD_COUNT: u64 = 16;
/// Time for which a key is remembered.
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Most entries in one book; keeps its value under the platform's megabyte.
pub const TABLE_ENTRIES_MAX: usize = 9_000;

/// An idempotency key of one service, hashed to 128 bits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:032x}")]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a key within its service.
    ///
    /// ```
    /// use tarragoncourse::coordination::claims::KeyHash;
    /// assert_ne!(KeyHash::new("guild/a", "k"), KeyHash::new("guild/b", "k"));
    /// ```
    pub fn new(service: &str, key: &str) -> KeyHash {
        let d = Feed::default().text(service).text(key).finish();
        KeyHash(u128::from_le_bytes(
            d.0[..16].try_into().expect("sixteen bytes"),
        ))
    }

    /// The book that the key belongs to.
    pub fn shard(self) -> u64 {
        (self.0 % u128::from(SHARD_COUNT)) as u64
    }
}

/// What is known of the request that holds a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeyState {
    /// It may be running.
    #[display("pending")]
    Pending,
    /// The target answered it with this HTTP status.
    #[display("answered {_0}")]
    Answered(u16),
}

/// One key in a book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The claim that holds the key.
    pub claim: AttemptId,
    /// Wall-clock time of the claim, in seconds since the Unix epoch.
    pub claimed_at: u64,
    /// What is known of the request.
    pub state: KeyState,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claimant alone may run the request.
    Granted,
    /// Another claim holds the key.
    Held(KeyState),
    /// The book is full; the request is not run.
    Full,
}

/// One request's wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOperation {
    /// Take the key for this claim.
    Claim(KeyHash, AttemptId),
    /// Record the outcome of the claim's request.
    Complete(KeyHash, AttemptId, u16),
    /// Give the key back: the claim's request was not run.
    Release(KeyHash, AttemptId),
}

/// The keys of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    /// Entries by key.
    pub entries: HashMap<KeyHash, KeyEntry>,
}

impl ClaimTable {
    /// Applies a batch of wishes; the verdicts are in its order. They hold once the book has been
    /// swapped into the platform against the revision that it was read at.
    pub fn apply(&mut self, operations: &[KeyOperation], unix_secs: u64) -> Vec<ClaimOutcome> {
        self.expire(unix_secs);
        operations
            .iter()
            .map(|op| self.apply_one(*op, unix_secs))
            .collect()
    }

    fn expire(&mut self, unix_secs: u64) {
        let retention = KEY_RETENTION.as_secs();
        self.entries
            .retain(|_, e| e.claimed_at + retention > unix_secs);
    }

    fn apply_one(&mut self, operation: KeyOperation, claimed_at: u64) -> ClaimOutcome {
        match operation {
            KeyOperation::Claim(key, claim) => self.claim(key, claim, claimed_at),
            KeyOperation::Complete(key, claim, status) => {
                let entry = self.entries.get_mut(&key).filter(|e| e.claim == claim);
                if let Some(e) = entry {
                    e.state = KeyState::Answered(status);
                }
                ClaimOutcome::Granted
            }
            KeyOperation::Release(key, claim) => {
                if self.entries.get(&key).is_some_and(|e| e.claim == claim) {
                    self.entries.remove(&key);
                }
                ClaimOutcome::Granted
            }
        }
    }

    fn claim(&mut self, key: KeyHash, claim: AttemptId, claimed_at: u64) -> ClaimOutcome {
        match self.entries.get(&key) {
            // The swap's answer was lost and the batch is applied again.
            Some(e) if e.claim == claim => ClaimOutcome::Granted,
            Some(e) => ClaimOutcome::Held(e.state),
            None if self.entries.len() >= TABLE_ENTRIES_MAX => ClaimOutcome::Full,
            None => {
                let state = KeyState::Pending;
                self.entries.insert(
                    key,
                    KeyEntry {
                        claim,
                        claimed_at,
                        state,
                    },
                );
                ClaimOutcome::Granted
            }
        }
    }
}

/// Shortest time between two writes of one shard. With the number of shards it bounds the
/// platform's writes, whatever the number of requests: 320 each second.
pub const SHARD_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an outcome waits for a claim to be written with.
pub const COMPLETION_WAIT_MAX: Duration = Duration::from_millis(250);

impl KeyOperation {
    /// Whether a request waits for the verdict.
    pub fn is_urgent(&self) -> bool {
        matches!(self, KeyOperation::Claim(..))
    }
}

/// Paces the writes of one shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritePacer {
    last_write: Option<Instant>,
    urgent_since: Option<Instant>,
    completion_due: Option<Instant>,
}

impl WritePacer {
    /// A wish was handed in.
    pub fn record_operation(&mut self, operation: &KeyOperation, now: Instant) {
        match operation.is_urgent() {
            true => self.urgent_since.get_or_insert(now),
            false => self.completion_due.get_or_insert(now + COMPLETION_WAIT_MAX),
        };
    }

    /// When the next write is due, if there is anything to write.
    ///
    /// ```
    /// use tarragoncourse::coordination::claims::{KeyHash, WritePacer, SHARD_WRITE_INTERVAL, KeyOperation};
    /// use tarragoncourse::state::id::AttemptId;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let claim = KeyOperation::Claim(KeyHash(1), AttemptId(1));
    /// let mut pacer = WritePacer::default();
    /// pacer.record_operation(&claim, now);
    /// assert_eq!(pacer.next_write(), Some(now));
    /// pacer.record_write(now);
    /// pacer.record_operation(&claim, now);
    /// assert_eq!(pacer.next_write(), Some(now + SHARD_WRITE_INTERVAL));
    /// ```
    pub fn next_write(&self) -> Option<Instant> {
        let requested = match (self.urgent_since, self.completion_due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let earliest = self.last_write.map(|l| l + SHARD_WRITE_INTERVAL);
        requested.map(|w| earliest.map_or(w, |f| f.max(w)))
    }

    /// Everything handed in is being written.
    pub fn record_write(&mut self, now: Instant) {
        *self = WritePacer {
            last_write: Some(now),
            ..WritePacer::default()
        };
    }
}

/// What to do next with a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchStep {
    /// Read the shard's book and its revision.
    Read,
    /// Swap the book if its revision still is the given one.
    Swap(ClaimTable, u64),
    /// The end; verdicts in the order of the wishes.
    Done(Vec<ClaimOutcome>),
    /// The platform did not answer. Claims may or may not stand, so they must not run, and their
    /// keys stay in doubt until the window has passed.
    Failed,
}

/// What came of the last step.
#[derive(Clone, Debug)]
pub enum BatchEvent {
    /// The book and its revision, zero for an absent one; none when unanswered.
    Table(Option<(ClaimTable, u64)>),
    /// Whether the swap took effect; none when unanswered.
    Swapped(Option<bool>),
}

/// The state machine of one batch of wishes on one shard.
#[derive(Debug)]
pub struct Batch {
    operations: Vec<KeyOperation>,
    outcomes: Vec<ClaimOutcome>,
    unix_secs: u64,
    calls: u32,
}

/// Reads and swaps after which a batch fails.
const CALLS_MAX: u32 = 12;

impl Batch {
    /// Starts a batch at a wall-clock time, in seconds since the Unix epoch.
    pub fn new(operations: Vec<KeyOperation>, unix_secs: u64) -> Batch {
        Batch {
            operations,
            outcomes: Vec::new(),
            unix_secs,
            calls: 0,
        }
    }

    /// Takes what came of the last step and tells the next.
    pub fn advance(&mut self, event: BatchEvent) -> BatchStep {
        self.calls += 1;
        if self.calls > CALLS_MAX {
            return BatchStep::Failed;
        }
        match event {
            BatchEvent::Table(Some((table, revision))) => self.apply_to_table(table, revision),
            BatchEvent::Swapped(Some(true)) => BatchStep::Done(std::mem::take(&mut self.outcomes)),
            BatchEvent::Table(None) | BatchEvent::Swapped(_) => BatchStep::Read,
        }
    }

    fn apply_to_table(&mut self, mut table: ClaimTable, revision: u64) -> BatchStep {
        let before = table.clone();
        self.outcomes = table.apply(&self.operations, self.unix_secs);
        if table == before {
            return BatchStep::Done(std::mem::take(&mut self.outcomes));
        }
        BatchStep::Swap(table, revision)
    }
}
