//! The client of a node's operators' API.

use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use tarragoncourse::protocol::operators::{ApplyRequest, ApplyResponse};
use tarragoncourse::protocol::wire::{WireEdit, WireEntry, convert_all};
use tarragoncourse::state::id::{ChangeId, Version};
use tarragoncourse::state::snapshot::{Edit, Entry};
use tarragoncourse::transport::client::HttpClient;
use tarragoncourse::transport::http::{full_body, read_body};

use crate::config::Config;
use crate::error::{CliError, CliResult};

/// Largest answer of a node, in bytes.
const ANSWER_MAX: usize = 256 << 20;
/// Time within which a node answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

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
        let mut entries: Vec<Entry> = convert_all(wires).map_err(not_understood)?;
        entries.sort_by(|a, b| a.path.cmp(&b.path));
        Ok((Version(version), entries))
    }

    /// Sends a change and reads how it ended.
    pub async fn apply(
        &self,
        base: Version,
        edits: &[Edit],
        dry_run: bool,
    ) -> CliResult<ApplyResponse> {
        let body = ApplyRequest {
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
    pub async fn undo(&self, version: u64) -> CliResult<ApplyResponse> {
        let change = new_change();
        let body = serde_json::json!({ "change": change, "version": version });
        self.post("/v1/undo", body.to_string(), &change).await
    }

    async fn post(&self, path: &str, body: String, change: &str) -> CliResult<ApplyResponse> {
        let sent = self.call(Method::POST, path, body).await;
        let (status, text) = sent.map_err(|e| {
            CliError::Unknown(format!("{e}; look with `tarragon change show {change}`"))
        })?;
        if status == StatusCode::UNAUTHORIZED || status == StatusCode::BAD_REQUEST {
            return Err(CliError::Other(text.trim().to_string()));
        }
        let answer: ApplyResponse =
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
