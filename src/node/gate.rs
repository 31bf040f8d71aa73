//! The HTTP service of the gate: admits attempts, sends them to the local target, and streams the
//! response back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http_body::Body as HttpBody;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::fingerprint::{fingerprint_text, take_fingerprints};
use super::gate_response::{
    rate_text, refusal_response, set_outcome_headers, strip_hop_headers, unknown_response,
    workspace_text,
};
use super::response_body::{DeadlineBody, RESPONSE_BUFFER_MAX_BYTES, buffer_short_response};
use super::{Node, TARGET_IDLE_TIMEOUT, lock, unix_millis};
use crate::coordination::gate::{Admission, AdmissionRequest, Gate, GateAction, GateActions};
use crate::coordination::outcome::{NotRun, Outcome, UnknownReason};
use crate::coordination::rollout::meter::RequestEnd;
use crate::node::config::LocalTarget;
use crate::protocol::dialect::{
    Dialect, ResponseKind, TargetHop, keep_alive_timeout, remove_attempts_left,
};
use crate::protocol::headers::{
    AttemptContext, ECHO_HEADER, INCARNATION_HEADER, SERVICE_HEADER, attempt_echo,
};
use crate::state::id::{AttemptId, Fingerprints, Incarnation};
use crate::state::member::TargetStart;
use crate::transport::client::{HttpClient, SendError};
use crate::transport::clock::read_clocks;
use crate::transport::http::Endpoint;
use crate::transport::platform::Platform;

/// The admission state machine and the attempts that wait for it, under one lock.
pub(super) struct GateState {
    pub(super) gate: Gate,
    /// Channels to the waiting attempts. They receive `Ok` when the attempt may run, or the reason
    /// when it is refused.
    waiters: HashMap<AttemptId, oneshot::Sender<Result<(), NotRun>>>,
}

impl GateState {
    pub(super) fn new(gate: Gate) -> GateState {
        GateState {
            gate,
            waiters: HashMap::new(),
        }
    }

    /// Sends the gate's decisions to the waiting attempts.
    pub(super) fn notify_waiters(&mut self, actions: GateActions) {
        for action in actions {
            let (attempt, message) = match action {
                GateAction::Run(a) => (a, Ok(())),
                GateAction::Refuse(a, reason) => (a, Err(reason)),
            };
            if let Some(waiter) = self.waiters.remove(&attempt) {
                // Fails if the attempt was cancelled; its guard releases the slot.
                let _ = waiter.send(message);
            }
        }
    }
}

/// HTTP service for requests from the ingresses of other nodes.
pub(super) struct GateService<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for GateService<P> {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        match AttemptContext::read(&self.0.fleet_key, request.headers()) {
            Ok(mut context) => {
                let unread_time = self.0.unread_time();
                context.time_left = context.time_left.saturating_sub(unread_time);
                context.objective_left = context
                    .objective_left
                    .map(|o| o.saturating_sub(unread_time));
                let attempt = context.attempt;
                let mut response = self.0.run_local(context, request).await;
                response
                    .headers_mut()
                    .insert(ECHO_HEADER, attempt_echo(attempt));
                response
            }
            Err(e) => {
                log::warn!("rejected a request to the gate: {e}");
                refusal_response(NotRun::NotAuthentic, 0, Duration::ZERO)
            }
        }
    }
}

/// Holds the slot or the queue position of an attempt at the gate, and releases it when dropped.
struct AttemptGuard<P: Platform> {
    node: Arc<Node<P>>,
    attempt: AttemptId,
    /// The outcome that the gate records when the guard is dropped.
    outcome: Outcome,
}

impl<P: Platform> Drop for AttemptGuard<P> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.node.release_under_rollout(self.attempt);
        let mut state = lock(&self.node.gate);
        state.waiters.remove(&self.attempt);
        state.gate.abandon(self.attempt);
        let actions = state.gate.finish(self.attempt, self.outcome, now);
        state.notify_waiters(actions);
        if state.gate.rate().is_some() {
            self.node.pace_wake.notify_one();
        }
    }
}

/// An attempt that may be sent to the local target.
struct AdmittedAttempt<P: Platform> {
    guard: AttemptGuard<P>,
    context: AttemptContext,
    fingerprints: Fingerprints,
    deadline: Instant,
}

