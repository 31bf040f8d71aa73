//! Serving HTTP through gotham, with an accept loop of its own for graceful shutdown.
//!
//! Gotham's `bind_server` never returns and cannot be stopped, so connections are accepted here,
//! served by hyper, and each request is handed to gotham's `call_handler`. Gotham boxes the
//! handler's future; nothing else on the request path is dispatched dynamically.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, RefUnwindSafe, UnwindSafe};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::service::call_handler;
use gotham::state::{FromState, State};
use http_body::Body as HttpBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::pipeline::{Lookahead, Started, Turn, TurnGuard};
use super::stall::StallGuard;
use crate::state::object::Limits;

/// Most headers of a request.
const HEADERS_MAX: usize = 128;
/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Endpoint: Send + Sync + 'static {
    /// Answers one request. A dropped future means that the caller went away.
    fn call(self: Arc<Self>, request: Request<Body>)
    -> impl Future<Output = Response<Body>> + Send;

    /// Whether a request without a body may be started while an earlier one on its connection is
    /// still answered. It may then run though its caller never hears of it.
    fn may_start_early(&self, _request: &Request<Body>) -> bool {
        false
    }

    /// Bounds on what callers may send, taken for each new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Bounds on a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Most connections at once; more wait in the backlog.
    pub connections: usize,
    /// Longest time that a stop waits for requests in flight.
    pub drain: Duration,
}

struct Entry<E>(Arc<E>);

impl<E> Clone for Entry<E> {
    fn clone(&self) -> Self {
        Entry(self.0.clone())
    }
}

impl<E> UnwindSafe for Entry<E> {}
impl<E> RefUnwindSafe for Entry<E> {}

impl<E: Endpoint> NewHandler for Entry<E> {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<E: Endpoint> Handler for Entry<E> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let request = take_request(&mut state);
            let response = self.0.call(request).await;
            Ok((state, response))
        })
    }
}

fn take_request(state: &mut State) -> Request<Body> {
    let mut request = Request::new(Body::take_from(state));
    *request.method_mut() = Method::take_from(state);
    *request.uri_mut() = Uri::take_from(state);
    *request.headers_mut() = HeaderMap::take_from(state);
    request
}

/// Serves until `stop` turns true, then finishes the requests in flight.
///
/// Returns whether every connection ended within the drain time.
pub async fn serve<E: Endpoint>(
    listener: TcpListener,
    endpoint: Arc<E>,
    limits: ServeLimits,
    mut stop: watch::Receiver<bool>,
) -> bool {
    let graceful = GracefulShutdown::new();
    let room = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = tokio::select! {
            permit = room.clone().acquire_owned() => permit.expect("never closed"),
            _ = stop.wait_for(|s| *s) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(stream, endpoint.clone(), graceful.watcher());
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    tokio::time::timeout(limits.drain, graceful.shutdown())
        .await
        .is_ok()
}

async fn connection<E: Endpoint>(
    stream: TcpStream,
    endpoint: Arc<E>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    let Ok(peer) = stream.peer_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let limits = endpoint.limits();
    let turn = Arc::new(Turn::default());
    let early = {
        let endpoint = endpoint.clone();
        move |request: Request<Body>| {
            let may = endpoint.may_start_early(&request);
            may.then(|| Started::new(tokio::spawn(answer(endpoint.clone(), request, peer))))
        }
    };
    let stream = Lookahead::new(StallGuard::new(stream), turn.clone(), early);
    let service = service_fn(move |request: Request<hyper::body::Incoming>| {
        let endpoint = endpoint.clone();
        let turn = TurnGuard(turn.clone());
        async move {
            let answered = match turn.0.take() {
                Some(started) => started.answer().await,
                None => Some(answer(endpoint, request, peer).await),
            };
            let failed = || empty(StatusCode::INTERNAL_SERVER_ERROR);
            Ok::<_, Infallible>(answered.unwrap_or_else(failed))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The timer runs between requests too, so it must not be shorter than the idle time.
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.max_head_bytes)
        .auto_date_header(false);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    // An error here is the caller's: it broke off or sent what is not HTTP.
    let _ = watcher.watch(served).await;
}

/// Answers one request through gotham, which keeps a panic of the endpoint from going further.
async fn answer<E, B>(endpoint: Arc<E>, request: Request<B>, peer: SocketAddr) -> Response<Body>
where
    E: Endpoint,
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let state = State::from_request(request, peer);
    let answered = call_handler(Entry(endpoint), AssertUnwindSafe(state)).await;
    answered.unwrap_or_else(|e| {
        log::error!("request failed: {e}");
        empty(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let body = Body::new(Empty::new().map_err(|never| match never {}));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A response with a body of the given media type.
pub fn full(status: StatusCode, media: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let media = hyper::header::HeaderValue::from_static(media);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, media);
    response
}

/// A JSON response.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    full(status, "application/json", text)
}

/// A body that is whole in memory.
pub fn full_body(body: impl Into<Bytes>) -> Body {
    Body::new(Full::new(body.into()).map_err(|never| match never {}))
}

/// Reads a body whole, up to a bound in bytes.
///
/// # Errors
/// [`io::ErrorKind::FileTooLarge`] beyond the bound; the transfer's error when it broke off.
pub async fn read_body(body: Body, most: usize) -> io::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, most);
    let collected = limited.collect().await.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            io::Error::from(io::ErrorKind::FileTooLarge)
        } else {
            io::Error::other(e)
        }
    })?;
    Ok(collected.to_bytes())
}

/// A number in a query such as `a=1&b=2`.
///
/// ```
/// use tarragoncourse::transport::http::query_number;
/// assert_eq!(query_number("a=1&b=2", "b"), Some(2));
/// assert_eq!(query_number("a=1", "b"), None);
/// ```
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let (_, value) = pairs.find(|(n, _)| *n == name)?;
    value.parse().ok()
}
