//! Waiting for a target: the line of each service, and the lease of a slot at a target.

use {
    super::state::GatewayState,
    sassafrasslip_core::{
        dispatch::{
            ChoiceInput, LineEntry, LineKey, LineRefusal, OutageStep, TargetChoice, TargetKey,
            WaitingLine, choose_target, decide_during_outage,
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
        for (key, mut refusal) in line.line.refuse_unservable(now) {
            if let Some(waiter) = line.waiters.remove(key) {
                state.metrics.waiting.dec();
                let mut reason = "no target in time";
                if let Some(obstacle) = &obstacle {
                    refusal.retry_after = obstacle.return_after(now);
                    reason = obstacle.reason();
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
enum ServiceObstacle {
    /// No group runs since then, and nobody knows for how long.
    GroupBroken(Instant),
    /// No target is there.
    Absent,
    /// The targets want no requests until then.
    HeldOff(Instant),
}

impl ServiceObstacle {
    /// Returns what a choice shows; `None` if requests can start or wait for a slot.
    fn of(choice: TargetChoice) -> Option<Self> {
        match choice {
            TargetChoice::GroupBroken(since) => Some(Self::GroupBroken(since)),
            TargetChoice::Absent => Some(Self::Absent),
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
            Self::HeldOff(_) => "all targets turn requests away",
        }
    }

    /// Returns when the caller of a request may come back if it gains nothing by waiting.
    fn decide(self, entry: &LineEntry, now: Instant) -> Option<Duration> {
        match self {
            Self::GroupBroken(since) => match decide_during_outage(entry, since, now) {
                OutageStep::Wait => None,
                OutageStep::Refuse(return_after) => Some(return_after),
            },
            Self::Absent => entry.can_return.then_some(ABSENT_TARGET_RETURN),
            Self::HeldOff(until) => {
                let is_late = entry.start_until < until;
                is_late.then(|| until.saturating_duration_since(now))
            }
        }
    }

    /// Returns when the caller of a request may come back that can no longer start in time.
    fn return_after(self, now: Instant) -> Duration {
        match self {
            Self::GroupBroken(_) | Self::Absent => ABSENT_TARGET_RETURN,
            Self::HeldOff(until) => until.saturating_duration_since(now),
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
        let is_late = line.line.is_late(key, now);
        let group_limits = state.bounds.borrow_mut().limits(now, is_late);
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
                let obstacle = ServiceObstacle::of(choice)?;
                refuse_obstructed(state, line, obstacle, now, outcomes);
                return Some(obstacle);
            }
        }
    }
    None
}

/// Refuses the requests that gain nothing by waiting.
fn refuse_obstructed(
    state: &GatewayState,
    line: &mut ServiceLine,
    obstacle: ServiceObstacle,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    let entries = line.line.entries();
    let refused = entries.filter_map(|(key, entry)| Some((key, obstacle.decide(entry, now)?)));
    let refused: Vec<_> = refused.collect();
    for (key, return_after) in refused {
        refuse_one(state, line, key, return_after, obstacle.reason(), outcomes);
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
