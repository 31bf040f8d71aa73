//! Rate limits of workspaces that hold over the whole fleet without a central counter.
//!
//! Every node is entitled to one part in N of each workspace's rate and burst, where N is the size
//! of the fleet. Nodes lend their entitlements to *ledgers* for short leases; a ledger fills one
//! token bucket per workspace from what it was lent, and grants tokens to the nodes that ask. An
//! entitlement is used either by its node or by the one ledger that holds the lease, so the sum over
//! the fleet stays within the limit whatever messages are lost, late or repeated.
//!
//! Workspaces are grouped into shards. All workspaces of a shard have the same ledger, and a node
//! lends its entitlements of a whole shard at once.

mod bucket;
mod client;
mod fleet_size;
mod ledger;
mod link;
mod placement;
mod workspace_state;

use std::time::Duration;

use smallvec::SmallVec;

use crate::state::workspace::WorkspaceId;

pub use bucket::{Bucket, capacity};
pub use client::{Admission, ClientCounts, LedgerChange, QuotaClient, Token};
pub use fleet_size::FleetSize;
pub use ledger::{Ledger, LedgerCounts};
pub use placement::Placement;

/// Number of groups of workspaces that share a ledger.
pub const SHARD_COUNT: usize = 8;
/// Time for which a message lends the entitlements of its sender.
pub const LEASE: Duration = Duration::from_secs(1);
/// Time after the end of a lease until its node uses the entitlement itself. Covers the resolution
/// of the ledger's clock and the drift between two clocks.
pub const LEASE_MARGIN: Duration = Duration::from_millis(20);
/// Time for which a granted token may be used, counted from the moment when it was asked for. Over
/// 5 s it adds at most 6% of the rate.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Longest time that a request waits for a ledger.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of workspaces in one request; keeps it within a datagram.
pub const ASKS_MAX: usize = 64;

/// A set of shards, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardSet(pub u8);

impl ShardSet {
    /// Adds a shard.
    pub fn insert(&mut self, shard: usize) {
        self.0 |= 1 << shard;
    }

    /// The shards of the set, in ascending order.
    ///
    /// ```
    /// use tarragoncourse::coordination::quota::ShardSet;
    /// let mut shards = ShardSet::default();
    /// shards.insert(5);
    /// assert!(shards.iter().eq([5]));
    /// ```
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..SHARD_COUNT).filter(move |s| self.0 & (1 << s) != 0)
    }
}

/// Returns the shard of a workspace.
pub fn shard_of(workspace: WorkspaceId) -> usize {
    (workspace.0 % SHARD_COUNT as u64) as usize
}

/// The last time stamp that a node received from a ledger. It proves how late a request can have
/// been sent at the earliest, so that a delayed request does not extend a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The ledger's clock when it replied, in milliseconds.
    pub stamp: u32,
    /// Time between the arrival of that reply and the sending of this request, in milliseconds.
    pub held_ms: u32,
}

/// Asks for tokens of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    pub workspace: WorkspaceId,
    /// Number of tokens.
    pub tokens: u16,
}

/// Message from a node to a ledger: lends entitlements and asks for tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Chosen by the sender; the reply has the same value. Zero if no reply is needed.
    pub id: u32,
    /// Size of the fleet that the sender has seen; zero if it started too recently to know.
    pub nodes: u32,
    /// Shards whose entitlements are lent.
    pub lent: ShardSet,
    /// Without it, the ledger cannot tell the age of the request, and nothing is lent.
    pub echo: Option<Echo>,
    /// Tokens that are asked for; none if the message only renews a lease.
    pub asks: SmallVec<[Ask; 4]>,
}

/// The ledger's answer to one [`Ask`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens granted.
    pub tokens: u16,
    /// Time after which the next token will be available, if fewer were granted than asked for, in
    /// milliseconds.
    pub wait_ms: u16,
}

/// Reply of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaReply {
    /// Value from the request.
    pub id: u32,
    /// Size of the fleet that the ledger has seen; zero if it does not know.
    pub nodes: u32,
    /// The ledger's clock, in milliseconds.
    pub stamp: u32,
    /// Answers in the order of the asks.
    pub grants: SmallVec<[Grant; 4]>,
}
