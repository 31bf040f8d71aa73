//! The platform stand-in as an HTTP service with the API of `docs/PLATFORM.md`.
//!
//! More paths serve tests: `POST /faults` sets the faults, `POST /copy` keeps a copy of the data,
//! `POST /come-back` returns to that copy, and `GET /calls` returns the number of calls.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;

use super::faults::PlatformFaults;
use super::platform::MemoryPlatform;
use super::store::{Store, VALUE_MAX_BYTES};
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
pub struct PlatformServer {
    platform: MemoryPlatform,
    /// The copy from which the platform comes back.
    copy: Mutex<Option<Store>>,
}

impl From<MemoryPlatform> for PlatformServer {
    fn from(platform: MemoryPlatform) -> PlatformServer {
        PlatformServer {
            platform,
            copy: Mutex::default(),
        }
    }
}

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
            (&Method::POST, "copy") => return self.take_copy(),
            (&Method::POST, "come-back") => return self.come_back(),
            (&Method::GET, "calls") => {
                return json_response(StatusCode::OK, &self.platform.call_counts());
            }
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
        let era = HeaderValue::from(self.platform.era().0);
        response.headers_mut().insert(ERA_HEADER, era);
        response
    }
}

impl PlatformServer {
    /// The revision that a request names, by default one of the current era.
    fn revision(&self, number: u64, headers: &HeaderMap) -> Revision {
        let era = header_number(headers, ERA_HEADER).map(Era);
        Revision::new(era.unwrap_or(self.platform.era()), number)
    }

    /// The lease that a request names, by default one of the current era.
    fn lease(&self, number: u64, headers: &HeaderMap, era_header: &str) -> Lease {
        let era = header_number(headers, era_header).map(Era);
        Lease {
            era: era.unwrap_or(self.platform.era()),
            number,
        }
    }

    fn take_copy(&self) -> Response<Body> {
        let mut copy = self.copy.lock().unwrap_or_else(|e| e.into_inner());
        *copy = Some(self.platform.backup());
        empty_response(StatusCode::OK)
    }

    fn come_back(&self) -> Response<Body> {
        let copy = self.copy.lock().unwrap_or_else(|e| e.into_inner()).take();
        match copy {
            Some(copy) => {
                self.platform.restore(copy);
                empty_response(StatusCode::OK)
            }
            None => text_response(
                StatusCode::BAD_REQUEST,
                "there is no copy; POST /copy first",
            ),
        }
    }

    fn set_faults(&self, body: &str) -> Response<Body> {
        match serde_json::from_str::<PlatformFaults>(body) {
            Ok(faults) => {
                self.platform.set_faults(faults);
                json_response(StatusCode::OK, &faults)
            }
            Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn get(&self, key: &str) -> HandlerResult {
        Ok(value_response(self.platform.get(key).await?))
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
        let swapped = self
            .platform
            .compare_and_swap(key, value, expected, lease)
            .await?;
        Ok(match swapped {
            Some(revision) => with_revision(empty_response(StatusCode::OK), revision.number),
            None => empty_response(StatusCode::PRECONDITION_FAILED),
        })
    }

    async fn delete(&self, key: &str, headers: &HeaderMap) -> HandlerResult {
        let expected = header_number(headers, EXPECT_HEADER).unwrap_or(0);
        let expected = self.revision(expected, headers);
        Ok(empty_response(
            match self.platform.delete(key, expected).await? {
                true => StatusCode::OK,
                false => StatusCode::PRECONDITION_FAILED,
            },
        ))
    }

    async fn list(&self, prefix: &str) -> HandlerResult {
        let listed = self.platform.list(prefix).await?;
        let item = |(key, v): &(String, Value)| json!({ "key": key, "value": v.text, "revision": v.revision.number });
        let items: Vec<_> = listed.iter().map(item).collect();
        Ok(json_response(StatusCode::OK, &items))
    }

    async fn watch(&self, key: &str, query: &str, headers: &HeaderMap) -> HandlerResult {
        let after = self.revision(query_number(query, "after").unwrap_or(0), headers);
        let wait = Duration::from_millis(query_number(query, "wait").unwrap_or(0));
        let changed = self.platform.watch(key, after, wait).await?;
        Ok(match changed {
            Some(value) => value_response(Some(value)),
            None => empty_response(StatusCode::NO_CONTENT),
        })
    }

    async fn grant_lease(&self, query: &str) -> HandlerResult {
        let ttl = Duration::from_millis(query_number(query, "ttl").unwrap_or(1000));
        let lease = self.platform.grant_lease(ttl).await?;
        Ok(text_response(StatusCode::OK, lease.number.to_string()))
    }

    async fn renew_lease(&self, lease: &str, headers: &HeaderMap) -> HandlerResult {
        let lease = self.lease(lease.parse().unwrap_or(0), headers, ERA_HEADER);
        let renewed = self.platform.renew_lease(lease).await?;
        Ok(empty_response(match renewed {
            true => StatusCode::OK,
            false => StatusCode::NOT_FOUND,
        }))
    }

    async fn revoke_lease(&self, lease: &str, headers: &HeaderMap) -> HandlerResult {
        let lease = self.lease(lease.parse().unwrap_or(0), headers, ERA_HEADER);
        self.platform.revoke_lease(lease).await?;
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
