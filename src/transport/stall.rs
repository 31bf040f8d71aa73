//! Closes connections whose peer stops reading.
//!
//! The HTTP server polls a response body only while it can write. While the receive window of the
//! peer is closed, a deadline in the body therefore cannot expire and the body is not dropped. For
//! this reason, the timeout is enforced at the socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// How long a write may make no progress before the connection is closed.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A stream that fails with a timeout if a write makes no progress for [`STALL_TIMEOUT`].
#[derive(Debug)]
pub struct StallGuard<S> {
    inner: S,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Wraps a stream.
    pub fn new(inner: S) -> StallGuard<S> {
        StallGuard { inner, timer: None }
    }

    /// Turns a pending result into a timeout error once the stall timeout has expired.
    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let new_timer = || Box::pin(tokio::time::sleep(STALL_TIMEOUT));
        let timer = self.timer.get_or_insert_with(new_timer);
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.apply_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.apply_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_flush(cx);
        self.apply_timeout(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
