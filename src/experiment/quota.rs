//! Compares ways to keep the limits of workspaces over a fleet, under faults, on a virtual clock.

mod baselines;
mod ledgers;
mod measure;
mod model;

use std::time::Duration;

use super::{Report, rounded};
use crate::state::workspace::RateLimit;

pub use measure::{Measurement, window_bound};
pub use model::{Fault, Load, Policy, Scenario, zipf_loads};

/// Requests per second and node.
const REQUESTS_PER_NODE: f64 = 15.0;
const WORKSPACE_COUNT: usize = 74;
/// Length of each case.
const DURATION: Duration = Duration::from_secs(60);
const POLICIES: [Policy; 5] = [
    Policy::NoLimit,
    Policy::FixedShares,
    Policy::GossipCounters,
    Policy::GossipShares,
    Policy::Ledgers,
];

/// Runs the experiment with a fleet of this size.
pub fn run(nodes: usize, seed: u64) -> Report {
    let mut report = Report::new(&[
        "case",
        "policy",
        "worst_window",
        "refused_wrongly_%",
        "messages_per_s",
        "bytes_per_s",
        "wait_mean_ms",
        "wait_p99_ms",
    ]);
    for (name, scenario) in cases(nodes, seed) {
        for policy in POLICIES {
            let m = scenario.play(policy);
            let (mean, p99) = m.wait_ms();
            report.add_row(vec![
                name.into(),
                policy.to_string().into(),
                rounded(m.worst_window),
                rounded(m.wrongly_refused(0, DURATION.as_secs() as usize) * 100.0),
                rounded(m.messages_per_second()),
                rounded(m.bytes_per_second()),
                rounded(mean),
                rounded(p99),
            ]);
        }
    }
    report
}

/// The cases, with one workspace at seven times its load from the 20th to the 27th second.
pub fn cases(nodes: usize, seed: u64) -> Vec<(&'static str, Scenario)> {
    let secs = Duration::from_secs;
    let loads = zipf_loads(WORKSPACE_COUNT, REQUESTS_PER_NODE * nodes as f64);
    let lowered = loads[0]
        .limit
        .and_then(|l| RateLimit::new(l.rate / 2.0, l.burst / 2.0));
    let case = |faults: Vec<(Duration, Fault)>| {
        let mut scenario = Scenario::new(nodes, loads.clone(), DURATION, seed);
        scenario.faults = vec![
            (secs(20), Fault::Scale(0, 7.0)),
            (secs(27), Fault::Scale(0, 1.0)),
        ];
        scenario.faults.extend(faults);
        scenario
    };
    let zones = (0..6).map(|n| {
        (
            secs(5 + 5 * n),
            Fault::Zone(Some(n as usize % model::ZONE_COUNT)),
        )
    });
    let all = || (0..nodes).collect();
    let mut lossy = case(Vec::new());
    (lossy.lost, lossy.doubled, lossy.delayed) = (0.01, 0.01, 0.01);
    vec![
        ("seven times", case(Vec::new())),
        ("zones change", case(zones.collect())),
        (
            "ledger killed",
            case(vec![(secs(23), Fault::KillLedgerOf(0))]),
        ),
        (
            "half killed",
            case(vec![(secs(23), Fault::Kill((nodes / 2..nodes).collect()))]),
        ),
        (
            "partition 20 s",
            case(vec![
                (secs(18), Fault::Partition(nodes / 2)),
                (secs(38), Fault::Heal),
            ]),
        ),
        (
            "all restarted",
            case(vec![(secs(23), Fault::Restart(all(), secs(1)))]),
        ),
        (
            "limit lowered",
            case(vec![(secs(23), Fault::SetLimit(0, lowered))]),
        ),
        ("1% lost, doubled, late", lossy),
    ]
}
