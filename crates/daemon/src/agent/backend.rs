//! HTTP client of the target. Each call opens its own connection: a reused one might be closed by
//! the target at that moment, and the call would have to be sent twice.

pub mod headers;
pub mod tokens;

use {
    crate::constants::TARGET_CONNECT_TIMEOUT,
    bytes::Bytes,
    error_stack::Report,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::rt::TokioIo,
    std::{error::Error, fmt, future::Future, net::SocketAddr, result},
    tokio::{net::TcpStream, time::timeout},
    tokio_util::task::AbortOnDropHandle,
};

/// Result of a call to the target.
pub type Result<T> = result::Result<T, Report<BackendError>>;

/// Step at which a call failed; it tells whether the target may have received the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendStep {
    /// The request could not be built; nothing was sent.
    Build,
    /// No connection was made, or it closed before the call was written; nothing was sent.
    Connect,
    /// No head of an answer arrived; the call may have been sent.
    AwaitAnswer,
    /// The answer broke off, or is not acceptable.
    ReadAnswer,
}

/// Failure of a call to the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendError {
    /// Step that failed.
    pub step: BackendStep,
    /// Address of the target.
    pub peer: SocketAddr,
    /// Cause, as text for logs and error messages.
    pub fault: String,
}

impl fmt::Display for BackendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "target at {} ({:?}): {}",
            self.peer, self.step, self.fault
        )
    }
}

impl Error for BackendError {}

/// HTTP client of the target.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    address: SocketAddr,
}

/// Open connection to the target for one call.
#[derive(Debug)]
pub struct BackendConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDropHandle<()>,
}

/// Answer whose body is still to be read; dropping it closes the connection.
#[derive(Debug)]
pub struct BackendAnswer {
    address: SocketAddr,
    /// HTTP response whose body is read by [`BackendAnswer::read`].
    pub response: Response<Incoming>,
    _task: AbortOnDropHandle<()>,
}

impl Backend {
    /// Creates the client of the target at an address; nothing is opened yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`BackendStep::Connect`] if the target does not accept the connection within
    /// [`TARGET_CONNECT_TIMEOUT`].
    pub async fn connect(&self) -> Result<BackendConnection> {
        let fail = |fault: String| error(BackendStep::Connect, self.address, fault);
        let stream = timeout(TARGET_CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| fail("timed out".to_owned()))?
            .map_err(|error| fail(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| fail(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fail(error.to_string()))?;
        let task = tokio::spawn(async move {
            // The call on this connection fails with the same error.
            let _ = connection.await;
        });
        Ok(BackendConnection {
            address: self.address,
            sender,
            task: AbortOnDropHandle::new(task),
        })
    }

    /// Sends `GET /healthz` to the target.
    ///
    /// # Errors
    ///
    /// Fails unless the target answers 200.
    pub async fn check_health(&self) -> Result<()> {
        let request = self.request("GET", "/healthz", Bytes::new())?;
        let answer = self.connect().await?.send(request).await?;
        let status = answer.response.status();
        if status == StatusCode::OK {
            return Ok(());
        }
        let fault = format!("health check answered {status}");
        Err(error(BackendStep::ReadAnswer, self.address, fault))
    }

    /// Tells a model engine to stop generating for a request. Failures are ignored: the engine also
    /// sees that the connection of the request is closed.
    pub async fn cancel_generation(&self, request_id: &str) {
        let body = serde_json::json!({ "request_id": request_id }).to_string();
        let Ok(request) = self.request("POST", "/v1/cancel", body.into()) else {
            return;
        };
        if let Ok(connection) = self.connect().await {
            let _ = timeout(TARGET_CONNECT_TIMEOUT, connection.send(request)).await;
        }
    }

    /// Builds a request for the target.
    ///
    /// # Errors
    ///
    /// Fails with [`BackendStep::Build`] if the method or the path is malformed.
    pub fn request(&self, method: &str, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::from(body))
            .map_err(|fault| error(BackendStep::Build, self.address, fault.to_string()))
    }
}

impl BackendConnection {
    /// Passes a request to the connection at once; the returned future waits for the head of the
    /// answer.
    ///
    /// # Errors
    ///
    /// Fails with [`BackendStep::Connect`] if the request was certainly not sent, and with
    /// [`BackendStep::AwaitAnswer`] if it may have been.
    pub fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<BackendAnswer>> + Send {
        let sent = self.sender.try_send_request(request);
        async move {
            let response = sent.await.map_err(|mut failure| {
                let step = match failure.take_message() {
                    Some(_) => BackendStep::Connect,
                    None => BackendStep::AwaitAnswer,
                };
                error(step, self.address, failure.into_error().to_string())
            })?;
            Ok(BackendAnswer {
                address: self.address,
                response,
                _task: self.task,
            })
        }
    }
}

impl BackendAnswer {
    /// Reads the next chunk of the body; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub async fn read(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.response.body_mut().frame().await else {
                return Ok(None);
            };
            let frame = frame
                .map_err(|fault| error(BackendStep::ReadAnswer, self.address, fault.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is longer than `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes> {
        let mut body = bytes::BytesMut::new();
        while let Some(part) = self.read().await? {
            if body.len() + part.len() > limit {
                let fault = format!("answer is longer than {limit} bytes");
                return Err(error(BackendStep::ReadAnswer, self.address, fault));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

fn error(step: BackendStep, peer: SocketAddr, fault: String) -> Report<BackendError> {
    Report::new(BackendError { step, peer, fault })
}
