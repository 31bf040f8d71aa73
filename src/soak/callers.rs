//! Simulated callers that behave like real clients: they reuse connections or open new ones,
//! pipeline requests, time out early, and retry requests with an idempotency key that were not
//! answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Plan;
use super::check::RequestRecord;
use super::fleet::{Fleet, HOST};
use crate::load::{CallerResult, LoadRoute, send_checked};
use crate::protocol::dialect::REQUEST_ID_HEADER;
use crate::standin::target::expected_body;
use crate::transport::client::HttpClient;

/// Mean pause between two requests of one caller.
const REQUEST_INTERVAL_MEAN: Duration = Duration::from_millis(60);
/// Timeout of a request; longer than the 3 s deadline of every route.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper bound of the random timeout of a [`CallerKind::ShortTimeout`] caller.
const SHORT_TIMEOUT_MAX: Duration = Duration::from_millis(120);
/// Requests written to one connection at once.
const PIPELINE_DEPTH: usize = 3;
/// Maximum number of attempts with the same idempotency key.
const ATTEMPTS_PER_KEY: usize = 3;
/// Upper bound of the random sizes of request and response bodies, in bytes.
const BODY_MAX_BYTES: usize = 40_000;

/// How a caller uses connections, timeouts and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    /// Opens a new connection for each request.
    NewConnections,
    /// Reuses its connections until the node closes them.
    KeepAlive,
    /// Uses a short random timeout, so that it often abandons a request before the response.
    ShortTimeout,
    /// Pipelines lookups on one connection.
    Pipelined,
    /// Sends deposits with an idempotency key, and retries those that were not answered.
    KeyedRetry,
}

const CALLER_KINDS: [CallerKind; 5] = [
    CallerKind::NewConnections,
    CallerKind::KeepAlive,
    CallerKind::ShortTimeout,
    CallerKind::Pipelined,
    CallerKind::KeyedRetry,
];

/// A simulated caller that sends all its requests to one node.
pub struct Caller {
    node: usize,
    address: SocketAddr,
    kind: CallerKind,
    rng: fastrand::Rng,
    client: HttpClient,
}

impl Caller {
    /// Creates the callers of a run: one of each kind for each node.
    pub fn create_all(plan: &Plan, fleet: &Arc<Fleet>) -> Vec<Caller> {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let pairs = (0..fleet.node_count()).flat_map(|n| CALLER_KINDS.map(|k| (n, k)));
        pairs
            .map(|(node, kind)| Caller {
                node,
                address: fleet.caller_address(node),
                kind,
                rng: rng.fork(),
                client: HttpClient::default(),
            })
            .collect()
    }

