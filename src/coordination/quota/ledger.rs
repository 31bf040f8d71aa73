//! The ledger: pools the entitlements that nodes lend, and grants tokens from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::bucket::{Bucket, capacity};
use super::{Ask, Echo, FleetSize, Grant, LEASE, QuotaReply, QuotaRequest, SHARD_COUNT, shard_of};
use crate::state::workspace::{RateLimit, WorkspaceId};

/// Oldest time stamp that counts, in milliseconds. Longer ago, clocks may have drifted by more than
/// the margin of a lease, or the stamp is one of an earlier process.
const STAMP_AGE_MAX_MS: u32 = 60_000;
/// Shortest time between two refills of a shard; bounds the cost of a message.
const REFILL_INTERVAL: Duration = Duration::from_millis(10);
/// Seconds of its rate that a new bucket holds at most. An earlier ledger may have spent the burst.
const START_CREDIT_SECONDS: f64 = 1.0;
/// Time after which an unused bucket is dropped.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Number of buckets from which on unused ones are looked for.
const BUCKETS_CHECKED: usize = 256;
/// Shortest and longest time that a refusal names. Nodes ask again at the end of it.
const WAIT_MIN: Duration = Duration::from_millis(10);
const WAIT_MAX: Duration = Duration::from_secs(1);

/// What a ledger has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct LedgerCounts {
    /// Tokens granted.
    pub granted: u64,
    /// Asks that were granted less than they asked for.
    pub refused: u64,
}

/// The ledger of one node. It is idle unless nodes choose it.
#[derive(Debug)]
pub struct Ledger {
    started: Instant,
    /// Clock at the start. It is random, so that stamps of an earlier process are not valid.
    first_stamp: u32,
    shards: [Shard; SHARD_COUNT],
    rng: fastrand::Rng,
    counts: LedgerCounts,
}

#[derive(Debug)]
struct Shard {
    /// Ends of the leases, by lender.
    leases: BTreeMap<SocketAddr, Instant>,
    accounts: BTreeMap<WorkspaceId, Account>,
    refilled_at: Instant,
    /// Size of the fleet.
    nodes: f64,
    /// Part of the limits that is lent.
    fraction: f64,
    /// Seconds of its rate that a new bucket starts with.
    credit: f64,
}

/// The bucket of one workspace.
#[derive(Debug)]
struct Account {
    limit: RateLimit,
    bucket: Bucket,
    /// Tokens that refused nodes were told to come back for.
    promised: f64,
    used_at: Instant,
}

impl Ledger {
    /// Creates a ledger to which nothing is lent.
    pub fn new(now: Instant, mut rng: fastrand::Rng) -> Ledger {
        Ledger {
            started: now,
            first_stamp: rng.u32(..),
            shards: std::array::from_fn(|_| Shard::new(now)),
            rng,
            counts: LedgerCounts::default(),
        }
    }

    /// Handles a node's request. While the size of the fleet is not known, nothing is granted. `limit_of` returns the limits in force at this node. Returns no reply if
    /// the sender needs none and its echo was valid.
    pub fn handle(
        &mut self,
        lender: SocketAddr,
        request: &QuotaRequest,
        fleet: &FleetSize,
        limit_of: impl Fn(WorkspaceId) -> Option<RateLimit>,
        now: Instant,
    ) -> Option<QuotaReply> {
        // An unknown size counts as a very large one.
        let nodes = fleet.get(now).unwrap_or(u32::MAX);
        let lease_end = request.echo.and_then(|echo| self.lease_end(echo, now));
        for shard in self.shards.iter_mut() {
            shard.refill(nodes, now);
        }
        if let Some(end) = lease_end {
            for shard in request.lent.iter() {
                self.shards[shard].lend(lender, end);
            }
        }
        if request.id == 0 && lease_end.is_some() {
            return None;
        }
        let grants = request
            .asks
            .iter()
            .map(|ask| match limit_of(ask.workspace) {
                None => Grant {
                    tokens: ask.tokens,
                    wait_ms: 0,
                },
                Some(limit) => self.grant(*ask, limit, now),
            });
        Some(QuotaReply {
            id: request.id,
            nodes: fleet.seen(now),
            grants: grants.collect(),
            stamp: self.stamp(now),
        })
    }

    /// Nodes that lend their entitlements of at least one shard now.
    pub fn lenders(&self, now: Instant) -> usize {
        let live = |s: &Shard| s.leases.values().filter(|end| **end > now).count();
        self.shards.iter().map(live).max().unwrap_or(0)
    }

    /// Returns the counts.
    pub fn counts(&self) -> LedgerCounts {
        self.counts
    }

