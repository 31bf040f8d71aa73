//! Callers' request bodies: kept whole while they are small, streamed once otherwise.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::HeaderMap;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::lock;
use crate::transport::http::{full_body, header_number, read_body};

/// Memory of a node for bodies that are kept whole, in bytes.
const KEPT_BYTES: usize = 64 << 20;
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
        match length.and_then(|n| self.reserve(n)) {
            Some(room) => {
                let bytes = read_body(body, self.largest as usize).await?;
                let _room = Some(room);
                Ok(SharedBody::Whole(Kept { bytes, _room }))
            }
            None => {
                let body = Mutex::new(Some(body));
                let failed = AtomicBool::new(false);
                Ok(SharedBody::Once(Arc::new(Upload { body, failed })))
            }
        }
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
    body: Mutex<Option<Body>>,
    /// Whether the caller broke off, or sent what is not a body.
    failed: AtomicBool,
}

impl SharedBody {
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
