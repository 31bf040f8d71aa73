//! Client of the operators' API of a node.

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

use crate::error::{CliError, CliResult};
use crate::options::CliOptions;

/// Maximum size of a response.
const RESPONSE_MAX_BYTES: usize = 256 << 20;
/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the operators' API of one node.
pub struct ApiClient {
    options: CliOptions,
    client: HttpClient,
}

impl ApiClient {
    /// Creates a client for the node and with the token given in the options.
    pub fn new(options: CliOptions) -> ApiClient {
        let client = HttpClient::default();
        ApiClient { options, client }
    }

    /// Sends a GET request and returns the JSON response.
    pub async fn get(&self, path: &str) -> CliResult<Value> {
        let (status, text) = self.call(Method::GET, path, String::new()).await?;
        if status != StatusCode::OK {
            return Err(CliError::Other(text.trim().to_string()));
        }
        serde_json::from_str(&text).map_err(invalid_response)
    }

    /// Reads the configuration: its version, and its entries sorted by path.
    pub async fn config(&self) -> CliResult<(Version, Vec<Entry>)> {
        let mut response = self.get("/v1/config").await?;
        let version = response["version"].as_u64().unwrap_or(0);
        let wire_entries: Vec<WireEntry> =
            serde_json::from_value(response["entries"].take()).map_err(invalid_response)?;
        let mut entries: Vec<Entry> = convert_all(wire_entries).map_err(invalid_response)?;
        entries.sort_by(|a, b| a.path.cmp(&b.path));
        Ok((Version(version), entries))
    }

    /// Submits a change and returns its result.
    pub async fn apply(
        &self,
        base: Version,
        edits: &[Edit],
        dry_run: bool,
    ) -> CliResult<ApplyResponse> {
        let body = ApplyRequest {
            change: new_change_id(),
            base: Some(base.0),
            dry_run,
            edits: edits.iter().map(WireEdit::from).collect(),
        };
        let change = body.change.clone();
        let text = serde_json::to_string(&body).map_err(invalid_response)?;
        self.post_change("/v1/apply", text, &change).await
    }

    /// Restores the content of an older version as a new version.
    pub async fn undo(&self, version: u64) -> CliResult<ApplyResponse> {
        let change = new_change_id();
        let body = serde_json::json!({ "change": change, "version": version });
        self.post_change("/v1/undo", body.to_string(), &change)
            .await
    }

    async fn post_change(
        &self,
        path: &str,
        body: String,
        change: &str,
    ) -> CliResult<ApplyResponse> {
        let result = self.call(Method::POST, path, body).await;
        let (status, text) = result.map_err(|e| {
            CliError::Indeterminate(format!(
                "{e}; check whether the change was accepted with `tarragon change show {change}`"
            ))
        })?;
        if status == StatusCode::UNAUTHORIZED || status == StatusCode::BAD_REQUEST {
            return Err(CliError::Other(text.trim().to_string()));
        }
        let response: ApplyResponse =
            serde_json::from_str(&text).map_err(|_| CliError::Other(text.trim().to_string()))?;
        match response.verdict.as_str() {
            "accepted" | "unchanged" | "checked" => Ok(response),
            "invalid" => Err(CliError::Rejected(response.problems)),
            "conflict" => Err(CliError::Conflict(response.problems)),
            "unknown" => Err(CliError::Indeterminate(response.problems.join("\n"))),
            _ => Err(CliError::Other(response.problems.join("\n"))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> CliResult<(StatusCode, String)> {
        let mut request = Request::builder().method(method).uri(path);
        if let Some(token) = &self.options.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(if body.is_empty() {
            Body::default()
        } else {
            full_body(body)
        });
        let request = request.map_err(invalid_response)?;
        let node = self.options.node;
        let result = async {
            let response =
                self.client.send(node, request).await.map_err(|_| {
                    CliError::Other(format!("no response from {node}; check --node"))
                })?;
            let status = response.status();
            let bytes = read_body(response.into_body(), RESPONSE_MAX_BYTES).await?;
            Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(CALL_TIMEOUT, result)
            .await
            .unwrap_or_else(|_| {
                Err(CliError::Other(format!(
                    "no response from {node} in time; check that the node is running"
                )))
            })
    }
}

fn new_change_id() -> String {
    ChangeId(fastrand::u128(..)).to_string()
}

fn invalid_response(e: impl std::fmt::Display) -> CliError {
    CliError::Other(format!("invalid response from the node: {e}"))
}
