//! Waiting for a target: the line of each service, and the lease of a slot at a target.

use {
    super::state::GatewayState,
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, LineEntry, LineKey, LineRefusal, TargetChoice, TargetKey, WaitingLine,
            choose_target,
        },
        ids::ServiceName,
    },
    slotmap::SecondaryMap,
    std::{rc::Rc, result, time::Duration},
    tokio::{
        sync::oneshot,
        time::{Instant, sleep},
    },
};

/// Result of waiting for a target.
pub type Result<T> = result::Result<T, AdmissionRefusal>;

/// Interval at which waiting requests are reviewed. An ejection may end or a wait become hopeless
/// without any event that would cause a review.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// When a caller may come back whose service has only broken groups. A process is back after
/// two to five seconds; callers wait for at most a third of the time they have left.
const BROKEN_GROUP_RETURN: Duration = Duration::from_millis(2500);

/// When a caller may come back whose service has no target that takes work. A target that has
/// started is listed within a heartbeat and read within the interval of the list.
const ABSENT_TARGET_RETURN: Duration = Duration::from_millis(1500);

/// When a caller may come back whose request has been at every target of its service. Full targets
/// have room again when one of their requests ends.
const EXHAUSTED_RETURN: Duration = Duration::from_millis(400);

/// Why a request gets no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Refusal of the line.
    pub refusal: LineRefusal,
    /// Reason, for logs.
    pub reason: &'static str,
}

/// Request that asks for a target.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service.
    pub service: ServiceName,
    /// Place in the line.
    pub entry: LineEntry,
    /// Targets that earlier attempts have used.
    pub tried: Vec<TargetKey>,
    /// Whether the caller has the time to come back after a refusal.
    pub can_return: bool,
}

/// Slot at a target, held while a request is in flight there.
#[derive(Debug)]
pub struct TargetLease {
    state: Rc<GatewayState>,
    service: ServiceName,
    /// Target.
    pub key: TargetKey,
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if let Some(target) = self.state.roster.borrow_mut().get_mut(self.key) {
            target.own_in_flight = target.own_in_flight.saturating_sub(1);
            target.health.record_neutral();
        }
        grant(&self.state, &self.service);
    }
}

#[derive(Debug)]
struct Waiter {
    tried: Vec<TargetKey>,
    can_return: bool,
    grant: oneshot::Sender<Result<TargetLease>>,
}

/// Waiting requests of one service with the channels that tell them their targets.
#[derive(Debug, Default)]
pub struct ServiceLine {
    line: WaitingLine,
    waiters: SecondaryMap<LineKey, Waiter>,
}

impl ServiceLine {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }
}

/// Removes a request from its line if its caller leaves while it waits.
struct WaitGuard<'a> {
    state: &'a GatewayState,
    service: &'a ServiceName,
    key: LineKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.state.lines.borrow_mut().get_mut(self.service) {
            line.waiters.remove(self.key);
            if line.line.remove(self.key) {
                self.state.metrics.waiting.dec();
            }
        }
    }
}

/// Waits for a target.
///
/// # Errors
///
/// Fails as soon as it is known that the request will not start in time.
pub async fn acquire(state: &Rc<GatewayState>, request: AdmissionRequest) -> Result<TargetLease> {
    let (sender, receiver) = oneshot::channel();
    let service = request.service.clone();
    let key = {
        let mut lines = state.lines.borrow_mut();
        let line = lines.entry(service.clone()).or_default();
        let key = line.line.push(request.entry);
        let waiter = Waiter {
            tried: request.tried,
            can_return: request.can_return,
            grant: sender,
        };
        line.waiters.insert(key, waiter);
        key
    };
    state.metrics.waiting.inc();
    let _guard = WaitGuard {
        state,
        service: &service,
        key,
    };
    grant(state, &service);
    state.waiting.notify_one();
    receiver.await.unwrap_or_else(|_| {
        Err(AdmissionRefusal {
            refusal: LineRefusal {
                retry_after: REVIEW_INTERVAL,
                position: 0,
            },
            reason: "stopping",
        })
    })
}

