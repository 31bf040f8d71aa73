//! The platform stand-in as an HTTP service with the API of `docs/PLATFORM.md`.
//!
//! Two more paths serve tests: `POST /faults` sets the faults, and `GET /calls` returns the number
//! of calls.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;

use super::faults::PlatformFaults;
use super::platform::MemoryPlatform;
use super::store::VALUE_MAX_BYTES;
use crate::protocol::dialect::header_number;
use crate::state::revision::{Era, Lease, Revision};
use crate::transport::http::{
    Endpoint, body_response, empty_response, json_response, query_number, read_body,
};
use crate::transport::kv::{
    ERA_HEADER, EXPECT_HEADER, LEASE_ERA_HEADER, LEASE_HEADER, REVISION_HEADER,
};
use crate::transport::platform::{Platform, PlatformError, Value};

/// HTTP endpoint of the platform stand-in.
pub struct PlatformServer(pub MemoryPlatform);

type HandlerResult = Result<Response<Body>, PlatformError>;

impl Endpoint for PlatformServer {
    async fn call(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = match read_body(body, VALUE_MAX_BYTES + 1).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(_) => {
                return text_response(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "value exceeds the limit of 1 MiB",
                );
            }
        };
        let path = parts.uri.path().trim_start_matches('/');
        let (resource, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts.uri.query().unwrap_or_default();
        let result = match (&parts.method, resource) {
            (&Method::POST, "faults") => return self.set_faults(&body),
            (&Method::GET, "calls") => return json_response(StatusCode::OK, &self.0.call_counts()),
            (&Method::GET, "kv") => self.get(rest).await,
            (&Method::PUT, "kv") => self.put(rest, &body, &parts.headers).await,
            (&Method::DELETE, "kv") => self.delete(rest, &parts.headers).await,
            (&Method::GET, "list") => self.list(rest).await,
            (&Method::GET, "watch") => self.watch(rest, query, &parts.headers).await,
            (&Method::POST, "lease") if rest.is_empty() => self.grant_lease(query).await,
            (&Method::POST, "lease") => self.renew_lease(rest, &parts.headers).await,
            (&Method::DELETE, "lease") => self.revoke_lease(rest, &parts.headers).await,
            _ => return text_response(StatusCode::NOT_FOUND, "unknown path or method"),
        };
        let mut response = result.unwrap_or_else(|e| match e {
            PlatformError::Indeterminate => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
            PlatformError::Rejected(reason) => text_response(StatusCode::TOO_MANY_REQUESTS, reason),
            PlatformError::Compacted => empty_response(StatusCode::GONE),
        });
        let era = HeaderValue::from(self.0.era().0);
        response.headers_mut().insert(ERA_HEADER, era);
        response
    }
}

impl PlatformServer {
    /// The revision that a request names, by default one of the current era.
    fn revision(&self, number: u64, headers: &HeaderMap) -> Revision {
        let era = header_number(headers, ERA_HEADER).map(Era);
        Revision::new(era.unwrap_or(self.0.era()), number)
    }

    /// The lease that a request names, by default one of the current era.
    fn lease(&self, number: u64, headers: &HeaderMap, era_header: &str) -> Lease {
        let era = header_number(headers, era_header).map(Era);
        Lease {
            era: era.unwrap_or(self.0.era()),
            number,
        }
    }

    fn set_faults(&self, body: &str) -> Response<Body> {
        match serde_json::from_str::<PlatformFaults>(body) {
            Ok(faults) => {
                self.0.set_faults(faults);
                json_response(StatusCode::OK, &faults)
            }
            Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn get(&self, key: &str) -> HandlerResult {
        Ok(value_response(self.0.get(key).await?))
    }

    async fn put(&self, key: &str, value: &str, headers: &HeaderMap) -> HandlerResult {
        if value.len() > VALUE_MAX_BYTES {
            return Ok(text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "value exceeds the limit of 1 MiB",
            ));
        }
        let expected = header_number(headers, EXPECT_HEADER).unwrap_or(0);
        let expected = self.revision(expected, headers);
        let lease = header_number(headers, LEASE_HEADER);
        let lease = lease.map(|number| self.lease(number, headers, LEASE_ERA_HEADER));
        let swapped = self.0.compare_and_swap(key, value, expected, lease).await?;
        Ok(match swapped {
            Some(revision) => with_revision(empty_response(StatusCode::OK), revision.number),
            None => empty_response(StatusCode::PRECONDITION_FAILED),
        })
    }

    async fn delete(&self, key: &str, headers: &HeaderMap) -> HandlerResult {
        let expected = header_number(headers, EXPECT_HEADER).unwrap_or(0);
        let expected = self.revision(expected, headers);
        Ok(empty_response(match self.0.delete(key, expected).await? {
            true => StatusCode::OK,
            false => StatusCode::PRECONDITION_FAILED,
        }))
    }

    async fn list(&self, prefix: &str) -> HandlerResult {
        let listed = self.0.list(prefix).await?;
        let item = |(key, v): &(String, Value)| json!({ "key": key, "value": v.text, "revision": v.revision.number });
        let items: Vec<_> = listed.iter().map(item).collect();
        Ok(json_response(StatusCode::OK, &items))
    }

    async fn watch(&self, key: &str, query: &str, headers: &HeaderMap) -> HandlerResult {
        let after = self.revision(query_number(query, "after").unwrap_or(0), headers);
        let wait = Duration::from_millis(query_number(query, "wait").unwrap_or(0));
        let changed = self.0.watch(key, after, wait).await?;
        Ok(match changed {
            Some(value) => value_response(Some(value)),
            None => empty_response(StatusCode::NO_CONTENT),
        })
    }

    async fn grant_lease(&self, query: &str) -> HandlerResult {
        let ttl = Duration::from_millis(query_number(query, "ttl").unwrap_or(1000));
        let lease = self.0.grant_lease(ttl).await?;
        Ok(text_response(StatusCode::OK, lease.number.to_string()))
    }

    async fn renew_lease(&self, lease: &str, headers: &HeaderMap) -> HandlerResult {
        let lease = self.lease(lease.parse().unwrap_or(0), headers, ERA_HEADER);
        let renewed = self.0.renew_lease(lease).await?;
        Ok(empty_response(match renewed {
            true => StatusCode::OK,
            false => StatusCode::NOT_FOUND,
        }))
    }

    async fn revoke_lease(&self, lease: &str, headers: &HeaderMap) -> HandlerResult {
        let lease = self.lease(lease.parse().unwrap_or(0), headers, ERA_HEADER);
        self.0.revoke_lease(lease).await?;
        Ok(empty_response(StatusCode::OK))
    }
}

fn value_response(value: Option<Value>) -> Response<Body> {
    match value {
        Some(value) => with_revision(
            text_response(StatusCode::OK, value.text),
            value.revision.number,
        ),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn with_revision(mut response: Response<Body>, revision: u64) -> Response<Body> {
    let value = HeaderValue::from(revision);
    response.headers_mut().insert(REVISION_HEADER, value);
    response
}

fn text_response(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    body_response(status, "text/plain", body.into())
}
