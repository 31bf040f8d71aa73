//! Helpers of the command line: errors, the API's client, and files.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::time::Duration;

use derive_more::{Display, From};
use gotham::helpers::http::Body;
use hyper::{Method, Request, StatusCode};
use pico_args::Arguments;
use serde_json::Value;
use tarragoncourse::protocol::operators::{ApplyAnswer, ApplyBody};
use tarragoncourse::protocol::wire::{WireEdit, WireEntry, convert};
use tarragoncourse::state::id::{ChangeId, Version};
use tarragoncourse::state::settings::{self, Located};
use tarragoncourse::state::snapshot::{Edit, Entry};
use tarragoncourse::transport::client::HttpClient;
use tarragoncourse::transport::http::{full_body, read_body};

use crate::config::Config;

/// Largest answer of a node, in bytes.
const ANSWER_MAX: usize = 256 << 20;
/// Time within which a node answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

/// Why a subcommand ended early.
#[derive(Debug, Display, From)]
pub enum CliError {
    /// `--help` was given; the usage text.
    #[display("{_0}")]
    #[from(skip)]
    Help(&'static str),
    /// The options are wrong.
    #[display("{_0}; see --help")]
    Flag(pico_args::Error),
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// A file or socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// Something else failed.
    #[display("{_0}")]
    Other(String),
    /// The settings were refused; problems, one a line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Refused(Vec<String>),
    /// Another change touched the same path; problems, one a line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Conflict(Vec<String>),
    /// It is not known whether the change was accepted.
    #[display("{_0}")]
    #[from(skip)]
    Unknown(String),
}

impl CliError {
    /// The process's exit code.
    pub fn code(&self) -> u8 {
        match self {
            CliError::Help(_) => 0,
            CliError::Io(_) | CliError::Other(_) => 1,
            CliError::Flag(_) | CliError::Usage(_) => 2,
            CliError::Refused(_) => 3,
            CliError::Conflict(_) => 4,
            CliError::Unknown(_) => 5,
        }
    }
}

/// Options of a subcommand; ends with the usage text on `--help`.
pub fn arguments(argv: Vec<OsString>, usage: &'static str) -> CliResult<Arguments> {
    let mut args = Arguments::from_vec(argv);
    if args.contains("--help") {
        return Err(CliError::Help(usage));
    }
    Ok(args)
}

/// The words left after the options; an unknown option is an error.
pub fn words(args: Arguments) -> CliResult<Vec<String>> {
    let rest = args.finish();
    let words: Vec<String> = rest
        .iter()
        .map(|w| w.to_string_lossy().into_owned())
        .collect();
    match words.iter().find(|w| w.starts_with('-') && *w != "-") {
        Some(option) => Err(CliError::Usage(format!(
            "option `{option}` is not known; see --help"
        ))),
        None => Ok(words),
    }
}

/// The shared options and the words of a subcommand that has no options of its own.
pub fn connect(argv: Vec<OsString>, usage: &'static str) -> CliResult<(Config, Vec<String>)> {
    let mut args = arguments(argv, usage)?;
    let config = Config::take(&mut args)?;
    Ok((config, words(args)?))
}

/// The one word that a subcommand takes.
pub fn one_word(args: Arguments, what: &str) -> CliResult<String> {
    let mut words = words(args)?;
    match (words.pop(), words.is_empty()) {
        (Some(word), true) => Ok(word),
        _ => Err(CliError::Usage(format!("give one {what}; see --help"))),
    }
}

/// Reads settings files; every problem of every file is reported.
pub fn read_settings(files: &[String]) -> CliResult<Vec<(String, Located)>> {
    if files.is_empty() {
        return Err(CliError::Usage(
            "name a settings file; see --help".to_string(),
        ));
    }
    let mut objects: Vec<(String, Located)> = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|e| CliError::Other(format!("{file}: {e}; check the name")))?;
        match settings::parse(file, &text) {
            Ok(found) => objects.extend(found.into_iter().map(|o| (file.clone(), o))),
            Err(found) => problems.extend(found.iter().map(ToString::to_string)),
        }
    }
    problems.extend(duplicates(&objects));
    if problems.is_empty() {
        return Ok(objects);
    }
    Err(CliError::Refused(problems))
}

fn duplicates(objects: &[(String, Located)]) -> Vec<String> {
    let mut problems = Vec::new();
    for (at, (file, o)) in objects.iter().enumerate() {
        let same = |(_, p): &&(String, Located)| p.entry.path == o.entry.path;
        if let Some((first, p)) = objects[..at].iter().find(same) {
            problems.push(format!(
                "{file}:{}: {}: this path is already set in {first} on line {}; remove or rename one",
                o.line, o.entry.path, p.line
            ));
        }
    }
    problems
}

