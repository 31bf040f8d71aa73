//! Fingerprints of requests, by which a request that comes again is recognized.

use hyper::HeaderMap;
use hyper::header::{HOST, HeaderValue};

use super::attempt::Call;
use crate::protocol::headers::FINGERPRINTS_HEADER;
use crate::state::digest::DigestBuilder;
use crate::state::id::{Fingerprint, Fingerprints};

/// Computes the fingerprints of a request, for any caller and for this one, from its method, host,
/// path, query and body. `caller` is empty if it is not known.
pub(super) fn fingerprints(call: &Call, caller: &str) -> Fingerprints {
    let host = call.headers.get(HOST).map(HeaderValue::as_bytes);
    let host = String::from_utf8_lossy(host.unwrap_or_default()).to_ascii_lowercase();
    let path = call.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut builder = DigestBuilder::default();
    builder.text(call.method.as_str()).text(&host).text(path);
    builder.number(call.body.length()).bytes(call.body.prefix());
    let mut fingerprints = Fingerprints::new();
    fingerprints.push(shorten(&builder));
    if !caller.is_empty() {
        fingerprints.push(shorten(builder.text(caller)));
    }
    fingerprints
}

fn shorten(builder: &DigestBuilder) -> Fingerprint {
    let bytes = builder.finish().0[..8].try_into();
    Fingerprint(u64::from_le_bytes(
        bytes.expect("the slice has eight bytes"),
    ))
}

/// Sets the header that tells a gate the fingerprints of a request.
pub(super) fn write_fingerprints(fingerprints: &[Fingerprint], headers: &mut HeaderMap) {
    if let Ok(value) = HeaderValue::from_str(&fingerprint_text(fingerprints)) {
        headers.insert(FINGERPRINTS_HEADER, value);
    }
}

/// Reads and removes the header with the fingerprints of a request. Without it, for example from a
/// node of an earlier version, the request has none.
pub(super) fn take_fingerprints(headers: &mut HeaderMap) -> Fingerprints {
    let value = headers.remove(FINGERPRINTS_HEADER);
    let text = value.as_ref().and_then(|v| v.to_str().ok());
    let parts = text.unwrap_or_default().split(',');
    let parse = |part: &str| u64::from_str_radix(part, 16).ok().map(Fingerprint);
    parts.filter_map(parse).take(2).collect()
}

/// Formats fingerprints for a header or a log line.
pub(super) fn fingerprint_text(fingerprints: &[Fingerprint]) -> String {
    let texts: Vec<String> = fingerprints.iter().map(Fingerprint::to_string).collect();
    texts.join(",")
}
