//! What callers are told when a target's answer is not at hand.

use gotham::helpers::http::Body;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::coordination::outcome::{Doubt, NotRun, OUTCOME_HEADER, Outcome};
use crate::transport::http::{empty, full};

/// Header that marks the stored outcome of an earlier request with the same key.
const REPLAYED_HEADER: &str = "tarragon-replayed";

/// An answer with the outcome that it tells.
pub(super) type Told = (Response<Body>, Outcome);

/// What a caller is told when there is no answer.
pub(super) fn told(outcome: Outcome) -> Told {
    let (status, remedy) = match outcome {
        Outcome::Answered => (StatusCode::OK, ""),
        Outcome::NotRun(NotRun::CallerGone) => (
            StatusCode::BAD_REQUEST,
            "the request's body broke off; send it whole",
        ),
        Outcome::NotRun(_) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "it was not run; send it again later",
        ),
        Outcome::Unknown(Doubt::Timeout) => (
            StatusCode::GATEWAY_TIMEOUT,
            "it may have run; look before sending it again",
        ),
        Outcome::Unknown(Doubt::KeyInDoubt) => (
            StatusCode::CONFLICT,
            "an earlier request with this key may have run; look before sending a new one",
        ),
        Outcome::Unknown(_) => (
            StatusCode::BAD_GATEWAY,
            "it may have run; look before sending it again",
        ),
    };
    let text = format!("{outcome}: {remedy}\n");
    let mut response = full(status, "text/plain", text);
    mark(&mut response, outcome);
    if matches!(outcome, Outcome::NotRun(_)) {
        let wait = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    (response, outcome)
}

/// The stored outcome of an earlier request with the same key.
pub(super) fn replayed(status: u16) -> Told {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = empty(status);
    mark(&mut response, Outcome::Answered);
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    (response, Outcome::Answered)
}

/// No route matches the request.
pub(super) fn no_route() -> Told {
    let outcome = Outcome::NotRun(NotRun::NoTarget);
    let text = "no route matches this host, path and method; see `tarragon get`\n";
    let mut response = full(StatusCode::NOT_FOUND, "text/plain", text);
    mark(&mut response, outcome);
    (response, outcome)
}

/// The request itself is at fault.
pub(super) fn bad_request(text: &'static str) -> Told {
    let outcome = Outcome::NotRun(NotRun::CallerGone);
    let mut response = full(StatusCode::BAD_REQUEST, "text/plain", format!("{text}\n"));
    mark(&mut response, outcome);
    (response, outcome)
}

fn mark(response: &mut Response<Body>, outcome: Outcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}
