//! Limits on the requests in flight in each model group, derived from the pauses between events
//! that this gateway observes.
//!
//! Load pattern: overload of a group. Every request that is added slows down the passes for all
//! streams of the group, so that requests beyond the limit wait in the gateway instead.

use {
    sassafrasslip_core::{
        dispatch::{EngineProfile, GroupLoad, PassGovernor, StartPacer, pass_governor::late_limit},
        events::LogEvent::GroupBounded,
        ids::GroupName,
        log_event,
    },
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Relative change of a group's limit above which the new limit is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// Limit on requests in flight, and rate of starts, of one group.
#[derive(Debug, Default)]
struct GroupBound {
    governor: PassGovernor,
    pacer: StartPacer,
    /// Limit that was last logged; 0 before the first log line.
    logged: u32,
}

/// Limits of all groups in which this gateway has observed pauses.
#[derive(Debug, Default)]
pub struct GroupBounds {
    groups: HashMap<GroupName, GroupBound>,
}

impl GroupBounds {
    /// Records a pause between two events of a stream and updates the limit of the stream's group.
    /// `own` is the number of requests that this gateway has in flight in the group.
    pub fn record_pause(
        &mut self,
        group: &GroupName,
        pause: Duration,
        engine: &EngineProfile,
        load: &GroupLoad,
        own: u32,
    ) {
        let bound = self.groups.entry(group.clone()).or_default();
        bound.governor.record_pause(pause);
        if !bound.governor.update(engine, load, Instant::now()) {
            return;
        }
        let own = own.max(1);
        let share = f64::from(own) / f64::from(load.in_flight.max(own));
        let pass = bound.governor.mean_pause().unwrap_or_default();
        bound.pacer.set_pace(load.ranks, share, pass);
        bound.log_change(group, load.in_flight);
    }

    /// Records that this gateway starts a request in a group.
    pub fn record_start(&mut self, group: &GroupName) {
        if let Some(bound) = self.groups.get_mut(group) {
            bound.pacer.record_start();
        }
    }

    /// Returns the limits of the groups for one request; `is_late` says that the request can no
    /// longer be on time. The limit is 0 for groups in which this gateway may not start another
    /// request yet, and groups without a limit are left out.
    pub fn limits(&mut self, now: Instant, is_late: bool) -> HashMap<GroupName, u32> {
        let bounds = self.groups.iter_mut().filter_map(|(name, bound)| {
            let mut limit = bound.governor.limit()?;
            if is_late {
                limit = late_limit(limit);
            }
            let limit = if bound.pacer.allows(now) { limit } else { 0 };
            Some((name.clone(), limit))
        });
        bounds.collect()
    }

    /// Returns the limit of a group; `None` while unknown.
    pub fn limit(&self, group: &GroupName) -> Option<u32> {
        self.groups.get(group)?.governor.limit()
    }

    /// Returns the mean pause between events of a group's streams, or `None` while unknown.
    pub fn mean_pause(&self, group: &GroupName) -> Option<Duration> {
        self.groups.get(group)?.governor.mean_pause()
    }

    /// Returns the longest mean pause of all groups, or `None` while none is known.
    pub fn longest_pause(&self) -> Option<Duration> {
        let groups = self.groups.values();
        groups.filter_map(|bound| bound.governor.mean_pause()).max()
    }

    /// Removes what is known about a group, which no longer holds once the group has broken or
    /// formed again.
    pub fn forget(&mut self, group: &GroupName) {
        self.groups.remove(group);
    }
}

impl GroupBound {
    fn log_change(&mut self, group: &GroupName, in_flight: u32) {
        let limit = self.governor.limit().unwrap_or_default();
        let difference = f64::from(limit.abs_diff(self.logged));
        if difference <= f64::from(self.logged) * LOGGED_CHANGE {
            return;
        }
        self.logged = limit;
        log_event!(
            GroupBounded,
            group = group,
            limit = limit,
            in_flight = in_flight,
            pause_ms = self.governor.mean_pause().unwrap_or_default().as_millis()
        );
    }
}
