//! What a check finds: the issue, its severity and its remedy, and where it is.

use derive_more::Display;
use serde::Serialize;

use crate::state::id::{Path, Version};
use crate::state::settings::Problem;
use crate::state::validate::ValidationError;
use crate::state::workspace::RateLimit;

/// How bad a finding is, the worst first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration would be rejected.
    #[display("error")]
    Error,
    /// The configuration is accepted, but does not do what it seems to say, or callers lose something.
    #[display("warning")]
    Warning,
    /// Worth knowing.
    #[display("note")]
    Note,
}

/// Where an entry is. An entry that is only in the version in force has line zero.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq)]
#[display("{file}:{line}")]
pub struct Position {
    pub file: String,
    /// Line of the entry, counted from 1.
    pub line: usize,
}

impl From<Version> for Position {
    fn from(version: Version) -> Position {
        Position {
            file: format!("version {version}"),
            line: 0,
        }
    }
}

/// One finding about one entry.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{position}: {path}: {issue}; {} [{} {}]", issue.remedy(), issue.severity(), issue.code())]
pub struct Finding {
    pub position: Position,
    pub path: String,
    pub issue: Issue,
}

impl From<Problem> for Finding {
    fn from(problem: Problem) -> Finding {
        let position = Position {
            file: problem.file,
            line: problem.line,
        };
        Finding {
            position,
            path: problem.path,
            issue: Issue::Unreadable(problem.message),
        }
    }
}

