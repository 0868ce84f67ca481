//! In-memory platform, engines that run their steps together, and agents that handle only map
//! orders.

use {
    bytes::Bytes,
    error_stack::Report,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    sassafrasslip_daemon::{
        agent::orders::OrderParticipant,
        link::accept_link,
        platform::{
            InstanceList, ListedInstance, ObjectStore, PlatformError, PlatformFuture, PlatformStep,
            Result, TableItem, TableOutcome, TableRead, TableScan, TableService, TableTransaction,
        },
    },
    sassafrasslip_proto::link::{Hello, ServiceFacts, link_frame::Message},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        time::{Instant, sleep},
    },
};

pub(crate) const SERVERS: usize = 2;
pub(crate) const RANKS_PER_SERVER: usize = 4;
const LAYERS: usize = 2;
const EXPERTS: usize = 16;

/// Table, object store and instance list in memory; all calls fail while `down` is set.
pub(crate) struct MemoryPlatform {
    pub(crate) down: AtomicBool,
    started: Instant,
    items: Mutex<BTreeMap<String, (u64, String)>>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    pub(crate) instances: Mutex<Vec<ListedInstance>>,
}

impl MemoryPlatform {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            down: AtomicBool::new(false),
            started: Instant::now(),
            items: Mutex::default(),
            objects: Mutex::default(),
            instances: Mutex::default(),
        })
    }

    pub(crate) fn item(&self, key: &str) -> (u64, Option<String>) {
        let items = self.items.lock().unwrap();
        let item = items.get(key).cloned();
        item.map_or((0, None), |(version, value)| (version, Some(value)))
    }

    pub(crate) fn set_item(&self, key: &str, value: &Value) {
        let mut items = self.items.lock().unwrap();
        let version = items.len() as u64 + 1;
        items.insert(key.to_owned(), (version, value.to_string()));
    }

    fn answer<T: Send + 'static>(&self, answer: impl FnOnce() -> T) -> PlatformFuture<'_, T> {
        let down = self.down.load(Ordering::SeqCst);
        let answer: Result<T> = if down {
            Err(Report::new(PlatformError {
                step: PlatformStep::Refused,
                peer: SocketAddr::from(([127, 0, 0, 1], 1)),
                fault: "down".to_owned(),
            }))
        } else {
            Ok(answer())
        };
        Box::pin(async move { answer })
    }

    fn time_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }
}

impl TableService for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead> {
        self.answer(|| {
            let (version, value) = self.item(key);
            let key = key.to_owned();
            TableRead {
                item: TableItem {
                    key,
                    version,
                    value,
                },
                time_ms: self.time_ms(),
            }
        })
    }

    fn scan<'a>(&'a self, _: &'a str, _: &'a str, _: usize) -> PlatformFuture<'a, TableScan> {
        self.answer(|| TableScan {
            items: Vec::new(),
            more: false,
            time_ms: self.time_ms(),
        })
    }

    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome> {
        self.answer(|| {
            let time_ms = self.time_ms();
            let mut conditions = transaction.conditions.iter();
            if conditions.any(|condition| self.item(&condition.key).0 != condition.version) {
                let conflicts = Vec::new();
                return TableOutcome::Conflict { conflicts, time_ms };
            }
            let mut items = self.items.lock().unwrap();
            let version = items.values().map(|item| item.0).max().unwrap_or(0) + 1;
            for write in transaction.writes {
                items.insert(write.key, (version, write.value.unwrap_or_default()));
            }
            TableOutcome::Committed { version, time_ms }
        })
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        self.answer(|| self.objects.lock().unwrap().get(key).cloned())
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes) -> PlatformFuture<'a, ()> {
        self.answer(|| drop(self.objects.lock().unwrap().insert(key.to_owned(), value)))
    }
}

impl InstanceList for MemoryPlatform {
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        self.answer(|| self.instances.lock().unwrap().clone())
    }
}

/// State of the engine of one server; it does not check fencing tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeEngine {
    pub(crate) state: &'static str,
    pub(crate) change_id: u64,
    /// Step at which an armed change blocks the group and a committed one takes effect.
    pub(crate) gate_step: u64,
    pub(crate) map_version: u64,
    pub(crate) orders: usize,
}

/// Engines of a group, which run one step every 2 ms.
#[derive(Debug, Default)]
pub(crate) struct FakeGroup {
    pub(crate) step: u64,
    /// Number of steps in which the engines used different map versions.
    pub(crate) mixed_steps: u64,
    pub(crate) engines: Vec<FakeEngine>,
}

