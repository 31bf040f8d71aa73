//! The HTTP headers and statuses that the mesh exchanges with callers and targets.
//!
//! [`Dialect`] is the interface for one set of such headers and statuses, so that the mesh can be
//! used with the conventions of an existing platform. [`NativeDialect`] is the default.

use std::time::Duration;

use http::header::{AUTHORIZATION, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{StatusCode, response};

use super::headers::{
    ATTEMPT_ID_HEADER, ATTEMPTS_LEFT_HEADER, DEADLINE_HEADER, TARGET_LEAVING_HEADER,
    TARGET_RATE_HEADER, WORKSPACE_HEADER,
};
use crate::coordination::notice::{RateNotice, TargetNotice};
use crate::coordination::outcome::{NotRun, OUTCOME_HEADER, Outcome, UnknownReason};
use crate::state::id::AttemptId;
use crate::state::rate::RequestRate;

/// Header with the caller's identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Classification of a target's response by its status and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target answered the request.
    Answered,
    /// The target did not run the request and will not run it later.
    NotRun(NotRun),
    /// The response does not belong to the request that was sent.
    Stray,
}

/// What a gate tells the target about a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetHop<'a> {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// The instance that the request is intended for, if its name is known.
    pub instance: Option<&'a str>,
}

impl ResponseKind {
    /// Whether the response comes from the target that the request was sent to.
    pub fn is_from_target(self) -> bool {
        !matches!(
            self,
            ResponseKind::Stray | ResponseKind::NotRun(NotRun::Misdirected)
        )
    }
}

/// Reads and writes the headers and statuses between the mesh, its callers and its targets.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Headers, in lower case, that concern the whole way of a request or response. A `Connection` header
    /// that names one of them does not remove it.
    fn end_to_end_headers(&self) -> &'static [&'static str];

    /// How long the caller waits for a response, or `None` if the request does not state it.
    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// The caller's identifier of the request, for log lines; `-` if there is none.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Sets the headers by which the ingress informs the target about the caller.
    fn set_caller_headers(&self, headers: &mut HeaderMap);

    /// Sets the header that names the caller's workspace to the target, or removes it.
    fn set_workspace(&self, headers: &mut HeaderMap, name: Option<&str>);

    /// Returns who sent a request, according to its headers; empty if they do not tell.
    fn caller<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Sets the headers by which a gate informs its target.
    fn set_target_headers(&self, headers: &mut HeaderMap, hop: TargetHop<'_>);

    /// Header value of the request that the target repeats in its response, if there is one.
    fn echo_header(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Whether a response repeats the value. The connection of one that does not is not used again:
    /// a late copy of the response could be taken for the response to the next request.
    fn has_echo(&self, headers: &HeaderMap, echo: Option<&HeaderValue>) -> bool;

    /// Classifies a target's response. `echo` is the value that the response must repeat, and
    /// `shed_status` is the configured status with which targets of the service report that they
    /// shed a request.
    fn classify_response(
        &self,
        response: &response::Parts,
        echo: Option<&HeaderValue>,
        shed_status: Option<u16>,
    ) -> ResponseKind;

    /// What a target's response says about the target.
    fn target_notice(&self, headers: &HeaderMap) -> TargetNotice;

    /// Returns the status, and sets the headers, of the response to a caller whose request no
    /// target answered. `retry_after` is the time after which the caller may retry a request that
    /// did not run.
    fn write_outcome(
        &self,
        outcome: Outcome,
        retry_after: Duration,
        headers: &mut HeaderMap,
    ) -> StatusCode;
}

/// The default dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn end_to_end_headers(&self) -> &'static [&'static str] {
        &[REQUEST_ID_HEADER, WORKSPACE_HEADER]
    }

    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        header_number(headers, DEADLINE_HEADER).map(Duration::from_millis)
    }

    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str {
        let id = headers.get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok());
        id.unwrap_or("-")
    }

    fn set_caller_headers(&self, _headers: &mut HeaderMap) {}

    fn set_workspace(&self, headers: &mut HeaderMap, name: Option<&str>) {
        set_or_remove(headers, WORKSPACE_HEADER, name);
    }

    fn caller<'a>(&self, _headers: &'a HeaderMap) -> &'a str {
        ""
    }

    fn set_target_headers(&self, headers: &mut HeaderMap, hop: TargetHop<'_>) {
        headers.insert(
            DEADLINE_HEADER,
            HeaderValue::from(hop.time_left.as_millis() as u64),
        );
        if let Ok(attempt) = HeaderValue::from_str(&hop.attempt.to_string()) {
            headers.insert(ATTEMPT_ID_HEADER, attempt);
        }
    }

    fn echo_header(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(ATTEMPT_ID_HEADER).cloned()
    }

    fn has_echo(&self, headers: &HeaderMap, echo: Option<&HeaderValue>) -> bool {
        headers.get(ATTEMPT_ID_HEADER) == echo
    }

    fn classify_response(
        &self,
        response: &response::Parts,
        echo: Option<&HeaderValue>,
        shed_status: Option<u16>,
    ) -> ResponseKind {
        let repeated = response.headers.get(ATTEMPT_ID_HEADER);
        if repeated.is_some() && repeated != echo {
            return ResponseKind::Stray;
        }
        match Some(response.status.as_u16()) == shed_status {
            true => ResponseKind::NotRun(NotRun::Shed),
            false => ResponseKind::Answered,
        }
    }

    fn target_notice(&self, headers: &HeaderMap) -> TargetNotice {
        TargetNotice {
            rate: rate_notice(headers, TARGET_RATE_HEADER),
            leaving: header_is_set(headers, TARGET_LEAVING_HEADER),
        }
    }

    fn write_outcome(
        &self,
        outcome: Outcome,
        retry_after: Duration,
        headers: &mut HeaderMap,
    ) -> StatusCode {
        if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
            headers.insert(OUTCOME_HEADER, value);
        }
        if may_return(outcome) {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        outcome_status(outcome)
    }
}

