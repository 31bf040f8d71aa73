//! The operators' HTTP API: configuration changes and reads, status, state dump, metrics, and the
//! liveness and readiness probes.

use std::io;
use std::sync::Arc;

use gotham::helpers::http::Body;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::store::HISTORY_RECORDS_MAX;
use super::{Node, lock};
use crate::coordination::commit::{ChangeRecord, ChangeRequest, CommitOutcome};
use crate::protocol::key::token_matches;
use crate::protocol::operators::{ApplyRequest, ApplyResponse};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::wire::{WireEntry, convert_all};
use crate::state::id::{ChangeId, Path, Version, parse_hex};
use crate::state::object::Object;
use crate::state::snapshot::Edit;
use crate::state::validate::{ADMIN, check_config, check_ownership};
use crate::transport::http::{Endpoint, body_response, json_response, query_number, read_body};
use crate::transport::link::{REQUEST_TIMEOUT, send_request};
use crate::transport::platform::Platform;

/// Largest change request, in bytes of JSON. The change record must fit into one value of the
/// platform.
const CHANGE_MAX_BYTES: usize = 900 << 10;
/// Members that are asked for their version concurrently.
const CONVERGENCE_PARALLEL_MAX: usize = 64;
/// Members that are asked for their version in total; a larger fleet is sampled.
const CONVERGENCE_SAMPLE_MAX: usize = 1000;

/// Body of an undo request: the id of the change to create, and the version to restore.
#[derive(Debug, Deserialize)]
struct UndoRequest {
    change: String,
    version: u64,
}

/// HTTP service of the operators' API.
pub(super) struct Api<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for Api<P> {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().trim_matches('/').to_string();
        let segments: Vec<&str> = path.split('/').collect();
        let query = parts.uri.query().unwrap_or_default();
        let node = &self.0;
        match (&parts.method, &segments[..]) {
            (&Method::GET, ["live"]) => text_response(StatusCode::OK, "live\n"),
            (&Method::GET, ["ready"]) => node.api_ready(),
            (&Method::GET, ["metrics"]) => node.api_metrics(),
            (&Method::GET, ["v1", "config"]) => node.api_config(),
            (&Method::GET, ["v1", "status"]) => node.api_status(),
            (&Method::GET, ["v1", "convergence"]) => node.api_convergence(query).await,
            (&Method::GET, ["v1", "history"]) => node.api_history(query).await,
            (&Method::GET, ["v1", "change", id]) => node.api_change(id).await,
            (&Method::GET, ["v1", "dump"]) => match node.authenticate(&parts.headers) {
                Some(_) => json_response(StatusCode::OK, &node.dump()),
                None => unauthorized(),
            },
            (&Method::POST, ["v1", "apply" | "undo"]) if P::EXTERNAL_CONFIG => text_response(
                StatusCode::CONFLICT,
                "the configuration comes from the platform operator's document; change it there\n",
            ),
            (&Method::POST, ["v1", "apply"]) => match node.authenticate(&parts.headers) {
                Some(author) => node.api_apply(author, body).await,
                None => unauthorized(),
            },
            (&Method::POST, ["v1", "undo"]) => match node.authenticate(&parts.headers) {
                Some(author) => node.api_undo(author, body).await,
                None => unauthorized(),
            },
            _ => text_response(
                StatusCode::NOT_FOUND,
                "no such endpoint; see docs/OPERATIONS.md\n",
            ),
        }
    }
}

/// HTTP service that responds to every request with the readiness of the node. It has a separate
/// listener.
pub(super) struct ReadyEndpoint<P>(pub(super) Arc<Node<P>>);

impl<P: Platform> Endpoint for ReadyEndpoint<P> {
    async fn call(self: Arc<Self>, _request: Request<Body>) -> Response<Body> {
        self.0.api_ready()
    }
}

impl<P: Platform> Node<P> {
    /// Authenticates a request by its bearer token. Returns the path of the team that the token
    /// belongs to, [`ADMIN`] for the administrators' token, or `None` if the token is invalid.
    fn authenticate(&self, headers: &HeaderMap) -> Option<String> {
        let bearer = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let token = bearer.strip_prefix("Bearer ")?;
        let admin_hash = self.settings.admin_token_hash.as_deref();
        if admin_hash.is_some_and(|stored| token_matches(token, stored)) {
            return Some(ADMIN.to_string());
        }
        let config = lock(&self.distribution).current().clone();
        let matching_team = |path: &Path, object: &Object| match object {
            Object::Team(t) if token_matches(token, &t.token_hash) => Some(path.to_string()),
            _ => None,
        };
        config
            .entries()
            .find_map(|e| matching_team(&e.path, &e.object))
    }