impl FakeGroup {
    pub(crate) fn start() -> Arc<Mutex<Self>> {
        let engine = FakeEngine {
            state: "stepping",
            map_version: 1,
            ..FakeEngine::default()
        };
        let group = Arc::new(Mutex::new(Self {
            engines: vec![engine; SERVERS],
            ..Self::default()
        }));
        let stepping = group.clone();
        tokio::spawn(async move {
            loop {
                stepping.lock().unwrap().run_step();
                sleep(Duration::from_millis(2)).await;
            }
        });
        group
    }

    /// Runs one step, unless an engine with an armed change has reached its gate step.
    fn run_step(&mut self) {
        let step = self.step;
        let blocked = |engine: &FakeEngine| engine.state == "armed" && step >= engine.gate_step;
        if self.engines.iter().any(blocked) {
            return;
        }
        for engine in &mut self.engines {
            if engine.state == "committed" && step >= engine.gate_step {
                engine.state = "stepping";
                engine.map_version = engine.change_id;
            }
        }
        let first = self.engines[0].map_version;
        let mixed = self
            .engines
            .iter()
            .any(|engine| engine.map_version != first);
        self.mixed_steps += u64::from(mixed);
        self.step += 1;
    }

    /// Handles an order to the engine of one server and returns the body of the reply.
    fn handle_order(&mut self, server: usize, body: &Value) -> Value {
        let step = self.step;
        let engine = &mut self.engines[server];
        engine.orders += 1;
        let change_id = body["change"].as_u64().unwrap_or_default();
        let same_change = engine.change_id == change_id;
        let accepted = match (body["order"].as_str().unwrap_or_default(), engine.state) {
            ("query", _) => true,
            ("prepare", "stepping") => {
                engine.change_id = change_id;
                engine.state = "prepared";
                true
            }
            ("arm", "prepared") if same_change && body["gate_step"].as_u64() > Some(step) => {
                engine.gate_step = body["gate_step"].as_u64().unwrap_or_default();
                engine.state = "armed";
                true
            }
            ("commit", "armed") if same_change => {
                engine.state = "committed";
                true
            }
            ("abort", "armed" | "prepared" | "stepping") => {
                engine.state = "stepping";
                true
            }
            _ => false,
        };
        json!({
            "accepted": accepted,
            "state": engine.state,
            "map_version": engine.map_version,
            "step": step,
            "fencing": 0,
            "change": engine.change_id,
        })
    }

    /// Returns the load report of one server; in every layer the first experts get the most tokens.
    fn load_report(&self, server: usize) -> Value {
        let tokens = |expert: usize| self.step * 64 / (expert as u64 / 4 + 1);
        let layer: Vec<u64> = (0..EXPERTS).map(tokens).collect();
        let table = vec![layer; LAYERS];
        json!({
            "map_version": self.engines[server].map_version,
            "step_us": 2_000,
            "rank_step_us": vec![2_000; RANKS_PER_SERVER],
            "expert_tokens": table,
            "kind_expert_tokens": {"captions": table},
            "kind_tokens": {"captions": self.step * 64},
        })
    }
}

/// Starts the HTTP interface of one server of the group.
pub(crate) async fn serve_engine(group: Arc<Mutex<FakeGroup>>, server: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let group = group.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let group = group.clone();
                async move {
                    let is_load = request.uri().path() == "/v1/load";
                    let body = request.into_body().collect().await.unwrap().to_bytes();
                    let mut group = group.lock().unwrap();
                    let answer = if is_load {
                        group.load_report(server)
                    } else {
                        group.handle_order(server, &serde_json::from_slice(&body).unwrap())
                    };
                    let answer = Full::new(Bytes::from(answer.to_string()));
                    Ok::<_, Infallible>(Response::new(answer))
                }
            });
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Returns the hello of the agent of one server.
pub(crate) fn hello(server: usize) -> Hello {
    Hello {
        protocol_version: sassafrasslip_proto::PROTOCOL_VERSION,
        instance: format!("target-{server}"),
        service: Some(ServiceFacts {
            group: "drafting".to_owned(),
            first_rank: (server * RANKS_PER_SERVER) as u32,
            ranks: RANKS_PER_SERVER as u32,
            ..ServiceFacts::default()
        }),
        ..Hello::default()
    }
}

/// Starts an agent that handles only map orders, and returns its link address.
pub(crate) async fn serve_agent(server: usize, orders: OrderParticipant) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let orders = orders.clone();
            tokio::spawn(async move {
                let Ok(mut link) = accept_link(stream, peer, hello(server)).await else {
                    return;
                };
                while let Ok(Some(message)) = link.receive().await {
                    if let Message::MapOrder(order) = message {
                        let reply = orders.handle(order).await;
                        let _ = link.sender.send(Message::MapReply(reply)).await;
                    }
                }
            });
        }
    });
    address
}
