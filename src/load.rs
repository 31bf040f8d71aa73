//! Open-loop load generator. Requests arrive according to a seeded Poisson process, and every
//! response is checked against its request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use gotham::helpers::http::Body;
use hdrhistogram::Histogram;
use hyper::{Method, Request, Response, StatusCode};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::coordination::outcome::{OUTCOME_HEADER, Outcome};
use crate::protocol::dialect::REQUEST_ID_HEADER;
use crate::protocol::headers::REPLAYED_HEADER;
use crate::standin::target::expected_body;
use crate::transport::client::HttpClient;
use crate::transport::http::{full_body, read_body};

/// Maximum latency that the histograms record, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Parameters of the requests to one route in the request mix.
#[derive(Clone, Debug)]
pub struct LoadRoute {
    /// Name shown in the report.
    pub name: String,
    /// HTTP method.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Share of the mix, relative to the weights of the other routes.
    pub weight: f64,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Size of the response that the stand-in target is asked to send.
    pub response_bytes: usize,
    /// Whether to send an `Idempotency-Key` header.
    pub keyed: bool,
}

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of the nodes. Requests are sent to them in round-robin order.
    pub nodes: Vec<SocketAddr>,
    /// Mean number of requests per second.
    pub rate: f64,
    /// How long to send requests.
    pub duration: Duration,
    /// The request mix.
    pub mix: Vec<LoadRoute>,
    /// Seed for the arrival times, the choice of routes and the request ids.
    pub seed: u64,
    /// Time after which a caller abandons its request.
    pub timeout: Duration,
}

/// The result of one request as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallerResult {
    /// The response of the target arrived and was correct, or the response replays the outcome that
    /// is already recorded for the idempotency key.
    Answered,
    /// The response arrived completely, but its body is not the expected one: it belongs to another
    /// request, or it is truncated in a manner that the caller cannot detect.
    Wrong,
    /// The response says that the request was not run.
    NotRun,
    /// The response says that the request may or may not have run, or its status is 504.
    Unknown,
    /// No response arrived, or it was cut off, or the request timed out.
    Incomplete,
}

impl CallerResult {
    /// All values, in the order in which the report lists them.
    pub const ALL: [CallerResult; 5] = [
        CallerResult::Answered,
        CallerResult::NotRun,
        CallerResult::Unknown,
        CallerResult::Incomplete,
        CallerResult::Wrong,
    ];

    /// Name shown in the report.
    pub fn name(self) -> &'static str {
        match self {
            CallerResult::Answered => "answered",
            CallerResult::NotRun => "not-run",
            CallerResult::Unknown => "unknown",
            CallerResult::Incomplete => "broken",
            CallerResult::Wrong => "wrong",
        }
    }
}

/// One completed request.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Request id.
    pub id: String,
    /// Index of the route in the mix.
    pub route: usize,
    /// The result as seen by the caller.
    pub result: CallerResult,
    /// The value of the outcome header, if the response had one.
    pub outcome: Option<Outcome>,
    /// Time from the scheduled arrival of the request to the end of its response.
    pub latency: Duration,
}

/// All completed requests of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// One record per request, in order of completion.
    pub records: Vec<LoadRecord>,
}

impl LoadReport {
    /// Number of requests with this result.
    pub fn count(&self, result: CallerResult) -> usize {
        self.records.iter().filter(|r| r.result == result).count()
    }

    /// Latencies, in microseconds, of the answered requests of one route, or of all routes.
    pub fn latency(&self, route: Option<usize>) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_max(LATENCY_MAX_US, 3).expect("histogram bounds are valid");
        let answered = self
            .records
            .iter()
            .filter(|r| r.result == CallerResult::Answered);
        for r in answered.filter(|r| route.is_none_or(|index| index == r.route)) {
            histogram.saturating_record(r.latency.as_micros() as u64);
        }
        histogram
    }

    /// Describes the requests whose executions at the targets contradict the result that the caller
    /// saw: a request ran more than once, or it ran although its result is
    /// [`CallerResult::NotRun`]. Requests of the routes in `idempotent_routes` may run more than
    /// once.
    pub fn violations(
        &self,
        runs: &HashMap<String, u32>,
        idempotent_routes: &[usize],
    ) -> Vec<String> {
        let check = |r: &LoadRecord| {
            let count = runs.get(&r.id).copied().unwrap_or(0);
            let repeated = count > 1 && !idempotent_routes.contains(&r.route);
            if repeated || (r.result == CallerResult::NotRun && count > 0) {
                return Some(format!(
                    "{} reported as {} but ran {count} times",
                    r.id,
                    r.result.name()
                ));
            }
            None
        };
        self.records.iter().filter_map(check).collect()
    }

    /// Number of requests for each value of the outcome header, sorted by value.
    pub fn outcome_counts(&self) -> Vec<(String, usize)> {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for outcome in self.records.iter().filter_map(|r| r.outcome) {
            *counts.entry(outcome.to_string()).or_default() += 1;
        }
        let mut list: Vec<_> = counts.into_iter().collect();
        list.sort();
        list
    }
}

