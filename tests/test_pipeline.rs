//! Pipelined requests on one connection: order of the responses, concurrency, and cancellation.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{Method, Request, Response, StatusCode};
use tarragoncourse::transport::http::{Endpoint, ServeLimits, body_response, read_body, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Endpoint that responds with the request's path and body length. The last segment of the path is
/// the delay of the response in milliseconds.
#[derive(Default)]
struct SlowEndpoint {
    /// Number of requests that are running.
    running: AtomicU32,
    max_running: AtomicU32,
    completed: AtomicU32,
    /// `start PATH` and `end PATH` of each request, in order.
    events: Mutex<Vec<String>>,
}

/// Decrements the number of running requests when a request completes or is cancelled.
struct RunningGuard<'a>(&'a SlowEndpoint);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Endpoint for SlowEndpoint {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(running, Ordering::SeqCst);
        let guard = RunningGuard(&self);
        let path = request.uri().path().to_string();
        self.events.lock().unwrap().push(format!("start {path}"));
        let body = read_body(request.into_body(), 1 << 20).await;
        let delay_ms = path.rsplit('/').next().and_then(|ms| ms.parse().ok());
        tokio::time::sleep(Duration::from_millis(delay_ms.unwrap_or(0))).await;
        self.completed.fetch_add(1, Ordering::SeqCst);
        self.events.lock().unwrap().push(format!("end {path}"));
        drop(guard);
        let length = body.map_or(0, |b| b.len());
        body_response(StatusCode::OK, "text/plain", format!("{path}+{length};"))
    }

    fn may_start_early(&self, request: &Request<Body>) -> bool {
        request.method() == Method::GET
    }
}

/// Endpoint that responds, after a delay, with the time that the request is said to have waited.
struct Waited(Duration);

impl Endpoint for Waited {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let waited = request.headers().get("tarragon-waited-ms");
        let waited = waited.map_or("0", |w| w.to_str().unwrap()).to_string();
        let _ = read_body(request.into_body(), 1 << 20).await;
        tokio::time::sleep(self.0).await;
        body_response(StatusCode::OK, "text/plain", format!("{waited};"))
    }
}

async fn start_waited(delay: Duration) -> (SocketAddr, watch::Sender<bool>) {
    start_endpoint(Arc::new(Waited(delay))).await
}

async fn start_endpoint<E: Endpoint>(endpoint: Arc<E>) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let limits = ServeLimits {
        max_connections: 16,
        drain_timeout: Duration::from_secs(1),
    };
    tokio::spawn(serve(listener, endpoint, limits, stopped));
    (address, stop)
}

