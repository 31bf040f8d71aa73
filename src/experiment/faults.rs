//! Requests under faults: what callers are told, retries, and latency by class, over real loopback
//! sockets.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;

use super::fleet::Fleet;
use super::latency::start_ready_fleet;
use super::{Report, rounded};
use crate::load::{CallerResult, LoadPlan, LoadReport, LoadRoute, run as send};
use crate::standin::faults::PlatformFaults;
use crate::standin::target::Behaviour;

const ENTRIES: usize = 3;
const TARGETS: usize = 5;
/// Requests each second: a bit over half of what the targets can do.
const RATE: f64 = 800.0;
const TIME: Duration = Duration::from_secs(8);
/// Interval between replacements under churn.
const CHURN: Duration = Duration::from_secs(1);
/// Places in the mix.
const LOOKUP: usize = 0;
const ORDER: usize = 1;

const NORMAL: Behaviour = Behaviour {
    slots: 12,
    service_ms: 20,
    cold_ms: 0,
    shed: false,
    healthy: true,
    lag_ms: 0,
    draining: false,
    cut: false,
};

/// What goes wrong while the requests come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The node beside one target after another is killed and replaced, each second.
    Churn,
    /// The platform does not answer.
    Outage,
    /// One target sheds everything.
    Shedding,
    /// One target takes ten times as long.
    Slow,
    /// One target sheds everything, and its health page says that all is well; another's says
    /// that it is ill while it answers.
    Lying,
    /// Uploads of a megabyte come beside the rest.
    Bulk,
}

const CASES: [(Fault, &str); 7] = [
    (Fault::None, "none"),
    (Fault::Churn, "a node replaced each second"),
    (Fault::Outage, "platform down"),
    (Fault::Shedding, "one of five targets sheds"),
    (Fault::Slow, "one of five takes ten times as long"),
    (Fault::Lying, "two of five lie about their health"),
    (Fault::Bulk, "bulk uploads beside"),
];

/// Measures each fault.
///
/// # Errors
/// Any socket error, a fleet that does not join, and a request that ran twice or after it was
/// told as not run.
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
        let mut fleet = start_ready_fleet(ENTRIES, TARGETS, NORMAL).await?;
        let (sent, retries) = measure(&mut fleet, fault, seed).await?;
        report.add_row(row(name, &sent, retries));
        fleet.shut_down();
    }
    Ok(report)
}

async fn measure(fleet: &mut Fleet, fault: Fault, seed: u64) -> anyhow::Result<(LoadReport, u64)> {
    begin(fleet, fault);
    // Callers use the nodes without targets, which stay.
    let callers = fleet.caller_addresses().split_off(TARGETS);
    let plan = LoadPlan {
        nodes: callers,
        rate: RATE,
        duration: TIME,
        mix: mix(fault),
        seed,
        timeout: Duration::from_secs(20),
    };
    let sending = tokio::spawn(async move { send(&plan).await });
    if fault == Fault::Churn {
        churn(fleet).await?;
    }
    let sent = sending.await?;
    let mut runs = std::collections::HashMap::new();
    for (id, count) in fleet.targets.iter().flat_map(|t| t.target.run_counts()) {
        *runs.entry(id).or_insert(0) += count;
    }
    let violations = sent.violations(&runs, &[LOOKUP]);
    anyhow::ensure!(violations.is_empty(), "{violations:?}");
    anyhow::ensure!(sent.count(CallerResult::Wrong) == 0, "an answer was wrong");
    let entries = (TARGETS..TARGETS + ENTRIES).map(|n| fleet.node(n).metrics().retries());
    let retries = entries.sum();
    Ok((sent, retries))
}

fn begin(fleet: &Fleet, fault: Fault) {
    let set = |at: usize, behaviour| fleet.targets[at].target.set_behaviour(behaviour);
    let shedding = Behaviour {
        shed: true,
        ..NORMAL
    };
    match fault {
        Fault::Outage => fleet.platform.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        }),
        Fault::Shedding => set(0, shedding),
        Fault::Slow => set(
            0,
            Behaviour {
                service_ms: NORMAL.service_ms * 10,
                ..NORMAL
            },
        ),
        Fault::Lying => {
            set(0, shedding);
            set(
                1,
                Behaviour {
                    healthy: false,
                    ..NORMAL
                },
            );
        }
        Fault::None | Fault::Churn | Fault::Bulk => {}
    }
}

async fn churn(fleet: &mut Fleet) -> anyhow::Result<()> {
    for round in 0..TIME.as_secs() as usize - 1 {
        tokio::time::sleep(CHURN).await;
        fleet.replace_node(round % TARGETS).await?;
    }
    Ok(())
}

fn mix(fault: Fault) -> Vec<LoadRoute> {
    let mut mix = vec![
        route(Method::GET, "/lookup", 3.0, 0),
        route(Method::POST, "/order", 1.0, 500),
    ];
    if fault == Fault::Bulk {
        mix.push(route(Method::POST, "/bulk", 0.2, 1 << 20));
    }
    mix
}

fn route(method: Method, path: &str, weight: f64, body: usize) -> LoadRoute {
    LoadRoute {
        name: path.to_string(),
        method,
        host: "guild.example".to_string(),
        path: path.to_string(),
        weight,
        body_bytes: body,
        response_bytes: 0,
        keyed: false,
    }
}

fn row(name: &str, sent: &LoadReport, retries: u64) -> Vec<Value> {
    let ms = |route, q| rounded(sent.latency(Some(route)).value_at_quantile(q) as f64 / 1000.0);
    vec![
        Value::from(name),
        Value::from(sent.count(CallerResult::Answered)),
        Value::from(sent.count(CallerResult::NotRun)),
        Value::from(sent.count(CallerResult::Unknown)),
        Value::from(sent.count(CallerResult::Incomplete)),
        rounded(retries as f64 / sent.records.len() as f64),
        ms(LOOKUP, 0.5),
        ms(LOOKUP, 0.99),
        ms(ORDER, 0.5),
        ms(ORDER, 0.99),
    ]
}
