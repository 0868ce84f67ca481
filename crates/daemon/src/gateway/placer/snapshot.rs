//! State of the groups at the time of a review.

use {
    super::{
        super::{engines::GroupEngines, state::GatewayState},
        Placer,
    },
    sassafrasslip_core::{
        dispatch::{
            DirectTarget, GroupMember, GroupPace, RankControl, RouteTable, map_plan::PassLoad,
        },
        ids::{GroupName, ServiceName},
    },
    std::{collections::BTreeMap, rc::Rc},
    tokio::time::Instant,
};

/// State of a group at the time of a review, as this gateway knows it.
pub(super) struct GroupSnapshot {
    pub(super) name: GroupName,
    pub(super) service: ServiceName,
    pub(super) epoch: u64,
    pub(super) engines: Rc<GroupEngines>,
    pub(super) in_flight: u32,
    pub(super) pace: GroupPace,
    pub(super) progress_at: Option<Instant>,
    pub(super) has_own_requests: bool,
}

/// Returns the state of all groups that run and of which every rank is known, in one iteration over
/// the targets. Draining ranks are included, because they take part in each pass until they leave.
pub(super) fn snapshots(state: &GatewayState, placer: &Placer) -> Vec<GroupSnapshot> {
    let roster = state.roster.borrow();
    let mut ranks: BTreeMap<&GroupName, Vec<(&GroupMember, &DirectTarget)>> = BTreeMap::new();
    for (_, target) in roster.iter() {
        if let Some(member) = &target.entry.group {
            ranks
                .entry(&member.name)
                .or_default()
                .push((member, target));
        }
    }
    let views = roster.groups();
    let snapshots = ranks.into_iter().filter_map(|(name, ranks)| {
        let view = views.get(name).filter(|view| view.is_open)?;
        let pace = roster.group_pace(name, Instant::now());
        GroupSnapshot::gather(placer, name, view.epoch, pace, ranks)
    });
    snapshots.collect()
}

impl GroupSnapshot {
    /// Gathers the state of a group; `None` unless every rank is known.
    fn gather(
        placer: &Placer,
        name: &GroupName,
        epoch: u64,
        pace: GroupPace,
        mut ranks: Vec<(&GroupMember, &DirectTarget)>,
    ) -> Option<Self> {
        // Requests at a target whose rank another target has taken over are still in flight.
        let loads = ranks.iter().map(|(_, target)| target.in_flight());
        let in_flight = loads.fold(0, u32::saturating_add);
        ranks.retain(|(_, target)| !target.is_superseded);
        ranks.sort_by_key(|(member, _)| member.rank);
        let (first, target) = *ranks.first()?;
        let numbers = ranks.iter().map(|(member, _)| member.rank);
        if !numbers.eq(0..first.size) {
            return None;
        }
        let targets = || ranks.iter().map(|(_, target)| target);
        let endpoints = targets().map(|target| (&target.entry.id, target.entry.address));
        Some(Self {
            name: name.clone(),
            service: target.entry.service.clone(),
            epoch,
            engines: placer.engines(name, epoch, endpoints),
            in_flight,
            pace,
            progress_at: targets().filter_map(|target| target.progress_at).max(),
            has_own_requests: targets().any(|target| target.own_in_flight > 0),
        })
    }
}

impl GroupSnapshot {
    /// Returns the load on which the duration of the passes depends.
    pub(super) fn load(&self, table: &RouteTable) -> PassLoad {
        PassLoad {
            ranks: self.engines.ranks(),
            in_flight: self.in_flight,
            pause_objective: table.pause_objective(&self.service),
        }
    }
}
