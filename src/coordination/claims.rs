//! Claims on idempotency keys, stored in the platform so that they survive the loss of any
//! instance.
//!
//! The keys are divided into shards, with one claim table per shard. The claims of many requests
//! are written with a single compare-and-swap of the shard's table. A claim is decided only on a
//! table that was read from the platform or swapped into it, never on a cached copy, so that of two
//! claims on the same key the one that the platform writes first wins. Queen MQ's exact windowed
//! deduplication works the same way.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::state::digest::DigestBuilder;
use crate::state::id::AttemptId;
use crate::state::revision::Revision;

/// Number of shards that the keys are divided into.
pub const SHARD_COUNT: u64 = 16;
/// Time for which a claimed key is kept; afterwards the key can be claimed again.
pub const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of entries in one table; keeps its encoded value below the platform's limit of 1
/// MB.
pub const TABLE_ENTRIES_MAX: usize = 9_000;

/// Idempotency key, hashed together with its service to 128 bits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:032x}")]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a key together with its service, so that services do not share keys.
    ///
    /// ```
    /// use tarragoncourse::coordination::claims::KeyHash;
    /// assert_ne!(KeyHash::new("guild/a", "k"), KeyHash::new("guild/b", "k"));
    /// ```
    pub fn new(service: &str, key: &str) -> KeyHash {
        let digest = DigestBuilder::default().text(service).text(key).finish();
        KeyHash(u128::from_le_bytes(
            digest.0[..16]
                .try_into()
                .expect("a digest has at least 16 bytes"),
        ))
    }

    /// Shard that the key belongs to.
    pub fn shard(self) -> u64 {
        (self.0 % u128::from(SHARD_COUNT)) as u64
    }
}

/// State of the request that claimed a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeyState {
    /// The request may be running; no outcome is recorded.
    #[display("pending")]
    Pending,
    /// The target answered the request with this HTTP status.
    #[display("answered {_0}")]
    Answered(u16),
}

/// Entry of one key in a claim table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Wall-clock time of the claim, in seconds since the Unix epoch.
    pub claimed_at: u64,
    /// State of the request.
    pub state: KeyState,
}

/// Result of an operation on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The operation was applied. A request whose claim is granted is the only one that may run
    /// under the key. Completions and releases are always granted, and have no effect if the
    /// attempt does not hold the key.
    Granted,
    /// Another attempt holds the key; its request is in this state.
    Held(KeyState),
    /// The table is full, so the request must not run.
    Full,
    /// The platform has come back from an older copy and may have lost a claim on the key, so the
    /// request must not run.
    Unsettled,
}

/// Operation on one idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOperation {
    /// Claim the key for this attempt.
    Claim(KeyHash, AttemptId),
    /// Record the HTTP status with which the attempt's request was answered.
    Complete(KeyHash, AttemptId, u16),
    /// Release the key, because the attempt's request was not run.
    Release(KeyHash, AttemptId),
}

/// Claimed keys of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    /// Entries by key.
    pub entries: HashMap<KeyHash, KeyEntry>,
}

impl ClaimTable {
    /// Applies a batch of operations and returns their results in the same order. The results are
    /// valid only after the table has been swapped into the platform against the revision at which
    /// it was read.
    pub fn apply(&mut self, operations: &[KeyOperation], unix_secs: u64) -> Vec<ClaimOutcome> {
        self.expire(unix_secs);
        operations
            .iter()
            .map(|op| self.apply_one(*op, unix_secs))
            .collect()
    }

    /// Writes operations again that the platform has lost, over whatever the table holds for their
    /// keys: they were granted before.
    pub fn restore(&mut self, lost: &[KeyOperation], unix_secs: u64) {
        for operation in lost {
            if let KeyOperation::Claim(key, attempt) = operation
                && self.entries.get(key).is_none_or(|e| e.attempt != *attempt)
            {
                self.entries.remove(key);
            }
            self.apply_one(*operation, unix_secs);
        }
    }

    /// Refuses to grant claims on keys that are not in the table. Returns the results of a batch.
    fn apply_unsettled(
        &mut self,
        operations: &[KeyOperation],
        unix_secs: u64,
    ) -> Vec<ClaimOutcome> {
        let apply = |operation: &KeyOperation| match operation {
            KeyOperation::Claim(key, _) if !self.entries.contains_key(key) => {
                ClaimOutcome::Unsettled
            }
            _ => self.apply_one(*operation, unix_secs),
        };
        operations.iter().map(apply).collect()
    }

    /// Removes keys that were claimed at least [`KEY_RETENTION`] ago.
    fn expire(&mut self, unix_secs: u64) {
        let retention = KEY_RETENTION.as_secs();
        self.entries
            .retain(|_, e| e.claimed_at + retention > unix_secs);
    }

    fn apply_one(&mut self, operation: KeyOperation, unix_secs: u64) -> ClaimOutcome {
        match operation {
            KeyOperation::Claim(key, attempt) => self.claim(key, attempt, unix_secs),
            KeyOperation::Complete(key, attempt, status) => {
                let entry = self.entries.get_mut(&key).filter(|e| e.attempt == attempt);
                if let Some(e) = entry {
                    e.state = KeyState::Answered(status);
                }
                ClaimOutcome::Granted
            }
            KeyOperation::Release(key, attempt) => {
                if self.entries.get(&key).is_some_and(|e| e.attempt == attempt) {
                    self.entries.remove(&key);
                }
                ClaimOutcome::Granted
            }
        }
    }

