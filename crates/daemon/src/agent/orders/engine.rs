//! Client of a model engine: orders on expert maps and load reports, as JSON over HTTP.

use {
    bytes::Bytes,
    error_stack::Report,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    sassafrasslip_core::map_change::{EngineView, MapOrder, OrderStep, ParticipantState},
    sassafrasslip_platform::answer_guard::{GuardedConnector, MAX_BUFFERED_BYTES},
    sassafrasslip_proto::link,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, error::Error, fmt, net::SocketAddr, result, time::Duration},
    tokio::time::timeout,
};

/// Result of a call to the engine.
pub type Result<T> = result::Result<T, Report<EngineError>>;

/// Token counts by layer and expert.
pub type TokenTable = Vec<Vec<u64>>;

/// Timeout of a connect and of a call that changes no state. Orders that change state have no
/// timeout and end when the engine answers or the connection breaks: an order that takes effect
/// after a timeout could contradict what the agent has reported meanwhile.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that may arrive in answer to one call. The longest answers are the token counts of some
/// thousand experts in each layer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Failed call to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineError {
    /// Path of the call.
    pub path: &'static str,
    /// Address of the engine.
    pub peer: SocketAddr,
    /// Cause, as text for logs and error messages.
    pub fault: String,
}

impl fmt::Display for EngineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "engine at {} ({}): {}",
            self.peer, self.path, self.fault
        )
    }
}

impl Error for EngineError {}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EngineState {
    Armed,
    Committed,
    Prepared,
    Stepping,
}

/// Answer of the engine to an order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderAnswer {
    /// Whether the order was executed.
    pub accepted: bool,
    state: EngineState,
    map_version: u64,
    /// Number of the step that the ranks execute next.
    pub step: u64,
    /// Highest fencing token that the engine has seen.
    #[serde(default)]
    pub fencing: u64,
    /// Change that the state belongs to; 0 or absent if there is none or the engine does not report
    /// it.
    #[serde(default)]
    change: u64,
    /// Reason if the order was refused.
    #[serde(default)]
    pub reason: Option<String>,
}

impl OrderAnswer {
    /// Converts the engine's state for the participant.
    pub fn view(&self) -> EngineView {
        let state = match self.state {
            EngineState::Armed => ParticipantState::Armed,
            EngineState::Committed => ParticipantState::Committed,
            EngineState::Prepared => ParticipantState::Prepared,
            EngineState::Stepping => ParticipantState::Stepping,
        };
        EngineView {
            state,
            change: Some(self.change).filter(|change| *change != 0),
            map_version: self.map_version,
        }
    }
}

/// Load report of the engine. Counters are cumulative.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EngineLoad {
    /// Version of the expert map in use.
    #[serde(default)]
    pub map_version: u64,
    /// Duration of the latest step, in microseconds.
    #[serde(default)]
    pub step_us: u64,
    /// Busy time of each of the target's ranks in the latest step, in microseconds.
    #[serde(default)]
    pub rank_step_us: Vec<u64>,
    /// Token counts of the target's requests by layer and expert.
    #[serde(default)]
    pub expert_tokens: TokenTable,
    /// Token counts by layer and expert for each request kind, if the engine reports them.
    #[serde(default)]
    pub kind_expert_tokens: BTreeMap<String, TokenTable>,
    /// Token count of each request kind, if the engine reports it.
    #[serde(default)]
    pub kind_tokens: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct OrderBody {
    order: &'static str,
    fencing: u64,
    change: u64,
    map: Option<MapBody>,
    gate_step: Option<u64>,
}

#[derive(Debug, Serialize)]
struct MapBody {
    version: u64,
    layers: Vec<Vec<Vec<u32>>>,
}

/// HTTP client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    client: Client<GuardedConnector, Full<Bytes>>,
}

impl EngineClient {
    /// Creates a client; connections are opened on first use.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(READ_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // No automatic retry, because an order that was sent may have taken effect.
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFERED_BYTES)
            .build(GuardedConnector::new(connector, MAX_ANSWER_BYTES));
        Self { address, client }
    }

    /// Sends an order and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or its answer is malformed; the order may have taken
    /// effect.
    pub async fn order(
        &self,
        order: &MapOrder,
        map: Option<&link::ExpertMap>,
    ) -> Result<OrderAnswer> {
        let gate_step = match order.step {
            OrderStep::Arm(gate) => Some(gate),
            _ => None,
        };
        let body = OrderBody {
            order: order_name(order.step),
            fencing: order.fencing_token,
            change: order.change,
            map: map.map(map_body),
            gate_step,
        };
        let body = serde_json::to_vec(&body);
        let body = body.map_err(|error| self.error("/v1/orders", error))?;
        self.call(Method::POST, "/v1/orders", body.into()).await
    }

    /// Asks for the state of the current map change.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, does not answer within 1 s, or its answer is
    /// malformed.
    pub async fn query(&self, fencing_token: u64) -> Result<OrderAnswer> {
        let order = MapOrder {
            fencing_token,
            change: 0,
            step: OrderStep::Query,
        };
        let answer = timeout(READ_TIMEOUT, self.order(&order, None)).await;
        answer.map_err(|_| self.error("/v1/orders", "timed out"))?
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached, does not answer within 1 s, or its answer is
    /// malformed.
    pub async fn load(&self) -> Result<EngineLoad> {
        let call = self.call(Method::GET, "/v1/load", Bytes::new());
        let answer = timeout(READ_TIMEOUT, call).await;
        answer.map_err(|_| self.error("/v1/load", "timed out"))?
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Result<T> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|error| self.error(path, error))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| self.error(path, error))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.error(path, error))?.to_bytes();
        if status != StatusCode::OK {
            return Err(self.error(path, format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|error| self.error(path, error))
    }

    fn error(&self, path: &'static str, fault: impl ToString) -> Report<EngineError> {
        Report::new(EngineError {
            path,
            peer: self.address,
            fault: fault.to_string(),
        })
    }
}

fn order_name(step: OrderStep) -> &'static str {
    match step {
        OrderStep::Abort => "abort",
        OrderStep::Arm(_) => "arm",
        OrderStep::Commit => "commit",
        OrderStep::Prepare => "prepare",
        OrderStep::Query => "query",
    }
}

fn map_body(map: &link::ExpertMap) -> MapBody {
    let layers = map.layers.iter().map(|layer| {
        let experts = layer.experts.iter();
        experts.map(|expert| expert.ranks.clone()).collect()
    });
    MapBody {
        version: map.version,
        layers: layers.collect(),
    }
}