impl<P: Platform> Node<P> {
    /// Runs one attempt at the local target, if the gate admits it.
    pub(super) async fn run_local(
        self: &Arc<Self>,
        context: AttemptContext,
        mut request: Request<Body>,
    ) -> Response<Body> {
        let Some(target) = &self.settings.target else {
            return refusal_response(NotRun::NoTarget, 0, Duration::ZERO);
        };
        let deadline = Instant::now() + context.time_left;
        let fingerprints = take_fingerprints(request.headers_mut());
        let request_id = self.platform.dialect().request_id(request.headers());
        let _turn = match self.take_turn(&fingerprints, deadline).await {
            Ok(turn) => turn,
            Err(reason) => {
                if reason == NotRun::CrashesTargets {
                    self.log_crash_refusal(request_id, &fingerprints);
                }
                return self.refuse(reason, &context, request_id);
            }
        };
        let guard = match self.admit_attempt(context, deadline).await {
            Ok(guard) if self.is_refused(&fingerprints) => {
                drop(guard);
                self.log_crash_refusal(request_id, &fingerprints);
                return self.refuse(NotRun::CrashesTargets, &context, request_id);
            }
            Ok(guard) if !self.start_under_rollout(context.attempt, &request) => {
                drop(guard);
                return self.refuse(NotRun::OtherVersion, &context, request_id);
            }
            Ok(guard) => guard,
            Err(Outcome::NotRun(reason)) => return self.refuse(reason, &context, request_id),
            Err(_) => return unknown_response(UnknownReason::Repeated, self.gate_load()),
        };
        let admitted = AdmittedAttempt {
            guard,
            context,
            fingerprints,
            deadline,
        };
        self.send_to_target(admitted, target, request).await
    }

    /// Sends queued attempts to a target that names a rate, when the rate allows.
    pub(super) async fn pace_loop(self: Arc<Self>) {
        loop {
            let delay = {
                let mut state = lock(&self.gate);
                let now = Instant::now();
                let actions = state.gate.run_due(now);
                state.notify_waiters(actions);
                state.gate.pace_delay(now)
            };
            match delay {
                Some(delay) => tokio::time::sleep(delay).await,
                None => self.pace_wake.notified().await,
            }
        }
    }

    /// Submits an attempt to the gate, and waits until it may run or is refused.
    async fn admit_attempt(
        self: &Arc<Self>,
        context: AttemptContext,
        deadline: Instant,
    ) -> Result<AttemptGuard<P>, Outcome> {
        let suspended = read_clocks().suspended();
        let request = AdmissionRequest {
            attempt: context.attempt,
            incarnation: context.incarnation,
            class: context.class,
            kind: context.work_kind,
            workspace: context.workspace,
            objective: context.objective_left.map(|o| Instant::now() + o),
            age: Duration::from_millis(unix_millis().abs_diff(context.sent_at_ms)),
            deadline,
        };
        let (decision, guard) = {
            let mut state = lock(&self.gate);
            let (admission, actions) = state.gate.admit(request, Instant::now());
            state.notify_waiters(actions);
            let decision = match admission {
                Admission::Refuse(reason) => return Err(Outcome::NotRun(reason)),
                Admission::Repeated => return Err(Outcome::Unknown(UnknownReason::Repeated)),
                Admission::Run => None,
                Admission::Wait => {
                    let (send, decision) = oneshot::channel();
                    state.waiters.insert(request.attempt, send);
                    if state.gate.rate().is_some() {
                        self.pace_wake.notify_one();
                    }
                    Some(decision)
                }
            };
            let guard = AttemptGuard {
                node: self.clone(),
                attempt: request.attempt,
                outcome: Outcome::NotRun(NotRun::CallerGone),
            };
            (decision, guard)
        };
        match decision {
            None => Ok(guard),
            Some(decision) => match decision.await {
                Ok(Ok(())) => {
                    // The timers of the queue do not advance while the instance is suspended.
                    let suspended = read_clocks().suspended().saturating_sub(suspended);
                    match Instant::now() + suspended < deadline {
                        true => Ok(guard),
                        false => Err(Outcome::NotRun(NotRun::Deadline)),
                    }
                }
                Ok(Err(reason)) => Err(Outcome::NotRun(reason)),
                Err(_) => Err(Outcome::NotRun(NotRun::Leaving)),
            },
        }
    }