/// Sends the requests of a plan and waits until all of them have completed.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let client = HttpClient::default();
    let total_weight: f64 = plan.mix.iter().map(|r| r.weight).sum();
    let start = Instant::now();
    let mut arrival = Duration::ZERO;
    let mut in_flight = JoinSet::new();
    let mut report = LoadReport::default();
    let mut sent = 0;
    while arrival < plan.duration {
        tokio::time::sleep_until(start + arrival).await;
        let route = choose_route(&plan.mix, total_weight, &mut rng);
        let id = format!("{:016x}", rng.u64(..));
        let node = plan.nodes[sent % plan.nodes.len()];
        let request = send_checked(
            client.clone(),
            node,
            plan.mix[route].clone(),
            id,
            plan.timeout,
        );
        let scheduled = start + arrival;
        in_flight.spawn(async move {
            let (id, result, outcome) = request.await;
            LoadRecord {
                id,
                route,
                result,
                outcome,
                latency: scheduled.elapsed(),
            }
        });
        while let Some(Ok(record)) = in_flight.try_join_next() {
            report.records.push(record);
        }
        sent += 1;
        arrival += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / plan.rate);
    }
    while let Some(record) = in_flight.join_next().await {
        report.records.extend(record);
    }
    report
}

/// Chooses a random route by weight. Returns its index in the mix.
fn choose_route(mix: &[LoadRoute], total_weight: f64, rng: &mut fastrand::Rng) -> usize {
    let mut remaining = rng.f64() * total_weight;
    for (index, route) in mix.iter().enumerate() {
        remaining -= route.weight;
        if remaining < 0.0 {
            return index;
        }
    }
    mix.len() - 1
}

/// Sends one request, reads its response and checks it. Abandons the request after `timeout`.
///
/// Returns the id, the result and the value of the outcome header.
pub(crate) async fn send_checked(
    client: HttpClient,
    node: SocketAddr,
    route: LoadRoute,
    id: String,
    timeout: Duration,
) -> (String, CallerResult, Option<Outcome>) {
    let separator = if route.path.contains('?') { '&' } else { '?' };
    let path = format!("{}{separator}bytes={}", route.path, route.response_bytes);
    let mut request = Request::builder()
        .method(route.method)
        .uri(path)
        .header("host", route.host)
        .header(REQUEST_ID_HEADER, &id);
    if route.keyed {
        request = request.header("idempotency-key", &id);
    }
    let body = if route.body_bytes == 0 {
        Body::default()
    } else {
        full_body(vec![b'x'; route.body_bytes])
    };
    let Ok(request) = request.body(body) else {
        return (id, CallerResult::Incomplete, None);
    };
    let checked = async {
        let response = client.send(node, request).await.ok()?;
        check_response(response, &id, route.response_bytes).await
    };
    let checked = tokio::time::timeout(timeout, checked).await;
    let (result, outcome) = checked
        .ok()
        .flatten()
        .unwrap_or((CallerResult::Incomplete, None));
    (id, result, outcome)
}

/// Returns the result and the value of the outcome header; `None` if the body cannot be read.
async fn check_response(
    response: Response<Body>,
    id: &str,
    length: usize,
) -> Option<(CallerResult, Option<Outcome>)> {
    let header = response.headers().get(OUTCOME_HEADER);
    let outcome = header.and_then(|v| Outcome::parse(v.to_str().ok()?));
    match outcome {
        Some(Outcome::NotRun(_)) => return Some((CallerResult::NotRun, outcome)),
        Some(Outcome::Unknown(_)) => return Some((CallerResult::Unknown, outcome)),
        _ => {}
    }
    if response.headers().contains_key(REPLAYED_HEADER) {
        return Some((CallerResult::Answered, outcome));
    }
    let status = response.status();
    let body = read_body(response.into_body(), RESPONSE_MAX_BYTES)
        .await
        .ok()?;
    if status == StatusCode::GATEWAY_TIMEOUT {
        return Some((CallerResult::Unknown, outcome));
    }
    let correct = body == expected_body(id, length);
    let result = if correct {
        CallerResult::Answered
    } else {
        CallerResult::Wrong
    };
    Some((result, outcome))
}
