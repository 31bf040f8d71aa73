//! Pacing: limits the rate at which a gate sends requests to its target, while the target names a
//! rate that it accepts.
//!
//! All requests of the fleet to a target pass through the gate of its node, so a token bucket there
//! limits their sum, and no agreement between the ingresses is needed. The bucket is empty when the
//! target first names a rate: until then it received requests without a limit.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::rate::RequestRate;

/// Time over which unused tokens are collected. Short, so that a burst of arrivals is smoothed to
/// about the named rate.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Smallest rate, in requests per second. A target that accepts no requests could otherwise never
/// say that it accepts them again.
const RATE_MIN: f64 = 0.5;

/// Limits requests to a rate, if one is set.
#[derive(Debug, Default)]
pub struct Pacer {
    bucket: Option<TokenBucket>,
}

/// Bucket with one token for each request that may be sent.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: RequestRate,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn pace(self, now: Instant) -> Pace {
        let per_second = self.rate.per_second().max(RATE_MIN);
        let burst = (per_second * BURST_TIME.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let tokens = (self.tokens + elapsed.as_secs_f64() * per_second).min(burst);
        Pace { tokens, per_second }
    }
}

impl Pacer {
    /// Sets or removes the rate.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        if rate == self.rate() {
            return;
        }
        let tokens = self.pace(now).map_or(0.0, |p| p.tokens);
        self.bucket = rate.map(|rate| TokenBucket {
            rate,
            tokens,
            refilled_at: now,
        });
    }

    /// The rate, if one is set.
    pub fn rate(&self) -> Option<RequestRate> {
        self.bucket.map(|b| b.rate)
    }

    /// The state at `now`, or `None` if no rate is set.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::pace::Pacer;
    /// use tarragoncourse::state::rate::RequestRate;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut pacer = Pacer::default();
    /// assert!(pacer.pace(now).is_none());
    /// pacer.set_rate(RequestRate::from_per_second(20.0), now);
    /// assert_eq!(pacer.pace(now).unwrap().delay(0), Duration::from_millis(50));
    /// ```
    pub fn pace(&self, now: Instant) -> Option<Pace> {
        self.bucket.map(|b| b.pace(now))
    }

    /// Removes the token of one request that is sent now.
    pub fn take(&mut self, now: Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens = bucket.pace(now).tokens - 1.0;
            bucket.refilled_at = now;
        }
    }
}

/// State of a [`Pacer`] at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    tokens: f64,
    per_second: f64,
}

impl Pace {
    /// Whether a request may be sent now.
    pub fn is_open(self) -> bool {
        self.delay(0).is_zero()
    }

    /// Time until a request may be sent that has `ahead` other requests before it.
    pub fn delay(self, ahead: usize) -> Duration {
        let missing = (ahead + 1) as f64 - self.tokens;
        // Rounded down to whole microseconds, so that rounding errors do not delay a request that
        // is due.
        let micros = missing.max(0.0) / self.per_second * 1e6;
        Duration::from_micros(micros as u64)
    }
}
