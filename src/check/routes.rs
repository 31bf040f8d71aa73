//! Checks of routes.

use super::Files;
use super::finding::{Finding, Issue};
use crate::state::object::{Object, Route};

/// Checks all routes.
pub(super) fn check(files: &Files<'_>) -> Vec<Finding> {
    let has_limits = files
        .entries()
        .any(|(_, o)| matches!(o, Object::Workspace(w) if w.limit.is_some()));
    let mut findings = Vec::new();
    for (path, object) in files.entries() {
        if let Object::Route(route) = object {
            let issues = issues(route, has_limits);
            findings.extend(issues.into_iter().map(|i| files.finding(path, i)));
        }
    }
    findings
}

fn issues(route: &Route, has_limits: bool) -> Vec<Issue> {
    let mut issues = Vec::new();
    if !is_path(&route.prefix) {
        issues.push(Issue::UnreachablePrefix(route.prefix.clone()));
    }
    if let Some(host) = route.host.as_ref().filter(|h| !is_host(h)) {
        issues.push(Issue::UnreachableHost(host.clone()));
    }
    let unused = route.service_weights.iter().filter(|w| w.weight == 0);
    issues.extend(unused.map(|w| Issue::ZeroWeight(w.service.clone())));
    if route.public && has_limits {
        issues.push(Issue::PublicRoute);
    }
    if route.objective.is_some_and(|o| o > route.deadline) {
        issues.push(Issue::ObjectiveBeyondDeadline);
    }
    issues
}

/// Whether the path of a request may start with the text.
fn is_path(prefix: &str) -> bool {
    prefix
        .bytes()
        .all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#')
}

/// Whether the text may be the host of a request, without its port.
fn is_host(host: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    !host.is_empty() && host.bytes().all(allowed)
}
