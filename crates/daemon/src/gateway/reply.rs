//! Answers to callers.

use {
    bytes::Bytes,
    futures_util::stream::Stream,
    http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
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

/// A stream that could not be finished. The connection is closed without the end of the body, so
/// that the answer does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CutError;

impl fmt::Display for CutError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream could not be finished")
    }
}

impl Error for CutError {}

/// Whole events, in order.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, CutError>>>>;

/// Body of an answer to a caller.
pub enum ReplyBody {
    /// Whole answer.
    Whole(Full<Bytes>),
    /// Stream of events.
    Events(EventStream),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(|_| CutError),
            Self::Events(events) => {
                let next = events.as_mut().poll_next(context);
                next.map(|events| events.map(|events| events.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Answer of the gateway itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnAnswer {
    /// Status.
    pub status: StatusCode,
    /// Reason, for the log and the body.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Says that the request was not run and never will be.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Says that the request is wrong.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Says that it is unknown whether the request ran.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Builds the response.
    pub fn into_response(self) -> Response<ReplyBody> {
        let text = Bytes::from(format!("{}\n", self.reason));
        let mut response = Response::new(ReplyBody::Whole(Full::from(text)));
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
