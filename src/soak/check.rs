//! What must hold of a run, from what callers, targets and operators saw.

use std::collections::{HashMap, HashSet};

use derive_more::Display;
use tokio::time::Instant;

use crate::load::Told;

/// Share of the requests after the last fault that must be answered.
const SERVED_SHARE: f64 = 0.95;
/// Share of a route's requests that may be sent again.
const REPEAT_SHARE: f64 = 0.1;
/// Requests that each node may send again beyond the share.
const REPEAT_SLACK: usize = 20;

/// One ended request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What the caller was told.
    pub result: Told,
    /// Whether the caller went away early by itself.
    pub abandoned: bool,
    /// When it was sent.
    pub started: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// A change that the operators' API said it accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Its version.
    pub version: u64,
    /// Path of what it put.
    pub path: String,
}

/// What one incarnation of a node had in force.
#[derive(Clone, Debug)]
pub struct ConfigSample {
    /// The node.
    pub node: usize,
    /// Number of the incarnation of its process.
    pub incarnation: usize,
    /// Version in force; none if it did not answer.
    pub version: Option<u64>,
    /// Paths in force.
    pub paths: HashSet<String>,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    /// The node.
    pub node: usize,
    /// When it was asked to stop.
    pub requested: Instant,
    /// When its process had ended.
    pub exited: Instant,
    /// Its exit code, if it ended by itself.
    pub exit_code: Option<i32>,
}

/// Everything seen in a run.
#[derive(Clone, Debug)]
pub struct Observations {
    /// Nodes of the fleet.
    pub node_count: usize,
    /// Requests of all callers.
    pub requests: Vec<RequestRecord>,
    /// How often each request ran, over all targets.
    pub run_counts: HashMap<String, u32>,
    /// Changes accepted.
    pub accepted: Vec<AcceptedChange>,
    /// What nodes had in force, in the order of looking.
    pub samples: Vec<ConfigSample>,
    /// What nodes have in force some time after the last fault.
    pub final_samples: Vec<ConfigSample>,
    /// Planned stops beside which nothing else went wrong.
    pub stops: Vec<PlannedStop>,
    /// Requests sent from then on count for the share that is served at the end.
    pub tail_start: Instant,
    /// Requests that still run some time after the last caller has gone.
    pub unfinished: u32,
}

impl Default for Observations {
    fn default() -> Self {
        Observations {
            node_count: 0,
            requests: Vec::new(),
            run_counts: HashMap::new(),
            accepted: Vec::new(),
            samples: Vec::new(),
            final_samples: Vec::new(),
            stops: Vec::new(),
            tail_start: Instant::now(),
            unfinished: 0,
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{check}: {details}")]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// What was seen.
    pub details: String,
}

/// Names of the checks, for the report.
pub const CHECK_NAMES: [&str; 10] = [
    "whole answers",
    "at most once",
    "not run is true",
    "answered has run",
    "repeats",
    "versions only grow",
    "accepted is in force",
    "planned stops cut nothing",
    "served again",
    "work ends with its caller",
];

/// Everything that a run broke.
pub fn violations(seen: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for r in &seen.requests {
        found.extend(request(r, seen.run_counts.get(&r.id).copied().unwrap_or(0)));
    }
    found.extend(repeats(seen));
    found.extend(growth(seen));
    found.extend(in_force(seen));
    found.extend(seen.stops.iter().filter_map(|s| stop(s, seen)));
    found.extend(served(seen));
    if seen.unfinished > 0 {
        let details = format!("{} requests still run", seen.unfinished);
        found.push(violation(CHECK_NAMES[9], details));
    }
    found
}

fn violation(check: &'static str, details: String) -> Violation {
    Violation { check, details }
}

fn request(r: &RequestRecord, runs: u32) -> Option<Violation> {
    let check = match r.result {
        Told::Wrong => CHECK_NAMES[0],
        _ if runs > 1 && !r.idempotent => CHECK_NAMES[1],
        Told::NotRun if runs > 0 => CHECK_NAMES[2],
        Told::Answered if runs == 0 => CHECK_NAMES[3],
        _ => return None,
    };
    let details = format!("{} told {} ran {runs} times", r.id, r.result.name());
    Some(violation(check, details))
}

fn repeats(seen: &Observations) -> Option<Violation> {
    let asked = seen.requests.iter().filter(|r| r.idempotent);
    let (mut requests, mut repeated) = (0, 0);
    for r in asked {
        requests += 1;
        let runs = seen.run_counts.get(&r.id).copied().unwrap_or(0);
        repeated += runs.saturating_sub(1) as usize;
    }
    let most = (f64::from(requests) * REPEAT_SHARE) as usize + REPEAT_SLACK * seen.node_count;
    let details = format!("{repeated} repeats of {requests} requests, {most} allowed");
    (repeated > most).then(|| violation(CHECK_NAMES[4], details))
}

fn growth(seen: &Observations) -> Vec<Violation> {
    let mut newest: HashMap<(usize, usize), u64> = HashMap::new();
    let mut found = Vec::new();
    for h in &seen.samples {
        let Some(version) = h.version else { continue };
        let before = newest.entry((h.node, h.incarnation)).or_default();
        if version < *before {
            let details = format!("node {} went from {before} to {version}", h.node);
            found.push(violation(CHECK_NAMES[5], details));
        }
        *before = version.max(*before);
    }
    found
}

fn in_force(seen: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for node in 0..seen.node_count {
        let Some(held) = seen.final_samples.iter().find(|h| h.node == node) else {
            found.push(violation(
                CHECK_NAMES[6],
                format!("node {node} does not answer"),
            ));
            continue;
        };
        let missing = |a: &&AcceptedChange| !held.paths.contains(&a.path);
        for a in seen.accepted.iter().filter(missing) {
            let details = format!(
                "node {node} at {:?} lacks {} accepted as {}",
                held.version, a.path, a.version
            );
            found.push(violation(CHECK_NAMES[6], details));
        }
    }
    found
}

fn stop(s: &PlannedStop, seen: &Observations) -> Option<Violation> {
    if s.exit_code != Some(0) {
        let details = format!("node {} ended with {:?}", s.node, s.exit_code);
        return Some(violation(CHECK_NAMES[7], details));
    }
    let during = |r: &&RequestRecord| {
        let under_way = r.started < s.requested && r.ended > s.requested && r.ended <= s.exited;
        r.node == s.node && under_way && !r.abandoned
    };
    let cut = |r: &RequestRecord| matches!(r.result, Told::Broken | Told::Unknown);
    let r = seen.requests.iter().filter(during).find(|r| cut(r))?;
    let details = format!("node {} cut {} ({})", s.node, r.id, r.result.name());
    Some(violation(CHECK_NAMES[7], details))
}

fn served(seen: &Observations) -> Option<Violation> {
    let tail = |r: &&RequestRecord| r.started >= seen.tail_start && !r.abandoned;
    let sent = seen.requests.iter().filter(tail).count();
    let answered = seen
        .requests
        .iter()
        .filter(tail)
        .filter(|r| r.result == Told::Answered)
        .count();
    let details = format!("{answered} of {sent} answered after the last fault");
    let enough = sent > 0 && answered as f64 >= sent as f64 * SERVED_SHARE;
    (!enough).then(|| violation(CHECK_NAMES[8], details))
}
