//! A body of which a part has been read.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as HttpBody, Frame, SizeHint};

/// The frames of a body that have been read, followed by the rest of it.
pub(super) struct ChainedBody {
    pub(super) frames: VecDeque<Frame<Bytes>>,
    /// `None` if the body has ended.
    pub(super) rest: Option<Body>,
}

impl HttpBody for ChainedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && self.rest.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    /// With trailers among the frames, the length is left open: a body of known length has none.
    fn size_hint(&self) -> SizeHint {
        let length = |f: &Frame<Bytes>| f.data_ref().map(|d| d.len() as u64);
        let Some(read) = self.frames.iter().map(length).sum::<Option<u64>>() else {
            return SizeHint::default();
        };
        let rest = self
            .rest
            .as_ref()
            .map_or(SizeHint::with_exact(0), |r| r.size_hint());
        let mut hint = SizeHint::new();
        hint.set_lower(read + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(read + upper);
        }
        hint
    }
}