/// Reviews the lines while requests wait.
pub async fn review_lines(state: Rc<GatewayState>) {
    loop {
        let services: Vec<_> = {
            let lines = state.lines.borrow();
            let busy = lines.iter().filter(|(_, line)| !line.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        if services.is_empty() {
            state.waiting.notified().await;
            continue;
        }
        for service in &services {
            grant(&state, service);
        }
        sleep(REVIEW_INTERVAL).await;
    }
}

/// Gives free slots to waiting requests, and refuses those that cannot start in time.
pub fn grant(state: &Rc<GatewayState>, service: &ServiceName) {
    let now = Instant::now();
    let mut outcomes = Vec::new();
    {
        let mut lines = state.lines.borrow_mut();
        let Some(line) = lines.get_mut(service).filter(|line| !line.is_empty()) else {
            return;
        };
        let obstacle = start_waiting(state, service, line, now, &mut outcomes);
        for (key, mut refusal) in line.line.refuse_hopeless(now) {
            if let Some(waiter) = line.waiters.remove(key) {
                state.metrics.waiting.dec();
                let mut reason = "no target in time";
                if let Some(obstacle) = &obstacle {
                    refusal.retry_after = obstacle.return_after;
                    reason = obstacle.reason;
                }
                let refusal = AdmissionRefusal { refusal, reason };
                outcomes.push((waiter, Err(refusal)));
            }
        }
    }
    // A waiter that has left drops its lease here, which may grant the slot to the next one.
    for (waiter, outcome) in outcomes {
        let _ = waiter.grant.send(outcome);
    }
}

/// What keeps all targets of a service from taking requests.
#[derive(Clone, Copy, Debug)]
struct ServiceObstacle {
    reason: &'static str,
    /// When callers may come back.
    return_after: Duration,
    /// When requests that cannot start before are refused; `None` for those whose callers have the
    /// time to come back.
    begins_at: Option<Instant>,
}

impl ServiceObstacle {
    /// Returns what a choice shows; `None` if requests can start or wait for a slot.
    fn of(choice: TargetChoice, now: Instant) -> Option<Self> {
        match choice {
            TargetChoice::GroupBroken => Some(Self {
                reason: "group misses a rank",
                return_after: BROKEN_GROUP_RETURN,
                begins_at: None,
            }),
            TargetChoice::Absent => Some(Self {
                reason: "no target takes work",
                return_after: ABSENT_TARGET_RETURN,
                begins_at: None,
            }),
            TargetChoice::HeldOff(until) => Some(Self {
                reason: "all targets turn requests away",
                return_after: until.saturating_duration_since(now),
                begins_at: Some(until),
            }),
            TargetChoice::Chosen(_)
            | TargetChoice::Exhausted
            | TargetChoice::Full
            | TargetChoice::Unusable => None,
        }
    }
}

/// Starts the requests for which there is a target; returns what keeps all targets from taking any.
fn start_waiting(
    state: &Rc<GatewayState>,
    service: &ServiceName,
    line: &mut ServiceLine,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) -> Option<ServiceObstacle> {
    for key in line.line.order(now) {
        let group_limits = state.bounds.borrow_mut().limits(now);
        let tried = line.waiters.get(key).map(|waiter| waiter.tried.as_slice());
        let input = ChoiceInput {
            service,
            own_zone: &state.own_zone,
            tried: tried.unwrap_or_default(),
            group_limits: &group_limits,
            draw: rand::random(),
        };
        let choice = choose_target(&state.roster.borrow(), &input, now);
        match choice {
            TargetChoice::Chosen(target) => {
                line.line.start(key, now);
                if let Some(waiter) = line.waiters.remove(key) {
                    state.metrics.waiting.dec();
                    outcomes.push((waiter, Ok(lease(state, service, target))));
                }
            }
            TargetChoice::Exhausted => {
                let reason = "every target has turned it away";
                refuse_one(state, line, key, EXHAUSTED_RETURN, reason, outcomes);
            }
            // Only the targets that this request has tried may be free.
            TargetChoice::Full if !input.tried.is_empty() => {}
            choice => {
                let obstacle = ServiceObstacle::of(choice, now)?;
                refuse_obstructed(state, line, &obstacle, outcomes);
                return Some(obstacle);
            }
        }
    }
    None
}

/// Refuses the requests that gain nothing by waiting. Without a known end of the obstacle, these
/// are the ones whose callers can come back: a group forms again within seconds, which is longer
/// than the callers of streams wait for a first event. A caller that cannot come back has nothing
/// to lose by waiting.
fn refuse_obstructed(
    state: &GatewayState,
    line: &mut ServiceLine,
    obstacle: &ServiceObstacle,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    let refused = line.waiters.iter().filter(|(key, waiter)| {
        let starts_until = line.line.start_until(*key);
        match obstacle.begins_at.zip(starts_until) {
            Some((begins_at, starts_until)) => starts_until < begins_at,
            None => waiter.can_return,
        }
    });
    let refused: Vec<_> = refused.map(|(key, _)| key).collect();
    for key in refused {
        let (return_after, reason) = (obstacle.return_after, obstacle.reason);
        refuse_one(state, line, key, return_after, reason, outcomes);
    }
}

fn refuse_one(
    state: &GatewayState,
    line: &mut ServiceLine,
    key: LineKey,
    retry_after: Duration,
    reason: &'static str,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    line.line.remove(key);
    if let Some(waiter) = line.waiters.remove(key) {
        state.metrics.waiting.dec();
        let refusal = LineRefusal {
            retry_after,
            position: 0,
        };
        outcomes.push((waiter, Err(AdmissionRefusal { refusal, reason })));
    }
}

fn lease(state: &Rc<GatewayState>, service: &ServiceName, key: TargetKey) -> TargetLease {
    state.record_start(key);
    TargetLease {
        state: Rc::clone(state),
        service: service.clone(),
        key,
    }
}
