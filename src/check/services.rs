//! Checks of services: whether requests reach them and targets serve them.

use std::collections::{HashMap, HashSet};

use super::Files;
use super::finding::{Finding, Issue};
use crate::state::id::Path;
use crate::state::object::Object;

/// Checks all services.
pub(super) fn check(files: &Files<'_>) -> Vec<Finding> {
    let mut routed: HashSet<&Path> = HashSet::new();
    // Whether a target of the service is not drained.
    let mut served: HashMap<&Path, bool> = HashMap::new();
    for (_, object) in files.entries() {
        match object {
            Object::Route(r) => routed.extend(r.service_weights.iter().map(|w| &w.service)),
            Object::Target(t) => *served.entry(&t.service).or_default() |= !t.drained,
            _ => {}
        }
    }
    let mut findings = Vec::new();
    for (path, _) in files
        .entries()
        .filter(|(_, o)| matches!(o, Object::Service(_)))
    {
        if !routed.contains(path) {
            findings.push(files.finding(path, Issue::ServiceWithoutRoutes));
        }
        match served.get(path) {
            Some(true) => {}
            Some(false) => findings.push(files.finding(path, Issue::AllTargetsDrained)),
            // Targets need no settings. Where none has any, a service is not conspicuous.
            None if served.is_empty() => {}
            None => findings.push(files.finding(path, Issue::ServiceWithoutTargets)),
        }
    }
    findings
}
