//! Placer: follows the demand for experts of the groups and changes their maps.
//!
//! One gateway places the experts of a group: the live one with the highest hash over group and
//! address. Two gateways may believe to be it for a while; the order of steps of a change keeps
//! the maps of all ranks the same even then.

mod demand;
mod recovery;

use {
    self::{
        demand::sample,
        recovery::{free_if_held, is_stalled},
    },
    super::{engines::GroupEngines, state::GatewayState},
    sassafrasslip_core::{
        dispatch::{
            DirectTarget, EngineProfile, ExpertProfile, GroupSeat, PassPace, RankStatus,
            RouteTable, SwitchResult, TargetId,
            demand_window::DemandWindow,
            map_plan::{PassLoad, PlanFigures, pass_is_slow, plan_change, tolerated_excess},
            map_switch::{HOLDING_RANKS, RankControl, VERSION_PLACER_BITS, version_after},
            pass_to_hold,
            peer_table::STEADY_AFTER,
            switch_map,
        },
        events::LogEvent::{MapPlanned, MapSwitched},
        ids::{GroupName, ServiceName},
        log_event,
        placement::ExpertMap,
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::{Ipv4Addr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Interval at which groups are looked at.
const REVIEW_INTERVAL: Duration = Duration::from_millis(40);

/// Pause after a change or a sample that led to none.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Time beyond the loading of the experts before a rank is taken to be prepared.
const LOADING_MARGIN: Duration = Duration::from_millis(40);

/// Time after the start in which a gateway places nothing. It hears of its peers meanwhile; without
/// them it would take itself for the placer of every group.
const START_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a placer only looks at a formation that is new to it, unless no rank has loaded,
/// armed or held anything. The placer before it may be in the middle of a change.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(400);

/// Time that freeing a group may take.
const FREE_LIMIT: Duration = Duration::from_secs(25);

/// What a placer knows about a group.
#[derive(Debug)]
struct PlacedGroup {
    epoch: u64,
    map: ExpertMap,
    highest_version: u64,
    next_review: Instant,
    demand: DemandWindow,
}

/// Groups that this gateway places, and those that are being worked on.
#[derive(Debug, Default)]
struct Placer {
    groups: RefCell<HashMap<GroupName, PlacedGroup>>,
    busy: RefCell<HashMap<GroupName, Rc<Cell<bool>>>>,
    /// Engines of the groups, with the channels that are kept to them.
    engines: RefCell<HashMap<GroupName, Rc<GroupEngines>>>,
    /// Formations that this placer has looked at, to find those that were left held, and when it
    /// first did.
    seen: RefCell<HashMap<GroupName, (u64, Instant)>>,
    /// Latest formations that this placer has seen broken. The next one of the group starts with
    /// nothing held, prepared or armed.
    broken: RefCell<HashMap<GroupName, u64>>,
    draw: u64,
}

/// Figures of a group at one moment.
struct GroupSituation {
    name: GroupName,
    service: ServiceName,
    epoch: u64,
    engines: Rc<GroupEngines>,
    in_flight: u32,
    progress_at: Option<Instant>,
    has_own_requests: bool,
}

/// Follows the groups until the process ends.
pub async fn follow_groups(state: Rc<GatewayState>) {
    let draw = rand::random::<u64>() & ((1 << VERSION_PLACER_BITS) - 1);
    let placer = Rc::new(Placer {
        draw,
        ..Placer::default()
    });
    loop {
        sleep(REVIEW_INTERVAL).await;
        let Some(table) = state.table() else {
            continue;
        };
        placer.note_broken(&state);
        for situation in situations(&state, &placer) {
            let rule = table.service(&situation.service);
            let Some(engine) = rule.and_then(|rule| rule.engine) else {
                continue;
            };
            let Some(experts) = engine.experts else {
                continue;
            };
            let name = situation.name.clone();
            let busy = Rc::clone(placer.busy.borrow_mut().entry(name.clone()).or_default());
            if busy.get() {
                continue;
            }
            let (state, placer) = (Rc::clone(&state), Rc::clone(&placer));
            let places = state.started_at.elapsed() >= START_PAUSE && is_placer(&state, &name);
            if !places {
                placer.leave(&name);
            }
            let is_new = places && placer.is_first_look(&situation);
            let is_fresh = is_new && placer.begins_anew(&situation, &experts);
            if (is_new && !is_fresh) || is_stalled(&state, &situation) {
                busy.set(true);
                tokio::task::spawn_local(async move {
                    let freeing = free_if_held(&placer, &situation, &experts);
                    if timeout(FREE_LIMIT, freeing).await.is_err() {
                        log::warn!("freeing group {} took too long", situation.name);
                    }
                    if is_new && is_idle(&situation.engines).await {
                        placer.note_idle(&situation);
                    }
                    busy.set(false);
                });
            } else if places
                && placer.is_settled(&situation)
                && is_due(&state, &placer, &table, &engine, &situation)
            {
                busy.set(true);
                let table = Rc::clone(&table);
                tokio::task::spawn_local(async move {
                    review_group(&state, &placer, &table, &engine, &experts, &situation).await;
                    busy.set(false);
                });
            }
        }
    }
}

impl Placer {
    /// Returns whether this placer sees a formation for the first time. The placer before it may
    /// have left the group held.
    fn is_first_look(&self, situation: &GroupSituation) -> bool {
        let mut seen = self.seen.borrow_mut();
        let known = seen.get(&situation.name);
        if known.is_some_and(|(epoch, _)| *epoch == situation.epoch) {
            return false;
        }
        let look = (situation.epoch, Instant::now());
        seen.insert(situation.name.clone(), look);
        true
    }

    /// Notes the formations that are broken.
    fn note_broken(&self, state: &GatewayState) {
        let roster = state.roster.borrow();
        let mut broken = self.broken.borrow_mut();
        broken.retain(|name, _| roster.groups().contains_key(name));
        let views = roster.groups().iter().filter(|(_, view)| !view.is_open);
        broken.extend(views.map(|(name, view)| (name.clone(), view.epoch)));
    }

    /// Takes over a formation whose beginning this placer has seen, and returns whether it has. Its
    /// engines deal the experts out in turn, so that its state need not be read first.
    fn begins_anew(&self, situation: &GroupSituation, experts: &ExpertProfile) -> bool {
        let broken = self.broken.borrow().get(&situation.name).copied();
        if broken.is_none_or(|epoch| epoch >= situation.epoch) {
            return false;
        }
        let ranks = situation.engines.ranks();
        let group = PlacedGroup {
            epoch: situation.epoch,
            map: ExpertMap::round_robin(0, experts.sets, experts.experts, ranks),
            highest_version: 0,
            next_review: Instant::now(),
            demand: DemandWindow::default(),
        };
        let mut groups = self.groups.borrow_mut();
        groups.insert(situation.name.clone(), group);
        true
    }

    /// Returns the engines of a group at the given targets, with the channels that are kept to
    /// them.
    fn engines<'a>(
        &self,
        name: &GroupName,
        epoch: u64,
        seats: impl Clone + ExactSizeIterator<Item = (&'a TargetId, SocketAddr)>,
    ) -> Rc<GroupEngines> {
        let mut known = self.engines.borrow_mut();
        if let Some(engines) = known.get(name)
            && engines.is_at(epoch, seats.clone())
        {
            return Rc::clone(engines);
        }
        let seats = seats.map(|(target, address)| (TargetId::clone(target), address));
        let engines = Rc::new(GroupEngines::new(name.clone(), epoch, seats.collect()));
        known.insert(name.clone(), Rc::clone(&engines));
        engines
    }

    /// Forgets a group that another gateway places now.
    fn leave(&self, name: &GroupName) {
        self.seen.borrow_mut().remove(name);
        self.groups.borrow_mut().remove(name);
    }

    /// Notes that no placer is in the middle of a change of a formation, so that this one need not
    /// wait.
    fn note_idle(&self, situation: &GroupSituation) {
        let settled_since = Instant::now().checked_sub(TAKEOVER_PAUSE);
        if let Some(since) = settled_since {
            let look = (situation.epoch, since);
            self.seen.borrow_mut().insert(situation.name.clone(), look);
        }
    }

    /// Returns whether this placer has known a formation long enough to change its map.
    fn is_settled(&self, situation: &GroupSituation) -> bool {
        self.has_placed_for(situation, TAKEOVER_PAUSE) || self.has_first_map(situation)
    }

    /// Returns whether this placer has known a formation for some time.
    fn has_placed_for(&self, situation: &GroupSituation, time: Duration) -> bool {
        let seen = self.seen.borrow();
        let look = seen.get(&situation.name);
        look.is_some_and(|(_, at)| at.elapsed() >= time)
    }

    /// Returns whether a formation whose beginning this placer has seen still has its first map.
    fn has_first_map(&self, situation: &GroupSituation) -> bool {
        let groups = self.groups.borrow();
        let group = groups.get(&situation.name);
        group.is_some_and(|group| group.epoch == situation.epoch && group.map.version() == 0)
    }
}

/// Gathers the figures of the groups that run and of which every rank is known, in one pass over
/// the targets. A rank that drains takes part in each pass until it leaves.
fn situations(state: &GatewayState, placer: &Placer) -> Vec<GroupSituation> {
    let roster = state.roster.borrow();
    let mut ranks: BTreeMap<&GroupName, Vec<(&GroupSeat, &DirectTarget)>> = BTreeMap::new();
    for (_, target) in roster.iter() {
        if let Some(seat) = &target.entry.group {
            ranks.entry(&seat.name).or_default().push((seat, target));
        }
    }
    let views = roster.groups();
    let situations = ranks.into_iter().filter_map(|(name, ranks)| {
        let view = views.get(name).filter(|view| view.is_open)?;
        GroupSituation::gather(placer, name, view.epoch, ranks)
    });
    situations.collect()
}

impl GroupSituation {
    /// Gathers the figures of a group; `None` unless every rank is known.
    fn gather(
        placer: &Placer,
        name: &GroupName,
        epoch: u64,
        mut ranks: Vec<(&GroupSeat, &DirectTarget)>,
    ) -> Option<Self> {
        // Requests at a target that has lost its seat are still in flight.
        let in_flight = ranks.iter().map(|(_, target)| target.in_flight()).sum();
        ranks.retain(|(_, target)| !target.is_superseded);
        ranks.sort_by_key(|(seat, _)| seat.rank);
        let (first, target) = *ranks.first()?;
        let numbers = ranks.iter().map(|(seat, _)| seat.rank);
        if !numbers.eq(0..first.size) {
            return None;
        }
        let targets = || ranks.iter().map(|(_, target)| target);
        let seats = targets().map(|target| (&target.entry.id, target.entry.address));
        Some(Self {
            name: name.clone(),
            service: target.entry.service.clone(),
            epoch,
            engines: placer.engines(name, epoch, seats),
            in_flight,
            progress_at: targets().filter_map(|target| target.progress_at).max(),
            has_own_requests: targets().any(|target| target.own_in_flight > 0),
        })
    }
}

impl GroupSituation {
    fn load(&self, table: &RouteTable) -> PassLoad {
        PassLoad {
            ranks: self.engines.ranks(),
            in_flight: self.in_flight,
            pause_objective: table.pause_objective(&self.service),
        }
    }
}

/// Returns whether this gateway places the experts of a group.
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

/// Returns whether the passes of a group are so slow that its map is worth a look.
fn is_due(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    situation: &GroupSituation,
) -> bool {
    let now = Instant::now();
    let groups = placer.groups.borrow();
    let known = groups.get(&situation.name);
    if known.is_some_and(|group| now < group.next_review) {
        return false;
    }
    let load = situation.load(table);
    if known.is_some_and(|group| group.epoch == situation.epoch && group.map.version() == 0) {
        return load.expects_slow_passes(engine);
    }
    state
        .mean_pause(&situation.name)
        .is_some_and(|pause| pass_is_slow(engine, &load, pause))
}

/// Samples the demand for experts and changes the map if that helps.
async fn review_group(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    experts: &ExpertProfile,
    situation: &GroupSituation,
) {
    let changed = change_map(state, placer, table, engine, experts, situation).await;
    let mut groups = placer.groups.borrow_mut();
    if let Some(group) = groups.get_mut(&situation.name) {
        group.next_review = Instant::now() + SETTLE_TIME;
        if changed.is_none() && group.map.version() == 0 {
            // A new formation has made no pass yet whose choices could be sampled.
            group.next_review = Instant::now();
        } else if changed.is_none() {
            group.next_review += SETTLE_TIME;
        }
    }
}

async fn change_map(
    state: &GatewayState,
    placer: &Placer,
    table: &RouteTable,
    engine: &EngineProfile,
    experts: &ExpertProfile,
    situation: &GroupSituation,
) -> Option<()> {
    let engines = &*situation.engines;
    let started_at = Instant::now();
    let map = current_map(placer, experts, situation).await?;
    let counts = sample(placer, situation, experts).await?;
    let tolerated = tolerated_excess(engine, &situation.load(table));
    let (planned, figures) = plan_change(experts, engines.ranks(), &map, &counts, tolerated)?;
    log_plan(situation, &figures, started_at);
    let planned = planned?;
    engines.take_tally();
    let version = next_version(placer, &situation.name)?;
    let fallback_version = next_version(placer, &situation.name)?;
    let planned = planned.with_version(version);
    let loading = experts.load_time * u32::try_from(figures.loads_per_rank).unwrap_or(u32::MAX);
    let known_version = map.version();
    let prepared_at = Instant::now();
    let pace = || PassPace {
        report_age: engine.report_age,
        // In a new formation no pause may have been seen yet.
        pause: state
            .mean_pause(&situation.name)
            .unwrap_or_else(|| situation.load(table).new_formation_pass(engine)),
        is_lossy: engines.tally().unanswered > 0,
    };
    let loading_time = loading + LOADING_MARGIN;
    let is_only_placer = placer.has_placed_for(situation, STEADY_AFTER)
        && state.peers.borrow().is_steady(prepared_at);
    let next_pass = async {
        // Orders that went unanswered call for more time than was reckoned with.
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
    let tally = engines.take_tally();
    log_event!(
        MapSwitched,
        group = situation.name,
        epoch = situation.epoch,
        version = version,
        result = format_args!("{result:?}"),
        orders = tally.given,
        refused = tally.refused,
        unanswered = tally.unanswered,
        loading_ms = loading.as_millis(),
        took_ms = started_at.elapsed().as_millis()
    );
    let mut groups = placer.groups.borrow_mut();
    match result {
        SwitchResult::Switched { .. } => {
            groups.get_mut(&situation.name)?.map = planned;
            state.metrics.map_changes.inc();
        }
        // Another placer may have changed the map meanwhile. What the ranks hold is read anew
        // before the next change.
        SwitchResult::Abandoned | SwitchResult::NotStarted(_) | SwitchResult::Undone(_) => {
            groups.remove(&situation.name);
        }
    }
    Some(())
}

fn log_plan(situation: &GroupSituation, figures: &PlanFigures, started_at: Instant) {
    log_event!(
        MapPlanned,
        group = situation.name,
        epoch = situation.epoch,
        in_flight = situation.in_flight,
        skew_before = format_args!("{:.2}", figures.skew_before),
        skew_after = format_args!("{:.2}", figures.skew_after),
        loads = figures.loads,
        loads_per_rank = figures.loads_per_rank,
        sampled_ms = started_at.elapsed().as_millis()
    );
}

/// Returns the map in use. A placer that is new to a formation reads the state of the ranks: in a
/// formation without any change the engines have dealt the experts out in turn.
async fn current_map(
    placer: &Placer,
    experts: &ExpertProfile,
    situation: &GroupSituation,
) -> Option<ExpertMap> {
    let known = {
        let groups = placer.groups.borrow();
        let group = groups.get(&situation.name);
        let group = group.filter(|group| group.epoch == situation.epoch);
        group.map(|group| group.map.clone())
    };
    if known.is_some() {
        return known;
    }
    let engines = &situation.engines;
    let statuses = first_statuses(engines, engines.ranks()).await?;
    let highest_version = statuses.iter().map(RankStatus::highest_version).max()?;
    let version = statuses.first()?.map;
    let map = if version == 0 {
        ExpertMap::round_robin(0, experts.sets, experts.experts, engines.ranks())
    } else {
        let map = engines.map_in_use(experts.sets, experts.experts).await?;
        map.with_version(version)
    };
    let group = PlacedGroup {
        epoch: situation.epoch,
        map: map.clone(),
        highest_version,
        next_review: Instant::now(),
        demand: DemandWindow::default(),
    };
    placer
        .groups
        .borrow_mut()
        .insert(situation.name.clone(), group);
    Some(map)
}

/// Reads the reports of the first `count` ranks; `None` unless all of them answer.
async fn first_statuses(engines: &GroupEngines, count: usize) -> Option<Vec<RankStatus>> {
    let ranks = 0..engines.ranks().min(count);
    let statuses = ranks.map(|rank| engines.status(rank));
    let statuses = futures_util::future::join_all(statuses).await;
    statuses.into_iter().collect()
}

/// Returns whether no rank reports a change that has begun.
async fn is_idle(engines: &GroupEngines) -> bool {
    let statuses = first_statuses(engines, engines.ranks()).await;
    statuses.is_some_and(|statuses| !statuses.iter().any(RankStatus::takes_part_in_change))
}

/// Returns a version that is higher than all known ones and unique to this placer.
fn next_version(placer: &Placer, name: &GroupName) -> Option<u64> {
    let mut groups = placer.groups.borrow_mut();
    let group = groups.get_mut(name)?;
    group.highest_version = version_after(group.highest_version, placer.draw);
    Some(group.highest_version)
}
