//! Compares policies of target selection with stale load information. The simulation drives the
//! policies of all nodes and the gates of all targets on a virtual clock, without sockets.

mod baselines;
mod figures;
mod model;
mod policy;
mod shares;
mod simulation;

use derive_more::Display;
use serde_json::Value;

pub use self::figures::Figures;
pub use self::model::{Case, Disturbance, Fleet};

use self::baselines::{ByAge, Fading, Offers, Probes, RoundRobin, Subset, TwoChoices};
use self::shares::Shares;
use self::simulation::Simulation;
use super::{Report, rounded};

/// Fleets that are compared.
pub const FLEETS: [Fleet; 5] = [
    Fleet {
        nodes: 4,
        targets: 5,
        speeds: &[1.0],
        zones: 1,
        service_ms: 200,
    },
    Fleet {
        nodes: 60,
        targets: 4,
        speeds: &[0.5, 1.0, 1.0, 1.5],
        zones: 1,
        service_ms: 300,
    },
    Fleet {
        nodes: 60,
        targets: 4,
        speeds: &[0.5, 1.0, 1.0, 1.5],
        zones: 4,
        service_ms: 300,
    },
    Fleet {
        nodes: 60,
        targets: 12,
        speeds: &[0.7, 0.7, 1.6],
        zones: 4,
        service_ms: 200,
    },
    Fleet {
        nodes: 300,
        targets: 28,
        speeds: &[0.6, 1.0, 1.4],
        zones: 4,
        service_ms: 400,
    },
];

/// Utilisations without a disturbance.
const UTILISATIONS: [f64; 4] = [0.5, 0.7, 0.9, 1.1];
/// Utilisation with a disturbance.
const DISTURBED_UTILISATION: f64 = 0.7;

/// A policy by which nodes pick targets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PolicyKind {
    /// Each target in turn.
    #[display("round robin")]
    RoundRobin,
    /// Two random choices; a reported load fades within 500 ms.
    #[display("two choices")]
    TwoChoices,
    /// Two random choices, with the load that is expected by the age of the report.
    #[display("load by age")]
    ByAge,
    /// Free slots that gates offer on their answers.
    #[display("offers")]
    Offers,
    /// A fixed subset of the targets for each node.
    #[display("subsets")]
    Subset,
    /// Probes beside requests.
    #[display("probes")]
    Probes,
    /// Shares by speed and expected load, as the nodes use them.
    #[display("shares")]
    Shares,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 7] = [
        PolicyKind::RoundRobin,
        PolicyKind::TwoChoices,
        PolicyKind::ByAge,
        PolicyKind::Offers,
        PolicyKind::Subset,
        PolicyKind::Probes,
        PolicyKind::Shares,
    ];
}

/// Simulates one case with one policy.
///
/// ```
/// use tarragoncourse::experiment::picking::{Case, Disturbance, FLEETS, PolicyKind, simulate};
/// let case = Case { fleet: FLEETS[0], utilisation: 0.5, disturbance: Disturbance::None };
/// assert!(simulate(case, PolicyKind::Shares, 1).refused_share < 0.01);
/// ```
pub fn simulate(case: Case, policy: PolicyKind, seed: u64) -> Figures {
    match policy {
        PolicyKind::RoundRobin => Simulation::<RoundRobin>::new(case, seed).run(),
        PolicyKind::TwoChoices => Simulation::<TwoChoices<Fading>>::new(case, seed).run(),
        PolicyKind::ByAge => Simulation::<TwoChoices<ByAge>>::new(case, seed).run(),
        PolicyKind::Offers => Simulation::<Offers>::new(case, seed).run(),
        PolicyKind::Subset => Simulation::<Subset>::new(case, seed).run(),
        PolicyKind::Probes => Simulation::<Probes>::new(case, seed).run(),
        PolicyKind::Shares => Simulation::<Shares>::new(case, seed).run(),
    }
}

/// Simulates each case with each policy.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new(&[
        "nodes",
        "targets",
        "zones",
        "load",
        "disturbance",
        "policy",
        "busiest",
        "busiest 2 s",
        "arrivals 2 s",
        "queue p99",
        "idle %",
        "late %",
        "refused %",
        "crossed %",
        "cost %",
        "probes",
    ]);
    for case in FLEETS.into_iter().flat_map(cases) {
        for policy in PolicyKind::ALL {
            report.add_row(row(case, policy, seed));
        }
    }
    report
}

fn cases(fleet: Fleet) -> impl Iterator<Item = Case> {
    let plain = UTILISATIONS.map(|u| (u, Disturbance::None));
    let disturbed = [
        Disturbance::SwingingZones,
        Disturbance::WrongLoad,
        Disturbance::SlowTarget,
    ];
    let disturbed = disturbed.map(|d| (DISTURBED_UTILISATION, d));
    let all = plain.into_iter().chain(disturbed);
    let swings = move |d| fleet.zones > 1 || d != Disturbance::SwingingZones;
    all.filter(move |(_, d)| swings(*d))
        .map(move |(utilisation, disturbance)| Case {
            fleet,
            utilisation,
            disturbance,
        })
}

fn row(case: Case, policy: PolicyKind, seed: u64) -> Vec<Value> {
    let figures = simulate(case, policy, seed);
    let percent = |share: f64| rounded(share * 100.0);
    vec![
        Value::from(case.fleet.nodes),
        Value::from(case.fleet.targets),
        Value::from(case.fleet.zones),
        Value::from(case.utilisation),
        Value::from(case.disturbance.to_string()),
        Value::from(policy.to_string()),
        rounded(figures.busiest),
        rounded(figures.busiest_window),
        rounded(figures.arrivals_window),
        Value::from(figures.queue_p99),
        percent(figures.idle_share),
        percent(figures.late_share),
        percent(figures.refused_share),
        percent(figures.crossed_share),
        percent(figures.cost),
        rounded(figures.probes_per_request),
    ]
}
