//! The gate's service: admits attempts, hands them to the target, and streams the answer back.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep};

use super::body::{ANSWER_KEPT, whole};
use super::{Node, lock, wall_millis};
use crate::coordination::gate::{Admission, Gate, Offer, Wake, Wakes};
use crate::coordination::outcome::{Doubt, NotRun, OUTCOME_HEADER, Outcome};
use crate::node::config::TargetAddress;
use crate::protocol::dialect::{Dialect, ResponseKind, remove_attempts_left};
use crate::protocol::headers::{AttemptContext, BACKLOG_HEADER, INTERNAL_HEADERS, LOAD_HEADER};
use crate::state::id::AttemptId;
use crate::transport::client::SendError;
use crate::transport::http::{Endpoint, empty_response};
use crate::transport::platform::Platform;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The gate and those who wait at it, under one lock.
pub(super) struct GateState {
    pub(super) gate: Gate,
    waiters: HashMap<AttemptId, oneshot::Sender<Result<(), NotRun>>>,
}

impl GateState {
    pub(super) fn new(gate: Gate) -> GateState {
        GateState {
            gate,
            waiters: HashMap::new(),
        }
    }

    /// Tells waiting attempts what became of them.
    pub(super) fn deliver(&mut self, wakes: Wakes) {
        for wake in wakes {
            let (attempt, message) = match wake {
                Wake::Run(a) => (a, Ok(())),
                Wake::Refuse(a, reason) => (a, Err(reason)),
            };
            if let Some(waiter) = self.waiters.remove(&attempt) {
                // A waiter that went away gives its slot back when its ticket is dropped.
                let _ = waiter.send(message);
            }
        }
    }
}

/// HTTP service for other nodes.
pub(super) struct GateService<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for GateService<P> {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        match AttemptContext::read(&self.0.key, request.headers()) {
            Ok(passport) => self.0.run_here(passport, request).await,
            Err(e) => {
                log::warn!("request to the gate refused: {e}");
                refusal(NotRun::NotAuthentic, 0, Duration::ZERO)
            }
        }
    }
}

/// An attempt's place at the gate; gives it back when dropped.
struct Ticket<P: Platform> {
    node: Arc<Node<P>>,
    attempt: AttemptId,
    /// What is recorded of the attempt if the ticket is dropped now.
    outcome: Outcome,
}

impl<P: Platform> Drop for Ticket<P> {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = lock(&self.node.gate);
        state.waiters.remove(&self.attempt);
        state.gate.abandon(self.attempt);
        let wakes = state.gate.finish(self.attempt, self.outcome, now);
        state.deliver(wakes);
    }
}

impl<P: Platform> Node<P> {
    /// Runs one attempt at the target beside this node.
    pub(super) async fn run_here(
        self: &Arc<Self>,
        passport: AttemptContext,
        request: Request<Body>,
    ) -> Response<Body> {
        let Some(target) = &self.settings.target else {
            return refusal(NotRun::NoTarget, 0, Duration::ZERO);
        };
        let deadline = Instant::now() + passport.time_left;
        let ticket = match self.admit_attempt(passport, deadline).await {
            Ok(ticket) => ticket,
            Err(Outcome::NotRun(reason)) => {
                let name = self.platform.dialect().request_id(request.headers());
                return self.refuse(reason, &passport, name);
            }
            Err(_) => return doubt(Doubt::Repeated, self.gate_load()),
        };
        self.hand_over(ticket, target, request, passport, deadline)
            .await
    }

    async fn admit_attempt(
        self: &Arc<Self>,
        passport: AttemptContext,
        deadline: Instant,
    ) -> Result<Ticket<P>, Outcome> {
        let offer = Offer {
            attempt: passport.attempt,
            incarnation: passport.incarnation,
            class: passport.class,
            kind: passport.work_kind,
            objective: passport.objective_left.map(|o| Instant::now() + o),
            age: Duration::from_millis(wall_millis().abs_diff(passport.sent_at_ms)),
            deadline,
        };
        let (woken, ticket) = {
            let mut state = lock(&self.gate);
            let (admission, wakes) = state.gate.offer(offer, Instant::now());
            state.deliver(wakes);
            let woken = match admission {
                Admission::Refuse(reason) => return Err(Outcome::NotRun(reason)),
                Admission::Repeated => return Err(Outcome::Unknown(Doubt::Repeated)),
                Admission::Run => None,
                Admission::Wait => {
                    let (send, woken) = oneshot::channel();
                    state.waiters.insert(offer.attempt, send);
                    Some(woken)
                }
            };
            let ticket = Ticket {
                node: self.clone(),
                attempt: offer.attempt,
                outcome: Outcome::NotRun(NotRun::CallerGone),
            };
            (woken, ticket)
        };
        match woken {
            None => Ok(ticket),
            Some(woken) => match woken.await {
                Ok(Ok(())) => Ok(ticket),
                Ok(Err(reason)) => Err(Outcome::NotRun(reason)),
                Err(_) => Err(Outcome::NotRun(NotRun::Leaving)),
            },
        }
    }