async fn start_server() -> (Arc<SlowEndpoint>, SocketAddr, watch::Sender<bool>) {
    let endpoint = Arc::new(SlowEndpoint::default());
    let (address, stop) = start_endpoint(endpoint.clone()).await;
    (endpoint, address, stop)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads until `count` bodies, each ending with `;`, have arrived, and returns them in order.
async fn read_bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while text.matches(';').count() < count {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut bytes));
        let n = read.await.expect("a response arrives in time").unwrap();
        assert!(n > 0, "the connection was closed: {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
    let lines = text.lines().filter(|l| l.contains(';'));
    lines
        .map(|l| l.split(';').next().unwrap().to_string())
        .collect()
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let (endpoint, address, _stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let started = Instant::now();
    let requests = [get("/a/400"), get("/b/200"), get("/c/0")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    assert_eq!(
        read_bodies(&mut stream, 3).await,
        ["/a/400+0", "/b/200+0", "/c/0+0"]
    );
    assert!(
        started.elapsed() < Duration::from_millis(550),
        "the requests did not run concurrently: {:?}",
        started.elapsed()
    );
    assert_eq!(endpoint.max_running.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn a_non_idempotent_request_waits_for_earlier_requests() {
    let (endpoint, address, _stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let requests = [
        get("/a/100"),
        post("/b/0", "12345"),
        get("/c/50"),
        get("/d/0"),
    ]
    .concat();
    // Send single bytes, so that heads and bodies are split at every position.
    for byte in requests.as_bytes() {
        stream.write_all(&[*byte]).await.unwrap();
    }
    assert_eq!(
        read_bodies(&mut stream, 4).await,
        ["/a/100+0", "/b/0+5", "/c/50+0", "/d/0+0"]
    );
    let events = endpoint.events.lock().unwrap().clone();
    let position = |event: &str| events.iter().position(|e| e == event);
    assert!(
        position("end /a/100") < position("start /b/0"),
        "{events:?}"
    );
}

#[tokio::test]
async fn running_requests_are_cancelled_when_the_caller_disconnects() {
    let (endpoint, address, _stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let requests = [get("/a/3000"), get("/b/3000"), get("/c/3000")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    while endpoint.running.load(Ordering::SeqCst) < 3 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(endpoint.running.load(Ordering::SeqCst), 3);
    drop(stream);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(endpoint.running.load(Ordering::SeqCst), 0);
    assert_eq!(endpoint.completed.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn chunked_bodies_and_malformed_heads_are_handled_by_hyper() {
    let (_endpoint, address, _stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let chunked =
        "POST /a/0 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let requests = [chunked, &get("/b/0")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    assert_eq!(read_bodies(&mut stream, 2).await, ["/a/0+3", "/b/0+0"]);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nbad header\r\n\r\n")
        .await
        .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

/// Guards against requests that are never answered, because the caller has sent more of them than the
/// queue of a connection holds, and then waits.
#[tokio::test]
async fn a_long_pipeline_is_answered_whole() {
    let (endpoint, address, _stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let paths: Vec<String> = (0..100).map(|n| format!("/{n}/20")).collect();
    let requests: String = paths.iter().map(|p| get(p)).collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    let expected: Vec<String> = paths.iter().map(|p| format!("{p}+0")).collect();
    assert_eq!(read_bodies(&mut stream, paths.len()).await, expected);
    assert_eq!(endpoint.completed.load(Ordering::SeqCst), 100);
}

/// Guards against a request whose deadline counts from the moment at which those before it on the
/// connection were answered.
#[tokio::test]
async fn the_time_that_a_request_waits_behind_others_is_told() {
    let (address, _stop) = start_waited(Duration::from_millis(200)).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A caller cannot claim to have waited.
    let forged = "GET /a HTTP/1.1\r\nhost: a\r\ntarragon-waited-ms: 70000\r\n\r\n";
    let requests = [forged.to_string(), post("/b", "x"), get("/c")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    let waited: Vec<u64> = read_bodies(&mut stream, 3)
        .await
        .iter()
        .map(|w| w.parse().unwrap())
        .collect();
    assert_eq!(waited[0], 0);
    assert!((190..400).contains(&waited[1]), "{waited:?}");
    assert!((390..800).contains(&waited[2]), "{waited:?}");
}

/// Guards against a planned stop that drops requests which run already, because they stand behind the
/// one whose response closes the connection.
#[tokio::test]
async fn requests_that_were_started_early_are_answered_before_a_stop_closes_the_connection() {
    let (endpoint, address, stop) = start_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let requests = [get("/a/300"), get("/b/400"), get("/c/0")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    while endpoint.running.load(Ordering::SeqCst) + endpoint.completed.load(Ordering::SeqCst) < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // Not started any more while those before it are in progress.
    stream.write_all(get("/d/0").as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        !endpoint
            .events
            .lock()
            .unwrap()
            .contains(&"start /d/0".to_string())
    );
    assert_eq!(
        read_bodies(&mut stream, 3).await,
        ["/a/300+0", "/b/400+0", "/c/0+0"]
    );
    // The connection ends, and whatever runs until then is answered.
    let mut rest = Vec::new();
    let end = tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut rest));
    end.await.expect("the connection ends").unwrap();
    let answered = 3 + u32::from(String::from_utf8_lossy(&rest).contains("/d/0+0;"));
    assert_eq!(endpoint.completed.load(Ordering::SeqCst), answered);
}

/// Guards against a wait that is told to each request after one whose body is in chunks: from then on, the
/// requests of the connection are passed through, and the time of an earlier one must not be taken for theirs.
#[tokio::test]
async fn a_request_after_a_body_in_chunks_has_not_waited() {
    let (address, _stop) = start_waited(Duration::ZERO).await;
    let chunked =
        "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let sized = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    let mut stream = TcpStream::connect(address).await.unwrap();
    for request in [chunked, chunked, sized, &get("/b")] {
        stream.write_all(request.as_bytes()).await.unwrap();
        assert_eq!(read_bodies(&mut stream, 1).await, ["0"], "{request}");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}
