//! Freeing of groups that a placer has left held.

use {
    super::{
        super::{engines::GroupEngines, state::GatewayState},
        GroupSituation, Placer, first_statuses,
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

/// Silence of all ranks of a group after which it may be held by a placer that is gone. Changes
/// hold a pass for some milliseconds.
const STALL_LIMIT: Duration = Duration::from_millis(600);

/// Additional silence for each gateway that comes before this one, so that one of them acts.
const STALL_STEP: Duration = Duration::from_millis(200);

/// Pause between two looks at a group that may be held. A group that goes on has begun another
/// pass by then.
const HELD_RECHECK: Duration = Duration::from_millis(150);

/// Returns whether no rank of a group has sent an event for long although requests run there.
pub(super) fn is_stalled(state: &GatewayState, situation: &GroupSituation) -> bool {
    let Some(progress_at) = situation.progress_at.filter(|_| situation.has_own_requests) else {
        return false;
    };
    let own = state.own_address().unwrap_or(Ipv4Addr::UNSPECIFIED);
    let peers = state.peers.borrow();
    let before = peers
        .serving(Instant::now())
        .filter(|address| *address < own)
        .count();
    let limit = STALL_LIMIT + STALL_STEP * u32::try_from(before).unwrap_or(u32::MAX);
    progress_at.elapsed() >= limit
}

/// Frees a group if a placer has left it held.
pub(super) async fn free_if_held(
    placer: &Placer,
    situation: &GroupSituation,
    experts: &ExpertProfile,
) {
    let engines = &*situation.engines;
    if !is_left_held(engines).await {
        return;
    }
    let freed = async {
        let statuses = first_statuses(engines, engines.ranks()).await?;
        let (holder, pass) = held_pass(&statuses)?;
        let map = engines.map_in_use(experts.sets, experts.experts).await?;
        let highest = statuses.iter().map(RankStatus::highest_version).max()?;
        let fallback = map.with_version(version_after(highest, placer.draw));
        let armed = armed_version(&statuses);
        Some(free_group(engines, holder, pass, armed, Arc::new(fallback)).await)
    };
    let result = freed.await;
    placer.groups.borrow_mut().remove(&situation.name);
    log_event!(
        GroupFreed,
        group = situation.name,
        epoch = situation.epoch,
        result = format_args!("{result:?}")
    );
}

/// Returns whether the group waits for a held pass.
async fn is_left_held(engines: &GroupEngines) -> bool {
    let look = || async {
        let ranks = (0..engines.ranks().min(HOLDING_RANKS)).map(|rank| engines.status(rank));
        let statuses = futures_util::future::join_all(ranks).await;
        held_pass(&statuses.into_iter().flatten().collect::<Vec<_>>()).map(|(_, pass)| pass)
    };
    let Some(pass) = look().await else {
        return false;
    };
    sleep(HELD_RECHECK).await;
    look().await == Some(pass)
}
