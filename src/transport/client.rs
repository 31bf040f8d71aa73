//! Pooled HTTP client for the next hop of a request. Its errors state whether the request may
//! have been sent.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gotham::helpers::http::Body;
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Uri, Version};
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::cut::{CutConnector, cut_off, is_unwritten};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may remain unacknowledged before the connection is closed. When a zone is
/// lost, its packets are dropped silently and connections to it are not reset.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection to another node stays in the pool. Shorter than the idle timeout of
/// a gate, so that the client closes a connection before the gate does.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Unanswered TCP keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Maximum number of idle connections in the pool for each address.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Largest read from a connection, which also limits the size of a response's head.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of interim responses (1xx) to one request.
const INTERIM_RESPONSES_MAX: usize = 16;

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was established, or it ended before the request was written to it, so no byte of
    /// the request was sent.
    NotSent,
    /// The connection failed after it was established. Part or all of the request may have been
    /// sent, so its outcome is indeterminate.
    Broken,
}

/// The connection over which a request was sent.
#[derive(Debug)]
pub struct ConnectionHandle(CaptureConnection);

impl ConnectionHandle {
    /// Prevents the pool from reusing the connection.
    pub fn discard(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

/// Counts the interim responses (1xx) to one request, and cuts off the connection once there are too many.
struct InterimCounter {
    count: AtomicUsize,
    connection: CaptureConnection,
}

impl InterimCounter {
    fn new(connection: &ConnectionHandle) -> InterimCounter {
        InterimCounter {
            count: AtomicUsize::new(0),
            connection: connection.0.clone(),
        }
    }

    fn count(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == INTERIM_RESPONSES_MAX {
            cut_off(&self.connection);
        }
    }
}

/// A pooled HTTP/1.1 client.
#[derive(Clone, Debug)]
pub struct HttpClient(Client<CutConnector, Body>);

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::with_idle_timeout(IDLE_TIMEOUT)
    }
}

impl HttpClient {
    /// Creates a client that closes connections that have been idle for `idle_timeout`.
    pub fn with_idle_timeout(idle_timeout: Duration) -> HttpClient {
        HttpClient::build(HttpConnector::new(), idle_timeout, IDLE_CONNECTIONS_MAX)
    }

    /// Creates a client that opens a connection for each request.
    pub fn unpooled() -> HttpClient {
        HttpClient::build(HttpConnector::new(), IDLE_TIMEOUT, 0)
    }

    /// Creates a client that sends TCP keepalive probes on silent connections at this interval, so
    /// that a long wait for a response ends soon after the connection is lost.
    pub fn with_keepalive(interval: Duration) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_keepalive(Some(interval));
        connector.set_keepalive_interval(Some(interval));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        HttpClient::build(connector, IDLE_TIMEOUT, IDLE_CONNECTIONS_MAX)
    }

    fn build(mut connector: HttpConnector, idle_timeout: Duration, idle_max: usize) -> HttpClient {
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        // If a pooled connection turns out to be closed before the request was written to it, the
        // pool still owns the whole request and sends it again on another connection.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(idle_max)
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(CutConnector(connector));
        HttpClient(client)
    }

    /// Sends a request to an address. The path and query of the request are kept.
    ///
    /// # Errors
    /// [`SendError`] tells whether the request may have been sent.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let (response, _) = self.send_tracked(to, request).await;
        response
    }

    /// Like [`HttpClient::send`], for a server whose responses do not tell which request they belong to.
    /// A refusal (a status that is no success) ends its connection: one that the server repeats
    /// would be taken for the response to the next request.
    ///
    /// # Errors
    /// [`SendError`] tells whether the request may have been sent.
    pub async fn send_refusable(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let (response, connection) = self.send_tracked(to, request).await;
        if response.as_ref().is_ok_and(|r| !r.status().is_success()) {
            connection.discard();
        }
        response
    }

    /// Like [`HttpClient::send`], but also returns a handle to the connection that was used.
    pub async fn send_tracked(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
    ) -> (Result<Response<Body>, SendError>, ConnectionHandle) {
        let connection = ConnectionHandle(capture_connection(&mut request));
        let interim = InterimCounter::new(&connection);
        hyper::ext::on_informational(&mut request, move |_| interim.count());
        let result = match self.exchange(to, request).await {
            Err(SendError::Broken) if is_unwritten(&connection.0) => Err(SendError::NotSent),
            Ok(response) if !is_final(response.status()) => {
                log::warn!(
                    "a response without a final status from={to} status={}",
                    response.status().as_u16()
                );
                // What follows on this connection cannot be trusted either.
                connection.discard();
                Err(SendError::Broken)
            }
            other => other,
        };
        (result, connection)
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let path = request.uri().path_and_query().cloned();
        let uri = Uri::builder().scheme("http").authority(to.to_string());
        let path = path.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/"));
        *request.uri_mut() = uri
            .path_and_query(path)
            .build()
            .map_err(|_| SendError::NotSent)?;
        frame_body(&mut request);
        let mut response = self.0.request(request).await.map_err(send_error)?;
        // The version concerns this connection. A server that forwards the response would otherwise
        // answer its caller in that version, and one of HTTP/1.0 has no chunks.
        *response.version_mut() = Version::HTTP_11;
        Ok(response.map(streaming_body))
    }
}

/// Names the framing of a body without a length. The HTTP library would not send that of a request whose
/// method seldom has one.
fn frame_body(request: &mut Request<Body>) {
    let has_length = request.headers().contains_key(CONTENT_LENGTH);
    if !has_length
        && !request.body().is_end_stream()
        && request.body().size_hint().exact().is_none()
    {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
}

/// Whether a status ends a request: 200 to 599. The HTTP library rejects those that are no number of
/// three digits and those below 100, skips 1xx except 101, which is no answer to a request that asks for
/// no other protocol, and takes any above for a response.
fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

fn send_error(e: Error) -> SendError {
    if e.is_connect() {
        SendError::NotSent
    } else {
        SendError::Broken
    }
}

fn streaming_body(body: Incoming) -> Body {
    Body::new(body.map_err(io::Error::other))
}
