//! Checks of a finished run, based on what callers, targets and administrators observed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::load::CallerResult;
use crate::standin::target::RatePeriod;

/// Minimum share of the requests in the recovery window that must be answered.
const ANSWERED_SHARE_MIN: f64 = 0.95;
/// Maximum ratio of retries to idempotent requests.
const RETRY_RATIO_MAX: f64 = 0.1;
/// Retries that each node may send in addition to [`RETRY_RATIO_MAX`].
const RETRY_SLACK_PER_NODE: usize = 20;

/// A completed or abandoned request, as seen by its caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// Whether its route allows it to run more than once.
    pub idempotent: bool,
    /// The result as seen by the caller.
    pub result: CallerResult,
    /// Whether the caller closed the connection on purpose before the response was complete.
    pub abandoned: bool,
    /// When the caller started to send it.
    pub started: Instant,
    /// When the response was complete, or the request failed or was abandoned.
    pub ended: Instant,
}

/// A configuration change that the admin API reported as accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// Configuration version that it created.
    pub version: u64,
    /// Path of the object that it wrote.
    pub path: String,
}

/// The configuration that a node had in force at one point in time.
#[derive(Clone, Debug)]
pub struct ConfigSample {
    /// Index of the node.
    pub node: usize,
    /// Number of starts of the node's process so far. A restarted process may begin at an older
    /// version.
    pub incarnation: usize,
    /// Version in force; `None` if the node did not respond.
    pub version: Option<u64>,
    /// Paths of the objects in force.
    pub paths: HashSet<String>,
}

/// A graceful stop of a node, requested by the schedule.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    /// Index of the node.
    pub node: usize,
    /// When the stop was requested.
    pub requested: Instant,
    /// When the process had exited.
    pub exited: Instant,
    /// Exit code; `None` if a signal ended the process, for example because the stop timed out.
    pub exit_code: Option<i32>,
}

/// Time after the first answer that named a rate from which the requests count.
const RATE_GRACE: Duration = Duration::from_millis(500);
/// Length of the windows in which requests at a target that names a rate are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// How many times the named rate a target may get in a window.
const RATE_FACTOR_MAX: f64 = 1.5;
/// Requests that a target may get in a window in addition.
const RATE_SLACK: f64 = 5.0;

/// Everything that was observed in a run.
#[derive(Clone, Debug)]
pub struct Observations {
    /// Number of nodes in the fleet.
    pub node_count: usize,
    /// Requests of all callers.
    pub requests: Vec<RequestRecord>,
    /// How often each request ran, by request id, summed over all targets.
    pub run_counts: HashMap<String, u32>,
    /// Accepted configuration changes.
    pub accepted: Vec<AcceptedChange>,
    /// Configurations in force during the run, in the order of sampling.
    pub samples: Vec<ConfigSample>,
    /// Configurations in force after the last fault and the time allowed for convergence.
    pub final_samples: Vec<ConfigSample>,
    /// Planned stops that are not close in time to another event that may disturb them.
    pub stops: Vec<PlannedStop>,
    /// Rates that targets named, where nothing kept their nodes from hearing them.
    pub rates: Vec<RatePeriod>,
    /// Start of the recovery window: most requests sent from then on must be answered.
    pub recovery_start: Instant,
    /// Requests that still run at the targets some time after all callers have disconnected.
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
            rates: Vec::new(),
            recovery_start: Instant::now(),
            unfinished: 0,
        }
    }
}

/// A failed check.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{check}: {details}")]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// What was observed.
    pub details: String,
}

/// Names of the checks, as printed in the report. The checks refer to them by index. `repeats` is
/// the check of the number of retries.
pub const CHECK_NAMES: [&str; 11] = [
    "responses are correct",
    "at most once",
    "not-run requests did not run",
    "answered requests ran",
    "repeats",
    "versions never decrease",
    "accepted changes are in force",
    "planned stops interrupt no request",
    "requests succeed after the last fault",
    "no request runs after all callers have left",
    "targets get no more than the rate they name",
];

/// Runs all checks and returns those that failed.
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
        let details = format!("{} requests are still running", observed.unfinished);
        found.push(violation(CHECK_NAMES[9], details));
    }
    found.extend(observed.rates.iter().filter_map(check_rate));
    found
}

