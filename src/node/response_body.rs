//! Response bodies from targets: short ones are read whole before any of it is passed on, and the others
//! end at their deadline.
//!
//! A caller learns that a body was cut off only by the end of its connection, and with it go the answers
//! that wait behind it. So a body is passed on unfinished only if it is long or slow, and gets some time
//! after the deadline to end.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::{Instant, Sleep};

use super::chained_body::ChainedBody;
use crate::state::id::AttemptId;
use crate::transport::http::{full_body, read_body};

/// Largest response that is buffered before it is forwarded, in bytes.
pub(super) const RESPONSE_BUFFER_MAX_BYTES: u64 = 64 << 10;
/// Time for which a response of unknown length is buffered. Most end together with their head; one that
/// does not may be a stream whose caller waits for its beginning.
const UNSIZED_BUFFER_TIME: Duration = Duration::from_millis(50);
/// Time after the deadline in which a response that is being passed on may still end.
pub(super) const END_GRACE: Duration = Duration::from_millis(200);

/// Buffers a response of known and short length, so that a truncated one is detected before any of it is
/// forwarded. Others are streamed.
///
/// # Errors
/// Returns an error if the response is truncated.
pub(super) async fn buffer_sized_response(response: Response<Body>) -> io::Result<Response<Body>> {
    let length = response.body().size_hint().exact();
    if length.is_none_or(|l| l == 0 || l > RESPONSE_BUFFER_MAX_BYTES) {
        return Ok(response);
    }
    let (parts, body) = response.into_parts();
    let bytes = read_body(body, RESPONSE_BUFFER_MAX_BYTES as usize).await?;
    Ok(Response::from_parts(parts, full_body(bytes)))
}

/// Like [`buffer_sized_response`], also for a response of unknown length if it ends within
/// [`UNSIZED_BUFFER_TIME`].
///
/// # Errors
/// Returns an error if the response is truncated.
pub(super) async fn buffer_short_response(response: Response<Body>) -> io::Result<Response<Body>> {
    let hint = response.body().size_hint();
    if hint.exact().is_some() {
        return buffer_sized_response(response).await;
    }
    let (parts, body) = response.into_parts();
    let body = buffer_until(body, Instant::now() + UNSIZED_BUFFER_TIME).await?;
    Ok(Response::from_parts(parts, body))
}

/// Reads a body until it ends, is too long, or `until` is reached. Returns what was read, followed by the
/// rest.
async fn buffer_until(mut rest: Body, until: Instant) -> io::Result<Body> {
    let (mut frames, mut bytes) = (VecDeque::new(), 0);
    while bytes <= RESPONSE_BUFFER_MAX_BYTES {
        let Ok(frame) = tokio::time::timeout_at(until, rest.frame()).await else {
            break;
        };
        let Some(frame) = frame else {
            return Ok(Body::new(ChainedBody { frames, rest: None }));
        };
        let frame = frame?;
        bytes += frame.data_ref().map_or(0, |d| d.len() as u64);
        frames.push_back(frame);
    }
    let rest = Some(rest);
    Ok(Body::new(ChainedBody { frames, rest }))
}

/// A body that fails with a timeout [`END_GRACE`] after its deadline. What has arrived by then is still
/// passed on, up to [`RESPONSE_BUFFER_MAX_BYTES`], since the process itself may be late. Holds `guard`
/// until it is dropped.
pub(super) struct DeadlineBody<G> {
    body: Body,
    attempt: AttemptId,
    end: Pin<Box<Sleep>>,
    /// Bytes passed on after the end.
    late_bytes: u64,
    _guard: G,
}

impl<G: Send + Unpin + 'static> DeadlineBody<G> {
    /// Limits the body of the response to an attempt.
    pub(super) fn wrap(body: Body, attempt: AttemptId, deadline: Instant, guard: G) -> Body {
        Body::new(DeadlineBody {
            body,
            attempt,
            end: Box::pin(tokio::time::sleep_until(deadline + END_GRACE)),
            late_bytes: 0,
            _guard: guard,
        })
    }
}

impl<G: Unpin> HttpBody for DeadlineBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.end.as_mut().poll(cx).is_pending() {
            return polled;
        }
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.late_bytes += frame.data_ref().map_or(0, |d| d.len() as u64);
        }
        if polled.is_ready() && self.late_bytes <= RESPONSE_BUFFER_MAX_BYTES {
            return polled;
        }
        log::warn!("response cut off at its deadline attempt={}", self.attempt);
        Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
