//! Checks of limits that contradict each other.

use std::collections::HashMap;
use std::time::Duration;

use super::Files;
use super::finding::{Finding, Issue};
use crate::coordination::retry::RetryAllowance;
use crate::state::id::Path;
use crate::state::object::{Object, Route};

/// Checks attempts against the retry allowance, rates against slots, and the limits on callers.
pub(super) fn check(files: &Files<'_>, retries: RetryAllowance) -> Vec<Finding> {
    let mut findings = Vec::new();
    let capacity = capacity(files);
    let mut first_limits = None;
    for (path, object) in files.entries() {
        let issue = match object {
            Object::Route(route) => excess_attempts(route, retries),
            Object::Workspace(w) => w.limit.zip(capacity).and_then(|(limit, capacity)| {
                let rate = limit.rate;
                (rate > capacity).then_some(Issue::RateBeyondSlots { rate, capacity })
            }),
            Object::Limits(_) => first_limits
                .replace(path)
                .map(|first: &Path| Issue::SecondLimits(first.clone())),
            _ => None,
        };
        findings.extend(issue.map(|i| files.finding(path, i)));
    }
    findings
}

fn excess_attempts(route: &Route, retries: RetryAllowance) -> Option<Issue> {
    let granted = retries.burst.floor() as u64;
    let attempts = route.max_attempts;
    (u64::from(attempts) > granted + 1).then_some(Issue::AttemptsBeyondAllowance {
        attempts,
        retries: granted,
    })
}

/// Requests per second that all slots run if each takes as long as the objective of its route, or the
/// deadline without one. `None` if the slots of a service with routes are not known.
fn capacity(files: &Files<'_>) -> Option<f64> {
    let mut slots: HashMap<&Path, f64> = HashMap::new();
    // The shortest time of a service's routes, so that the capacity is not underestimated.
    let mut times: HashMap<&Path, Duration> = HashMap::new();
    for (_, object) in files.entries() {
        match object {
            Object::Target(t) if !t.drained => {
                *slots.entry(&t.service).or_default() += f64::from(t.slots);
            }
            Object::Route(r) => {
                let time = r.objective.unwrap_or(r.deadline);
                for w in r.service_weights.iter().filter(|w| w.weight > 0) {
                    let shortest = times.entry(&w.service).or_insert(time);
                    *shortest = time.min(*shortest);
                }
            }
            _ => {}
        }
    }
    let rates = times.iter().map(|(service, time)| {
        let slots = slots.get(service)?;
        Some(slots / time.as_secs_f64())
    });
    (!times.is_empty()).then(|| rates.sum()).flatten()
}
