//! Refuses waiting requests whose home zones have no target that could take them.
//!
//! Load pattern: requests bound to some regions wait in one queue with requests that may run
//! anywhere. One whose home zones are emptied must not wait behind those, nor be a reason to refuse
//! them.

use {
    super::{Result, ServiceQueue, TargetLease, UnavailableCause, Waiter, refuse_one},
    crate::gateway::state::GatewayState,
    sassafrasslip_core::{
        dispatch::{ChoiceInput, choose_home_target},
        ids::ServiceName,
    },
    std::collections::HashMap,
    tokio::time::Instant,
};

/// Refuses the requests that only targets in some zones may run, if none of these takes requests.
pub(super) fn refuse_without_home_target(
    state: &GatewayState,
    service: &ServiceName,
    queue: &mut ServiceQueue,
    now: Instant,
    outcomes: &mut Vec<(Waiter, Result<TargetLease>)>,
) {
    if queue
        .waiters
        .values()
        .all(|waiter| !waiter.homes.is_bound())
    {
        return;
    }
    let requests = queue.requests.requests();
    let refused = requests.filter_map(|(key, request)| {
        let waiter = queue.waiters.get(key)?;
        if !waiter.homes.is_bound() {
            return None;
        }
        let input = ChoiceInput {
            service,
            own_zone: &state.own_zone,
            tried: &waiter.tried,
            group_limits: &HashMap::new(),
            draw: 0.0,
            slice: None,
        };
        let choice = choose_home_target(&state.roster.borrow(), &input, &waiter.homes, now);
        let cause = UnavailableCause::of(choice)?;
        Some((key, cause.decide(request, now)?, cause.reason()))
    });
    let refused: Vec<_> = refused.collect();
    for (key, retry_after, reason) in refused {
        refuse_one(state, queue, key, retry_after, reason, outcomes);
    }
}
