//! Graceful shutdown of HTTP connections.
//!
//! The HTTP library closes a connection without a request in progress at once when it is told to
//! shut down, also if the caller has sent a request that has not been read yet. Such connections
//! therefore stay open for [`IDLE_CLOSE_DELAY`] after the shutdown has begun; a request that arrives
//! meanwhile is answered, with `connection: close`. Pipelined requests that were started early are all
//! answered before; those behind them have not been started.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use tokio::sync::watch;
use tokio::time::Sleep;

use super::pipeline::PipelineState;

/// Time for which a connection without a request in progress stays open after the shutdown has
/// begun.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(100);

/// Starts the shutdown of all connections of a listener, and waits for their end.
#[derive(Debug)]
pub struct Shutdown(watch::Sender<bool>);

/// Tells one connection when the shutdown begins. The connection has ended once this is dropped.
#[derive(Debug)]
pub struct ShutdownWatch(watch::Receiver<bool>);

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown(watch::Sender::new(false))
    }
}

impl Shutdown {
    /// Registers a connection.
    pub fn watch(&self) -> ShutdownWatch {
        ShutdownWatch(self.0.subscribe())
    }

    /// Begins the shutdown, and waits until all registered connections have ended.
    pub async fn finish(&self) {
        self.0.send_replace(true);
        self.0.closed().await;
    }

    /// Number of registered connections that have not ended.
    pub fn open_connections(&self) -> usize {
        self.0.receiver_count()
    }
}

/// Serves a connection until it ends, also after the shutdown has begun. `pipeline` is the state of
/// its reader.
///
/// # Errors
/// The error of the connection, which its caller has caused: it disconnected, or what it sent is not
/// HTTP.
pub async fn serve_until_shutdown<I, S>(
    connection: http1::Connection<I, S>,
    pipeline: Arc<PipelineState>,
    mut shutdown: ShutdownWatch,
) -> hyper::Result<()>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::ResBody: Body + 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return ended,
        // An error means that the listener has ended, which is a shutdown as well.
        _ = shutdown.0.wait_for(|begun| *begun) => {}
    }
    pipeline.close();
    let mut delay: Pin<&mut Sleep> = pin!(tokio::time::sleep(IDLE_CLOSE_DELAY));
    let ended = poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(Some(ended)),
        Poll::Pending if pipeline.has_started_behind() => Poll::Pending,
        Poll::Pending if pipeline.is_busy() => Poll::Ready(None),
        Poll::Pending => delay.as_mut().poll(cx).map(|()| None),
    });
    if let Some(ended) = ended.await {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
