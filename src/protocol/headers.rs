//! Headers on HTTP requests between nodes, and on answers to callers.

use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;
use serde::{Deserialize, Serialize};

use super::key::{FleetKey, MAC_BYTES};
use super::wire::WireError;
use crate::coordination::queue::Kind;
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;

/// What a gate must know of an attempt, with an authentication code, in hexadecimal.
pub const ATTEMPT_CONTEXT_HEADER: &str = "tarragon-passport";
/// Milliseconds left until the deadline; callers may set it too.
pub const DEADLINE_HEADER: &str = "tarragon-deadline-ms";
/// Requests at the target and waiting, told with each answer of a gate.
pub const LOAD_HEADER: &str = "tarragon-load";
/// Milliseconds after which a gate that refused may have room.
pub const BACKLOG_HEADER: &str = "tarragon-backlog-ms";
/// Attempts that the request may still use, further down a chain of calls too.
pub const ATTEMPTS_LEFT_HEADER: &str = "tarragon-attempts-left";

/// Marks the stored answer to a repeated key; it has the status, and no body.
pub const REPLAYED_HEADER: &str = "tarragon-replayed";

/// Headers that only nodes set; they are removed from callers' requests and targets' answers.
pub const INTERNAL_HEADERS: [&str; 3] = [ATTEMPT_CONTEXT_HEADER, LOAD_HEADER, BACKLOG_HEADER];

/// What the headers of a request to a gate say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptContext {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that is meant.
    pub incarnation: Incarnation,
    /// What kind of work it is.
    pub class: Class,
    /// Whose service times it shares; gives its priority.
    pub work_kind: Kind,
    /// Time left until the latency objective; zero once it has passed.
    pub objective_left: Option<Duration>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Wall-clock time of sending, milliseconds since the Unix epoch.
    pub sent_at_ms: u64,
}

/// Wire form of [`AttemptContext`]; durations in milliseconds.
#[derive(Serialize, Deserialize)]
struct WireAttemptContext {
    attempt: [u8; 16],
    incarnation: u64,
    class: u8,
    kind: (u8, u32),
    objective: Option<u64>,
    left: u64,
    sent: u64,
}

impl From<&AttemptContext> for WireAttemptContext {
    fn from(p: &AttemptContext) -> WireAttemptContext {
        WireAttemptContext {
            attempt: p.attempt.0.to_le_bytes(),
            incarnation: p.incarnation.0,
            class: p.class as u8,
            kind: (p.work_kind.priority, p.work_kind.objective),
            objective: p.objective_left.map(|o| o.as_millis() as u64),
            left: p.time_left.as_millis() as u64,
            sent: p.sent_at_ms,
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
            work_kind: Kind {
                priority: wire.kind.0,
                objective: wire.kind.1,
            },
            objective_left: wire.objective.map(Duration::from_millis),
            time_left: Duration::from_millis(wire.left),
            sent_at_ms: wire.sent,
        })
    }
}

impl AttemptContext {
    /// Adds the header to a request.
    pub fn write(&self, key: &FleetKey, headers: &mut HeaderMap) {
        let mut bytes = postcard::to_stdvec(&WireAttemptContext::from(self)).unwrap_or_default();
        let mac = key.mac(&[b"passport", &bytes]);
        bytes.extend_from_slice(&mac);
        let value = HeaderValue::from_str(&hex(&bytes)).expect("digits and letters");
        headers.insert(ATTEMPT_CONTEXT_HEADER, value);
    }

    /// Reads and checks the header of a request.
    ///
    /// # Errors
    /// [`WireError`] when it is absent, malformed, or not authentic.
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
        let wire: WireAttemptContext = postcard::from_bytes(body)?;
        wire.try_into()
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
    let pair = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