    fn claim(&mut self, key: KeyHash, attempt: AttemptId, claimed_at: u64) -> ClaimOutcome {
        match self.entries.get(&key) {
            // The response to an earlier swap of this batch was lost, so the batch is applied
            // again.
            Some(e) if e.attempt == attempt => ClaimOutcome::Granted,
            Some(e) => ClaimOutcome::Held(e.state),
            None if self.entries.len() >= TABLE_ENTRIES_MAX => ClaimOutcome::Full,
            None => {
                let state = KeyState::Pending;
                self.entries.insert(
                    key,
                    KeyEntry {
                        attempt,
                        claimed_at,
                        state,
                    },
                );
                ClaimOutcome::Granted
            }
        }
    }
}

/// Minimum interval between two writes of one shard. Together with the number of shards it limits
/// the platform's writes to 320 per second, however many requests there are.
pub const SHARD_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a completion or release waits to be written together with a claim.
pub const COMPLETION_WAIT_MAX: Duration = Duration::from_millis(250);

impl KeyOperation {
    /// The key that the operation is about.
    pub fn key(&self) -> KeyHash {
        match self {
            KeyOperation::Claim(k, _)
            | KeyOperation::Complete(k, _, _)
            | KeyOperation::Release(k, _) => *k,
        }
    }

    /// Whether a request waits for the result.
    pub fn is_urgent(&self) -> bool {
        matches!(self, KeyOperation::Claim(..))
    }
}

/// Schedules the writes of one shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritePacer {
    last_write: Option<Instant>,
    /// When the first of the queued claims was queued.
    urgent_since: Option<Instant>,
    /// When the queued completions and releases must be written even without a claim.
    completion_due: Option<Instant>,
}

impl WritePacer {
    /// Records that an operation was queued.
    pub fn record_operation(&mut self, operation: &KeyOperation, now: Instant) {
        match operation.is_urgent() {
            true => self.urgent_since.get_or_insert(now),
            false => self.completion_due.get_or_insert(now + COMPLETION_WAIT_MAX),
        };
    }

    /// Time at which the next write is due, or `None` if nothing is queued.
    ///
    /// ```
    /// use tarragoncourse::coordination::claims::{
    ///     KeyHash, KeyOperation, SHARD_WRITE_INTERVAL, WritePacer,
    /// };
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
        requested.map(|due| earliest.map_or(due, |e| e.max(due)))
    }

    /// Records that all queued operations are being written.
    pub fn record_write(&mut self, now: Instant) {
        *self = WritePacer {
            last_write: Some(now),
            ..WritePacer::default()
        };
    }
}

/// Next step of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchStep {
    /// Read the shard's table and its revision.
    Read,
    /// Swap in this table if its revision in the platform is still the given one.
    Swap(ClaimTable, Revision),
    /// The batch has been applied; the results are in the order of the operations.
    Done(Vec<ClaimOutcome>),
    /// The platform did not respond, or every swap lost to another writer. The claims of the batch
    /// may or may not have been stored, so their requests must not run, and it stays unknown who
    /// holds their keys until [`KEY_RETENTION`] has passed.
    Failed,
}

/// Result of the last step.
#[derive(Clone, Debug)]
pub enum BatchEvent {
    /// The table and its revision, [`Revision::ABSENT`] if there is no table yet; `None` if the
    /// platform did not respond.
    Table(Option<(ClaimTable, Revision)>),
    /// Whether the swap succeeded; `None` if the platform did not respond.
    Swapped(Option<bool>),
}

/// State machine that applies one batch of operations to one shard.
#[derive(Debug)]
pub struct Batch {
    operations: Vec<KeyOperation>,
    outcomes: Vec<ClaimOutcome>,
    unix_secs: u64,
    calls: u32,
    /// Operations of an earlier era, which the platform may have lost.
    lost: Vec<KeyOperation>,
    /// Whether other nodes may still be writing theirs.
    settling: bool,
}

/// Number of platform calls (reads and swaps) after which a batch fails.
const CALLS_MAX: u32 = 12;

impl Batch {
    /// Creates a batch. `unix_secs` is the wall-clock time in seconds since the Unix epoch.
    pub fn new(operations: Vec<KeyOperation>, unix_secs: u64) -> Batch {
        Batch {
            operations,
            outcomes: Vec::new(),
            unix_secs,
            calls: 0,
            lost: Vec::new(),
            settling: false,
        }
    }

    /// Makes the batch first restore operations that the platform may have lost, and refuse claims
    /// while other nodes may still be `settling` theirs.
    pub fn after_return(self, lost: Vec<KeyOperation>, settling: bool) -> Batch {
        Batch {
            lost,
            settling,
            ..self
        }
    }

    /// Takes the result of the last step and returns the next one.
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

    fn apply_to_table(&mut self, mut table: ClaimTable, revision: Revision) -> BatchStep {
        let before = table.clone();
        table.restore(&self.lost, self.unix_secs);
        self.outcomes = match self.settling {
            true => table.apply_unsettled(&self.operations, self.unix_secs),
            false => table.apply(&self.operations, self.unix_secs),
        };
        if table == before {
            return BatchStep::Done(std::mem::take(&mut self.outcomes));
        }
        BatchStep::Swap(table, revision)
    }
}
