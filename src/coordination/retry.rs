//! Decides whether a request is retried: only on evidence that it did not run or may run twice,
//! within the deadline, and within a retry budget.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::outcome::{NotRun, Outcome, UnknownReason};
use crate::state::id::Path;
use crate::state::object::Idempotency;

/// Default number of retries earned by each request.
const DEFAULT_PER_REQUEST: f64 = 0.1;
/// Default number of retries that a node may send at once after an idle period.
const DEFAULT_BURST: f64 = 20.0;
/// Share of the fleet's retry allowance that the nodes use together. The rest is a reserve: the
/// calls that a retried request makes count against the allowance too, and the allowance is
/// measured over a sliding window.
const FLEET_SHARE_USED: f64 = 0.7;
/// Maximum number of attempts of one request that may end before they reach a target, for example
/// because a gate refuses them; after more of them, the request is not retried.
pub const BOUNCES_MAX: u8 = 3;
/// Minimum time after which a refused caller is asked to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(30);
/// Time after which callers of a node that has no configuration yet should retry, if the caller named
/// no timeout.
const RETRY_AFTER_START_DEFAULT: Duration = Duration::from_millis(250);
/// Maximum time after which callers of a node that has no configuration yet should retry.
const RETRY_AFTER_START_MAX: Duration = Duration::from_secs(1);
/// Base of the exponential backoff between attempts.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Shortest wait after the connection to a target broke: the time until the gates know whether the
/// target has ended while it ran the request.
const END_NEWS_WAIT: Duration = Duration::from_millis(25);
/// Maximum backoff between attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Token bucket that limits retries to a share of recent requests, so that retries cannot multiply
/// an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    allowance: RetryAllowance,
}

/// Number of retries that a budget grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Number of retries earned by each request.
    pub per_request: f64,
    /// Maximum number of retries at once.
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
    /// One node's share of the retries that the whole fleet may send to a service within a window:
    /// `ratio` times the number of requests, plus `slack`.
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

/// Retry budgets of one node, one for each service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    services: HashMap<Path, RetryBudget>,
}

impl RetryBudgets {
    /// Sets the allowance of all budgets.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
        for budget in self.services.values_mut() {
            budget.allowance = allowance;
        }
    }

    /// Budget of a service; a full one is created on first use.
    pub fn for_service(&mut self, service: &Path) -> &mut RetryBudget {
        let fresh = || RetryBudget::new(self.allowance);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), fresh());
        }
        self.services
            .get_mut(service)
            .expect("the budget was inserted above")
    }

    /// Total number of retries left in all budgets.
    pub fn remaining(&self) -> f64 {
        self.services.values().map(RetryBudget::remaining).sum()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget {
            tokens: allowance.burst,
            allowance,
        }
    }

    /// Records a request, which adds [`RetryAllowance::per_request`] to the budget.
    pub fn record_request(&mut self) {
        let RetryAllowance { per_request, burst } = self.allowance;
        self.tokens = (self.tokens + per_request).min(burst);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    ///
    /// ```
    /// use tarragoncourse::coordination::retry::RetryBudget;
    /// let mut budget = RetryBudget::default();
    /// let granted = (0..100).filter(|_| budget.try_spend()).count();
    /// assert_eq!(granted, 20);
    /// ```
    pub fn try_spend(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Number of retries left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }
}

/// State of a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the whole request can be sent again.
    pub replayable: bool,
    /// Number of attempts that reached a target, including the last one.
    pub made: u8,
    /// Number of attempts that ended before they reached a target, including the last one.
    pub bounced: u8,
    /// Number of such attempts after which the request is given up, at most [`BOUNCES_MAX`].
    pub max_bounces: u8,
    /// Maximum number of attempts that reach a target.
    pub max_attempts: u8,
    /// Time at which the caller's deadline passes.
    pub deadline: Instant,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Return the outcome to the caller.
    Finish,
    /// Wait for this time, then try another target.
    Retry(Duration),
}

/// Decides what to do after an attempt.
pub fn decide_retry(
    outcome: Outcome,
    context: RetryContext,
    budget: &mut RetryBudget,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> RetryDecision {
    if !may_retry(outcome, context)
        || context.made >= context.max_attempts
        || context.bounced > context.max_bounces
    {
        return RetryDecision::Finish;
    }
    let wait = backoff(outcome, context.made, rng);
    let needs_no_budget = !outcome.reached_target();
    if now + wait >= context.deadline || !(needs_no_budget || budget.try_spend()) {
        return RetryDecision::Finish;
    }
    RetryDecision::Retry(wait)
}

/// Whether the request may be sent again: it must not have run or must be idempotent, the whole
/// request must be available, and the reason must not be one that another attempt cannot change.
fn may_retry(outcome: Outcome, context: RetryContext) -> bool {
    let permitted = match outcome {
        Outcome::Answered => false,
        Outcome::NotRun(NotRun::CallerGone | NotRun::NotReady | NotRun::NoTarget) => false,
        Outcome::NotRun(NotRun::Deadline | NotRun::CrashesTargets) => false,
        Outcome::NotRun(NotRun::UnknownKey | NotRun::OverQuota) => false,
        Outcome::NotRun(_) => true,
        Outcome::Unknown(_) => context.idempotent,
    };
    permitted && context.replayable
}

/// Backoff before the next attempt. It is zero if the last attempt did not reach a target, for
/// example because the gate refused it: another target can then be tried at once.
fn backoff(outcome: Outcome, made: u8, rng: &mut fastrand::Rng) -> Duration {
    if !outcome.reached_target() {
        return Duration::ZERO;
    }
    let ceiling = BACKOFF_BASE * 2u32.saturating_pow(u32::from(made.min(8)));
    let wait = ceiling.min(BACKOFF_MAX).mul_f64(rng.f64());
    match outcome {
        Outcome::Unknown(UnknownReason::TargetBroken) => wait.max(END_NEWS_WAIT),
        _ => wait,
    }
}

/// Time after which a caller whose request did not run should retry: after `backlog`, when it may
/// be admitted, but early enough for the retry to be answered within the latency objective. `slack`
/// is the part of the objective that remains beyond the time needed for an answer; at most half of
/// it is used. The time is lengthened by `spread`, a random fraction, so that callers refused at
/// the same time do not retry at the same time.
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
        half_slack if half_slack >= RETRY_AFTER_MIN => wait.min(half_slack.mul_f64(spread)),
        _ => wait,
    }
}

/// Time after which a caller should retry whose request met a node that has no configuration yet.
///
/// The load pattern is a fleet whose processes all restart at one moment: each reads the
/// configuration over its own link, which takes up to seconds, and a caller that returns too early
/// has used up its retry. A quarter of the caller's timeout leaves enough time for the retry. `spread`
/// is a random fraction that varies the time, so that callers do not return at the same moment.
///
/// ```
/// use std::time::Duration;
/// use tarragoncourse::coordination::retry::retry_after_start;
/// let ms = Duration::from_millis;
/// assert_eq!(retry_after_start(Some(ms(2000)), 1.0), ms(500));
/// assert_eq!(retry_after_start(Some(ms(9000)), 0.5), ms(875));
/// ```
pub fn retry_after_start(caller_timeout: Option<Duration>, spread: f64) -> Duration {
    let wait = caller_timeout.map_or(RETRY_AFTER_START_DEFAULT, |t| t / 4);
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_START_MAX)
        .mul_f64(0.75 + spread / 4.0)
}

/// Whether a request may run more than once, according to its route and method (RFC 9110, section
/// 9.2.2).
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
