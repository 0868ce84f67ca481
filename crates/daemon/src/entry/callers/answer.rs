//! Responses to callers: whole and streamed answers, and refusals with a JSON body.

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

/// Response header with the identifier that the entry gave to the request.
pub const REQUEST_ID_HEADER: &str = "sassafrasslip-request-id";
/// Response header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "sassafrasslip-outcome";

/// HTTP response to a caller.
pub type CallerResponse = Response<AnswerBody>;

/// Part of a streamed answer, sent from the dispatcher to the response body.
#[derive(Debug)]
pub enum StreamPart {
    /// Bytes of the answer, sent as one chunk.
    Data(Bytes),
    /// Complete end of the answer. If the channel closes without it, the answer was cut.
    End,
}

/// Error of a streamed answer that was cut before its end. hyper then closes the connection without
/// the last chunk, so that the caller can tell the answer is incomplete.
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

/// Body of a response, either complete or streamed part by part.
#[derive(Debug)]
pub struct AnswerBody {
    source: BodySource,
    /// Whether the body has returned `Pending` once since the channel closed without an end, which
    /// lets hyper write the parts before the cut.
    has_yielded: bool,
    /// Cancels the dispatcher when the body is dropped, for example because the caller has closed
    /// the connection. Has no effect after the dispatcher has ended.
    _guard: Option<DropGuard>,
}

impl AnswerBody {
    /// Creates a complete body, which is sent with a `Content-Length`.
    pub fn whole(bytes: Bytes) -> Self {
        let source = BodySource::Whole((!bytes.is_empty()).then_some(bytes));
        Self {
            source,
            has_yielded: false,
            _guard: None,
        }
    }

    /// Creates a streamed body and the sender of its parts. The channel between them holds
    /// [`STREAM_CHUNKS`] parts.
    pub fn stream() -> (mpsc::Sender<StreamPart>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
        let body = Self {
            source: BodySource::Stream(receiver),
            has_yielded: false,
            _guard: None,
        };
        (sender, body)
    }

    /// Attaches a guard that is dropped together with the body.
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
            None if self.has_yielded => Poll::Ready(Some(Err(AnswerCutError))),
            None => {
                // After an error, hyper drops the bytes that it has not written yet. Returning
                // `Pending` once lets it write the tokens that precede the cut.
                self.has_yielded = true;
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

/// Response to a request that gets no answer from a target, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Whether the request was certainly not run (`not-run`) or may have run (`unknown`).
    pub outcome: RequestOutcome,
    /// Reason as a machine-readable word.
    pub reason: Cow<'static, str>,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Reason as a readable sentence.
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
    /// Creates the refusal of a request that was not run. The caller may retry after 1 s.
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

    /// Creates the response to a request whose outcome is unknown. The caller may retry after 1 s.
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

    /// Creates the response to a request whose dispatcher task ended without a response, so that
    /// it is unknown whether the request ran.
    pub fn internal() -> Self {
        Self::unknown(
            StatusCode::BAD_GATEWAY,
            "internal",
            "the entry failed internally while it served the request",
        )
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after,
            ..self
        }
    }

    fn retry_after_seconds(&self) -> u64 {
        // Rounded up, because a caller that retries too early is refused again.
        (self.retry_after.as_millis().div_ceil(1000) as u64).max(1)
    }

    /// Logs a request that was refused before it reached the dispatcher, and records it in the
    /// metrics, under an empty service name.
    pub fn record(&self, context: &EntryContext, request_id: RequestId, arrived: Instant) {
        let outcome = self.outcome.as_str();
        context.metrics.record("", outcome, arrived.elapsed());
        self.log(request_id);
    }

    /// Logs the refusal: as `RequestUnknown` if the outcome is unknown, else as `RequestRefused`.
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

    /// Converts the refusal into an HTTP response with a JSON body.
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
        add_answer_headers(&mut response, request_id, self.outcome);
        if matches!(self.status.as_u16(), 408 | 413) {
            // The rest of the request body is not read, so the connection cannot be reused.
            close_connection(&mut response);
        }
        response
    }
}

/// Adds the headers that every response to a caller has: the request identifier and the outcome.
pub fn add_answer_headers(
    response: &mut CallerResponse,
    request_id: RequestId,
    outcome: RequestOutcome,
) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
}

/// Adds `Connection: close`, so that the caller opens a new connection for its next request.
pub fn close_connection(response: &mut CallerResponse) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
