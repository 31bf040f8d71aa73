//! Token bucket over a part of a workspace's limit.

use crate::state::workspace::RateLimit;

/// Time in which the rate fills the least capacity of a bucket, in seconds. Requests do not arrive
/// evenly, so a workspace without a burst could not reach its rate otherwise.
const MIN_BURST_SECONDS: f64 = 0.1;
/// Number of equal parts of a limit whose buckets can still hold a whole token each. It bounds what
/// many small buckets add to the burst, to half of the 20 requests that the bound allows.
const WHOLE_TOKEN_PARTS: f64 = 10.0;

/// Capacity of the bucket for a part of a limit. Over all parts, the capacities add up to at most the
/// burst, or a tenth of the rate if that is more, and ten tokens.
///
/// ```
/// use tarragoncourse::coordination::quota::capacity;
/// use tarragoncourse::state::workspace::RateLimit;
/// let limit = RateLimit::new(100.0, 50.0).unwrap();
/// assert_eq!(capacity(&limit, 1.0), 50.0);
/// assert!(capacity(&limit, 0.001) < 1.0);
/// ```
pub fn capacity(limit: &RateLimit, fraction: f64) -> f64 {
    let share = limit.burst.max(limit.rate * MIN_BURST_SECONDS) * fraction;
    share.max((WHOLE_TOKEN_PARTS * fraction).min(1.0))
}

/// Tokens of one workspace at one place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Adds what the rate gives in a number of seconds, of which `gained` counts only the part of the
    /// limit that was held, and cuts the bucket to the capacity of the part that is held now.
    pub fn refill(&mut self, limit: &RateLimit, gained: f64, fraction: f64) {
        self.tokens = (self.tokens + limit.rate * gained).min(capacity(limit, fraction));
    }

    /// Takes up to `wanted` whole tokens. A bucket that can never hold a whole token grants one with
    /// the probability of its content and is empty afterwards, so that the mean over many such
    /// buckets is right.
    pub fn take(&mut self, wanted: u16, capacity: f64, rng: &mut fastrand::Rng) -> u16 {
        if capacity < 1.0 {
            let won = wanted > 0 && rng.f64() < self.tokens;
            self.tokens = 0.0;
            return won.into();
        }
        let taken = (self.tokens as u16).min(wanted);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Tokens in the bucket.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
