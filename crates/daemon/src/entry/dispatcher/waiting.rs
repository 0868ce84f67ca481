//! Reservation of a target for an attempt, and the queue of requests that wait for a free one.

use {
    super::pending::AttemptHandle,
    crate::entry::context::EntryContext,
    sassafrasslip_core::{
        events::LogEvent::{QueueFull, RouteFailed},
        ids::{KindName, RequestId, ServiceName, TeamName},
        limits::{QueueLimits, QueueRefusal, TicketKey, WaitRequest},
        log_event,
        membership::TargetKey,
        routing::RouteError,
    },
    std::{result, sync::Arc},
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Result of waiting for a target.
pub type Result<T> = result::Result<T, AcquireError>;

/// Data of an attempt that routing and queueing use.
#[derive(Debug)]
pub struct RouteQuery {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Service that the request calls.
    pub service: ServiceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Kind of the request, if the caller gives one; targets report their costs per kind.
    pub kind: Option<KindName>,
    /// HTTP method; decides whether the call is idempotent.
    pub method: String,
    /// Priority in the wait queue.
    pub priority: u8,
    /// Hash of the prompt's prefix, for routing to targets that have it cached.
    pub prefix: Option<u64>,
    /// Targets at which earlier attempts failed; they are excluded.
    pub tried: Vec<TargetKey>,
    /// Deadline of the request; the attempt has to start before it.
    pub deadline: Instant,
    /// Maximum size of buffered answer frames, in bytes.
    pub buffer_limit: usize,
}

/// Request in the wait queue.
#[derive(Debug)]
pub struct Waiter {
    /// Data for routing the waiting attempt.
    pub query: Arc<RouteQuery>,
    /// Channel on which the request receives its target, or the reason why it gets none.
    pub grant: oneshot::Sender<Result<AttemptHandle>>,
}

/// Why a request got no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// The queue was full, and a request of a team with fewer waiting requests took the place.
    Displaced,
    /// The queue did not accept the request, or removed it as late.
    Queue(QueueRefusal),
    /// No target can serve the request.
    Route(RouteError),
    /// No target became free within the queue wait limit or before the deadline.
    TimedOut,
}

/// Removes a ticket from the queue when its request stops waiting for any reason.
struct TicketGuard {
    context: Arc<EntryContext>,
    ticket: TicketKey,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let mut state = self.context.state();
        state.queue.remove(self.ticket);
        let waiter = state.waiters.remove(&self.ticket);
        self.context
            .metrics
            .queue_length
            .set(state.queue.len() as i64);
        drop(state);
        drop(waiter);
    }
}

/// Reserves a target for an attempt; waits in the queue if all targets are full.
///
/// # Errors
///
/// Fails if no target can serve the request, if the queue refuses or displaces it, or if no target
/// becomes free in time.
pub async fn acquire(
    context: &Arc<EntryContext>,
    query: RouteQuery,
    limits: QueueLimits,
) -> Result<AttemptHandle> {
    let query = Arc::new(query);
    let acquired = reserve_or_wait(context, &query, limits).await;
    if let Err(error) = &acquired {
        log_failure(&query, error);
    }
    acquired
}

async fn reserve_or_wait(
    context: &Arc<EntryContext>,
    query: &Arc<RouteQuery>,
    limits: QueueLimits,
) -> Result<AttemptHandle> {
    let (receiver, guard) = match reserve_or_enqueue(context, query, limits)? {
        Acquisition::Reserved(handle) => return Ok(*handle),
        Acquisition::Queued(receiver, guard) => (receiver, guard),
    };
    let latest = query.deadline.min(Instant::now() + limits.wait);
    let granted = timeout_at(latest, receiver).await;
    drop(guard);
    match granted {
        Err(_) => Err(AcquireError::TimedOut),
        Ok(Err(_)) => Err(AcquireError::Displaced),
        Ok(Ok(granted)) => granted,
    }
}

/// Result of [`reserve_or_enqueue`]: a reserved target, or a ticket in the queue.
enum Acquisition {
    Queued(oneshot::Receiver<Result<AttemptHandle>>, TicketGuard),
    Reserved(Box<AttemptHandle>),
}

fn reserve_or_enqueue(
    context: &Arc<EntryContext>,
    query: &Arc<RouteQuery>,
    limits: QueueLimits,
) -> Result<Acquisition> {
    let mut state = context.state();
    let has_waiting = state.queue.has_waiting(&query.service);
    let error = if has_waiting {
        // A new request must not overtake those that are already waiting for the service.
        RouteError::Full
    } else {
        match AttemptHandle::reserve(context, &mut state, query) {
            Ok(handle) => return Ok(Acquisition::Reserved(Box::new(handle))),
            Err(error) => error,
        }
    };
    if error != RouteError::Full {
        return Err(AcquireError::Route(error));
    }
    let slots = state.membership.own_in_flight(&query.service);
    let request = WaitRequest {
        service: query.service.clone(),
        team: query.team.clone(),
        priority: query.priority,
        deadline: query.deadline,
    };
    let pushed = state.queue.push(request, limits, slots, Instant::now());
    let (ticket, displaced) = pushed.map_err(AcquireError::Queue)?;
    let (grant, receiver) = oneshot::channel();
    let query = Arc::clone(query);
    state.waiters.insert(ticket, Waiter { query, grant });
    let displaced = displaced.and_then(|ticket| state.waiters.remove(&ticket));
    context.metrics.queue_length.set(state.queue.len() as i64);
    drop(state);
    drop(displaced);
    let context = Arc::clone(context);
    Ok(Acquisition::Queued(
        receiver,
        TicketGuard { context, ticket },
    ))
}

fn log_failure(query: &RouteQuery, error: &AcquireError) {
    let (event, reason) = match error {
        AcquireError::Displaced => (QueueFull, "displaced".to_owned()),
        AcquireError::Queue(refusal) => (QueueFull, refusal.to_string()),
        AcquireError::Route(error) => (RouteFailed, error.to_string()),
        AcquireError::TimedOut => (RouteFailed, "waited too long".to_owned()),
    };
    let (request_id, service) = (query.request_id, &query.service);
    log_event!(
        event,
        request_id = request_id,
        service = service,
        reason = reason
    );
}
