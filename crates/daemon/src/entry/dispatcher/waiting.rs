//! Waiting for a free target.

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

/// What is needed to route an attempt.
#[derive(Debug)]
pub struct RouteQuery {
    /// Request.
    pub request_id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Service.
    pub service: ServiceName,
    /// Team.
    pub team: TeamName,
    /// Kind of the request.
    pub kind: Option<KindName>,
    /// Method.
    pub method: String,
    /// Urgency.
    pub priority: u8,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Targets that must not be used again.
    pub tried: Vec<TargetKey>,
    /// Time by which the attempt has to start.
    pub deadline: Instant,
    /// Bytes of the answer that may wait in memory.
    pub buffer_limit: usize,
}

/// Request that waits for a target.
#[derive(Debug)]
pub struct Waiter {
    /// What the request needs.
    pub query: Arc<RouteQuery>,
    /// Receives the target or the refusal.
    pub grant: oneshot::Sender<Result<AttemptHandle>>,
}

/// Why a request got no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// A request of a team that waits less took its place in the queue.
    Displaced,
    /// The request may not wait.
    Queue(QueueRefusal),
    /// No target can serve the request.
    Route(RouteError),
    /// The request has waited as long as it may.
    Waited,
}

/// Takes a ticket out of the queue when its request stops waiting.
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

/// Reserves a target for an attempt, and waits for one if all are full.
///
/// # Errors
///
/// Fails if no target can serve the request in time.
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
    let (receiver, guard) = match start(context, query, limits)? {
        Started::Reserved(handle) => return Ok(*handle),
        Started::Queued(receiver, guard) => (receiver, guard),
    };
    let latest = query.deadline.min(Instant::now() + limits.wait);
    let granted = timeout_at(latest, receiver).await;
    drop(guard);
    match granted {
        Err(_) => Err(AcquireError::Waited),
        Ok(Err(_)) => Err(AcquireError::Displaced),
        Ok(Ok(granted)) => granted,
    }
}

enum Started {
    Queued(oneshot::Receiver<Result<AttemptHandle>>, TicketGuard),
    Reserved(Box<AttemptHandle>),
}

fn start(
    context: &Arc<EntryContext>,
    query: &Arc<RouteQuery>,
    limits: QueueLimits,
) -> Result<Started> {
    let mut state = context.state();
    let overtakes = state.queue.has_waiting(&query.service);
    let error = if overtakes {
        // Those who wait already come first.
        RouteError::Full
    } else {
        match AttemptHandle::reserve(context, &mut state, query) {
            Ok(handle) => return Ok(Started::Reserved(Box::new(handle))),
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
    Ok(Started::Queued(receiver, TicketGuard { context, ticket }))
}

fn log_failure(query: &RouteQuery, error: &AcquireError) {
    let (event, reason) = match error {
        AcquireError::Displaced => (QueueFull, "displaced".to_owned()),
        AcquireError::Queue(refusal) => (QueueFull, refusal.to_string()),
        AcquireError::Route(error) => (RouteFailed, error.to_string()),
        AcquireError::Waited => (RouteFailed, "waited too long".to_owned()),
    };
    let (request_id, service) = (query.request_id, &query.service);
    log_event!(
        event,
        request_id = request_id,
        service = service,
        reason = reason
    );
}
