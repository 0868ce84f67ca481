//! Entry with fake agents on the loopback interface, and an instance list, a table and an object
//! store in memory.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use {
    bytes::Bytes,
    error_stack::Report,
    sassafrasslip_core::configuration::{ConfigurationSnapshot, ConfigurationView},
    sassafrasslip_daemon::{
        entry::{
            self,
            context::{ContextParts, EntryContext, EntryIdentity},
            fleet::ViewSender,
            listeners::EntryListeners,
            metrics::EntryMetrics,
        },
        link::{LinkSender, accept_link},
        options::EntryOptions,
        platform::{
            InstanceList, ListedInstance, ListedRole, ListedState, ObjectStore, PlatformError,
            PlatformFuture, PlatformStep, TableItem, TableOutcome, TableRead, TableScan,
            TableService, TableTransaction,
        },
        telemetry::MetricsRegistry,
    },
    sassafrasslip_proto::{
        PROTOCOL_VERSION,
        link::{
            self, AgentReport, AnswerChunk, AnswerEnd, AnswerHead, Dispatch, Hello, ServiceFacts,
            link_frame::Message,
        },
    },
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    xxhash_rust::xxh3::xxh3_64,
};

/// Longest time for which a test waits for one condition or reply.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Runs a test on a runtime of its own; panics after three times [`WAIT_LIMIT`].
pub fn run_test(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async { timeout(3 * WAIT_LIMIT, test).await.expect("test timed out") });
    runtime.shutdown_background();
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[derive(Default)]
pub struct FakeInstanceList {
    pub instances: Mutex<Vec<ListedInstance>>,
}

impl InstanceList for FakeInstanceList {
    fn list(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        let instances = self.instances.lock().unwrap().clone();
        Box::pin(async move { Ok(instances) })
    }
}

/// How the table answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TableMode {
    #[default]
    Works,
    /// Reads and writes fail and take no effect.
    Down,
    /// Writes take effect, but their answers are lost.
    LosesAnswers,
    /// Writes are lost before they take effect; the entry cannot tell this from a lost answer.
    LosesWrites,
}

/// Table and object store in memory; the entry cannot write objects.
#[derive(Default)]
pub struct FakeTable {
    pub items: Mutex<HashMap<String, TableItem>>,
    pub mode: Mutex<TableMode>,
    pub objects: Mutex<HashMap<String, Bytes>>,
    version: AtomicU64,
}

impl ObjectStore for FakeTable {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        let object = self.objects.lock().unwrap().get(key).cloned();
        Box::pin(async move { Ok(object) })
    }

    fn put<'a>(&'a self, _: &'a str, _: Bytes) -> PlatformFuture<'a, ()> {
        Box::pin(async { Err(platform_error(PlatformStep::Refused)) })
    }
}

impl FakeTable {
    fn apply(&self, transaction: &TableTransaction) -> TableOutcome {
        let mut items = self.items.lock().unwrap();
        let current = |items: &HashMap<String, TableItem>, key: &str| {
            let absent = TableItem {
                key: key.to_owned(),
                ..TableItem::default()
            };
            items.get(key).cloned().unwrap_or(absent)
        };
        let conditions = transaction.conditions.iter();
        let conditions = conditions.map(|condition| (condition, current(&items, &condition.key)));
        let failed = conditions.filter(|(condition, item)| condition.version != item.version);
        let conflicts: Vec<_> = failed.map(|(_, item)| item).collect();
        if !conflicts.is_empty() {
            return TableOutcome::Conflict {
                conflicts,
                time_ms: 0,
            };
        }
        // Each write gets a new version, above those of the items that tests insert themselves.
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 100;
        for write in &transaction.writes {
            let item = TableItem {
                key: write.key.clone(),
                version,
                value: write.value.clone(),
            };
            items.insert(write.key.clone(), item);
        }
        TableOutcome::Committed {
            version,
            time_ms: 0,
        }
    }
}

fn platform_error(step: PlatformStep) -> Report<PlatformError> {
    Report::new(PlatformError {
        step,
        peer: loopback(),
        fault: "injected by the test".to_owned(),
    })
}

impl TableService for FakeTable {
    fn read<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, TableRead> {
        Box::pin(async move {
            if *self.mode.lock().unwrap() == TableMode::Down {
                return Err(platform_error(PlatformStep::Connect));
            }
            let item = self.items.lock().unwrap().get(key).cloned();
            let item = item.unwrap_or_default();
            Ok(TableRead { item, time_ms: 0 })
        })
    }

