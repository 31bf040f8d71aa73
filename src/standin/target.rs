//! A target stand-in: an HTTP server with a limited number of slots, a service time, a cold start,
//! load shedding and delayed health reports.
//!
//! It counts how often each request id was run, so that tests can detect a request that ran twice. A
//! request with the query parameter `crash` aborts the process once it has run.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::protocol::dialect::REQUEST_ID_HEADER;
use crate::protocol::headers::{
    ATTEMPT_ID_HEADER, DEADLINE_HEADER, TARGET_LEAVING_HEADER, TARGET_RATE_HEADER,
};
use crate::transport::http::{
    Endpoint, body_response, empty_response, json_response, query_number, read_body,
};

/// Status of responses to shed requests.
pub const SHED_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Largest request body, in bytes.
const BODY_MAX_BYTES: usize = 64 << 20;
/// Delay before a cut response is aborted, so that the first half of the body is sent before that.
const CUT_DELAY: Duration = Duration::from_millis(30);
/// Chunk size of streamed response bodies; also the largest body of a behaviour update.
const CHUNK_BYTES: usize = 16 << 10;

/// How a target behaves; can be changed at run time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Maximum number of concurrent requests; further ones are shed.
    pub slots: u32,
    /// Service time of a request without an `ms` query parameter, in milliseconds.
    pub service_ms: u64,
    /// Cold start: time after the start during which each request takes four times as long, in
    /// milliseconds.
    pub cold_ms: u64,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether the health page reports the target as healthy while it does not drain.
    pub healthy: bool,
    /// Maximum age of the state that the health and load pages show, in milliseconds.
    pub lag_ms: u64,
    /// Whether the target drains: it finishes running requests and sheds new ones.
    pub draining: bool,
    /// Request rate that all responses name, in requests per second; zero for none.
    pub rate: f64,
    /// Whether all responses say that the target is leaving.
    pub says_leaving: bool,
    /// Whether responses are aborted after the first half of the body. They have no
    /// `content-length` then.
    pub cut: bool,
}

impl Behaviour {
    /// A warm target with 12 slots that answers each request after 2 ms.
    pub const NORMAL: Behaviour = Behaviour {
        slots: 12,
        service_ms: 2,
        cold_ms: 0,
        shed: false,
        healthy: true,
        lag_ms: 0,
        draining: false,
        rate: 0.0,
        says_leaving: false,
        cut: false,
    };
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour::NORMAL
    }
}

/// State that the health and load pages show.
#[derive(Clone, Copy, Debug, Serialize)]
struct PublishedState {
    healthy: bool,
    running: u32,
}

impl Default for PublishedState {
    fn default() -> Self {
        PublishedState {
            healthy: true,
            running: 0,
        }
    }
}

/// A time during which a target named a rate in its answers, and the requests that arrived.
#[derive(Clone, Debug)]
pub struct RatePeriod {
    /// The rate, in requests per second.
    pub rate: f64,
    /// When the first answer named the rate; `None` if there was none.
    pub named_at: Option<Instant>,
    /// Requests that arrived after that.
    pub arrivals: Vec<Instant>,
}

/// A target stand-in.
pub struct Target {
    behaviour: Mutex<Behaviour>,
    /// The current period, if the target names a rate in addition to its behaviour.
    rate_period: Mutex<Option<RatePeriod>>,
    runs: Mutex<HashMap<String, u32>>,
    running: AtomicU32,
    /// State that the health and load pages show, and when it was recorded.
    published: Mutex<(Instant, PublishedState)>,
    started: Instant,
}

/// Returns the body of a correct response: the request id and a semicolon, repeated and truncated
/// to `length` bytes, but at least one complete copy.
pub fn expected_body(id: &str, length: usize) -> Vec<u8> {
    let pattern = format!("{id};");
    pattern
        .bytes()
        .cycle()
        .take(length.max(pattern.len()))
        .collect()
}

