//! What must hold of a run, from what callers, targets and operators saw.

use std::collections::{HashMap, HashSet};

use derive_more::Display;
use tokio::time::Instant;

use crate::load::Told;

/// Share of the requests after the last fault that must be answered.
const ANSWERED_SHARE_MIN: f64 = 0.95;
/// Share of a route's requests that may be sent again.
const RETRY_RATIO_MAX: f64 = 0.1;
/// Requests that each node may send again beyond the share.
const RETRY_SLACK_PER_NODE: usize = 20;

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
    pub recovery_start: Instant,
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
            recovery_start: Instant::now(),
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
pub fn violations(observed: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for r in &observed.requests {
        found.extend(check_request(
            r,
            observed.run_counts.get(&r.id).copied().unwrap_or(0),
        ));
    }
    found.extend(check_retries(observed));
    found.extend(check_versions(observed));
    found.extend(check_accepted_changes(observed));
    found.extend(
        observed
            .stops
            .iter()
            .filter_map(|s| check_stop(s, observed)),
    );
    found.extend(check_recovery(observed));
    if observed.unfinished > 0 {
        let details = format!("{} requests still run", observed.unfinished);
        found.push(violation(CHECK_NAMES[9], details));
    }
    found
}

fn violation(check: &'static str, details: String) -> Violation {
    Violation { check, details }
}

fn check_request(r: &RequestRecord, runs: u32) -> Option<Violation> {
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

fn check_retries(observed: &Observations) -> Option<Violation> {
    let retryable = observed.requests.iter().filter(|r| r.idempotent);
    let (mut requests, mut retries) = (0, 0);
    for r in retryable {
        requests += 1;
        let runs = observed.run_counts.get(&r.id).copied().unwrap_or(0);
        retries += runs.saturating_sub(1) as usize;
    }
    let allowed = (f64::from(requests) * RETRY_RATIO_MAX) as usize
        + RETRY_SLACK_PER_NODE * observed.node_count;
    let details = format!("{retries} repeats of {requests} requests, {allowed} allowed");
    (retries > allowed).then(|| violation(CHECK_NAMES[4], details))
}

fn check_versions(observed: &Observations) -> Vec<Violation> {
    let mut highest: HashMap<(usize, usize), u64> = HashMap::new();
    let mut found = Vec::new();
    for sample in &observed.samples {
        let Some(version) = sample.version else {
            continue;
        };
        let previous = highest
            .entry((sample.node, sample.incarnation))
            .or_default();
        if version < *previous {
            let details = format!("node {} went from {previous} to {version}", sample.node);
            found.push(violation(CHECK_NAMES[5], details));
        }
        *previous = version.max(*previous);
    }
    found
}

fn check_accepted_changes(observed: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for node in 0..observed.node_count {
        let Some(sample) = observed.final_samples.iter().find(|h| h.node == node) else {
            found.push(violation(
                CHECK_NAMES[6],
                format!("node {node} does not answer"),
            ));
            continue;
        };
        let missing = |a: &&AcceptedChange| !sample.paths.contains(&a.path);
        for a in observed.accepted.iter().filter(missing) {
            let details = format!(
                "node {node} at {:?} lacks {} accepted as {}",
                sample.version, a.path, a.version
            );
            found.push(violation(CHECK_NAMES[6], details));
        }
    }
    found
}

fn check_stop(s: &PlannedStop, observed: &Observations) -> Option<Violation> {
    if s.exit_code != Some(0) {
        let details = format!("node {} ended with {:?}", s.node, s.exit_code);
        return Some(violation(CHECK_NAMES[7], details));
    }
    let in_flight = |r: &&RequestRecord| {
        let overlaps = r.started < s.requested && r.ended > s.requested && r.ended <= s.exited;
        r.node == s.node && overlaps && !r.abandoned
    };
    let interrupted = |r: &RequestRecord| matches!(r.result, Told::Broken | Told::Unknown);
    let r = observed
        .requests
        .iter()
        .filter(in_flight)
        .find(|r| interrupted(r))?;
    let details = format!("node {} cut {} ({})", s.node, r.id, r.result.name());
    Some(violation(CHECK_NAMES[7], details))
}

fn check_recovery(observed: &Observations) -> Option<Violation> {
    let in_window = |r: &&RequestRecord| r.started >= observed.recovery_start && !r.abandoned;
    let sent = observed.requests.iter().filter(in_window).count();
    let answered = observed
        .requests
        .iter()
        .filter(in_window)
        .filter(|r| r.result == Told::Answered)
        .count();
    let details = format!("{answered} of {sent} answered after the last fault");
    let enough = sent > 0 && answered as f64 >= sent as f64 * ANSWERED_SHARE_MIN;
    (!enough).then(|| violation(CHECK_NAMES[8], details))
}
