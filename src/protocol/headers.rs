//! Headers on HTTP requests between nodes, and on answers to callers.

use std::time::Duration;

use http::HeaderMap;
use http::header::HeaderValue;

use super::key::FleetKey;
use super::wire::WireError;
use crate::state::id::{AttemptId, Incarnation, parse_hex};
use crate::state::object::Class;

/// Names the attempt; 32 hexadecimal digits.
pub const ATTEMPT: &str = "tarragon-attempt";
/// The life of the gate that is meant.
pub const INCARNATION: &str = "tarragon-incarnation";
/// Priority class.
pub const CLASS: &str = "tarragon-class";
/// Milliseconds left until the deadline; callers may set it too.
pub const DEADLINE: &str = "tarragon-deadline-ms";
/// Wall-clock time of sending, milliseconds since the Unix epoch.
pub const SENT: &str = "tarragon-sent-ms";
/// Authentication code over the headers above.
pub const AUTH: &str = "tarragon-auth";
/// Requests at the target and waiting, told with each answer of a gate.
pub const LOAD: &str = "tarragon-load";
/// Attempts that the request may still use, further down a chain of calls too.
pub const ATTEMPTS_LEFT: &str = "tarragon-attempts-left";

/// Headers that only nodes set; they are removed from callers' requests and targets' answers.
pub const INTERNAL: [&str; 6] = [ATTEMPT, INCARNATION, CLASS, SENT, AUTH, LOAD];

/// What the headers of a request to a gate say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passport {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The life of the gate that is meant.
    pub incarnation: Incarnation,
    /// Priority.
    pub class: Class,
    /// Time left until the deadline.
    pub left: Duration,
    /// Wall-clock time of sending, milliseconds since the Unix epoch.
    pub sent: u64,
}

impl Passport {
    /// Adds the headers to a request.
    pub fn write(&self, key: &FleetKey, headers: &mut HeaderMap) {
        let mut put = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("digits and letters");
            headers.insert(name, value);
        };
        put(ATTEMPT, self.attempt.to_string());
        put(INCARNATION, self.incarnation.to_string());
        put(CLASS, self.class.to_string());
        put(DEADLINE, self.left.as_millis().to_string());
        put(SENT, self.sent.to_string());
        put(AUTH, hex(&key.mac(&[&self.covered()])));
    }

    /// Reads and checks the headers of a request.
    ///
    /// # Errors
    /// [`WireError`] when one is absent or malformed, or they are not authentic.
    pub fn read(key: &FleetKey, headers: &HeaderMap) -> Result<Passport, WireError> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let number = |name| text(name).and_then(|t| t.parse().ok());
        let passport = || {
            Some(Passport {
                attempt: AttemptId(parse_hex(text(ATTEMPT)?)?),
                incarnation: Incarnation(number(INCARNATION)?),
                class: Class::parse(text(CLASS)?)?,
                left: Duration::from_millis(number(DEADLINE)?),
                sent: number(SENT)?,
            })
        };
        let passport = passport().ok_or(WireError::Malformed)?;
        let mac = text(AUTH).and_then(unhex).ok_or(WireError::Authentic)?;
        if !key.verify(&[&passport.covered()], &mac) {
            return Err(WireError::Authentic);
        }
        Ok(passport)
    }

    fn covered(&self) -> Vec<u8> {
        let mut bytes = b"passport".to_vec();
        bytes.extend_from_slice(&self.attempt.0.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.0.to_le_bytes());
        bytes.push(self.class as u8);
        bytes.extend_from_slice(&(self.left.as_millis() as u64).to_le_bytes());
        bytes.extend_from_slice(&self.sent.to_le_bytes());
        bytes
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pair = |at| u8::from_str_radix(&text[at..at + 2], 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
