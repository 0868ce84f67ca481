//! Admission: requests wait in one queue per service until a target has a free slot, or until it is
//! known that they cannot start in time.
//!
//! Load pattern: more requests than the targets can take, or none of the targets taking work.
//! Requests that cannot be answered in time are refused early, with a time to retry, instead of
//! waiting in vain.

mod home_requests;

use {
    super::{
        overload::{self, LateMark},
        start_slice::start_slice,
        state::GatewayState,
    },
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, DispatchQueue, HomeZones, OutageStep, TargetChoice, TargetKey, WaitKey,
            WaitRefusal, WaitingRequest, choose_home_target, decide_during_outage, start_pace,
        },
        ids::ServiceName,
    },
    slotmap::SecondaryMap,
    std::{collections::HashMap, rc::Rc, result, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, sleep},
    },
};

/// Result of waiting for a target.
pub type Result<T> = result::Result<T, AdmissionRefusal>;

/// Interval at which the queues are reviewed while requests wait. The end of an ejection and the
/// moment at which a request can no longer start in time cause no event of their own.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Retry delay for callers of a service without a target that takes work. A target that starts is
/// in the instance list within a heartbeat, and gateways read it within the list interval.
const ABSENT_TARGET_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Retry delay for callers of a service whose targets are all in emptied zones. An operator empties a
/// zone for work that takes minutes, or takes it back at once when it was a mistake.
const EMPTIED_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Retry delay for callers whose request has been tried at every target of its service. A full
/// target has a free slot again as soon as one of its requests ends.
const EXHAUSTED_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Refusal of a request that was waiting for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// When the caller may retry, and the position in the queue.
    pub refusal: WaitRefusal,
    /// Reason, for the log and for the response to the caller.
    pub reason: &'static str,
}

/// Request for a slot at a target of a service.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service whose targets may be chosen.
    pub service: ServiceName,
    /// Priority and time limits, which determine the order in the queue.
    pub waiting_request: WaitingRequest,
    /// Targets of earlier attempts, which are not chosen again.
    pub tried: Vec<TargetKey>,
    /// Zones whose targets may be chosen.
    pub homes: HomeZones,
}

/// Slot at a target, occupied while a request is in flight there. Dropping the lease frees the slot
/// and starts waiting requests.
#[derive(Debug)]
pub struct TargetLease {
    state: Rc<GatewayState>,
    service: ServiceName,
    /// Target at which the slot is.
    pub key: TargetKey,
    /// Marks a request that was late when it started.
    late: Option<LateMark>,
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        // The place counts as free when it is assigned below.
        drop(self.late.take());
        if let Some(target) = self.state.roster.borrow_mut().get_mut(self.key) {
            target.own_in_flight = target.own_in_flight.saturating_sub(1);
            target.health.record_neutral();
        }
        grant_slots(&self.state, &self.service);
    }
}

#[derive(Debug)]
struct Waiter {
    tried: Vec<TargetKey>,
    homes: HomeZones,
    reply: oneshot::Sender<Result<TargetLease>>,
}

/// Queue of one service: its waiting requests in order, and the channel to the future of each.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    requests: DispatchQueue,
    waiters: SecondaryMap<WaitKey, Waiter>,
}

impl ServiceQueue {
    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of waiting requests that can no longer be on time.
    pub fn late_count(&self, now: Instant) -> usize {
        self.requests.late_count(now)
    }
}

/// Removes a request from its queue when its future is dropped, because the caller has left.
struct WaitGuard<'a> {
    state: &'a GatewayState,
    service: &'a ServiceName,
    key: WaitKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.state.queues.borrow_mut().get_mut(self.service) {
            queue.waiters.remove(self.key);
            if queue.requests.remove(self.key) {
                self.state.metrics.waiting.dec();
            }
        }
    }
}

/// Waits for a slot at a target.
///
/// # Errors
///
/// Fails as soon as it is known that the request cannot start in time or that no target will take
/// it.
pub async fn acquire(
    state: &Rc<GatewayState>,
    mut request: AdmissionRequest,
) -> Result<TargetLease> {
    overload::note_arrival(state, &mut request, Instant::now());
    let (sender, receiver) = oneshot::channel();
    let service = request.service.clone();
    let key = {
        let mut queues = state.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        let key = queue.requests.push(request.waiting_request);
        let waiter = Waiter {
            tried: request.tried,
            homes: request.homes,
            reply: sender,
        };
        queue.waiters.insert(key, waiter);
        key
    };
    state.metrics.waiting.inc();
    let _guard = WaitGuard {
        state,
        service: &service,
        key,
    };
    grant_slots(state, &service);
    state.waiting.notify_one();
    receiver.await.unwrap_or_else(|_| {
        Err(AdmissionRefusal {
            refusal: WaitRefusal {
                retry_after: REVIEW_INTERVAL,
                position: 0,
            },
            reason: "stopping",
        })
    })
}