    /// Sends an admitted attempt to the local target and returns the response to the ingress.
    async fn send_to_target(
        self: &Arc<Self>,
        admitted: AdmittedAttempt<P>,
        target: &LocalTarget,
        mut request: Request<Body>,
    ) -> Response<Body> {
        let AdmittedAttempt {
            mut guard,
            context,
            fingerprints,
            deadline,
        } = admitted;
        let dialect = self.platform.dialect();
        strip_hop_headers(request.headers_mut(), dialect.end_to_end_headers());
        remove_attempts_left(request.headers_mut());
        let time_left = deadline.saturating_duration_since(Instant::now());
        let sent_to = SentTo::new(self);
        let instance = sent_to.announced.then_some(&*sent_to.start.0);
        let hop = TargetHop {
            attempt: context.attempt,
            time_left,
            instance,
        };
        dialect.set_target_headers(request.headers_mut(), hop);
        let echo = dialect.echo_header(request.headers());
        let request_id = dialect.request_id(request.headers()).to_string();
        let has_body = !request.body().is_end_stream();
        // From here on, the target may receive the request, so the outcome is indeterminate until a
        // response arrives.
        guard.outcome = Outcome::Unknown(UnknownReason::TargetBroken);
        let exchange = async {
            let client = self.client_for(echo.as_ref());
            let (sent, connection) = client.send_tracked(target.address, request).await;
            let (parts, body) = sent?.into_parts();
            let kind = dialect.classify_response(&parts, echo.as_ref(), self.shed_status(target));
            if kind.is_from_target() {
                self.handle_notice(&sent_to, dialect.target_notice(&parts.headers));
            }
            // The pool would keep the connection for longer than the target does.
            let expires_early =
                keep_alive_timeout(&parts.headers).is_some_and(|t| t <= TARGET_IDLE_TIMEOUT);
            // A target may reject a request before it has read the body. The next request on this
            // connection would wait until it has.
            let may_have_unread_body = has_body && !parts.status.is_success();
            if let (ResponseKind::NotRun(_), Some(id)) = (kind, &echo) {
                lock(&self.recent_refusals).record(id.as_bytes());
            }
            if expires_early
                || may_have_unread_body
                || !dialect.has_echo(&parts.headers, echo.as_ref())
            {
                connection.discard();
            }
            if kind == ResponseKind::Stray {
                // The response belongs to another request, and so may all that follow on this
                // connection.
                connection.discard();
                return Ok((kind, Response::from_parts(parts, Body::default())));
            }
            match buffer_short_response(Response::from_parts(parts, body)).await {
                Ok(response) => Ok((kind, response)),
                Err(_) => Err(SendError::Broken),
            }
        };
        let outcome = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok((ResponseKind::Answered, response))) => {
                self.note_answered(&fingerprints);
                let end = match response.status().is_server_error() {
                    true => RequestEnd::Failed,
                    false => RequestEnd::Answered,
                };
                self.count_under_rollout(context.attempt, end);
                return self.stream_response(guard, response, deadline);
            }
            Ok(Ok((ResponseKind::NotRun(reason), _))) => Outcome::NotRun(reason),
            Ok(Ok((ResponseKind::Stray, _))) => Outcome::Unknown(UnknownReason::Stray),
            Ok(Err(SendError::NotSent)) => Outcome::NotRun(NotRun::Unreachable),
            Ok(Err(SendError::Broken)) => Outcome::Unknown(UnknownReason::TargetBroken),
            Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        };
        log::info!(
            "not answered id={request_id} attempt={} outcome={outcome} instance={} fingerprints={}",
            context.attempt,
            instance.unwrap_or("-"),
            fingerprint_text(&fingerprints),
        );
        if outcome == Outcome::Unknown(UnknownReason::TargetBroken) {
            self.note_broken(&sent_to.start, &fingerprints, target);
        }
        if matches!(outcome, Outcome::Unknown(_)) {
            self.count_under_rollout(context.attempt, RequestEnd::Failed);
        }
        guard.outcome = outcome;
        drop(guard);
        match outcome {
            Outcome::NotRun(reason) => {
                if matches!(reason, NotRun::Unreachable | NotRun::Misdirected) {
                    self.mark_target_down();
                }
                self.refuse(reason, &context, &request_id)
            }
            Outcome::Unknown(reason) => unknown_response(reason, self.gate_load()),
            Outcome::Answered => unknown_response(UnknownReason::Stray, self.gate_load()),
        }
    }

    /// Returns the client for a request to the local target: one that opens a new connection if the
    /// target has refused the same request lately.
    fn client_for(&self, id: Option<&HeaderValue>) -> &HttpClient {
        let refused = id.is_some_and(|id| lock(&self.recent_refusals).contains(id.as_bytes()));
        match refused {
            true => &self.unpooled_client,
            false => &self.target_client,
        }
    }

    /// Returns the target's response. The attempt keeps its slot until the response has been
    /// streamed, or releases it now if the response is already in memory.
    fn stream_response(
        self: &Arc<Self>,
        mut guard: AttemptGuard<P>,
        mut response: Response<Body>,
        deadline: Instant,
    ) -> Response<Body> {
        lock(&self.target_health).record_answer(Instant::now());
        guard.outcome = Outcome::Answered;
        let attempt = guard.attempt;
        strip_hop_headers(
            response.headers_mut(),
            self.platform.dialect().end_to_end_headers(),
        );
        set_outcome_headers(response.headers_mut(), Outcome::Answered, self.gate_load());
        response.map(|body| {
            // A response that is completely in memory no longer occupies the target.
            if body.is_end_stream()
                || body
                    .size_hint()
                    .exact()
                    .is_some_and(|l| l <= RESPONSE_BUFFER_MAX_BYTES)
            {
                drop(guard);
                return body;
            }
            DeadlineBody::wrap(body, attempt, deadline, guard)
        })
    }

    /// Logs the refusal of an attempt, and builds a response that says when a slot may be free.
    fn refuse(&self, reason: NotRun, context: &AttemptContext, request_id: &str) -> Response<Body> {
        let (load, backlog, incarnation) = {
            let state = lock(&self.gate);
            let load = state.gate.running() + state.gate.waiting() as u32;
            let flows = state.gate.waiting_flows();
            log::info!(
                "refused id={request_id} attempt={} reason={reason} priority={} left_ms={} running={} waiting={} flows={} over={} limit={} rate={} mean_ms={:.1}",
                context.attempt,
                context.work_kind.priority,
                context.time_left.as_millis(),
                state.gate.running(),
                state.gate.waiting(),
                flows.count,
                workspace_text(flows.furthest_over),
                state.gate.limit(),
                rate_text(state.gate.rate()),
                state.gate.mean_service_time().as_secs_f64() * 1000.0,
            );
            let backlog = state.gate.backlog(context.work_kind, Instant::now());
            (load, backlog, state.gate.incarnation())
        };
        let mut response = refusal_response(reason, load, backlog);
        if reason == NotRun::Incarnation {
            self.name_gate(response.headers_mut(), incarnation);
        }
        response
    }

    /// Sets the headers that name this gate's incarnation and the service of its target.
    fn name_gate(&self, headers: &mut HeaderMap, incarnation: Incarnation) {
        let service = self.settings.target.as_ref().map(|t| t.service.as_str());
        let service = service.and_then(|s| HeaderValue::from_str(s).ok());
        if let Some(service) = service {
            headers.insert(INCARNATION_HEADER, HeaderValue::from(incarnation.0));
            headers.insert(SERVICE_HEADER, service);
        }
    }

    /// Returns the status code of the target's responses that shed a request, if the configuration
    /// of its service contains one.
    fn shed_status(&self, target: &LocalTarget) -> Option<u16> {
        let table = self.routing.load();
        table.service(&target.service)?.settings.shed_status
    }

    /// Returns the number of running and waiting attempts.
    fn gate_load(&self) -> u32 {
        let state = lock(&self.gate);
        state.gate.running() + state.gate.waiting() as u32
    }
}

/// The start of the local target that a request is sent to, and when it is sent.
pub(super) struct SentTo {
    pub(super) start: TargetStart,
    /// Whether the target has announced itself, so that its name is known to it.
    announced: bool,
    pub(super) sent_at: Instant,
}

impl SentTo {
    fn new<P: Platform>(node: &Node<P>) -> SentTo {
        let announced = lock(&node.announced_target).start();
        SentTo {
            announced: announced.is_some(),
            start: announced.unwrap_or_else(|| node.settings_start()),
            sent_at: Instant::now(),
        }
    }
}
