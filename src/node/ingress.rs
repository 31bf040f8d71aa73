//! The ingress: matches callers' requests to routes, picks targets, forwards the requests to their
//! gates, and retries. A request that is not idempotent is retried only if it is known not to have
//! run.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::request::Parts;
use hyper::header::HOST;
use hyper::{Request, Response};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::Node;
use super::attempt::Call;
use super::fingerprint::fingerprints;
use super::gate_response::strip_hop_headers;
use super::local_response::{ResponseWithOutcome, bad_request, no_route, replayed_response};
use super::retries::RequestTrace;
use crate::coordination::claims::{ClaimOutcome, KeyHash, KeyOperation, KeyState};
use crate::coordination::crash_table::RETENTION;
use crate::coordination::identity::Identity;
use crate::coordination::outcome::{NotRun, Outcome, UnknownReason};
use crate::coordination::retry::{is_idempotent, retry_after_start};
use crate::coordination::traffic_split;
use crate::protocol::dialect::{Dialect, header_number};
use crate::protocol::headers::WAITED_HEADER;
use crate::state::id::{AttemptId, Fingerprints, Path};
use crate::state::object::Limits;
use crate::state::routing::{RouteEntry, RoutingTable};
use crate::transport::clock::read_clocks;
use crate::transport::http::Endpoint;
use crate::transport::platform::Platform;

/// Time after which callers may retry if no gate gave an estimate, for example because there is no
/// target.
pub(super) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);
/// Header with the idempotency key of a caller's request.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;

/// HTTP service for callers' requests.
pub(super) struct Ingress<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for Ingress<P> {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let node = &self.0;
        let waited = header_number(request.headers(), WAITED_HEADER).unwrap_or(0);
        let waited = Duration::from_millis(waited);
        let now = Instant::now();
        let started = now.checked_sub(waited).unwrap_or(now);
        let table = node.routing.load_full();
        let route = find_route(&table, &request).cloned();
        let class = route.as_ref().map(|r| r.route.class);
        let dialect = node.platform.dialect();
        let request_id = dialect.request_id(request.headers()).to_string();
        let mut trace = RequestTrace::default();
        let (response, outcome) = match &route {
            _ if !node.is_ready() => {
                let caller_timeout = dialect.caller_timeout(request.headers());
                trace.retry_after = retry_after_start(caller_timeout, fastrand::f64());
                node.local_response(Outcome::NotRun(NotRun::NotReady), trace.retry_after)
            }
            None => no_route(),
            Some(route) => {
                node.serve_request(&table, route, request, started, &mut trace)
                    .await
            }
        };
        node.metrics
            .record_request(class, outcome, started.elapsed());
        log::info!(
            target: "tarragoncourse::request",
            "request id={request_id} route={} version={} status={} outcome={outcome} workspace={} target={} made={} bounced={} wait_ms={} ms={:.1}",
            route.as_ref().map_or("-", |r| r.path.name()),
            table.version(),
            response.status().as_u16(),
            trace.workspace_name(),
            trace.target.map_or_else(|| "-".to_string(), |t| t.to_string()),
            trace.made,
            trace.bounced,
            trace.retry_after.as_millis(),
            started.elapsed().as_secs_f64() * 1000.0,
        );
        response
    }

    fn is_leaving(&self) -> bool {
        self.0.is_leaving()
    }

    fn may_start_early(&self, request: &Request<Body>) -> bool {
        let table = self.0.routing.load();
        let route = find_route(&table, request).map(|r| &r.route);
        route.is_some_and(|r| {
            is_idempotent(r.idempotency, request.method().as_str()) && !r.requires_key
        })
    }

    fn limits(&self) -> Limits {
        *self.0.routing.load().limits()
    }
}

/// The times of a request that its call depends on.
struct CallTimes {
    deadline: Instant,
    /// Time for which the instance had been suspended when the request was read.
    suspended: Duration,
    /// Time by which the caller wants the response.
    objective: Option<Instant>,
}

impl<P: Platform> Node<P> {
    /// Processes a request that matches a route.
    async fn serve_request(
        self: &Arc<Self>,
        table: &RoutingTable,
        route: &Arc<RouteEntry>,
        request: Request<Body>,
        started: Instant,
        trace: &mut RequestTrace,
    ) -> ResponseWithOutcome {
        let (mut parts, body) = request.into_parts();
        let sender = parts.extensions.get().copied();
        let dialect = self.platform.dialect();
        let caller_timeout = dialect.caller_timeout(&parts.headers);
        let unread_time = self.unread_time();
        let suspended = read_clocks().suspended();
        let elapsed = caller_timeout.map_or(Duration::ZERO, |t| route.caller_elapsed(t));
        let elapsed = elapsed + unread_time;
        let timeout = caller_timeout.map_or(route.route.deadline, |t| t.min(route.route.deadline));
        let timeout = timeout.saturating_sub(unread_time);
        if Instant::now() >= started + timeout {
            return self.local_response(Outcome::NotRun(NotRun::Deadline), RETRY_AFTER_DEFAULT);
        }
        let identity = match self.identify_caller(table, &route.route, &mut parts.headers, sender) {
            Ok(identity) => identity,
            Err(reason) => {
                return self.local_response(Outcome::NotRun(reason), RETRY_AFTER_DEFAULT);
            }
        };
        trace.workspace = identity.workspace.clone();
        let permit = match self.admit_caller(&identity, started + timeout).await {
            Ok(permit) => permit,
            Err(wait) => {
                trace.retry_after = wait;
                return self.local_response(Outcome::NotRun(NotRun::OverQuota), wait);
            }
        };
        let times = CallTimes {
            deadline: started + timeout,
            suspended,
            objective: route
                .route
                .objective
                .map(|o| started + o.saturating_sub(elapsed)),
        };
        let (response, outcome) = self
            .serve_admitted(route, parts, body, identity, times, trace)
            .await;
        self.settle_permit(permit, outcome);
        (response, outcome)
    }