impl Target {
    /// Creates a target.
    pub fn new(behaviour: Behaviour) -> Arc<Target> {
        Arc::new(Target {
            behaviour: Mutex::new(behaviour),
            rate_period: Mutex::new(None),
            runs: Mutex::new(HashMap::new()),
            running: AtomicU32::new(0),
            published: Mutex::new((Instant::now(), PublishedState::default())),
            started: Instant::now(),
        })
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    /// Starts to name a rate, whatever the behaviour is.
    pub fn start_naming_rate(&self, rate: f64) {
        *lock(&self.rate_period) = Some(RatePeriod {
            rate,
            named_at: None,
            arrivals: Vec::new(),
        });
    }

    /// Ends the period that [`Target::start_naming_rate`] started.
    pub fn stop_naming_rate(&self) -> Option<RatePeriod> {
        lock(&self.rate_period).take()
    }

    /// Maximum number of concurrent requests.
    pub fn slots(&self) -> u32 {
        lock(&self.behaviour).slots
    }

    /// Number of requests that are running now.
    pub fn running_requests(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// How often each request ran, by request id.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        lock(&self.runs).clone()
    }

    async fn handle_request(&self, request: Request<Body>) -> Response<Body> {
        if let Some(period) = &mut *lock(&self.rate_period)
            && period.named_at.is_some()
        {
            period.arrivals.push(Instant::now());
        }
        let behaviour = *lock(&self.behaviour);
        let running = RunningGuard::new(&self.running);
        if behaviour.shed || behaviour.draining || running.count > behaviour.slots {
            return empty_response(SHED_STATUS);
        }
        let id = header_value(&request, REQUEST_ID_HEADER).unwrap_or_else(|| "none".to_string());
        let length = query_parameter(&request, "bytes").unwrap_or(0) as usize;
        let service_time = self.service_time(&request, behaviour);
        let crashes = query_parameter(&request, "crash").is_some();
        let remaining = header_value(&request, DEADLINE_HEADER).and_then(|v| v.parse().ok());
        // A request counts as run only when its body has arrived completely, because a real target
        // would not execute an order before that.
        if read_body(request.into_body(), BODY_MAX_BYTES)
            .await
            .is_err()
        {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        *lock(&self.runs).entry(id.clone()).or_default() += 1;
        if crashes {
            tokio::time::sleep(service_time).await;
            std::process::abort();
        }
        match remaining.map(Duration::from_millis) {
            Some(remaining) if remaining < service_time => {
                tokio::time::sleep(remaining).await;
                return empty_response(StatusCode::GATEWAY_TIMEOUT);
            }
            // A zero sleep would still take up to a millisecond: the runtime's timer rounds up.
            _ if service_time.is_zero() => {}
            _ => tokio::time::sleep(service_time).await,
        }
        build_response(&id, length, behaviour.cut)
    }

    /// The state for the health and load pages, which may be up to `lag_ms` old.
    fn published_state(&self) -> PublishedState {
        let behaviour = *lock(&self.behaviour);
        let mut published = lock(&self.published);
        if published.0.elapsed() >= Duration::from_millis(behaviour.lag_ms) {
            let current = PublishedState {
                healthy: behaviour.healthy && !behaviour.draining,
                running: self.running.load(Ordering::Acquire),
            };
            *published = (Instant::now(), current);
        }
        published.1
    }

    fn service_time(&self, request: &Request<Body>, behaviour: Behaviour) -> Duration {
        let requested = query_parameter(request, "ms").unwrap_or(behaviour.service_ms);
        let cold = self.started.elapsed() < Duration::from_millis(behaviour.cold_ms);
        Duration::from_millis(requested) * if cold { 4 } else { 1 }
    }

    async fn update_behaviour(&self, request: Request<Body>) -> Response<Body> {
        let body = read_body(request.into_body(), CHUNK_BYTES).await;
        let parsed = body.map(|b| serde_json::from_slice::<Behaviour>(&b));
        match parsed {
            Ok(Ok(behaviour)) => {
                self.set_behaviour(behaviour);
                json_response(StatusCode::OK, &behaviour)
            }
            _ => empty_response(StatusCode::BAD_REQUEST),
        }
    }
}

impl Endpoint for Target {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let attempt = request.headers().get(ATTEMPT_ID_HEADER).cloned();
        let mut response = self.route_request(request).await;
        if let Some(attempt) = attempt {
            response.headers_mut().insert(ATTEMPT_ID_HEADER, attempt);
        }
        self.add_notices(response.headers_mut());
        response
    }
}

impl Target {
    /// Adds what the target says about itself to a response.
    fn add_notices(&self, headers: &mut HeaderMap) {
        let behaviour = *lock(&self.behaviour);
        let mut rate = behaviour.rate;
        if let Some(period) = &mut *lock(&self.rate_period) {
            period.named_at.get_or_insert_with(Instant::now);
            rate = period.rate;
        }
        if rate > 0.0
            && let Ok(rate) = HeaderValue::from_str(&rate.to_string())
        {
            headers.insert(TARGET_RATE_HEADER, rate);
        }
        if behaviour.says_leaving {
            headers.insert(TARGET_LEAVING_HEADER, HeaderValue::from_static("1"));
        }
    }

    async fn route_request(&self, request: Request<Body>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/_/health") => empty_response(if self.published_state().healthy {
                StatusCode::OK
            } else {
                StatusCode::INTERNAL_SERVER_ERROR
            }),
            (&Method::GET, "/_/load") => json_response(StatusCode::OK, &self.published_state()),
            (&Method::GET, "/_/runs") => json_response(StatusCode::OK, &self.run_counts()),
            (&Method::POST, "/_/behaviour") => self.update_behaviour(request).await,
            _ => self.handle_request(request).await,
        }
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard<'a> {
    running: &'a AtomicU32,
    /// Number of running requests, including this one, when it started.
    count: u32,
}

impl<'a> RunningGuard<'a> {
    fn new(running: &'a AtomicU32) -> RunningGuard<'a> {
        let count = running.fetch_add(1, Ordering::AcqRel) + 1;
        RunningGuard { running, count }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

fn build_response(id: &str, length: usize, cut: bool) -> Response<Body> {
    let bytes = expected_body(id, length);
    let body_bytes = bytes.len();
    let mut response = if body_bytes <= CHUNK_BYTES && !cut {
        body_response(StatusCode::OK, "text/plain", bytes)
    } else {
        Response::new(body_stream(bytes, cut))
    };
    let headers = response.headers_mut();
    if !cut {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body_bytes));
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}

fn body_stream(bytes: Vec<u8>, cut: bool) -> Body {
    let sent_bytes = if cut { bytes.len() / 2 } else { bytes.len() };
    let chunks: Vec<Bytes> = bytes[..sent_bytes]
        .chunks(CHUNK_BYTES)
        .map(Bytes::copy_from_slice)
        .collect();
    let frames = chunks.into_iter().map(|c| Ok(Frame::data(c)));
    let frames = futures_util::stream::iter(frames);
    if !cut {
        return Body::new(StreamBody::new(frames));
    }
    let abort = futures_util::stream::once(async {
        tokio::time::sleep(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    Body::new(StreamBody::new(frames.chain(abort).boxed()))
}

fn header_value(request: &Request<Body>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_string)
}

fn query_parameter(request: &Request<Body>, name: &str) -> Option<u64> {
    query_number(request.uri().query()?, name)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