    fn scan<'a>(&'a self, _: &'a str, _: &'a str, _: usize) -> PlatformFuture<'a, TableScan> {
        Box::pin(async { Err(platform_error(PlatformStep::Refused)) })
    }

    fn transact(&self, transaction: TableTransaction) -> PlatformFuture<'_, TableOutcome> {
        Box::pin(async move {
            let mode = *self.mode.lock().unwrap();
            match mode {
                TableMode::Down => Err(platform_error(PlatformStep::Connect)),
                TableMode::LosesAnswers => {
                    self.apply(&transaction);
                    Err(platform_error(PlatformStep::AwaitAnswer))
                }
                TableMode::LosesWrites => Err(platform_error(PlatformStep::AwaitAnswer)),
                TableMode::Works => Ok(self.apply(&transaction)),
            }
        })
    }
}

/// Running entry, and the fakes and channels by which a test controls it.
pub struct TestEntry {
    pub context: Arc<EntryContext>,
    pub caller_address: SocketAddr,
    pub link_address: SocketAddr,
    pub list: Arc<FakeInstanceList>,
    pub table: Arc<FakeTable>,
    pub view: ViewSender,
    /// Snapshots that arrived from peers.
    pub requested_snapshots: mpsc::Receiver<ConfigurationSnapshot>,
}

impl TestEntry {
    pub async fn start(name: &str, listed: Vec<ListedInstance>) -> Self {
        Self::start_on(name, listed, None).await
    }

    /// Starts an entry; `platform` replaces the fake table and object store.
    pub async fn start_on(
        name: &str,
        listed: Vec<ListedInstance>,
        platform: Option<(Arc<dyn TableService>, Arc<dyn ObjectStore>)>,
    ) -> Self {
        let options = EntryOptions {
            caller_address: loopback(),
            operator_address: loopback(),
            link_address: loopback(),
        };
        let listeners = EntryListeners::bind(&options).await.unwrap();
        let caller_address = listeners.callers.local_addr().unwrap();
        let link_address = listeners.links.local_addr().unwrap();
        let list = Arc::new(FakeInstanceList::default());
        *list.instances.lock().unwrap() = listed;
        let table = Arc::new(FakeTable::default());
        let fake_platform: (Arc<dyn TableService>, Arc<dyn ObjectStore>) =
            (table.clone(), table.clone());
        let (tables, objects) = platform.unwrap_or(fake_platform);
        let initial = ConfigurationView {
            lease_live: true,
            ..ConfigurationView::default()
        };
        let (view, receiver) = watch::channel(Arc::new(initial));
        let (sender, requested_snapshots) = mpsc::channel(8);
        let context = EntryContext::new(ContextParts {
            identity: EntryIdentity {
                instance: name.parse().unwrap(),
                availability_zone: "ruwi".parse().unwrap(),
                region: "muscat".parse().unwrap(),
                incarnation: 7,
            },
            view: receiver,
            table: tables,
            objects,
            metrics: EntryMetrics::register(&MetricsRegistry::default()),
            snapshots: sender,
            draining: CancellationToken::new(),
            work: TaskTracker::new(),
        });
        let notice = Duration::from_millis(50);
        let (caller_listener, link_listener) = (listeners.callers, listeners.links);
        let list_service = Arc::clone(&list) as _;
        entry::start(
            &context,
            caller_listener,
            link_listener,
            list_service,
            notice,
        );
        Self {
            context,
            caller_address,
            link_address,
            list,
            table,
            view,
            requested_snapshots,
        }
    }

    /// Starts an entry whose instance list names these agents, and waits until their links are
    /// open.
    pub async fn with_agents(agents: &[&FakeAgent]) -> Self {
        let listed = agents.iter().map(|agent| agent.listing()).collect();
        let entry = Self::start("e1", listed).await;
        let linked = || entry.context.state().links.len() == agents.len();
        wait_until("all links are open", linked).await;
        entry
    }

    /// Sends a request, which has to ask for `Connection: close`, and returns the whole answer.
    pub async fn call(&self, request: &str) -> Reply {
        let stream = self.send(request).await;
        read_reply(stream).await
    }

