//! HTTP/1.1 pipelining: reads ahead on a caller's connection, so that pipelined requests can run
//! concurrently.
//!
//! The HTTP library handles the requests of a connection one after the other, and it detects that
//! a caller has disconnected only while no further bytes are buffered. [`LookaheadStream`] is
//! placed between the socket and the library. It passes one request at a time to the library and
//! meanwhile continues to read from the socket. A request that waits behind another one and has no
//! body is started immediately if the endpoint allows it, which it does only for requests that are
//! safe to run more than once. When the library reaches that request, the service takes the
//! response of the early run instead of running the request again. Only the library decides what a
//! valid request is: anything that this module does not recognize is passed through unchanged.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use gotham::helpers::http::Body;
use http::header::HeaderValue;
use http::{HeaderMap, Request, Response};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::request_head::{BodyLength, body_length, parse_head};
use crate::protocol::headers::WAITED_HEADER;

/// Maximum number of bytes read ahead while a request is in progress.
const BUFFERED_MAX_BYTES: usize = 16 << 10;
/// Maximum number of request heads that wait in the buffer of one connection. It also limits the
/// number of requests that are started early.
const QUEUED_HEADS_MAX: usize = 32;
/// Shortest time that a request has waited behind others for which its service is told.
const WAITED_MIN: Duration = Duration::from_millis(5);
/// Size of the buffer for one read from the socket.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// A request that was started before the HTTP library asked for its response. Dropping it cancels
/// the request.
#[derive(Debug)]
pub struct EarlyRequest(JoinHandle<Response<Body>>);

impl EarlyRequest {
    /// Wraps the task that handles the request.
    pub fn new(task: JoinHandle<Response<Body>>) -> EarlyRequest {
        EarlyRequest(task)
    }

    /// Waits for the response; `None` if the task of the request failed.
    pub async fn response(mut self) -> Option<Response<Body>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// State shared by the reader of a connection and the service that handles its requests.
#[derive(Debug, Default)]
pub struct PipelineState {
    /// Whether the request passed to the HTTP library is still in progress.
    busy: AtomicBool,
    /// The request passed to the HTTP library, if it was started early and its response has not
    /// been fetched yet.
    current: Mutex<Option<EarlyRequest>>,
    /// When that request had arrived. `None` once its service was told, since requests that are passed
    /// through set no time of their own.
    arrived_at: Mutex<Option<Instant>>,
    /// Number of requests behind the current one that were started early.
    started_behind: AtomicUsize,
    /// Whether no further request starts early, because the connection is about to be closed.
    closing: AtomicBool,
}

impl PipelineState {
    /// Removes and returns the current request, if it was started early.
    pub fn take_early_request(&self) -> Option<EarlyRequest> {
        self.lock_current().take()
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }

    /// Whether requests behind the current one were started early, whose responses are still to come.
    pub fn has_started_behind(&self) -> bool {
        self.started_behind.load(Ordering::Acquire) > 0
    }

    /// Starts no further request early. The connection may be closed once those that were started have
    /// been answered.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Records that the response to the current request is ready, so that the next request may be
    /// passed to the HTTP library.
    pub fn finish(&self) {
        self.busy.store(false, Ordering::Release);
    }

    /// Tells the service of the current request how long that has waited behind others.
    pub fn set_waited(&self, headers: &mut HeaderMap) {
        let arrived_at = self.lock_arrived().take();
        set_waited(headers, arrived_at);
    }

    fn begin(&self, early: Option<EarlyRequest>, arrived_at: Instant) {
        if early.is_some() {
            self.started_behind.fetch_sub(1, Ordering::AcqRel);
        }
        *self.lock_current() = early;
        *self.lock_arrived() = Some(arrived_at);
        self.busy.store(true, Ordering::Release);
    }

