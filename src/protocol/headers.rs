//! Headers on HTTP requests between nodes, and on answers to callers.

use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;
use serde::{Deserialize, Serialize};

use super::key::{FleetKey, MAC_BYTES};
use super::wire::WireError;
use crate::coordination::queue::WorkKind;
use crate::state::id::{AttemptId, Incarnation};
use crate::state::object::Class;

/// What a gate must know of an attempt, with an authentication code, in hexadecimal.
pub const PASSPORT: &str = "tarragon-passport";
/// Milliseconds left until the deadline; callers may set it too.
pub const DEADLINE: &str = "tarragon-deadline-ms";
/// Requests at the target and waiting, told with each answer of a gate.
pub const LOAD: &str = "tarragon-load";
/// Milliseconds after which a gate that refused may have room.
pub const BACKLOG: &str = "tarragon-backlog-ms";
/// Attempts that the request may still use, further down a chain of calls too.
pub const ATTEMPTS_LEFT: &str = "tarragon-attempts-left";

/// Marks the stored answer to a repeated key; it has the status, and no body.
pub const REPLAYED: &str = "tarragon-replayed";

/// Headers that only nodes set; they are removed from callers' requests and targets' answers.
pub const INTERNAL: [&str; 3] = [PASSPORT, LOAD, BACKLOG];

/// What the headers of a request to a gate say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passport {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that is meant.
    pub incarnation: Incarnation,
    /// What kind of work it is.
    pub class: Class,
    /// Whose service times it shares; gives its priority.
    pub kind: WorkKind,
    /// Time left until the latency objective; zero once it has passed.
    pub objective: Option<Duration>,
    /// Time left until the deadline.
    pub left: Duration,
    /// Wall-clock time of sending, milliseconds since the Unix epoch.
    pub sent: u64,
}

/// Wire form of [`Passport`]; durations in milliseconds.
#[derive(Serialize, Deserialize)]
struct WirePassport {
    attempt: [u8; 16],
    incarnation: u64,
    class: u8,
    kind: (u8, u32),
    objective: Option<u64>,
    left: u64,
    sent: u64,
}

impl From<&Passport> for WirePassport {
    fn from(p: &Passport) -> WirePassport {
        WirePassport {
            attempt: p.attempt.0.to_le_bytes(),
            incarnation: p.incarnation.0,
            class: p.class as u8,
            kind: (p.kind.priority, p.kind.objective),
            objective: p.objective.map(|o| o.as_millis() as u64),
            left: p.left.as_millis() as u64,
            sent: p.sent,
        }
    }
}

impl TryFrom<WirePassport> for Passport {
    type Error = WireError;

    fn try_from(wire: WirePassport) -> Result<Passport, WireError> {
        let class = Class::ALL.get(usize::from(wire.class));
        Ok(Passport {
            attempt: AttemptId(u128::from_le_bytes(wire.attempt)),
            incarnation: Incarnation(wire.incarnation),
            class: *class.ok_or(WireError::Bounds("class"))?,
            kind: WorkKind {
                priority: wire.kind.0,
                objective: wire.kind.1,
            },
            objective: wire.objective.map(Duration::from_millis),
            left: Duration::from_millis(wire.left),
            sent: wire.sent,
        })
    }
}

impl Passport {
    /// Adds the header to a request.
    pub fn write(&self, key: &FleetKey, headers: &mut HeaderMap) {
        let mut bytes = postcard::to_stdvec(&WirePassport::from(self)).unwrap_or_default();
        let mac = key.mac(&[b"passport", &bytes]);
        bytes.extend_from_slice(&mac);
        let value = HeaderValue::from_str(&hex(&bytes)).expect("digits and letters");
        headers.insert(PASSPORT, value);
    }

    /// Reads and checks the header of a request.
    ///
    /// # Errors
    /// [`WireError`] when it is absent, malformed, or not authentic.
    pub fn read(key: &FleetKey, headers: &HeaderMap) -> Result<Passport, WireError> {
        let text = headers.get(PASSPORT).and_then(|v| v.to_str().ok());
        let bytes = text.and_then(unhex).ok_or(WireError::Malformed)?;
        let split = bytes.len().checked_sub(MAC_BYTES);
        let (body, mac) = bytes.split_at(split.ok_or(WireError::Malformed)?);
        if !key.verify(&[b"passport", body], mac) {
            return Err(WireError::Authentic);
        }
        let wire: WirePassport = postcard::from_bytes(body)?;
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
