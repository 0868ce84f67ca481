//! Targets of the platform's instance list, and the links to their agents.

pub mod agent_link;

use {
    super::{context::EntryContext, peers},
    crate::{
        constants::INSTANCE_LIST_INTERVAL,
        platform::{InstanceList, ListedInstance, ListedRole, ListedState},
    },
    sassafrasslip_core::{
        events::LogEvent::{
            InstanceJoined, InstanceLeft, PlatformRecovered, PlatformUnavailable, TargetDraining,
        },
        log_event,
        membership::{TargetKey, TargetListing},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval, sleep},
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// Longest wait for links before an entry reports itself ready. Covers two failed attempts to open
/// a link, with the pauses after them.
const READY_LINK_LIMIT: Duration = Duration::from_secs(2);

/// Interval at which the state of the links is polled before the entry reports itself ready.
const LINK_POLL: Duration = Duration::from_millis(10);

/// Waits until the instance list was read and the links to all listed targets that are not leaving
/// are open. An entry that reported itself ready earlier would refuse requests only because it has
/// just started. Targets that cannot be reached delay readiness by at most [`READY_LINK_LIMIT`]
/// after the list was read.
pub async fn wait_for_links(context: &EntryContext) {
    context.list_read.cancelled().await;
    let limit = Instant::now() + READY_LINK_LIMIT;
    let is_linked = || {
        let state = context.state();
        let mut targets = state.membership.targets();
        targets.all(|(_, target)| target.is_connected() || target.listing.leaving)
    };
    while !is_linked() && Instant::now() < limit {
        sleep(LINK_POLL).await;
    }
}

/// Polls the instance list every [`INSTANCE_LIST_INTERVAL`], and keeps a link to the agent of each
/// listed target and to each listed peer whose link this entry has to open. Never returns.
pub async fn follow_instances(context: Arc<EntryContext>, list: Arc<dyn InstanceList>) {
    let mut targets: HashMap<TargetKey, DropGuard> = HashMap::new();
    let mut peer_links = peers::PeerLinks::default();
    let mut is_failing = false;
    let mut ticks = interval(INSTANCE_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match list.list().await {
            Ok(instances) => {
                if is_failing {
                    log_event!(PlatformRecovered, call = "instances");
                }
                is_failing = false;
                peer_links.apply(&context, &instances);
                apply_targets(&context, instances, &mut targets);
            }
            Err(error) => {
                // The last successfully read list stays in use.
                if !is_failing {
                    log_event!(PlatformUnavailable, call = "instances", error = error);
                }
                is_failing = true;
            }
        }
        context.list_read.cancel();
    }
}

/// Updates membership by the instance list; opens links to new targets and closes those of removed
/// ones.
fn apply_targets(
    context: &Arc<EntryContext>,
    instances: Vec<ListedInstance>,
    links: &mut HashMap<TargetKey, DropGuard>,
) {
    let listings: Vec<_> = instances.into_iter().filter_map(target_listing).collect();
    let mut state = context.state();
    state.membership.apply_view(&context.current_view());
    let changes = state.membership.apply_list(listings);
    let listing = |key: &TargetKey| {
        let target = state.membership.target(*key)?;
        Some((*key, target.listing.clone()))
    };
    let joined: Vec<_> = changes.joined.iter().filter_map(listing).collect();
    let leaving: Vec<_> = changes.leaving.iter().filter_map(listing).collect();
    drop(state);
    for key in changes.removed {
        // Dropping the guard cancels the task that maintains the link.
        links.remove(&key);
    }
    for (_, listing) in leaving {
        log_event!(
            TargetDraining,
            target = listing.name,
            source = "instance list"
        );
    }
    for (key, listing) in joined {
        log_event!(InstanceJoined, instance = listing.name, role = "target");
        links.insert(key, spawn_link(context, key, listing));
    }
}

/// Returns the listing of a target; `None` for other roles and for targets without a service.
fn target_listing(instance: ListedInstance) -> Option<TargetListing> {
    if instance.role != ListedRole::Target {
        return None;
    }
    Some(TargetListing {
        name: instance.instance,
        availability_zone: instance.availability_zone,
        service: instance.service?,
        group: instance.group,
        link_address: instance.link_address,
        leaving: instance.state == ListedState::Leaving,
    })
}

fn spawn_link(context: &Arc<EntryContext>, key: TargetKey, listing: TargetListing) -> DropGuard {
    let (stop, context) = (CancellationToken::new(), Arc::clone(context));
    let guard = stop.clone().drop_guard();
    tokio::spawn(async move {
        tokio::select! {
            () = agent_link::maintain_link(&context, key, &listing) => {}
            () = stop.cancelled() => {}
        }
        log_event!(InstanceLeft, instance = listing.name, role = "target");
    });
    guard
}