    async fn hand_over(
        self: &Arc<Self>,
        mut ticket: Ticket<P>,
        target: &TargetAddress,
        mut request: Request<Body>,
        passport: AttemptContext,
        deadline: Instant,
    ) -> Response<Body> {
        let dialect = self.platform.dialect();
        strip(request.headers_mut());
        remove_attempts_left(request.headers_mut());
        let left = deadline.saturating_duration_since(Instant::now());
        let instance = lock(&self.target).instance().cloned();
        dialect.set_target_headers(request.headers_mut(), left, instance.as_deref());
        let echo = dialect.echo_header(request.headers());
        let name = dialect.request_id(request.headers()).to_string();
        // From here on the target may see the request.
        ticket.outcome = Outcome::Unknown(Doubt::TargetBroken);
        let exchange = async {
            let (sent, route) = self.local.send_tracked(target.address, request).await;
            let (parts, body) = sent?.into_parts();
            let judged = dialect.classify_response(&parts, echo.as_ref(), self.shed_status(target));
            if judged == ResponseKind::Stray {
                // What else arrives on this connection belongs to another request too.
                route.discard();
                return Ok((judged, Response::from_parts(parts, Body::default())));
            }
            match whole(Response::from_parts(parts, body)).await {
                Ok(response) => Ok((judged, response)),
                Err(_) => Err(SendError::Broken),
            }
        };
        let judged = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok((ResponseKind::Answered, response))) => {
                return self.answered(ticket, response, deadline);
            }
            Ok(Ok((ResponseKind::NotRun(reason), _))) => Outcome::NotRun(reason),
            Ok(Ok((ResponseKind::Stray, _))) => Outcome::Unknown(Doubt::Stray),
            Ok(Err(SendError::NotSent)) => Outcome::NotRun(NotRun::Unreachable),
            Ok(Err(SendError::Broken)) => Outcome::Unknown(Doubt::TargetBroken),
            Err(_) => Outcome::Unknown(Doubt::Timeout),
        };
        log::info!(
            "not answered id={name} attempt={} outcome={judged} instance={}",
            passport.attempt,
            instance.as_deref().unwrap_or("-"),
        );
        ticket.outcome = judged;
        drop(ticket);
        match judged {
            Outcome::NotRun(reason) => {
                if matches!(reason, NotRun::Unreachable | NotRun::Misdirected) {
                    self.target_refused();
                }
                self.refuse(reason, &passport, &name)
            }
            Outcome::Unknown(reason) => doubt(reason, self.gate_load()),
            Outcome::Answered => doubt(Doubt::Stray, self.gate_load()),
        }
    }

    fn answered(
        self: &Arc<Self>,
        mut ticket: Ticket<P>,
        mut response: Response<Body>,
        deadline: Instant,
    ) -> Response<Body> {
        lock(&self.health).answered(Instant::now());
        ticket.outcome = Outcome::Answered;
        strip(response.headers_mut());
        label(response.headers_mut(), Outcome::Answered, self.gate_load());
        response.map(|body| {
            // What is whole in memory no longer needs the target.
            if body.is_end_stream() || body.size_hint().exact().is_some_and(|l| l <= ANSWER_KEPT) {
                drop(ticket);
                return body;
            }
            Body::new(Held {
                body,
                deadline: Box::pin(tokio::time::sleep_until(deadline)),
                _ticket: ticket,
            })
        })
    }

    /// Refuses an attempt, and tells when there may be room.
    fn refuse(&self, reason: NotRun, passport: &AttemptContext, name: &str) -> Response<Body> {
        let (load, backlog) = {
            let state = lock(&self.gate);
            let load = state.gate.running() + state.gate.waiting() as u32;
            log::info!(
                "refused id={name} attempt={} reason={reason} priority={} left_ms={} running={} waiting={} limit={} mean_ms={:.1}",
                passport.attempt,
                passport.work_kind.priority,
                passport.time_left.as_millis(),
                state.gate.running(),
                state.gate.waiting(),
                state.gate.limit(),
                state.gate.mean().as_secs_f64() * 1000.0,
            );
            (load, state.gate.backlog(passport.work_kind))
        };
        refusal(reason, load, backlog)
    }

    fn shed_status(&self, target: &TargetAddress) -> Option<u16> {
        let table = self.routing.load();
        table.service(&target.service)?.settings.shed_status
    }

    fn gate_load(&self) -> u32 {
        let state = lock(&self.gate);
        state.gate.running() + state.gate.waiting() as u32
    }
}

/// A target's answer that keeps its slot until it has been streamed. Cut when the deadline passes.
struct Held<P: Platform> {
    body: Body,
    deadline: Pin<Box<Sleep>>,
    _ticket: Ticket<P>,
}

impl<P: Platform> HttpBody for Held<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Removes headers that must not pass from one hop to the next.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP.into_iter().chain(INTERNAL_HEADERS) {
        headers.remove(name);
    }
    headers.remove(OUTCOME_HEADER);
}

/// Writes the outcome and the load into an answer's headers.
pub(super) fn label(headers: &mut HeaderMap, outcome: Outcome, load: u32) {
    let text = outcome.to_string();
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(OUTCOME_HEADER, value);
    }
    headers.insert(LOAD_HEADER, HeaderValue::from(load));
}

fn refusal(reason: NotRun, load: u32, backlog: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    label(response.headers_mut(), Outcome::NotRun(reason), load);
    let backlog = HeaderValue::from(backlog.as_millis() as u64);
    response.headers_mut().insert(BACKLOG_HEADER, backlog);
    response
}

fn doubt(reason: Doubt, load: u32) -> Response<Body> {
    let mut response = empty_response(StatusCode::BAD_GATEWAY);
    label(response.headers_mut(), Outcome::Unknown(reason), load);
    response
}
