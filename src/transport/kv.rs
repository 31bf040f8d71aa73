//! [`Platform`] client for the HTTP interface described in `docs/PLATFORM.md`.

use std::net::SocketAddr;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use super::client::{HttpClient, SendError};
use super::era::EraTracker;
use super::http::{full_body, read_body};
use super::platform::{Platform, PlatformError, PlatformResult, Value};
use crate::protocol::dialect::{NativeDialect, header_number};
use crate::protocol::entries::readable_entries;
use crate::state::revision::{Era, Lease, Revision};

/// Header with the revision of the value read or written.
pub const REVISION_HEADER: &str = "kv-revision";
/// Header with the era of the store; in a request, the era of the revision or lease that
/// the request names.
pub const ERA_HEADER: &str = "kv-era";
/// Header with the revision that a key must have for a write to succeed.
pub const EXPECT_HEADER: &str = "kv-expect";
/// Header with the lease to which a written key is attached.
pub const LEASE_HEADER: &str = "kv-lease";
/// Header with the era of the lease to which a written key is attached.
pub const LEASE_ERA_HEADER: &str = "kv-lease-era";
/// Time limit for a call; for a watch, the requested waiting time is added.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response. The largest responses are lists of many values.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// HTTP client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: HttpClient,
    era: EraTracker,
}

#[derive(Deserialize)]
struct ListedItem {
    key: String,
    value: String,
    revision: u64,
}

impl HttpPlatform {
    /// Creates a client of the service at an address.
    pub fn new(address: SocketAddr) -> HttpPlatform {
        HttpPlatform {
            address,
            client: HttpClient::default(),
            era: EraTracker::default(),
        }
    }

    /// Sends a request, and waits for the response at most for [`CALL_TIMEOUT`] plus `wait`.
    async fn call(
        &self,
        method: Method,
        path: String,
        headers: &[(&'static str, u64)],
        body: String,
        wait: Duration,
    ) -> PlatformResult<KvResponse> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, value.to_string());
        }
        let request = request
            .body(full_body(body))
            .map_err(|e| PlatformError::Rejected(e.to_string()))?;
        let response = async {
            let response = self
                .client
                .send_refusable(self.address, request)
                .await
                .map_err(platform_error)?;
            if let Some(era) = header_number(response.headers(), ERA_HEADER) {
                self.era.observe(Era(era));
            }
            read_response(response).await
        };
        tokio::time::timeout(CALL_TIMEOUT + wait, response)
            .await
            .unwrap_or(Err(PlatformError::Indeterminate))
    }
}

/// A response of the service.
struct KvResponse {
    status: StatusCode,
    /// Era in which the service responded; zero if it does not tell.
    era: Era,
    /// The revision header; zero if absent.
    number: u64,
    text: String,
}

impl KvResponse {
    fn revision(&self) -> Revision {
        Revision::new(self.era, self.number)
    }

    /// The value in a response with status 200.
    fn into_value(self) -> Option<Value> {
        let revision = self.revision();
        (self.status == StatusCode::OK).then_some(Value {
            text: self.text,
            revision,
        })
    }
}

fn platform_error(e: SendError) -> PlatformError {
    match e {
        SendError::NotSent => PlatformError::Rejected(
            "cannot connect to it; check `platform` in the settings".to_string(),
        ),
        SendError::Broken => PlatformError::Indeterminate,
    }
}

/// Reads the body of a response, and checks the status.
async fn read_response(response: Response<Body>) -> PlatformResult<KvResponse> {
    let status = response.status();
    let number = header_number(response.headers(), REVISION_HEADER).unwrap_or(0);
    let era = Era(header_number(response.headers(), ERA_HEADER).unwrap_or(0));
    let bytes = read_body(response.into_body(), RESPONSE_MAX_BYTES).await;
    let bytes = bytes.map_err(|_| PlatformError::Indeterminate)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match status {
        StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => {}
        StatusCode::NO_CONTENT => {}
        // Only these statuses guarantee that the call had no effect.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::PAYLOAD_TOO_LARGE => {
            return Err(PlatformError::Rejected(text));
        }
        _ => return Err(PlatformError::Indeterminate),
    }
    Ok(KvResponse {
        status,
        era,
        number,
        text,
    })
}

