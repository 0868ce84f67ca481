//! Responses to callers: bodies forwarded from targets, and responses of the gateway itself.

use {
    super::caller_memory::MemoryShare,
    bytes::{Buf, Bytes},
    futures_util::stream::Stream,
    http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
    hyper::{
        Response,
        body::{Body, Frame, SizeHint},
    },
    sassafrasslip_platform::caller::retry_after_header,
    std::{
        error::Error,
        fmt,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Error of a stream that could not be completed. It makes the server close the connection without
/// the terminating chunk, so that the caller cannot take the response for complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CutError;

impl fmt::Display for CutError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream could not be finished")
    }
}

impl Error for CutError {}

/// Stream of complete server-sent events, in order.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, CutError>>>>;

/// Size of the pieces in which a large body is sent, in bytes. The server holds about one piece beside
/// the body.
const PIECE_BYTES: usize = 64 * 1024;

/// Complete body of a response, and the memory that it holds until the caller has read it.
#[derive(Debug)]
pub struct WholeBody {
    rest: Bytes,
    share: Option<MemoryShare>,
}

impl From<Bytes> for WholeBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            rest: bytes,
            share: None,
        }
    }
}

impl WholeBody {
    /// Returns the next piece; `None` at the end. The piece of a body with a share is a copy, because
    /// a part of the body would hold all of it.
    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let Some(share) = &self.share else {
            return Some(std::mem::take(&mut self.rest));
        };
        share.note_progress();
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = Bytes::copy_from_slice(&self.rest[..length]);
        self.rest.advance(length);
        Some(piece)
    }
}

/// Body of a response to a caller.
pub enum ReplyBody {
    /// Complete body, sent with its length.
    Whole(WholeBody),
    /// Events, forwarded as they arrive.
    Events(EventStream),
}

impl ReplyBody {
    /// Starts the share of a large complete body in the memory of answers.
    pub fn hold(&mut self, begin_share: impl FnOnce() -> MemoryShare) {
        if let Self::Whole(body) = self
            && body.rest.len() > PIECE_BYTES
        {
            let share = begin_share();
            share.grow_always(body.rest.len());
            body.share = Some(share);
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.next().map(|piece| Ok(Frame::data(piece)))),
            Self::Events(events) => {
                let next = events.as_mut().poll_next(context);
                next.map(|events| events.map(|events| events.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.rest.is_empty(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Response that the gateway generates itself instead of forwarding one from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalReply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Reason, which appears in the log and as the body.
    pub reason: &'static str,
    /// Delay after which the caller may retry; `None` if a retry is not offered.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// Creates a 503 response that says that the request has not run and will not run, so that the
    /// caller may safely retry it after `retry_after`.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a response to an invalid request, which a retry would not help.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Creates a response that says that the request may or may not have run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Converts to an HTTP response with the reason as a plain-text body.
    pub fn into_response(self) -> Response<ReplyBody> {
        let text = Bytes::from(format!("{}\n", self.reason));
        let mut response = Response::new(ReplyBody::Whole(text.into()));
        *response.status_mut() = self.status;
        let plain = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(CONTENT_TYPE, plain);
        if let Some(delay) = self.retry_after {
            let (name, value) = retry_after_header(delay);
            response.headers_mut().insert(name, value);
        }
        response
    }
}
