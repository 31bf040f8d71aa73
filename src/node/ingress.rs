//! The ingress: matches a caller's request to a route, picks a target, forwards, and retries on
//! evidence only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http_body::Body as _;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::answers::{Told, bad_request, no_route, replayed};
use super::body::{SharedBody, whole};
use super::gate::strip;
use super::{Node, lock, wall_millis};
use crate::coordination::claims::{ClaimVerdict, KeyHash, KeyState, Wish};
use crate::coordination::gate::Voided;
use crate::coordination::outcome::{Doubt, NotRun, OUTCOME_HEADER, Outcome};
use crate::coordination::pick::{Sign, Wanted};
use crate::coordination::queue::Kind;
use crate::coordination::retry::{self, Next, Trial, come_back, is_idempotent};
use crate::coordination::split;
use crate::coordination::transfer::{Grant, LARGE};
use crate::protocol::dialect::{Dialect, header_number};
use crate::protocol::headers::{ATTEMPTS_LEFT_HEADER, AttemptContext, BACKLOG_HEADER, LOAD_HEADER};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::{AttemptId, Path};
use crate::state::object::{Class, Limits, Route};
use crate::state::routing::{Candidate, RouteEntry, RoutingTable, ServiceEntry};
use crate::transport::client::SendError;
use crate::transport::http::Endpoint;
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Time beyond the deadline for which a gate's own verdict is awaited: about a round trip.
const GRACE: Duration = Duration::from_millis(20);
/// Time within which a gate answers a void.
const VOID_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a gate answers for its link.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);
/// Rate of the own link from which transfers are not asked for, in megabits a second: the instances
/// of a fleet are alike, and a body takes less time than the question.
const FAST_LINK: f64 = 200.0;
/// Time after which a caller may come back where no gate says better, such as with no target.
const COME_BACK: Duration = Duration::from_millis(250);
/// Header with which a caller names a request that it may repeat.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 256;

/// HTTP service for callers.
pub(super) struct Ingress<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for Ingress<P> {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let node = &self.0;
        let began = Instant::now();
        let table = node.routing.load_full();
        let route = find(&table, &request).cloned();
        let class = route.as_ref().map(|r| r.route.class);
        let dialect = node.platform.dialect();
        let name = dialect.request_id(request.headers()).to_string();
        let mut trace = Trace::default();
        let (mut response, outcome) = match &route {
            _ if !node.is_ready() => node.told(Outcome::NotRun(NotRun::NotReady), COME_BACK),
            None => no_route(),
            Some(route) => node.serve(route, request, began, &mut trace).await,
        };
        node.metrics.request(class, outcome, began.elapsed());
        log::info!(
            target: "tarragoncourse::request",
            "request id={name} route={} version={} status={} outcome={outcome} target={} made={} bounced={} wait_ms={} ms={:.1}",
            route.as_ref().map_or("-", |r| r.path.name()),
            table.version(),
            response.status().as_u16(),
            trace.target.map_or_else(|| "-".to_string(), |t| t.to_string()),
            trace.made,
            trace.bounced,
            trace.wait.as_millis(),
            began.elapsed().as_secs_f64() * 1000.0,
        );
        if node.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn may_start_early(&self, request: &Request<Body>) -> bool {
        let table = self.0.routing.load();
        let route = find(&table, request).map(|r| &r.route);
        route.is_some_and(|r| {
            is_idempotent(r.idempotency, request.method().as_str()) && !r.requires_key
        })
    }

    fn limits(&self) -> Limits {
        *self.0.routing.load().limits()
    }
}

/// What a request went through, for its log line.
#[derive(Default)]
struct Trace {
    target: Option<SocketAddr>,
    /// Attempts that reached a target.
    made: u8,
    /// Attempts that a gate refused.
    bounced: u8,
    /// Time after which the caller was asked to come back.
    wait: Duration,
}

