//! Temporary ejection of failing targets. A target that returns from ejection is on trial until it
//! has answered a few attempts.

use std::time::Duration;

use tokio::time::Instant;

/// Number of consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one lasts twice as long.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Maximum share of a service's targets that may be ejected at the same time. The number is rounded
/// up, but never includes all targets.
const EJECTED_SHARE_MAX: f64 = 0.34;
/// Number of answers after which a target that returned from ejection counts as healthy again.
const TRIAL_ANSWERS: u32 = 3;

/// Failures and ejections of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the target last counted as healthy.
    count: u32,
    /// End of the last ejection. It stays set while the target is on trial.
    until: Option<Instant>,
    /// Answers since the last ejection.
    trial_answers: u32,
}

impl Ejection {
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the target is ejected, or is back on trial and already runs one attempt of this
    /// node.
    pub(super) fn is_unavailable(&self, in_flight: u32, now: Instant) -> bool {
        match self.until {
            Some(until) if now < until => true,
            Some(_) => in_flight > 0,
            None => false,
        }
    }

    pub(super) fn record_answer(&mut self) {
        self.failures = 0;
        if self.until.is_none() {
            return;
        }
        self.trial_answers += 1;
        if self.trial_answers >= TRIAL_ANSWERS {
            self.until = None;
            self.count = 0;
        }
    }

    /// Records a failure and returns whether the target is now ejected for it.
    pub(super) fn record_failure(&mut self, may_eject: bool, now: Instant) -> bool {
        self.failures += 1;
        let on_trial = self.until.is_some();
        let ejects = may_eject && (on_trial || self.failures >= FAILURES_TO_EJECT);
        if ejects {
            self.eject(now);
        }
        ejects
    }

    fn eject(&mut self, now: Instant) {
        let duration = EJECTION_BASE * 2u32.saturating_pow(self.count.min(8));
        self.until = Some(now + duration.min(EJECTION_MAX));
        self.count += 1;
        self.trial_answers = 0;
        self.failures = 0;
    }
}

/// Whether another target of a service may be ejected.
pub(super) fn may_eject(ejected: usize, targets: usize) -> bool {
    let max_ejected = (targets as f64 * EJECTED_SHARE_MAX).ceil() as usize;
    ejected < max_ejected.min(targets.saturating_sub(1))
}
