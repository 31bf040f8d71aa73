//! [`Platform`] over HTTP, as `docs/PLATFORM.md` lays it out.

use std::net::SocketAddr;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use super::client::{HttpClient, SendError};
use super::http::{full_body, read_body};
use super::platform::{Platform, PlatformError, PlatformResult, Value};
use crate::protocol::dialect::NativeDialect;

/// Header with the revision of the value read or written.
pub const REVISION_HEADER: &str = "kv-revision";
/// Header with the expected revision of a write.
pub const EXPECT_HEADER: &str = "kv-expect";
/// Header with the lease that a written key hangs on.
pub const LEASE_HEADER: &str = "kv-lease";
/// Time within which a call is answered, a watch's waiting time aside.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes: a list of many values.
const ANSWER_MAX: usize = 64 << 20;

/// The platform's client.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: HttpClient,
}

#[derive(Deserialize)]
struct Listed {
    key: String,
    value: String,
    revision: u64,
}

impl HttpPlatform {
    /// A client of the service at an address.
    pub fn new(address: SocketAddr) -> HttpPlatform {
        HttpPlatform {
            address,
            client: HttpClient::default(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        headers: &[(&'static str, u64)],
        body: String,
        wait: Duration,
    ) -> PlatformResult<(StatusCode, u64, String)> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, value.to_string());
        }
        let request = request
            .body(full_body(body))
            .map_err(|e| PlatformError::Refused(e.to_string()))?;
        let answer = async {
            let response = self
                .client
                .send(self.address, request)
                .await
                .map_err(fault)?;
            read(response).await
        };
        tokio::time::timeout(CALL_TIMEOUT + wait, answer)
            .await
            .unwrap_or(Err(PlatformError::NoAnswer))
    }
}

fn fault(e: SendError) -> PlatformError {
    match e {
        SendError::NotSent => PlatformError::Refused("no connection".to_string()),
        SendError::Broken => PlatformError::NoAnswer,
    }
}

async fn read(response: Response<Body>) -> PlatformResult<(StatusCode, u64, String)> {
    let status = response.status();
    let revision = response.headers().get(REVISION_HEADER);
    let revision = revision.and_then(|v| v.to_str().ok()?.parse().ok());
    let bytes = read_body(response.into_body(), ANSWER_MAX).await;
    let bytes = bytes.map_err(|_| PlatformError::NoAnswer)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match status {
        StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => {}
        StatusCode::NO_CONTENT => {}
        // Only these say that the call had no effect.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::PAYLOAD_TOO_LARGE => {
            return Err(PlatformError::Refused(text));
        }
        _ => return Err(PlatformError::NoAnswer),
    }
    Ok((status, revision.unwrap_or(0), text))
}

fn kv_path(key: &str) -> String {
    format!("/kv/{key}")
}

impl Platform for HttpPlatform {
    type Dialect = NativeDialect;

    fn dialect(&self) -> &NativeDialect {
        &NativeDialect
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Value>> {
        let none = Duration::ZERO;
        let call = self.call(Method::GET, kv_path(key), &[], String::new(), none);
        let (status, revision, text) = call.await?;
        Ok((status == StatusCode::OK).then_some(Value { text, revision }))
    }

    async fn swap(
        &self,
        key: &str,
        value: &str,
        expected: u64,
        lease: Option<u64>,
    ) -> PlatformResult<Option<u64>> {
        let mut headers = vec![(EXPECT_HEADER, expected)];
        headers.extend(lease.map(|l| (LEASE_HEADER, l)));
        let none = Duration::ZERO;
        let call = self.call(Method::PUT, kv_path(key), &headers, value.to_string(), none);
        let (status, revision, _) = call.await?;
        Ok((status == StatusCode::OK).then_some(revision))
    }

    async fn delete(&self, key: &str, expected: u64) -> PlatformResult<bool> {
        let headers = [(EXPECT_HEADER, expected)];
        let none = Duration::ZERO;
        let call = self.call(Method::DELETE, kv_path(key), &headers, String::new(), none);
        Ok(call.await?.0 == StatusCode::OK)
    }

    async fn list(&self, prefix: &str) -> PlatformResult<Vec<(String, Value)>> {
        let path = format!("/list/{prefix}");
        let none = Duration::ZERO;
        let (_, _, text) = self
            .call(Method::GET, path, &[], String::new(), none)
            .await?;
        let listed: Vec<Listed> =
            serde_json::from_str(&text).map_err(|_| PlatformError::NoAnswer)?;
        let value = |l: Listed| {
            let value = Value {
                text: l.value,
                revision: l.revision,
            };
            (l.key, value)
        };
        Ok(listed.into_iter().map(value).collect())
    }

    async fn grant(&self, ttl: Duration) -> PlatformResult<u64> {
        let path = format!("/lease?ttl={}", ttl.as_millis());
        let none = Duration::ZERO;
        let (_, _, text) = self
            .call(Method::POST, path, &[], String::new(), none)
            .await?;
        text.trim().parse().map_err(|_| PlatformError::NoAnswer)
    }

    async fn renew(&self, lease: u64) -> PlatformResult<bool> {
        let path = format!("/lease/{lease}");
        let none = Duration::ZERO;
        let (status, _, _) = self
            .call(Method::POST, path, &[], String::new(), none)
            .await?;
        Ok(status == StatusCode::OK)
    }

    async fn revoke(&self, lease: u64) -> PlatformResult<()> {
        let path = format!("/lease/{lease}");
        let none = Duration::ZERO;
        self.call(Method::DELETE, path, &[], String::new(), none)
            .await?;
        Ok(())
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> PlatformResult<Option<Value>> {
        let path = format!("/watch/{key}?after={after}&wait={}", wait.as_millis());
        let call = self.call(Method::GET, path, &[], String::new(), wait);
        let (status, revision, text) = call.await?;
        Ok((status == StatusCode::OK).then_some(Value { text, revision }))
    }
}
