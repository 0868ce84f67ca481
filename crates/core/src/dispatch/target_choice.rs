//! Choice of a target for one request.
//!
//! Load pattern: full load on groups whose ranks step together. A rank with more running requests
//! than the others lengthens each pass of its whole group, so the least loaded target wins; the
//! own availability zone is preferred only while it costs less than a slot.

use {
    super::target_roster::{DirectTarget, TargetKey, TargetRoster, TargetState},
    crate::ids::{ServiceName, ZoneName},
    tokio::time::Instant,
};

/// Load that a target in another availability zone may have less before it is chosen, in slots.
/// Traffic between zones costs about 1% of a request's worth; a slot more costs about as much in
/// step time.
const ZONE_PREFERENCE_SLOTS: f64 = 1.5;

/// Weight of the running share of failures, in slots: a target that fails half of its requests is
/// used only when the others are full.
const FAILURE_WEIGHT_SLOTS: f64 = 24.0;

/// What decides on a target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Availability zone of this gateway.
    pub own_zone: &'a ZoneName,
    /// Targets that earlier attempts of the request have used.
    pub tried: &'a [TargetKey],
    /// Requests that a target may have in flight from all gateways; its own figure if absent.
    pub slots: Option<u32>,
    /// Uniform from 0 to 1; spreads equal targets among gateways that do not know each other's
    /// latest decisions.
    pub draw: f64,
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetChoice {
    /// The request goes to this target.
    Chosen(TargetKey),
    /// All usable targets are full.
    Full,
    /// Targets are known, but none is usable.
    Unusable,
    /// No target of the service is known, or all of them leave.
    Absent,
}

/// Chooses the target for a request.
pub fn choose_target(
    roster: &TargetRoster,
    input: &ChoiceInput<'_>,
    now: Instant,
) -> TargetChoice {
    let ready = || {
        let targets = roster.of_service(input.service);
        targets.filter(|(_, target)| target.entry.state == TargetState::Ready)
    };
    let (count, usable) = ready().fold((0_usize, 0_usize), |(count, usable), (_, target)| {
        let is_usable = target.health.is_usable(now);
        (count + 1, usable + usize::from(is_usable))
    });
    if count == 0 {
        return TargetChoice::Absent;
    }
    let untried = ready().filter(|(key, target)| {
        target.health.is_usable(now) && !input.tried.contains(key)
    });
    let free = untried.filter(|(_, target)| load(target) < slots(target, input));
    let free: Vec<_> = free.collect();
    let offset = (input.draw * free.len() as f64) as usize;
    let rotated = free.iter().cycle().skip(offset).take(free.len());
    let best = rotated.min_by(|(_, left), (_, right)| {
        score(left, input).total_cmp(&score(right, input))
    });
    match best {
        Some((key, _)) => TargetChoice::Chosen(*key),
        None if usable == 0 => TargetChoice::Unusable,
        None => TargetChoice::Full,
    }
}

fn load(target: &DirectTarget) -> u32 {
    target.own_in_flight + target.peer_in_flight
}

fn slots(target: &DirectTarget, input: &ChoiceInput<'_>) -> u32 {
    let limit = input.slots.unwrap_or(target.entry.slots).max(1);
    // A target on trial gets one request of this gateway.
    if target.health.is_ejected() { 1 } else { limit }
}

fn score(target: &DirectTarget, input: &ChoiceInput<'_>) -> f64 {
    let zone = if target.entry.availability_zone == *input.own_zone {
        0.0
    } else {
        ZONE_PREFERENCE_SLOTS
    };
    f64::from(load(target)) + zone + FAILURE_WEIGHT_SLOTS * target.health.failure_share()
}
