//! Choice of a target for a request.
//!
//! Load pattern: full load on groups whose ranks run each pass together. A rank with more running
//! requests than the others slows down each pass of its whole group, so the least loaded target is
//! chosen. Targets in the gateway's own availability zone are preferred only up to a small
//! difference in load.
//!
//! Load pattern: a slow rank. Each request that it runs lengthens the passes of its whole group by a
//! multiple, so that it gets none while another rank of the service is usable.
//!
//! Load pattern: all gateways start after the store was restored. A target that has left is in the
//! copy until its entry expires, so that targets which have written since are preferred.

use {
    super::{
        home_regions::HomeZones,
        prompt_spread::{SpreadCandidate, StartSlice, spread_start},
        request_limits::{FleetShare, StartPace},
        target_entry::{DirectTarget, TargetKey},
        target_roster::TargetRoster,
    },
    crate::ids::{GroupName, ServiceName, ZoneName},
    std::collections::{HashMap, HashSet},
    tokio::time::Instant,
};

/// Difference in load, in slots, up to which a target in the own availability zone is preferred to
/// a less loaded one in another zone. Traffic between zones costs about 1% of the value of a
/// request, and a slot more costs about as much in step time.
const ZONE_PREFERENCE_SLOTS: f64 = 1.5;

/// Difference in score to the best target, in slots, up to which a target may be chosen.
///
/// Load pattern: many gateways know each other's load with a delay of up to a second. All of them
/// see the same least loaded rank; if all chose it, the pass that reads all their prompts there
/// would be slow for the whole group.
const SPREAD_SLOTS: f64 = 1.0;

/// Weight of the share of failed requests in the score, in slots: a target that fails half of its
/// requests is used only when the others are full.
const FAILURE_WEIGHT_SLOTS: f64 = 24.0;

/// Input to the choice of a target, apart from the state of the targets.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Availability zone of this gateway.
    pub own_zone: &'a ZoneName,
    /// Targets of earlier attempts of the request, which are not chosen again.
    pub tried: &'a [TargetKey],
    /// Limits on the requests in flight of groups whose passes would take too long with all slots
    /// full; 0 for a group in which this gateway may not start a request yet.
    pub group_limits: &'a HashMap<GroupName, u32>,
    /// Random number, uniform from 0 to 1, that selects one of the targets with similar scores.
    /// Gateways, which do not know each other's latest choices, thus choose different targets.
    pub draw: f64,
    /// Place of this gateway among those that start requests, which counts for ranks of groups;
    /// `None` if it is unknown.
    pub slice: Option<StartSlice>,
}

/// Result of the choice of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetChoice {
    /// The request is sent to this target.
    Chosen(TargetKey),
    /// All usable targets, or their groups, have reached their limits on requests in flight or on
    /// the rate of requests.
    Full,
    /// The request has already been sent to every target that accepts requests.
    Exhausted,
    /// No target is usable, and a group of the service is broken. Holds the latest of the times
    /// since which such groups run no requests, or since which all ranks of one answer again.
    GroupBroken(Instant),
    /// All targets that would otherwise be usable are held off, the first of them until this time.
    HeldOff(Instant),
    /// Targets accept requests, but none is usable.
    Unusable,
    /// No target of the service is known in the home zones of the request, or all of them are
    /// leaving.
    Absent,
    /// All targets that could take the request are in emptied zones.
    Emptied,
}

/// Chooses the target for a request that may run in every zone, or returns why there is none.
pub fn choose_target(roster: &TargetRoster, input: &ChoiceInput<'_>, now: Instant) -> TargetChoice {
    choose_home_target(roster, input, &HomeZones::default(), now)
}

/// Chooses the target for a request that may run in its home zones only, or returns why there is
/// none.
pub fn choose_home_target(
    roster: &TargetRoster,
    input: &ChoiceInput<'_>,
    homes: &HomeZones,
    now: Instant,
) -> TargetChoice {
    let ready = || {
        let targets = roster.of_service(input.service);
        targets.filter(|(_, target)| target.takes_work())
    };
    let is_home = |target: &DirectTarget| homes.contains(&target.entry.availability_zone);
    let at_home = || ready().filter(|(_, target)| is_home(target));
    if at_home().next().is_none() {
        let mut targets = roster.of_service(input.service);
        let waits = targets.any(|(_, target)| !target.is_leaving() && is_home(target));
        return if waits {
            TargetChoice::Emptied
        } else {
            TargetChoice::Absent
        };
    }
    let mut summary = ServiceSummary::default();
    let running = roster.of_service(input.service);
    for (_, target) in running.filter(|(_, target)| !target.is_leaving()) {
        summary.add_load(target);
    }
    for (key, target) in at_home() {
        summary.add(key, target, now);
    }
    if at_home().all(|(key, _)| input.tried.contains(&key)) {
        return TargetChoice::Exhausted;
    }
    let slow = summary.slow_targets(roster, now);
    let free = at_home().filter(|(key, target)| {
        is_usable(target, now)
            && !slow.contains(key)
            && !input.tried.contains(key)
            && target.in_flight() < slots(target)
            && !summary.is_full(target, input)
            && (roster.admits(target, now) || roster.admits_idle(target, now))
    });
    let mut free: Vec<_> = free.collect();
    if free.iter().any(|(_, target)| roster.admits(target, now)) {
        free.retain(|(_, target)| roster.admits(target, now));
    }
    let has_certain = free.iter().any(|(_, target)| !roster.is_doubtful(target));
    let scored: Vec<_> = free
        .into_iter()
        .filter(|(_, target)| !(has_certain && roster.is_doubtful(target)))
        .map(|(key, target)| (key, score(target, input)))
        .collect();
    if let Some(slice) = input.slice {
        // Only ranks run in passes; where a service has other targets too, the least loaded one of
        // all is chosen.
        let ranks = scored.iter().map(|(key, _)| {
            let target = roster.get(*key)?;
            target.entry.group.as_ref()?;
            let penalty = FAILURE_WEIGHT_SLOTS * target.health.failure_share();
            Some(SpreadCandidate {
                key: *key,
                order: target.name_hash,
                in_flight: target.in_flight(),
                load: f64::from(target.in_flight()) + penalty,
                own_load: f64::from(target.own_in_flight) + penalty,
                is_near: target.entry.availability_zone == *input.own_zone,
                started_at: target.started_at,
            })
        });
        let ranks: Option<Vec<_>> = ranks.collect();
        if let Some(key) = ranks.and_then(|ranks| spread_start(ranks, slice, input.draw, now)) {
            return TargetChoice::Chosen(key);
        }
    }
    let best = scored
        .iter()
        .map(|(_, score)| *score)
        .min_by(f64::total_cmp);
    let candidates: Vec<_> = scored
        .iter()
        .filter(|(_, score)| best.is_some_and(|best| *score <= best + SPREAD_SLOTS))
        .collect();
    let chosen = (input.draw * candidates.len() as f64) as usize;
    match candidates.get(chosen) {
        Some((key, _)) => TargetChoice::Chosen(*key),
        None if summary.usable > 0 => TargetChoice::Full,
        None if summary.broken > 0 => {
            let names = summary.group_loads.keys();
            let outages = names.filter_map(|name| roster.outage_since(name));
            TargetChoice::GroupBroken(outages.max().unwrap_or(now))
        }
        None => summary
            .held_off_until
            .map_or(TargetChoice::Unusable, TargetChoice::HeldOff),
    }
}

