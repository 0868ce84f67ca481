//! HTTP/1.1 connections to targets, called channels, and the pool of idle ones.
//!
//! A channel carries one request at a time. Dropping it closes the connection, which cancels the
//! request that is in flight on it.

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

/// Time to open a channel. Targets are at most a few milliseconds away. The kernel retransmits a
/// lost SYN packet only after a second, so another target is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Largest head of a response, in bytes. [`HeadAllowance`] limits interim responses and the
/// beginning of a body.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Largest number of header lines in a response.
const MAX_HEAD_LINES: usize = 128;

/// Largest number of idle channels in the pool for each target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// HTTP/1.1 connection to a target. Dropping it closes the connection immediately.
#[derive(Debug)]
pub struct TargetChannel {
    sender: SendRequest<Full<Bytes>>,
    connection: JoinHandle<()>,
    allowance: HeadAllowance,
    /// Whether the channel has been used for a request before.
    pub is_used: bool,
}

impl Drop for TargetChannel {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Failure to send a request or to receive the head of its response.
#[derive(Debug)]
pub struct ChannelError {
    /// Whether a part of the request may have been sent.
    pub may_have_left: bool,
    /// Description of the failure, for logs.
    pub fault: String,
}

impl TargetChannel {
    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept the connection in time or a socket option cannot be set.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let allowance = HeadAllowance::default();
        let stream = HeadGuard::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .max_headers(MAX_HEAD_LINES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let connection = tokio::task::spawn_local(async move {
            // The request that is in flight on a connection gets the connection's error too.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            connection,
            allowance,
            is_used: false,
        })
    }

    /// Returns whether the connection is not known to be closed. The target may have closed it
    /// without this side having noticed yet.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the head exceeds its limits; the error says whether a part
    /// of the request may have been sent.
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

/// Describes a failed exchange by its underlying cause, because the text of a [`hyper::Error`] only
/// names the step that failed.
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

/// Pool of idle channels by target.
#[derive(Debug, Default)]
pub struct ChannelPool {
    idle: RefCell<SecondaryMap<TargetKey, VecDeque<IdleChannel>>>,
}

impl ChannelPool {
    /// Takes an idle channel to a target; `None` if there is none that was idle for less than
    /// `longest_idle` and its own limit. Takes the most recently used one, so that the others can
    /// reach their idle limit and be closed.
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

    /// Adds a channel whose last response has been read to its end. If the target then has more
    /// than `max_idle` idle channels, the one that was idle the longest is closed. `announced` is
    /// the idle timeout that the target has announced.
    pub fn put(
        &self,
        key: TargetKey,
        channel: TargetChannel,
        announced: Option<Duration>,
        max_idle: usize,
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
        if channels.len() > max_idle.min(MAX_IDLE_PER_TARGET) {
            channels.pop_front();
        }
    }

    /// Closes all idle channels of a target.
    pub fn close(&self, key: TargetKey) {
        self.idle.borrow_mut().remove(key);
    }
}