    /// Processes a request that is within the limit of its workspace.
    async fn serve_admitted(
        self: &Arc<Self>,
        route: &Arc<RouteEntry>,
        mut parts: Parts,
        body: Body,
        identity: Identity,
        times: CallTimes,
        trace: &mut RequestTrace,
    ) -> ResponseWithOutcome {
        let dialect = self.platform.dialect();
        let buffered = self.body_buffer.buffer_or_stream(&parts.headers, body);
        let body = match tokio::time::timeout_at(times.deadline, buffered).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) | Err(_) => {
                return self.local_response(Outcome::NotRun(NotRun::CallerGone), Duration::ZERO);
            }
        };
        // Before the node's own headers are set, since the caller may name any header.
        strip_hop_headers(&mut parts.headers, dialect.end_to_end_headers());
        dialect.set_caller_headers(&mut parts.headers);
        let mut call = Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            deadline: times.deadline,
            suspended: times.suspended,
            objective: times.objective,
            route: route.clone(),
            service: pick_service(route),
            fingerprints: Fingerprints::new(),
            identity,
            stay_in_zone: false,
        };
        call.fingerprints = fingerprints(&call, dialect.caller(&call.headers));
        if self.is_refused(&call.fingerprints) {
            self.log_crash_refusal(dialect.request_id(&call.headers), &call.fingerprints);
            trace.retry_after = RETENTION;
            return self.local_response(Outcome::NotRun(NotRun::CrashesTargets), RETENTION);
        }
        if !route.route.requires_key {
            return self.run_attempts(&mut call, trace).await;
        }
        match idempotency_key(&call) {
            Some(key) => self.serve_with_key(&mut call, key, trace).await,
            None => bad_request("this route needs an Idempotency-Key header of 1 to 256 bytes"),
        }
    }

    /// Claims the idempotency key of a request before it may run, and records its outcome.
    async fn serve_with_key(
        self: &Arc<Self>,
        call: &mut Call,
        key: KeyHash,
        trace: &mut RequestTrace,
    ) -> ResponseWithOutcome {
        let claim_id = AttemptId(fastrand::u128(..));
        let operation = self.submit_operation(KeyOperation::Claim(key, claim_id));
        match tokio::time::timeout_at(call.deadline, operation).await {
            Ok(Some(ClaimOutcome::Granted)) => {}
            Ok(Some(ClaimOutcome::Held(KeyState::Answered(status)))) => {
                return replayed_response(status);
            }
            Ok(Some(ClaimOutcome::Held(KeyState::Pending))) => {
                return self.local_response(
                    Outcome::Unknown(UnknownReason::KeyInDoubt),
                    RETRY_AFTER_DEFAULT,
                );
            }
            Ok(Some(ClaimOutcome::Full | ClaimOutcome::Unsettled) | None) | Err(_) => {
                return self.local_response(
                    Outcome::NotRun(NotRun::ClaimUnavailable),
                    RETRY_AFTER_DEFAULT,
                );
            }
        }
        let (response, outcome) = self.run_attempts(call, trace).await;
        let follow_up = match outcome {
            Outcome::Answered => Some(KeyOperation::Complete(
                key,
                claim_id,
                response.status().as_u16(),
            )),
            Outcome::NotRun(_) => Some(KeyOperation::Release(key, claim_id)),
            // The claim stays pending, so that a repeated request with this key does not run again.
            Outcome::Unknown(_) => None,
        };
        if let Some(operation) = follow_up {
            let node = self.clone();
            tokio::spawn(async move { node.submit_operation(operation).await });
        }
        (response, outcome)
    }
}

/// Finds the route for the host, path and method of a request.
fn find_route<'a>(table: &'a RoutingTable, request: &Request<Body>) -> Option<&'a Arc<RouteEntry>> {
    let host_header = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = request.uri().host().or(host_header).unwrap_or_default();
    table.route(host, request.uri().path(), request.method().as_str())
}

/// Returns the hash of the request's idempotency key, if it has a valid one.
fn idempotency_key(call: &Call) -> Option<KeyHash> {
    let key = call.headers.get(IDEMPOTENCY_KEY_HEADER)?.to_str().ok()?;
    let valid = (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&key.len());
    valid.then(|| KeyHash::new(call.service.as_str(), key))
}

/// Picks the service for the next request of a route, by the weights of the route's services.
fn pick_service(route: &RouteEntry) -> Path {
    let services = &route.route.service_weights;
    let weights: SmallVec<[u32; 4]> = services.iter().map(|s| s.weight).collect();
    let index = match services.len() {
        1 => 0,
        _ => traffic_split::weighted_index(&weights, route.next_request_number()),
    };
    services[index].service.clone()
}