    /// Sends requests until `stop` is set, and returns a record of each request.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        while !*stop.borrow() {
            tokio::time::sleep(REQUEST_INTERVAL_MEAN.mul_f64(self.rng.f64() * 2.0)).await;
            match self.kind {
                CallerKind::Pipelined => records.extend(self.send_pipelined().await),
                CallerKind::KeyedRetry => records.push(self.send_deposit().await),
                _ => records.push(self.send_one().await),
            }
        }
        records
    }

    async fn send_one(&mut self) -> RequestRecord {
        let is_order = self.rng.bool();
        let has_short_timeout = self.kind == CallerKind::ShortTimeout;
        let timeout = match has_short_timeout {
            true => SHORT_TIMEOUT_MAX.mul_f64(self.rng.f64()),
            false => REQUEST_TIMEOUT,
        };
        if self.kind == CallerKind::NewConnections {
            self.client = HttpClient::default();
        }
        let body_bytes = self.rng.usize(..BODY_MAX_BYTES);
        let route = match is_order {
            true => self.build_route("POST", "/orders", body_bytes),
            false => self.build_route("GET", "/stock", 0),
        };
        let id = self.random_id();
        let started = Instant::now();
        let (id, result, _) =
            send_checked(self.client.clone(), self.address, route, id, timeout).await;
        RequestRecord {
            abandoned: has_short_timeout && result == CallerResult::Incomplete,
            ..self.build_record(id, !is_order, result, started)
        }
    }

    async fn send_deposit(&mut self) -> RequestRecord {
        let id = self.random_id();
        let started = Instant::now();
        // `NotRun` refers to a single attempt. The deposit did not run only if all attempts were
        // reported as not run.
        let mut result = CallerResult::NotRun;
        for _ in 0..ATTEMPTS_PER_KEY {
            let mut route = self.build_route("POST", "/deposits", 200);
            route.keyed = true;
            let (_, attempt_result, _) = send_checked(
                self.client.clone(),
                self.address,
                route,
                id.clone(),
                REQUEST_TIMEOUT,
            )
            .await;
            if attempt_result != CallerResult::NotRun {
                result = attempt_result;
            }
            if matches!(attempt_result, CallerResult::Answered | CallerResult::Wrong) {
                break;
            }
            tokio::time::sleep(REQUEST_INTERVAL_MEAN).await;
        }
        self.build_record(id, false, result, started)
    }

    /// Sends several lookups in one write; the responses must arrive in the same order.
    async fn send_pipelined(&mut self) -> Vec<RequestRecord> {
        let ids: Vec<String> = (0..PIPELINE_DEPTH).map(|_| self.random_id()).collect();
        let started = Instant::now();
        let results =
            tokio::time::timeout(REQUEST_TIMEOUT, send_pipeline(self.address, &ids)).await;
        let results = results.unwrap_or_default();
        let results = results
            .into_iter()
            .chain(std::iter::repeat(CallerResult::Incomplete));
        let pairs = ids.into_iter().zip(results);
        pairs
            .map(|(id, result)| self.build_record(id, true, result, started))
            .collect()
    }

    fn build_route(&mut self, method: &str, path: &str, body_bytes: usize) -> LoadRoute {
        LoadRoute {
            name: path.to_string(),
            method: method.parse().expect("valid HTTP method"),
            host: HOST.to_string(),
            path: path.to_string(),
            weight: 1.0,
            body_bytes,
            response_bytes: self.rng.usize(..BODY_MAX_BYTES),
            keyed: false,
        }
    }

    fn random_id(&mut self) -> String {
        format!("{:016x}", self.rng.u64(..))
    }

    fn build_record(
        &self,
        id: String,
        idempotent: bool,
        result: CallerResult,
        started: Instant,
    ) -> RequestRecord {
        RequestRecord {
            id,
            node: self.node,
            idempotent,
            result,
            abandoned: false,
            started,
            ended: Instant::now(),
        }
    }
}

/// Pipelines one lookup for each id. Returns the results in the order of the ids; the list is
/// shorter if the connection ends early.
async fn send_pipeline(address: SocketAddr, ids: &[String]) -> Vec<CallerResult> {
    let mut results = Vec::new();
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return results;
    };
    let requests: String = ids
        .iter()
        .map(|id| {
            format!("GET /stock HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID_HEADER}: {id}\r\n\r\n")
        })
        .collect();
    if stream.write_all(requests.as_bytes()).await.is_err() {
        return results;
    }
    let mut buffer = Vec::new();
    for id in ids {
        let Some((head, body)) = read_response(&mut stream, &mut buffer).await else {
            break;
        };
        results.push(match head.split(' ').nth(1) {
            Some("200") if body == expected_body(id, 0) => CallerResult::Answered,
            Some("200") => CallerResult::Wrong,
            Some("503") => CallerResult::NotRun,
            _ => CallerResult::Unknown,
        });
    }
    results
}

/// Reads one response that has a `content-length`; `None` if the connection ends first.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(head_end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).to_lowercase();
            let length = head.split_once("content-length: ")?.1;
            let length: usize = length.lines().next()?.trim().parse().ok()?;
            let end = head_end + 4 + length;
            if buffer.len() >= end {
                let body = buffer[head_end + 4..end].to_vec();
                buffer.drain(..end);
                return Some((head, body));
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