    /// Sends a request and returns the connection without reading the answer.
    pub async fn send(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.caller_address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

/// Waits until a condition holds; panics with the description after [`WAIT_LIMIT`].
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out: {description}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Answer as read from the connection; a chunked body keeps its chunk framing.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub elapsed: Duration,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the `reason` of a refusal, or an empty string.
    pub fn reason(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["reason"].as_str().unwrap_or_default().to_owned()
    }
}

/// Reads an answer until the entry closes the connection. A broken answer is returned as far as it
/// was received.
pub async fn read_reply(mut stream: TcpStream) -> Reply {
    let start = Instant::now();
    let mut bytes = Vec::new();
    let _ = timeout(WAIT_LIMIT, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection was not closed in time");
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Reply {
        status: status.unwrap_or_default(),
        head: head.to_owned(),
        body: body.to_owned(),
        elapsed: start.elapsed(),
    }
}

/// Returns the text of an HTTP request with `Connection: close` and extra header lines.
pub fn request(method: &str, path: &str, headers: &[&str], body: &str) -> String {
    let mut lines = vec![
        format!("{method} {path} HTTP/1.1"),
        "Host: entry".to_owned(),
        "Connection: close".to_owned(),
        format!("Content-Length: {}", body.len()),
    ];
    lines.extend(headers.iter().map(|line| (*line).to_owned()));
    format!("{}\r\n\r\n{body}", lines.join("\r\n"))
}

/// Header line that names the team of the caller.
pub const TEAM: &str = "Sassafrasslip-Team: shop";
/// Header line that asks for a streamed answer.
pub const STREAM: &str = "Accept: application/x-ndjson";

/// Returns the text of a request for three tokens of the model service.
pub fn generate_request(headers: &[&str]) -> String {
    let path = "/services/drafting/v1/generate";
    request("POST", path, headers, r#"{"prompt":"a","max_tokens":3}"#)
}

/// Function that a fake agent calls with each dispatch and the link on which to answer.
pub type Script = Arc<dyn Fn(Dispatch, LinkSender) + Send + Sync>;

/// Agent on the loopback interface that handles each dispatch by a script.
pub struct FakeAgent {
    pub name: String,
    pub facts: ServiceFacts,
    pub address: SocketAddr,
    pub state: Arc<AgentState>,
}

/// State that the links of a fake agent share with the test.
#[derive(Default)]
pub struct AgentState {
    pub dispatches: Mutex<Vec<Dispatch>>,
    /// All messages received except dispatches.
    pub messages: Mutex<Vec<Message>>,
    /// Report that is sent on each link every 200 ms.
    pub report: Mutex<AgentReport>,
    /// Closes the listener and all links.
    pub close: CancellationToken,
}

impl FakeAgent {
    pub async fn model(name: &str, script: Script) -> Self {
        Self::start(name, "drafting", link::ServiceKind::Model, script).await
    }

    pub async fn plain(name: &str, script: Script) -> Self {
        Self::start(name, "orders", link::ServiceKind::Plain, script).await
    }

    pub async fn start(name: &str, service: &str, kind: link::ServiceKind, script: Script) -> Self {
        let facts = ServiceFacts {
            service: service.to_owned(),
            kind: kind.into(),
            concurrency: 4,
            idempotent_methods: vec!["GET".to_owned()],
            ..ServiceFacts::default()
        };
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let agent = Self {
            name: name.to_owned(),
            facts: facts.clone(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(AgentState::default()),
        };
        let state = Arc::clone(&agent.state);
        *state.report.lock().unwrap() = AgentReport {
            load: target_load(0),
            target_healthy: true,
            ..AgentReport::default()
        };
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: name.to_owned(),
            role: link::ProcessRole::Agent.into(),
            service: Some(facts),
            ..Hello::default()
        };
        tokio::spawn(async move {
            while let Some(Ok((stream, peer))) =
                state.close.run_until_cancelled(listener.accept()).await
            {
                let (hello, state, script) = (hello.clone(), Arc::clone(&state), script.clone());
                tokio::spawn(async move {
                    let serving = serve_link(stream, peer, hello, &state, &script);
                    state.close.run_until_cancelled(serving).await;
                });
            }
        });
        agent
    }

    pub fn listing(&self) -> ListedInstance {
        ListedInstance {
            instance: self.name.parse().unwrap(),
            role: ListedRole::Target,
            availability_zone: "ruwi".parse().unwrap(),
            region: "muscat".parse().unwrap(),
            service: Some(self.facts.service.parse().unwrap()),
            group: None,
            link_address: self.address,
            state: ListedState::Live,
        }
    }

    pub fn dispatches(&self) -> Vec<Dispatch> {
        self.state.dispatches.lock().unwrap().clone()
    }

    pub fn was_cancelled(&self) -> bool {
        let messages = self.state.messages.lock().unwrap();
        messages
            .iter()
            .any(|message| matches!(message, Message::Cancel(_)))
    }
}

async fn serve_link(
    stream: TcpStream,
    peer: SocketAddr,
    hello: Hello,
    state: &Arc<AgentState>,
    script: &Script,
) {
    let mut connection = accept_link(stream, peer, hello).await.unwrap();
    let sender = connection.sender.clone();
    let reporting = async {
        loop {
            let report = state.report.lock().unwrap().clone();
            let _ = sender.send(Message::AgentReport(report)).await;
            sleep(Duration::from_millis(200)).await;
        }
    };
    let receiving = async {
        while let Ok(Some(message)) = connection.receive().await {
            if let Message::Dispatch(dispatch) = message {
                state.dispatches.lock().unwrap().push(dispatch.clone());
                script(dispatch, connection.sender.clone());
            } else {
                state.messages.lock().unwrap().push(message);
            }
        }
    };
    tokio::select! {
        () = reporting => {}
        () = receiving => {}
    }
}

pub fn target_load(in_flight: u32) -> Option<link::TargetLoad> {
    Some(link::TargetLoad {
        in_flight,
        concurrency: 4,
        draining: false,
    })
}

pub fn head(dispatch: &Dispatch, status: u32) -> Message {
    Message::AnswerHead(AnswerHead {
        request_id: dispatch.request_id,
        status,
        headers: Vec::new(),
        attempt: dispatch.attempt,
    })
}

pub fn chunk(dispatch: &Dispatch, sequence: u64, token_index: u64, payload: &str) -> Message {
    Message::AnswerChunk(AnswerChunk {
        request_id: dispatch.request_id,
        sequence,
        token_index,
        payload: Bytes::copy_from_slice(payload.as_bytes()),
        attempt: dispatch.attempt,
    })
}

/// Returns the end of an answer whose chunks carry `payload` in total.
pub fn end(dispatch: &Dispatch, chunks: u64, payload: &str) -> Message {
    Message::AnswerEnd(AnswerEnd {
        request_id: dispatch.request_id,
        chunks,
        payload_length: payload.len() as u64,
        checksum: xxh3_64(payload.as_bytes()),
        replayed: false,
        load: target_load(0),
        attempt: dispatch.attempt,
    })
}

/// Returns the line of one token in a model answer.
pub fn token_line(index: u64) -> String {
    format!("{{\"index\":{index},\"token\":\"t{index} \"}}\n")
}

/// Returns the messages of a whole model answer with the tokens `from..to`.
pub fn token_messages(dispatch: &Dispatch, from: u64, to: u64) -> Vec<Message> {
    let mut messages = vec![head(dispatch, 200)];
    let lines: Vec<_> = (from..to).map(token_line).collect();
    for (sequence, line) in (0..).zip(&lines) {
        messages.push(chunk(dispatch, sequence, from + sequence, line));
    }
    messages.push(end(dispatch, to - from, &lines.concat()));
    messages
}

pub fn send_all(sender: &LinkSender, messages: Vec<Message>) {
    for message in messages {
        sender.try_send(message).unwrap();
    }
}

/// Returns a script that answers every model call with tokens up to index 2, from the token at
/// which the dispatch resumes.
pub fn three_tokens() -> Script {
    Arc::new(|dispatch, sender| {
        let messages = token_messages(&dispatch, dispatch.resume_token_index, 3);
        send_all(&sender, messages);
    })
}

/// Returns a script that answers every plain call with status 201 and this body.
pub fn plain_answer(body: &'static str) -> Script {
    Arc::new(move |dispatch, sender| {
        let messages = vec![
            head(&dispatch, 201),
            chunk(&dispatch, 0, 0, body),
            end(&dispatch, 1, body),
        ];
        send_all(&sender, messages);
    })
}
