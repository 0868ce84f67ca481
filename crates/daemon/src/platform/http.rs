//! Adapter for the platform's services, which it calls over HTTP with JSON bodies.

use {
    super::{
        InstanceList, ListedInstance, ObjectStore, PlatformError, PlatformFuture, PlatformStep,
        Result, TableItem, TableOutcome, TableRead, TableScan, TableService, TableTransaction,
    },
    crate::options::PlatformOptions,
    bytes::Bytes,
    error_stack::Report,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode, body::Buf},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    sassafrasslip_platform::answer_guard::{GuardedConnector, MAX_BUFFERED_BYTES},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
    tokio::time::timeout,
};

/// Bytes that may arrive in answer to one call. The longest answers are an instance list of 1,050
/// instances, a page of a table, and a configuration of 66 KB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Client of the platform's services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    options: PlatformOptions,
    client: Client<GuardedConnector, Full<Bytes>>,
}

#[derive(Debug, Deserialize)]
struct TransactAnswer {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    conflicts: Vec<TableItem>,
    time_ms: u64,
}

#[derive(Debug, Serialize)]
struct ScanRequest<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

#[derive(Debug, Deserialize)]
struct InstancesAnswer {
    instances: Vec<ListedInstance>,
}

struct HttpAnswer {
    status: StatusCode,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates the client without connecting; connections are opened on demand and pooled.
    pub fn new(options: PlatformOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // A write that was sent may have taken effect, so only the caller can decide on a
            // retry.
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFERED_BYTES)
            .build(GuardedConnector::new(connector, MAX_ANSWER_BYTES));
        Self { options, client }
    }

    fn error(&self, step: PlatformStep, fault: impl ToString) -> Report<PlatformError> {
        let peer: SocketAddr = self.options.address;
        Report::new(PlatformError {
            step,
            peer,
            fault: fault.to_string(),
        })
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<HttpAnswer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.options.address))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|error| self.error(PlatformStep::Connect, error))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                let step = if error.is_connect() {
                    PlatformStep::Connect
                } else {
                    PlatformStep::AwaitAnswer
                };
                self.error(step, error)
            })?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| self.error(PlatformStep::AwaitAnswer, error))?;
            Ok::<_, Report<PlatformError>>(HttpAnswer {
                status,
                body: body.to_bytes(),
            })
        };
        let answer = timeout(self.options.timeout, exchange)
            .await
            .map_err(|_| self.error(PlatformStep::AwaitAnswer, "timed out"))??;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(self.error(PlatformStep::Refused, "service unavailable"));
        }
        Ok(answer)
    }

    fn decode<T: DeserializeOwned>(&self, answer: &HttpAnswer) -> Result<T> {
        serde_json::from_reader(answer.body.clone().reader()).map_err(|error| {
            let fault = format!("status {}: {error}", answer.status);
            self.error(PlatformStep::DecodeAnswer, fault)
        })
    }

    fn encode<T: Serialize>(&self, value: &T) -> Result<Bytes> {
        let encoded = serde_json::to_vec(value);
        encoded
            .map(Bytes::from)
            .map_err(|error| self.error(PlatformStep::Connect, error))
    }
}

impl TableService for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead> {
        Box::pin(async move {
            let path = format!("/v1/table/items/{key}");
            let answer = self.call(Method::GET, &path, Bytes::new()).await?;
            let mut read: TableRead = self.decode(&answer)?;
            key.clone_into(&mut read.item.key);
            Ok(read)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> PlatformFuture<'a, TableScan> {
        Box::pin(async move {
            let body = self.encode(&ScanRequest {
                prefix,
                after,
                limit,
            })?;
            let answer = self.call(Method::POST, "/v1/table/scan", body).await?;
            self.decode(&answer)
        })
    }

    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome> {
        Box::pin(async move {
            let body = self.encode(&transaction)?;
            let answer = self.call(Method::POST, "/v1/table/transact", body).await?;
            let TransactAnswer {
                version,
                conflicts,
                time_ms,
            } = self.decode(&answer)?;
            match answer.status {
                StatusCode::OK => Ok(TableOutcome::Committed { version, time_ms }),
                StatusCode::CONFLICT => Ok(TableOutcome::Conflict { conflicts, time_ms }),
                status => Err(self.error(PlatformStep::DecodeAnswer, status)),
            }
        })
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{key}");
            let answer = self.call(Method::GET, &path, Bytes::new()).await?;
            match answer.status {
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(self.error(PlatformStep::DecodeAnswer, status)),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> PlatformFuture<'a, ()> {
        Box::pin(async move {
            let path = format!("/v1/objects/{key}");
            let answer = self.call(Method::PUT, &path, value).await?;
            if answer.status.is_success() {
                return Ok(());
            }
            Err(self.error(PlatformStep::DecodeAnswer, answer.status))
        })
    }
}

impl InstanceList for HttpPlatform {
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        Box::pin(async move {
            let answer = self
                .call(Method::GET, "/v1/instances", Bytes::new())
                .await?;
            self.decode(&answer)
                .map(|answer: InstancesAnswer| answer.instances)
        })
    }
}
