//! Placer: samples the demand for the experts of model groups and changes the maps that assign the
//! experts to ranks.
//!
//! Load pattern: skewed demand under load. The rank with the hottest experts slows down each pass
//! of its whole group, so that the placer moves or replicates experts to even out the ranks.
//!
//! One gateway is the placer of a group: the live one with the highest hash of group and address.
//! Two gateways may consider themselves the placer for a while. The order of the steps of a map
//! change keeps the maps of all ranks identical even then.

mod demand;
mod recovery;
mod slowness;
mod snapshot;

use {
    self::{
        demand::sample,
        recovery::{free_if_held, is_stalled},
        slowness::SlownessWatch,
        snapshot::{GroupSnapshot, snapshots},
    },
    super::{engines::GroupEngines, state::GatewayState},
    futures_util::future::{Either, select},
    sassafrasslip_core::{
        dispatch::{
            EngineProfile, ExpertProfile, PassPace, RankStatus, RouteTable, Slowdown, SwitchResult,
            TargetId,
            demand_window::DemandWindow,
            map_plan::{
                PlanFigures, pass_is_slow, plan_change, slow_ranks_changed, tolerated_excess,
            },
            map_switch::{HOLDING_RANKS, RankControl, VERSION_PLACER_BITS, version_after},
            pass_to_hold,
            peer_table::STEADY_AFTER,
            switch_map,
        },
        events::LogEvent::{MapPlanned, MapSwitched},
        ids::GroupName,
        log_event,
        placement::{ExpertCounts, ExpertMap},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Interval at which all groups are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(40);

/// Pause after a map change. After a sample that led to no change the pause is twice as long.
const REVIEW_COOLDOWN: Duration = Duration::from_millis(250);

/// Margin added to the loading time of experts before the ranks are assumed to have loaded them.
const LOADING_MARGIN: Duration = Duration::from_millis(40);

/// Time after its start in which a gateway changes no map. It first has to learn of its peers, or
/// it would consider itself the placer of every group.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// Time for which a placer only observes a formation that is new to it, because the placer before
/// it may be in the middle of a change. It is skipped if no rank has loaded, armed or held
/// anything.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);

/// Timeout of freeing a group that was left held.
const FREE_TIMEOUT: Duration = Duration::from_secs(25);

/// State of the placement in one formation of a group.
#[derive(Debug)]
struct GroupAssignment {
    epoch: u64,
    map: ExpertMap,
    highest_version: u64,
    next_review: Instant,
    demand: DemandWindow,
    /// Speed of each rank for which the map was last planned.
    weights: Vec<f64>,
}

/// Groups that this gateway places, and the state that it keeps between reviews.
#[derive(Debug, Default)]
struct Placer {
    groups: RefCell<HashMap<GroupName, GroupAssignment>>,
    busy: RefCell<HashMap<GroupName, Rc<Cell<bool>>>>,
    /// Engines of the groups, with the connections that are kept to them.
    engines: RefCell<HashMap<GroupName, Rc<GroupEngines>>>,
    /// Formation of each group that this placer has seen last, and when it first did. A formation
    /// that is not in here yet may have been left held.
    first_seen: RefCell<HashMap<GroupName, (u64, Instant)>>,
    /// Epoch of the latest formation of each group that this placer has seen broken. The next
    /// formation of the group starts with nothing held, prepared or armed.
    broken_epochs: RefCell<HashMap<GroupName, u64>>,
    slowness: SlownessWatch,
    placer_bits: u64,
}

/// Reviews all groups at a fixed interval until the process ends: frees groups that were left held,
/// and changes the maps of slow groups that this gateway places.
pub async fn follow_groups(state: Rc<GatewayState>) {
    let placer_bits = rand::random::<u64>() & ((1 << VERSION_PLACER_BITS) - 1);
    let placer = Rc::new(Placer {
        placer_bits,
        ..Placer::default()
    });
    loop {
        sleep(REVIEW_INTERVAL).await;
        let Some(table) = state.table() else {
            continue;
        };
        placer.note_broken(&state);
        for snapshot in snapshots(&state, &placer) {
            let rule = table.service(&snapshot.service);
            let Some(engine) = rule.and_then(|rule| rule.engine) else {
                continue;
            };
            let Some(experts) = engine.experts else {
                continue;
            };
            let name = snapshot.name.clone();
            let busy = Rc::clone(placer.busy.borrow_mut().entry(name.clone()).or_default());
            if busy.get() {
                continue;
            }
            let (state, placer) = (Rc::clone(&state), Rc::clone(&placer));
            let places = state.started_at.elapsed() >= STARTUP_DELAY && is_placer(&state, &name);
            if places {
                placer.slowness.follow(&state, &snapshot);
            } else {
                placer.forget_group(&name);
            }
            let is_new = places && placer.is_first_look(&snapshot);
            let is_adopted = is_new && placer.adopt_new_formation(&snapshot, &experts);
            if (is_new && !is_adopted) || is_stalled(&state, &snapshot) {
                busy.set(true);
                tokio::task::spawn_local(async move {
                    let freeing = free_if_held(&placer, &snapshot, &experts);
                    if timeout(FREE_TIMEOUT, freeing).await.is_err() {
                        log::warn!("freeing the held group {} timed out", snapshot.name);
                    }
                    if is_new && is_idle(&snapshot.engines).await {
                        placer.note_idle(&snapshot);
                    }
                    busy.set(false);
                });
            } else if places
                && placer.is_settled(&snapshot)
                && is_due(&state, &placer, &table, &engine, &snapshot)
            {
                busy.set(true);
                let table = Rc::clone(&table);
                tokio::task::spawn_local(async move {
                    review_group(&state, &placer, &table, &engine, &experts, &snapshot).await;
                    busy.set(false);
                });
            }
        }
    }
}

impl Placer {
    /// Returns whether this placer sees a formation for the first time, and records that it has
    /// seen it. The placer before it may have left the group held.
    fn is_first_look(&self, snapshot: &GroupSnapshot) -> bool {
        let mut first_seen = self.first_seen.borrow_mut();
        let known = first_seen.get(&snapshot.name);
        if known.is_some_and(|(epoch, _)| *epoch == snapshot.epoch) {
            return false;
        }
        let look = (snapshot.epoch, Instant::now());
        first_seen.insert(snapshot.name.clone(), look);
        true
    }

    /// Records the formations that are broken and drops groups that no longer exist.
    fn note_broken(&self, state: &GatewayState) {
        let roster = state.roster.borrow();
        let mut broken_epochs = self.broken_epochs.borrow_mut();
        broken_epochs.retain(|name, _| roster.groups().contains_key(name));
        let views = roster.groups().iter().filter(|(_, view)| !view.is_open);
        broken_epochs.extend(views.map(|(name, view)| (name.clone(), view.epoch)));
    }

    /// Adopts a formation that this placer has seen form after the one before broke; returns
    /// whether it has. Its state need not be read first: nothing is held, and the engines of a new
    /// formation assign the experts to the ranks round-robin.
    fn adopt_new_formation(&self, snapshot: &GroupSnapshot, experts: &ExpertProfile) -> bool {
        let broken_epoch = self.broken_epochs.borrow().get(&snapshot.name).copied();
        if broken_epoch.is_none_or(|epoch| epoch >= snapshot.epoch) {
            return false;
        }
        let ranks = snapshot.engines.ranks();
        let group = GroupAssignment {
            epoch: snapshot.epoch,
            map: ExpertMap::round_robin(0, experts.sets, experts.experts, ranks),
            highest_version: 0,
            next_review: Instant::now(),
            demand: DemandWindow::default(),
            weights: vec![1.0; ranks],
        };
        let mut groups = self.groups.borrow_mut();
        groups.insert(snapshot.name.clone(), group);
        true
    }

    /// Returns the engines of a group at the given endpoints, with the connections that are kept to
    /// them.
    fn engines<'a>(
        &self,
        name: &GroupName,
        epoch: u64,
        endpoints: impl Clone + ExactSizeIterator<Item = (&'a TargetId, SocketAddr)>,
    ) -> Rc<GroupEngines> {
        let mut known = self.engines.borrow_mut();
        if let Some(engines) = known.get(name)
            && engines.matches(epoch, endpoints.clone())
        {
            return Rc::clone(engines);
        }
        let endpoints = endpoints.map(|(target, address)| (TargetId::clone(target), address));
        let engines = Rc::new(GroupEngines::new(name.clone(), epoch, endpoints.collect()));
        known.insert(name.clone(), Rc::clone(&engines));
        engines
    }

    /// Drops the state of a group that another gateway places now.
    fn forget_group(&self, name: &GroupName) {
        self.first_seen.borrow_mut().remove(name);
        self.groups.borrow_mut().remove(name);
    }

    /// Records that no placer is in the middle of a change of a formation, so that this placer need
    /// not wait for the takeover delay.
    fn note_idle(&self, snapshot: &GroupSnapshot) {
        let settled_since = Instant::now().checked_sub(TAKEOVER_DELAY);
        if let Some(since) = settled_since {
            let look = (snapshot.epoch, since);
            self.first_seen
                .borrow_mut()
                .insert(snapshot.name.clone(), look);
        }
    }

    /// Returns whether this placer may change the map of a formation: it has known it for the
    /// takeover delay, or has seen it form and no map has been changed yet.
    fn is_settled(&self, snapshot: &GroupSnapshot) -> bool {
        self.has_placed_for(snapshot, TAKEOVER_DELAY) || self.has_first_map(snapshot)
    }

    /// Returns whether this placer has known a formation for at least `time`.
    fn has_placed_for(&self, snapshot: &GroupSnapshot, time: Duration) -> bool {
        let first_seen = self.first_seen.borrow();
        let look = first_seen.get(&snapshot.name);
        look.is_some_and(|(_, at)| at.elapsed() >= time)
    }

    /// Returns whether a formation is known to use the map with which it formed.
    fn has_first_map(&self, snapshot: &GroupSnapshot) -> bool {
        let groups = self.groups.borrow();
        let group = groups.get(&snapshot.name);
        group.is_some_and(|group| group.epoch == snapshot.epoch && group.map.version() == 0)
    }
}

/// Returns whether this gateway is the placer of a group. Rendezvous hashing over the eligible
/// gateways decides; settled gateways are preferred, and leaving ones are excluded.
fn is_placer(state: &GatewayState, name: &GroupName) -> bool {
    let weight = |address: Ipv4Addr| {
        let mut key = name.as_str().as_bytes().to_vec();
        key.extend(address.octets());
        xxh3_64(&key)
    };
    let now = Instant::now();
    let is_settled = state.is_settled(now);
    let peers = state.peers.borrow();
    if state.leaving.get() || (!is_settled && peers.has_settled(now)) {
        return false;
    }
    let own = weight(state.own_address().unwrap_or(Ipv4Addr::UNSPECIFIED));
    peers
        .placers(is_settled, now)
        .into_iter()
        .all(|address| weight(address) < own)
}

/// Returns whether a review of the group's map is due: its pause is over and the passes are slow,
/// or, for a formation with its first map, the load is high enough to make them slow.
fn is_due(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    snapshot: &GroupSnapshot,
) -> bool {
    let now = Instant::now();
    let groups = placer.groups.borrow();
    let known = groups.get(&snapshot.name);
    if known.is_some_and(|group| now < group.next_review) {
        return false;
    }
    let load = snapshot.load(table);
    if known.is_some_and(|group| group.epoch == snapshot.epoch && group.map.version() == 0) {
        return load.expects_slow_passes(engine);
    }
    state
        .mean_pause(&snapshot.name)
        .is_some_and(|pause| pass_is_slow(engine, &load, pause))
}

/// Samples the demand for experts, changes the map if that helps, and sets the time of the next
/// review.
async fn review_group(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    experts: &ExpertProfile,
    snapshot: &GroupSnapshot,
) {
    let changed = change_map(state, placer, table, engine, experts, snapshot).await;
    let mut groups = placer.groups.borrow_mut();
    if let Some(group) = groups.get_mut(&snapshot.name) {
        group.next_review = Instant::now() + REVIEW_COOLDOWN;
        if changed.is_none() && group.map.version() == 0 {
            // A new formation may not have run a pass yet whose choices could be sampled.
            group.next_review = Instant::now();
        } else if changed.is_none() {
            group.next_review += REVIEW_COOLDOWN;
        }
    }
}

async fn change_map(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    experts: &ExpertProfile,
    snapshot: &GroupSnapshot,
) -> Option<()> {
    let engines = &*snapshot.engines;
    let started_at = Instant::now();
    let map = current_map(placer, experts, snapshot).await?;
    let (counts, weights) = find_cause(state, placer, experts, snapshot).await?;
    let tolerated = tolerated_excess(engine, &snapshot.load(table));
    let (planned, figures) = plan_change(experts, &weights, &map, &counts, tolerated)?;
    log_plan(snapshot, &figures, started_at);
    let planned = planned?;
    engines.take_stats();
    let version = next_version(placer, &snapshot.name)?;
    let fallback_version = next_version(placer, &snapshot.name)?;
    let planned = planned.with_version(version);
    let loading = experts.load_time * u32::try_from(figures.loads_per_rank).unwrap_or(u32::MAX);
    let known_version = map.version();
    let prepared_at = Instant::now();
    let pace = || PassPace {
        report_age: engine.report_age,
        // In a new formation no pause may have been observed yet.
        pause: state
            .mean_pause(&snapshot.name)
            .unwrap_or_else(|| snapshot.load(table).new_formation_pass(engine)),
        is_lossy: engines.stats().unanswered > 0,
    };
    let loading_time = loading + LOADING_MARGIN;
    let is_only_placer = placer.has_placed_for(snapshot, STEADY_AFTER)
        && state.peers.borrow().is_steady(prepared_at);
    let next_pass = async {
        // Unanswered orders are sent again, which takes longer than planned, so that the pace is
        // computed anew.
        let pace = pace();
        let time = pace.preparation_time(loading_time, is_only_placer);
        sleep_until(prepared_at + time).await;
        let statuses = first_statuses(engines, HOLDING_RANKS).await?;
        pass_to_hold(&statuses, known_version, &pace)
    };
    let result = switch_map(
        engines,
        Arc::new(planned.clone()),
        Arc::new(map.with_version(fallback_version)),
        pace().preparation_time(loading_time, is_only_placer),
        next_pass,
    )
    .await;
    let stats = engines.take_stats();
    log_event!(
        MapSwitched,
        group = snapshot.name,
        epoch = snapshot.epoch,
        version = version,
        result = format_args!("{result:?}"),
        orders = stats.given,
        refused = stats.refused,
        unanswered = stats.unanswered,
        loading_ms = loading.as_millis(),
        took_ms = started_at.elapsed().as_millis()
    );
    let mut groups = placer.groups.borrow_mut();
    match result {
        SwitchResult::Switched { .. } => {
            groups.get_mut(&snapshot.name)?.map = planned;
            state.metrics.map_changes.inc();
        }
        // Another placer may have changed the map meanwhile. The experts that the ranks hold are
        // read again before the next change.
        SwitchResult::Abandoned | SwitchResult::NotStarted(_) | SwitchResult::Undone(_) => {
            groups.remove(&snapshot.name);
        }
    }
    Some(())
}

/// Returns the demand for the experts and the speed of each rank, either of which may be the cause
/// of long passes. If ranks have become slow or have recovered, the demand that is known already is
/// used, since a sample takes as long as a pass.
async fn find_cause(
    state: &GatewayState,
    placer: &Placer,
    experts: &ExpertProfile,
    snapshot: &GroupSnapshot,
) -> Option<(ExpertCounts, Vec<f64>)> {
    let engines = &*snapshot.engines;
    let pass = state.mean_pause(&snapshot.name).unwrap_or_default();
    let rank_change = async {
        placer.slowness.check_all(state, engines).await;
        let weights = rank_weights(state, engines);
        let groups = placer.groups.borrow();
        let group = groups.get(&snapshot.name)?;
        if !slow_ranks_changed(&group.weights, &weights) {
            return None;
        }
        Some((group.demand.latest()?.clone(), weights))
    };
    let sampled = sample(placer, snapshot, experts, pass);
    let (counts, weights) = match select(pin!(rank_change), pin!(sampled)).await {
        Either::Left((Some(known), _)) => known,
        Either::Left((None, sampled)) => (sampled.await?, rank_weights(state, engines)),
        Either::Right((counts, rank_change)) => match (counts, rank_change.await) {
            (_, Some(known)) => known,
            (counts, None) => (counts?, rank_weights(state, engines)),
        },
    };
    let mut groups = placer.groups.borrow_mut();
    groups.get_mut(&snapshot.name)?.weights.clone_from(&weights);
    Some((counts, weights))
}

/// Returns the speed of each rank for the planning of a map: 1 for a rank that is as fast as the
/// median rank, less for a slow one.
fn rank_weights(state: &GatewayState, engines: &GroupEngines) -> Vec<f64> {
    let (now, roster) = (Instant::now(), state.roster.borrow());
    let usual = roster.group_pace(&engines.group, now).usual;
    let weights = (0..engines.ranks()).map(|rank| {
        let target = engines.target(rank).and_then(|id| roster.find_target(id));
        let slowdown = target.map_or(Slowdown::NONE, |target| roster.slowdown(target, now));
        if slowdown.is_slow(usual) {
            usual.factor() / slowdown.factor()
        } else {
            1.0
        }
    });
    weights.collect()
}

fn log_plan(snapshot: &GroupSnapshot, figures: &PlanFigures, started_at: Instant) {
    log_event!(
        MapPlanned,
        group = snapshot.name,
        epoch = snapshot.epoch,
        in_flight = snapshot.in_flight,
        skew_before = format_args!("{:.2}", figures.skew_before),
        skew_after = format_args!("{:.2}", figures.skew_after),
        loads = figures.loads,
        loads_per_rank = figures.loads_per_rank,
        sampled_ms = started_at.elapsed().as_millis()
    );
}

/// Returns the map in use; `None` if a rank does not answer. A placer that is new to a formation
/// reads the map from the ranks, except at version 0: the engines of a formation whose map was
/// never changed have assigned the experts to the ranks round-robin.
async fn current_map(
    placer: &Placer,
    experts: &ExpertProfile,
    snapshot: &GroupSnapshot,
) -> Option<ExpertMap> {
    let known = {
        let groups = placer.groups.borrow();
        let group = groups.get(&snapshot.name);
        let group = group.filter(|group| group.epoch == snapshot.epoch);
        group.map(|group| group.map.clone())
    };
    if known.is_some() {
        return known;
    }
    let engines = &snapshot.engines;
    let statuses = first_statuses(engines, engines.ranks()).await?;
    let highest_version = statuses.iter().map(RankStatus::highest_version).max()?;
    let version = statuses.first()?.map;
    let map = if version == 0 {
        ExpertMap::round_robin(0, experts.sets, experts.experts, engines.ranks())
    } else {
        let map = engines.map_in_use(experts.sets, experts.experts).await?;
        map.with_version(version)
    };
    let group = GroupAssignment {
        epoch: snapshot.epoch,
        map: map.clone(),
        highest_version,
        next_review: Instant::now(),
        demand: DemandWindow::default(),
        weights: vec![1.0; engines.ranks()],
    };
    placer
        .groups
        .borrow_mut()
        .insert(snapshot.name.clone(), group);
    Some(map)
}

/// Reads the reports of the first `count` ranks, or of all if there are fewer; `None` unless all of
/// them answer.
async fn first_statuses(engines: &GroupEngines, count: usize) -> Option<Vec<RankStatus>> {
    let ranks = 0..engines.ranks().min(count);
    let statuses = ranks.map(|rank| engines.status(rank));
    let statuses = futures_util::future::join_all(statuses).await;
    statuses.into_iter().collect()
}

/// Returns whether all ranks answer and none reports that a map change is in progress.
async fn is_idle(engines: &GroupEngines) -> bool {
    let statuses = first_statuses(engines, engines.ranks()).await;
    statuses.is_some_and(|statuses| !statuses.iter().any(RankStatus::takes_part_in_change))
}

/// Returns the next map version for a group, which is higher than all known ones and differs from
/// those of other placers.
fn next_version(placer: &Placer, name: &GroupName) -> Option<u64> {
    let mut groups = placer.groups.borrow_mut();
    let group = groups.get_mut(name)?;
    group.highest_version = version_after(group.highest_version, placer.placer_bits);
    Some(group.highest_version)
}
