//! HTTP headers of requests and responses between nodes, and of responses to callers.

use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;
use serde::{Deserialize, Serialize};

use super::key::{FleetKey, MAC_BYTES};
use super::wire::WireError;
use crate::coordination::queue::WorkKind;
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;
use crate::state::workspace::WorkspaceId;

/// Encoded [`AttemptContext`] with an authentication code, in hexadecimal.
pub const ATTEMPT_CONTEXT_HEADER: &str = "tarragon-passport";
/// Time left until the deadline, in milliseconds. Callers may set it.
pub const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Number of requests that are running at the target or waiting at its gate. Each response of a
/// gate has this header.
pub const LOAD_HEADER: &str = "tarragon-load";
/// Time after which a gate that refused a request may have capacity again, in milliseconds.
pub const BACKLOG_HEADER: &str = "tarragon-backlog-ms";
/// Incarnation of the gate that refused an attempt because it named another one.
pub const INCARNATION_HEADER: &str = "tarragon-incarnation";
/// Service of that gate's target. After a replacement, another service may have the address.
pub const SERVICE_HEADER: &str = "tarragon-service";
/// In the response of a gate: a part of the id of the attempt that it belongs to, in hexadecimal. It tells
/// a response that arrives once more from the one to the next attempt on the connection.
pub const ECHO_HEADER: &str = "tarragon-echo";
/// Time for which a pipelined request has waited behind others on its connection before its service was
/// called, in milliseconds. The server of the connection sets it.
pub const WAITED_HEADER: &str = "tarragon-waited-ms";
/// Fingerprints of the request, in hexadecimal, separated by commas. An ingress sets it for the gate.
pub const FINGERPRINTS_HEADER: &str = "tarragon-fingerprints";

/// Number of attempts that the request may still use. A node makes no more attempts than the header
/// of an incoming request allows, so that attempts do not multiply along a chain of calls.
pub const ATTEMPTS_LEFT_HEADER: &str = "tarragon-attempts-left";

/// Identifies an attempt to its target. A target that repeats it in its response lets the node
/// detect a response to another request, and use the connection again.
pub const ATTEMPT_ID_HEADER: &str = "tarragon-attempt";
/// Request rate that a target accepts from all nodes together, in requests per second. A target may
/// set it in its responses.
pub const TARGET_RATE_HEADER: &str = "tarragon-target-rate";
/// Present, with the value `1`, in the responses of a target that is leaving.
pub const TARGET_LEAVING_HEADER: &str = "tarragon-target-leaving";

/// Name of the workspace that the caller belongs to. The ingress sets it for the target.
pub const WORKSPACE_HEADER: &str = "tarragon-workspace";

/// Marks a response that repeats the stored outcome of an earlier request with the same idempotency
/// key. It has the status of the original response, but no body.
pub const REPLAYED_HEADER: &str = "tarragon-replayed";

/// Headers that only nodes may set. Nodes remove them from requests of callers and from responses
/// of targets.
pub const INTERNAL_HEADERS: [&str; 9] = [
    ATTEMPT_CONTEXT_HEADER,
    ATTEMPT_ID_HEADER,
    LOAD_HEADER,
    BACKLOG_HEADER,
    ECHO_HEADER,
    WAITED_HEADER,
    INCARNATION_HEADER,
    SERVICE_HEADER,
    FINGERPRINTS_HEADER,
];

/// Value of [`ECHO_HEADER`] for an attempt.
///
/// ```
/// use tarragoncourse::protocol::headers::attempt_echo;
/// use tarragoncourse::state::id::AttemptId;
/// assert_eq!(attempt_echo(AttemptId(0x1f)), "0000001f");
/// ```
pub fn attempt_echo(attempt: AttemptId) -> HeaderValue {
    let text = format!("{:08x}", attempt.0 as u32);
    HeaderValue::from_str(&text).expect("hexadecimal digits are valid in a header")
}

/// Data about an attempt that an ingress sends to the gate in [`ATTEMPT_CONTEXT_HEADER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptContext {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the gate's node that the attempt is intended for.
    pub incarnation: Incarnation,
    /// Class of the request.
    pub class: Class,
    /// Priority and latency objective of the route. Requests with the same values share statistics
    /// of service times.
    pub work_kind: WorkKind,
    /// Time left until the latency objective; zero if it has passed.
    pub objective_left: Option<Duration>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Wall-clock time at which the attempt was sent, in milliseconds since the Unix epoch.
    pub sent_at_ms: u64,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<WorkspaceId>,
}