/// Takes a slot at a target without waiting, for a stream that moves from another target of its
/// group; `None` if there is none. The limit of the group does not apply, because the stream is one
/// of the requests in flight there.
pub fn acquire_for_move(
    state: &Rc<GatewayState>,
    service: &ServiceName,
    tried: &[TargetKey],
    homes: &HomeZones,
) -> Option<TargetLease> {
    let now = Instant::now();
    let input = ChoiceInput {
        service,
        own_zone: &state.own_zone,
        tried,
        group_limits: &HashMap::new(),
        draw: rand::random(),
        slice: start_slice(state, now),
    };
    let choice = choose_home_target(&state.roster.borrow(), &input, homes, now);
    match choice {
        TargetChoice::Chosen(key) => Some(lease(state, service, key, false)),
        _ => None,
    }
}

/// Reviews the queues at a fixed interval while requests wait, until the process ends.
pub async fn review_queues(state: Rc<GatewayState>) {
    loop {
        let services: Vec<_> = {
            let queues = state.queues.borrow();
            let busy = queues.iter().filter(|(_, queue)| !queue.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        if services.is_empty() {
            state.waiting.notified().await;
            continue;
        }
        for service in &services {
            grant_slots(&state, service);
        }
        sleep(REVIEW_INTERVAL).await;
    }
}

/// Assigns free slots to the waiting requests of a service and refuses those that cannot start in
/// time.
pub fn grant_slots(state: &Rc<GatewayState>, service: &ServiceName) {
    let now = Instant::now();
    let mut outcomes = Vec::new();
    {
        let mut queues = state.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service).filter(|queue| !queue.is_empty()) else {
            return;
        };
        let late = queue.late_count(now);
        queue
            .requests
            .set_plan(overload::plan(state, service, late, now));
        let cause = start_waiting(state, service, queue, now, &mut outcomes);
        if cause.is_none() {
            refuse_late(state, service, queue, now, &mut outcomes);
        }
        let pace = start_pace(&state.roster.borrow(), service, state.fleet_share(now), now);
        for (key, mut refusal) in queue.requests.refuse_unservable(pace, now) {
            if let Some(waiter) = queue.waiters.remove(key) {
                state.metrics.waiting.dec();
                let mut reason = "no target in time";
                if let Some(cause) = &cause {
                    refusal.retry_after = cause.retry_after(now);
                    reason = cause.reason();
                }
                let refusal = AdmissionRefusal { refusal, reason };
                outcomes.push((waiter, Err(refusal)));
            }
        }
    }
    // If a waiter has left, its lease is dropped here, which may assign the slot to the next one.
    // The borrow of the queues has ended by now, so that this is possible.
    for (waiter, outcome) in outcomes {
        let _ = waiter.reply.send(outcome);
    }
}

/// Reason why no target of a service takes requests.
#[derive(Clone, Copy, Debug)]
enum UnavailableCause {
    /// No group of the service runs, and it is unknown when one will run again. Holds since when,
    /// or since when all ranks of a group answer again.
    GroupBroken(Instant),
    /// The service has no target that takes work.
    Absent,
    /// All targets of the service are in emptied zones.
    Emptied,
    /// All targets are in a hold-off, the first of which ends then.
    HeldOff(Instant),
}

impl UnavailableCause {
    /// Returns the cause for the result of a choice; `None` if requests can start or wait for a
    /// slot.
    fn of(choice: TargetChoice) -> Option<Self> {
        match choice {
            TargetChoice::GroupBroken(since) => Some(Self::GroupBroken(since)),
            TargetChoice::Absent => Some(Self::Absent),
            TargetChoice::Emptied => Some(Self::Emptied),
            TargetChoice::HeldOff(until) => Some(Self::HeldOff(until)),
            TargetChoice::Chosen(_)
            | TargetChoice::Exhausted
            | TargetChoice::Full
            | TargetChoice::Unusable => None,
        }
    }

    const fn reason(self) -> &'static str {
        match self {
            Self::GroupBroken(_) => "group misses a rank",
            Self::Absent => "no target takes work",
            Self::Emptied => "the zones of all targets are emptied",
            Self::HeldOff(_) => "all targets turn requests away",
        }
    }

    /// Returns the retry delay of a request that should be refused now, or `None` if it should
    /// wait.
    fn decide(self, request: &WaitingRequest, now: Instant) -> Option<Duration> {
        match self {
            Self::GroupBroken(since) => match decide_during_outage(request, since, now) {
                OutageStep::Wait => None,
                OutageStep::Refuse(retry_after) => Some(retry_after),
            },
            Self::Absent => request.can_return.then_some(ABSENT_TARGET_RETRY_DELAY),
            Self::Emptied => Some(EMPTIED_RETRY_DELAY),
            Self::HeldOff(until) => {
                let is_late = request.start_until < until;
                is_late.then(|| until.saturating_duration_since(now))
            }
        }
    }

    /// Returns the retry delay of a request that can no longer start in time.
    fn retry_after(self, now: Instant) -> Duration {
        match self {
            Self::GroupBroken(_) | Self::Absent => ABSENT_TARGET_RETRY_DELAY,
            Self::Emptied => EMPTIED_RETRY_DELAY,
            Self::HeldOff(until) => until.saturating_duration_since(now),
        }
    }
}

