//! The pooled HTTP client for the next hop, with what its errors prove.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which written bytes may stay unacknowledged before the connection counts as broken:
/// a lost zone swallows packets rather than refusing them.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an unused connection to another node is kept.
/// Shorter than the time after which a gate closes one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Proofs in a row that may stay away.
const KEEPALIVE_RETRIES: u32 = 2;
/// Most unused connections kept to one address.
const IDLE_MAX: usize = 64;

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was made, so no byte of the request was written.
    NotSent,
    /// The connection broke after it was made; bytes may have been written.
    Broken,
}

/// The connection that a request went over.
#[derive(Debug)]
pub struct ConnectionHandle(CaptureConnection);

impl ConnectionHandle {
    /// Keeps the connection from being used again.
    pub fn discard(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

/// A pooled HTTP/1.1 client.
#[derive(Clone, Debug)]
pub struct HttpClient(Client<HttpConnector, Body>);

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::with_idle_timeout(IDLE_TIMEOUT)
    }
}

impl HttpClient {
    /// A client that keeps unused connections for a time.
    pub fn with_idle_timeout(idle: Duration) -> HttpClient {
        HttpClient::build(HttpConnector::new(), idle)
    }

    /// A client whose connections must prove, after each interval of silence, that they still
    /// stand. A long wait for an answer then ends soon after the connection went silent.
    pub fn with_keepalive(interval: Duration) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_keepalive(Some(interval));
        connector.set_keepalive_interval(Some(interval));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        HttpClient::build(connector, IDLE_TIMEOUT)
    }

    fn build(mut connector: HttpConnector, idle: Duration) -> HttpClient {
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        // The pool itself sends a request again when a kept connection proves closed before the
        // request was written to it: it then still holds the request whole.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(IDLE_MAX)
            .build(connector);
        HttpClient(client)
    }

    /// Sends a request to an address, keeping the request's path and query.
    ///
    /// # Errors
    /// [`SendError`] tells whether the request may have been written.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        let (answer, _) = self.send_tracked(to, request).await;
        answer
    }

    /// Sends a request as [`HttpClient::send`] does, and tells which connection it went over.
    pub async fn send_tracked(
        &self,
        to: SocketAddr,
        mut request: Request<Body>,
    ) -> (Result<Response<Body>, SendError>, ConnectionHandle) {
        let route = ConnectionHandle(capture_connection(&mut request));
        (self.exchange(to, request).await, route)
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
        let response = self.0.request(request).await.map_err(classify)?;
        Ok(response.map(streamed))
    }
}

fn classify(e: Error) -> SendError {
    if e.is_connect() {
        SendError::NotSent
    } else {
        SendError::Broken
    }
}

fn streamed(body: Incoming) -> Body {
    Body::new(body.map_err(io::Error::other))
}