/// The HTTP status for an outcome.
pub fn outcome_status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(NotRun::CallerGone) => StatusCode::BAD_REQUEST,
        Outcome::NotRun(NotRun::UnknownKey) => StatusCode::UNAUTHORIZED,
        Outcome::NotRun(NotRun::OverQuota) => StatusCode::TOO_MANY_REQUESTS,
        Outcome::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown(UnknownReason::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        Outcome::Unknown(UnknownReason::KeyInDoubt) => StatusCode::CONFLICT,
        Outcome::Unknown(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Whether a caller with this outcome may send the same request again later.
pub fn may_return(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::NotRun(reason) if reason != NotRun::UnknownKey)
}

/// Returns the key in an `Authorization` header of the scheme `Bearer`; `None` if there is no such
/// header or it is not visible ASCII.
///
/// ```
/// use http::HeaderMap;
/// use tarragoncourse::protocol::dialect::bearer_key;
/// let mut headers = HeaderMap::new();
/// headers.insert("authorization", "bearer  k1".parse().unwrap());
/// assert_eq!(bearer_key(&headers), Some("k1"));
/// headers.insert("authorization", "Basic k1".parse().unwrap());
/// assert_eq!(bearer_key(&headers), None);
/// ```
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Sets a header to a text, or removes it without one.
pub fn set_or_remove(headers: &mut HeaderMap, name: &'static str, text: Option<&str>) {
    match text.and_then(|t| HeaderValue::from_str(t).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}

/// Parses the value of a header as a number. Returns `None` if it is absent or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses a header that names a rate in requests per second.
pub fn rate_notice(headers: &HeaderMap, name: &str) -> RateNotice {
    let Some(value) = headers.get(name) else {
        return RateNotice::Absent;
    };
    let rate = value.to_str().ok().and_then(|t| t.trim().parse().ok());
    match rate.and_then(RequestRate::from_per_second) {
        Some(rate) => RateNotice::Named(rate),
        None => {
            log::warn!("ignored a rate that is not a valid number header={name} value={value:?}");
            RateNotice::Unreadable
        }
    }
}

/// How long the sender of a response keeps an idle connection, if the response says so (the
/// `timeout` parameter of `Keep-Alive`, in seconds).
///
/// ```
/// use std::time::Duration;
/// use http::HeaderMap;
/// use tarragoncourse::protocol::dialect::keep_alive_timeout;
/// let mut headers = HeaderMap::new();
/// headers.insert("keep-alive", "max=100, timeout=5".parse().unwrap());
/// assert_eq!(keep_alive_timeout(&headers), Some(Duration::from_secs(5)));
/// ```
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parameters = headers.get("keep-alive")?.to_str().ok()?.split(',');
    let pairs = parameters.filter_map(|p| p.trim().split_once('='));
    let (_, seconds) = pairs
        .into_iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Whether a header is present with the value `1`.
pub fn header_is_set(headers: &HeaderMap, name: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|v| v.as_bytes().trim_ascii() == b"1")
}

/// Removes the header with the number of remaining attempts, which is meant only for nodes.
pub fn remove_attempts_left(headers: &mut HeaderMap) {
    headers.remove(ATTEMPTS_LEFT_HEADER);
}
