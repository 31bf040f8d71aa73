//! One attempt of a request: picks a target, sends the request to its gate, and finds out what
//! happened to it if no response arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http_body::Body as HttpBody;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::body::RequestBody;
use super::gate_reply::{read_gate_response, take_echo};
use super::response_body::{DeadlineBody, END_GRACE, RESPONSE_BUFFER_MAX_BYTES};
use super::{Node, lock, unix_millis};
use crate::coordination::gate::VoidOutcome;
use crate::coordination::identity::Identity;
use crate::coordination::outcome::{NotRun, Outcome, UnknownReason};
use crate::coordination::pick::{PickCriteria, TargetFeedback};
use crate::coordination::queue::WorkKind;
use crate::coordination::transfer::{LARGE_BODY_BYTES, TransferDecision};
use crate::protocol::dialect::Dialect;
use crate::protocol::headers::AttemptContext;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::{AttemptId, Fingerprints, Incarnation, Path};
use crate::state::object::Class;
use crate::state::routing::{Candidate, RouteEntry, ServiceEntry};
use crate::transport::client::SendError;
use crate::transport::clock::read_clocks;
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Time after the deadline for which the ingress still waits for the gate, about one round trip. At
/// the deadline, the gate itself responds if the target has not.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);
/// Timeout of a request to void an attempt.
const VOID_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for permission to send a large body.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);
/// Link rate of this instance, in megabits per second, from which large bodies are sent without
/// asking the target's node for permission. The instances of a fleet have similar links, and on a
/// fast link the body takes less time than the request for permission.
const FAST_LINK_MBIT: f64 = 200.0;

/// A caller's request while it is processed.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: RequestBody,
    pub(super) deadline: Instant,
    /// Fingerprints of the request.
    pub(super) fingerprints: Fingerprints,
    /// Total time for which the instance had been suspended when the request was read.
    pub(super) suspended: Duration,
    /// Time at which the route's latency objective ends.
    pub(super) objective: Option<Instant>,
    pub(super) route: Arc<RouteEntry>,
    /// The service that the request is sent to, one of the route's services.
    pub(super) service: Path,
    /// The caller, as identified when the request was read.
    pub(super) identity: Identity,
    /// Whether only targets of the own availability zone are tried, if there are any.
    pub(super) stay_in_zone: bool,
}

/// The result of one attempt.
pub(super) enum AttemptResult {
    /// A response of the target, according to the outcome header.
    Answered(Response<Body>),
    /// No response of the target: the outcome, and the time after which the gate may have a free
    /// slot, if the gate reported one.
    Unanswered(Outcome, Option<Duration>),
    /// The gate refused the attempt because its node has restarted: its current incarnation.
    Restarted(Incarnation),
}

impl AttemptResult {
    fn not_run(reason: NotRun) -> AttemptResult {
        AttemptResult::Unanswered(Outcome::NotRun(reason), None)
    }

    pub(super) fn unknown(reason: UnknownReason) -> AttemptResult {
        AttemptResult::Unanswered(Outcome::Unknown(reason), None)
    }
}

impl<P: Platform> Node<P> {
    /// Makes one attempt. `last_outcome` is the outcome of the previous attempt.
    pub(super) async fn run_attempt(
        self: &Arc<Self>,
        call: &Call,
        tried: &mut SmallVec<[SocketAddr; 4]>,
        last_outcome: Option<Outcome>,
    ) -> AttemptResult {
        let table = self.routing.load_full();
        if !call.identity.is_valid_in(&table) {
            return AttemptResult::not_run(NotRun::UnknownKey);
        }
        let Some(service) = table.service(&call.service) else {
            return AttemptResult::not_run(NotRun::NoTarget);
        };
        // Once all targets were tried, a target may be tried again if the previous attempt may have
        // reached its target, but not if a gate refused it.
        let allow_repeat = last_outcome.is_none_or(Outcome::reached_target);
        let rolled_out = self.rollout_candidates(&call.service, service, last_outcome);
        let candidates = rolled_out.as_deref().unwrap_or(&service.candidates);
        let picked = self.pick_target(call, service, candidates, tried, allow_repeat);
        let Some((target, mut guard)) = picked else {
            return AttemptResult::not_run(match last_outcome {
                Some(Outcome::NotRun(reason)) => reason,
                _ => NotRun::NoTarget,
            });
        };
        tried.push(target.peer);
        let (result, feedback) = self.forward(call, &target).await;
        guard.feedback = feedback;
        self.note_leaving(&target, &result);
        result
    }

    /// Records if the target says in its answer that it is leaving. Only the time of a target that
    /// announces itself is known; another start of a target cannot be told from the one that left.
    fn note_leaving(&self, target: &Candidate, result: &AttemptResult) {
        let AttemptResult::Answered(response) = result else {
            return;
        };
        let is_known_start = target.start.1 != 0;
        if is_known_start
            && self
                .platform
                .dialect()
                .target_notice(response.headers())
                .leaving
        {
            lock(&self.members).mark_left(target.peer, target.start.clone());
            self.refresh_targets();
        }
    }

