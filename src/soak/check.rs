//! What must hold of a run, from what callers, targets and operators saw.

use std::collections::{HashMap, HashSet};

use derive_more::Display;
use tokio::time::Instant;

use crate::load::CallerResult;

/// Share of the requests after the last fault that must be answered.
const SERVED_SHARE: f64 = 0.95;
/// Share of a route's requests that may be sent again.
const REPEAT_SHARE: f64 = 0.1;
/// Requests that each node may send again beyond the share.
const REPEAT_SLACK: usize = 20;

/// One ended request.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What the caller was told.
    pub told: CallerResult,
    /// Whether the caller went away early by itself.
    pub left: bool,
    /// When it was sent.
    pub began: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// A change that the operators' API said it accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its version.
    pub version: u64,
    /// Path of what it put.
    pub path: String,
}

/// What one life of a node had in force.
#[derive(Clone, Debug)]
pub struct Held {
    /// The node.
    pub node: usize,
    /// Number of the life of its process.
    pub life: usize,
    /// Version in force; none if it did not answer.
    pub version: Option<u64>,
    /// Paths in force.
    pub paths: HashSet<String>,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub struct Stopped {
    /// The node.
    pub node: usize,
    /// When it was asked to stop.
    pub at: Instant,
    /// When its process had ended.
    pub gone: Instant,
    /// Its exit code, if it ended by itself.
    pub code: Option<i32>,
}

/// Everything seen in a run.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Requests of all callers.
    pub requests: Vec<Sent>,
    /// How often each request ran, over all targets.
    pub runs: HashMap<String, u32>,
    /// Changes accepted.
    pub accepted: Vec<Accepted>,
    /// What nodes had in force, in the order of looking.
    pub held: Vec<Held>,
    /// What nodes have in force some time after the last fault.
    pub finals: Vec<Held>,
    /// Planned stops beside which nothing else went wrong.
    pub stops: Vec<Stopped>,
    /// Requests sent from then on count for the share that is served at the end.
    pub tail: Instant,
    /// Requests that still run some time after the last caller has gone.
    pub left: u32,
}

impl Default for Seen {
    fn default() -> Self {
        Seen {
            nodes: 0,
            requests: Vec::new(),
            runs: HashMap::new(),
            accepted: Vec::new(),
            held: Vec::new(),
            finals: Vec::new(),
            stops: Vec::new(),
            tail: Instant::now(),
            left: 0,
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{check}: {what}")]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// What was seen.
    pub what: String,
}

/// Names of the checks, for the report.
pub const CHECKS: [&str; 10] = [
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
pub fn violations(seen: &Seen) -> Vec<Violation> {
    let mut found = Vec::new();
    for r in &seen.requests {
        found.extend(request(r, seen.runs.get(&r.id).copied().unwrap_or(0)));
    }
    found.extend(repeats(seen));
    found.extend(growth(seen));
    found.extend(in_force(seen));
    found.extend(seen.stops.iter().filter_map(|s| stop(s, seen)));
    found.extend(served(seen));
    if seen.left > 0 {
        let what = format!("{} requests still run", seen.left);
        found.push(violation(CHECKS[9], what));
    }
    found
}

fn violation(check: &'static str, what: String) -> Violation {
    Violation { check, what }
}

fn request(r: &Sent, runs: u32) -> Option<Violation> {
    let check = match r.told {
        CallerResult::Wrong => CHECKS[0],
        _ if runs > 1 && !r.repeatable => CHECKS[1],
        CallerResult::NotRun if runs > 0 => CHECKS[2],
        CallerResult::Answered if runs == 0 => CHECKS[3],
        _ => return None,
    };
    let what = format!("{} told {} ran {runs} times", r.id, r.told.name());
    Some(violation(check, what))
}

fn repeats(seen: &Seen) -> Option<Violation> {
    let asked = seen.requests.iter().filter(|r| r.repeatable);
    let (mut requests, mut repeated) = (0, 0);
    for r in asked {
        requests += 1;
        let runs = seen.runs.get(&r.id).copied().unwrap_or(0);
        repeated += runs.saturating_sub(1) as usize;
    }
    let most = (f64::from(requests) * REPEAT_SHARE) as usize + REPEAT_SLACK * seen.nodes;
    let what = format!("{repeated} repeats of {requests} requests, {most} allowed");
    (repeated > most).then(|| violation(CHECKS[4], what))
}

fn growth(seen: &Seen) -> Vec<Violation> {
    let mut newest: HashMap<(usize, usize), u64> = HashMap::new();
    let mut found = Vec::new();
    for h in &seen.held {
        let Some(version) = h.version else { continue };
        let before = newest.entry((h.node, h.life)).or_default();
        if version < *before {
            let what = format!("node {} went from {before} to {version}", h.node);
            found.push(violation(CHECKS[5], what));
        }
        *before = version.max(*before);
    }
    found
}

fn in_force(seen: &Seen) -> Vec<Violation> {
    let mut found = Vec::new();
    for node in 0..seen.nodes {
        let Some(held) = seen.finals.iter().find(|h| h.node == node) else {
            found.push(violation(CHECKS[6], format!("node {node} does not answer")));
            continue;
        };
        let missing = |a: &&Accepted| !held.paths.contains(&a.path);
        for a in seen.accepted.iter().filter(missing) {
            let what = format!(
                "node {node} at {:?} lacks {} accepted as {}",
                held.version, a.path, a.version
            );
            found.push(violation(CHECKS[6], what));
        }
    }
    found
}

fn stop(s: &Stopped, seen: &Seen) -> Option<Violation> {
    if s.code != Some(0) {
        let what = format!("node {} ended with {:?}", s.node, s.code);
        return Some(violation(CHECKS[7], what));
    }
    let during = |r: &&Sent| {
        let under_way = r.began < s.at && r.ended > s.at && r.ended <= s.gone;
        r.node == s.node && under_way && !r.left
    };
    let cut = |r: &Sent| matches!(r.told, CallerResult::Incomplete | CallerResult::Unknown);
    let r = seen.requests.iter().filter(during).find(|r| cut(r))?;
    let what = format!("node {} cut {} ({})", s.node, r.id, r.told.name());
    Some(violation(CHECKS[7], what))
}

fn served(seen: &Seen) -> Option<Violation> {
    let tail = |r: &&Sent| r.began >= seen.tail && !r.left;
    let sent = seen.requests.iter().filter(tail).count();
    let answered = seen
        .requests
        .iter()
        .filter(tail)
        .filter(|r| r.told == CallerResult::Answered)
        .count();
    let what = format!("{answered} of {sent} answered after the last fault");
    let enough = sent > 0 && answered as f64 >= sent as f64 * SERVED_SHARE;
    (!enough).then(|| violation(CHECKS[8], what))
}
