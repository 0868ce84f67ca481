//! One connection: the exchange of `Hello`, a bounded queue to the writer, and a reader.

use {
    super::{LinkError, LinkStep, Result},
    crate::constants::{LINK_OPEN_TIMEOUT, LINK_QUEUE_LENGTH, LINK_SILENCE_LIMIT},
    error_stack::Report,
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    sassafrasslip_proto::{
        FrameCodec, PROTOCOL_VERSION,
        link::{Hello, link_frame::Message},
    },
    std::net::SocketAddr,
    tokio::{
        net::TcpStream,
        sync::mpsc::{self, Receiver, Sender, error::TrySendError},
        time::timeout,
    },
    tokio_util::codec::Framed,
};

type FrameStream = Framed<TcpStream, FrameCodec>;

/// Sending half of a link. Clones share the queue; the link closes when all are dropped.
#[derive(Clone, Debug)]
pub struct LinkSender {
    peer: SocketAddr,
    queue: Sender<Message>,
}

impl LinkSender {
    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Queues a message and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed.
    pub async fn send(&self, message: Message) -> Result<()> {
        let sent = self.queue.send(message).await;
        sent.map_err(|_| self.error("link is closed"))
    }

    /// Queues a message if there is room.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed or its queue is full.
    pub fn try_send(&self, message: Message) -> Result<()> {
        self.queue.try_send(message).map_err(|error| match error {
            TrySendError::Closed(_) => self.error("link is closed"),
            TrySendError::Full(_) => self.error("queue is full"),
        })
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    fn error(&self, fault: &str) -> Report<LinkError> {
        let (step, peer) = (LinkStep::Send, self.peer);
        Report::new(LinkError {
            step,
            peer,
            fault: fault.to_owned(),
        })
    }
}

/// Open link: the peer's `Hello`, the sending half and the reader.
#[derive(Debug)]
pub struct LinkConnection {
    /// First frame of the peer.
    pub hello: Hello,
    /// Sending half.
    pub sender: LinkSender,
    peer: SocketAddr,
    stream: SplitStream<FrameStream>,
}

impl LinkConnection {
    /// Receives the next message; `None` after the peer has closed the link in good order.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, a frame is malformed, or the peer is silent for longer
    /// than [`LINK_SILENCE_LIMIT`].
    pub async fn receive(&mut self) -> Result<Option<Message>> {
        let fail = |fault: String| {
            Report::new(LinkError {
                step: LinkStep::Receive,
                peer: self.peer,
                fault,
            })
        };
        match timeout(LINK_SILENCE_LIMIT, self.stream.next()).await {
            Err(_) => Err(fail("peer is silent".to_owned())),
            Ok(None) => Ok(None),
            Ok(Some(Err(error))) => Err(fail(error.to_string())),
            Ok(Some(Ok(message))) => Ok(Some(message)),
        }
    }

    /// Drops this sending half and reads until the peer closes the link. Once all clones of the
    /// sender are dropped too, the writer sends what is queued and closes its direction, so that
    /// no frame is lost when the process ends afterwards.
    pub async fn finish(self) {
        let Self {
            sender, mut stream, ..
        } = self;
        drop(sender);
        while let Some(Ok(_)) = stream.next().await {}
    }
}

/// Opens a link to a peer.
///
/// # Errors
///
/// Fails if the peer cannot be reached or does not greet in time with the same protocol version.
pub async fn open_link(address: SocketAddr, hello: Hello) -> Result<LinkConnection> {
    let fail = |fault: String| {
        Report::new(LinkError {
            step: LinkStep::Connect,
            peer: address,
            fault,
        })
    };
    let stream = timeout(LINK_OPEN_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| fail("timed out".to_owned()))?
        .map_err(|error| fail(error.to_string()))?;
    greet(stream, address, hello).await
}

/// Completes a link that a peer has opened.
///
/// # Errors
///
/// Fails if the peer does not greet in time with the same protocol version.
pub async fn accept_link(
    stream: TcpStream,
    peer: SocketAddr,
    hello: Hello,
) -> Result<LinkConnection> {
    greet(stream, peer, hello).await
}

async fn greet(stream: TcpStream, peer: SocketAddr, hello: Hello) -> Result<LinkConnection> {
    let fail = |fault: String| {
        Report::new(LinkError {
            step: LinkStep::Greet,
            peer,
            fault,
        })
    };
    stream
        .set_nodelay(true)
        .map_err(|error| fail(error.to_string()))?;
    let (mut sink, mut stream) = Framed::new(stream, FrameCodec::new()).split();
    let exchange = async {
        sink.send(Message::Hello(hello))
            .await
            .map_err(|error| fail(error.to_string()))?;
        match stream.next().await {
            Some(Ok(Message::Hello(hello))) if hello.protocol_version == PROTOCOL_VERSION => {
                Ok(hello)
            }
            Some(Ok(Message::Hello(hello))) => Err(fail(format!(
                "peer speaks protocol version {}",
                hello.protocol_version
            ))),
            Some(Ok(_)) => Err(fail("first frame is not a Hello".to_owned())),
            Some(Err(error)) => Err(fail(error.to_string())),
            None => Err(fail("peer closed the connection".to_owned())),
        }
    };
    let hello = timeout(LINK_OPEN_TIMEOUT, exchange)
        .await
        .map_err(|_| fail("timed out".to_owned()))??;
    let (queue, messages) = mpsc::channel(LINK_QUEUE_LENGTH);
    tokio::spawn(write_messages(sink, messages));
    Ok(LinkConnection {
        hello,
        sender: LinkSender { peer, queue },
        peer,
        stream,
    })
}

/// Writes queued messages and flushes once the queue is empty, so that a burst of tokens shares
/// one system call.
async fn write_messages(
    mut sink: SplitSink<FrameStream, Message>,
    mut messages: Receiver<Message>,
) {
    while let Some(message) = messages.recv().await {
        if sink.feed(message).await.is_err() {
            return;
        }
        while let Ok(message) = messages.try_recv() {
            if sink.feed(message).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