fn violation(check: &'static str, details: String) -> Violation {
    Violation { check, details }
}

fn check_request(r: &RequestRecord, runs: u32) -> Option<Violation> {
    let check = match r.result {
        CallerResult::Wrong => CHECK_NAMES[0],
        _ if runs > 1 && !r.idempotent => CHECK_NAMES[1],
        CallerResult::NotRun if runs > 0 => CHECK_NAMES[2],
        CallerResult::Answered if runs == 0 => CHECK_NAMES[3],
        _ => return None,
    };
    let details = format!(
        "request {} reported as {} ran {runs} times",
        r.id,
        r.result.name()
    );
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
    let details = format!("{retries} retries of {requests} requests, at most {allowed} allowed");
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
            let details = format!(
                "node {} went back from version {previous} to {version}",
                sample.node
            );
            found.push(violation(CHECK_NAMES[5], details));
        }
        *previous = version.max(*previous);
    }
    found
}

fn check_accepted_changes(observed: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for node in 0..observed.node_count {
        let Some(sample) = observed.final_samples.iter().find(|s| s.node == node) else {
            found.push(violation(
                CHECK_NAMES[6],
                format!("node {node} did not respond"),
            ));
            continue;
        };
        let missing = |a: &&AcceptedChange| !sample.paths.contains(&a.path);
        for a in observed.accepted.iter().filter(missing) {
            let details = format!(
                "node {node} at version {:?} lacks {}, accepted in version {}",
                sample.version, a.path, a.version
            );
            found.push(violation(CHECK_NAMES[6], details));
        }
    }
    found
}

fn check_stop(s: &PlannedStop, observed: &Observations) -> Option<Violation> {
    if s.exit_code != Some(0) {
        let details = format!("node {} exited with code {:?}", s.node, s.exit_code);
        return Some(violation(CHECK_NAMES[7], details));
    }
    let in_flight = |r: &&RequestRecord| {
        let overlaps = r.started < s.requested && r.ended > s.requested && r.ended <= s.exited;
        r.node == s.node && overlaps && !r.abandoned
    };
    let interrupted =
        |r: &RequestRecord| matches!(r.result, CallerResult::Incomplete | CallerResult::Unknown);
    let r = observed
        .requests
        .iter()
        .filter(in_flight)
        .find(|r| interrupted(r))?;
    let details = format!(
        "node {} interrupted request {} ({})",
        s.node,
        r.id,
        r.result.name()
    );
    Some(violation(CHECK_NAMES[7], details))
}

/// Checks each window of one second, from half a second after the first answer that named the rate.
fn check_rate(period: &RatePeriod) -> Option<Violation> {
    let counted_from = period.named_at? + RATE_GRACE;
    let counted = |at: &&Instant| **at >= counted_from;
    let arrivals: Vec<Instant> = period.arrivals.iter().filter(counted).copied().collect();
    let allowed = period.rate * RATE_FACTOR_MAX * RATE_WINDOW.as_secs_f64() + RATE_SLACK;
    let in_window = |from: &Instant| {
        let within = |at: &&Instant| **at >= *from && **at < *from + RATE_WINDOW;
        arrivals.iter().filter(within).count()
    };
    let most = arrivals.iter().map(in_window).max()?;
    let details = format!(
        "{most} requests in a second at a rate of {}, at most {allowed} allowed",
        period.rate
    );
    (most as f64 > allowed).then(|| violation(CHECK_NAMES[10], details))
}

fn check_recovery(observed: &Observations) -> Option<Violation> {
    let in_window = |r: &&RequestRecord| r.started >= observed.recovery_start && !r.abandoned;
    let sent = observed.requests.iter().filter(in_window).count();
    let answered = observed
        .requests
        .iter()
        .filter(in_window)
        .filter(|r| r.result == CallerResult::Answered)
        .count();
    let details = format!("{answered} of {sent} requests answered after the last fault");
    let enough = sent > 0 && answered as f64 >= sent as f64 * ANSWERED_SHARE_MIN;
    (!enough).then(|| violation(CHECK_NAMES[8], details))
}
