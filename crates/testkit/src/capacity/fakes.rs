//! Agents and peer entries that speak the link protocol and count bytes.

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

/// Service of the fake agents.
pub const SERVICE: &str = "lookups";
const ANSWER: &[u8] = b"found";
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes on the links of all fakes.
#[derive(Debug, Default)]
pub struct LinkBytes {
    /// From the entry.
    pub received: AtomicU64,
    /// To the entry.
    pub sent: AtomicU64,
}

impl LinkBytes {
    /// Returns received and sent bytes.
    pub fn read(&self) -> (f64, f64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64;
        (read(&self.received), read(&self.sent))
    }
}

/// What a fake is and reports.
#[derive(Clone, Copy, Debug)]
pub enum FakeRole {
    /// Agent that reports the cost of some request kinds.
    Agent {
        /// Number of kinds.
        kinds: usize,
    },
    /// Peer entry that reports teams with requests in flight.
    Peer {
        /// Number of teams.
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

/// Fake process that stops when it is dropped.
#[derive(Debug)]
pub struct FakeProcess {
    /// Entry of the instance list.
    pub listing: ListedInstance,
    _task: AbortOnDropHandle<()>,
}

impl FakeProcess {
    /// Starts a fake on a free loopback port. Names of peers sort after those of entries, which
    /// therefore open the links.
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
        let task = tokio::spawn(accept(listener, role, hello, bytes));
        Ok(Self {
            listing,
            _task: AbortOnDropHandle::new(task),
        })
    }
}

async fn accept(listener: TcpListener, role: FakeRole, hello: Hello, bytes: Arc<LinkBytes>) {
    // One link at a time is enough: one entry calls, and it calls again only after a break.
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
                    self.answer(&mut buffer).await?;
                }
            }
        }
    }

    async fn answer(&mut self, buffer: &mut BytesMut) -> io::Result<()> {
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
