//! Connections of the HTTP client that can be cut off while their task reads, and that tell whether
//! anything was written to them.
//!
//! The HTTP library reads in a loop until it has the head of a response, and skips interim responses
//! (1xx) without a limit. Dropping the request ends the connection only after that loop has yielded,
//! which takes as many reads as the runtime allows in a turn. A cut takes effect at the next read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures_util::TryFutureExt;
use futures_util::future::MapOk;
use http::Extensions;
use hyper::Uri;
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector,
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// State of one connection that its stream shares with the client.
#[derive(Clone, Debug, Default)]
struct CutHandle(Arc<CutState>);

#[derive(Debug, Default)]
struct CutState {
    /// Whether nothing more is read.
    cut: AtomicBool,
    /// Whether a byte was written.
    written: AtomicBool,
}

/// Cuts off a captured connection: nothing more is read from it.
pub(super) fn cut_off(connection: &CaptureConnection) {
    if let Some(CutHandle(state)) = handle_of(connection) {
        state.cut.store(true, Ordering::Relaxed);
    }
}

/// Whether a request was certainly not written: no connection was captured for it, which happens before
/// the request is handed over, or no byte was ever written to that connection.
pub(super) fn is_unwritten(connection: &CaptureConnection) -> bool {
    handle_of(connection).is_none_or(|CutHandle(state)| !state.written.load(Ordering::Acquire))
}

fn handle_of(connection: &CaptureConnection) -> Option<CutHandle> {
    let mut extras = Extensions::new();
    connection
        .connection_metadata()
        .as_ref()?
        .get_extras(&mut extras);
    extras.remove()
}

/// Opens connections that can be cut off.
#[derive(Clone, Debug)]
pub(super) struct CutConnector(pub HttpConnector);

impl Service<Uri> for CutConnector {
    type Response = TokioIo<CutStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<
        <HttpConnector as Service<Uri>>::Future,
        fn(TokioIo<TcpStream>) -> TokioIo<CutStream>,
    >;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.0.call(uri).map_ok(CutStream::wrap)
    }
}

/// A connection that fails to read once it is cut off.
#[derive(Debug)]
pub(super) struct CutStream {
    inner: TcpStream,
    handle: CutHandle,
}

impl CutStream {
    fn wrap(stream: TokioIo<TcpStream>) -> TokioIo<CutStream> {
        TokioIo::new(CutStream {
            inner: stream.into_inner(),
            handle: CutHandle::default(),
        })
    }
}

impl Connection for CutStream {
    fn connected(&self) -> Connected {
        self.inner.connected().extra(self.handle.clone())
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.handle.0.cut.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.handle.0.written.store(true, Ordering::Release);
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.handle.0.written.store(true, Ordering::Release);
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
