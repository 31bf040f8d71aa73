//! Measures the latency that the two hops through the mesh add to a call, compared with direct
//! calls in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hdrhistogram::Histogram;
use hyper::Request;
use serde_json::Value;
use smallvec::smallvec;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::convergence::put_team;
use super::fleet::Fleet;
use super::process::cpu_time;
use super::{Report, rounded};
use crate::coordination::commit::CommitOutcome;
use crate::standin::target::Behaviour;
use crate::state::id::Path;
use crate::state::object::{Class, Idempotency, Object, Route, Service, WeightedService};
use crate::state::snapshot::Edit;
use crate::transport::client::HttpClient;
use crate::transport::http::read_body;

/// Time limit for the fleet to join, and for every node to adopt the settings.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of calls before the measurement.
const WARM_UP_CALLS: usize = 200;

/// Path of the service that the experiments call.
pub fn service_path() -> Path {
    Path::new("guild/services/stockroom").expect("the path is valid")
}

/// Starts a fleet with one service and the given number of targets, each the local target of a
/// node, and `entry_nodes` further nodes without targets. Returns when it can serve callers.
///
/// # Errors
/// On a socket error, and if the fleet does not join or its settings do not converge in time.
pub async fn start_ready_fleet(
    entry_nodes: usize,
    targets: usize,
    behaviour: Behaviour,
) -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::default();
    let service = service_path();
    for _ in 0..targets {
        fleet.add_target(&service, behaviour).await?;
    }
    fleet.add_nodes(entry_nodes).await?;
    let joined = fleet.wait_until_joined(WAIT_TIMEOUT).await;
    joined.ok_or_else(|| anyhow::anyhow!("the fleet did not join in time"))?;
    let CommitOutcome::Accepted { snapshot, .. } = fleet
        .node(0)
        .apply_as_admin(put_service_and_routes(&service))
        .await
    else {
        anyhow::bail!("the settings were not accepted");
    };
    let converged = fleet
        .wait_for_version(snapshot.version(), WAIT_TIMEOUT)
        .await;
    converged.ok_or_else(|| anyhow::anyhow!("the settings did not converge in time"))?;
    // Targets are probed every 500 ms; after 2 s, every target has been probed and can receive
    // requests.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(fleet)
}

/// Returns the edits that create a team, a service, and one route to the service for each class.
pub fn put_service_and_routes(service: &Path) -> Vec<Edit> {
    let object = Service {
        shed_status: Some(503),
        health_path: None,
    };
    let mut edits = vec![
        put_team(),
        Edit::Put(service.clone(), Arc::new(object.into())),
    ];
    edits.extend(Class::ALL.map(|class| {
        let path = Path::new(&format!("guild/routes/{class}")).expect("the path is valid");
        let route = Route {
            host: None,
            prefix: format!("/{class}"),
            methods: Default::default(),
            service_weights: smallvec![WeightedService::single(service.clone())],
            class,
            priority: class.priority(),
            objective: None,
            deadline: Duration::from_secs(10),
            max_attempts: 3,
            idempotency: Idempotency::ByMethod,
            requires_key: false,
            public: false,
        };
        Edit::Put(path, Arc::new(Object::Route(route)))
    }));
    edits
}

/// For each of the given numbers of callers, measures `calls` calls, divided evenly among the
/// callers; a caller sends its calls one after another. This is done twice: first with direct calls
/// to the target, then with calls through an entry node and the target's node.
///
/// # Errors
/// On a socket error, if the fleet does not become ready, and if a call fails.
pub async fn run(callers: &[usize], calls: usize) -> anyhow::Result<Report> {
    let mut report = Report::new(&[
        "callers",
        "direct p50 us",
        "direct p99 us",
        "via p50 us",
        "via p99 us",
        "added p50 us",
        "added p99 us",
        "direct calls/s",
        "via calls/s",
        "core us/call via",
    ]);
    let behaviour = Behaviour {
        service_ms: 0,
        slots: 256,
        ..Behaviour::default()
    };
    let fleet = start_ready_fleet(1, 1, behaviour).await?;
    let entry = fleet.node(1).addresses().callers;
    let target = fleet.targets[0].address;
    for callers in callers {
        let direct = measure(target, *callers, calls).await?;
        let via = measure(entry, *callers, calls).await?;
        let quantile_us = |m: &CallStats, q| m.latency.value_at_quantile(q);
        let added = |q| quantile_us(&via, q) as i64 - quantile_us(&direct, q) as i64;
        report.add_row(vec![
            Value::from(*callers),
            Value::from(quantile_us(&direct, 0.5)),
            Value::from(quantile_us(&direct, 0.99)),
            Value::from(quantile_us(&via, 0.5)),
            Value::from(quantile_us(&via, 0.99)),
            Value::from(added(0.5)),
            Value::from(added(0.99)),
            rounded(direct.call_rate),
            rounded(via.call_rate),
            rounded((via.cpu_seconds - direct.cpu_seconds) * 1e6),
        ]);
    }
    fleet.shut_down();
    Ok(report)
}

/// Results of one series of calls.
struct CallStats {
    /// Latency in microseconds.
    latency: Histogram<u64>,
    /// Calls per second.
    call_rate: f64,
    /// CPU time of this process per call, in seconds.
    cpu_seconds: f64,
}

async fn measure(address: SocketAddr, callers: usize, calls: usize) -> anyhow::Result<CallStats> {
    let client = HttpClient::default();
    let calls_each = calls / callers;
    let warm_up_each = WARM_UP_CALLS.div_ceil(callers);
    let mut tasks = JoinSet::new();
    (0..callers).for_each(|_| drop(tasks.spawn(call_many(client.clone(), address, warm_up_each))));
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    let (started, cpu) = (Instant::now(), cpu_time());
    (0..callers).for_each(|_| drop(tasks.spawn(call_many(client.clone(), address, calls_each))));
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    let count = latency.len() as f64;
    Ok(CallStats {
        call_rate: count / started.elapsed().as_secs_f64(),
        cpu_seconds: (cpu_time() - cpu).as_secs_f64() / count,
        latency,
    })
}

/// Sends calls one after another and returns their latencies in microseconds.
async fn call_many(
    client: HttpClient,
    address: SocketAddr,
    calls: usize,
) -> anyhow::Result<Histogram<u64>> {
    let mut latency = Histogram::new(3)?;
    for _ in 0..calls {
        let request = Request::get("/lookup").body(Body::default())?;
        let started = Instant::now();
        let result = client.send(address, request).await;
        let response = result.map_err(|e| anyhow::anyhow!("no response: {e:?}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "unexpected status {}",
            response.status()
        );
        read_body(response.into_body(), 1 << 20).await?;
        latency.record(started.elapsed().as_micros() as u64)?;
    }
    Ok(latency)
}