/// The header that names the era of a revision, unless it belongs to all eras.
fn era_header(revision: Revision) -> Option<(&'static str, u64)> {
    (revision != Revision::ABSENT).then_some((ERA_HEADER, revision.era.0))
}

fn kv_path(key: &str) -> String {
    format!("/kv/{key}")
}

impl Platform for HttpPlatform {
    type Dialect = NativeDialect;

    fn dialect(&self) -> &NativeDialect {
        &NativeDialect
    }

    fn era(&self) -> Era {
        self.era.current()
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Value>> {
        let no_wait = Duration::ZERO;
        let call = self.call(Method::GET, kv_path(key), &[], String::new(), no_wait);
        Ok(call.await?.into_value())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        lease: Option<Lease>,
    ) -> PlatformResult<Option<Revision>> {
        let mut headers = vec![(EXPECT_HEADER, expected.number)];
        headers.extend(era_header(expected));
        headers.extend(lease.map(|l| (LEASE_HEADER, l.number)));
        headers.extend(lease.map(|l| (LEASE_ERA_HEADER, l.era.0)));
        let no_wait = Duration::ZERO;
        let call = self.call(
            Method::PUT,
            kv_path(key),
            &headers,
            value.to_string(),
            no_wait,
        );
        let response = call.await?;
        Ok((response.status == StatusCode::OK).then_some(response.revision()))
    }

    async fn delete(&self, key: &str, expected: Revision) -> PlatformResult<bool> {
        let mut headers = vec![(EXPECT_HEADER, expected.number)];
        headers.extend(era_header(expected));
        let no_wait = Duration::ZERO;
        let call = self.call(
            Method::DELETE,
            kv_path(key),
            &headers,
            String::new(),
            no_wait,
        );
        Ok(call.await?.status == StatusCode::OK)
    }

    async fn list(&self, prefix: &str) -> PlatformResult<Vec<(String, Value)>> {
        let path = format!("/list/{prefix}");
        let no_wait = Duration::ZERO;
        let response = self
            .call(Method::GET, path, &[], String::new(), no_wait)
            .await?;
        let mut list = serde_json::Deserializer::from_str(&response.text);
        let listed: Vec<ListedItem> =
            readable_entries(&mut list).map_err(|_| PlatformError::Indeterminate)?;
        let key_and_value = |item: ListedItem| {
            let value = Value {
                text: item.value,
                revision: Revision::new(response.era, item.revision),
            };
            (item.key, value)
        };
        Ok(listed.into_iter().map(key_and_value).collect())
    }

    async fn grant_lease(&self, ttl: Duration) -> PlatformResult<Lease> {
        let path = format!("/lease?ttl={}", ttl.as_millis());
        let no_wait = Duration::ZERO;
        let response = self
            .call(Method::POST, path, &[], String::new(), no_wait)
            .await?;
        let number = response.text.trim().parse();
        Ok(Lease {
            era: response.era,
            number: number.map_err(|_| PlatformError::Indeterminate)?,
        })
    }

    async fn renew_lease(&self, lease: Lease) -> PlatformResult<bool> {
        let path = format!("/lease/{}", lease.number);
        let headers = [(ERA_HEADER, lease.era.0)];
        let no_wait = Duration::ZERO;
        let call = self.call(Method::POST, path, &headers, String::new(), no_wait);
        Ok(call.await?.status == StatusCode::OK)
    }

    async fn revoke_lease(&self, lease: Lease) -> PlatformResult<()> {
        let path = format!("/lease/{}", lease.number);
        let headers = [(ERA_HEADER, lease.era.0)];
        let no_wait = Duration::ZERO;
        self.call(Method::DELETE, path, &headers, String::new(), no_wait)
            .await?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> PlatformResult<Option<Value>> {
        let path = format!(
            "/watch/{key}?after={}&wait={}",
            after.number,
            wait.as_millis()
        );
        let headers: Vec<_> = era_header(after).into_iter().collect();
        let call = self.call(Method::GET, path, &headers, String::new(), wait);
        Ok(call.await?.into_value())
    }
}
