//! Whether to try a request again: only on evidence, within the deadline and a retry budget.

use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
use crate::state::object::Idempotency;

/// Retries earned by each request that was answered.
const EARNED_PER_ANSWER: f64 = 0.1;
/// Retries that a quiet node may make at once.
const BUDGET_MAX: f64 = 20.0;
/// Base of the back-off between attempts.
const BACK_OFF_BASE: Duration = Duration::from_millis(5);
/// Longest back-off between attempts.
const BACK_OFF_MAX: Duration = Duration::from_millis(250);

/// Bounds retries to a share of recent answers, so that retries cannot multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: BUDGET_MAX }
    }
}

impl RetryBudget {
    /// Counts an answered request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_ANSWER).min(BUDGET_MAX);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// use tarragoncourse::coordination::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// let granted = (0..100).filter(|_| budget.spend()).count();
    /// assert_eq!(granted, 20);
    /// ```
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}

/// What is known about a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the whole request can be sent again.
    pub replayable: bool,
    /// Attempts made, this one included.
    pub made: u8,
    /// Most attempts allowed.
    pub allowed: u8,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Tell the caller.
    Finish,
    /// Wait, then try another target.
    Retry(Duration),
}

/// Decides what follows an attempt.
pub fn after(
    outcome: Outcome,
    trial: Trial,
    budget: &mut RetryBudget,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Next {
    if !may_repeat(outcome, trial) || trial.made >= trial.allowed {
        return Next::Finish;
    }
    let wait = back_off(outcome, trial.made, rng);
    if now + wait >= trial.deadline || !budget.spend() {
        return Next::Finish;
    }
    Next::Retry(wait)
}

/// A request is sent again only if it did not run, or may run twice.
fn may_repeat(outcome: Outcome, trial: Trial) -> bool {
    let permitted = match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(NotRun::Deadline | NotRun::CallerGone | NotRun::NotReady) => false,
        Outcome::NotRun(_) => true,
        Outcome::Unknown(_) => trial.idempotent,
    };
    permitted && trial.replayable
}

/// A target that could not be reached needs no wait; one that is overloaded does.
fn back_off(outcome: Outcome, made: u8, rng: &mut fastrand::Rng) -> Duration {
    if matches!(
        outcome,
        Outcome::NotRun(NotRun::Unreachable | NotRun::Leaving | NotRun::Incarnation)
    ) {
        return Duration::ZERO;
    }
    let ceiling = BACK_OFF_BASE * 2u32.saturating_pow(u32::from(made.min(8)));
    ceiling.min(BACK_OFF_MAX).mul_f64(rng.f64())
}

/// Whether a request may run more than once, by its route and method (RFC 9110, section 9.2.2).
///
/// ```
/// use tarragoncourse::coordination::retry::is_idempotent;
/// use tarragoncourse::state::object::Idempotency;
/// assert!(is_idempotent(Idempotency::ByMethod, "PUT"));
/// assert!(!is_idempotent(Idempotency::ByMethod, "POST"));
/// ```
pub fn is_idempotent(policy: Idempotency, method: &str) -> bool {
    match policy {
        Idempotency::Always => true,
        Idempotency::Never => false,
        Idempotency::ByMethod => {
            matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
            )
        }
    }
}
