//! What a node remembers of the claims that it has written, so that they survive a return of the
//! platform from an older copy of its data.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::claims::{ClaimOutcome, KeyOperation};
use crate::state::revision::Era;

/// Time for which written operations are remembered: the age of the oldest copy from which lost
/// claims are restored.
pub const MEMORY_TIME: Duration = Duration::from_secs(60);
/// Maximum number of remembered operations.
const OPERATIONS_MAX: usize = 50_000;
/// Time after a return within which the nodes write the claims that the platform has lost. Until
/// then, a key that is not in the table may have been claimed.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The operations on keys that one node has written lately, and what it knows of the platform's era.
#[derive(Debug, Default)]
pub struct ClaimMemory {
    operations: VecDeque<(Instant, KeyOperation)>,
    era: Era,
    settled_at: Option<Instant>,
}

impl ClaimMemory {
    /// Remembers the operations of a batch that were granted.
    pub fn record(&mut self, operations: &[KeyOperation], outcomes: &[ClaimOutcome], now: Instant) {
        let written = operations.iter().zip(outcomes);
        let written = written.filter(|(_, outcome)| **outcome == ClaimOutcome::Granted);
        self.operations.extend(written.map(|(op, _)| (now, *op)));
        let is_old = |(at, _): &(Instant, KeyOperation)| now - *at > MEMORY_TIME;
        while self.operations.len() > OPERATIONS_MAX || self.operations.front().is_some_and(is_old)
        {
            self.operations.pop_front();
        }
    }

    /// Records the platform's era. Returns whether it is a later one than before: the platform may
    /// have lost claims, of this node and of others.
    pub fn observe_era(&mut self, era: Era, now: Instant) -> bool {
        let is_later = era > self.era;
        if is_later {
            self.era = era;
            self.settled_at = Some(now + SETTLE_TIME);
        }
        is_later
    }

    /// Whether the nodes may still be writing the claims that the platform has lost.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.settled_at.is_some_and(|at| now < at)
    }

    /// The remembered operations of a shard, oldest first.
    pub fn operations(&self, shard: u64) -> Vec<KeyOperation> {
        let of_shard = self.operations.iter().map(|(_, op)| *op);
        of_shard.filter(|op| op.key().shard() == shard).collect()
    }

    /// The shards of all remembered operations.
    pub fn shards(&self) -> impl Iterator<Item = u64> {
        self.operations.iter().map(|(_, op)| op.key().shard())
    }
}