/// Starts the waiting requests for which there is a target. Returns the cause if no target of the
/// service takes requests.
fn start_waiting(
    state: &Rc<GatewayState>,
    service: &ServiceName,
    queue: &mut ServiceQueue,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) -> Option<UnavailableCause> {
    home_requests::refuse_without_home_target(state, service, queue, now, outcomes);
    let slice = start_slice(state, now);
    let mut allows_late = true;
    for key in queue.requests.order(now) {
        let is_late = queue.requests.is_late(key, now);
        if is_late && !allows_late {
            continue;
        }
        let group_limits = state.bounds.borrow_mut().limits(now, is_late);
        let waiter = queue.waiters.get(key);
        let tried = waiter.map(|waiter| waiter.tried.as_slice());
        let homes = waiter
            .map(|waiter| waiter.homes.clone())
            .unwrap_or_default();
        let input = ChoiceInput {
            service,
            own_zone: &state.own_zone,
            tried: tried.unwrap_or_default(),
            group_limits: &group_limits,
            draw: rand::random(),
            slice,
        };
        let choice = choose_home_target(&state.roster.borrow(), &input, &homes, now);
        match choice {
            // Requests behind it can be on time if they are less urgent.
            TargetChoice::Chosen(_)
                if is_late
                    && !queue
                        .requests
                        .allows_late(key, overload::late_running(state, service)) =>
            {
                allows_late = false;
            }
            TargetChoice::Chosen(target) => {
                queue.requests.start(key, now);
                if let Some(waiter) = queue.waiters.remove(key) {
                    state.metrics.waiting.dec();
                    outcomes.push((waiter, Ok(lease(state, service, target, is_late))));
                }
            }
            TargetChoice::Exhausted => {
                let reason = "every target has turned it away";
                refuse_one(state, queue, key, EXHAUSTED_RETRY_DELAY, reason, outcomes);
            }
            // Free slots may exist only at targets that this request has tried already. Requests
            // behind it can use them.
            TargetChoice::Full if !input.tried.is_empty() => {}
            // What keeps targets of some zones from the request says nothing of the others.
            _ if homes.is_bound() => {}
            choice => {
                let cause = UnavailableCause::of(choice)?;
                refuse_unavailable(state, queue, cause, now, outcomes);
                return Some(cause);
            }
        }
    }
    None
}

/// Refuses the late requests for which no place is expected before their callers leave.
fn refuse_late(
    state: &GatewayState,
    service: &ServiceName,
    queue: &mut ServiceQueue,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    let running = overload::late_running(state, service);
    for (key, refusal) in queue.requests.refuse_late(running, now) {
        if let Some(waiter) = queue.waiters.remove(key) {
            state.metrics.waiting.dec();
            overload::count_refusal(state, service);
            let reason = "late, and all places are needed for requests on time";
            outcomes.push((waiter, Err(AdmissionRefusal { refusal, reason })));
        }
    }
}

/// Refuses the requests for which waiting is pointless as long as the cause lasts.
fn refuse_unavailable(
    state: &GatewayState,
    queue: &mut ServiceQueue,
    cause: UnavailableCause,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    let requests = queue.requests.requests();
    let refused = requests.filter_map(|(key, request)| Some((key, cause.decide(request, now)?)));
    let refused: Vec<_> = refused.collect();
    for (key, retry_after) in refused {
        refuse_one(state, queue, key, retry_after, cause.reason(), outcomes);
    }
}

fn refuse_one(
    state: &GatewayState,
    queue: &mut ServiceQueue,
    key: WaitKey,
    retry_after: Duration,
    reason: &'static str,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    queue.requests.remove(key);
    if let Some(waiter) = queue.waiters.remove(key) {
        state.metrics.waiting.dec();
        let refusal = WaitRefusal {
            retry_after,
            position: 0,
        };
        outcomes.push((waiter, Err(AdmissionRefusal { refusal, reason })));
    }
}

fn lease(
    state: &Rc<GatewayState>,
    service: &ServiceName,
    key: TargetKey,
    is_late: bool,
) -> TargetLease {
    state.record_start(key);
    TargetLease {
        state: Rc::clone(state),
        service: service.clone(),
        key,
        late: is_late.then(|| LateMark::new(state, service)).flatten(),
    }
}
