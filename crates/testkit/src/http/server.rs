//! Small HTTP server with one handler for each listener. A handler can break an answer off, or
//! close a connection without an answer, to imitate faults.

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

/// Body of an answer. An error in the body closes the connection before the end of the body, so
/// that the caller sees a truncated answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;
/// Answer of a stand-in to a request.
pub type Answer = Response<AnswerBody>;
/// Result of handling a request; an error closes the connection without an answer.
pub type ServerResult = result::Result<Answer, ConnectionDropped>;

/// Error of a handler that closes the connection without an answer.
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
    /// Method of the request.
    pub method: Method,
    /// Path of the request, without the query.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

impl ServerRequest {
    /// Decodes the body as JSON. The error is the answer to send to the caller.
    ///
    /// # Errors
    ///
    /// Fails with a 400 answer if the body is not JSON or does not match the type.
    pub fn json<T: DeserializeOwned>(&self) -> result::Result<T, Box<Answer>> {
        serde_json::from_slice(&self.body).map_err(|error| Box::new(bad_request(&error)))
    }

    /// Returns the value of a header; an empty text if it is absent or is not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// Handler of all requests on a listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers a request. The future runs to its end even if the caller closes the connection.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResult> + Send;
}

/// Accepts connections and answers their requests until the task is dropped.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        // An accept that fails, for instance for lack of a file descriptor, must not end the
        // stand-in.
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
    // Errors are expected: callers close connections, and so do faults.
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
    // The handler runs in a task of its own, because hyper drops the future of a request when the
    // caller closes the connection, and a write must take effect even then.
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

/// Creates an answer with a JSON body.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(status, "application/json", full_body(body))
}

/// Creates an answer of type `text/plain` with any bytes as its body.
pub fn text_answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    answer(status, "text/plain", full_body(body))
}

/// Creates an answer with status 400 and the error code `invalid`; `fault` is its message.
pub fn bad_request(fault: &impl ToString) -> Answer {
    let body = serde_json::json!({"error": {"code": "invalid", "message": fault.to_string()}});
    json_answer(StatusCode::BAD_REQUEST, &body)
}

/// Creates an answer with status 200 whose body sends lines of NDJSON as the stream yields them.
pub fn stream_answer(lines: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Answer {
    let frames = futures_util::StreamExt::map(lines, |line| line.map(Frame::data));
    let body = StreamBody::new(frames).boxed_unsync();
    answer(StatusCode::OK, "application/x-ndjson", body)
}
