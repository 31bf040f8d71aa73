//! Request bodies from callers: small ones are buffered so that the request can be retried, larger
//! ones are streamed once.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::chained_body::ChainedBody;
use super::lock;
use crate::protocol::dialect::header_number;
use crate::transport::http::full_body;

/// Memory for buffered request bodies, over all requests of a node, in bytes.
const BUFFER_TOTAL_BYTES: usize = 64 << 20;
/// Number of bytes of a streamed body by which it is told from others.
const PREFIX_BYTES: usize = 4 << 10;
/// Amount of buffer memory that one semaphore permit represents, in bytes.
const BUFFER_UNIT_BYTES: u64 = 1024;

/// Buffers small request bodies, within a memory limit over all requests.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    /// Largest body that is buffered, in bytes.
    max_bytes: u64,
    /// Free buffer memory, in units of [`BUFFER_UNIT_BYTES`].
    permits: Arc<Semaphore>,
}

impl BodyBuffer {
    pub(super) fn new(max_bytes: u64) -> BodyBuffer {
        let units = BUFFER_TOTAL_BYTES / BUFFER_UNIT_BYTES as usize;
        BodyBuffer {
            max_bytes,
            permits: Arc::new(Semaphore::new(units)),
        }
    }

    /// Buffers a body if it is small and memory is free, so that the request can be retried;
    /// streams it otherwise.
    ///
    /// # Errors
    /// Returns an error if the caller aborts the upload.
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
        // A body of unknown length may need the largest buffer.
        match self.reserve(length.unwrap_or(self.max_bytes)) {
            Some(permits) => self.buffer(body, permits).await,
            None => stream(length, body).await,
        }
    }

    /// Buffers a body. If it exceeds the limit, streams what was read followed by the rest.
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
                return Ok(RequestBody::streamed(None, bytes.freeze(), body));
            }
        }
        let (bytes, _permit) = (bytes.freeze(), Some(permits));
        Ok(RequestBody::Buffered(BufferedBody { bytes, _permit }))
    }

    /// Reserves memory for a body. Returns `None` if the body is too large or no memory is free.
    fn reserve(&self, length: u64) -> Option<OwnedSemaphorePermit> {
        if length > self.max_bytes {
            return None;
        }
        let units = length.div_ceil(BUFFER_UNIT_BYTES) as u32;
        self.permits.clone().try_acquire_many_owned(units).ok()
    }
}

/// The body of a request, opened once for each attempt.
pub(super) enum RequestBody {
    /// Buffered in memory; can be sent any number of times.
    Buffered(BufferedBody),
    /// Streamed from the caller; consumed once an attempt has read from it.
    Streamed(Arc<Upload>),
}

/// A buffered body, with its share of the memory for buffered bodies.
pub(super) struct BufferedBody {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A caller's streamed body.
pub(super) struct Upload {
    /// Value of the `Content-Length` header, if it is known.
    length: Option<u64>,
    /// The first [`PREFIX_BYTES`], or all bytes of a shorter body.
    prefix: Bytes,
    /// `None` once an attempt has started to read the body.
    body: Mutex<Option<Body>>,
    /// Whether reading from the caller failed: the upload was aborted or malformed.
    failed: AtomicBool,
}

impl RequestBody {
    /// A body that is streamed: the bytes that have been read, and the rest.
    fn streamed(length: Option<u64>, read: Bytes, rest: Body) -> RequestBody {
        let prefix = read.slice(..read.len().min(PREFIX_BYTES));
        let frames = match read.is_empty() {
            true => VecDeque::new(),
            false => VecDeque::from([Frame::data(read)]),
        };
        let rest = Some(rest);
        RequestBody::Streamed(Arc::new(Upload {
            length,
            prefix,
            body: Mutex::new(Some(Body::new(ChainedBody { frames, rest }))),
            failed: AtomicBool::new(false),
        }))
    }

    /// Returns the length in bytes, or zero if it is not known.
    pub(super) fn length(&self) -> u64 {
        match self {
            RequestBody::Buffered(buffered) => buffered.bytes.len() as u64,
            RequestBody::Streamed(upload) => upload.length.unwrap_or(0),
        }
    }

    /// Returns the part of the body that tells it from others: all of a buffered one, and the
    /// beginning of a streamed one.
    pub(super) fn prefix(&self) -> &[u8] {
        match self {
            RequestBody::Buffered(buffered) => &buffered.bytes,
            RequestBody::Streamed(upload) => &upload.prefix,
        }
    }

    /// Returns the body for one attempt. If an earlier attempt has read from a streamed body,
    /// reading it again fails.
    pub(super) fn open(&self) -> Body {
        match self {
            RequestBody::Buffered(buffered) if buffered.bytes.is_empty() => Body::default(),
            RequestBody::Buffered(buffered) => full_body(buffered.bytes.clone()),
            RequestBody::Streamed(upload) => Body::new(UploadReader {
                upload: upload.clone(),
                body: None,
            }),
        }
    }

    /// Returns whether another attempt can send the complete body.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            RequestBody::Buffered(..) => true,
            RequestBody::Streamed(upload) => lock(&upload.body).is_some(),
        }
    }

    /// Returns whether reading from the caller failed while the body was streamed.
    pub(super) fn has_failed(&self) -> bool {
        match self {
            RequestBody::Buffered(..) => false,
            RequestBody::Streamed(upload) => upload.failed.load(Ordering::Acquire),
        }
    }
}

/// Reads the beginning of a body that is streamed.
///
/// # Errors
/// Returns an error if the caller aborts the upload.
async fn stream(length: Option<u64>, mut body: Body) -> io::Result<RequestBody> {
    let mut read = BytesMut::new();
    while read.len() < PREFIX_BYTES
        && let Some(frame) = body.frame().await
    {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok(RequestBody::streamed(length, read.freeze(), body))
}

/// Reads a streamed body. It takes the body from the upload at the first read, so that an attempt
/// that ends before it reads leaves the body for the next attempt.
struct UploadReader {
    upload: Arc<Upload>,
    body: Option<Body>,
}

impl HttpBody for UploadReader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.body.is_none() {
            let body = lock(&self.upload.body).take();
            self.body = body;
        }
        match &mut self.body {
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
        match &self.body {
            Some(body) => body.size_hint(),
            None => lock(&self.upload.body)
                .as_ref()
                .map_or_else(SizeHint::default, HttpBody::size_hint),
        }
    }
}