    fn stamp(&self, now: Instant) -> u32 {
        let elapsed = (now - self.started).as_millis() as u32;
        self.first_stamp.wrapping_add(elapsed)
    }

    /// End of the lease of a request, counted from the earliest time at which it can have been sent.
    /// Returns `None` if it has already ended or the time is not known.
    fn lease_end(&self, echo: Echo, now: Instant) -> Option<Instant> {
        let age_ms = self.stamp(now).wrapping_sub(echo.stamp);
        if age_ms > STAMP_AGE_MAX_MS {
            return None;
        }
        let delay = Duration::from_millis(age_ms.saturating_sub(echo.held_ms).into());
        let left = LEASE.checked_sub(delay)?;
        Some(now + left)
    }

    fn grant(&mut self, ask: Ask, limit: RateLimit, now: Instant) -> Grant {
        let shard = &mut self.shards[shard_of(ask.workspace)];
        let fraction = shard.fraction;
        let account = shard.account(ask.workspace, limit, now);
        let capacity = capacity(&limit, fraction);
        let tokens = account.bucket.take(ask.tokens, capacity, &mut self.rng);
        self.counts.granted += u64::from(tokens);
        if tokens == ask.tokens {
            return Grant { tokens, wait_ms: 0 };
        }
        self.counts.refused += 1;
        let wait = account.promise(limit.rate * fraction);
        Grant {
            tokens,
            wait_ms: wait.as_millis() as u16,
        }
    }
}

impl Shard {
    fn new(now: Instant) -> Shard {
        Shard {
            leases: BTreeMap::new(),
            accounts: BTreeMap::new(),
            refilled_at: now,
            nodes: 1.0,
            fraction: 0.0,
            credit: 0.0,
        }
    }

    fn lend(&mut self, lender: SocketAddr, end: Instant) {
        let lease = self.leases.entry(lender).or_insert(end);
        *lease = end.max(*lease);
        self.update_fraction();
    }

    fn update_fraction(&mut self) {
        // Two nodes may differ in the size of the fleet that they have seen.
        self.nodes = self.nodes.max(self.leases.len() as f64);
        self.fraction = self.leases.len() as f64 / self.nodes;
    }

    /// Fills the buckets by what was lent since the last refill, and cuts them to what is lent now.
    fn refill(&mut self, nodes: u32, now: Instant) {
        if f64::from(nodes) > self.nodes {
            self.nodes = nodes.into();
            self.update_fraction();
        }
        if now - self.refilled_at < REFILL_INTERVAL {
            return;
        }
        self.nodes = f64::from(nodes).max(self.leases.len() as f64);
        let since = self.refilled_at;
        let held = |end: &Instant| end.min(&now).saturating_duration_since(since).as_secs_f64();
        let gained = self.leases.values().map(held).sum::<f64>() / self.nodes;
        self.leases.retain(|_, end| *end > now);
        self.update_fraction();
        self.credit = (self.credit + gained).min(self.fraction * START_CREDIT_SECONDS);
        self.refilled_at = now;
        if self.accounts.len() >= BUCKETS_CHECKED {
            self.accounts
                .retain(|_, a| now - a.used_at < BUCKET_RETENTION);
        }
        for account in self.accounts.values_mut() {
            account.refill(gained, self.fraction);
        }
    }

    /// Returns the account of a workspace, cut to the limit in force.
    fn account(&mut self, workspace: WorkspaceId, limit: RateLimit, now: Instant) -> &mut Account {
        let credit = self.credit;
        let account = self.accounts.entry(workspace).or_insert_with(|| {
            let mut bucket = Bucket::default();
            bucket.refill(&limit, credit, 1.0);
            Account {
                limit,
                bucket,
                promised: 0.0,
                used_at: now,
            }
        });
        account.limit = limit;
        account.used_at = now;
        account.refill(0.0, self.fraction);
        account
    }
}

impl Account {
    fn refill(&mut self, gained: f64, fraction: f64) {
        self.bucket.refill(&self.limit, gained, fraction);
        self.promised = (self.promised - self.limit.rate * gained).max(0.0);
    }

    /// Reserves the place of one refused node among those that were told to come back, and returns
    /// the time at which its token will be available.
    fn promise(&mut self, rate: f64) -> Duration {
        self.promised = (self.promised + 1.0).min(rate * WAIT_MAX.as_secs_f64() + 1.0);
        let missing = (self.promised - self.bucket.tokens()).max(0.0);
        let seconds = missing / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(WAIT_MAX)
            .clamp(WAIT_MIN, WAIT_MAX)
    }
}
