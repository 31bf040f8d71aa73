//! Makes the attempts of one request: looks for a gate that admits it, retries within the budget, and
//! refuses what no target answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body::Body as _;
use hyper::header::HeaderValue;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::attempt::{AttemptResult, Call};
use super::fingerprint::write_fingerprints;
use super::ingress::RETRY_AFTER_DEFAULT;
use super::local_response::ResponseWithOutcome;
use super::{Node, lock};
use crate::coordination::outcome::{NotRun, Outcome};
use crate::coordination::pressure::Search;
use crate::coordination::retry::{
    self, BOUNCES_MAX, RetryContext, RetryDecision, is_idempotent, retry_after,
};
use crate::protocol::dialect::header_number;
use crate::protocol::headers::ATTEMPTS_LEFT_HEADER;
use crate::state::id::Path;
use crate::state::workspace::WorkspaceEntry;
use crate::transport::platform::Platform;

/// Details of a request's processing, for its log line.
#[derive(Default)]
pub(super) struct RequestTrace {
    /// Peer address of the target's node in the last attempt.
    pub(super) target: Option<SocketAddr>,
    /// Attempts that reached a target.
    pub(super) made: u8,
    /// Attempts that did not reach a target, such as those refused by a gate.
    pub(super) bounced: u8,
    /// Time after which the caller may retry, according to the response.
    pub(super) retry_after: Duration,
    /// Workspace of the caller.
    pub(super) workspace: Option<Arc<WorkspaceEntry>>,
}

impl RequestTrace {
    /// Name of the caller's workspace; `-` if it has none.
    pub(super) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("-", |w| &w.workspace.name)
    }
}

impl<P: Platform> Node<P> {
    /// Makes attempts until a target responds or no further attempt is allowed.
    pub(super) async fn run_attempts(
        self: &Arc<Self>,
        call: &mut Call,
        trace: &mut RequestTrace,
    ) -> ResponseWithOutcome {
        let route = call.route.clone();
        let idempotent = is_idempotent(route.route.idempotency, call.method.as_str());
        let max_attempts = header_number(&call.headers, ATTEMPTS_LEFT_HEADER).unwrap_or(u64::MAX);
        let max_attempts = max_attempts.clamp(1, route.route.max_attempts.into()) as u8;
        write_fingerprints(&call.fingerprints, &mut call.headers);
        lock(&self.retry_budgets)
            .for_service(&call.service)
            .record_request();
        let max_bounces = match self.search_gates(call) {
            Search::Gates { max_bounces, stay } => {
                call.stay_in_zone = stay;
                max_bounces
            }
            Search::Refuse(backlog) => {
                let outcome = Outcome::NotRun(NotRun::QueueFull);
                return self.refuse_call(call, outcome, Some(backlog), trace);
            }
        };
        let mut tried: SmallVec<[SocketAddr; 4]> = SmallVec::new();
        let mut min_backlog: Option<Duration> = None;
        let mut last_outcome = None;
        // The outcome of an earlier attempt that may have run.
        let mut unknown_outcome = None;
        loop {
            // Timers do not advance while the instance is suspended.
            call.subtract_suspended_time();
            if self.may_outlast_stop(call.deadline) {
                let outcome = unknown_outcome.or(last_outcome);
                let outcome = outcome.unwrap_or(Outcome::NotRun(NotRun::Leaving));
                return self.refuse_call(call, outcome, min_backlog, trace);
            }
            let attempts_left = u64::from(max_attempts - trace.made);
            call.headers
                .insert(ATTEMPTS_LEFT_HEADER, HeaderValue::from(attempts_left));
            let outcome = match self.run_attempt(call, &mut tried, last_outcome).await {
                AttemptResult::Answered(response) => {
                    self.record_pressure(call, Outcome::Answered, None);
                    trace.made += 1;
                    trace.target = tried.last().copied();
                    call.route
                        .record_response_size(response.body().size_hint().exact().unwrap_or(0));
                    return (response, Outcome::Answered);
                }
                // The attempt has already been repeated at the current incarnation.
                AttemptResult::Restarted(_) => Outcome::NotRun(NotRun::Incarnation),
                AttemptResult::Unanswered(outcome, backlog) => {
                    self.record_pressure(call, outcome, backlog);
                    min_backlog = backlog.into_iter().chain(min_backlog).min();
                    outcome
                }
            };
            trace.target = tried.last().copied();
            match outcome.reached_target() {
                true => trace.made += 1,
                false => trace.bounced += 1,
            }
            last_outcome = Some(outcome);
            if matches!(outcome, Outcome::Unknown(_)) {
                unknown_outcome = Some(outcome);
            }

            let context = RetryContext {
                idempotent,
                replayable: call.body.is_replayable(),
                made: trace.made,
                bounced: trace.bounced,
                max_bounces,
                max_attempts,
                deadline: call.deadline,
            };
            let decision = match self.is_refused(&call.fingerprints) {
                true => RetryDecision::Finish,
                false => self.decide_retry(outcome, context, &call.service),
            };
            match decision {
                RetryDecision::Finish => {
                    // That the last attempt did not run says nothing about the earlier ones.
                    let outcome = unknown_outcome.unwrap_or(outcome);
                    return self.refuse_call(call, outcome, min_backlog, trace);
                }
                RetryDecision::Retry(wait) => {
                    self.metrics.record_retry();
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    /// Builds the response to a request that no target answered. `backlog` is the time after which a gate
    /// may have a free slot, if one reported it.
    fn refuse_call(
        &self,
        call: &Call,
        outcome: Outcome,
        backlog: Option<Duration>,
        trace: &mut RequestTrace,
    ) -> ResponseWithOutcome {
        let slack = call.objective.map_or(Duration::ZERO, |o| {
            o.saturating_duration_since(Instant::now()) / 2
        });
        let backlog = backlog.unwrap_or(RETRY_AFTER_DEFAULT);
        trace.retry_after = retry_after(backlog, slack, fastrand::f64());
        self.local_response(outcome, trace.retry_after)
    }

    /// Decides how far a request may look for a slot. Only requests of workspaces are held back: a call
    /// of a target that is refused wastes the slot of the request that it belongs to.
    fn search_gates(&self, call: &Call) -> Search {
        if call.identity.workspace.is_none() {
            return Search::Gates {
                max_bounces: BOUNCES_MAX,
                stay: false,
            };
        }
        let priority = call.work_kind().priority;
        let random = fastrand::f64();
        lock(&self.pressure).search(&call.service, priority, BOUNCES_MAX, random, Instant::now())
    }

    /// Records whether a gate admitted an attempt of a workspace.
    fn record_pressure(&self, call: &Call, outcome: Outcome, backlog: Option<Duration>) {
        if call.identity.workspace.is_none() {
            return;
        }
        let refusal = match outcome {
            Outcome::NotRun(NotRun::QueueFull | NotRun::RateLimited) => {
                Some(backlog.unwrap_or(RETRY_AFTER_DEFAULT))
            }
            _ if outcome.reached_target() => None,
            _ => return,
        };
        let priority = call.work_kind().priority;
        lock(&self.pressure).record(&call.service, priority, refusal, Instant::now());
    }

    /// Decides whether a request is retried after a failed attempt, within the retry budget of its
    /// service.
    fn decide_retry(
        &self,
        outcome: Outcome,
        context: RetryContext,
        service: &Path,
    ) -> RetryDecision {
        let mut rng = fastrand::Rng::new();
        let budgets = &mut lock(&self.retry_budgets);
        retry::decide_retry(
            outcome,
            context,
            budgets.for_service(service),
            &mut rng,
            Instant::now(),
        )
    }
}
