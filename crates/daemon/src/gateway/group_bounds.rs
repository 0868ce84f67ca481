//! Bounds on the requests of model groups, from the pauses that this gateway sees.

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

/// Change of a group's bound from which on it is logged, as a share.
const LOGGED_CHANGE: f64 = 0.1;

/// Bound and pace of one group.
#[derive(Debug, Default)]
struct GroupBound {
    governor: PassGovernor,
    pacer: StartPacer,
    /// Bound as it was logged last.
    logged: u32,
}

/// Bounds of all groups.
#[derive(Debug, Default)]
pub struct GroupBounds {
    groups: HashMap<GroupName, GroupBound>,
}

impl GroupBounds {
    /// Notes a pause between two events of a stream; `own` is what this gateway has in flight.
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

    /// Notes that this gateway starts a request in a group.
    pub fn record_start(&mut self, group: &GroupName) {
        if let Some(bound) = self.groups.get_mut(group) {
            bound.pacer.record_start();
        }
    }

    /// Returns the bounds of groups for a request that can or cannot be on time any more, which are zero for groups in which this gateway may not start
    /// a request yet.
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

    /// Returns the mean pause between events of a group's streams; `None` while unknown.
    pub fn mean_pause(&self, group: &GroupName) -> Option<Duration> {
        self.groups.get(group)?.governor.mean_pause()
    }

    /// Forgets a group, because it has formed anew.
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
