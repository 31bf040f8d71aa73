//! Parsing of settings files, which are YAML files with one [`Object`] in each document.
//!
//! Every problem is reported with the file, the line, the path of the object and a suggestion how
//! to fix it. A file with a problem yields no objects.

mod fields;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, de};

use super::id::Path;
use super::object::{Limits, Object, Route, Service, TargetSettings, Team};
use super::snapshot::{Edit, Entry};
use super::units::format_duration;
use super::workspace::Workspace;

use fields::{RawLimits, RawRoute, RawService, RawTarget, RawTeam, RawWorkspace};

/// Maximum number of slots of a target.
pub const SLOTS_MAX: u32 = 4096;
/// Maximum number of connections of a target.
pub const CONNECTIONS_MAX: u32 = 65_536;
/// Maximum number of attempts that a route may allow.
pub const ATTEMPTS_MAX: u8 = 10;
/// Maximum deadline of a route.
pub const DEADLINE_MAX: Duration = Duration::from_secs(3600);
/// Maximum length of a target's slow start.
pub const RAMP_MAX: Duration = Duration::from_secs(600);

/// Smallest value to which the size of request heads may be limited.
pub const HEAD_MIN_BYTES: usize = 8 << 10;
/// Largest value to which the size of request heads may be limited.
pub const HEAD_MAX_BYTES: usize = 1 << 20;

const DEADLINE_DEFAULT: Duration = Duration::from_secs(10);
const RAMP_DEFAULT: Duration = Duration::from_secs(10);
const ATTEMPTS_DEFAULT: u8 = 3;

/// One error in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}:{line}: {path}: {message}")]
pub struct Problem {
    /// File name, as given by the operator.
    pub file: String,
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Path of the object, or `-` if the document has none that can be read.
    pub path: String,
    /// What is wrong and how to fix it.
    pub message: String,
}

/// A parsed object with its position in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedEntry {
    /// Line of the document's first field, counted from 1.
    pub line: usize,
    /// The object and its path.
    pub entry: Entry,
}

/// Parses the text of a settings file. The name of the file is used only in problems.
///
/// # Errors
/// All problems of the file, in the order of their documents.
///
/// ```
/// use tarragoncourse::state::settings::parse_file;
/// let text = "kind: service\npath: guild/services/cutbook\n";
/// assert_eq!(parse_file("a.yaml", text).unwrap().len(), 1);
/// let problems = parse_file("a.yaml", "kind: service\npath: guild/x\ncolour: red\n").unwrap_err();
/// assert!(problems[0].to_string().starts_with("a.yaml:3: guild/x: unknown field `colour`"));
/// ```
pub fn parse_file(file: &str, text: &str) -> Result<Vec<LocatedEntry>, Vec<Problem>> {
    let mut objects: Vec<LocatedEntry> = Vec::new();
    let mut problems = Vec::new();
    let mut first_lines = BTreeMap::new();
    for (line, doc) in split_documents(text) {
        match parse_document(file, line, &doc) {
            Err(p) => problems.push(p),
            Ok(object) => match first_lines.insert(object.entry.path.clone(), line) {
                Some(first) => problems.push(duplicate_path_problem(file, &object, first)),
                None => objects.push(object),
            },
        }
    }
    if problems.is_empty() {
        return Ok(objects);
    }
    Err(problems)
}

/// Returns edits that create or replace all objects of a file.
pub fn put_edits(objects: &[LocatedEntry]) -> Vec<Edit> {
    let put = |o: &LocatedEntry| Edit::Put(o.entry.path.clone(), o.entry.object.clone());
    objects.iter().map(put).collect()
}

/// Formats an object as a YAML document that [`parse_file`] can read.
///
/// ```
/// use tarragoncourse::state::settings::{parse_file, to_yaml};
/// let text = "kind: service\npath: guild/services/cutbook\nhealth: /up\n";
/// let found = parse_file("a.yaml", text).unwrap();
/// assert_eq!(to_yaml(&found[0].entry), text);
/// ```
pub fn to_yaml(entry: &Entry) -> String {
    let mut out = format!("kind: {}\npath: {}\n", entry.object.kind(), entry.path);
    let mut line = |name: &str, value: String| out.push_str(&format!("{name}: {value}\n"));
    match &*entry.object {
        Object::Team(t) => line("token-hash", quote(&t.token_hash)),
        Object::Service(s) => {
            s.shed_status
                .iter()
                .for_each(|c| line("shed-status", c.to_string()));
            s.health_path.iter().for_each(|h| line("health", h.clone()));
        }
        Object::Target(t) => {
            line("service", t.service.to_string());
            line("slots", t.slots.to_string());
            line("connections", t.max_connections.to_string());
            line("ramp", format_duration(t.ramp));
            line("drained", t.drained.to_string());
        }
        Object::Route(r) => route_to_yaml(r, line),
        Object::Limits(l) => {
            line("head", l.max_head_bytes.to_string());
            line("body", l.max_body_bytes.to_string());
            line("patience", format_duration(l.head_timeout));
            line("idle", format_duration(l.idle_timeout));
        }
        Object::Workspace(w) => workspace_to_yaml(w, line),
    }
    out
}

