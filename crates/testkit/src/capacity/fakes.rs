//! Fake agents and peer entries that speak the link protocol and count the bytes on their links.

use {
    super::frames::{agent_report, peer_report},
    crate::platform::{
        ListedInstance,
        instances::{ListedRole, ListedState},
    },
    bytes::{Bytes, BytesMut},
    sassafrasslip_proto::{
        FrameCodec, PROTOCOL_VERSION,
        link::{
            AnswerChunk, AnswerEnd, AnswerHead, Dispatch, Hello, ProcessRole, ServiceFacts,
            ServiceKind, TargetLoad, link_frame::Message,
        },
    },
    std::{
        io,
        net::Ipv4Addr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{MissedTickBehavior, interval},
    },
    tokio_util::{
        codec::{Decoder, Encoder},
        task::AbortOnDropHandle,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Name of the service that the fake agents serve.
pub const SERVICE: &str = "lookups";
const ANSWER: &[u8] = b"found";
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Totals of the bytes on the links of all fakes.
#[derive(Debug, Default)]
pub struct LinkBytes {
    /// Bytes received from the entry.
    pub received: AtomicU64,
    /// Bytes sent to the entry.
    pub sent: AtomicU64,
}

impl LinkBytes {
    /// Returns the received and the sent bytes, in this order.
    pub fn read(&self) -> (f64, f64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64;
        (read(&self.received), read(&self.sent))
    }
}

/// Kind of process that a fake stands for, and the size of its reports.
#[derive(Clone, Copy, Debug)]
pub enum FakeRole {
    /// Agent that reports the cost of each request kind.
    Agent {
        /// Number of request kinds in a report.
        kinds: usize,
    },
    /// Peer entry that reports the requests in flight of each team.
    Peer {
        /// Number of teams in a report.
        teams: usize,
    },
}

impl FakeRole {
    fn report(self) -> Message {
        match self {
            Self::Agent { kinds } => agent_report(kinds),
            Self::Peer { teams } => peer_report(teams, 32),
        }
    }

    fn hello(self, name: &str) -> Hello {
        let facts = ServiceFacts {
            service: SERVICE.to_owned(),
            kind: ServiceKind::Plain.into(),
            concurrency: 32,
            idempotent_methods: vec!["GET".to_owned()],
            ..ServiceFacts::default()
        };
        let (role, service) = match self {
            Self::Agent { .. } => (ProcessRole::Agent, Some(facts)),
            Self::Peer { .. } => (ProcessRole::Entry, None),
        };
        Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: name.to_owned(),
            incarnation: 1,
            availability_zone: "ruwi".to_owned(),
            region: "region-1".to_owned(),
            role: role.into(),
            service,
            ..Hello::default()
        }
    }
}

/// Fake process; dropping it closes its port and its link.
#[derive(Debug)]
pub struct FakeProcess {
    /// Row of the instance list that announces the fake.
    pub listing: ListedInstance,
    _task: AbortOnDropHandle<()>,
}

impl FakeProcess {
    /// Starts a fake on a free loopback port. Its instance name is made from the role and
    /// `number`, which must be unique. Of two entries, the one whose name sorts first opens the
    /// link; the names of fake peers sort last, so the entry under test opens the links.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(role: FakeRole, number: usize, bytes: Arc<LinkBytes>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (listed_role, service, name) = match role {
            FakeRole::Agent { .. } => (ListedRole::Target, Some(SERVICE), "agent"),
            FakeRole::Peer { .. } => (ListedRole::Entry, None, "zz-peer"),
        };
        let listing = ListedInstance {
            instance: format!("{name}-{number:04}"),
            role: listed_role,
            availability_zone: "ruwi".to_owned(),
            region: "region-1".to_owned(),
            service: service.map(str::to_owned),
            group: None,
            link_address: listener.local_addr()?,
            state: ListedState::Live,
        };
        let hello = role.hello(&listing.instance);
        let task = tokio::spawn(accept_links(listener, role, hello, bytes));
        Ok(Self {
            listing,
            _task: AbortOnDropHandle::new(task),
        })
    }
}

async fn accept_links(listener: TcpListener, role: FakeRole, hello: Hello, bytes: Arc<LinkBytes>) {
    // One link at a time is enough: only one entry connects, and only after its last link closed.
    while let Ok((stream, _)) = listener.accept().await {
        let link = FakeLink {
            stream,
            codec: FrameCodec::new(),
            bytes: Arc::clone(&bytes),
        };
        let _ = link.serve(role, hello.clone()).await;
    }
}

struct FakeLink {
    stream: TcpStream,
    codec: FrameCodec,
    bytes: Arc<LinkBytes>,
}

impl FakeLink {
    async fn serve(mut self, role: FakeRole, hello: Hello) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.send(vec![Message::Hello(hello)]).await?;
        let mut buffer = BytesMut::new();
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send(vec![role.report()]).await?,
                read = self.stream.read_buf(&mut buffer) => {
                    let read = read?;
                    if read == 0 {
                        return Ok(());
                    }
                    self.bytes.received.fetch_add(read as u64, Ordering::Relaxed);
                    self.answer_dispatches(&mut buffer).await?;
                }
            }
        }
    }

    async fn answer_dispatches(&mut self, buffer: &mut BytesMut) -> io::Result<()> {
        while let Ok(Some(message)) = self.codec.decode(buffer) {
            if let Message::Dispatch(dispatch) = message {
                self.send(answer_messages(&dispatch)).await?;
            }
        }
        Ok(())
    }

    async fn send(&mut self, messages: Vec<Message>) -> io::Result<()> {
        let mut buffer = BytesMut::new();
        for message in messages {
            let encoded = self.codec.encode(message, &mut buffer);
            encoded.map_err(|error| io::Error::other(error.to_string()))?;
        }
        self.bytes
            .sent
            .fetch_add(buffer.len() as u64, Ordering::Relaxed);
        self.stream.write_all(&buffer).await
    }
}

fn answer_messages(dispatch: &Dispatch) -> Vec<Message> {
    let (request_id, attempt) = (dispatch.request_id, dispatch.attempt);
    let load = TargetLoad {
        in_flight: 0,
        concurrency: 32,
        draining: false,
    };
    vec![
        Message::AnswerHead(AnswerHead {
            request_id,
            status: 200,
            headers: Vec::new(),
            attempt,
        }),
        Message::AnswerChunk(AnswerChunk {
            request_id,
            payload: Bytes::from_static(ANSWER),
            attempt,
            ..AnswerChunk::default()
        }),
        Message::AnswerEnd(AnswerEnd {
            request_id,
            chunks: 1,
            payload_length: ANSWER.len() as u64,
            checksum: xxh3_64(ANSWER),
            replayed: false,
            load: Some(load),
            attempt,
        }),
    ]
}
