//! The cases, and what their requesters have in common.

pub mod earlier;
pub mod grace;
pub mod holders;
pub mod prefix;
pub mod tail;

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{HOST, Record};
use crate::http::{Message, exchange};

/// Sends one request on a new connection, and records it and its answer. Returns the answer; `None`
/// if the connection ended without one.
pub fn request(
    record: &Record,
    to: SocketAddr,
    line: (&str, &str),
    id: &str,
    budget: Duration,
    more: &[(&str, &str)],
    body: &[u8],
) -> Option<Message> {
    let (method, path) = line;
    record.line(&format!("requester: sends {id} {method} {path} to {to}"));
    let budget_ms = budget.as_millis().to_string();
    let mut headers = vec![
        ("host", HOST),
        ("x-attempt-id", id),
        ("x-deadline-ms", &budget_ms),
    ];
    headers.extend_from_slice(more);
    let answer = exchange(
        to,
        method,
        path,
        &headers,
        body,
        budget + Duration::from_millis(500),
    );
    match &answer {
        Ok(Some(a)) => {
            let signature = a.header("x-response-signature").unwrap_or("none");
            record.line(&format!(
                "requester: {id} is answered {} signature {signature}",
                a.status()
            ));
        }
        Ok(None) => record.line(&format!(
            "requester: the connection of {id} ends without an answer"
        )),
        Err(e) => record.line(&format!("requester: {id} gets no answer: {e}")),
    }
    answer.ok().flatten()
}
