//! Shared context of an entry: identity, configuration, platform services and decision state.

use {
    super::{
        dispatcher::{
            pending::{AttemptHandle, PendingAttempt},
            waiting::{AcquireError, Waiter},
        },
        fleet::ViewReceiver,
        metrics::EntryMetrics,
        peers::table::PeerTable,
    },
    crate::{
        constants::{MAX_EXPLAINED_REQUESTS, REQUEST_BODY_MEMORY},
        link::LinkSender,
        platform::{ObjectStore, TableService, TableTime},
    },
    rand::{SeedableRng, rngs::SmallRng},
    sassafrasslip_core::{
        configuration::{ConfigurationSnapshot, ConfigurationView},
        explanation::ExplanationRing,
        ids::{InstanceName, RequestId, ServiceName, ZoneName},
        limits::{TeamLimiter, TicketKey, WaitQueue},
        membership::{Membership, TargetKey},
        retry::RetryBudget,
        routing::{RouteError, Router},
    },
    sassafrasslip_proto::{PROTOCOL_VERSION, link},
    slotmap::SecondaryMap,
    std::{
        collections::HashMap,
        fmt,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        sync::{Semaphore, mpsc},
        time::Instant,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Identity of an entry process.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Instance name.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Region of the instance.
    pub region: ZoneName,
    /// Random number drawn at process start; tells this process from earlier ones of the instance.
    pub incarnation: u64,
}

impl EntryIdentity {
    /// Returns the `Hello` frame that opens a link, with this configuration revision.
    pub fn hello(&self, configuration_revision: u64) -> link::Hello {
        link::Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: self.instance.to_string(),
            incarnation: self.incarnation,
            availability_zone: self.availability_zone.to_string(),
            region: self.region.to_string(),
            role: link::ProcessRole::Entry.into(),
            configuration_revision,
            service: None,
        }
    }
}

/// State for routing and admission decisions. A single lock guards it, and no holder of the lock
/// waits.
#[derive(Debug)]
pub struct EntryState {
    /// Known targets with their load and health.
    pub membership: Membership,
    /// Router that chooses a target for each attempt.
    pub router: Router,
    /// Random number generator of the router, for sampling and for breaking ties.
    pub generator: SmallRng,
    /// Limiter of concurrency and request rate per team.
    pub limiter: TeamLimiter,
    /// Requests that wait for a target.
    pub queue: WaitQueue,
    /// Waiting requests with their routing data, by their ticket in the queue.
    pub waiters: HashMap<TicketKey, Waiter>,
    /// Budget that limits retries to a share of first attempts.
    pub budget: RetryBudget,
    /// Attempts in flight, by the counter of their request identifier.
    pub pending: HashMap<u64, PendingAttempt>,
    /// Senders of the open links to agents.
    pub links: SecondaryMap<TargetKey, LinkSender>,
    /// Explanations of the most recent requests.
    pub explanations: ExplanationRing,
    /// Peer entries and their reported team usage.
    pub peers: PeerTable,
}

impl EntryState {
    fn new(seed: u64) -> Self {
        Self {
            membership: Membership::default(),
            router: Router::default(),
            generator: SmallRng::seed_from_u64(seed),
            limiter: TeamLimiter::default(),
            queue: WaitQueue::default(),
            waiters: HashMap::new(),
            budget: RetryBudget::default(),
            pending: HashMap::new(),
            links: SecondaryMap::new(),
            explanations: ExplanationRing::new(MAX_EXPLAINED_REQUESTS),
            peers: PeerTable::default(),
        }
    }
}

