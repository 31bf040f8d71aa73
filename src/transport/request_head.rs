//! Recognizes the head of a request in the bytes of a connection. Only the HTTP library decides what a
//! valid request is; what is not recognized here is left to it.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Request;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};

/// Maximum number of headers in a request that this module parses.
const HEADERS_MAX: usize = 64;

/// Length of the body that follows a request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    Empty,
    /// Length in bytes.
    Known(u64),
    /// This module cannot determine the end of the body; only the HTTP library can.
    Unknown,
}

/// Parses a complete head. Returns its length in bytes, and the request if this module can
/// represent it; `None` if the head is not complete yet.
pub(super) fn parse_head(bytes: &[u8]) -> Option<(usize, Option<Request<Body>>)> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => Some((length, to_request(&parsed))),
        Ok(httparse::Status::Partial) => None,
        // Not HTTP: all bytes are passed to the library.
        Err(_) => Some((bytes.len(), None)),
    }
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<Body>> {
    if parsed.version != Some(1) {
        return None;
    }
    let mut request = Request::new(Body::default());
    *request.method_mut() = parsed.method?.parse().ok()?;
    *request.uri_mut() = parsed.path?.parse().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(Bytes::copy_from_slice(header.value)).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}

pub(super) fn body_length(request: &Request<Body>) -> BodyLength {
    let headers = request.headers();
    if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(UPGRADE) {
        return BodyLength::Unknown;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => BodyLength::Empty,
        (Some(only), None) => match only.to_str().ok().and_then(|t| t.parse().ok()) {
            Some(0) => BodyLength::Empty,
            Some(length) => BodyLength::Known(length),
            None => BodyLength::Unknown,
        },
        (Some(_), Some(_)) => BodyLength::Unknown,
    }
}
