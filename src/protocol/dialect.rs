//! How callers and targets say what the mesh must know of a request: headers and statuses.
//!
//! The system has a dialect of its own, [`Native`]; another one is one more implementation of
//! [`Dialect`].

use std::time::Duration;

use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use http::{StatusCode, response};

use super::headers::{ATTEMPTS_LEFT, DEADLINE};
use crate::coordination::outcome::{NotRun, OUTCOME_HEADER, Outcome, UnknownReason};

/// Header by which callers name their requests.
pub const REQUEST_ID: &str = "x-request-id";

/// What a target's answer says, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// The target answered the request.
    Answered,
    /// The target did not run the request, and never will.
    NotRun(NotRun),
    /// It is not an answer to this request.
    Stray,
}

/// The headers and statuses between the mesh, its callers and its targets.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Time that the caller waits, where it says so.
    fn limit(&self, headers: &HeaderMap) -> Option<Duration>;

    /// The caller's name for its request, for log lines.
    fn name<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Sets what the ingress tells a target of the caller.
    fn stamp(&self, headers: &mut HeaderMap);

    /// Sets what a gate tells its target: the time left, and the instance that is meant.
    fn hand(&self, headers: &mut HeaderMap, left: Duration, instance: Option<&str>);

    /// What an answer to a request must repeat.
    fn echo(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Reads the head of a target's answer. `shed` is the status that its service's settings name
    /// for a request that was shed.
    fn judge(
        &self,
        answer: &response::Parts,
        echo: Option<&HeaderValue>,
        shed: Option<u16>,
    ) -> Judged;

    /// The status, and headers, of the answer to a caller whose request no target answered.
    /// `wait` is the time after which it may come back if the request did not run.
    fn tell(&self, outcome: Outcome, wait: Duration, headers: &mut HeaderMap) -> StatusCode;
}

/// The system's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn limit(&self, headers: &HeaderMap) -> Option<Duration> {
        header_number(headers, DEADLINE).map(Duration::from_millis)
    }

    fn name<'a>(&self, headers: &'a HeaderMap) -> &'a str {
        let name = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
        name.unwrap_or("-")
    }

    fn stamp(&self, _headers: &mut HeaderMap) {}

    fn hand(&self, headers: &mut HeaderMap, left: Duration, _instance: Option<&str>) {
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    }

    fn echo(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn judge(
        &self,
        answer: &response::Parts,
        _echo: Option<&HeaderValue>,
        shed: Option<u16>,
    ) -> Judged {
        match Some(answer.status.as_u16()) == shed {
            true => Judged::NotRun(NotRun::Shed),
            false => Judged::Answered,
        }
    }

    fn tell(&self, outcome: Outcome, wait: Duration, headers: &mut HeaderMap) -> StatusCode {
        if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
            headers.insert(OUTCOME_HEADER, value);
        }
        if matches!(outcome, Outcome::NotRun(_)) {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        status(outcome)
    }
}

/// The status that tells an outcome in plain HTTP.
pub fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(NotRun::CallerGone) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(UnknownReason::KeyInDoubt) => StatusCode::CONFLICT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// A header's value as a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Removes what only nodes tell each other about a request's attempts.
pub fn forget_attempts(headers: &mut HeaderMap) {
    headers.remove(ATTEMPTS_LEFT);
}