/// One request on its way.
struct Call {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: SharedBody,
    deadline: Instant,
    objective: Option<Instant>,
    route: Arc<RouteEntry>,
    /// The part of the route that the request goes to.
    service: Path,
}

/// Where one attempt led.
enum Ended {
    /// An answer whose head says that the target answered.
    Answer(Response<Body>),
    /// Anything else, and after which time the gate may have room.
    Short(Outcome, Option<Duration>),
}

impl Ended {
    fn not_run(reason: NotRun) -> Ended {
        Ended::Short(Outcome::NotRun(reason), None)
    }

    fn unknown(doubt: Doubt) -> Ended {
        Ended::Short(Outcome::Unknown(doubt), None)
    }
}

impl<P: Platform> Node<P> {
    async fn serve(
        self: &Arc<Self>,
        route: &Arc<RouteEntry>,
        request: Request<Body>,
        began: Instant,
        trace: &mut Trace,
    ) -> Told {
        let (mut parts, body) = request.into_parts();
        let dialect = self.platform.dialect();
        let limit = dialect.caller_timeout(&parts.headers);
        let spent = limit.map_or(Duration::ZERO, |l| route.caller_elapsed(l));
        let time = limit.map_or(route.route.deadline, |l| l.min(route.route.deadline));
        let taken = self.bodies.take(&parts.headers, body);
        let body = match tokio::time::timeout_at(began + time, taken).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) | Err(_) => {
                return self.told(Outcome::NotRun(NotRun::CallerGone), Duration::ZERO);
            }
        };
        dialect.set_caller_headers(&mut parts.headers);
        let mut call = Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            deadline: began + time,
            objective: route
                .route
                .objective
                .map(|o| began + o.saturating_sub(spent)),
            route: route.clone(),
            service: draw_part(route),
        };
        if !route.route.requires_key {
            return self.attempts(&mut call, trace).await;
        }
        match key_of(&call) {
            Some(key) => self.serve_keyed(&mut call, key, trace).await,
            None => bad_request("this route needs an Idempotency-Key header of 1 to 256 bytes"),
        }
    }

    /// Claims the key before the request may run, and records what became of it.
    async fn serve_keyed(
        self: &Arc<Self>,
        call: &mut Call,
        key: KeyHash,
        trace: &mut Trace,
    ) -> Told {
        let claim = AttemptId(fastrand::u128(..));
        let wish = self.wish(Wish::Claim(key, claim));
        match tokio::time::timeout_at(call.deadline, wish).await {
            Ok(Some(ClaimVerdict::Granted)) => {}
            Ok(Some(ClaimVerdict::Held(KeyState::Answered(status)))) => return replayed(status),
            Ok(Some(ClaimVerdict::Held(KeyState::Pending))) => {
                return self.told(Outcome::Unknown(Doubt::KeyInDoubt), COME_BACK);
            }
            Ok(Some(ClaimVerdict::Full) | None) | Err(_) => {
                return self.told(Outcome::NotRun(NotRun::ClaimUnavailable), COME_BACK);
            }
        }
        let (response, outcome) = self.attempts(call, trace).await;
        let after = match outcome {
            Outcome::Answered => Some(Wish::Settle(key, claim, response.status().as_u16())),
            Outcome::NotRun(_) => Some(Wish::Release(key, claim)),
            // The key stays in doubt, so that the request never runs a second time.
            Outcome::Unknown(_) => None,
        };
        if let Some(wish) = after {
            let node = self.clone();
            tokio::spawn(async move { node.wish(wish).await });
        }
        (response, outcome)
    }

    async fn attempts(self: &Arc<Self>, call: &mut Call, trace: &mut Trace) -> Told {
        let route = call.route.clone();
        let idempotent = is_idempotent(route.route.idempotency, call.method.as_str());
        let allowed = header_number(&call.headers, ATTEMPTS_LEFT_HEADER).unwrap_or(u64::MAX);
        let allowed = allowed.clamp(1, route.route.max_attempts.into()) as u8;
        strip(&mut call.headers);
        lock(&self.retries).of(&call.service).earn();
        let mut tried: SmallVec<[SocketAddr; 4]> = SmallVec::new();
        let mut backlog: Option<Duration> = None;
        let mut last = None;
        loop {
            let left = u64::from(allowed - trace.made);
            call.headers
                .insert(ATTEMPTS_LEFT_HEADER, HeaderValue::from(left));
            let outcome = match self.attempt(call, &mut tried, last).await {
                Ended::Answer(response) => {
                    trace.made += 1;
                    trace.target = tried.last().copied();
                    call.route
                        .record_response_size(response.body().size_hint().exact().unwrap_or(0));
                    return (response, Outcome::Answered);
                }
                Ended::Short(outcome, wait) => {
                    backlog = wait.into_iter().chain(backlog).min();
                    outcome
                }
            };
            trace.target = tried.last().copied();
            match outcome.reached_target() {
                true => trace.made += 1,
                false => trace.bounced += 1,
            }
            last = Some(outcome);
            let trial = Trial {
                idempotent,
                replayable: call.body.is_replayable(),
                made: trace.made,
                bounced: trace.bounced,
                allowed,
                deadline: call.deadline,
            };
            match self.decide(outcome, trial, &call.service) {
                Next::Finish => {
                    let slack = call.objective.map_or(Duration::ZERO, |o| {
                        o.saturating_duration_since(Instant::now()) / 2
                    });
                    let wait = come_back(backlog.unwrap_or(COME_BACK), slack, fastrand::f64());
                    trace.wait = wait;
                    return self.told(outcome, wait);
                }
                Next::Retry(wait) => {
                    self.metrics.retry();
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    fn decide(&self, outcome: Outcome, trial: Trial, service: &Path) -> Next {
        let mut rng = fastrand::Rng::new();
        let budgets = &mut lock(&self.retries);
        retry::after(
            outcome,
            trial,
            budgets.of(service),
            &mut rng,
            Instant::now(),
        )
    }

    /// Makes one attempt. `last` is how the attempt before it ended.
    async fn attempt(
        self: &Arc<Self>,
        call: &Call,
        tried: &mut SmallVec<[SocketAddr; 4]>,
        last: Option<Outcome>,
    ) -> Ended {
        let table = self.routing.load_full();
        let Some(service) = table.service(&call.service) else {
            return Ended::not_run(NotRun::NoTarget);
        };
        // A target that failed may be tried again once all were; a gate that refused may not.
        let again = last.is_none_or(Outcome::reached_target);
        let Some((target, mut flight)) = self.pick(call, service, tried, again) else {
            return Ended::not_run(match last {
                Some(Outcome::NotRun(reason)) => reason,
                _ => NotRun::NoTarget,
            });
        };
        tried.push(target.peer);
        let (ended, sign) = self.forward(call, &target).await;
        flight.sign = sign;
        ended
    }

    fn pick(
        self: &Arc<Self>,
        call: &Call,
        service: &Arc<ServiceEntry>,
        tried: &[SocketAddr],
        again: bool,
    ) -> Option<(Candidate, Flight<P>)> {
        let now = Instant::now();
        let mut picker = lock(&self.picker);
        let candidates = &service.candidates;
        let wanted = Wanted {
            zone: &self.settings.zone,
            own: Some(self.addresses.peers),
            tried,
            bytes: call.body.length() + call.route.mean_response_bytes(),
        };
        let mut picked = picker.pick(candidates, wanted, now);
        if picked.is_none() && again {
            let wanted = Wanted {
                tried: &[],
                ..wanted
            };
            picked = picker.pick(candidates, wanted, now);
        }
        let picked = picked?;
        let flight = Flight {
            node: self.clone(),
            peer: picked.peer,
            service: service.clone(),
            sign: Sign::Abandoned,
        };
        Some((picked.clone(), flight))
    }

    async fn forward(self: &Arc<Self>, call: &Call, target: &Candidate) -> (Ended, Sign) {
        let began = Instant::now();
        let is_bulk = call.route.route.class == Class::Bulk;
        let timed = |began: Instant| (!is_bulk).then(|| began.elapsed());
        let until = |at: Instant| at.saturating_duration_since(began);
        let passport = AttemptContext {
            attempt: AttemptId(fastrand::u128(..)),
            incarnation: target.incarnation,
            class: call.route.route.class,
            work_kind: kind(&call.route.route),
            objective_left: call.objective.map(until),
            time_left: until(call.deadline),
            sent_at_ms: wall_millis(),
        };
        let mut request = call.request();
        if target.peer == self.addresses.peers {
            let response = self.run_here(passport, request).await;
            return understood(response, || timed(began)).await;
        }
        if let Some(refused) = self.ask_transfer(call, target).await {
            return refused;
        }
        let passport = AttemptContext {
            objective_left: call
                .objective
                .map(|o| o.saturating_duration_since(Instant::now())),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            ..passport
        };
        passport.write(&self.key, request.headers_mut());
        let exchange = async {
            let response = self.hop.send(target.gate_addr, request).await?;
            Ok(understood(response, || timed(began)).await)
        };
        match tokio::time::timeout_at(call.deadline + GRACE, exchange).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(SendError::NotSent)) => (Ended::not_run(NotRun::Unreachable), Sign::Failed),
            // The caller's upload broke off, which says nothing about the target.
            Ok(Err(SendError::Broken)) if call.body.has_failed() => {
                let outcome = match self.void(passport, target, Doubt::LinkBroken).await {
                    Outcome::NotRun(_) => Outcome::NotRun(NotRun::CallerGone),
                    other => other,
                };
                (Ended::Short(outcome, None), Sign::Abandoned)
            }
            Ok(Err(SendError::Broken)) => {
                let outcome = self.void(passport, target, Doubt::LinkBroken).await;
                (Ended::Short(outcome, None), Sign::Failed)
            }
            // The deadline has passed: the caller is told at once, whatever the gate knows.
            Err(_) => (Ended::unknown(Doubt::Timeout), Sign::Failed),
        }
    }

    /// Asks whether a large body may be sent over a slow link, and waits for its turn. Returns how
    /// the attempt ended if it may not.
    async fn ask_transfer(&self, call: &Call, target: &Candidate) -> Option<(Ended, Sign)> {
        let bytes = call.body.length();
        let slow = self.settings.link_mbit.is_some_and(|rate| rate < FAST_LINK);
        if !slow || bytes < LARGE {
            return None;
        }
        let now = Instant::now();
        let left = call.objective.map(|o| o.saturating_duration_since(now) / 2);
        let patience = left.filter(|p| !p.is_zero());
        let request = PeerRequest::Transfer {
            bytes,
            time_limit: patience,
        };
        let reply = send_request(&self.key, target.peer, &request, TRANSFER_TIMEOUT).await;
        match reply {
            Ok((PeerReply::Transfer(Grant::After(wait)), _)) => {
                tokio::time::sleep(wait).await;
                None
            }
            Ok((PeerReply::Transfer(Grant::Refuse(wait)), _)) => {
                let outcome = Outcome::NotRun(NotRun::QueueFull);
                Some((Ended::Short(outcome, Some(wait)), Sign::Abandoned))
            }
            _ => Some((Ended::not_run(NotRun::Unreachable), Sign::Failed)),
        }
    }

    /// Asks the gate to fence an attempt whose answer did not come.
    async fn void(&self, passport: AttemptContext, target: &Candidate, doubt: Doubt) -> Outcome {
        let request = PeerRequest::Void {
            attempt: passport.attempt,
            incarnation: passport.incarnation,
            age: Duration::from_millis(wall_millis().abs_diff(passport.sent_at_ms)),
        };
        let reply = send_request(&self.key, target.peer, &request, VOID_TIMEOUT).await;
        let (name, outcome) = match reply {
            Ok((PeerReply::Voided(Voided::Fenced), _)) => {
                ("fenced", Outcome::NotRun(NotRun::Voided))
            }
            Ok((PeerReply::Voided(Voided::Ended(Outcome::NotRun(reason))), _)) => {
                ("not-run", Outcome::NotRun(reason))
            }
            Ok((PeerReply::Voided(_), _)) => ("handed", Outcome::Unknown(doubt)),
            _ => ("unanswered", Outcome::Unknown(doubt)),
        };
        self.metrics.void(name);
        outcome
    }
}

/// An attempt that is counted as in flight until dropped.
struct Flight<P: Platform> {
    node: Arc<Node<P>>,
    peer: SocketAddr,
    service: Arc<ServiceEntry>,
    sign: Sign,
}

impl<P: Platform> Drop for Flight<P> {
    fn drop(&mut self) {
        let now = Instant::now();
        let candidates = &self.service.candidates;
        lock(&self.node.picker).done(self.peer, self.sign, candidates, now);
    }
}

impl Call {
    fn request(&self) -> Request<Body> {
        let mut request = Request::new(self.body.open());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

fn find<'a>(table: &'a RoutingTable, request: &Request<Body>) -> Option<&'a Arc<RouteEntry>> {
    let named = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = request.uri().host().or(named).unwrap_or_default();
    table.route(host, request.uri().path(), request.method().as_str())
}

fn key_of(call: &Call) -> Option<KeyHash> {
    let key = call.headers.get(KEY_HEADER)?.to_str().ok()?;
    let fits = (1..=KEY_MAX).contains(&key.len());
    fits.then(|| KeyHash::new(call.service.as_str(), key))
}

/// Reads a gate's answer. Without the outcome header, something else listens at that address.
async fn understood(
    mut response: Response<Body>,
    took: impl Fn() -> Option<Duration>,
) -> (Ended, Sign) {
    let headers = response.headers();
    let load = header_number(headers, LOAD_HEADER).unwrap_or(0) as u32;
    let backlog = header_number(headers, BACKLOG_HEADER).map(Duration::from_millis);
    let text = headers.get(OUTCOME_HEADER).and_then(|v| v.to_str().ok());
    match text.and_then(Outcome::parse) {
        Some(Outcome::Answered) => {
            response.headers_mut().remove(LOAD_HEADER);
            response.headers_mut().remove(BACKLOG_HEADER);
            // A target that answers with an error of its own is not at its best.
            let faulty = response.status().is_server_error();
            match whole(response).await {
                Ok(response) if faulty => (Ended::Answer(response), Sign::Refused(load)),
                Ok(response) => (Ended::Answer(response), Sign::Answered(load, took())),
                Err(_) => (Ended::unknown(Doubt::LinkBroken), Sign::Failed),
            }
        }
        Some(outcome) => {
            let sign = match outcome {
                Outcome::NotRun(NotRun::Unreachable) | Outcome::Unknown(Doubt::TargetBroken) => {
                    Sign::Failed
                }
                _ => Sign::Refused(load),
            };
            (Ended::Short(outcome, backlog), sign)
        }
        None => (Ended::unknown(Doubt::LinkBroken), Sign::Failed),
    }
}

/// Whose service times a route's requests share.
fn kind(route: &Route) -> Kind {
    let objective = route.objective.map_or(0, |o| o.as_millis());
    Kind {
        priority: route.priority,
        objective: u32::try_from(objective).unwrap_or(u32::MAX),
    }
}

/// The service that the next request of a route goes to.
fn draw_part(route: &RouteEntry) -> Path {
    let parts = &route.route.weighted_services;
    let weights: SmallVec<[u32; 4]> = parts.iter().map(|p| p.weight).collect();
    let at = match parts.len() {
        1 => 0,
        _ => split::draw(&weights, route.next_request_number()),
    };
    parts[at].service.clone()
}
