//! What differs from the version in force, worst for callers first.

use std::collections::{HashMap, HashSet};

use super::Files;
use super::finding::{Finding, Issue, Position};
use crate::state::id::{Path, Version};
use crate::state::object::{Object, Route};
use crate::state::snapshot::Entry;
use crate::state::workspace::{KeyDigest, RateLimit, Workspace};

/// Digits of a key's digest in a message, enough to find it in the settings.
const DIGEST_DIGITS: usize = 12;

/// Host, prefix and method of requests that a route matches.
type Match<'a> = (Option<&'a str>, &'a str, &'a str);

/// Compares the complete configuration in the files with the version in force.
pub fn compare(files: &Files<'_>, version: Version, in_force: &[Entry]) -> Vec<Finding> {
    let comparison = Comparison { files, version };
    let mut findings = comparison.lost_routes(in_force);
    findings.extend(comparison.removed_keys(in_force));
    findings.extend(comparison.lowered_limits(in_force));
    findings.extend(comparison.differing_entries(in_force));
    findings
}

struct Comparison<'a, 'f> {
    files: &'a Files<'f>,
    version: Version,
}

impl Comparison<'_, '_> {
    /// Creates a finding about an entry in force, at its position in the files if it is in them.
    fn finding(&self, path: &Path, issue: Issue) -> Finding {
        let mut finding = self.files.finding(path, issue);
        if self.files.get(path).is_none() {
            finding.position = Position::from(self.version);
        }
        finding
    }

    fn lost_routes(&self, in_force: &[Entry]) -> Vec<Finding> {
        let kept: HashSet<Match<'_>> = self
            .files
            .entries()
            .filter_map(|(_, o)| as_route(o))
            .flat_map(matches)
            .collect();
        // A route that names no method or no host takes the requests of one that did.
        let is_kept = |(host, prefix, method): &Match<'_>| {
            let hosts = [*host, None];
            let methods = [*method, ""];
            hosts
                .iter()
                .any(|h| methods.iter().any(|m| kept.contains(&(*h, *prefix, *m))))
        };
        let mut findings = Vec::new();
        for entry in in_force {
            let lost = as_route(&entry.object).into_iter().flat_map(matches);
            for (host, prefix, method) in lost.filter(|m| !is_kept(m)) {
                let method = if method.is_empty() {
                    "any method"
                } else {
                    method
                };
                let requests = format!("{method} {}{prefix}", host.unwrap_or("any host "));
                findings.push(self.finding(&entry.path, Issue::RouteLost(requests)));
            }
        }
        findings
    }

    fn removed_keys(&self, in_force: &[Entry]) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (path, workspace) in in_force.iter().filter_map(as_workspace) {
            let now = self.files.get(path).and_then(|o| match o {
                Object::Workspace(w) => Some(w),
                _ => None,
            });
            let kept = |k: &KeyDigest| now.is_some_and(|w| w.keys.contains(k));
            for key in workspace.keys.iter().filter(|k| !kept(k)) {
                let digits = key.to_string()[..DIGEST_DIGITS].to_string();
                findings.push(self.finding(path, Issue::KeyRemoved(digits)));
            }
        }
        findings
    }

    fn lowered_limits(&self, in_force: &[Entry]) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (path, before) in in_force.iter().filter_map(as_workspace) {
            if let Some(Object::Workspace(now)) = self.files.get(path)
                && let Some(to) = now.limit.filter(|to| is_lower(before.limit, *to))
            {
                let from = before.limit;
                findings.push(self.finding(path, Issue::LimitLowered { from, to }));
            }
        }
        findings
    }

    fn differing_entries(&self, in_force: &[Entry]) -> Vec<Finding> {
        let before: HashMap<&Path, &Object> =
            in_force.iter().map(|e| (&e.path, &*e.object)).collect();
        let removed = in_force
            .iter()
            .filter(|e| self.files.get(&e.path).is_none());
        let mut findings: Vec<Finding> = removed
            .map(|e| self.finding(&e.path, Issue::Removed(e.object.kind())))
            .collect();
        let mut added = Vec::new();
        for (path, object) in self.files.entries() {
            match before.get(path) {
                Some(old) if *old == object => {}
                Some(_) => findings.push(self.finding(path, Issue::Changed(object.kind()))),
                None => added.push(self.finding(path, Issue::Added(object.kind()))),
            }
        }
        findings.extend(added);
        findings
    }
}

fn as_route(object: &Object) -> Option<&Route> {
    match object {
        Object::Route(route) => Some(route),
        _ => None,
    }
}

fn as_workspace(entry: &Entry) -> Option<(&Path, &Workspace)> {
    match &*entry.object {
        Object::Workspace(workspace) => Some((&entry.path, workspace)),
        _ => None,
    }
}

/// The requests that a route matches. An empty method stands for any.
fn matches(route: &Route) -> Vec<Match<'_>> {
    let key = |method| (route.host.as_deref(), route.prefix.as_str(), method);
    match route.methods.is_empty() {
        true => vec![key("")],
        false => route.methods.iter().map(|m| key(m.as_str())).collect(),
    }
}

fn is_lower(before: Option<RateLimit>, now: RateLimit) -> bool {
    before.is_none_or(|b| now.rate < b.rate || now.burst < b.burst)
}
