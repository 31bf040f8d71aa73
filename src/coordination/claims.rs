//! Claims on idempotency keys, kept in the platform so that they outlast any instance.
//!
//! The claims of many requests go into one compare-and-swap of a shard's book. A verdict comes
//! only from a book that was read from or swapped into the platform, never from a cache: the
//! write serialiser decides, as in Queen MQ's exact windowed deduplication.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::state::digest::DigestBuilder;
use crate::state::id::AttemptId;

/// Number of books that keys are spread over.
pub const SHARDS: u64 = 16;
/// Time for which a key is remembered.
pub const WINDOW: Duration = Duration::from_secs(600);
/// Most entries in one book; keeps its value under the platform's megabyte.
pub const BOOK_MAX: usize = 9_000;

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
        let d = DigestBuilder::default().text(service).text(key).finish();
        KeyHash(u128::from_le_bytes(
            d.0[..16].try_into().expect("sixteen bytes"),
        ))
    }

    /// The book that the key belongs to.
    pub fn shard(self) -> u64 {
        (self.0 % u128::from(SHARDS)) as u64
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
    pub stamp: u64,
    /// What is known of the request.
    pub state: KeyState,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claimant alone may run the request.
    Granted,
    /// Another claim holds the key.
    Held(KeyState),
    /// The book is full; the request is not run.
    Full,
}

/// One request's wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Take the key for this claim.
    Claim(KeyHash, AttemptId),
    /// Record the outcome of the claim's request.
    Settle(KeyHash, AttemptId, u16),
    /// Give the key back: the claim's request was not run.
    Release(KeyHash, AttemptId),
}

/// The keys of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    /// Entries by key.
    pub entries: HashMap<KeyHash, KeyEntry>,
}

impl Book {
    /// Applies a batch of wishes; the verdicts are in its order. They hold once the book has been
    /// swapped into the platform against the revision that it was read at.
    pub fn apply(&mut self, wishes: &[Wish], stamp: u64) -> Vec<ClaimVerdict> {
        self.expire(stamp);
        wishes.iter().map(|w| self.grant(*w, stamp)).collect()
    }

    fn expire(&mut self, stamp: u64) {
        let window = WINDOW.as_secs();
        self.entries.retain(|_, e| e.stamp + window > stamp);
    }

    fn grant(&mut self, wish: Wish, stamp: u64) -> ClaimVerdict {
        match wish {
            Wish::Claim(key, claim) => self.claim(key, claim, stamp),
            Wish::Settle(key, claim, status) => {
                let own = self.entries.get_mut(&key).filter(|e| e.claim == claim);
                if let Some(e) = own {
                    e.state = KeyState::Answered(status);
                }
                ClaimVerdict::Granted
            }
            Wish::Release(key, claim) => {
                if self.entries.get(&key).is_some_and(|e| e.claim == claim) {
                    self.entries.remove(&key);
                }
                ClaimVerdict::Granted
            }
        }
    }

    fn claim(&mut self, key: KeyHash, claim: AttemptId, stamp: u64) -> ClaimVerdict {
        match self.entries.get(&key) {
            // The swap's answer was lost and the batch is applied again.
            Some(e) if e.claim == claim => ClaimVerdict::Granted,
            Some(e) => ClaimVerdict::Held(e.state),
            None if self.entries.len() >= BOOK_MAX => ClaimVerdict::Full,
            None => {
                let state = KeyState::Pending;
                self.entries.insert(
                    key,
                    KeyEntry {
                        claim,
                        stamp,
                        state,
                    },
                );
                ClaimVerdict::Granted
            }
        }
    }
}

/// Shortest time between two writes of one shard. With the number of shards it bounds the
/// platform's writes, whatever the number of requests: 320 each second.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an outcome waits for a claim to be written with.
pub const SETTLE_WAIT: Duration = Duration::from_millis(250);

