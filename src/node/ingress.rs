//! The ingress: matches a caller's request to a route, picks a target, forwards, and retries on
//! evidence only.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use smallvec::SmallVec;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

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
use crate::transport::http::{Endpoint, empty, full, full_body, read_body};
use crate::transport::link::ask;
use crate::transport::platform::Platform;

/// Time beyond the deadline for which a gate's own verdict is awaited.
const GRACE: Duration = Duration::from_millis(100);
/// Time within which a gate answers a void.
const VOID_TIMEOUT: Duration = Duration::from_millis(500);
/// Unit in which memory for kept bodies is counted, in bytes.
pub(super) const KEEP_UNIT_BYTES: u64 = 1024;
/// Header with which a caller names a request that it may repeat.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 256;
/// Header that marks the stored outcome of an earlier request with the same key.
const REPLAYED_HEADER: &str = "tarragon-replayed";

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

type Told = (Response<Body>, Outcome);

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
        let limit = number(&parts.headers, DEADLINE).map(Duration::from_millis);
        let time = limit.map_or(route.route.deadline, |l| l.min(route.route.deadline));
        let body = match self.take_body(&parts.headers, body).await {
            Ok(body) => body,
            Err(_) => return bad_request("the request's body broke off; send it whole"),
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

    /// Keeps small bodies whole, so that the request can be sent again; streams the others.
    async fn take_body(
        self: &Arc<Self>,
        headers: &HeaderMap,
        body: Body,
    ) -> io::Result<SharedBody> {
        if body.is_end_stream() {
            return Ok(SharedBody::Whole(Kept {
                bytes: Bytes::new(),
                _room: None,
            }));
        }
        let length = number(headers, CONTENT_LENGTH.as_str());
        match length.and_then(|n| self.keep(n)) {
            Some(room) => {
                let most = self.settings.replay_body as usize;
                let bytes = read_body(body, most).await?;
                let _room = Some(room);
                Ok(SharedBody::Whole(Kept { bytes, _room }))
            }
            None => {
                let body = Mutex::new(Some(body));
                let failed = AtomicBool::new(false);
                Ok(SharedBody::Once(Arc::new(Upload { body, failed })))
            }
        }
    }

    /// Room to keep a body of this length whole; none for a large one, or while many are kept.
    fn keep(self: &Arc<Self>, length: u64) -> Option<OwnedSemaphorePermit> {
        if length > self.settings.replay_body {
            return None;
        }
        let units = length.div_ceil(KEEP_UNIT_BYTES) as u32;
        self.kept.clone().try_acquire_many_owned(units).ok()
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
        let allowed = number(&call.headers, ATTEMPTS_LEFT).unwrap_or(u64::MAX);
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

/// A request's body, opened once for each attempt.
enum SharedBody {
    /// Held whole.
    Whole(Kept),
    /// Streamed from the caller; gone once an attempt has read from it.
    Once(Arc<Upload>),
}

/// A body held whole, with its share of the memory for such bodies.
struct Kept {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// A caller's streamed body.
struct Upload {
    body: Mutex<Option<Body>>,
    /// Whether the caller broke off, or sent what is not a body.
    failed: AtomicBool,
}

impl SharedBody {
    fn open(&self) -> Body {
        match self {
            SharedBody::Whole(kept) if kept.bytes.is_empty() => Body::default(),
            SharedBody::Whole(kept) => full_body(kept.bytes.clone()),
            SharedBody::Once(upload) => Body::new(StreamedBody {
                upload: upload.clone(),
                taken: None,
            }),
        }
    }

    fn is_replayable(&self) -> bool {
        match self {
            SharedBody::Whole(..) => true,
            SharedBody::Once(upload) => lock(&upload.body).is_some(),
        }
    }

    fn has_failed(&self) -> bool {
        match self {
            SharedBody::Whole(..) => false,
            SharedBody::Once(upload) => upload.failed.load(Ordering::Acquire),
        }
    }
}

/// Takes the caller's body at the first read, so that an attempt that never read leaves it whole.
struct StreamedBody {
    upload: Arc<Upload>,
    taken: Option<Body>,
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.taken.is_none() {
            let body = lock(&self.upload.body).take();
            self.taken = body;
        }
        match &mut self.taken {
            Some(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                if matches!(polled, Poll::Ready(Some(Err(_)))) {
                    self.upload.failed.store(true, Ordering::Release);
                }
                polled
            }
            None => Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into()))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.taken {
            Some(body) => body.size_hint(),
            None => lock(&self.upload.body)
                .as_ref()
                .map_or_else(SizeHint::default, HttpBody::size_hint),
        }
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

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a gate's answer. Without the outcome header, something else listens at that address.
fn understood(mut response: Response<Body>, took: Option<Duration>) -> (Ended, Sign) {
    let headers = response.headers();
    let load = number(headers, LOAD).unwrap_or(0) as u32;
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

/// What a caller is told when there is no answer.
fn told(outcome: Outcome) -> Told {
    let (status, remedy) = match outcome {
        Outcome::Answered => (StatusCode::OK, ""),
        Outcome::NotRun(NotRun::CallerGone) => (
            StatusCode::BAD_REQUEST,
            "the request's body broke off; send it whole",
        ),
        Outcome::NotRun(_) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "it was not run; send it again later",
        ),
        Outcome::Unknown(Doubt::Timeout) => (
            StatusCode::GATEWAY_TIMEOUT,
            "it may have run; look before sending it again",
        ),
        Outcome::Unknown(Doubt::KeyInDoubt) => (
            StatusCode::CONFLICT,
            "an earlier request with this key may have run; look before sending a new one",
        ),
        Outcome::Unknown(_) => (
            StatusCode::BAD_GATEWAY,
            "it may have run; look before sending it again",
        ),
    };
    let text = format!("{outcome}: {remedy}\n");
    let mut response = full(status, "text/plain", text);
    mark(&mut response, outcome);
    if matches!(outcome, Outcome::NotRun(_)) {
        let wait = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    (response, outcome)
}

fn replayed(status: u16) -> Told {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = empty(status);
    mark(&mut response, Outcome::Answered);
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    (response, Outcome::Answered)
}

fn no_route() -> Told {
    let outcome = Outcome::NotRun(NotRun::NoTarget);
    let text = "no route matches this host, path and method; see `tarragon get`\n";
    let mut response = full(StatusCode::NOT_FOUND, "text/plain", text);
    mark(&mut response, outcome);
    (response, outcome)
}

fn bad_request(text: &'static str) -> Told {
    let outcome = Outcome::NotRun(NotRun::CallerGone);
    let mut response = full(StatusCode::BAD_REQUEST, "text/plain", format!("{text}\n"));
    mark(&mut response, outcome);
    (response, outcome)
}

fn mark(response: &mut Response<Body>, outcome: Outcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}
