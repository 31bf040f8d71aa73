//! HTTP server on top of gotham, with its own accept loop to support graceful shutdown.
//!
//! Gotham's `bind_server` never returns and cannot be stopped. This module therefore accepts the
//! connections itself, serves them with hyper, and passes each request to gotham's `call_handler`.
//! Gotham boxes the future of the handler; nothing else on the request path uses dynamic dispatch.

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
use gotham::state::{FromState, State, client_addr};
use http_body::Body as HttpBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::graceful::{Shutdown, ShutdownWatch, serve_until_shutdown};
use super::pipeline::{EarlyRequest, LookaheadStream, PipelineState, ResponseGuard};
use super::reset::{EndsWithConnection, ResetGuard};
use super::stall::StallGuard;
use crate::state::object::Limits;

/// Maximum number of headers in a request.
const HEADERS_MAX: usize = 128;
/// Delay before the next accept after an accept error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the HTTP requests of a listener.
pub trait Endpoint: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the caller disconnects.
    fn call(self: Arc<Self>, request: Request<Body>)
    -> impl Future<Output = Response<Body>> + Send;

    /// Whether a request without a body may start while an earlier request on the same connection
    /// is still in progress. A request that is started early may run even though its caller never
    /// receives the response.
    fn may_start_early(&self, _request: &Request<Body>) -> bool {
        false
    }

    /// Whether callers are to open no further connections, because the process will stop. A connection is
    /// then closed with the answer to the last request that has been started.
    fn is_leaving(&self) -> bool {
        false
    }

    /// Limits on requests and connections of callers. Read once for each new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Maximum number of concurrent connections; further ones wait in the backlog of the socket.
    pub max_connections: usize,
    /// Maximum time for which a shutdown waits for requests in flight.
    pub drain_timeout: Duration,
}

/// Address from which a request was sent. Requests to an endpoint carry it as an extension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress(pub SocketAddr);

struct EndpointHandler<E>(Arc<E>);

impl<E> Clone for EndpointHandler<E> {
    fn clone(&self) -> Self {
        EndpointHandler(self.0.clone())
    }
}

impl<E> UnwindSafe for EndpointHandler<E> {}
impl<E> RefUnwindSafe for EndpointHandler<E> {}

impl<E: Endpoint> NewHandler for EndpointHandler<E> {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<E: Endpoint> Handler for EndpointHandler<E> {
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
    if let Some(peer) = client_addr(state) {
        request.extensions_mut().insert(PeerAddress(peer));
    }
    request
}

/// Serves requests until `stop` becomes true, then waits for the requests in flight.
///
/// Returns whether all connections ended within the drain timeout.
pub async fn serve<E: Endpoint>(
    listener: TcpListener,
    endpoint: Arc<E>,
    limits: ServeLimits,
    mut stop: watch::Receiver<bool>,
) -> bool {
    let shutdown = Shutdown::default();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit.expect("semaphore is never closed"),
            _ = stop.wait_for(|s| *s) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, endpoint.clone(), shutdown.watch());
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!("no connection accepted: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_backlog(listener, &endpoint, &shutdown);
    let drained = tokio::time::timeout(limits.drain_timeout, shutdown.finish()).await;
    if drained.is_err() {
        log::warn!(
            "drain timeout; connections with requests in progress are closed connections={} timeout_ms={}",
            shutdown.open_connections(),
            limits.drain_timeout.as_millis()
        );
    }
    drained.is_ok()
}

/// Serves the connections that the operating system has established but that were not accepted yet,
/// and closes the listener. Closing it first would reset them, although their callers may have sent
/// requests. Their number is bounded by the backlog of the socket.
fn accept_backlog<E: Endpoint>(listener: TcpListener, endpoint: &Arc<E>, shutdown: &Shutdown) {
    // Of the runtime's listener only connections that the runtime has been notified of could be
    // accepted without waiting.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(e) => return log::warn!("connections that wait to be accepted are reset: {e}"),
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match stream {
            Ok(stream) => {
                tokio::spawn(serve_connection(stream, endpoint.clone(), shutdown.watch()));
            }
            Err(e) => log::warn!("a connection that waited to be accepted is reset: {e}"),
        }
    }
}

async fn serve_connection<E: Endpoint>(
    stream: TcpStream,
    endpoint: Arc<E>,
    shutdown: ShutdownWatch,
) {
    let Ok(peer) = stream.peer_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let limits = endpoint.limits();
    let pipeline = Arc::new(PipelineState::default());
    let start_early = {
        let endpoint = endpoint.clone();
        move |request: Request<Body>| {
            let allowed = !endpoint.is_leaving() && endpoint.may_start_early(&request);
            allowed
                .then(|| EarlyRequest::new(tokio::spawn(handle(endpoint.clone(), request, peer))))
        }
    };
    let ends = EndsWithConnection::default();
    let stream = StallGuard::new(ResetGuard::new(stream, ends.clone()));
    let stream = LookaheadStream::new(stream, pipeline.clone(), start_early);
    let reader_state = pipeline.clone();
    let service = service_fn(move |mut request: Request<hyper::body::Incoming>| {
        let endpoint = endpoint.clone();
        let guard = ResponseGuard(pipeline.clone());
        let leaving = endpoint.clone();
        pipeline.set_waited(request.headers_mut());
        ends.set(request.version() == Version::HTTP_10);
        async move {
            let response = match guard.0.take_early_request() {
                Some(early) => early.response().await,
                None => Some(handle(endpoint, request, peer).await),
            };
            let internal_error = || empty_response(StatusCode::INTERNAL_SERVER_ERROR);
            let mut response = response.unwrap_or_else(internal_error);
            // Requests that were started early run already, and their answers would be lost.
            if leaving.is_leaving() && !guard.0.has_started_behind() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // This timer also runs between requests, so it must not be shorter than the idle timeout.
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.max_head_bytes)
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // The caller causes the errors: it disconnected, or what it sent is not HTTP.
    if let Err(e) = serve_until_shutdown(connection, reader_state, shutdown).await {
        log::debug!("connection of {peer} ended: {e}");
    }
}

/// Handles one request through gotham, which catches panics of the endpoint.
async fn handle<E, B>(endpoint: Arc<E>, request: Request<B>, peer: SocketAddr) -> Response<Body>
where
    E: Endpoint,
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let state = State::from_request(request, peer);
    let response = call_handler(EndpointHandler(endpoint), AssertUnwindSafe(state)).await;
    response.unwrap_or_else(|e| {
        log::error!("request failed: {e}");
        empty_response(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let body = Body::new(Empty::new().map_err(|never| match never {}));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates a response with a body of the given media type.
pub fn body_response(
    status: StatusCode,
    media_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let media_type = hyper::header::HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, media_type);
    response
}

/// Creates a response with `value` as JSON.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    body_response(status, "application/json", text)
}

/// Creates a body that is held in memory.
pub fn full_body(body: impl Into<Bytes>) -> Body {
    Body::new(Full::new(body.into()).map_err(|never| match never {}))
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// [`io::ErrorKind::FileTooLarge`] if the body is larger, or the I/O error if the transfer fails.
pub async fn read_body(body: Body, max_bytes: usize) -> io::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, max_bytes);
    let collected = limited.collect().await.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            io::Error::from(io::ErrorKind::FileTooLarge)
        } else {
            io::Error::other(e)
        }
    })?;
    Ok(collected.to_bytes())
}

/// Returns the value of a numeric parameter of a query such as `a=1&b=2`.
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