    /// Picks one of the candidates and counts the attempt as in flight there. Prefers targets that were not
    /// tried yet; the others are picked only with `allow_repeat`.
    fn pick_target(
        self: &Arc<Self>,
        call: &Call,
        service: &Arc<ServiceEntry>,
        candidates: &[Candidate],
        tried: &[SocketAddr],
        allow_repeat: bool,
    ) -> Option<(Candidate, InFlightGuard<P>)> {
        let now = Instant::now();
        let mut picker = lock(&self.picker);
        let criteria = PickCriteria {
            zone: &self.settings.zone,
            own_peer: Some(self.addresses.peers),
            tried,
            bytes: call.body.length() + call.route.mean_response_bytes(),
            stay: call.stay_in_zone,
        };
        let mut picked = picker.pick(candidates, criteria, now);
        if picked.is_none() && allow_repeat {
            let criteria = PickCriteria {
                tried: &[],
                ..criteria
            };
            picked = picker.pick(candidates, criteria, now);
        }
        let picked = picked?;
        let guard = InFlightGuard {
            node: self.clone(),
            peer: picked.peer,
            service: service.clone(),
            feedback: TargetFeedback::Abandoned,
        };
        Some((picked.clone(), guard))
    }

    /// Sends one attempt to a target. If the gate of the target has restarted, sends the request
    /// once more, to its current incarnation. Returns the result, and the feedback on the target for
    /// the picker.
    async fn forward(
        self: &Arc<Self>,
        call: &Call,
        target: &Candidate,
    ) -> (AttemptResult, TargetFeedback) {
        let recorded = target.incarnation;
        let incarnation = lock(&self.peer_restarts).current(target.peer, recorded);
        let (result, feedback) = self.forward_to(call, target, incarnation).await;
        let AttemptResult::Restarted(current) = result else {
            return (result, feedback);
        };
        log::info!(
            "peer has restarted peer={} addressed={incarnation} current={current}",
            target.peer
        );
        lock(&self.peer_restarts).record(target.peer, recorded, current);
        let refused = AttemptResult::not_run(NotRun::Incarnation);
        if !call.body.is_replayable() {
            return (refused, feedback);
        }
        match self.forward_to(call, target, current).await {
            (AttemptResult::Restarted(_), feedback) => (refused, feedback),
            other => other,
        }
    }

    /// Sends one attempt to an incarnation of the gate of a target, or to the local gate.
    async fn forward_to(
        self: &Arc<Self>,
        call: &Call,
        target: &Candidate,
        incarnation: Incarnation,
    ) -> (AttemptResult, TargetFeedback) {
        let started = Instant::now();
        let is_bulk = call.route.route.class == Class::Bulk;
        // The duration of a bulk transfer depends on its size, not on the target.
        let elapsed_unless_bulk = |started: Instant| (!is_bulk).then(|| started.elapsed());
        let remaining = |at: Instant| at.saturating_duration_since(started);
        let context = AttemptContext {
            attempt: AttemptId(fastrand::u128(..)),
            incarnation,
            class: call.route.route.class,
            work_kind: call.work_kind(),
            objective_left: call.objective.map(remaining),
            time_left: remaining(call.deadline),
            sent_at_ms: unix_millis(),
            workspace: call.identity.workspace.as_ref().map(|w| w.id),
        };
        let mut request = call.build_request();
        if target.peer == self.addresses.peers {
            let response = self.run_local(context, request).await;
            return read_gate_response(response, &call.service, || elapsed_unless_bulk(started))
                .await;
        }
        if let Some(result) = self.request_transfer(call, target).await {
            return result;
        }
        let context = AttemptContext {
            objective_left: call
                .objective
                .map(|o| o.saturating_duration_since(Instant::now())),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            ..context
        };
        context.write(&self.fleet_key, request.headers_mut());
        let exchange = async {
            let sent = self.gate_client.send_tracked(target.gate_addr, request);
            let (response, connection) = sent.await;
            let mut response = response?;
            if !take_echo(&mut response, context.attempt) {
                connection.discard();
                log::warn!(
                    "a gate answered another attempt attempt={} peer={}",
                    context.attempt,
                    target.peer
                );
                return Err(SendError::Broken);
            }
            // The gate itself ends the body, unless it or the link to it has gone silent.
            let end = call.deadline + END_GRACE;
            let response = response.map(|b| match b.size_hint().exact() {
                Some(length) if length <= RESPONSE_BUFFER_MAX_BYTES => b,
                _ => DeadlineBody::wrap(b, context.attempt, end, ()),
            });
            let service_time = || elapsed_unless_bulk(started);
            Ok(read_gate_response(response, &call.service, service_time).await)
        };
        match tokio::time::timeout_at(call.deadline + RESPONSE_GRACE, exchange).await {
            Ok(Ok(result)) => result,
            Ok(Err(SendError::NotSent)) => (
                AttemptResult::not_run(NotRun::Unreachable),
                TargetFeedback::Failed,
            ),
            // The upload from the caller failed, which says nothing about the target.
            Ok(Err(SendError::Broken)) if call.body.has_failed() => {
                let outcome = match self
                    .void_attempt(context, target, UnknownReason::LinkBroken)
                    .await
                {
                    Outcome::NotRun(_) => Outcome::NotRun(NotRun::CallerGone),
                    other => other,
                };
                (
                    AttemptResult::Unanswered(outcome, None),
                    TargetFeedback::Abandoned,
                )
            }
            Ok(Err(SendError::Broken)) => {
                let outcome = self
                    .void_attempt(context, target, UnknownReason::LinkBroken)
                    .await;
                (
                    AttemptResult::Unanswered(outcome, None),
                    TargetFeedback::Failed,
                )
            }
            // The deadline has passed: the caller gets a response now, without asking the gate for
            // the outcome.
            Err(_) => (
                AttemptResult::unknown(UnknownReason::Timeout),
                TargetFeedback::Failed,
            ),
        }
    }

