//! A target stand-in: slots, service time, cold start, shedding, lagging health, and a count of
//! runs by request id, by which a second run of one request is seen.

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
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::protocol::dialect::REQUEST_ID_HEADER;
use crate::protocol::headers::DEADLINE_HEADER;
use crate::transport::http::{
    Endpoint, empty, full, json as json_response, query_number, read_body,
};

/// Status with which the stand-in sheds.
pub const SHED_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Largest request body, in bytes.
const BODY_MAX: usize = 64 << 20;
/// Time after which a cut answer breaks off, so that its first half is on its way.
const CUT_DELAY: Duration = Duration::from_millis(30);
/// Bytes of an answer sent at once.
const CHUNK: usize = 16 << 10;

/// How a target behaves; may be changed while it runs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Requests run at once; more are shed.
    pub slots: u32,
    /// Time to run a request, in milliseconds.
    pub service_ms: u64,
    /// Time after start for which each request takes four times as long, in milliseconds.
    pub cold_ms: u64,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether the health page says that all is well.
    pub healthy: bool,
    /// Time by which the health and load pages lag, in milliseconds.
    pub lag_ms: u64,
    /// Whether the target drains: it finishes its work and sheds what comes.
    pub draining: bool,
    /// Whether answers are cut after their first half; they are sent without a length then.
    pub cut: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            slots: 12,
            service_ms: 2,
            cold_ms: 0,
            shed: false,
            healthy: true,
            lag_ms: 0,
            draining: false,
            cut: false,
        }
    }
}

/// What the health and load pages show.
#[derive(Clone, Copy, Debug, Serialize)]
struct Shown {
    healthy: bool,
    running: u32,
}

impl Default for Shown {
    fn default() -> Self {
        Shown {
            healthy: true,
            running: 0,
        }
    }
}

/// A target in this process.
pub struct Target {
    behaviour: Mutex<Behaviour>,
    runs: Mutex<HashMap<String, u32>>,
    running: AtomicU32,
    /// What the pages show, and since when.
    shown: Mutex<(Instant, Shown)>,
    started: Instant,
}

/// What an answer must hold: the request's own id, repeated to the asked length.
pub fn expected_answer(id: &str, length: usize) -> Vec<u8> {
    let unit = format!("{id};");
    unit.bytes().cycle().take(length.max(unit.len())).collect()
}

impl Target {
    /// A target with this behaviour.
    pub fn new(behaviour: Behaviour) -> Arc<Target> {
        Arc::new(Target {
            behaviour: Mutex::new(behaviour),
            runs: Mutex::new(HashMap::new()),
            running: AtomicU32::new(0),
            shown: Mutex::new((Instant::now(), Shown::default())),
            started: Instant::now(),
        })
    }

    /// Changes the behaviour.
    pub fn set(&self, behaviour: Behaviour) {
        *locked(&self.behaviour) = behaviour;
    }