/// The edits that put objects.
pub fn put_all(objects: &[(String, Located)]) -> Vec<Edit> {
    let located: Vec<Located> = objects.iter().map(|(_, o)| o.clone()).collect();
    settings::edits(&located)
}

/// The client of one node's operators' API.
pub struct Api {
    config: Config,
    client: HttpClient,
}

impl Api {
    /// A client with the configured node and token.
    pub fn new(config: Config) -> Api {
        let client = HttpClient::default();
        Api { config, client }
    }

    /// Reads a page as JSON.
    pub async fn get(&self, path: &str) -> CliResult<Value> {
        let (status, text) = self.call(Method::GET, path, String::new()).await?;
        if status != StatusCode::OK {
            return Err(CliError::Other(text.trim().to_string()));
        }
        serde_json::from_str(&text).map_err(not_understood)
    }

    /// The configuration: version and entries.
    pub async fn config(&self) -> CliResult<(Version, Vec<Entry>)> {
        let mut page = self.get("/v1/config").await?;
        let version = page["version"].as_u64().unwrap_or(0);
        let wires: Vec<WireEntry> =
            serde_json::from_value(page["entries"].take()).map_err(not_understood)?;
        let mut entries: Vec<Entry> = convert(wires).map_err(not_understood)?;
        entries.sort_by(|a, b| a.path.cmp(&b.path));
        Ok((Version(version), entries))
    }

    /// Sends a change and reads how it ended.
    pub async fn apply(
        &self,
        base: Version,
        edits: &[Edit],
        dry_run: bool,
    ) -> CliResult<ApplyAnswer> {
        let body = ApplyBody {
            change: new_change(),
            base: Some(base.0),
            dry_run,
            edits: edits.iter().map(WireEdit::from).collect(),
        };
        let change = body.change.clone();
        let text = serde_json::to_string(&body).map_err(not_understood)?;
        self.post("/v1/apply", text, &change).await
    }

    /// Asks for an older version's content as a new version.
    pub async fn undo(&self, version: u64) -> CliResult<ApplyAnswer> {
        let change = new_change();
        let body = serde_json::json!({ "change": change, "version": version });
        self.post("/v1/undo", body.to_string(), &change).await
    }

    async fn post(&self, path: &str, body: String, change: &str) -> CliResult<ApplyAnswer> {
        let sent = self.call(Method::POST, path, body).await;
        let (status, text) = sent.map_err(|e| {
            CliError::Unknown(format!("{e}; look with `tarragon change show {change}`"))
        })?;
        if status == StatusCode::UNAUTHORIZED || status == StatusCode::BAD_REQUEST {
            return Err(CliError::Other(text.trim().to_string()));
        }
        let answer: ApplyAnswer =
            serde_json::from_str(&text).map_err(|_| CliError::Other(text.trim().to_string()))?;
        match answer.verdict.as_str() {
            "accepted" | "unchanged" | "checked" => Ok(answer),
            "invalid" => Err(CliError::Refused(answer.problems)),
            "conflict" => Err(CliError::Conflict(answer.problems)),
            "unknown" => Err(CliError::Unknown(answer.problems.join("\n"))),
            _ => Err(CliError::Other(answer.problems.join("\n"))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> CliResult<(StatusCode, String)> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(token) = &self.config.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(if body.is_empty() {
            Body::default()
        } else {
            full_body(body)
        });
        let request = request.map_err(not_understood)?;
        let node = self.config.node;
        let answer = async {
            let response = self
                .client
                .send(node, request)
                .await
                .map_err(|_| CliError::Other(format!("no answer from {node}; check --node")))?;
            let status = response.status();
            let bytes = read_body(response.into_body(), ANSWER_MAX).await?;
            Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(CALL_TIMEOUT, answer)
            .await
            .unwrap_or_else(|_| Err(CliError::Other(format!("{node} did not answer in time"))))
    }
}

fn new_change() -> String {
    ChangeId(fastrand::u128(..)).to_string()
}

fn not_understood(e: impl std::fmt::Display) -> CliError {
    CliError::Other(format!("the node's answer is not understood: {e}"))
}

/// Runs a future to its end.
pub fn block_on<T>(future: impl Future<Output = CliResult<T>>) -> CliResult<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Prints rows in aligned columns.
pub fn table(head: &[&str], rows: &[Vec<String>]) {
    let width = |at: usize| {
        let cells = rows.iter().map(|r| r[at].len());
        cells.chain([head[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let print = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print(head.to_vec());
    rows.iter()
        .for_each(|r| print(r.iter().map(String::as_str).collect()));
}
