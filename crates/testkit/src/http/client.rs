//! HTTP client of the tests, the load tool and the process harness.

use {
    bytes::Bytes,
    error_stack::Report,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{error::Error, fmt, net::SocketAddr, result, time::Duration},
    tokio::time::timeout,
};

/// Result of an HTTP call.
pub type Result<T> = result::Result<T, Report<ClientError>>;

/// Failure of an HTTP call, which did not receive a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientError {
    /// Address of the server that was called.
    pub peer: SocketAddr,
    /// Whether the request was certainly not sent, because no connection could be made.
    pub unsent: bool,
    /// Description of the failure.
    pub fault: String,
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "call to {} failed: {}", self.peer, self.fault)
    }
}

impl Error for ClientError {}

/// Answer whose whole body has been read.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON or does not match the type.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// HTTP client with a time limit for each call. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    call_timeout: Duration,
}

impl HttpClient {
    /// Creates a client whose connections are opened on first use. The time limit holds separately
    /// for the head of an answer, with the time to connect, and for a body that the client reads.
    /// The client never resends a request of its own accord.
    pub fn new(call_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(call_timeout));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            call_timeout,
        }
    }

    /// Sends a request and returns the head of the answer with its unread body.
    ///
    /// # Errors
    ///
    /// Fails if the head of an answer does not arrive in time.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let exchange = timeout(self.call_timeout, self.client.request(request)).await;
        let failed = |unsent, fault: String| {
            Report::new(ClientError {
                peer,
                unsent,
                fault,
            })
        };
        exchange
            .map_err(|_| failed(false, "timed out".to_owned()))?
            .map_err(|error| failed(error.is_connect(), join_sources(&error)))
    }

    /// Calls a path with a JSON body and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the path is invalid, or if the head or the body of the answer does not arrive in
    /// time.
    pub async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<ClientAnswer> {
        let failed = |fault: String| {
            let unsent = false;
            Report::new(ClientError {
                peer,
                unsent,
                fault,
            })
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|error| failed(error.to_string()))?;
        let (head, body) = self.send(peer, request).await?.into_parts();
        let body = timeout(self.call_timeout, body.collect()).await;
        let body = body.map_err(|_| failed("timed out in the body".to_owned()))?;
        let body = body.map_err(|error| failed(error.to_string()))?.to_bytes();
        Ok(ClientAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Calls a path with GET.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`Self::call`].
    pub async fn get(&self, peer: SocketAddr, path: &str) -> Result<ClientAnswer> {
        self.call(Method::GET, peer, path, Bytes::new()).await
    }

    /// Calls a path with POST and a JSON body.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`Self::call`].
    pub async fn post(
        &self,
        peer: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<ClientAnswer> {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.call(Method::POST, peer, path, Bytes::from(body)).await
    }
}

/// Joins the texts of an error and its sources. The text of the client's own error names only the
/// step that failed; the cause is in its sources.
fn join_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