impl Wish {
    /// Whether a request waits for the verdict.
    pub fn is_urgent(&self) -> bool {
        matches!(self, Wish::Claim(..))
    }
}

/// Paces the writes of one shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    last: Option<Instant>,
    urgent: Option<Instant>,
    settling: Option<Instant>,
}

impl Pacer {
    /// A wish was handed in.
    pub fn entered(&mut self, wish: &Wish, now: Instant) {
        match wish.is_urgent() {
            true => self.urgent.get_or_insert(now),
            false => self.settling.get_or_insert(now + SETTLE_WAIT),
        };
    }

    /// When the next write is due, if there is anything to write.
    ///
    /// ```
    /// use tarragoncourse::coordination::claims::{KeyHash, Pacer, WRITE_INTERVAL, Wish};
    /// use tarragoncourse::state::id::AttemptId;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let claim = Wish::Claim(KeyHash(1), AttemptId(1));
    /// let mut pacer = Pacer::default();
    /// pacer.entered(&claim, now);
    /// assert_eq!(pacer.due(), Some(now));
    /// pacer.written(now);
    /// pacer.entered(&claim, now);
    /// assert_eq!(pacer.due(), Some(now + WRITE_INTERVAL));
    /// ```
    pub fn due(&self) -> Option<Instant> {
        let wanted = match (self.urgent, self.settling) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let free = self.last.map(|l| l + WRITE_INTERVAL);
        wanted.map(|w| free.map_or(w, |f| f.max(w)))
    }

    /// Everything handed in is being written.
    pub fn written(&mut self, now: Instant) {
        *self = Pacer {
            last: Some(now),
            ..Pacer::default()
        };
    }
}

/// What to do next with a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchStep {
    /// Read the shard's book and its revision.
    Read,
    /// Swap the book if its revision still is the given one.
    Swap(Book, u64),
    /// The end; verdicts in the order of the wishes.
    Done(Vec<ClaimVerdict>),
    /// The platform did not answer. Claims may or may not stand, so they must not run, and their
    /// keys stay in doubt until the window has passed.
    Failed,
}

/// What came of the last step.
#[derive(Clone, Debug)]
pub enum BatchEvent {
    /// The book and its revision, zero for an absent one; none when unanswered.
    Book(Option<(Book, u64)>),
    /// Whether the swap took effect; none when unanswered.
    Swapped(Option<bool>),
}

/// The state machine of one batch of wishes on one shard.
#[derive(Debug)]
pub struct Batch {
    wishes: Vec<Wish>,
    verdicts: Vec<ClaimVerdict>,
    stamp: u64,
    tries: u32,
}

/// Reads and swaps after which a batch fails.
const TRIES_MAX: u32 = 12;

impl Batch {
    /// Starts a batch at a wall-clock time, in seconds since the Unix epoch.
    pub fn new(wishes: Vec<Wish>, stamp: u64) -> Batch {
        Batch {
            wishes,
            verdicts: Vec::new(),
            stamp,
            tries: 0,
        }
    }

    /// Takes what came of the last step and tells the next.
    pub fn next(&mut self, event: BatchEvent) -> BatchStep {
        self.tries += 1;
        if self.tries > TRIES_MAX {
            return BatchStep::Failed;
        }
        match event {
            BatchEvent::Book(Some((book, revision))) => self.merge(book, revision),
            BatchEvent::Swapped(Some(true)) => BatchStep::Done(std::mem::take(&mut self.verdicts)),
            BatchEvent::Book(None) | BatchEvent::Swapped(_) => BatchStep::Read,
        }
    }

    fn merge(&mut self, mut book: Book, revision: u64) -> BatchStep {
        let before = book.clone();
        self.verdicts = book.apply(&self.wishes, self.stamp);
        if book == before {
            return BatchStep::Done(std::mem::take(&mut self.verdicts));
        }
        BatchStep::Swap(book, revision)
    }
}
