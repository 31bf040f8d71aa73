//! Responses that the ingress generates itself, without a response from a target.

use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::Node;
use crate::coordination::outcome::{NotRun, OUTCOME_HEADER, Outcome, UnknownReason};
use crate::protocol::dialect::Dialect;
use crate::protocol::headers::REPLAYED_HEADER;
use crate::transport::http::{body_response, empty_response};
use crate::transport::platform::Platform;

/// A response and the outcome that it reports.
pub(super) type ResponseWithOutcome = (Response<Body>, Outcome);

impl<P: Platform> Node<P> {
    /// Builds the response for a request that no target answered. `retry_after` is the time after
    /// which the caller may retry if the request was not run.
    pub(super) fn local_response(
        &self,
        outcome: Outcome,
        retry_after: Duration,
    ) -> ResponseWithOutcome {
        let text = format!("{outcome}: {}\n", caller_advice(outcome));
        let mut response = body_response(StatusCode::OK, "text/plain", text);
        let dialect = self.platform.dialect();
        *response.status_mut() =
            dialect.write_outcome(outcome, retry_after, response.headers_mut());
        (response, outcome)
    }
}

/// Returns advice for the caller, for the body of the response.
fn caller_advice(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "",
        Outcome::NotRun(NotRun::CallerGone) => {
            "the request body was incomplete; send the request again with its whole body"
        }
        Outcome::NotRun(NotRun::CrashesTargets) => {
            "the request was not run, because targets have ended while they ran the same request; do not send it again"
        }
        Outcome::NotRun(NotRun::UnknownKey) => {
            "the request was not run; send it with a key of a workspace"
        }
        Outcome::NotRun(NotRun::OverQuota) => {
            "the request was not run, because the workspace is over its rate limit; send it again after the time in Retry-After"
        }
        Outcome::NotRun(_) => "the request was not run; send it again later",
        Outcome::Unknown(UnknownReason::KeyInDoubt) => {
            "an earlier request with this key may have run; check its result before you send a new one"
        }
        Outcome::Unknown(_) => {
            "the request may have run; check its result before you send it again"
        }
    }
}

/// Builds the response for a request whose idempotency key already has a recorded outcome, from the
/// stored status.
pub(super) fn replayed_response(status: u16) -> ResponseWithOutcome {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = empty_response(status);
    set_outcome(&mut response, Outcome::Answered);
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    (response, Outcome::Answered)
}

/// Builds the response for a request that matches no route.
pub(super) fn no_route() -> ResponseWithOutcome {
    let outcome = Outcome::NotRun(NotRun::NoTarget);
    let text = "no route matches this host, path and method; list the routes with `tarragon get`\n";
    let mut response = body_response(StatusCode::NOT_FOUND, "text/plain", text);
    set_outcome(&mut response, outcome);
    (response, outcome)
}

/// Builds the response for an invalid request.
pub(super) fn bad_request(text: &'static str) -> ResponseWithOutcome {
    let outcome = Outcome::NotRun(NotRun::CallerGone);
    let mut response = body_response(StatusCode::BAD_REQUEST, "text/plain", format!("{text}\n"));
    set_outcome(&mut response, outcome);
    (response, outcome)
}

fn set_outcome(response: &mut Response<Body>, outcome: Outcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}