fn route_to_yaml(r: &Route, mut line: impl FnMut(&str, String)) {
    r.host.iter().for_each(|h| line("host", h.clone()));
    line("prefix", r.prefix.clone());
    line("methods", format!("[{}]", r.methods.join(", ")));
    match r.service_weights.as_slice() {
        [single] if single.weight == 1 => line("service", single.service.to_string()),
        services => {
            let weights = services
                .iter()
                .map(|w| format!("{}: {}", w.service, w.weight));
            let weights: Vec<String> = weights.collect();
            line("split", format!("{{{}}}", weights.join(", ")));
        }
    }
    line("class", r.class.to_string());
    if r.priority != r.class.priority() {
        line("priority", r.priority.to_string());
    }
    r.objective
        .iter()
        .for_each(|o| line("objective", format_duration(*o)));
    line("deadline", format_duration(r.deadline));
    line("attempts", r.max_attempts.to_string());
    line("idempotent", r.idempotency.to_string());
    line("keyed", r.requires_key.to_string());
    if r.public {
        line("public", r.public.to_string());
    }
}

fn workspace_to_yaml(w: &Workspace, mut line: impl FnMut(&str, String)) {
    line("name", quote(&w.name));
    let keys: Vec<String> = w.keys.iter().map(|k| quote(&k.to_string())).collect();
    line("keys", format!("[{}]", keys.join(", ")));
    w.priority
        .iter()
        .for_each(|p| line("priority", p.to_string()));
    if let Some(limit) = w.limit {
        line("rate", limit.rate.to_string());
        line("burst", limit.burst.to_string());
    }
}

fn quote(text: &str) -> String {
    format!("\"{text}\"")
}

fn split_documents(text: &str) -> Vec<(usize, String)> {
    let mut docs = vec![(1, String::new())];
    for (index, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            docs.push((index + 2, String::new()));
            continue;
        }
        let (_, doc) = docs.last_mut().expect("the list is never empty");
        doc.push_str(line);
        doc.push('\n');
    }
    docs.retain(|(_, doc)| doc.lines().any(|l| !is_blank(l)));
    docs
}

fn is_blank(line: &str) -> bool {
    line.trim().is_empty() || line.trim_start().starts_with('#')
}

fn duplicate_path_problem(file: &str, object: &LocatedEntry, first_line: usize) -> Problem {
    Problem {
        file: file.to_string(),
        line: object.line,
        path: object.entry.path.to_string(),
        message: format!(
            "this path is already set on line {first_line}; remove or rename one of the objects"
        ),
    }
}

/// The fields that objects of every kind have.
#[derive(Deserialize)]
struct DocumentHead {
    kind: Option<String>,
    path: Option<String>,
}

fn parse_document(file: &str, start: usize, doc: &str) -> Result<LocatedEntry, Problem> {
    let blank_lines = doc.lines().take_while(|l| is_blank(l)).count();
    let problem = |line: usize, path: &str, message: String| Problem {
        file: file.to_string(),
        line: start + line,
        path: path.to_string(),
        message,
    };
    let head: DocumentHead = serde_yaml_ng::from_str(doc)
        .map_err(|e| problem(error_line(&e, blank_lines), "-", error_message(&e)))?;
    let shown_path = head.path.clone().unwrap_or_else(|| "-".to_string());
    let object = parse_object(head.kind.as_deref(), doc).map_err(|e| {
        let message = error_message(&e);
        let line = field_line(doc, &message).unwrap_or(blank_lines);
        problem(error_line(&e, line), &shown_path, message)
    })?;
    let path =
        Path::new(&shown_path).map_err(|e| problem(blank_lines, &shown_path, e.to_string()))?;
    let object = std::sync::Arc::new(object);
    Ok(LocatedEntry {
        line: start + blank_lines,
        entry: Entry { path, object },
    })
}

fn parse_object(kind: Option<&str>, doc: &str) -> Result<Object, serde_yaml_ng::Error> {
    match kind {
        Some("team") => parse_raw::<RawTeam, Team>(doc).map(Object::Team),
        Some("service") => parse_raw::<RawService, Service>(doc).map(Object::Service),
        Some("target") => parse_raw::<RawTarget, TargetSettings>(doc).map(Object::Target),
        Some("route") => parse_raw::<RawRoute, Route>(doc).map(Object::Route),
        Some("limits") => parse_raw::<RawLimits, Limits>(doc).map(Object::Limits),
        Some("workspace") => parse_raw::<RawWorkspace, Workspace>(doc).map(Object::Workspace),
        Some(other) => Err(de::Error::custom(format!(
            "kind `{other}` is not known; use team, service, target, route, limits or workspace"
        ))),
        None => Err(de::Error::custom("missing field `kind`; add `kind:`")),
    }
}

fn parse_raw<R, T>(doc: &str) -> Result<T, serde_yaml_ng::Error>
where
    R: de::DeserializeOwned,
    T: TryFrom<R, Error = String>,
{
    let raw: R = serde_yaml_ng::from_str(doc)?;
    T::try_from(raw).map_err(de::Error::custom)
}

fn error_line(e: &serde_yaml_ng::Error, default: usize) -> usize {
    e.location().map_or(default, |l| l.line() - 1)
}

/// Finds the line of the field whose name is the first word of a message, as it is in most messages
/// about the value of a field.
fn field_line(doc: &str, message: &str) -> Option<usize> {
    let name = message.split(' ').next()?;
    let has_field = |line: &str| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(':'))
    };
    doc.lines().position(has_field)
}

/// Returns the text of a YAML error without the position, because its line number counts from the
/// start of the document and not of the file. For unknown and missing fields, a suggestion how to
/// fix the problem is added.
fn error_message(e: &serde_yaml_ng::Error) -> String {
    let text = e.to_string();
    let end = text.rfind(" at line ").unwrap_or(text.len());
    let text = &text[..end];
    if text.contains("unknown field") {
        return format!("{text}; remove the field or correct its name");
    }
    if text.contains("missing field") && !text.contains(';') {
        return format!("{text}; add it");
    }
    text.to_string()
}
