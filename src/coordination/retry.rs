//! Whether to try a request again: only on evidence, within the deadline and a retry budget.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome};
use crate::state::id::Path;
use crate::state::object::Idempotency;

/// Retries earned by each request, by default.
const DEFAULT_PER_REQUEST: f64 = 0.1;
/// Retries that a quiet node may make at once, by default.
const DEFAULT_BURST: f64 = 20.0;
/// Share of the fleet's allowance that nodes plan with: calls that a repeated run makes count too,
/// and windows slide.
const FLEET_SHARE_USED: f64 = 0.7;
/// Gates tried that refused without handing the request to their target.
const BOUNCES_MAX: u8 = 3;
/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(30);
/// Base of the back-off between attempts.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest back-off between attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Bounds retries to a share of recent requests, so that retries cannot multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    allowance: RetryAllowance,
}

/// How many retries a budget grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries earned by each request.
    pub per_request: f64,
    /// Most retries at once.
    pub burst: f64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance {
            per_request: DEFAULT_PER_REQUEST,
            burst: DEFAULT_BURST,
        }
    }
}

impl RetryAllowance {
    /// One node's part of what a fleet may repeat of a service's requests within a window:
    /// `ratio` of them and `slack` more.
    pub fn fleet_share(ratio: f64, slack: f64, nodes: usize) -> RetryAllowance {
        RetryAllowance {
            per_request: ratio * FLEET_SHARE_USED,
            burst: (slack * FLEET_SHARE_USED / nodes.max(1) as f64).max(1.0),
        }
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(RetryAllowance::default())
    }
}

/// The budgets of one node, one for each service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    services: HashMap<Path, RetryBudget>,
}

impl RetryBudgets {
    /// Follows a changed allowance.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
        for budget in self.services.values_mut() {
            budget.allowance = allowance;
        }
    }

    /// The budget of a service.
    pub fn for_service(&mut self, service: &Path) -> &mut RetryBudget {
        let fresh = || RetryBudget::new(self.allowance);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), fresh());
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// Retries left, over all services.
    pub fn remaining(&self) -> f64 {
        self.services.values().map(RetryBudget::remaining).sum()
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget {
            tokens: allowance.burst,
            allowance,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        let RetryAllowance { per_request, burst } = self.allowance;
        self.tokens = (self.tokens + per_request).min(burst);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// use tarragoncourse::coordination::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// let granted = (0..100).filter(|_| budget.try_spend()).count();
    /// assert_eq!(granted, 20);
    /// ```
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Retries left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }
}

/// What is known about a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the whole request can be sent again.
    pub replayable: bool,
    /// Attempts that reached a target, this one included.
    pub made: u8,
    /// Attempts that no target saw, this one included.
    pub bounced: u8,
    /// Most attempts allowed.
    pub max_attempts: u8,
    /// When the caller's deadline passes.
    pub deadline: Instant,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Tell the caller.
    Finish,
    /// Wait, then try another target.
    Retry(Duration),
}

/// Decides what follows an attempt.
pub fn decide_retry(
    outcome: Outcome,
    context: RetryContext,
    budget: &mut RetryBudget,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> RetryDecision {
    if !may_retry(outcome, context)
        || context.made >= context.max_attempts
        || context.bounced > BOUNCES_MAX
    {
        return RetryDecision::Finish;
    }
    let wait = backoff(outcome, context.made, rng);
    let free = !outcome.reached_target();
    if now + wait >= context.deadline || !(free || budget.try_spend()) {
        return RetryDecision::Finish;
    }
    RetryDecision::Retry(wait)
}

/// A request is sent again only if it did not run, or may run twice.
fn may_retry(outcome: Outcome, context: RetryContext) -> bool {
    let permitted = match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(NotRun::CallerGone | NotRun::NotReady | NotRun::NoTarget) => false,
        Outcome::NotRun(NotRun::Deadline) => false,
        Outcome::NotRun(_) => true,
        Outcome::Unknown(_) => context.idempotent,
    };
    permitted && context.replayable
}

/// A gate that refused needs no wait before another is tried; a target that failed does.
fn backoff(outcome: Outcome, made: u8, rng: &mut fastrand::Rng) -> Duration {
    if !outcome.reached_target() {
        return Duration::ZERO;
    }
    let ceiling = BACKOFF_BASE * 2u32.saturating_pow(u32::from(made.min(8)));
    ceiling.min(BACKOFF_MAX).mul_f64(rng.f64())
}

/// When a caller whose request did not run may come back: once there may be room, spread so that
/// those refused together do not return together, but while it can still be answered within its
/// objective, of which `slack` is left beyond the time that an answer takes.
///
/// ```
/// use std::time::Duration;
/// use tarragoncourse::coordination::retry::retry_after;
/// let ms = Duration::from_millis;
/// assert_eq!(retry_after(ms(90), ms(500), 0.0), ms(90));
/// assert_eq!(retry_after(ms(900), ms(120), 0.0), ms(60));
/// assert_eq!(retry_after(ms(900), ms(0), 0.5), ms(1350));
/// ```
pub fn retry_after(backlog: Duration, slack: Duration, spread: f64) -> Duration {
    let spread = 1.0 + spread;
    let wait = backlog.max(RETRY_AFTER_MIN).mul_f64(spread);
    match slack / 2 {
        soon if soon >= RETRY_AFTER_MIN => wait.min(soon.mul_f64(spread)),
        _ => wait,
    }
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