/// What is wrong with an entry.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Issue {
    /// The settings file cannot be parsed. Holds the message and the remedy.
    #[display("{}", split_remedy(_0).0)]
    Unreadable(String),
    /// The configuration does not pass the validation.
    #[display("{}", split_remedy(&invalid_text(_0)).0)]
    Invalid(ValidationError),
    #[display("prefix `{_0}` matches no request, because a path has no `?`, `#` or space")]
    UnreachablePrefix(String),
    #[display("host `{_0}` matches no request, because hosts are compared without port and path")]
    UnreachableHost(String),
    #[display("service `{_0}` has a weight of 0 and gets no requests")]
    ZeroWeight(Path),
    #[display("the route is public, so that the limits of workspaces do not apply to its requests")]
    PublicRoute,
    #[display("the objective is longer than the deadline")]
    ObjectiveBeyondDeadline,
    #[display(
        "{attempts} attempts, but the retry allowance grants at most {retries} retries at once"
    )]
    AttemptsBeyondAllowance { attempts: u8, retries: u64 },
    #[display("no route sends requests to the service")]
    ServiceWithoutRoutes,
    #[display("the service has no target settings, while other services have")]
    ServiceWithoutTargets,
    #[display("all targets of the service are drained")]
    AllTargetsDrained,
    #[display(
        "the rate of {rate} requests per second is above the {capacity:.0} that all slots run within the \
         objectives or deadlines of their routes"
    )]
    RateBeyondSlots { rate: f64, capacity: f64 },
    #[display("the workspace has no keys, so that it has no callers")]
    WorkspaceWithoutKeys,
    #[display("another `limits` object exists at `{_0}`, and only one of them is in force")]
    SecondLimits(Path),
    #[display("requests to {_0} match no route any longer")]
    RouteLost(String),
    #[display("the key with the digest {_0}... no longer identifies the workspace")]
    KeyRemoved(String),
    #[display("the limit is lowered from {} to {to}", limit_text(from))]
    LimitLowered {
        from: Option<RateLimit>,
        to: RateLimit,
    },
    #[display("the {_0} is in force, but not in the files")]
    Removed(&'static str),
    #[display("the {_0} differs from the one in force")]
    Changed(&'static str),
    #[display("the {_0} is not in force yet")]
    Added(&'static str),
}

impl Issue {
    /// How bad the issue is.
    pub fn severity(&self) -> Severity {
        match self {
            Issue::Unreadable(_) | Issue::Invalid(_) => Severity::Error,
            Issue::ServiceWithoutTargets
            | Issue::Removed(_)
            | Issue::Changed(_)
            | Issue::Added(_) => Severity::Note,
            _ => Severity::Warning,
        }
    }

    /// Name of the issue, for scripts.
    pub fn code(&self) -> &'static str {
        match self {
            Issue::Unreadable(_) => "unreadable",
            Issue::Invalid(_) => "invalid",
            Issue::UnreachablePrefix(_) => "unreachable-prefix",
            Issue::UnreachableHost(_) => "unreachable-host",
            Issue::ZeroWeight(_) => "zero-weight",
            Issue::PublicRoute => "public-route",
            Issue::ObjectiveBeyondDeadline => "objective-beyond-deadline",
            Issue::AttemptsBeyondAllowance { .. } => "attempts-beyond-allowance",
            Issue::ServiceWithoutRoutes => "service-without-routes",
            Issue::ServiceWithoutTargets => "service-without-targets",
            Issue::AllTargetsDrained => "all-targets-drained",
            Issue::RateBeyondSlots { .. } => "rate-beyond-slots",
            Issue::WorkspaceWithoutKeys => "workspace-without-keys",
            Issue::SecondLimits(_) => "second-limits",
            Issue::RouteLost(_) => "route-lost",
            Issue::KeyRemoved(_) => "key-removed",
            Issue::LimitLowered { .. } => "limit-lowered",
            Issue::Removed(_) => "removed",
            Issue::Changed(_) => "changed",
            Issue::Added(_) => "added",
        }
    }

    /// What to do about the issue.
    pub fn remedy(&self) -> String {
        match self {
            Issue::Unreadable(text) => return split_remedy(text).1.to_string(),
            Issue::Invalid(e) => return split_remedy(&invalid_text(e)).1.to_string(),
            Issue::UnreachablePrefix(_) => "remove these characters from the prefix",
            Issue::UnreachableHost(_) => "write the bare name of the host",
            Issue::ZeroWeight(_) => "remove the service from the split or give it a weight",
            Issue::PublicRoute => "remove `public`, or accept that anybody may send any number",
            Issue::ObjectiveBeyondDeadline => "shorten the objective or lengthen the deadline",
            Issue::AttemptsBeyondAllowance { .. } => "lower `attempts` or raise `retries.slack`",
            Issue::ServiceWithoutRoutes => "add a route to it or remove the service",
            Issue::ServiceWithoutTargets => "add targets, unless they say their slots themselves",
            Issue::AllTargetsDrained => "return a target to service or remove the routes",
            Issue::RateBeyondSlots { .. } => "lower the rate or add slots",
            Issue::WorkspaceWithoutKeys => "add a key made by `tarragon token --key`",
            Issue::SecondLimits(_) => "remove one of them",
            Issue::RouteLost(_) => "keep the route, or delete it knowing that callers get 404",
            Issue::KeyRemoved(_) => "keep the key until its callers have another one",
            Issue::LimitLowered { .. } => "compare it with what the workspace sends",
            Issue::Removed(_) => "`tarragon apply` keeps it; delete it or add it to the files",
            Issue::Changed(_) => "see `tarragon diff`",
            Issue::Added(_) => "nothing to do",
        }
        .to_string()
    }
}

/// A finding as JSON, for scripts.
#[derive(Debug, Serialize)]
pub struct FindingRecord {
    severity: String,
    code: &'static str,
    file: String,
    line: usize,
    path: String,
    message: String,
    remedy: String,
}

impl From<&Finding> for FindingRecord {
    fn from(finding: &Finding) -> FindingRecord {
        FindingRecord {
            severity: finding.issue.severity().to_string(),
            code: finding.issue.code(),
            file: finding.position.file.clone(),
            line: finding.position.line,
            path: finding.path.clone(),
            message: finding.issue.to_string(),
            remedy: finding.issue.remedy(),
        }
    }
}

/// The text of a validation error without its path.
fn invalid_text(e: &ValidationError) -> String {
    let text = e.to_string();
    let prefix = format!("{}: ", e.path());
    text.strip_prefix(&prefix).unwrap_or(&text).to_string()
}

/// Divides a message that ends with its remedy.
fn split_remedy(text: &str) -> (&str, &str) {
    text.rsplit_once("; ")
        .unwrap_or((text, "correct the entry"))
}

fn limit_text(limit: &Option<RateLimit>) -> String {
    limit.map_or_else(|| "none".to_string(), |l| l.to_string())
}
