//! Open-loop load: arrivals by a seeded Poisson process, with a check of every answer against its
//! own request.

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
use crate::standin::target::expected_answer;
use crate::transport::client::HttpClient;
use crate::transport::http::{full_body, read_body};

/// Largest latency recorded, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Largest answer read, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// One kind of request in the mix.
#[derive(Clone, Debug)]
pub struct LoadRoute {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: Method,
    /// Host header.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Share of the mix.
    pub weight: f64,
    /// Request body, in bytes.
    pub body: usize,
    /// Answer asked of the stand-in target, in bytes.
    pub answer: usize,
    /// Whether to send an `Idempotency-Key`.
    pub keyed: bool,
}

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of nodes; requests go to them in turn.
    pub nodes: Vec<SocketAddr>,
    /// Arrivals each second.
    pub rate: f64,
    /// How long to send.
    pub time: Duration,
    /// The mix.
    pub mix: Vec<LoadRoute>,
    /// Seed of arrivals, mix and request ids.
    pub seed: u64,
    /// Time after which the caller gives up.
    pub timeout: Duration,
}

/// What a caller was told of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// The target's answer, and it was the right one.
    Answered,
    /// An answer that belongs to another request, or is not whole though it claims to be.
    Wrong,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// An answer that broke off, or none; the caller knows that something is missing.
    Broken,
}

impl Told {
    /// All values, in the order of the report.
    pub const ALL: [Told; 5] = [
        Told::Answered,
        Told::NotRun,
        Told::Unknown,
        Told::Broken,
        Told::Wrong,
    ];

    /// Name in the report.
    pub fn name(self) -> &'static str {
        match self {
            Told::Answered => "answered",
            Told::NotRun => "not-run",
            Told::Unknown => "unknown",
            Told::Broken => "broken",
            Told::Wrong => "wrong",
        }
    }
}

/// One ended request.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Its id.
    pub id: String,
    /// Index into the mix.
    pub route: usize,
    /// What the caller was told.
    pub told: Told,
    /// Reason given with the outcome, if one was.
    pub outcome: Option<Outcome>,
    /// Time from the planned arrival to the end of the answer.
    pub latency: Duration,
}

/// All ended requests.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// One record a request, in the order in which they ended.
    pub records: Vec<LoadRecord>,
}

impl LoadReport {
    /// How many requests were told this.
    pub fn count(&self, told: Told) -> usize {
        self.records.iter().filter(|r| r.told == told).count()
    }

    /// Latencies of the answered requests of a route, or of all, in microseconds.
    pub fn latency(&self, route: Option<usize>) -> Histogram<u64> {
        let mut histogram = Histogram::new_with_max(LATENCY_MAX_US, 3).expect("bounds are valid");
        let answered = self.records.iter().filter(|r| r.told == Told::Answered);
        for r in answered.filter(|r| route.is_none_or(|at| at == r.route)) {
            histogram.saturating_record(r.latency.as_micros() as u64);
        }
        histogram
    }

    /// Requests whose runs at the targets contradict what the caller was told: a second run, or
    /// a run of a request that was told as not run. Repeatable routes may run twice.
    pub fn violations(&self, runs: &HashMap<String, u32>, repeatable: &[usize]) -> Vec<String> {
        let check = |r: &LoadRecord| {
            let count = runs.get(&r.id).copied().unwrap_or(0);
            let twice = count > 1 && !repeatable.contains(&r.route);
            if twice || (r.told == Told::NotRun && count > 0) {
                return Some(format!("{} told {} ran {count} times", r.id, r.told.name()));
            }
            None
        };
        self.records.iter().filter_map(check).collect()
    }

    /// Reasons given with the outcomes, with their counts.
    pub fn reasons(&self) -> Vec<(String, usize)> {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for outcome in self.records.iter().filter_map(|r| r.outcome) {
            *counts.entry(outcome.to_string()).or_default() += 1;
        }
        let mut list: Vec<_> = counts.into_iter().collect();
        list.sort();
        list
    }
}

/// Sends the plan's requests and waits for all of them to end.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let client = HttpClient::default();
    let total: f64 = plan.mix.iter().map(|r| r.weight).sum();
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut sending = JoinSet::new();
    let mut report = LoadReport::default();
    let mut at = 0;
    while due < plan.time {
        tokio::time::sleep_until(began + due).await;
        let route = choose(&plan.mix, total, &mut rng);
        let id = format!("{:016x}", rng.u64(..));
        let node = plan.nodes[at % plan.nodes.len()];
        let one = send(
            client.clone(),
            node,
            plan.mix[route].clone(),
            id,
            plan.timeout,
        );
        let planned = began + due;
        sending.spawn(async move {
            let (id, told, outcome) = one.await;
            LoadRecord {
                id,
                route,
                told,
                outcome,
                latency: planned.elapsed(),
            }
        });
        while let Some(Ok(record)) = sending.try_join_next() {
            report.records.push(record);
        }
        at += 1;
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / plan.rate);
    }
    while let Some(ended) = sending.join_next().await {
        report.records.extend(ended);
    }
    report
}

fn choose(mix: &[LoadRoute], total: f64, rng: &mut fastrand::Rng) -> usize {
    let mut left = rng.f64() * total;
    for (at, route) in mix.iter().enumerate() {
        left -= route.weight;
        if left < 0.0 {
            return at;
        }
    }
    mix.len() - 1
}

/// Sends one request and reads its answer; gives up after `timeout`.
pub(crate) async fn send(
    client: HttpClient,
    node: SocketAddr,
    route: LoadRoute,
    id: String,
    timeout: Duration,
) -> (String, Told, Option<Outcome>) {
    let mark = if route.path.contains('?') { '&' } else { '?' };
    let path = format!("{}{mark}bytes={}", route.path, route.answer);
    let mut request = Request::builder()
        .method(route.method)
        .uri(path)
        .header("host", route.host)
        .header(REQUEST_ID_HEADER, &id);
    if route.keyed {
        request = request.header("idempotency-key", &id);
    }
    let body = if route.body == 0 {
        Body::default()
    } else {
        full_body(vec![b'x'; route.body])
    };
    let Ok(request) = request.body(body) else {
        return (id, Told::Broken, None);
    };
    let answered = async {
        let response = client.send(node, request).await.ok()?;
        read(response, &id, route.answer).await
    };
    let ended = tokio::time::timeout(timeout, answered).await;
    let (told, outcome) = ended.ok().flatten().unwrap_or((Told::Broken, None));
    (id, told, outcome)
}

async fn read(
    response: Response<Body>,
    id: &str,
    length: usize,
) -> Option<(Told, Option<Outcome>)> {
    let header = response.headers().get(OUTCOME_HEADER);
    let outcome = header.and_then(|v| Outcome::parse(v.to_str().ok()?));
    match outcome {
        Some(Outcome::NotRun(_)) => return Some((Told::NotRun, outcome)),
        Some(Outcome::Unknown(_)) => return Some((Told::Unknown, outcome)),
        _ => {}
    }
    if response.headers().contains_key(REPLAYED_HEADER) {
        return Some((Told::Answered, outcome));
    }
    let status = response.status();
    let body = read_body(response.into_body(), ANSWER_MAX).await.ok()?;
    if status == StatusCode::GATEWAY_TIMEOUT {
        return Some((Told::Unknown, outcome));
    }
    let whole = body == expected_answer(id, length);
    let told = if whole { Told::Answered } else { Told::Wrong };
    Some((told, outcome))
}
