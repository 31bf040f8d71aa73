//! Resets connections whose response was cut short.
//!
//! A response to a caller of HTTP/1.0 has no length and no chunks: it ends with its connection. If its
//! body fails, an orderly end of the connection would make the part that was sent a complete response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the responses on a connection end with the connection.
#[derive(Clone, Debug, Default)]
pub struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Records how the response to the current request ends.
    pub fn set(&self, ends: bool) {
        self.0.store(ends, Ordering::Relaxed);
    }
}

/// A connection that is reset if it is dropped before it was shut down, while its response ends with
/// the connection.
#[derive(Debug)]
pub struct ResetGuard {
    inner: TcpStream,
    ends: EndsWithConnection,
    /// Whether the response was sent in full and the connection is being closed.
    shut_down: bool,
}

impl ResetGuard {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, ends: EndsWithConnection) -> ResetGuard {
        ResetGuard {
            inner,
            ends,
            shut_down: false,
        }
    }
}

impl Drop for ResetGuard {
    fn drop(&mut self) {
        if self.ends.0.load(Ordering::Relaxed) && !self.shut_down {
            // Fails only if the connection has already ended.
            let _ = self.inner.set_zero_linger();
        }
    }
}

impl AsyncRead for ResetGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResetGuard {
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
        self.shut_down = true;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