/// Wire form of [`AttemptContext`], with durations in milliseconds.
#[derive(Serialize, Deserialize)]
struct WireAttemptContext {
    attempt: [u8; 16],
    incarnation: u64,
    class: u8,
    /// Priority and latency objective of the [`WorkKind`].
    work_kind: (u8, u32),
    objective_left: Option<u64>,
    time_left: u64,
    sent_at_ms: u64,
}

impl From<&AttemptContext> for WireAttemptContext {
    fn from(context: &AttemptContext) -> WireAttemptContext {
        WireAttemptContext {
            attempt: context.attempt.0.to_le_bytes(),
            incarnation: context.incarnation.0,
            class: context.class as u8,
            work_kind: (context.work_kind.priority, context.work_kind.objective_ms),
            objective_left: context.objective_left.map(|o| o.as_millis() as u64),
            time_left: context.time_left.as_millis() as u64,
            sent_at_ms: context.sent_at_ms,
        }
    }
}

impl TryFrom<WireAttemptContext> for AttemptContext {
    type Error = WireError;

    fn try_from(wire: WireAttemptContext) -> Result<AttemptContext, WireError> {
        let class = Class::ALL.get(usize::from(wire.class));
        Ok(AttemptContext {
            attempt: AttemptId(u128::from_le_bytes(wire.attempt)),
            incarnation: Incarnation(wire.incarnation),
            class: *class.ok_or(WireError::OutOfBounds("class"))?,
            work_kind: WorkKind {
                priority: wire.work_kind.0,
                objective_ms: wire.work_kind.1,
            },
            objective_left: wire.objective_left.map(Duration::from_millis),
            time_left: Duration::from_millis(wire.time_left),
            sent_at_ms: wire.sent_at_ms,
            workspace: None,
        })
    }
}

impl AttemptContext {
    /// Sets the header of a request.
    pub fn write(&self, key: &FleetKey, headers: &mut HeaderMap) {
        let mut bytes = postcard::to_stdvec(&WireAttemptContext::from(self)).unwrap_or_default();
        // Only if there is one, so that the encoding is that of earlier versions without workspaces.
        if let Some(workspace) = self.workspace {
            bytes.extend_from_slice(&workspace.0.to_le_bytes());
        }
        let mac = key.mac(&[b"passport", &bytes]);
        bytes.extend_from_slice(&mac);
        let value = HeaderValue::from_str(&hex(&bytes))
            .expect("hexadecimal digits are a valid header value");
        headers.insert(ATTEMPT_CONTEXT_HEADER, value);
    }

    /// Reads and verifies the header of a request.
    ///
    /// # Errors
    /// [`WireError`] when the header is missing, malformed or not authentic.
    pub fn read(key: &FleetKey, headers: &HeaderMap) -> Result<AttemptContext, WireError> {
        let text = headers
            .get(ATTEMPT_CONTEXT_HEADER)
            .and_then(|v| v.to_str().ok());
        let bytes = text.and_then(unhex).ok_or(WireError::Malformed)?;
        let body_length = bytes.len().checked_sub(MAC_BYTES);
        let (body, mac) = bytes.split_at(body_length.ok_or(WireError::Malformed)?);
        if !key.verify(&[b"passport", body], mac) {
            return Err(WireError::NotAuthentic);
        }
        let (wire, rest) = postcard::take_from_bytes::<WireAttemptContext>(body)?;
        let workspace = match rest {
            [] => None,
            id => Some(u64::from_le_bytes(
                id.try_into().map_err(|_| WireError::Malformed)?,
            )),
        };
        Ok(AttemptContext {
            workspace: workspace.map(WorkspaceId),
            ..wire.try_into()?
        })
    }
}

fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(2 * bytes.len());
    for b in bytes {
        text.push(char::from(DIGITS[usize::from(b >> 4)]));
        text.push(char::from(DIGITS[usize::from(b & 15)]));
    }
    text
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let byte_at = |start| u8::from_str_radix(&text[start..start + 2], 16).ok();
    (0..text.len()).step_by(2).map(byte_at).collect()
}
