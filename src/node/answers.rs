//! What callers are told when a target's answer is not at hand.

use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::Node;
use crate::coordination::outcome::{Doubt, NotRun, OUTCOME_HEADER, Outcome};
use crate::protocol::dialect::Dialect;
use crate::protocol::headers::REPLAYED_HEADER;
use crate::transport::http::{body_response, empty_response};
use crate::transport::platform::Platform;

/// An answer with the outcome that it tells.
pub(super) type Told = (Response<Body>, Outcome);

impl<P: Platform> Node<P> {
    /// What a caller is told when there is no answer. `wait` is the time after which it may come
    /// back if its request did not run.
    pub(super) fn told(&self, outcome: Outcome, wait: Duration) -> Told {
        let text = format!("{outcome}: {}\n", remedy(outcome));
        let mut response = body_response(StatusCode::OK, "text/plain", text);
        let dialect = self.platform.dialect();
        *response.status_mut() = dialect.write_outcome(outcome, wait, response.headers_mut());
        (response, outcome)
    }
}

fn remedy(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "",
        Outcome::NotRun(NotRun::CallerGone) => "the request's body broke off; send it whole",
        Outcome::NotRun(_) => "it was not run; send it again later",
        Outcome::Unknown(Doubt::KeyInDoubt) => {
            "an earlier request with this key may have run; look before sending a new one"
        }
        Outcome::Unknown(_) => "it may have run; look before sending it again",
    }
}

/// The stored outcome of an earlier request with the same key.
pub(super) fn replayed(status: u16) -> Told {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = empty_response(status);
    mark(&mut response, Outcome::Answered);
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    (response, Outcome::Answered)
}

/// No route matches the request.
pub(super) fn no_route() -> Told {
    let outcome = Outcome::NotRun(NotRun::NoTarget);
    let text = "no route matches this host, path and method; see `tarragon get`\n";
    let mut response = body_response(StatusCode::NOT_FOUND, "text/plain", text);
    mark(&mut response, outcome);
    (response, outcome)
}

/// The request itself is at fault.
pub(super) fn bad_request(text: &'static str) -> Told {
    let outcome = Outcome::NotRun(NotRun::CallerGone);
    let mut response = body_response(StatusCode::BAD_REQUEST, "text/plain", format!("{text}\n"));
    mark(&mut response, outcome);
    (response, outcome)
}

fn mark(response: &mut Response<Body>, outcome: Outcome) {
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
}