    fn api_ready(&self) -> Response<Body> {
        if self.is_ready() && !self.is_leaving() {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn api_metrics(&self) -> Response<Body> {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        body_response(
            StatusCode::OK,
            content_type,
            self.metrics.encode(&self.gauge_values()),
        )
    }

    fn api_config(&self) -> Response<Body> {
        let config = lock(&self.distribution).current().clone();
        let entries: Vec<WireEntry> = config.entries().map(WireEntry::from).collect();
        let body = json!({
            "version": config.version().0,
            "digest": config.digest().to_string(),
            "entries": entries,
        });
        json_response(StatusCode::OK, &body)
    }

    fn api_status(&self) -> Response<Body> {
        let table = self.routing.load_full();
        let members = lock(&self.members);
        let nodes: Vec<Value> = members
            .table()
            .records()
            .map(|r| {
                json!({
                    "peer": r.peer.to_string(),
                    "zone": &*r.zone,
                    "state": r.health.to_string(),
                    "instance": r.target.as_ref().map(|t| t.instance.to_string()),
                    "service": r.target.as_ref().map(|t| t.service.to_string()),
                    "watcher": r.watcher,
                })
            })
            .collect();
        let services: Vec<Value> = table
            .services()
            .map(|(path, s)| json!({ "path": path.to_string(), "targets": s.candidates.len() }))
            .collect();
        let body = json!({
            "instance": self.settings.instance,
            "version": table.version().0,
            "ready": self.is_ready(),
            "nodes": nodes,
            "services": services,
        });
        json_response(StatusCode::OK, &body)
    }

    /// Reports how many members have activated a version.
    async fn api_convergence(self: &Arc<Self>, query: &str) -> Response<Body> {
        let requested = Version(query_number(query, "version").unwrap_or(self.version().0));
        let peers = lock(&self.members).sample_peers(CONVERGENCE_SAMPLE_MAX);
        let mut versions = vec![("self".to_string(), Some(self.version().0))];
        for chunk in peers.chunks(CONVERGENCE_PARALLEL_MAX) {
            let mut requests = JoinSet::new();
            for peer in chunk.iter().copied() {
                let node = self.clone();
                requests.spawn(async move { (peer, node.version_of(peer).await) });
            }
            while let Some(Ok((peer, version))) = requests.join_next().await {
                versions.push((peer.to_string(), version.map(|v| v.0)));
            }
        }
        let behind = |v: &&(String, Option<u64>)| v.1.is_none_or(|active| active < requested.0);
        let late: Vec<&String> = versions.iter().filter(behind).map(|(p, _)| p).collect();
        let body = json!({
            "version": requested.0,
            "asked": versions.len(),
            "in_force": versions.len() - late.len(),
            "late": late,
            "versions": versions,
        });
        json_response(StatusCode::OK, &body)
    }

    /// Asks a peer for its active version. Returns `None` if it did not reply.
    async fn version_of(&self, peer: std::net::SocketAddr) -> Option<Version> {
        match send_request(
            &self.fleet_key,
            peer,
            &PeerRequest::Versions,
            REQUEST_TIMEOUT,
        )
        .await
        {
            Ok((PeerReply::Versions(version, _), _)) => Some(version),
            _ => None,
        }
    }

    async fn api_history(&self, query: &str) -> Response<Body> {
        let limit = query_number(query, "limit").unwrap_or(20) as usize;
        match self.history(Version(0), limit).await {
            Ok(records) => {
                let list: Vec<Value> = records.iter().map(record_summary).collect();
                json_response(StatusCode::OK, &list)
            }
            Err(e) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{e}\n")),
        }
    }

    async fn api_change(&self, id: &str) -> Response<Body> {
        let Some(id) = parse_hex(id).map(ChangeId) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "invalid change id; a change id consists of 32 hexadecimal digits\n",
            );
        };
        match self.history(Version(0), HISTORY_RECORDS_MAX).await {
            Ok(records) => match records.iter().find(|r| r.delta.change == id) {
                Some(record) => json_response(StatusCode::OK, &record_summary(record)),
                None => text_response(
                    StatusCode::NOT_FOUND,
                    "no change with this id was accepted within the last 1000 versions\n",
                ),
            },
            Err(e) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{e}\n")),
        }
    }

