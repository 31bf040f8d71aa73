//! Callers' request bodies: kept whole while they are small, streamed once otherwise.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::lock;
use crate::protocol::dialect::header_number;
use crate::transport::http::{full_body, read_body};

/// Memory of a node for bodies that are kept whole, in bytes.
const BUFFER_BYTES_TOTAL: usize = 64 << 20;
/// Largest answer that is kept whole before it is passed on, in bytes.
pub(super) const RESPONSE_BUFFER_MAX: u64 = 64 << 10;
/// Unit in which that memory is counted, in bytes.
const BUFFER_UNIT_BYTES: u64 = 1024;

/// Keeps small bodies whole, within a bound over all requests.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    /// Largest body that is kept, in bytes.
    max_bytes: u64,
    permits: Arc<Semaphore>,
}

impl BodyBuffer {
    pub(super) fn new(max_bytes: u64) -> BodyBuffer {
        let units = BUFFER_BYTES_TOTAL / BUFFER_UNIT_BYTES as usize;
        BodyBuffer {
            max_bytes,
            permits: Arc::new(Semaphore::new(units)),
        }
    }

    /// Keeps a small body whole, so that the request can be sent again; streams the others.
    ///
    /// # Errors
    /// The caller broke off.
    pub(super) async fn buffer_or_stream(
        &self,
        headers: &HeaderMap,
        body: Body,
    ) -> io::Result<RequestBody> {
        if body.is_end_stream() {
            return Ok(RequestBody::Buffered(BufferedBody {
                bytes: Bytes::new(),
                _permit: None,
            }));
        }
        let length = header_number(headers, CONTENT_LENGTH.as_str());
        // Without a length the body may turn out to be as long as any.
        match self.reserve(length.unwrap_or(self.max_bytes)) {
            Some(permits) => self.buffer(body, permits).await,
            None => Ok(RequestBody::streamed(length, body)),
        }
    }

    /// Reads a body while it fits, and streams the rest of one that does not.
    async fn buffer(
        &self,
        mut body: Body,
        permits: OwnedSemaphorePermit,
    ) -> io::Result<RequestBody> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() as u64 > self.max_bytes {
                let read = full_body(bytes.freeze());
                let rest = Body::new(ChainedBody { read, rest: body });
                return Ok(RequestBody::streamed(None, rest));
            }
        }
        let (bytes, _permit) = (bytes.freeze(), Some(permits));
        Ok(RequestBody::Buffered(BufferedBody { bytes, _permit }))
    }

    fn reserve(&self, length: u64) -> Option<OwnedSemaphorePermit> {
        if length > self.max_bytes {
            return None;
        }
        let units = length.div_ceil(BUFFER_UNIT_BYTES) as u32;
        self.permits.clone().try_acquire_many_owned(units).ok()
    }
}

/// A request's body, opened once for each attempt.
pub(super) enum RequestBody {
    /// Held whole.
    Buffered(BufferedBody),
    /// Streamed from the caller; gone once an attempt has read from it.
    Streamed(Arc<Upload>),
}

/// A body held whole, with its share of the memory for such bodies.
pub(super) struct BufferedBody {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A caller's streamed body.
pub(super) struct Upload {
    length: Option<u64>,
    body: Mutex<Option<Body>>,
    /// Whether the caller broke off, or sent what is not a body.
    failed: AtomicBool,
}

impl RequestBody {
    fn streamed(length: Option<u64>, body: Body) -> RequestBody {
        RequestBody::Streamed(Arc::new(Upload {
            length,
            body: Mutex::new(Some(body)),
            failed: AtomicBool::new(false),
        }))
    }

    /// Length in bytes; zero where it is not known.
    pub(super) fn length(&self) -> u64 {
        match self {
            RequestBody::Buffered(buffered) => buffered.bytes.len() as u64,
            RequestBody::Streamed(upload) => upload.length.unwrap_or(0),
        }
    }

    /// The body for one attempt.
    pub(super) fn open(&self) -> Body {
        match self {
            RequestBody::Buffered(buffered) if buffered.bytes.is_empty() => Body::default(),
            RequestBody::Buffered(buffered) => full_body(buffered.bytes.clone()),
            RequestBody::Streamed(upload) => Body::new(UploadReader {
                upload: upload.clone(),
                taken: None,
            }),
        }
    }

    /// Whether the whole body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            RequestBody::Buffered(..) => true,
            RequestBody::Streamed(upload) => lock(&upload.body).is_some(),
        }
    }

    /// Whether the caller broke off while the body was streamed.
    pub(super) fn has_failed(&self) -> bool {
        match self {
            RequestBody::Buffered(..) => false,
            RequestBody::Streamed(upload) => upload.failed.load(Ordering::Acquire),
        }
    }
}

/// Takes the caller's body at the first read, so that an attempt that never read leaves it whole.
struct UploadReader {
    upload: Arc<Upload>,
    taken: Option<Body>,
}

impl HttpBody for UploadReader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.taken.is_none() {
            let body = lock(&self.upload.body).take();
            self.taken = body;
        }
        match &mut self.taken {
            Some(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                if matches!(polled, Poll::Ready(Some(Err(_)))) {
                    self.upload.failed.store(true, Ordering::Release);
                }
                polled
            }
            None => Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into()))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.taken {
            Some(body) => body.size_hint(),
            None => lock(&self.upload.body)
                .as_ref()
                .map_or_else(SizeHint::default, HttpBody::size_hint),
        }
    }
}

/// What was read of a body, and the rest of it.
struct ChainedBody {
    read: Body,
    rest: Body,
}

impl HttpBody for ChainedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.read.is_end_stream() {
            return Pin::new(&mut self.read).poll_frame(cx);
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }
}

/// Reads a short answer whole, so that one that breaks off is noticed before any of it is passed
/// on. Longer ones, and those of unknown length, are streamed.
///
/// # Errors
/// The answer broke off.
pub(super) async fn buffer_short_response(response: Response<Body>) -> io::Result<Response<Body>> {
    let length = response.body().size_hint().exact();
    if length.is_none_or(|l| l == 0 || l > RESPONSE_BUFFER_MAX) {
        return Ok(response);
    }
    let (parts, body) = response.into_parts();
    let bytes = read_body(body, RESPONSE_BUFFER_MAX as usize).await?;
    Ok(Response::from_parts(parts, full_body(bytes)))
}
