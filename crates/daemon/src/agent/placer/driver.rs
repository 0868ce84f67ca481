//! Event loop of one placer session: collects expert counts, decides on new maps, and passes orders
//! and replies between the coordinator and the agents.

use {
    super::{
        PlacerParts,
        collector::CountCollector,
        map_store::{get_map, put_map},
        members::{GroupMember, MemberLinks, MemberReply, list_members},
        session::SessionEnd,
    },
    crate::agent::orders::convert::{map_to_link, order_to_link, reply_from_link},
    sassafrasslip_core::{
        configuration::{ConfigurationView, Revision, SettingContext},
        events::LogEvent::{
            MapChangeAborted, MapChangeCommitted, MapChangeStarted, PlacementDecided,
            PlatformUnavailable,
        },
        log_event,
        map_change::{CoordinatorAction, CoordinatorState, MapCoordinator, MapOrder, OrderStep},
        placement::{
            ExpertMap, PlacementDecision, PlacementInput, PlacementPolicy, decide_placement,
        },
    },
    sassafrasslip_proto::link,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Receiver, watch},
        task::spawn_blocking,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Interval at which the coordinator checks its timers; well below its retry pause.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Added to twice the estimated loading time for the time limit of a prepare step.
const PREPARE_MARGIN: Duration = Duration::from_secs(10);

/// Runs the coordinator of map changes and decides on new maps.
pub struct ChangeDriver<'a> {
    parts: &'a PlacerParts,
    lease_end: watch::Receiver<Instant>,
    members: Vec<GroupMember>,
    links: MemberLinks,
    coordinator: MapCoordinator,
    collector: CountCollector,
    /// Map in use, once it is known.
    map: Option<Arc<ExpertMap>>,
    /// Map of the change in progress.
    planned: Option<Arc<ExpertMap>>,
    /// Instance and reason of the latest refused order.
    last_refusal: String,
}

impl<'a> ChangeDriver<'a> {
    /// Creates a driver. `members` are sorted by first rank, and `links` lead to them in that
    /// order.
    pub fn new(
        parts: &'a PlacerParts,
        lease_end: watch::Receiver<Instant>,
        members: Vec<GroupMember>,
        links: MemberLinks,
        coordinator: MapCoordinator,
    ) -> Self {
        let (group, now) = (parts.group.clone(), Instant::now());
        let collector = CountCollector::new(group, members.clone(), &parts.options, now);
        Self {
            parts,
            lease_end,
            members,
            links,
            coordinator,
            collector,
            map: None,
            planned: None,
            last_refusal: String::new(),
        }
    }