/// Returns the pace at which this gateway may start requests to a service; `None` if a usable target
/// has no limit on the rate of requests, or none is usable.
pub fn start_pace(
    roster: &TargetRoster,
    service: &ServiceName,
    share: FleetShare,
    now: Instant,
) -> Option<StartPace> {
    let usable = roster.of_service(service).map(|(_, target)| target);
    let usable = usable.filter(|target| target.takes_work() && is_usable(target, now));
    roster.limited_pace(usable, share, now)
}

/// Totals over all targets of a service that accept requests.
#[derive(Debug, Default)]
struct ServiceSummary<'a> {
    usable: usize,
    broken: usize,
    /// Earliest end of a hold-off.
    held_off_until: Option<Instant>,
    group_loads: HashMap<&'a GroupName, u32>,
    /// Usable members of groups.
    usable_ranks: Vec<(TargetKey, &'a GroupName, &'a DirectTarget)>,
}

impl<'a> ServiceSummary<'a> {
    /// Adds the load of a target to its group. The limit of a group counts all ranks, also those
    /// that this request may not use.
    fn add_load(&mut self, target: &'a DirectTarget) {
        if let Some(member) = &target.entry.group {
            let load = self.group_loads.entry(&member.name).or_default();
            *load = load.saturating_add(target.in_flight());
        }
    }

    /// Adds a target that the request may use.
    fn add(&mut self, key: TargetKey, target: &'a DirectTarget, now: Instant) {
        let is_usable = is_usable(target, now);
        self.usable += usize::from(is_usable);
        if target.notice.is_held_off(now) && target.group_runs && !target.is_superseded {
            let until = target.notice.held_off_until.into_iter();
            self.held_off_until = self.held_off_until.into_iter().chain(until).min();
        }
        if let Some(member) = &target.entry.group {
            self.broken += usize::from(!target.group_runs);
            if is_usable {
                self.usable_ranks.push((key, &member.name, target));
            }
        }
    }

    /// Returns the usable targets that are slow, unless no other target is usable.
    fn slow_targets(&self, roster: &TargetRoster, now: Instant) -> HashSet<TargetKey> {
        let paces = self.group_loads.keys();
        let paces: HashMap<_, _> = paces
            .map(|name| (*name, roster.group_pace(name, now)))
            .filter(|(_, pace)| pace.slow_ranks > 0)
            .collect();
        let slow = self.usable_ranks.iter().filter(|(_, name, target)| {
            let pace = paces.get(name);
            pace.is_some_and(|pace| roster.slowdown(target, now).is_slow(pace.usual))
        });
        let slow: HashSet<_> = slow.map(|(key, _, _)| *key).collect();
        if slow.len() < self.usable {
            slow
        } else {
            HashSet::new()
        }
    }

    fn is_full(&self, target: &DirectTarget, input: &ChoiceInput<'_>) -> bool {
        let Some(member) = &target.entry.group else {
            return false;
        };
        let load = self
            .group_loads
            .get(&member.name)
            .copied()
            .unwrap_or_default();
        let limit = input.group_limits.get(&member.name);
        limit.is_some_and(|limit| load >= *limit)
    }
}

fn is_usable(target: &DirectTarget, now: Instant) -> bool {
    target.group_runs
        && !target.is_superseded
        && !target.notice.is_held_off(now)
        && target.health.is_usable(now)
}

fn slots(target: &DirectTarget) -> u32 {
    let limit = target.entry.slots.max(1);
    // A target that was ejected gets a single trial request from this gateway.
    if target.health.is_ejected() { 1 } else { limit }
}

fn score(target: &DirectTarget, input: &ChoiceInput<'_>) -> f64 {
    let zone = if target.entry.availability_zone == *input.own_zone {
        0.0
    } else {
        ZONE_PREFERENCE_SLOTS
    };
    f64::from(target.in_flight()) + zone + FAILURE_WEIGHT_SLOTS * target.health.failure_share()
}
