//! The response of a gate to an ingress: what it says about the attempt and the target.

use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{HeaderMap, Response};

use super::attempt::AttemptResult;
use super::response_body::buffer_sized_response;
use crate::coordination::outcome::{NotRun, OUTCOME_HEADER, Outcome, UnknownReason};
use crate::coordination::pick::TargetFeedback;
use crate::protocol::dialect::header_number;
use crate::protocol::headers::{
    BACKLOG_HEADER, ECHO_HEADER, INCARNATION_HEADER, LOAD_HEADER, SERVICE_HEADER, attempt_echo,
};
use crate::state::id::{AttemptId, Incarnation, Path};

/// Whether a gate's response belongs to an attempt, as far as it tells; gates of earlier versions do not.
pub(super) fn take_echo(response: &mut Response<Body>, attempt: AttemptId) -> bool {
    let echo = response.headers_mut().remove(ECHO_HEADER);
    echo.is_none_or(|echo| echo == attempt_echo(attempt))
}

/// Interprets the response of a gate. Without the outcome header, it did not come from a gate:
/// another process listens at that address.
pub(super) async fn read_gate_response(
    mut response: Response<Body>,
    service: &Path,
    service_time: impl Fn() -> Option<Duration>,
) -> (AttemptResult, TargetFeedback) {
    let headers = response.headers();
    let load = header_number(headers, LOAD_HEADER).unwrap_or(0) as u32;
    let backlog = header_number(headers, BACKLOG_HEADER).map(Duration::from_millis);
    let text = headers.get(OUTCOME_HEADER).and_then(|v| v.to_str().ok());
    match text.and_then(Outcome::parse) {
        Some(Outcome::Answered) => {
            response.headers_mut().remove(LOAD_HEADER);
            response.headers_mut().remove(BACKLOG_HEADER);
            // A server error of the target counts against it when targets are picked.
            let is_error = response.status().is_server_error();
            match buffer_sized_response(response).await {
                Ok(response) if is_error => (
                    AttemptResult::Answered(response),
                    TargetFeedback::Refused(load),
                ),
                Ok(response) => (
                    AttemptResult::Answered(response),
                    TargetFeedback::Answered(load, service_time()),
                ),
                Err(_) => (
                    AttemptResult::unknown(UnknownReason::LinkBroken),
                    TargetFeedback::Failed,
                ),
            }
        }
        Some(outcome) => {
            if outcome == Outcome::NotRun(NotRun::Incarnation)
                && let Some(current) = current_incarnation(headers, service)
            {
                let feedback = TargetFeedback::Refused(load);
                return (AttemptResult::Restarted(current), feedback);
            }
            let feedback = match outcome {
                Outcome::NotRun(NotRun::Unreachable)
                | Outcome::Unknown(UnknownReason::TargetBroken) => TargetFeedback::Failed,
                _ => TargetFeedback::Refused(load),
            };
            (AttemptResult::Unanswered(outcome, backlog), feedback)
        }
        None => (
            AttemptResult::unknown(UnknownReason::LinkBroken),
            TargetFeedback::Failed,
        ),
    }
}

/// Returns the incarnation that a gate has named in its refusal, if its target still belongs to the
/// service. After a replacement, a target of another service may have the address.
fn current_incarnation(headers: &HeaderMap, service: &Path) -> Option<Incarnation> {
    let named = headers.get(SERVICE_HEADER)?.to_str().ok()?;
    let incarnation = header_number(headers, INCARNATION_HEADER).map(Incarnation);
    incarnation.filter(|_| named == service.as_str())
}