    fn lock_arrived(&self) -> MutexGuard<'_, Option<Instant>> {
        self.arrived_at.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn lock_current(&self) -> MutexGuard<'_, Option<EarlyRequest>> {
        self.current.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Sets [`WAITED_HEADER`], which a caller must not set, to the time since a request arrived.
fn set_waited(headers: &mut HeaderMap, arrived_at: Option<Instant>) {
    let waited = arrived_at.map_or(Duration::ZERO, |at| at.elapsed());
    match waited >= WAITED_MIN {
        true => drop(headers.insert(WAITED_HEADER, HeaderValue::from(waited.as_millis() as u64))),
        false => drop(headers.remove(WAITED_HEADER)),
    }
}

/// Marks the current request as finished when dropped.
#[derive(Debug)]
pub struct ResponseGuard(pub Arc<PipelineState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.finish();
    }
}

/// A complete request head in the buffer.
#[derive(Debug)]
struct Head {
    /// Length in bytes.
    length: usize,
    body: BodyLength,
    early: Option<EarlyRequest>,
    /// When its last byte was read from the socket.
    arrived_at: Instant,
}

/// A read from the inner stream.
#[derive(Debug)]
struct Arrival {
    /// Number of bytes of the connection up to its end.
    end: u64,
    at: Instant,
}

#[derive(Debug, PartialEq)]
enum Mode {
    /// Request heads are recognized and passed on one at a time.
    Heads,
    /// The given number of bytes, up to the end of a body, is passed through unchanged.
    Body(u64),
    /// All further bytes of the connection are passed through unchanged.
    PassThrough,
}

/// A stream that passes on one request at a time and starts the requests behind it early.
#[derive(Debug)]
pub struct LookaheadStream<S, F> {
    inner: S,
    start_early: F,
    state: Arc<PipelineState>,
    buffer: BytesMut,
    /// The request heads at the front of `buffer`, in order.
    heads: VecDeque<Head>,
    /// Number of bytes of `buffer` that belong to `heads`.
    scanned_bytes: usize,
    /// Number of bytes of the current head that have not been passed on yet.
    head_remaining: usize,
    /// Number of bytes of the connection that have left the buffer.
    passed_bytes: u64,
    /// The reads whose bytes are still in the buffer.
    arrivals: VecDeque<Arrival>,
    mode: Mode,
}

impl<S, F> LookaheadStream<S, F>
where
    S: AsyncRead + Unpin,
    F: FnMut(Request<Body>) -> Option<EarlyRequest> + Unpin,
{
    /// Wraps a stream. `start_early` starts a request, or returns `None` if the request must not
    /// start early.
    pub fn new(inner: S, state: Arc<PipelineState>, start_early: F) -> LookaheadStream<S, F> {
        LookaheadStream {
            inner,
            start_early,
            state,
            buffer: BytesMut::new(),
            heads: VecDeque::new(),
            scanned_bytes: 0,
            head_remaining: 0,
            passed_bytes: 0,
            arrivals: VecDeque::new(),
            mode: Mode::Heads,
        }
    }

    /// Reads once from the inner stream into the buffer. Returns the number of bytes read.
    fn fill_buffer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
        self.buffer.extend_from_slice(buf.filled());
        self.arrivals.push_back(Arrival {
            end: self.passed_bytes + self.buffer.len() as u64,
            at: Instant::now(),
        });
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Parses further complete heads in the buffer and starts their requests early where allowed.
    fn scan_heads(&mut self) {
        loop {
            let has_body = |h: &Head| h.body != BodyLength::Empty;
            if self.heads.back().is_some_and(has_body) || self.heads.len() >= QUEUED_HEADS_MAX {
                return;
            }
            let unscanned = &self.buffer[self.scanned_bytes..];
            let Some((length, request)) = parse_head(unscanned) else {
                return;
            };
            let body = request.as_ref().map_or(BodyLength::Unknown, body_length);
            let must_wait = self.state.is_busy() || !self.heads.is_empty();
            let arrived_at = self.arrival(self.scanned_bytes + length);
            let early = match request {
                Some(request) if must_wait && body == BodyLength::Empty => {
                    self.try_start_early(request, arrived_at)
                }
                _ => None,
            };
            self.scanned_bytes += length;
            self.heads.push_back(Head {
                length,
                body,
                early,
                arrived_at,
            });
        }
    }

    /// Starts a request that waits behind another one, unless it must not start early.
    fn try_start_early(
        &mut self,
        mut request: Request<Body>,
        arrived_at: Instant,
    ) -> Option<EarlyRequest> {
        if self.state.closing.load(Ordering::Acquire) {
            return None;
        }
        set_waited(request.headers_mut(), Some(arrived_at));
        let early = (self.start_early)(request)?;
        self.state.started_behind.fetch_add(1, Ordering::AcqRel);
        Some(early)
    }

    /// When the first `length` bytes of the buffer had arrived.
    fn arrival(&self, length: usize) -> Instant {
        let end = self.passed_bytes + length as u64;
        let read = self.arrivals.iter().find(|a| a.end >= end);
        read.map_or_else(Instant::now, |a| a.at)
    }

    /// Moves at most `max` bytes from the buffer to `buf`. Returns the number of bytes moved.
    fn copy_buffered(&mut self, buf: &mut ReadBuf<'_>, max: usize) -> usize {
        let count = max.min(buf.remaining()).min(self.buffer.len());
        buf.put_slice(&self.buffer[..count]);
        self.buffer.advance(count);
        self.passed_bytes += count as u64;
        while self
            .arrivals
            .front()
            .is_some_and(|a| a.end <= self.passed_bytes)
        {
            self.arrivals.pop_front();
        }
        count
    }

    fn enter_pass_through(&mut self) {
        self.mode = Mode::PassThrough;
        self.heads.clear();
        self.state.started_behind.store(0, Ordering::Release);
        self.scanned_bytes = 0;
        self.head_remaining = 0;
    }

    /// Passes on the next request head once no request is in progress. Until then, reads ahead from
    /// the inner stream.
    fn read_heads(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            if self.head_remaining > 0 {
                self.head_remaining -= self.copy_buffered(buf, self.head_remaining);
                return Poll::Ready(Ok(()));
            }
            // Heads that found no place in the queue wait in the buffer, and the caller may send
            // nothing more.
            self.scan_heads();
            let busy = self.state.is_busy();
            if busy && self.buffer.len() >= BUFFERED_MAX_BYTES {
                return Poll::Pending;
            }
            if !busy && let Some(head) = self.heads.pop_front() {
                self.scanned_bytes -= head.length;
                self.head_remaining = head.length;
                self.state.begin(head.early, head.arrived_at);
                match head.body {
                    BodyLength::Empty => {}
                    // The body follows its head directly, so both are passed through together.
                    BodyLength::Known(length) => {
                        self.mode = Mode::Body(head.length as u64 + length)
                    }
                    BodyLength::Unknown => self.enter_pass_through(),
                }
                return self.poll_mode(cx, buf);
            }
            if !busy && self.buffer.len() >= BUFFERED_MAX_BYTES {
                self.enter_pass_through();
                return self.poll_mode(cx, buf);
            }
            match ready!(self.fill_buffer(cx))? {
                // The stream ended, and what is left in the buffer is not a complete request. The
                // library decides how to handle it.
                0 if !busy => {
                    self.enter_pass_through();
                    return self.poll_mode(cx, buf);
                }
                0 => return Poll::Ready(Ok(())),
                _ => {}
            }
        }
    }

