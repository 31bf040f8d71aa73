//! Measures platform writes for several rates of requests with an idempotency key. The watchers
//! batch the claims on the keys.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;

use super::latency::{service_path, start_ready_fleet};
use super::{Report, rounded};
use smallvec::smallvec;

use crate::coordination::commit::CommitOutcome;
use crate::load::{CallerResult, LoadPlan, LoadRoute, run as run_load};
use crate::standin::target::Behaviour;
use crate::state::id::Path;
use crate::state::object::{Class, Idempotency, Object, Route, WeightedService};
use crate::state::snapshot::Edit;

/// How long requests are sent at each rate.
const SEND_DURATION: Duration = Duration::from_secs(4);

/// Measures keyed requests at the given rates, in requests per second.
///
/// # Errors
/// On a socket error, and if the fleet does not join or rejects the settings.
pub async fn run(rates: &[f64]) -> anyhow::Result<Report> {
    let mut report = Report::new(&[
        "keyed/s",
        "answered",
        "not run",
        "platform writes/s",
        "writes/request",
        "p50 ms",
        "p99 ms",
    ]);
    let behaviour = Behaviour {
        service_ms: 1,
        slots: 64,
        ..Behaviour::default()
    };
    let fleet = start_ready_fleet(3, 3, behaviour).await?;
    let outcome = fleet.node(0).apply_as_admin(vec![put_keyed_route()]).await;
    anyhow::ensure!(
        matches!(outcome, CommitOutcome::Accepted { .. }),
        "the route was not accepted"
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (seed, rate) in rates.iter().enumerate() {
        let writes = fleet.platform.call_counts().writes;
        let load_report = run_load(&load_plan(&fleet.caller_addresses(), *rate, seed as u64)).await;
        let writes = (fleet.platform.call_counts().writes - writes) as f64;
        let latency = load_report.latency(None);
        report.add_row(vec![
            rounded(*rate),
            Value::from(load_report.count(CallerResult::Answered)),
            Value::from(load_report.count(CallerResult::NotRun)),
            rounded(writes / SEND_DURATION.as_secs_f64()),
            rounded(writes / load_report.records.len() as f64),
            rounded(latency.value_at_quantile(0.5) as f64 / 1000.0),
            rounded(latency.value_at_quantile(0.99) as f64 / 1000.0),
        ]);
    }
    fleet.shut_down();
    Ok(report)
}

fn load_plan(nodes: &[std::net::SocketAddr], rate: f64, seed: u64) -> LoadPlan {
    LoadPlan {
        nodes: nodes.to_vec(),
        rate,
        duration: SEND_DURATION,
        mix: vec![LoadRoute {
            name: "keyed".to_string(),
            method: Method::POST,
            host: "guild.example".to_string(),
            path: "/keyed".to_string(),
            weight: 1.0,
            body_bytes: 100,
            response_bytes: 0,
            keyed: true,
        }],
        seed: 100 + seed,
        timeout: Duration::from_secs(20),
    }
}

/// Returns the edit that creates a route whose requests must have an idempotency key.
fn put_keyed_route() -> Edit {
    let path = Path::new("guild/routes/keyed").expect("the path is valid");
    let route = Route {
        host: None,
        prefix: "/keyed".to_string(),
        methods: Default::default(),
        service_weights: smallvec![WeightedService::single(service_path())],
        class: Class::Order,
        priority: Class::Order.priority(),
        objective: None,
        deadline: Duration::from_secs(5),
        max_attempts: 3,
        idempotency: Idempotency::Never,
        requires_key: true,
        public: false,
    };
    Edit::Put(path, Arc::new(Object::Route(route)))
}
