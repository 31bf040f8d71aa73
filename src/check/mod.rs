//! Checks of a configuration before it is sent: errors, entries that can never match, limits that
//! contradict each other, and what differs from the version in force.
//!
//! The checks are functions of the parsed entries, without input or output.

mod changes;
mod finding;
mod limits;
mod routes;
mod services;
mod workspaces;

use std::collections::HashMap;

pub use changes::compare;
pub use finding::{Finding, FindingRecord, Issue, Position, Severity};

use crate::coordination::retry::RetryAllowance;
use crate::state::id::Path;
use crate::state::object::Object;
use crate::state::settings::LocatedEntry;
use crate::state::snapshot::Snapshot;
use crate::state::validate::check_config;

/// The entries of all files, with their positions.
#[derive(Debug)]
pub struct Files<'a> {
    objects: &'a [(String, LocatedEntry)],
    by_path: HashMap<&'a Path, usize>,
}

impl<'a> Files<'a> {
    /// Indexes the entries of settings files. Each path occurs once.
    pub fn new(objects: &'a [(String, LocatedEntry)]) -> Files<'a> {
        let paths = objects.iter().enumerate();
        Files {
            objects,
            by_path: paths.map(|(n, (_, o))| (&o.entry.path, n)).collect(),
        }
    }

    /// All entries, in the order of the files.
    pub fn entries(&self) -> impl Iterator<Item = (&'a Path, &'a Object)> {
        let objects = self.objects.iter();
        objects.map(|(_, o)| (&o.entry.path, &*o.entry.object))
    }

    /// The entry at a path.
    pub fn get(&self, path: &Path) -> Option<&'a Object> {
        let index = self.by_path.get(path)?;
        Some(&*self.objects[*index].1.entry.object)
    }

    /// Creates a finding about an entry of the files.
    pub fn finding(&self, path: &Path, issue: Issue) -> Finding {
        let object = self.by_path.get(path).map(|n| &self.objects[*n]);
        let position = object.map(|(file, o)| Position {
            file: file.clone(),
            line: o.line,
        });
        Finding {
            position: position.unwrap_or_default(),
            path: path.to_string(),
            issue,
        }
    }
}

/// Checks a complete configuration. The worst findings come first.
///
/// ```
/// use tarragoncourse::check::{Files, Severity, check};
/// use tarragoncourse::coordination::retry::RetryAllowance;
/// use tarragoncourse::state::settings::parse_file;
/// let text = "kind: service\npath: guild/services/cutbook\n";
/// let objects = parse_file("a.yaml", text).unwrap();
/// let objects: Vec<_> = objects.into_iter().map(|o| ("a.yaml".to_string(), o)).collect();
/// let found = check(&Files::new(&objects), RetryAllowance::default());
/// assert_eq!(found[0].issue.severity(), Severity::Error);
/// assert_eq!(found[1].issue.code(), "service-without-routes");
/// ```
pub fn check(files: &Files<'_>, retries: RetryAllowance) -> Vec<Finding> {
    let entries = files.objects.iter().map(|(_, o)| o.entry.clone());
    let config = Snapshot::from_external(Default::default(), entries.collect());
    let errors = check_config(&config);
    let mut findings: Vec<Finding> = errors
        .into_iter()
        .map(|e| files.finding(&e.path().clone(), Issue::Invalid(e)))
        .collect();
    findings.extend(routes::check(files));
    findings.extend(services::check(files));
    findings.extend(limits::check(files, retries));
    findings.extend(workspaces::check(files));
    findings.sort_by_key(|f| f.issue.severity());
    findings
}