    /// Reads in the current mode.
    fn poll_mode(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.mode {
            Mode::Heads => self.read_heads(cx, buf),
            Mode::PassThrough if self.buffer.is_empty() => {
                Pin::new(&mut self.inner).poll_read(cx, buf)
            }
            Mode::PassThrough => {
                self.copy_buffered(buf, usize::MAX);
                Poll::Ready(Ok(()))
            }
            Mode::Body(remaining) => {
                if self.buffer.is_empty() && ready!(self.fill_buffer(cx))? == 0 {
                    return Poll::Ready(Ok(()));
                }
                let max = usize::try_from(remaining).unwrap_or(usize::MAX);
                let remaining = remaining - self.copy_buffered(buf, max) as u64;
                self.head_remaining = 0;
                self.mode = match remaining {
                    0 => Mode::Heads,
                    remaining => Mode::Body(remaining),
                };
                if remaining == 0 {
                    self.scan_heads();
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl<S, F> AsyncRead for LookaheadStream<S, F>
where
    S: AsyncRead + Unpin,
    F: FnMut(Request<Body>) -> Option<EarlyRequest> + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_mode(cx, buf)
    }
}

impl<S, F> AsyncWrite for LookaheadStream<S, F>
where
    S: AsyncWrite + Unpin,
    F: Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
