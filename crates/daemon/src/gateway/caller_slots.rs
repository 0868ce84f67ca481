//! Limit on the open connections of callers, with those that are idle giving way to new ones.
//!
//! Load pattern: callers keep more connections open than the gateway may hold, most of them idle. A
//! new caller leaves after a second in which its request is not read, and retries once.

use {
    super::{caller_memory::HeldMemory, metrics::GatewayMetrics},
    hyper::body::{Body, Frame, SizeHint},
    sassafrasslip_core::{events::LogEvent::CallerLimitReached, log_event},
    slotmap::{SlotMap, new_key_type},
    std::{
        cell::{Cell, RefCell},
        pin::Pin,
        rc::Rc,
        result::Result,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time for which a connection has to be idle before it gives way. The next request of a caller
/// that uses its connection all the time may be in transit.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Interval at which idle connections are looked for while a new one waits.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

new_key_type! {
    /// Identifies an open connection of a caller.
    struct ConnectionKey;
}

#[derive(Debug)]
struct OpenConnection {
    /// When the connection was opened or its latest answer was complete; `None` while a request
    /// runs.
    idle_since: Option<Instant>,
    closing: CancellationToken,
}

/// Open connections of callers, up to a limit.
#[derive(Debug)]
pub struct CallerSlots {
    connections: RefCell<SlotMap<ConnectionKey, OpenConnection>>,
    permits: Arc<Semaphore>,
    /// Whether the latest connection had to wait.
    is_full: Cell<bool>,
    limit: usize,
    /// Bodies of requests, the stalled ones of which give way if no connection is idle.
    bodies: Rc<HeldMemory>,
    metrics: GatewayMetrics,
}

impl CallerSlots {
    /// Creates `limit` slots without a connection.
    pub fn new(limit: usize, bodies: Rc<HeldMemory>, metrics: GatewayMetrics) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            permits: Arc::new(Semaphore::new(limit)),
            is_full: Cell::new(false),
            limit,
            bodies,
            metrics,
        })
    }

    /// Waits for a slot for a new connection. While all are occupied, the connection that has been
    /// idle for the longest time is closed.
    pub async fn acquire(self: &Rc<Self>, closing: &CancellationToken) -> CallerSlot {
        let permit = loop {
            if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
                self.is_full.set(false);
                break permit;
            }
            if !self.is_full.replace(true) {
                log_event!(CallerLimitReached, limit = self.limit, idle = self.idle());
            }
            self.close_idlest(Instant::now());
            let permit = Arc::clone(&self.permits).acquire_owned();
            if let Ok(Ok(permit)) = timeout(REVIEW_INTERVAL, permit).await {
                break permit;
            }
        };
        let connection = OpenConnection {
            idle_since: Some(Instant::now()),
            closing: closing.child_token(),
        };
        self.metrics.connections.inc();
        CallerSlot {
            closing: connection.closing.clone(),
            key: self.connections.borrow_mut().insert(connection),
            slots: Rc::clone(self),
            _permit: permit,
        }
    }

    fn idle(&self) -> usize {
        let connections = self.connections.borrow();
        let idle = connections.values();
        idle.filter(|connection| connection.idle_since.is_some())
            .count()
    }

    fn close_idlest(&self, now: Instant) {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| {
            let since = connection.idle_since;
            let is_idle = since.is_some_and(|since| now >= since + MIN_IDLE_TIME);
            is_idle && !connection.closing.is_cancelled()
        });
        if let Some(idlest) = idle.min_by_key(|connection| connection.idle_since) {
            idlest.closing.cancel();
            self.metrics.closed_idle.inc();
        } else {
            self.bodies.displace_stalled();
        }
    }
}

/// Slot of an open connection, which is free again when this is dropped.
#[derive(Debug)]
pub struct CallerSlot {
    /// Cancelled when the connection has to be closed once its current request is answered.
    pub closing: CancellationToken,
    key: ConnectionKey,
    slots: Rc<CallerSlots>,
    _permit: OwnedSemaphorePermit,
}

impl CallerSlot {
    /// Returns what records the requests of the connection.
    pub fn usage(&self) -> ConnectionUsage {
        ConnectionUsage {
            key: self.key,
            slots: Rc::clone(&self.slots),
        }
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.slots.connections.borrow_mut().remove(self.key);
        self.slots.metrics.connections.dec();
    }
}

/// Starts the use of a connection by requests.
#[derive(Clone, Debug)]
pub struct ConnectionUsage {
    key: ConnectionKey,
    slots: Rc<CallerSlots>,
}

impl ConnectionUsage {
    /// Records that the head of a request has arrived. The connection is idle again when the result
    /// is dropped.
    pub fn begin_request(&self) -> RequestUsage {
        self.set_idle_since(None);
        RequestUsage(self.clone())
    }

    /// Returns whether new connections wait for a slot.
    pub fn is_full(&self) -> bool {
        self.slots.is_full.get()
    }

    fn set_idle_since(&self, since: Option<Instant>) {
        if let Some(connection) = self.slots.connections.borrow_mut().get_mut(self.key) {
            connection.idle_since = since;
        }
    }
}

/// Use of a connection by one request, until the end of its answer.
#[derive(Debug)]
pub struct RequestUsage(ConnectionUsage);

impl Drop for RequestUsage {
    fn drop(&mut self) {
        self.0.set_idle_since(Some(Instant::now()));
    }
}

/// Body of an answer that ends the use of its connection.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _usage: RequestUsage,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of the answer to a request.
    pub fn new(body: B, usage: RequestUsage) -> Self {
        Self {
            body,
            _usage: usage,
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
