//! The ingress: matches a caller's request to a route, picks a target, forwards, and retries on
//! evidence only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::answers::{Told, bad_request, no_route, replayed, told};
use super::body::SharedBody;
use super::gate::strip;
use super::{Node, lock, wall_millis};
use crate::coordination::claims::{ClaimVerdict, KeyHash, KeyState, Wish};
use crate::coordination::gate::Voided;
use crate::coordination::outcome::{Doubt, NotRun, OUTCOME_HEADER, Outcome};
use crate::coordination::pick::Sign;
use crate::coordination::retry::{self, Next, Trial, is_idempotent};
use crate::protocol::headers::{ATTEMPTS_LEFT, DEADLINE, LOAD, Passport};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::AttemptId;
use crate::state::object::Class;
use crate::state::routing::{Candidate, RouteEntry, RoutingTable, ServiceEntry};
use crate::transport::client::SendError;
use crate::transport::http::{Endpoint, header_number};
use crate::transport::link::ask;
use crate::transport::platform::Platform;

/// Time beyond the deadline for which a gate's own verdict is awaited.
const GRACE: Duration = Duration::from_millis(100);
/// Time within which a gate answers a void.
const VOID_TIMEOUT: Duration = Duration::from_millis(500);
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
        let (mut response, outcome) = match route {
            _ if !node.is_ready() => told(Outcome::NotRun(NotRun::NotReady)),
            None => no_route(),
            Some(route) => node.serve(&route, request, began).await,
        };
        node.metrics.request(class, outcome, began.elapsed());
        if node.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// One request on its way.
struct Call {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: SharedBody,
    deadline: Instant,
    route: Arc<RouteEntry>,
}

/// Where one attempt led.
enum Ended {
    /// An answer whose head says that the target answered.
    Answer(Response<Body>),
    /// Anything else.
    Short(Outcome),
}

