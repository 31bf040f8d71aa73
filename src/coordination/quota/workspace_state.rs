//! State of one workspace at a node: tokens held, demand and the own entitlement.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::bucket::{Bucket, capacity};
use super::{Ask, Grant};
use crate::state::workspace::RateLimit;

/// Time for which tokens are asked for in advance, by the latest demand. Half of a token's lifetime,
/// so that few of them expire unused.
const AHEAD_TIME: Duration = Duration::from_millis(150);
/// Time constant of the demand estimate.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Most tokens in one ask.
const ASK_TOKENS_MAX: u16 = 1000;

/// State of one workspace at a node.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    /// Numbers of tokens with the time at which they expire, the oldest first.
    pub(super) held: SmallVec<[(Instant, u16); 4]>,
    pub(super) refused_until: Option<Instant>,
    /// Requests that wait for an ask that was not sent yet.
    pub(super) waiting: u16,
    /// Demand in requests per second, at the last request.
    demand: f64,
    pub(super) used_at: Instant,
    /// Own entitlement.
    pub(super) own: Bucket,
    pub(super) own_at: Instant,
}

impl WorkspaceState {
    pub(super) fn new(now: Instant, own_at: Instant) -> WorkspaceState {
        WorkspaceState {
            held: SmallVec::new(),
            refused_until: None,
            waiting: 0,
            demand: 0.0,
            used_at: now,
            own: Bucket::default(),
            own_at: own_at.min(now),
        }
    }

    /// Records that a request has arrived.
    pub(super) fn record_demand(&mut self, now: Instant) {
        let elapsed = (now - self.used_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand = self.demand * (-elapsed).exp() + 1.0 / DEMAND_TIME.as_secs_f64();
        self.used_at = now;
    }

    /// Tokens to ask for: for the requests that wait, and for those expected soon.
    pub(super) fn take_wanted(&mut self) -> u16 {
        let ahead = self.demand * AHEAD_TIME.as_secs_f64();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.saturating_add(ahead as u16).min(ASK_TOKENS_MAX)
    }

    /// Takes a token of the own entitlement, which has not been lent since `free_since`.
    pub(super) fn take_own(
        &mut self,
        limit: &RateLimit,
        fraction: f64,
        free_since: Instant,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if self.own_at < free_since {
            // A ledger held the tokens that were there before.
            self.own = Bucket::default();
            self.own_at = free_since;
        }
        let seconds = (now - self.own_at).as_secs_f64();
        self.own_at = now;
        self.own.refill(limit, seconds * fraction, fraction);
        self.own.take(1, capacity(limit, fraction), rng) == 1
    }

    /// Takes one of the tokens held, and returns when it expires.
    pub(super) fn take_held(&mut self, now: Instant) -> Option<Instant> {
        self.held.retain(|(expires, _)| *expires > now);
        let (expires, count) = self.held.first_mut()?;
        let expires = *expires;
        *count -= 1;
        if *count == 0 {
            self.held.remove(0);
        }
        Some(expires)
    }

    /// Adds tokens to those held.
    pub(super) fn hold(&mut self, expires: Instant, count: u16) {
        let index = self.held.partition_point(|(e, _)| *e <= expires);
        self.held.insert(index, (expires, count));
    }

    /// Stores the tokens of a grant, and remembers a refusal.
    pub(super) fn apply_grant(&mut self, ask: &Ask, grant: &Grant, expires: Instant, now: Instant) {
        if grant.tokens > 0 && expires > now {
            self.hold(expires, grant.tokens.min(ask.tokens));
        }
        if grant.tokens < ask.tokens {
            self.refused_until = Some(now + Duration::from_millis(grant.wait_ms.into()));
        }
    }
}
