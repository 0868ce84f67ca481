//! Connection of a link: the handshake (an exchange of `Hello`), a bounded queue of messages to the
//! writer task, and the reader.

use {
    super::{LinkError, LinkStep, Result},
    crate::constants::{LINK_IDLE_TIMEOUT, LINK_OPEN_TIMEOUT, LINK_QUEUE_LENGTH},
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

/// Sending half of a link. Clones share the queue to the writer task. When all clones are dropped,
/// the writer sends what is queued and closes its direction of the connection.
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

    /// Queues a message; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed.
    pub async fn send(&self, message: Message) -> Result<()> {
        let sent = self.queue.send(message).await;
        sent.map_err(|_| self.error("link is closed"))
    }

    /// Queues a message without waiting.
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

    /// Returns whether the writer has stopped, after which no message can be sent.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Waits until the writer has stopped, after which no message can be sent.
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

/// Link after its handshake: the peer's `Hello`, the sending half and the reader.
#[derive(Debug)]
pub struct LinkConnection {
    /// `Hello` of the peer, which was its first frame.
    pub hello: Hello,
    /// Sending half, which can be cloned.
    pub sender: LinkSender,
    peer: SocketAddr,
    stream: SplitStream<FrameStream>,
}

impl LinkConnection {
    /// Receives the next message; returns `None` after the peer has closed the link cleanly,
    /// between two frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, if a frame is malformed, or if no frame arrives within
    /// [`LINK_IDLE_TIMEOUT`].
    pub async fn receive(&mut self) -> Result<Option<Message>> {
        let fail = |fault: String| {
            Report::new(LinkError {
                step: LinkStep::Receive,
                peer: self.peer,
                fault,
            })
        };
        match timeout(LINK_IDLE_TIMEOUT, self.stream.next()).await {
            Err(_) => Err(fail("no frame within the idle timeout".to_owned())),
            Ok(None) => Ok(None),
            Ok(Some(Err(error))) => Err(fail(error.to_string())),
            Ok(Some(Ok(message))) => Ok(Some(message)),
        }
    }

    /// Drops this sending half and discards received messages until the peer closes the link. Once
    /// all clones of the sender are dropped too, the writer sends what is queued and closes its
    /// direction, so that no frame is lost when the process ends afterwards.
    pub async fn finish(self) {
        let Self {
            sender, mut stream, ..
        } = self;
        drop(sender);
        while let Some(Ok(_)) = stream.next().await {}
    }
}

/// Connects to a peer and completes the handshake.
///
/// # Errors
///
/// Fails if the peer cannot be reached within [`LINK_OPEN_TIMEOUT`], or if it does not send a
/// `Hello` with the same protocol version within [`LINK_OPEN_TIMEOUT`] after that.
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
    handshake(stream, address, hello).await
}

/// Completes the handshake on a connection that a peer has opened.
///
/// # Errors
///
/// Fails if the peer does not send a `Hello` with the same protocol version within
/// [`LINK_OPEN_TIMEOUT`].
pub async fn accept_link(
    stream: TcpStream,
    peer: SocketAddr,
    hello: Hello,
) -> Result<LinkConnection> {
    handshake(stream, peer, hello).await
}

async fn handshake(stream: TcpStream, peer: SocketAddr, hello: Hello) -> Result<LinkConnection> {
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
                "peer has protocol version {}",
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

/// Writes queued messages to the connection and flushes only when the queue is empty, so that a
/// burst of tokens is written with one system call. Stops at the first failed write.
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