    /// Runs until the lease is lost or the members of the group change.
    pub async fn run(mut self, mut replies: Receiver<MemberReply>) -> SessionEnd {
        let options = self.parts.options;
        let mut ticks = interval(TICK_INTERVAL);
        let mut collections = interval(options.collect_interval);
        let mut decisions = interval(options.decision_interval);
        let mut memberships = interval(options.member_interval);
        for timer in [
            &mut ticks,
            &mut collections,
            &mut decisions,
            &mut memberships,
        ] {
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = collections.tick() => self.collect(),
                _ = decisions.tick() => self.decide().await,
                _ = memberships.tick() => if self.members_changed().await {
                    return SessionEnd::MembersChanged;
                },
                reply = replies.recv() => if let Some(reply) = reply {
                    self.receive(&reply);
                },
            }
            if self.coordinator.state() == CoordinatorState::Stopped {
                return SessionEnd::LeaseLost;
            }
        }
    }

    fn tick(&mut self) {
        self.coordinator.renew(*self.lease_end.borrow());
        let actions = self.coordinator.tick(Instant::now());
        self.perform(&actions);
    }

    /// Queries all members for their counts, unless the lease has ended.
    fn collect(&mut self) {
        if Instant::now() >= *self.lease_end.borrow() {
            return;
        }
        let order = MapOrder {
            fencing_token: self.coordinator.fencing_token(),
            change: 0,
            step: OrderStep::Query,
        };
        for member in 0..self.members.len() {
            self.send(member, &order);
        }
    }

    fn receive(&mut self, message: &MemberReply) {
        let MemberReply { member, reply } = message;
        let now = Instant::now();
        if !reply.accepted {
            let instance = &self.members[*member].listed.instance;
            self.last_refusal = format!("{instance}: {}", reply.refusal);
        }
        if let Some(reply) = reply_from_link(reply) {
            let actions = self.coordinator.receive(*member, &reply, now);
            self.perform(&actions);
        }
        if reply.step() == link::MapStep::Query && self.collector.observe(*member, reply, now) {
            self.end_round(now);
        }
    }

    /// Updates step time, rank health and published costs from the counts of a complete round.
    fn end_round(&mut self, now: Instant) {
        self.coordinator.set_step_time(self.collector.step_time());
        let Some(map) = self.current_map() else {
            return;
        };
        self.collector.detect_slow_ranks(&map, now);
        if let Some(rates) = self.collector.rates() {
            let weights = self.collector.weights();
            let costs = self.parts.orders.kind_costs(&map, &rates, &weights);
            self.parts.orders.publish_kind_costs(costs);
        }
    }

    fn perform(&mut self, actions: &[CoordinatorAction]) {
        for action in actions {
            match action {
                CoordinatorAction::Send { participant, order } => self.send(*participant, order),
                CoordinatorAction::Committed(change) => {
                    log_event!(
                        MapChangeCommitted,
                        group = self.parts.group,
                        change = change,
                        token = self.coordinator.fencing_token(),
                        gate_step = self.coordinator.gate()
                    );
                }
                CoordinatorAction::Aborted(change) => {
                    self.planned = None;
                    log_event!(
                        MapChangeAborted,
                        group = self.parts.group,
                        change = change,
                        token = self.coordinator.fencing_token(),
                        last_refusal = self.last_refusal
                    );
                }
                CoordinatorAction::SteppedDown => {}
            }
        }
    }

    fn send(&self, member: usize, order: &MapOrder) {
        let planned = self.planned.as_ref();
        let map = planned.filter(|_| order.step == OrderStep::Prepare);
        let map = map.map(|map| map_to_link(map));
        let message = order_to_link(self.parts.group.as_str(), order, map);
        self.links.send(member, message);
    }

    /// Returns the map that all members use, if it is in memory.
    fn current_map(&mut self) -> Option<Arc<ExpertMap>> {
        let version = self.collector.map_version()?;
        let planned = self.planned.take_if(|planned| planned.version() == version);
        if planned.is_some() {
            self.map = planned;
        }
        let map = self.map.as_ref();
        map.filter(|map| map.version() == version).cloned()
    }

    /// Returns the map that all members use; reads it from the object store if it is not in memory.
    async fn fetch_map(&mut self) -> Option<Arc<ExpertMap>> {
        if let Some(map) = self.current_map() {
            return Some(map);
        }
        let version = self.collector.map_version()?;
        match get_map(self.parts, version, self.collector.size()?).await {
            Ok(map) => self.map = map.map(Arc::new),
            Err(error) => {
                log_event!(PlatformUnavailable, group = self.parts.group, error = error);
            }
        }
        self.current_map()
    }

    async fn decide(&mut self) {
        let ready = self.coordinator.state() == CoordinatorState::Ready;
        let Some(map) = self.fetch_map().await.filter(|_| ready) else {
            return;
        };
        let Some(rates) = self.collector.rates().filter(|rates| rates.total() > 0.0) else {
            return;
        };
        let weights = self.collector.weights();
        let shape = self
            .parts
            .options
            .shape(map.layers(), map.experts(), weights.len());
        let (policy, revision) = self.resolve_policy();
        let version = map.version();
        // Runs on a blocking thread: a decision for a large group takes tens of milliseconds.
        let decision = spawn_blocking(move || {
            let input = PlacementInput {
                shape: &shape,
                map: &map,
                counts: &rates,
                weights: &weights,
            };
            decide_placement(&input, &policy)
        });
        let Ok(decision) = decision.await else {
            return;
        };
        self.log_decision(&decision, revision, version);
        if let Some(next) = decision.map {
            let loading = Duration::from_secs_f64(decision.figures.moving_seconds);
            self.start_change(next, loading).await;
        }
    }

    fn resolve_policy(&self) -> (PlacementPolicy, Revision) {
        let view = ConfigurationView {
            snapshot: self.parts.configuration.borrow().clone(),
            lease_live: true,
            lease_expires_at: None,
        };
        let target = SettingContext {
            group: Some(&self.parts.group),
            service: Some(&self.parts.service),
            ..SettingContext::default()
        };
        (PlacementPolicy::resolve(&view, &target), view.revision())
    }

    async fn start_change(&mut self, map: ExpertMap, loading: Duration) {
        let map = Arc::new(map.with_version(self.coordinator.next_change()));
        // Stored before its use: the next placer could not read a map that is in use but not
        // stored.
        if let Err(error) = put_map(self.parts, &map).await {
            log_event!(PlatformUnavailable, group = self.parts.group, error = error);
            return;
        }
        self.planned = Some(map);
        self.last_refusal.clear();
        let limit = loading * 2 + PREPARE_MARGIN;
        let actions = self.coordinator.propose(limit, Instant::now());
        if !actions.is_empty() {
            log_event!(
                MapChangeStarted,
                group = self.parts.group,
                change = self.coordinator.change(),
                token = self.coordinator.fencing_token(),
                loading_seconds = loading.as_secs_f64()
            );
        }
        self.perform(&actions);
    }

    async fn members_changed(&self) -> bool {
        let Ok(listed) = list_members(self.parts).await else {
            return false;
        };
        let mut used: Vec<_> = self.members.iter().map(|member| &member.listed).collect();
        used.sort();
        !listed.iter().eq(used)
    }

    fn log_decision(&self, decision: &PlacementDecision, revision: Revision, map_version: u64) {
        let figures = &decision.figures;
        log_event!(
            PlacementDecided,
            group = self.parts.group,
            verdict = decision.verdict,
            revision = revision,
            sources = decision.sources.join(","),
            map_version = map_version,
            token = self.coordinator.fencing_token(),
            skew_before = figures.skew_before,
            skew_after = figures.skew_after,
            skew_bound = figures.skew_bound,
            improvement = figures.improvement,
            possible_improvement = figures.possible_improvement,
            layers_changed = figures.layers_changed,
            experts_loaded = figures.experts_loaded,
            bytes = figures.bytes,
            moving_seconds = figures.moving_seconds,
            saved_seconds = figures.saved_seconds,
            weighted_benefit = figures.weighted_benefit,
            weighted_cost = figures.weighted_cost
        );
    }
}
