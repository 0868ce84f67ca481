//! State that the parts of an entry share.

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
    /// Instance.
    pub instance: InstanceName,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Region.
    pub region: ZoneName,
    /// Number drawn at random when the process started.
    pub incarnation: u64,
}

impl EntryIdentity {
    /// Returns the first frame of a link.
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

/// Decision state of an entry; one lock guards it, and no holder waits.
#[derive(Debug)]
pub struct EntryState {
    /// Targets.
    pub membership: Membership,
    /// Routing.
    pub router: Router,
    /// Generator for ties.
    pub generator: SmallRng,
    /// Team limits.
    pub limiter: TeamLimiter,
    /// Requests that wait for a target.
    pub queue: WaitQueue,
    /// Receivers of the grants for waiting requests.
    pub waiters: HashMap<TicketKey, Waiter>,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Attempts in flight, by the counter of their request.
    pub pending: HashMap<u64, PendingAttempt>,
    /// Open links to agents.
    pub links: SecondaryMap<TargetKey, LinkSender>,
    /// Recent requests.
    pub explanations: ExplanationRing,
    /// Peer entries.
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

/// What every part of an entry needs.
pub struct EntryContext {
    /// Identity.
    pub identity: EntryIdentity,
    /// Configuration in force.
    pub view: ViewReceiver,
    /// Table, for the settlement of non-idempotent calls.
    pub table: Arc<dyn TableService>,
    /// Object store, for answers that a settlement finds.
    pub objects: Arc<dyn ObjectStore>,
    /// Clock of the table.
    pub table_time: TableTime,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Snapshots that peers have sent; the configuration actor receives them.
    pub snapshots: mpsc::Sender<ConfigurationSnapshot>,
    /// Memory for request bodies, in bytes.
    pub body_memory: Arc<Semaphore>,
    /// Cancelled when the graceful stop starts.
    pub draining: CancellationToken,
    /// Cancelled after the first read of the instance list, successful or not.
    pub list_read: CancellationToken,
    /// Work that a graceful stop waits for.
    pub work: TaskTracker,
    state: Mutex<EntryState>,
    counter: AtomicU64,
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("EntryContext");
        output
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

/// Parts from which a context is made.
pub struct ContextParts {
    /// Identity.
    pub identity: EntryIdentity,
    /// Configuration in force.
    pub view: ViewReceiver,
    /// Table.
    pub table: Arc<dyn TableService>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Receiver side belongs to the configuration actor.
    pub snapshots: mpsc::Sender<ConfigurationSnapshot>,
    /// Cancelled when the graceful stop starts.
    pub draining: CancellationToken,
    /// Work that a graceful stop waits for.
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
    /// Creates the context.
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
            counter: AtomicU64::new(0),
        })
    }

    /// Locks the state. The lock must not be held across an `await`, and no [`AttemptHandle`] may
    /// be dropped under it.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration view in force.
    pub fn current_view(&self) -> Arc<ConfigurationView> {
        self.view.borrow().at(Instant::now())
    }

    /// Returns the first frame of a link.
    pub fn hello(&self) -> link::Hello {
        self.identity.hello(self.current_view().revision())
    }

    /// Draws the identifier of a new request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId {
            entry_incarnation: self.identity.incarnation,
            counter: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Gives free targets of a service to the requests that wait for it, and refuses those that
    /// would wait in vain.
    pub fn wake(self: &Arc<Self>, service: &ServiceName) {
        let (mut grants, mut passed) = (Vec::new(), Vec::new());
        let mut state = self.state();
        while let Some(ticket) = state.queue.peek(service, &passed) {
            let Some(waiter) = state.waiters.remove(&ticket) else {
                state.queue.remove(ticket);
                continue;
            };
            match AttemptHandle::reserve(self, &mut state, &waiter.query) {
                Err(RouteError::Full) => {
                    // The targets that are left for a retry may be full while others are not.
                    let is_retry = !waiter.query.tried.is_empty();
                    state.waiters.insert(ticket, waiter);
                    if !is_retry {
                        break;
                    }
                    passed.push(ticket);
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
        // A grant whose receiver is gone is dropped here, outside the lock, and wakes the next.
        for (grant, granted) in grants {
            let _ = grant.send(granted);
        }
    }

    /// Wakes the waiting requests of all services.
    pub fn wake_all(self: &Arc<Self>) {
        let services = self.state().queue.waiting_services();
        for service in services {
            self.wake(&service);
        }
    }
}
