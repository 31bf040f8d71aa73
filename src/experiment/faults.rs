//! Measures requests under faults: the results that callers see, retries, and latency by class. The
//! fleet communicates over loopback sockets.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;

use super::fleet::Fleet;
use super::latency::start_ready_fleet;
use super::{Report, rounded};
use crate::load::{CallerResult, LoadPlan, LoadReport, LoadRoute, run as run_load};
use crate::standin::faults::PlatformFaults;
use crate::standin::target::Behaviour;

/// Number of nodes without targets, to which the callers connect.
const ENTRY_NODES: usize = 3;
const TARGET_COUNT: usize = 5;
/// Requests per second, well below the 3000 that the targets can process (5 targets with 12 slots
/// and 20 ms per request).
const REQUEST_RATE: f64 = 800.0;
/// How long requests are sent under each fault.
const SEND_DURATION: Duration = Duration::from_secs(8);
/// Interval between node replacements in [`Fault::Churn`].
const REPLACE_INTERVAL: Duration = Duration::from_secs(1);
/// Index of the lookup route in the request mix.
const LOOKUP_ROUTE: usize = 0;
/// Index of the order route in the request mix.
const ORDER_ROUTE: usize = 1;

const NORMAL_BEHAVIOUR: Behaviour = Behaviour {
    service_ms: 20,
    ..Behaviour::NORMAL
};

/// Fault that is injected while requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// No fault.
    None,
    /// Every second, the node of the next target is replaced by a new one and killed.
    Churn,
    /// Calls to the platform get no response and have no effect.
    Outage,
    /// One target sheds every request.
    Shedding,
    /// One target has ten times the service time.
    Slow,
    /// One target sheds every request, but its health page reports it as healthy. Another one
    /// processes requests, but its health page reports it as unhealthy.
    WrongHealth,
    /// Uploads of 1 MiB are sent in addition to the other requests.
    Bulk,
}

const CASES: [(Fault, &str); 7] = [
    (Fault::None, "none"),
    (Fault::Churn, "a node replaced each second"),
    (Fault::Outage, "platform down"),
    (Fault::Shedding, "one of five targets sheds"),
    (Fault::Slow, "one of five takes ten times as long"),
    (Fault::WrongHealth, "two of five lie about their health"),
    (Fault::Bulk, "bulk uploads beside"),
];

/// Measures requests under each fault.
///
/// # Errors
/// On a socket error, if a fleet does not join, if a response is wrong, if a request that is not
/// idempotent ran twice, and if a request ran although its response said that it did not.
pub async fn run(seed: u64) -> anyhow::Result<Report> {
    let mut report = Report::new(&[
        "fault",
        "answered",
        "not run",
        "unknown",
        "broken",
        "retries/request",
        "lookup p50 ms",
        "lookup p99 ms",
        "order p50 ms",
        "order p99 ms",
    ]);
    for (fault, name) in CASES {
        let mut fleet = start_ready_fleet(ENTRY_NODES, TARGET_COUNT, NORMAL_BEHAVIOUR).await?;
        let (load_report, retries) = measure(&mut fleet, fault, seed).await?;
        report.add_row(report_row(name, &load_report, retries));
        fleet.shut_down();
    }
    Ok(report)
}

async fn measure(fleet: &mut Fleet, fault: Fault, seed: u64) -> anyhow::Result<(LoadReport, u64)> {
    inject_fault(fleet, fault);
    // Callers connect to the nodes without targets, because these are never replaced.
    let entry_addresses = fleet.caller_addresses().split_off(TARGET_COUNT);
    let plan = LoadPlan {
        nodes: entry_addresses,
        rate: REQUEST_RATE,
        duration: SEND_DURATION,
        mix: request_mix(fault),
        seed,
        timeout: Duration::from_secs(20),
    };
    let sender = tokio::spawn(async move { run_load(&plan).await });
    if fault == Fault::Churn {
        replace_nodes(fleet).await?;
    }
    let load_report = sender.await?;
    let mut runs = std::collections::HashMap::new();
    for (id, count) in fleet.targets.iter().flat_map(|t| t.target.run_counts()) {
        *runs.entry(id).or_insert(0) += count;
    }
    let violations = load_report.violations(&runs, &[LOOKUP_ROUTE]);
    anyhow::ensure!(violations.is_empty(), "{violations:?}");
    anyhow::ensure!(
        load_report.count(CallerResult::Wrong) == 0,
        "a response was wrong"
    );
    let entry_retries =
        (TARGET_COUNT..TARGET_COUNT + ENTRY_NODES).map(|n| fleet.node(n).metrics().retries());
    let retries = entry_retries.sum();
    Ok((load_report, retries))
}

fn inject_fault(fleet: &Fleet, fault: Fault) {
    let set_behaviour =
        |target: usize, behaviour| fleet.targets[target].target.set_behaviour(behaviour);
    let shedding = Behaviour {
        shed: true,
        ..NORMAL_BEHAVIOUR
    };
    match fault {
        Fault::Outage => fleet.platform.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        }),
        Fault::Shedding => set_behaviour(0, shedding),
        Fault::Slow => set_behaviour(
            0,
            Behaviour {
                service_ms: NORMAL_BEHAVIOUR.service_ms * 10,
                ..NORMAL_BEHAVIOUR
            },
        ),
        Fault::WrongHealth => {
            set_behaviour(0, shedding);
            set_behaviour(
                1,
                Behaviour {
                    healthy: false,
                    ..NORMAL_BEHAVIOUR
                },
            );
        }
        Fault::None | Fault::Churn | Fault::Bulk => {}
    }
}

/// Replaces the nodes of the targets in turn, and stops about one second before the requests end.
async fn replace_nodes(fleet: &mut Fleet) -> anyhow::Result<()> {
    for round in 0..SEND_DURATION.as_secs() as usize - 1 {
        tokio::time::sleep(REPLACE_INTERVAL).await;
        fleet.replace_node(round % TARGET_COUNT).await?;
    }
    Ok(())
}

fn request_mix(fault: Fault) -> Vec<LoadRoute> {
    let mut mix = vec![
        load_route(Method::GET, "/lookup", 3.0, 0),
        load_route(Method::POST, "/order", 1.0, 500),
    ];
    if fault == Fault::Bulk {
        mix.push(load_route(Method::POST, "/bulk", 0.2, 1 << 20));
    }
    mix
}

fn load_route(method: Method, path: &str, weight: f64, body_bytes: usize) -> LoadRoute {
    LoadRoute {
        name: path.to_string(),
        method,
        host: "guild.example".to_string(),
        path: path.to_string(),
        weight,
        body_bytes,
        response_bytes: 0,
        keyed: false,
    }
}

fn report_row(name: &str, load_report: &LoadReport, retries: u64) -> Vec<Value> {
    let ms =
        |route, q| rounded(load_report.latency(Some(route)).value_at_quantile(q) as f64 / 1000.0);
    vec![
        Value::from(name),
        Value::from(load_report.count(CallerResult::Answered)),
        Value::from(load_report.count(CallerResult::NotRun)),
        Value::from(load_report.count(CallerResult::Unknown)),
        Value::from(load_report.count(CallerResult::Incomplete)),
        rounded(retries as f64 / load_report.records.len() as f64),
        ms(LOOKUP_ROUTE, 0.5),
        ms(LOOKUP_ROUTE, 0.99),
        ms(ORDER_ROUTE, 0.5),
        ms(ORDER_ROUTE, 0.99),
    ]
}
