//! Health of a node's local target, derived from connections and answered requests rather than
//! from the target's health page alone.
//!
//! Health pages are often late or wrong. A page that reports a failure therefore counts only if no
//! request was answered recently. Failed connections and answered requests count immediately.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::Health;

/// Interval between probes of the target.
pub const TARGET_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed probes after which a target counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Time for which an answered request overrides a health page that reports a failure.
const ANSWER_TTL: Duration = Duration::from_secs(3);

/// Result of one probe of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetProbe {
    /// The connection failed.
    NoConnection,
    /// Connected, and the health page is absent or reports success.
    Healthy,
    /// Connected, but the health page reports a failure.
    Unhealthy,
}

/// Health state machine of one target.
#[derive(Debug)]
pub struct TargetHealth {
    up_since: Option<Instant>,
    failures: u32,
    last_answer: Option<Instant>,
}

impl Default for TargetHealth {
    fn default() -> Self {
        TargetHealth {
            up_since: None,
            failures: FAILURES_UNTIL_DOWN,
            last_answer: None,
        }
    }
}

impl TargetHealth {
    /// Records that the target answered a request.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Whether the target answered a request within the last probe interval.
    pub fn answered_recently(&self, now: Instant) -> bool {
        self.last_answer
            .is_some_and(|at| now - at < TARGET_PROBE_INTERVAL)
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, probe: TargetProbe, now: Instant) {
        let is_recent = |at: Instant| now - at < ANSWER_TTL;
        let failed = match probe {
            TargetProbe::Healthy => false,
            TargetProbe::NoConnection => true,
            TargetProbe::Unhealthy => !self.last_answer.is_some_and(is_recent),
        };
        if !failed {
            self.failures = 0;
            self.up_since.get_or_insert(now);
            return;
        }
        self.failures = (self.failures + 1).min(FAILURES_UNTIL_DOWN);
        if self.failures == FAILURES_UNTIL_DOWN {
            self.up_since = None;
        }
    }

    /// Health to publish. A target counts as cold until it has been up for `ramp`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::health::{TargetHealth, TargetProbe};
    /// use tarragoncourse::state::member::Health;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut health = TargetHealth::default();
    /// assert_eq!(health.state(Duration::ZERO, now), Health::Down);
    /// health.record_probe(TargetProbe::Healthy, now);
    /// assert_eq!(health.state(Duration::from_secs(5), now), Health::Cold);
    /// ```
    pub fn state(&self, ramp: Duration, now: Instant) -> Health {
        match self.up_since {
            None => Health::Down,
            Some(since) if now - since < ramp => Health::Cold,
            Some(_) => Health::Ready,
        }
    }
}