    /// Asks the target's node whether a large body may be sent over a slow link, and waits until
    /// the time at which it may. Returns the result of the attempt if the body may not be sent, and
    /// `None` otherwise.
    async fn request_transfer(
        &self,
        call: &Call,
        target: &Candidate,
    ) -> Option<(AttemptResult, TargetFeedback)> {
        let bytes = call.body.length();
        let slow_link = self
            .settings
            .link_mbit
            .is_some_and(|rate| rate < FAST_LINK_MBIT);
        if !slow_link || bytes < LARGE_BODY_BYTES {
            return None;
        }
        let now = Instant::now();
        let half_left = call.objective.map(|o| o.saturating_duration_since(now) / 2);
        let time_limit = half_left.filter(|t| !t.is_zero());
        let request = PeerRequest::Transfer { bytes, time_limit };
        let reply = send_request(&self.fleet_key, target.peer, &request, TRANSFER_TIMEOUT).await;
        match reply {
            Ok((PeerReply::Transfer(TransferDecision::SendAfter(wait)), _)) => {
                tokio::time::sleep(wait).await;
                None
            }
            Ok((PeerReply::Transfer(TransferDecision::Refuse(wait)), _)) => {
                let outcome = Outcome::NotRun(NotRun::QueueFull);
                Some((
                    AttemptResult::Unanswered(outcome, Some(wait)),
                    TargetFeedback::Abandoned,
                ))
            }
            _ => Some((
                AttemptResult::not_run(NotRun::Unreachable),
                TargetFeedback::Failed,
            )),
        }
    }

    /// Asks the gate to fence an attempt whose response did not arrive, and returns the outcome of
    /// the attempt as far as the gate knows it.
    async fn void_attempt(
        &self,
        context: AttemptContext,
        target: &Candidate,
        reason: UnknownReason,
    ) -> Outcome {
        let request = PeerRequest::Void {
            attempt: context.attempt,
            incarnation: context.incarnation,
            age: Duration::from_millis(unix_millis().abs_diff(context.sent_at_ms)),
        };
        let reply = send_request(&self.fleet_key, target.peer, &request, VOID_TIMEOUT).await;
        let (result, outcome) = match reply {
            Ok((PeerReply::Voided(VoidOutcome::Fenced), _)) => {
                ("fenced", Outcome::NotRun(NotRun::Voided))
            }
            Ok((PeerReply::Voided(VoidOutcome::Ended(Outcome::NotRun(reason))), _)) => {
                ("not-run", Outcome::NotRun(reason))
            }
            Ok((PeerReply::Voided(_), _)) => ("handed", Outcome::Unknown(reason)),
            _ => ("unanswered", Outcome::Unknown(reason)),
        };
        self.metrics.record_void(result);
        outcome
    }
}

/// Counts an attempt as in flight at its target until dropped, and then reports its result to the
/// picker.
struct InFlightGuard<P: Platform> {
    node: Arc<Node<P>>,
    peer: SocketAddr,
    service: Arc<ServiceEntry>,
    feedback: TargetFeedback,
}

impl<P: Platform> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        let now = Instant::now();
        let candidates = &self.service.candidates;
        lock(&self.node.picker).record_feedback(self.peer, self.feedback, candidates, now);
    }
}

impl Call {
    /// Moves the deadline and the objective forward by the time for which the instance was
    /// suspended since the last call.
    pub(super) fn subtract_suspended_time(&mut self) {
        let total = read_clocks().suspended();
        let new = total.saturating_sub(self.suspended);
        self.suspended = total;
        let earlier = |at: &mut Instant| *at = at.checked_sub(new).unwrap_or(*at);
        earlier(&mut self.deadline);
        self.objective.iter_mut().for_each(earlier);
    }

    /// Returns the key under which a gate keeps service time statistics for the request: its priority
    /// and latency objective.
    pub(super) fn work_kind(&self) -> WorkKind {
        let route = &self.route.route;
        let objective = route.objective.map_or(0, |o| o.as_millis());
        WorkKind {
            priority: self.identity.priority(route.priority),
            objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
        }
    }

    /// Builds the request of one attempt.
    fn build_request(&self) -> Request<Body> {
        let mut request = Request::new(self.body.open());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
