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
        let is_broken = start_waiting(state, service, line, now, &mut outcomes);
        for (key, mut refusal) in line.line.refuse_hopeless(now) {
            if let Some(waiter) = line.waiters.remove(key) {
                state.metrics.waiting.dec();
                let mut reason = "no target in time";
                if is_broken {
                    refusal.retry_after = BROKEN_GROUP_RETURN;
                    reason = "group misses a rank";
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

/// Starts the requests for which there is a target; returns whether the groups of all targets miss
/// a rank.
fn start_waiting(
    state: &Rc<GatewayState>,
    service: &ServiceName,
    line: &mut ServiceLine,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) -> bool {
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
            TargetChoice::GroupBroken => {
                refuse_returning(state, line, outcomes);
                return true;
            }
            // Only the targets that this request has tried may be free.
            TargetChoice::Full if !input.tried.is_empty() => {}
            _ => break,
        }
    }
    false
}

/// Refuses the requests whose callers can come back. A group forms again within seconds, which is
/// longer than the callers of streams wait for a first event; a caller that cannot come back has
/// nothing to lose by waiting.
fn refuse_returning(
    state: &GatewayState,
    line: &mut ServiceLine,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    let returning = line.waiters.iter().filter(|(_, waiter)| waiter.can_return);
    let returning: Vec<_> = returning.map(|(key, _)| key).collect();
    for key in returning {
        line.line.remove(key);
        if let Some(waiter) = line.waiters.remove(key) {
            state.metrics.waiting.dec();
            let refusal = LineRefusal {
                retry_after: BROKEN_GROUP_RETURN,
                position: 0,
            };
            let reason = "group misses a rank";
            outcomes.push((waiter, Err(AdmissionRefusal { refusal, reason })));
        }
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
