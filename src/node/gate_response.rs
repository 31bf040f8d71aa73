//! Headers and responses of the gate: what passes between hops, and what an ingress is told about an
//! attempt without a response of the target.

use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode};

use crate::coordination::outcome::{NotRun, OUTCOME_HEADER, Outcome, UnknownReason};
use crate::protocol::headers::{BACKLOG_HEADER, INTERNAL_HEADERS, LOAD_HEADER};
use crate::state::rate::RequestRate;
use crate::state::workspace::WorkspaceId;
use crate::transport::http::empty_response;

/// Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Formats a rate for a log line; `-` if there is none.
pub(super) fn rate_text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "-".to_string(), |r| r.to_string())
}

/// Formats a workspace for a log line; `-` if there is none.
pub(super) fn workspace_text(workspace: Option<WorkspaceId>) -> String {
    workspace.map_or_else(|| "-".to_string(), |w| w.to_string())
}

/// Headers that concern the whole way of a message, whatever its `Connection` header names.
const END_TO_END: [&str; 3] = ["host", "content-length", "idempotency-key"];

/// Removes hop-by-hop headers, and headers that nodes use among themselves. `end_to_end` are headers of
/// the dialect that a `Connection` header does not remove.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap, end_to_end: &[&str]) {
    let is_kept = |name: &str| END_TO_END.contains(&name) || end_to_end.contains(&name);
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().filter(|name| !is_kept(name)) {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP.into_iter().chain(INTERNAL_HEADERS) {
        headers.remove(name);
    }
    headers.remove(OUTCOME_HEADER);
}

/// Sets the headers of a response that report the outcome and the load of the gate.
pub(super) fn set_outcome_headers(headers: &mut HeaderMap, outcome: Outcome, load: u32) {
    let text = outcome.to_string();
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(OUTCOME_HEADER, value);
    }
    headers.insert(LOAD_HEADER, HeaderValue::from(load));
}

/// Builds the response to an attempt that was not run.
pub(super) fn refusal_response(reason: NotRun, load: u32, backlog: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    set_outcome_headers(response.headers_mut(), Outcome::NotRun(reason), load);
    let backlog = HeaderValue::from(backlog.as_millis() as u64);
    response.headers_mut().insert(BACKLOG_HEADER, backlog);
    response
}

/// Builds the response to an attempt that may have run.
pub(super) fn unknown_response(reason: UnknownReason, load: u32) -> Response<Body> {
    let mut response = empty_response(StatusCode::BAD_GATEWAY);
    set_outcome_headers(response.headers_mut(), Outcome::Unknown(reason), load);
    response
}
