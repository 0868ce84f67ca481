//! Channels to targets: opened, kept, and closed at once when their request is cancelled.

use {
    super::head_guard::{HeadAllowance, HeadGuard},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    sassafrasslip_core::dispatch::{TargetKey, channel_plan::idle_limit},
    slotmap::SecondaryMap,
    socket2::SockRef,
    std::{
        cell::RefCell, collections::VecDeque, error::Error, io, net::SocketAddr, result,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// Time to open a channel. Targets are at most a few milliseconds away; a lost opening packet is
/// sent again only after a second, so another target is tried first.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which the system gives up on bytes that the target has not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Largest head of an answer, in bytes and lines. Interim answers and the beginning of a body are
/// bounded by [`HeadAllowance`].
const MOST_BUFFERED_BYTES: usize = 64 * 1024;
const MOST_HEAD_LINES: usize = 128;

/// Idle channels that are kept for each target.
const KEPT_PER_TARGET: usize = 32;

/// Channel to a target. Dropping it closes the connection at once.
#[derive(Debug)]
pub struct TargetChannel {
    sender: SendRequest<Full<Bytes>>,
    connection: JoinHandle<()>,
    allowance: HeadAllowance,
    /// Whether the channel has carried a request before.
    pub is_used: bool,
}

impl Drop for TargetChannel {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// A request that could not be exchanged.
#[derive(Debug)]
pub struct ChannelError {
    /// Whether a byte of the request may have left.
    pub may_have_left: bool,
    /// What went wrong.
    pub fault: String,
}

impl TargetChannel {
    /// Opens a channel.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept it in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let allowance = HeadAllowance::default();
        let stream = HeadGuard::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MOST_BUFFERED_BYTES)
            .max_headers(MOST_HEAD_LINES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let connection = tokio::task::spawn_local(async move {
            // The error of a connection is also given to the request that is in flight on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            connection,
            allowance,
            is_used: false,
        })
    }

    /// Returns whether the connection is open as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the channel breaks; the error tells whether the request may have left.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> result::Result<Response<Incoming>, ChannelError> {
        self.sender.ready().await.map_err(|error| ChannelError {
            may_have_left: false,
            fault: error.to_string(),
        })?;
        self.is_used = true;
        self.allowance.begin();
        let sent = self.sender.try_send_request(request).await;
        self.allowance.end();
        sent.map_err(|mut error| {
            let may_have_left = error.take_message().is_none();
            ChannelError {
                may_have_left,
                fault: describe_exchange(&error.into_error()),
            }
        })
    }
}

/// Describes a failed exchange by its cause, since the error itself only names the step.
pub fn describe_exchange(error: &hyper::Error) -> String {
    let cause = error.source().map(ToString::to_string);
    cause.unwrap_or_else(|| error.to_string())
}

#[derive(Debug)]
struct IdleChannel {
    channel: TargetChannel,
    since: Instant,
    limit: Duration,
}

/// Idle channels, by target.
#[derive(Debug, Default)]
pub struct ChannelPool {
    idle: RefCell<SecondaryMap<TargetKey, VecDeque<IdleChannel>>>,
}

impl ChannelPool {
    /// Takes the channel that was used last, so that the others can reach their idle limit.
    pub fn take(&self, key: TargetKey, longest_idle: Duration) -> Option<TargetChannel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(key)?;
        let now = Instant::now();
        channels.retain(|idle| {
            let limit = idle.limit.min(longest_idle);
            now.saturating_duration_since(idle.since) < limit && !idle.channel.sender.is_closed()
        });
        channels.pop_back().map(|idle| idle.channel)
    }

    /// Keeps a channel whose answer has been read to its end, unless the target has `most` already.
    pub fn put(
        &self,
        key: TargetKey,
        channel: TargetChannel,
        announced: Option<Duration>,
        most: usize,
    ) {
        let mut idle = self.idle.borrow_mut();
        let Some(channels) = idle.entry(key).map(slotmap::secondary::Entry::or_default) else {
            return;
        };
        channels.push_back(IdleChannel {
            channel,
            since: Instant::now(),
            limit: idle_limit(announced),
        });
        if channels.len() > most.min(KEPT_PER_TARGET) {
            channels.pop_front();
        }
    }

    /// Closes the idle channels of a target.
    pub fn close(&self, key: TargetKey) {
        self.idle.borrow_mut().remove(key);
    }
}
