//! Recovery of groups whose ranks wait at a held pass because their placer has gone.
//!
//! To switch maps, a placer makes all ranks stop before one forward pass (it holds the pass). If
//! the placer stops or is cut off before it releases the pass, the whole group stalls until another
//! gateway frees it.

use {
    super::{
        super::{engines::GroupEngines, state::GatewayState},
        GroupSnapshot, Placer, first_statuses,
    },
    sassafrasslip_core::{
        dispatch::{
            ExpertProfile, RankControl, RankStatus, armed_version, free_group, held_pass,
            map_switch::{HOLDING_RANKS, version_after},
        },
        events::LogEvent::GroupFreed,
        log_event,
    },
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Silence of all ranks of a group after which its placer may have gone and left it held. A normal
/// map change holds a pass for only a few milliseconds.
const STALL_LIMIT: Duration = Duration::from_millis(600);

/// Additional silence for each serving gateway with a lower address, so that normally only one
/// gateway frees the group.
const STALL_STAGGER: Duration = Duration::from_millis(200);

/// Delay between the two checks whether a group is held. A group that makes progress has begun
/// another pass by the second one.
const HELD_RECHECK_DELAY: Duration = Duration::from_millis(150);

/// Returns whether no rank of a group has sent an event for longer than the stall limit although
/// requests of this gateway are in flight there.
pub(super) fn is_stalled(state: &GatewayState, snapshot: &GroupSnapshot) -> bool {
    let Some(progress_at) = snapshot.progress_at.filter(|_| snapshot.has_own_requests) else {
        return false;
    };
    let own = state.own_address().unwrap_or(Ipv4Addr::UNSPECIFIED);
    let peers = state.peers.borrow();
    let before = peers
        .serving(Instant::now())
        .filter(|address| *address < own)
        .count();
    let limit = STALL_LIMIT + STALL_STAGGER * u32::try_from(before).unwrap_or(u32::MAX);
    progress_at.elapsed() >= limit
}

/// Frees a group that its placer has left held: releases the held pass and restores one map for all
/// ranks. Does nothing if the group is not held.
pub(super) async fn free_if_held(
    placer: &Placer,
    snapshot: &GroupSnapshot,
    experts: &ExpertProfile,
) {
    let engines = &*snapshot.engines;
    if !is_held(engines).await {
        return;
    }
    let freed = async {
        let statuses = first_statuses(engines, engines.ranks()).await?;
        let (holder, pass) = held_pass(&statuses)?;
        let map = engines.map_in_use(experts.sets, experts.experts).await?;
        let highest = statuses.iter().map(RankStatus::highest_version).max()?;
        let fallback = map.with_version(version_after(highest, placer.placer_bits));
        let armed = armed_version(&statuses);
        Some(free_group(engines, holder, pass, armed, Arc::new(fallback)).await)
    };
    let result = freed.await;
    placer.groups.borrow_mut().remove(&snapshot.name);
    log_event!(
        GroupFreed,
        group = snapshot.name,
        epoch = snapshot.epoch,
        result = format_args!("{result:?}")
    );
}

/// Returns whether the group waits at the same held pass in two checks, which shows that nobody is
/// about to release it.
async fn is_held(engines: &GroupEngines) -> bool {
    let read_held_pass = || async {
        let ranks = (0..engines.ranks().min(HOLDING_RANKS)).map(|rank| engines.status(rank));
        let statuses = futures_util::future::join_all(ranks).await;
        held_pass(&statuses.into_iter().flatten().collect::<Vec<_>>()).map(|(_, pass)| pass)
    };
    let Some(pass) = read_held_pass().await else {
        return false;
    };
    sleep(HELD_RECHECK_DELAY).await;
    read_held_pass().await == Some(pass)
}
