//! Requests to the operator API of an entry.

use {
    crate::errors::{ClientError, Result},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    sassafrasslip_core::{
        configuration::report::{ErrorBody, ErrorReport},
        ids::ChangeName,
    },
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Maximum time to open a connection to the entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for an answer. An entry waits up to 6 s until a change is accepted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a change whose answer was lost is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum size of an answer, in bytes. The largest one is a full history whose changes all have
/// reasons of the maximum length.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Client of one entry's operator API. Each request uses a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct OperatorApi {
    entry: SocketAddr,
}

impl OperatorApi {
    /// Creates a client for the operator address of an entry, without connecting yet.
    pub fn new(entry: SocketAddr) -> Self {
        Self { entry }
    }

    /// Sends a `GET` request for a path and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer or answers with an error.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, &Value::Null).await
    }

    /// Sends an idempotent `POST` request and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer or answers with an error.
    pub async fn send_command<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T> {
        self.call(Method::POST, path, body).await
    }

    /// Sends a configuration change and decodes the answer. If the answer is lost, the request is
    /// retried once with the same change identifier, so that the entry returns the first result
    /// instead of making the change again.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer or answers with an error.
    pub async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        change_id: &ChangeName,
        body: &Value,
    ) -> Result<T> {
        let mut result = self.call(method.clone(), path, body).await;
        if result.as_ref().is_err_and(is_answer_lost) {
            sleep(RETRY_PAUSE).await;
            result = self.call(method, path, body).await;
        }
        result.map_err(|error| error.with_change_id(change_id))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<T> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.entry));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(self.unreachable(false, format!("connect: {error}"))),
            Err(_) => return Err(self.unreachable(false, "connect: timed out")),
        };
        let request = self.request(method, path, body)?;
        let exchange = timeout(ANSWER_TIMEOUT, self.exchange(stream, request));
        let (status, answer) = exchange
            .await
            .map_err(|_| self.unreachable(true, "await answer: timed out"))??;
        self.decode(status, &answer)
    }

    fn request(&self, method: Method, path: &str, body: &Value) -> Result<Request<Full<Bytes>>> {
        let body = match body {
            Value::Null => Bytes::new(),
            body => Bytes::from(body.to_string()),
        };
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.entry.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::CONNECTION, "close")
            .body(Full::from(body))
            .map_err(|error| self.unreachable(false, error))
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes)> {
        let lost = |error: &dyn std::error::Error| {
            self.unreachable(true, format!("await answer: {error}"))
        };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| lost(&error))?;
        // The task's result is not awaited: the sender reports errors of the connection too.
        tokio::spawn(connection);
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| lost(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| lost(&*error))?;
        Ok((status, body.to_bytes()))
    }

    fn decode<T: DeserializeOwned>(&self, status: StatusCode, answer: &[u8]) -> Result<T> {
        if status.is_success() {
            return serde_json::from_slice(answer)
                .map_err(|error| self.unreachable(true, format!("decode answer: {error}")));
        }
        let report = serde_json::from_slice::<ErrorReport>(answer);
        let body = report.map_or_else(|_| unexpected_answer(status), |report| report.error);
        Err(ClientError::Answered {
            status,
            body,
            change_id: None,
        })
    }

    fn unreachable(&self, may_have_taken_effect: bool, fault: impl ToString) -> ClientError {
        ClientError::Unreachable {
            entry: self.entry,
            fault: fault.to_string(),
            may_have_taken_effect,
            change_id: None,
        }
    }
}

fn is_answer_lost(error: &ClientError) -> bool {
    matches!(
        error,
        ClientError::Unreachable {
            may_have_taken_effect: true,
            ..
        }
    )
}

fn unexpected_answer(status: StatusCode) -> ErrorBody {
    ErrorBody {
        code: "unexpected_answer".to_owned(),
        message: format!("status {status} without an error body of the operator API"),
        current: Value::Null,
    }
}
