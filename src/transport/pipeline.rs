//! Looks ahead on a caller's connection, so that requests sent one behind the other run together.
//!
//! The HTTP library serves a connection's requests one after the other, and notices that a caller
//! left only while nothing more of it is buffered. [`Lookahead`] stands between the socket and the
//! library: it hands over one request at a time, and meanwhile reads on. A request that waits
//! behind another, has no body and may be repeated is started at once; the library picks its
//! answer up when its turn comes. The library stays the only judge of what a request is: whatever
//! is not plain here is passed through as it came.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use http::{Request, Response};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::JoinHandle;

/// Bytes read ahead while a request is answered.
const AHEAD_MAX: usize = 16 << 10;
/// Requests started ahead of their turn.
const STARTED_MAX: usize = 8;
/// Most headers of a request that is looked at.
const HEADERS_MAX: usize = 64;
/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;

/// A request that runs ahead of its turn; ended when dropped.
#[derive(Debug)]
pub struct EarlyRequest(JoinHandle<Response<Body>>);

impl EarlyRequest {
    /// Wraps a running request.
    pub fn new(running: JoinHandle<Response<Body>>) -> EarlyRequest {
        EarlyRequest(running)
    }

    /// The answer; none if the request's task failed.
    pub async fn answer(mut self) -> Option<Response<Body>> {
        (&mut self.0).await.ok()
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What the reading side and the answering side of a connection share.
#[derive(Debug, Default)]
pub struct PipelineState {
    busy: AtomicBool,
    next: Mutex<Option<EarlyRequest>>,
}

impl PipelineState {
    /// Takes the request whose turn it is, if it was started ahead.
    pub fn take(&self) -> Option<EarlyRequest> {
        self.slot().take()
    }

    /// The answer to the request whose turn it was is known; the next one may follow.
    pub fn end(&self) {
        self.busy.store(false, Ordering::Release);
    }

    fn begin(&self, started: Option<EarlyRequest>) {
        *self.slot() = started;
        self.busy.store(true, Ordering::Release);
    }

    fn slot(&self) -> std::sync::MutexGuard<'_, Option<EarlyRequest>> {
        self.next.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Ends a turn when dropped.
#[derive(Debug)]
pub struct ResponseGuard(pub Arc<PipelineState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// What follows a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Follows {
    Nothing,
    /// A body of so many bytes.
    Body(u64),
    /// Something that only the HTTP library can delimit.
    Unknown,
}

/// A whole head in the bytes read ahead.
#[derive(Debug)]
struct Head {
    length: usize,
    follows: Follows,
    started: Option<EarlyRequest>,
}

#[derive(Debug, PartialEq)]
enum Mode {
    /// Heads are told apart.
    Heads,
    /// The rest of a body is passed through.
    Body(u64),
    /// Everything is passed through.
    Through,
}

/// A stream that hands over one request at a time, and starts those behind it.
#[derive(Debug)]
pub struct LookaheadStream<S, F> {
    inner: S,
    start: F,
    turn: Arc<PipelineState>,
    ahead: BytesMut,
    /// Heads at the front of `ahead`, in order.
    heads: VecDeque<Head>,
    /// Bytes of `ahead` that the heads cover.
    scanned: usize,
    /// Bytes of the present head that are still to be handed over.
    handing: usize,
    mode: Mode,
}

impl<S, F> LookaheadStream<S, F>
where
    S: AsyncRead + Unpin,
    F: FnMut(Request<Body>) -> Option<EarlyRequest> + Unpin,
{
    /// Looks ahead on a stream. `start` starts a request, or declines to.
    pub fn new(inner: S, turn: Arc<PipelineState>, start: F) -> LookaheadStream<S, F> {
        LookaheadStream {
            inner,
            start,
            turn,
            ahead: BytesMut::new(),
            heads: VecDeque::new(),
            scanned: 0,
            handing: 0,
            mode: Mode::Heads,
        }
    }

    /// Reads once into the bytes ahead. Returns how many came.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
        self.ahead.extend_from_slice(buf.filled());
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Finds further whole heads, and starts what may be started.
    fn scan(&mut self) {
        loop {
            let open = |h: &Head| h.follows != Follows::Nothing;
            if self.heads.back().is_some_and(open) || self.heads.len() >= STARTED_MAX {
                return;
            }
            let rest = &self.ahead[self.scanned..];
            let Some((length, request)) = parse(rest) else {
                return;
            };
            let follows = request.as_ref().map_or(Follows::Unknown, what_follows);
            let waits = self.turn.busy.load(Ordering::Acquire) || !self.heads.is_empty();
            let started = match request {
                Some(request) if waits && follows == Follows::Nothing => (self.start)(request),
                _ => None,
            };
            self.scanned += length;
            self.heads.push_back(Head {
                length,
                follows,
                started,
            });
        }
    }

    /// Hands bytes over from those ahead, at most `most`.
    fn hand(&mut self, buf: &mut ReadBuf<'_>, most: usize) -> usize {
        let count = most.min(buf.remaining()).min(self.ahead.len());
        buf.put_slice(&self.ahead[..count]);
        self.ahead.advance(count);
        count
    }

    fn pass_through(&mut self) {
        self.mode = Mode::Through;
        self.heads.clear();
        self.scanned = 0;
        self.handing = 0;
    }

    fn read_heads(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            if self.handing > 0 {
                self.handing -= self.hand(buf, self.handing);
                return Poll::Ready(Ok(()));
            }
            let busy = self.turn.busy.load(Ordering::Acquire);
            if busy && self.ahead.len() >= AHEAD_MAX {
                return Poll::Pending;
            }
            if !busy && let Some(head) = self.heads.pop_front() {
                self.scanned -= head.length;
                self.handing = head.length;
                self.turn.begin(head.started);
                match head.follows {
                    Follows::Nothing => {}
                    // The body follows the head directly, so both are passed on as they come.
                    Follows::Body(length) => self.mode = Mode::Body(head.length as u64 + length),
                    Follows::Unknown => self.pass_through(),
                }
                return self.poll_mode(cx, buf);
            }
            if !busy && self.ahead.len() >= AHEAD_MAX {
                self.pass_through();
                return self.poll_mode(cx, buf);
            }
            match ready!(self.fill(cx))? {
                // What is left is no whole request; the library says what that means.
                0 if !busy => {
                    self.pass_through();
                    return self.poll_mode(cx, buf);
                }
                0 => return Poll::Ready(Ok(())),
                _ => self.scan(),
            }
        }
    }

    fn poll_mode(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.mode {
            Mode::Heads => self.read_heads(cx, buf),
            Mode::Through if self.ahead.is_empty() => Pin::new(&mut self.inner).poll_read(cx, buf),
            Mode::Through => {
                self.hand(buf, usize::MAX);
                Poll::Ready(Ok(()))
            }
            Mode::Body(left) => {
                if self.ahead.is_empty() && ready!(self.fill(cx))? == 0 {
                    return Poll::Ready(Ok(()));
                }
                let most = usize::try_from(left).unwrap_or(usize::MAX);
                let left = left - self.hand(buf, most) as u64;
                self.handing = 0;
                self.mode = match left {
                    0 => Mode::Heads,
                    left => Mode::Body(left),
                };
                if left == 0 {
                    self.scan();
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

/// Parses a whole head: its length, and the request if it is plain.
fn parse(bytes: &[u8]) -> Option<(usize, Option<Request<Body>>)> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => Some((length, request(&parsed))),
        Ok(httparse::Status::Partial) => None,
        // Not HTTP: the library is handed all of it.
        Err(_) => Some((bytes.len(), None)),
    }
}

fn request(parsed: &httparse::Request<'_, '_>) -> Option<Request<Body>> {
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

fn what_follows(request: &Request<Body>) -> Follows {
    let headers = request.headers();
    if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(UPGRADE) {
        return Follows::Unknown;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Follows::Nothing,
        (Some(only), None) => match only.to_str().ok().and_then(|t| t.parse().ok()) {
            Some(0) => Follows::Nothing,
            Some(length) => Follows::Body(length),
            None => Follows::Unknown,
        },
        (Some(_), Some(_)) => Follows::Unknown,
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