impl<P: Platform> Node<P> {
    async fn serve(
        self: &Arc<Self>,
        route: &Arc<RouteEntry>,
        request: Request<Body>,
        began: Instant,
    ) -> Told {
        let (parts, body) = request.into_parts();
        let limit = header_number(&parts.headers, DEADLINE).map(Duration::from_millis);
        let time = limit.map_or(route.route.deadline, |l| l.min(route.route.deadline));
        let taken = self.bodies.take(&parts.headers, body);
        let body = match tokio::time::timeout_at(began + time, taken).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) | Err(_) => {
                return bad_request("the request's body broke off; send it whole");
            }
        };
        let mut call = Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            deadline: began + time,
            route: route.clone(),
        };
        if !route.route.keyed {
            return self.attempts(&mut call).await;
        }
        match key_of(&call) {
            Some(key) => self.serve_keyed(&mut call, key).await,
            None => bad_request("this route needs an Idempotency-Key header of 1 to 256 bytes"),
        }
    }

    /// Claims the key before the request may run, and records what became of it.
    async fn serve_keyed(self: &Arc<Self>, call: &mut Call, key: KeyHash) -> Told {
        let claim = AttemptId(fastrand::u128(..));
        let wish = self.wish(Wish::Claim(key, claim));
        match tokio::time::timeout_at(call.deadline, wish).await {
            Ok(Some(ClaimVerdict::Granted)) => {}
            Ok(Some(ClaimVerdict::Held(KeyState::Answered(status)))) => return replayed(status),
            Ok(Some(ClaimVerdict::Held(KeyState::Pending))) => {
                return told(Outcome::Unknown(Doubt::KeyInDoubt));
            }
            Ok(Some(ClaimVerdict::Full) | None) | Err(_) => {
                return told(Outcome::NotRun(NotRun::ClaimUnavailable));
            }
        }
        let (response, outcome) = self.attempts(call).await;
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

    async fn attempts(self: &Arc<Self>, call: &mut Call) -> Told {
        let route = call.route.clone();
        let idempotent = is_idempotent(route.route.idempotency, call.method.as_str());
        let allowed = header_number(&call.headers, ATTEMPTS_LEFT).unwrap_or(u64::MAX);
        let allowed = allowed.clamp(1, route.route.attempts.into()) as u8;
        strip(&mut call.headers);
        let mut tried: SmallVec<[SocketAddr; 4]> = SmallVec::new();
        let mut made = 0;
        loop {
            made += 1;
            let left = u64::from(allowed - made);
            call.headers
                .insert(ATTEMPTS_LEFT, HeaderValue::from(left + 1));
            let outcome = match self.attempt(call, &mut tried).await {
                Ended::Answer(response) => {
                    lock(&self.retries).earn();
                    return (response, Outcome::Answered);
                }
                Ended::Short(outcome) => outcome,
            };
            let trial = Trial {
                idempotent,
                replayable: call.body.is_replayable(),
                made,
                allowed,
                deadline: call.deadline,
            };
            match self.decide(outcome, trial) {
                Next::Finish => return told(outcome),
                Next::Retry(wait) => {
                    self.metrics.retry();
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    fn decide(&self, outcome: Outcome, trial: Trial) -> Next {
        let mut rng = fastrand::Rng::new();
        let budget = &mut lock(&self.retries);
        retry::after(outcome, trial, budget, &mut rng, Instant::now())
    }

    async fn attempt(
        self: &Arc<Self>,
        call: &Call,
        tried: &mut SmallVec<[SocketAddr; 4]>,
    ) -> Ended {
        let table = self.routing.load_full();
        let Some(service) = table.service(&call.route.route.service) else {
            return Ended::Short(Outcome::NotRun(NotRun::NoTarget));
        };
        let Some((target, mut flight)) = self.pick(service, tried) else {
            return Ended::Short(Outcome::NotRun(NotRun::NoTarget));
        };
        tried.push(target.peer);
        let (ended, sign) = self.forward(call, &target).await;
        flight.sign = sign;
        ended
    }

    fn pick(
        self: &Arc<Self>,
        service: &Arc<ServiceEntry>,
        tried: &[SocketAddr],
    ) -> Option<(Candidate, Flight<P>)> {
        let now = Instant::now();
        let mut picker = lock(&self.picker);
        let zone = &self.settings.zone;
        let candidates = &service.candidates;
        let picked = picker.pick(candidates, zone, tried, now);
        // With every target tried, the least loaded one may be tried again.
        let picked = picked.or_else(|| picker.pick(candidates, zone, &[], now))?;
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
        let passport = Passport {
            attempt: AttemptId(fastrand::u128(..)),
            incarnation: target.incarnation,
            class: call.route.route.class,
            left: call.deadline.saturating_duration_since(Instant::now()),
            sent: wall_millis(),
        };
        let request = call.request();
        if target.peer == self.addresses.peers {
            let response = self.run_here(passport, request).await;
            return understood(response, timed(began));
        }
        let mut request = request;
        passport.write(&self.key, request.headers_mut());
        let sent = self.hop.send(target.gate, request);
        match tokio::time::timeout_at(call.deadline + GRACE, sent).await {
            Ok(Ok(response)) => understood(response, timed(began)),
            Ok(Err(SendError::NotSent)) => {
                let outcome = Outcome::NotRun(NotRun::Unreachable);
                (Ended::Short(outcome), Sign::Failed)
            }
            // The caller's upload broke off, which says nothing about the target.
            Ok(Err(SendError::Broken)) if call.body.has_failed() => {
                let outcome = match self.void(passport, target, Doubt::LinkBroken).await {
                    Outcome::NotRun(_) => Outcome::NotRun(NotRun::CallerGone),
                    other => other,
                };
                (Ended::Short(outcome), Sign::Abandoned)
            }
            Ok(Err(SendError::Broken)) => {
                let outcome = self.void(passport, target, Doubt::LinkBroken).await;
                (Ended::Short(outcome), Sign::Failed)
            }
            Err(_) => {
                let outcome = self.void(passport, target, Doubt::Timeout).await;
                (Ended::Short(outcome), Sign::Failed)
            }
        }
    }

    /// Asks the gate to fence an attempt whose answer did not come.
    async fn void(&self, passport: Passport, target: &Candidate, doubt: Doubt) -> Outcome {
        let request = PeerRequest::Void {
            attempt: passport.attempt,
            incarnation: passport.incarnation,
            age: Duration::from_millis(wall_millis().abs_diff(passport.sent)),
        };
        let reply = ask(&self.key, target.peer, &request, VOID_TIMEOUT).await;
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
    fits.then(|| KeyHash::new(call.route.route.service.as_str(), key))
}

/// Reads a gate's answer. Without the outcome header, something else listens at that address.
fn understood(mut response: Response<Body>, took: Option<Duration>) -> (Ended, Sign) {
    let headers = response.headers();
    let load = header_number(headers, LOAD).unwrap_or(0) as u32;
    let text = headers.get(OUTCOME_HEADER).and_then(|v| v.to_str().ok());
    match text.and_then(Outcome::parse) {
        Some(Outcome::Answered) => {
            response.headers_mut().remove(LOAD);
            (Ended::Answer(response), Sign::Answered(load, took))
        }
        Some(outcome @ Outcome::NotRun(NotRun::Unreachable)) => {
            (Ended::Short(outcome), Sign::Failed)
        }
        Some(outcome @ Outcome::NotRun(_)) => (Ended::Short(outcome), Sign::Refused(load)),
        Some(outcome) => (Ended::Short(outcome), Sign::Failed),
        None => (
            Ended::Short(Outcome::Unknown(Doubt::LinkBroken)),
            Sign::Failed,
        ),
    }
}
