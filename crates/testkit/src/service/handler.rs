//! HTTP handler of the service: runs, the counts of runs, and faults that tests set.

use {
    crate::http::{
        Answer, ConnectionDropped, RequestHandler, ServerRequest, ServerResult, json_answer,
        text_answer,
    },
    hyper::{Method, StatusCode},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Point at which a run fails; the connection is then closed without an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunFailure {
    /// The run does not fail.
    #[default]
    None,
    /// The run fails before it takes effect, and is not counted.
    BeforeRun,
    /// The run fails after it has taken effect, and is counted.
    AfterRun,
}

/// Body of `POST /admin/faults`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay of each run and each look-up, in milliseconds.
    pub delay_ms: u64,
    /// Point at which those runs fail that are drawn to fail.
    pub failure: RunFailure,
    /// Probability from 0 to 1 that a run fails.
    pub probability: f64,
    /// Number of bytes of padding in each answer.
    pub answer_bytes: usize,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            failure: RunFailure::None,
            probability: 1.0,
            answer_bytes: 0,
        }
    }
}

/// Body of `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCounts {
    /// Number of runs that took effect.
    pub runs: u64,
    /// Number of runs for each value of the `Idempotency-Key` header.
    pub by_key: BTreeMap<String, u64>,
    /// Number of runs for each value of the `order` field of the body.
    pub by_order: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct ServiceState {
    faults: ServiceFaults,
    counts: ServiceCounts,
    runs: BTreeMap<u64, Value>,
    generator: ChaCha8Rng,
}

/// HTTP handler of the service, with its runs, counts and faults.
#[derive(Debug)]
pub struct ServiceHandler {
    state: Mutex<ServiceState>,
}

impl ServiceHandler {
    /// Creates a service without runs; the seed determines which runs fail.
    pub fn new(seed: u64, faults: ServiceFaults) -> Self {
        let state = ServiceState {
            faults,
            counts: ServiceCounts::default(),
            runs: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn create_run(&self, request: &ServerRequest) -> ServerResult {
        let body: Value = match request.json() {
            Ok(body) => body,
            Err(answer) => return Ok(*answer),
        };
        let (faults, failure) = self.draw_failure();
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if failure == RunFailure::BeforeRun {
            return Err(ConnectionDropped);
        }
        let run = self
            .state()
            .record_run(request.header("idempotency-key"), &body);
        if failure == RunFailure::AfterRun {
            return Err(ConnectionDropped);
        }
        Ok(run_answer(StatusCode::CREATED, run, &body, &faults))
    }

    /// Returns the faults, and draws whether and when the next run fails.
    fn draw_failure(&self) -> (ServiceFaults, RunFailure) {
        let mut state = self.state();
        let faults = state.faults;
        if state.generator.random::<f64>() < faults.probability {
            return (faults, faults.failure);
        }
        (faults, RunFailure::None)
    }

    async fn read_run(&self, id: &str) -> ServerResult {
        let faults = self.state().faults;
        sleep(Duration::from_millis(faults.delay_ms)).await;
        let run = id.parse().ok();
        let body = run.and_then(|run| self.state().runs.get(&run).cloned());
        match (run, body) {
            (Some(run), Some(body)) => Ok(run_answer(StatusCode::OK, run, &body, &faults)),
            _ => Ok(text_answer(StatusCode::NOT_FOUND, "no such run\n")),
        }
    }

    fn set_faults(&self, request: &ServerRequest) -> Answer {
        match request.json() {
            Ok(faults) => {
                self.state().faults = faults;
                json_answer(StatusCode::OK, &json!({"ok": true}))
            }
            Err(answer) => *answer,
        }
    }
}

impl ServiceState {
    /// Counts and stores a run, and returns its identifier.
    fn record_run(&mut self, key: &str, body: &Value) -> u64 {
        self.counts.runs += 1;
        if !key.is_empty() {
            *self.counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(order) = body["order"].as_str() {
            *self.counts.by_order.entry(order.to_owned()).or_default() += 1;
        }
        self.runs.insert(self.counts.runs, body.clone());
        self.counts.runs
    }
}

fn run_answer(status: StatusCode, run: u64, body: &Value, faults: &ServiceFaults) -> Answer {
    let mut answer = json!({"run": run, "order": body["order"]});
    if faults.answer_bytes > 0 {
        answer["padding"] = Value::String("x".repeat(faults.answer_bytes));
    }
    json_answer(status, &answer)
}

impl RequestHandler for ServiceHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResult {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/runs") => self.create_run(&request).await,
            (&Method::POST, "/admin/faults") => Ok(self.set_faults(&request)),
            (&Method::GET, "/admin/counts") => {
                Ok(json_answer(StatusCode::OK, &self.state().counts))
            }
            (&Method::GET, "/healthz") => Ok(text_answer(StatusCode::OK, "ok\n")),
            (&Method::GET, path) => match path.strip_prefix("/runs/") {
                Some(id) => self.read_run(id).await,
                None => Ok(text_answer(StatusCode::NOT_FOUND, "not found\n")),
            },
            _ => Ok(text_answer(StatusCode::NOT_FOUND, "not found\n")),
        }
    }
}
