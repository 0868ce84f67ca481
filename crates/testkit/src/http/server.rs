//! Small server: one handler for each listener, and answers that can be cut off.

use {
    bytes::Bytes,
    futures_util::Stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::{Frame, Incoming},
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    std::{error::Error, fmt, future::Future, io, result, sync::Arc},
    tokio::net::{TcpListener, TcpStream},
};

/// Body of an answer; an error in it closes the connection before the end of the body.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;
/// Answer of a stand-in.
pub type Answer = Response<AnswerBody>;
/// Result of handling a request.
pub type ServerResult = result::Result<Answer, ConnectionDropped>;

/// The connection is to be closed without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionDropped;

impl fmt::Display for ConnectionDropped {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection closed without an answer")
    }
}

impl Error for ConnectionDropped {}

/// Request whose body has been read.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServerRequest {
    /// Decodes the body as JSON; the error is the answer to send.
    ///
    /// # Errors
    ///
    /// Fails with a 400 if the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> result::Result<T, Box<Answer>> {
        serde_json::from_slice(&self.body).map_err(|error| Box::new(bad_request(&error)))
    }

    /// Returns a header as text; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// Handler of all requests on a listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers a request. Runs to its end even if the caller goes away.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResult> + Send;
}

/// Accepts connections until the process ends.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        // A failed accept, such as one without a free descriptor, must not end the stand-in.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle_request(request, Arc::clone(&handler)));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Errors are expected: callers leave, and faults close connections.
    let _ = connection.await;
}

async fn handle_request<H: RequestHandler>(
    request: Request<Incoming>,
    handler: Arc<H>,
) -> ServerResult {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionDropped)?;
    let request = ServerRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    // A task of its own: a write takes effect although its caller has given up.
    let task = tokio::spawn(async move { handler.handle(request).await });
    task.await.unwrap_or(Err(ConnectionDropped))
}

fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn answer(status: StatusCode, content_type: &'static str, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    answer
}

/// Answers with JSON.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", full_body(body))
}

/// Answers with text or bytes.
pub fn text_answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    answer(status, "text/plain", full_body(body))
}

/// Answers 400 with a reason.
pub fn bad_request(fault: &impl ToString) -> Answer {
    let body = serde_json::json!({"error": {"code": "invalid", "message": fault.to_string()}});
    json_answer(StatusCode::BAD_REQUEST, &body)
}

/// Answers with NDJSON lines as they arrive.
pub fn stream_answer(lines: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Answer {
    let frames = futures_util::StreamExt::map(lines, |line| line.map(Frame::data));
    let body = StreamBody::new(frames).boxed_unsync();
    answer(StatusCode::OK, "application/x-ndjson", body)
}
