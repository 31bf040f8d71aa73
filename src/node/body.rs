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
const KEPT_BYTES: usize = 64 << 20;
/// Largest answer that is kept whole before it is passed on, in bytes.
pub(super) const ANSWER_KEPT: u64 = 64 << 10;
/// Unit in which that memory is counted, in bytes.
const KEPT_UNIT: u64 = 1024;

/// Keeps small bodies whole, within a bound over all requests.
#[derive(Debug)]
pub(super) struct BodyKeeper {
    /// Largest body that is kept, in bytes.
    largest: u64,
    room: Arc<Semaphore>,
}

impl BodyKeeper {
    pub(super) fn new(largest: u64) -> BodyKeeper {
        let units = KEPT_BYTES / KEPT_UNIT as usize;
        BodyKeeper {
            largest,
            room: Arc::new(Semaphore::new(units)),
        }
    }

    /// Keeps a small body whole, so that the request can be sent again; streams the others.
    ///
    /// # Errors
    /// The caller broke off.
    pub(super) async fn take(&self, headers: &HeaderMap, body: Body) -> io::Result<SharedBody> {
        if body.is_end_stream() {
            return Ok(SharedBody::Whole(Kept {
                bytes: Bytes::new(),
                _room: None,
            }));
        }
        let length = header_number(headers, CONTENT_LENGTH.as_str());
        // Without a length the body may turn out to be as long as any.
        match self.reserve(length.unwrap_or(self.largest)) {
            Some(room) => self.keep(body, room).await,
            None => Ok(SharedBody::once(length, body)),
        }
    }

    /// Reads a body while it fits, and streams the rest of one that does not.
    async fn keep(&self, mut body: Body, room: OwnedSemaphorePermit) -> io::Result<SharedBody> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() as u64 > self.largest {
                let read = full_body(bytes.freeze());
                let rest = Body::new(Chained { read, rest: body });
                return Ok(SharedBody::once(None, rest));
            }
        }
        let (bytes, _room) = (bytes.freeze(), Some(room));
        Ok(SharedBody::Whole(Kept { bytes, _room }))
    }

    fn reserve(&self, length: u64) -> Option<OwnedSemaphorePermit> {
        if length > self.largest {
            return None;
        }
        let units = length.div_ceil(KEPT_UNIT) as u32;
        self.room.clone().try_acquire_many_owned(units).ok()
    }
}

/// A request's body, opened once for each attempt.
pub(super) enum SharedBody {
    /// Held whole.
    Whole(Kept),
    /// Streamed from the caller; gone once an attempt has read from it.
    Once(Arc<Upload>),
}

/// A body held whole, with its share of the memory for such bodies.
pub(super) struct Kept {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// A caller's streamed body.
pub(super) struct Upload {
    length: Option<u64>,
    body: Mutex<Option<Body>>,
    /// Whether the caller broke off, or sent what is not a body.
    failed: AtomicBool,
}

impl SharedBody {
    fn once(length: Option<u64>, body: Body) -> SharedBody {
        SharedBody::Once(Arc::new(Upload {
            length,
            body: Mutex::new(Some(body)),
            failed: AtomicBool::new(false),
        }))
    }

    /// Length in bytes; zero where it is not known.
    pub(super) fn length(&self) -> u64 {
        match self {
            SharedBody::Whole(kept) => kept.bytes.len() as u64,
            SharedBody::Once(upload) => upload.length.unwrap_or(0),
        }
    }

    /// The body for one attempt.
    pub(super) fn open(&self) -> Body {
        match self {
            SharedBody::Whole(kept) if kept.bytes.is_empty() => Body::default(),
            SharedBody::Whole(kept) => full_body(kept.bytes.clone()),
            SharedBody::Once(upload) => Body::new(StreamedBody {
                upload: upload.clone(),
                taken: None,
            }),
        }
    }

    /// Whether the whole body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        match self {
            SharedBody::Whole(..) => true,
            SharedBody::Once(upload) => lock(&upload.body).is_some(),
        }
    }

    /// Whether the caller broke off while the body was streamed.
    pub(super) fn has_failed(&self) -> bool {
        match self {
            SharedBody::Whole(..) => false,
            SharedBody::Once(upload) => upload.failed.load(Ordering::Acquire),
        }
    }
}

/// Takes the caller's body at the first read, so that an attempt that never read leaves it whole.
struct StreamedBody {
    upload: Arc<Upload>,
    taken: Option<Body>,
}

impl HttpBody for StreamedBody {
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
struct Chained {
    read: Body,
    rest: Body,
}

impl HttpBody for Chained {
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
pub(super) async fn whole(response: Response<Body>) -> io::Result<Response<Body>> {
    let length = response.body().size_hint().exact();
    if length.is_none_or(|l| l == 0 || l > ANSWER_KEPT) {
        return Ok(response);
    }
    let (parts, body) = response.into_parts();
    let bytes = read_body(body, ANSWER_KEPT as usize).await?;
    Ok(Response::from_parts(parts, full_body(bytes)))
}