    /// Requests that it runs at once.
    pub fn slots(&self) -> u32 {
        locked(&self.behaviour).slots
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// How often each request ran.
    pub fn runs(&self) -> HashMap<String, u32> {
        locked(&self.runs).clone()
    }

    async fn run(&self, request: Request<Body>) -> Response<Body> {
        let behaviour = *locked(&self.behaviour);
        let running = Running::new(&self.running);
        if behaviour.shed || behaviour.draining || running.count > behaviour.slots {
            return empty(SHED_STATUS);
        }
        let id = header(&request, REQUEST_ID_HEADER).unwrap_or_else(|| "none".to_string());
        let length = parameter(&request, "bytes").unwrap_or(0) as usize;
        let time = self.service_time(&request, behaviour);
        let left = header(&request, DEADLINE_HEADER).and_then(|v| v.parse().ok());
        // The run counts once the whole request is there, as an order book would count it.
        if read_body(request.into_body(), BODY_MAX).await.is_err() {
            return empty(StatusCode::BAD_REQUEST);
        }
        *locked(&self.runs).entry(id.clone()).or_default() += 1;
        match left.map(Duration::from_millis) {
            Some(left) if left < time => {
                tokio::time::sleep(left).await;
                return empty(StatusCode::GATEWAY_TIMEOUT);
            }
            // The runtime's timer rounds up to a millisecond, even from zero.
            _ if time.is_zero() => {}
            _ => tokio::time::sleep(time).await,
        }
        answer(&id, length, behaviour.cut)
    }

    /// What the health and load pages show: the state as it was up to `lag_ms` ago.
    fn pages(&self) -> Shown {
        let behaviour = *locked(&self.behaviour);
        let mut shown = locked(&self.shown);
        if shown.0.elapsed() >= Duration::from_millis(behaviour.lag_ms) {
            let now = Shown {
                healthy: behaviour.healthy && !behaviour.draining,
                running: self.running.load(Ordering::Acquire),
            };
            *shown = (Instant::now(), now);
        }
        shown.1
    }

    fn service_time(&self, request: &Request<Body>, behaviour: Behaviour) -> Duration {
        let asked = parameter(request, "ms").unwrap_or(behaviour.service_ms);
        let cold = self.started.elapsed() < Duration::from_millis(behaviour.cold_ms);
        Duration::from_millis(asked) * if cold { 4 } else { 1 }
    }

    async fn control(&self, request: Request<Body>) -> Response<Body> {
        let body = read_body(request.into_body(), CHUNK).await;
        let parsed = body.map(|b| serde_json::from_slice::<Behaviour>(&b));
        match parsed {
            Ok(Ok(behaviour)) => {
                self.set(behaviour);
                json_response(StatusCode::OK, &behaviour)
            }
            _ => empty(StatusCode::BAD_REQUEST),
        }
    }
}

impl Endpoint for Target {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/_/health") => empty(if self.pages().healthy {
                StatusCode::OK
            } else {
                StatusCode::INTERNAL_SERVER_ERROR
            }),
            (&Method::GET, "/_/load") => json_response(StatusCode::OK, &self.pages()),
            (&Method::GET, "/_/runs") => json_response(StatusCode::OK, &self.runs()),
            (&Method::POST, "/_/behaviour") => self.control(request).await,
            _ => self.run(request).await,
        }
    }
}

struct Running<'a> {
    running: &'a AtomicU32,
    count: u32,
}

impl<'a> Running<'a> {
    fn new(running: &'a AtomicU32) -> Running<'a> {
        let count = running.fetch_add(1, Ordering::AcqRel) + 1;
        Running { running, count }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

fn answer(id: &str, length: usize, cut: bool) -> Response<Body> {
    let bytes = expected_answer(id, length);
    let whole = bytes.len();
    let mut response = if whole <= CHUNK && !cut {
        full(StatusCode::OK, "text/plain", bytes)
    } else {
        Response::new(stream(bytes, cut))
    };
    let headers = response.headers_mut();
    if !cut {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(whole));
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}

fn stream(bytes: Vec<u8>, cut: bool) -> Body {
    let keep = if cut { bytes.len() / 2 } else { bytes.len() };
    let chunks: Vec<Bytes> = bytes[..keep]
        .chunks(CHUNK)
        .map(Bytes::copy_from_slice)
        .collect();
    let frames = chunks.into_iter().map(|c| Ok(Frame::data(c)));
    let frames = futures_util::stream::iter(frames);
    if !cut {
        return Body::new(StreamBody::new(frames));
    }
    let end = futures_util::stream::once(async {
        tokio::time::sleep(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    Body::new(StreamBody::new(frames.chain(end).boxed()))
}

fn header(request: &Request<Body>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_string)
}

fn parameter(request: &Request<Body>, name: &str) -> Option<u64> {
    query_number(request.uri().query()?, name)
}

fn locked<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}