/// Shared context of all parts of an entry process.
pub struct EntryContext {
    /// Identity of this process.
    pub identity: EntryIdentity,
    /// Receiver of the configuration view in force.
    pub view: ViewReceiver,
    /// Platform table, for the settlement of non-idempotent calls.
    pub table: Arc<dyn TableService>,
    /// Object store, for loading stored answers that a settlement finds.
    pub objects: Arc<dyn ObjectStore>,
    /// Estimate of the table's clock.
    pub table_time: TableTime,
    /// Metrics of this process.
    pub metrics: EntryMetrics,
    /// Channel to the configuration actor for snapshots that agents and peers have sent.
    pub snapshots: mpsc::Sender<ConfigurationSnapshot>,
    /// Free memory for request bodies; one permit per byte.
    pub body_memory: Arc<Semaphore>,
    /// Cancelled when the graceful stop starts.
    pub draining: CancellationToken,
    /// Cancelled after the first read of the instance list, successful or not.
    pub list_read: CancellationToken,
    /// Tasks that a graceful stop waits for.
    pub work: TaskTracker,
    state: Mutex<EntryState>,
    request_counter: AtomicU64,
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("EntryContext");
        output
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

/// Arguments of [`EntryContext::new`].
pub struct ContextParts {
    /// Identity of this process.
    pub identity: EntryIdentity,
    /// Receiver of the configuration view in force.
    pub view: ViewReceiver,
    /// Platform table, for the settlement of non-idempotent calls.
    pub table: Arc<dyn TableService>,
    /// Object store, for loading stored answers that a settlement finds.
    pub objects: Arc<dyn ObjectStore>,
    /// Metrics of this process.
    pub metrics: EntryMetrics,
    /// Channel for received snapshots; the configuration actor owns the receiver.
    pub snapshots: mpsc::Sender<ConfigurationSnapshot>,
    /// Cancelled when the graceful stop starts.
    pub draining: CancellationToken,
    /// Tasks that a graceful stop waits for.
    pub work: TaskTracker,
}

impl fmt::Debug for ContextParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("ContextParts");
        output
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl EntryContext {
    /// Creates the context with empty decision state.
    pub fn new(parts: ContextParts) -> Arc<Self> {
        let state = EntryState::new(parts.identity.incarnation);
        Arc::new(Self {
            identity: parts.identity,
            view: parts.view,
            table: parts.table,
            objects: parts.objects,
            table_time: TableTime::default(),
            metrics: parts.metrics,
            snapshots: parts.snapshots,
            body_memory: Arc::new(Semaphore::new(REQUEST_BODY_MEMORY)),
            draining: parts.draining,
            list_read: CancellationToken::new(),
            work: parts.work,
            state: Mutex::new(state),
            request_counter: AtomicU64::new(0),
        })
    }

    /// Locks the decision state. The lock must not be held across an `await`, and no
    /// [`AttemptHandle`] may be dropped while it is held, because dropping one takes the lock.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration view in force at this moment.
    pub fn current_view(&self) -> Arc<ConfigurationView> {
        self.view.borrow().at(Instant::now())
    }

    /// Returns the `Hello` frame that opens a link, with the configuration revision in force.
    pub fn hello(&self) -> link::Hello {
        self.identity.hello(self.current_view().revision())
    }

    /// Returns the identifier of a new request: the incarnation of the entry and a counter that
    /// starts at 1.
    pub fn next_request_id(&self) -> RequestId {
        RequestId {
            entry_incarnation: self.identity.incarnation,
            counter: self.request_counter.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Assigns free targets of a service to its waiting requests in queue order, and refuses
    /// waiting requests of all services that can no longer start in time.
    pub fn wake(self: &Arc<Self>, service: &ServiceName) {
        let (mut grants, mut skipped) = (Vec::new(), Vec::new());
        let mut state = self.state();
        while let Some(ticket) = state.queue.peek(service, &skipped) {
            let Some(waiter) = state.waiters.remove(&ticket) else {
                state.queue.remove(ticket);
                continue;
            };
            match AttemptHandle::reserve(self, &mut state, &waiter.query) {
                Err(RouteError::Full) => {
                    // A retry excludes the targets that it has tried, so the others may be full for
                    // it while the excluded ones are free for the requests behind it.
                    let is_retry = !waiter.query.tried.is_empty();
                    state.waiters.insert(ticket, waiter);
                    if !is_retry {
                        break;
                    }
                    skipped.push(ticket);
                }
                granted => {
                    let EntryState { queue, limiter, .. } = &mut *state;
                    queue.start(ticket, limiter, Instant::now());
                    grants.push((waiter.grant, granted.map_err(AcquireError::Route)));
                }
            }
        }
        let late = state.queue.remove_late(Instant::now());
        for (ticket, refusal) in late {
            if let Some(waiter) = state.waiters.remove(&ticket) {
                grants.push((waiter.grant, Err(AcquireError::Queue(refusal))));
            }
        }
        self.metrics.queue_length.set(state.queue.len() as i64);
        drop(state);
        // Sent after the lock is released: a grant whose receiver is gone is dropped here, which
        // takes the lock and wakes the next waiting request.
        for (grant, granted) in grants {
            let _ = grant.send(granted);
        }
    }

    /// Calls [`Self::wake`] for every service that has waiting requests.
    pub fn wake_all(self: &Arc<Self>) {
        let services = self.state().queue.waiting_services();
        for service in services {
            self.wake(&service);
        }
    }
}
