//! Answers and refusals as callers receive them.

use {
    crate::{constants::STREAM_CHUNKS, entry::context::EntryContext},
    bytes::Bytes,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    },
    hyper::body::{Body, Frame, SizeHint},
    sassafrasslip_core::{
        events::LogEvent::{RequestRefused, RequestUnknown},
        ids::RequestId,
        log_event,
        retry::RequestOutcome,
    },
    serde::Serialize,
    std::{
        borrow::Cow,
        error::Error,
        fmt,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{sync::mpsc, time::Instant},
    tokio_util::sync::DropGuard,
};

/// Header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "sassafrasslip-request-id";
/// Header with the outcome.
pub const OUTCOME_HEADER: &str = "sassafrasslip-outcome";

/// Response to a caller.
pub type CallerResponse = Response<AnswerBody>;

/// Part of a streamed answer.
#[derive(Debug)]
pub enum StreamPart {
    /// Bytes.
    Data(Bytes),
    /// End of the answer. A stream that closes without it is cut.
    End,
}

/// The answer ended before its end; hyper then closes the connection without the last chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerCutError;

impl fmt::Display for AnswerCutError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was cut before its end")
    }
}

impl Error for AnswerCutError {}

#[derive(Debug)]
enum BodySource {
    Stream(mpsc::Receiver<StreamPart>),
    Whole(Option<Bytes>),
}

/// Body of an answer: whole, or streamed part by part.
#[derive(Debug)]
pub struct AnswerBody {
    source: BodySource,
    /// Whether the connection had a chance to write all parts before a cut.
    is_flushed: bool,
    /// Tells the dispatcher that the caller is gone when the body is dropped early.
    _guard: Option<DropGuard>,
}

impl AnswerBody {
    /// Creates a body that is sent with its length.
    pub fn whole(bytes: Bytes) -> Self {
        let source = BodySource::Whole((!bytes.is_empty()).then_some(bytes));
        Self {
            source,
            is_flushed: false,
            _guard: None,
        }
    }

    /// Creates a streamed body and its sender.
    pub fn stream() -> (mpsc::Sender<StreamPart>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
        let body = Self {
            source: BodySource::Stream(receiver),
            is_flushed: false,
            _guard: None,
        };
        (sender, body)
    }

    /// Attaches the guard that is dropped with the body.
    pub fn guarded_by(self, guard: DropGuard) -> Self {
        Self {
            _guard: Some(guard),
            ..self
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCutError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCutError>>> {
        let part = match &mut self.source {
            BodySource::Whole(bytes) => {
                return Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all))));
            }
            BodySource::Stream(receiver) => ready!(receiver.poll_recv(context)),
        };
        match part {
            Some(StreamPart::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(StreamPart::End) => Poll::Ready(None),
            None if self.is_flushed => Poll::Ready(Some(Err(AnswerCutError))),
            None => {
                // After an error the library drops what it has not written yet. One pause lets it
                // write the tokens that came before the cut.
                self.is_flushed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Stream(_) => SizeHint::default(),
            BodySource::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
        }
    }
}

/// Request that is not answered, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// `not-run` or `unknown`.
    pub outcome: RequestOutcome,
    /// Reason, as a word for programs.
    pub reason: Cow<'static, str>,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
    /// Reason, as a sentence for people.
    pub message: Cow<'static, str>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    request_id: RequestId,
    retry_after_seconds: u64,
    message: &'a str,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            reason: Cow::Borrowed(reason),
            retry_after: Duration::from_secs(1),
            message: message.into(),
        }
    }

    /// Creates the answer for a request whose outcome is unknown.
    pub fn unknown(
        status: StatusCode,
        reason: impl Into<Cow<'static, str>>,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self {
            status,
            outcome: RequestOutcome::Unknown,
            reason: reason.into(),
            retry_after: Duration::from_secs(1),
            message: message.into(),
        }
    }

    /// Creates the answer for a request whose dispatcher has ended without one.
    pub fn internal() -> Self {
        Self::unknown(
            StatusCode::BAD_GATEWAY,
            "internal",
            "the entry lost track of the request",
        )
    }

    /// Sets the time after which the caller may come back.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after,
            ..self
        }
    }

    fn retry_after_seconds(&self) -> u64 {
        // Rounded up, because a caller that comes back early is refused again.
        (self.retry_after.as_millis().div_ceil(1000) as u64).max(1)
    }

    /// Logs and counts a request that was refused before it reached the dispatcher.
    pub fn record(&self, context: &EntryContext, request_id: RequestId, arrived: Instant) {
        let outcome = self.outcome.as_str();
        context.metrics.record("", outcome, arrived.elapsed());
        self.log(request_id);
    }

    /// Logs the refusal.
    pub fn log(&self, request_id: RequestId) {
        let event = match self.outcome {
            RequestOutcome::Unknown => RequestUnknown,
            _ => RequestRefused,
        };
        log_event!(
            event,
            request_id = request_id,
            status = self.status.as_u16(),
            reason = self.reason,
            detail = self.message,
        );
    }

    /// Returns the response with headers and JSON body.
    pub fn into_response(self, request_id: RequestId) -> CallerResponse {
        let body = RefusalBody {
            outcome: self.outcome.as_str(),
            reason: &self.reason,
            request_id,
            retry_after_seconds: self.retry_after_seconds(),
            message: &self.message,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(AnswerBody::whole(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RETRY_AFTER, HeaderValue::from(self.retry_after_seconds()));
        mark(&mut response, request_id, self.outcome);
        if matches!(self.status.as_u16(), 408 | 413) {
            // The rest of the body is not read, so the connection cannot carry another request.
            close_connection(&mut response);
        }
        response
    }
}

/// Adds the headers that every answer carries.
pub fn mark(response: &mut CallerResponse, request_id: RequestId, outcome: RequestOutcome) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
}

/// Asks the caller to use another connection for its next request.
pub fn close_connection(response: &mut CallerResponse) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
