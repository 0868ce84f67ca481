//! Client for tests, the load tool and the process harness.

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

/// Result of a call.
pub type Result<T> = result::Result<T, Report<ClientError>>;

/// Failure of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientError {
    /// Address that was called.
    pub peer: SocketAddr,
    /// Whether no connection could be made, so that the request was not sent.
    pub unsent: bool,
    /// Reason.
    pub fault: String,
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "call to {} failed: {}", self.peer, self.fault)
    }
}

impl Error for ClientError {}

/// Answer that was read whole.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// Client with a time limit for each call. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    limit: Duration,
}

impl HttpClient {
    /// Creates a client; connections are opened on first use.
    pub fn new(limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limit));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, limit }
    }

    /// Sends a request and returns the answer's head with its unread body.
    ///
    /// # Errors
    ///
    /// Fails if no answer's head arrives in time.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let exchange = timeout(self.limit, self.client.request(request)).await;
        let failed = |unsent, fault: String| {
            Report::new(ClientError {
                peer,
                unsent,
                fault,
            })
        };
        exchange
            .map_err(|_| failed(false, "timed out".to_owned()))?
            .map_err(|error| failed(error.is_connect(), describe(&error)))
    }

    /// Calls a path and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not arrive whole in time.
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
        let body = timeout(self.limit, body.collect()).await;
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
    /// Fails like [`Self::call`].
    pub async fn get(&self, peer: SocketAddr, path: &str) -> Result<ClientAnswer> {
        self.call(Method::GET, peer, path, Bytes::new()).await
    }

    /// Calls a path with POST and a JSON body.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`].
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

/// Joins an error with its sources, because the client's own text names only the step.
fn describe(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