    async fn api_apply(self: &Arc<Self>, author: String, body: Body) -> Response<Body> {
        let parsed = match read_json::<ApplyRequest>(body).await {
            Ok(parsed) => parsed,
            Err(response) => return response,
        };
        let (Some(change), Ok(edits)) = (parse_hex(&parsed.change), convert_all(parsed.edits))
        else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "malformed change request; use a `tarragon` program of the same version as the node\n",
            );
        };
        let request = ChangeRequest {
            change: ChangeId(change),
            author,
            base: parsed.base.map(Version),
            edits,
        };
        if parsed.dry_run {
            return self.dry_run_change(&request);
        }
        self.commit_change(request).await
    }

    async fn commit_change(self: &Arc<Self>, request: ChangeRequest) -> Response<Body> {
        if !self.is_ready() {
            return text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "this node is not ready; use another node or try again later\n",
            );
        }
        let change = request.change;
        let node = self.clone();
        // Runs in a separate task, so that the commit completes even if the operator's connection
        // breaks. The operator can look up the result by the change id.
        let outcome = tokio::spawn(async move { node.commit(request).await }).await;
        outcome_response(change, &outcome.unwrap_or(CommitOutcome::Unknown))
    }

    /// Validates a change without committing it.
    fn dry_run_change(&self, request: &ChangeRequest) -> Response<Body> {
        let config = lock(&self.distribution).current().clone();
        let next = config.with_edits(&request.edits);
        let mut invalid = check_ownership(&request.author, &request.edits);
        invalid.extend(check_config(&next));
        if !invalid.is_empty() {
            return outcome_response(request.change, &CommitOutcome::Invalid(invalid));
        }
        let response = ApplyResponse {
            verdict: "checked".to_string(),
            version: Some(config.version().0),
            change: request.change.to_string(),
            problems: Vec::new(),
            paths: Vec::new(),
        };
        json_response(StatusCode::OK, &response)
    }

    async fn api_undo(self: &Arc<Self>, author: String, body: Body) -> Response<Body> {
        let parsed = match read_json::<UndoRequest>(body).await {
            Ok(parsed) => parsed,
            Err(response) => return response,
        };
        let Some(change) = parse_hex(&parsed.change) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "invalid change id; a change id consists of 32 hexadecimal digits\n",
            );
        };
        match self.undo_edits(Version(parsed.version)).await {
            Ok((head, edits)) => {
                let request = ChangeRequest {
                    change: ChangeId(change),
                    author,
                    base: Some(head),
                    edits,
                };
                self.commit_change(request).await
            }
            Err(e) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{e}\n")),
        }
    }
}

async fn read_json<T: for<'de> Deserialize<'de>>(body: Body) -> Result<T, Response<Body>> {
    let bad_request = |message: String| text_response(StatusCode::BAD_REQUEST, message);
    let bytes = read_body(body, CHANGE_MAX_BYTES).await.map_err(|e| {
        bad_request(match e.kind() {
            io::ErrorKind::FileTooLarge => {
                format!("the change request exceeds {CHANGE_MAX_BYTES} bytes; split it\n")
            }
            _ => format!("the change request is incomplete: {e}; send it again\n"),
        })
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|e| bad_request(format!("invalid change request: {e}\n")))
}

/// Builds the response to a change request from the outcome of its commit.
fn outcome_response(change: ChangeId, outcome: &CommitOutcome) -> Response<Body> {
    let (status, verdict, version) = match outcome {
        CommitOutcome::Accepted { delta, .. } => (StatusCode::OK, "accepted", Some(delta.version)),
        CommitOutcome::Found(version) => (StatusCode::OK, "accepted", Some(*version)),
        CommitOutcome::Unchanged(version) => (StatusCode::OK, "unchanged", Some(*version)),
        CommitOutcome::Invalid(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid", None),
        CommitOutcome::Conflict(_) => (StatusCode::CONFLICT, "conflict", None),
        CommitOutcome::HeadBehind { .. } => (StatusCode::SERVICE_UNAVAILABLE, "refused", None),
        CommitOutcome::Contended => (StatusCode::CONFLICT, "refused", None),
        CommitOutcome::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "refused", None),
        CommitOutcome::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown", None),
    };
    let mut paths = Vec::new();
    let problems = match outcome {
        CommitOutcome::Invalid(list) => {
            paths = list.iter().map(|i| i.path().to_string()).collect();
            list.iter().map(ToString::to_string).collect()
        }
        CommitOutcome::Conflict(c) => {
            paths.push(c.path.to_string());
            vec![c.to_string()]
        }
        CommitOutcome::HeadBehind { head, held } => vec![format!(
            "the platform's head is at version {head}, older than version {held} that this node knows; it is being restored, apply again"
        )],
        CommitOutcome::Contended => {
            vec!["concurrent changes were accepted first at every attempt; apply again".to_string()]
        }
        CommitOutcome::Unavailable => {
            vec!["the platform did not respond; nothing was changed, apply again later".to_string()]
        }
        CommitOutcome::Unknown => vec![format!(
            "the platform did not confirm the change; check it with `tarragon change show {change}`"
        )],
        _ => Vec::new(),
    };
    let body = ApplyResponse {
        verdict: verdict.to_string(),
        version: version.map(|v| v.0),
        change: change.to_string(),
        problems,
        paths,
    };
    json_response(status, &body)
}

/// Returns the summary of a change record as JSON, without the values of its objects.
fn record_summary(record: &ChangeRecord) -> Value {
    let edit = |e: &Edit| match e {
        Edit::Put(path, object) => json!({ "put": path.to_string(), "kind": object.kind() }),
        Edit::Delete(path) => json!({ "delete": path.to_string() }),
    };
    json!({
        "version": record.delta.version.0,
        "change": record.delta.change.to_string(),
        "author": record.delta.author,
        "edits": record.delta.edits.iter().map(edit).collect::<Vec<_>>(),
    })
}

fn unauthorized() -> Response<Body> {
    text_response(
        StatusCode::UNAUTHORIZED,
        "invalid or missing token; set TARRAGON_TOKEN or --token\n",
    )
}

fn text_response(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    body_response(status, "text/plain; charset=utf-8", message.into())
}
