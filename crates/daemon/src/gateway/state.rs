//! State of a gateway that its requests and background tasks share.
//!
//! A gateway runs on one thread, so that cells are enough and no lock is needed.

use {
    super::{
        admission::ServiceQueue,
        answer_budget::AnswerBudget,
        caller_memory::HeldMemory,
        channels::{ChannelPool, TargetChannel},
        group_bounds::GroupBounds,
        head_timer::HeadTimeout,
        metrics::GatewayMetrics,
        overload::OverloadState,
        peers::list_digest,
    },
    crate::options::{GatewayOptions, InstanceOptions},
    bytes::Bytes,
    error_stack::Report,
    sassafrasslip_core::{
        dispatch::{
            DatedSlowdown, DatedView, DurationEstimate, EraChange, FleetShare, GroupLoad, KnownEra,
            LimitNews, MemoryPlan, PeerInquiry, PeerTable, RequestQuarantine, RequestRate,
            RetryBudgets, RetryHandover, RetryRule, RosterChange, RouteRule, RouteTable, Slowdown,
            StopPlan, StoreEra, StoreStamp, TargetDeparture, TargetHealth, TargetKey, TargetList,
            TargetRoster, ZoneEvacuation,
        },
        events::LogEvent::{
            GroupChanged, GroupForming, PeerTableRejected, StoreAnswerOutdated, StoreEraAbandoned,
            StoreRestored, TableApplied, TableOutdated, TargetEjected, TargetHeldOff, TargetLeft,
            TargetLimited, TargetListed, TargetRecovered, TargetSlow, TargetUnlimited,
        },
        ids::{GroupName, ServiceName, ZoneName},
        log_event,
    },
    sassafrasslip_platform::AnswerHead,
    slotmap::SecondaryMap,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
    xxhash_rust::xxh3::xxh3_64,
};

/// Weight of the newest sample in the moving average of the time to the first answer.
const FIRST_ANSWER_WEIGHT: f64 = 0.05;

/// Time in which a caller must send a request head while no configuration has been read yet.
const UNCONFIGURED_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Uptime from which on a gateway counts as settled and is preferred as a placer.
const SETTLED_AFTER: Duration = Duration::from_secs(8);

/// Value of the log key `source` for facts that this gateway has read from the report of a rank.
pub const REPORT_SOURCE: &str = "report";

/// Revision of a configuration and the era of the store that last held it; a greater pair is newer.
pub type ConfigurationRank = (u64, StoreEra);

/// Peer that has reported a newer configuration.
#[derive(Clone, Copy, Debug)]
pub struct NewerPeer {
    /// Address of the peer.
    pub address: Ipv4Addr,
    /// Rank of its configuration.
    pub rank: ConfigurationRank,
    /// When it was first heard of.
    pub heard_at: Instant,
}

/// Shared state of a gateway: settings, known targets and peers, queues and limits.
#[derive(Debug)]
pub struct GatewayState {
    /// Availability zone of this gateway.
    pub own_zone: ZoneName,
    /// Settings of the gateway section.
    pub options: GatewayOptions,
    /// Metrics that this gateway exports.
    pub metrics: GatewayMetrics,
    /// Targets that this gateway knows, with their loads and health.
    pub roster: RefCell<TargetRoster>,
    /// Pool of idle connections to targets.
    pub channels: ChannelPool,
    /// Limit on the response bodies that are being buffered.
    pub answer_budget: AnswerBudget,
    /// Memory of the bodies of requests.
    pub held_bodies: Rc<HeldMemory>,
    /// Memory of the large answers that callers have not read yet.
    pub held_answers: Rc<HeldMemory>,
    /// Queues of waiting requests by service.
    pub queues: RefCell<HashMap<ServiceName, ServiceQueue>>,
    /// Notified when a request joins a queue.
    pub waiting: Notify,
    /// Latest era of the store that is known here.
    pub known_era: Cell<KnownEra>,
    /// When the instance list in use was read from the store, here or by a peer.
    pub listed_at: Cell<Option<Instant>>,
    /// Era of the store from which the instance list in use was read.
    pub list_era: Cell<StoreEra>,
    /// Digest of the instance list, by which peers recognize that it is unchanged; 0 without a
    /// list.
    pub list_digest: Cell<u64>,
    /// When the store last confirmed that the configuration is current, to this gateway or to a
    /// peer.
    pub configured_at: Cell<Option<Instant>>,
    /// Era of the store at that time.
    pub configuration_era: Cell<StoreEra>,
    /// Era of the store in which it last held the configuration in force.
    pub document_era: Cell<StoreEra>,
    /// Peers that were asked since the store was restored.
    pub inquiry: RefCell<PeerInquiry>,
    /// Notified when there may be a peer to ask for the inquiry.
    pub inquiry_due: Notify,
    /// Availability zones that the operator has emptied.
    pub evacuation: RefCell<ZoneEvacuation>,
    /// Peer with a newer configuration than this gateway.
    pub newer_peer: Cell<Option<NewerPeer>>,
    /// By peer, the rank of its configuration that cannot be used here.
    pub refused_ranks: RefCell<HashMap<Ipv4Addr, ConfigurationRank>>,
    /// Consecutive failed calls to the store for the configuration.
    pub configuration_failures: Cell<u32>,
    /// Consecutive failed calls to the store for the instance list.
    pub list_failures: Cell<u32>,
    /// Other gateways, with their latest load reports.
    pub peers: RefCell<PeerTable>,
    /// Whether the next load report must name the known gateways, because a new one has reported.
    pub gossip_due: Cell<bool>,
    /// Notified when a load report must be sent immediately, because of news that matter to all
    /// gateways, such as a changed state of a group.
    pub report_due: Notify,
    /// Retry budgets of this gateway.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Use of the retry budgets by the peers.
    pub retry_handover: RefCell<RetryHandover>,
    /// Crashes of targets, and the prompt parts and requests that cause them.
    pub quarantine: RefCell<RequestQuarantine>,
    /// Notified when the restrictions of requests may have changed.
    pub part_news: Notify,
    /// Times at which targets were last found running after they had closed a connection.
    pub checked_at: RefCell<SecondaryMap<TargetKey, Instant>>,
    /// Encoded configuration in force, which is sent to peers that ask for it.
    pub document: RefCell<Bytes>,
    /// Limits on the requests in flight in model groups.
    pub bounds: RefCell<GroupBounds>,
    /// Demand for services whose targets form groups, here and at the peers.
    pub overload: RefCell<OverloadState>,
    /// When this gateway started.
    pub started_at: Instant,
    /// Whether the process has received the stop signal.
    pub leaving: Cell<bool>,
    /// Times of the planned stop; `None` before the stop signal.
    pub stop_plan: Cell<Option<StopPlan>>,
    /// Cancelled when the requests that are still unanswered have to be answered, because the
    /// process is about to end.
    pub ending: CancellationToken,
    /// Time that callers have for the next request on their connections.
    pub head_timeout: HeadTimeout,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Hash of the latest document of a peer that could not be decoded.
    rejected_document: Cell<u64>,
    /// Moving average, by service, of the time from the first attempt to the first event or the
    /// complete response.
    first_answers: RefCell<HashMap<ServiceName, Duration>>,
    /// How long the streams (true) and the other requests of each service take.
    durations: RefCell<HashMap<(ServiceName, bool), DurationEstimate>>,
}

fn log_limit(target: &str, limit: Option<RequestRate>, source: &'static str) {
    match limit {
        Some(limit) => log_event!(
            TargetLimited,
            target = target,
            per_second = format_args!("{:.2}", limit.per_second()),
            source = source
        ),
        None => log_event!(TargetUnlimited, target = target, source = source),
    }
}

/// Returns an IPv4 address, by which gateways identify each other; `None` for IPv6.
pub fn ipv4(address: IpAddr) -> Option<Ipv4Addr> {
    match address {
        IpAddr::V4(address) => Some(address),
        IpAddr::V6(_) => None,
    }
}

impl GatewayState {
    /// Creates the state of a gateway that has no configuration, targets or peers yet.
    pub fn new(
        instance: &InstanceOptions,
        mut options: GatewayOptions,
        metrics: GatewayMetrics,
    ) -> Self {
        if let Ok(region) = instance.region.as_str().parse() {
            let zone = instance.availability_zone.clone();
            options.zone_regions.add(zone, region);
        }
        let retry_rule = RetryRule {
            window: options.retry_window,
            ratio: options.retry_ratio,
            fixed: options.retry_allowance,
        };
        let plan = MemoryPlan::for_limit(options.memory_limit);
        let started_at = Instant::now();
        let retry_budgets = RetryBudgets::new(retry_rule, options.first_start, started_at);
        Self {
            own_zone: instance.availability_zone.clone(),
            roster: RefCell::default(),
            channels: ChannelPool::default(),
            answer_budget: AnswerBudget::new(plan.collected),
            held_bodies: HeldMemory::new("body", plan.bodies, metrics.clone()),
            held_answers: HeldMemory::new("answer", plan.answers, metrics.clone()),
            options,
            metrics,
            queues: RefCell::default(),
            waiting: Notify::new(),
            known_era: Cell::default(),
            listed_at: Cell::new(None),
            list_era: Cell::default(),
            list_digest: Cell::new(0),
            configured_at: Cell::new(None),
            configuration_era: Cell::default(),
            document_era: Cell::default(),
            inquiry: RefCell::default(),
            inquiry_due: Notify::new(),
            evacuation: RefCell::default(),
            newer_peer: Cell::new(None),
            refused_ranks: RefCell::default(),
            rejected_document: Cell::new(0),
            configuration_failures: Cell::new(0),
            list_failures: Cell::new(0),
            peers: RefCell::default(),
            gossip_due: Cell::new(false),
            report_due: Notify::new(),
            retry_budgets: RefCell::new(retry_budgets),
            retry_handover: RefCell::new(RetryHandover::new(retry_rule.window)),
            quarantine: RefCell::default(),
            part_news: Notify::new(),
            checked_at: RefCell::default(),
            document: RefCell::default(),
            bounds: RefCell::default(),
            overload: RefCell::default(),
            started_at,
            leaving: Cell::new(false),
            stop_plan: Cell::new(None),
            ending: CancellationToken::new(),
            head_timeout: HeadTimeout::new(UNCONFIGURED_HEAD_TIMEOUT),
            table: RefCell::default(),
            first_answers: RefCell::default(),
            durations: RefCell::default(),
        }
    }

    /// Returns the address that identifies this gateway among its peers; `None` for IPv6.
    pub fn own_address(&self) -> Option<Ipv4Addr> {
        ipv4(self.options.peer_address.ip())
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the revision and the era of the configuration in force; a greater pair is newer.
    pub fn configuration_rank(&self) -> ConfigurationRank {
        let revision = self.table.borrow().as_ref().map(|table| table.revision);
        (revision.unwrap_or_default(), self.document_era.get())
    }

    /// Records the stamp of the answer to a call of the store that began at `asked_at`; returns it
    /// with the era that counts for it, or `None` if the answer is from before a restore.
    pub fn note_stamp(&self, stamp: StoreStamp, asked_at: Instant) -> Option<StoreStamp> {
        let now = Instant::now();
        let mut known = self.known_era.get();
        let was_observed = known.is_observed();
        let change = known.record_answer(stamp.era, asked_at, now);
        self.known_era.set(known);
        self.note_era_change(change, "store");
        let era = known.era();
        match change {
            EraChange::Outdated => {
                let (era, known) = (stamp.era.value(), era.value());
                log_event!(
                    StoreAnswerOutdated,
                    era = era,
                    known = known,
                    source = "store"
                );
                return None;
            }
            EraChange::Abandoned(_) => {
                for named in [&self.list_era, &self.configuration_era, &self.document_era] {
                    named.set(named.get().min(era));
                }
                self.evacuation.borrow_mut().forget_after(era);
                if was_observed {
                    // Targets may not have written their entries to a new store yet.
                    self.roster.borrow_mut().note_list_regained(now);
                }
            }
            EraChange::Same | EraChange::Restored(_) => {}
        }
        Some(StoreStamp { era, ..stamp })
    }

    /// Records the era that a peer has named.
    pub fn note_claimed_era(&self, era: StoreEra) {
        let mut known = self.known_era.get();
        let change = known.record_claim(era, Instant::now());
        self.known_era.set(known);
        self.note_era_change(change, "peer");
    }

    fn note_era_change(&self, change: EraChange, source: &'static str) {
        let era = self.known_era.get().era().value();
        match change {
            EraChange::Restored(previous) => {
                let previous = previous.value();
                log_event!(
                    StoreRestored,
                    era = era,
                    previous = previous,
                    source = source
                );
            }
            EraChange::Abandoned(previous) => {
                let previous = previous.value();
                log_event!(StoreEraAbandoned, era = era, abandoned = previous);
            }
            EraChange::Same | EraChange::Outdated => {}
        }
    }

    /// Puts a configuration that the store held in the era `era` in force, unless the one in force
    /// has a newer revision, or the same revision and is the same or of a later era; returns whether
    /// it was put in force.
    pub fn apply_table(
        &self,
        table: RouteTable,
        document: Bytes,
        era: StoreEra,
        source: &'static str,
    ) -> bool {
        let current = self.table.borrow().as_ref().map(|table| table.revision);
        let is_renewed = current == Some(table.revision) && era > self.document_era.get();
        if is_renewed && *self.document.borrow() == document {
            self.document_era.set(era);
            self.newer_peer.set(None);
            return false;
        }
        if !is_renewed && current.is_some_and(|current| current >= table.revision) {
            if current > Some(table.revision) {
                log_event!(
                    TableOutdated,
                    revision = table.revision,
                    current = current.unwrap_or_default(),
                    source = source
                );
            }
            return false;
        }
        log_event!(
            TableApplied,
            revision = table.revision,
            previous = current.unwrap_or_default(),
            routes = table.route_count(),
            source = source
        );
        self.metrics
            .revision
            .set(i64::try_from(table.revision).unwrap_or(i64::MAX));
        self.set_cold_rules(&table);
        let services = table.service_names().cloned().collect();
        let changes = self
            .roster
            .borrow_mut()
            .set_services(services, Instant::now());
        self.head_timeout
            .apply(&table.limits, self.options.configuration_limit);
        *self.table.borrow_mut() = Some(Rc::new(table));
        *self.document.borrow_mut() = document;
        self.document_era.set(era);
        self.newer_peer.set(None);
        self.note_changes(&changes, source);
        true
    }

    /// Logs that the configuration of a peer cannot be decoded, unless it is the one that was logged
    /// last.
    pub fn note_rejected_document<E>(&self, peer: SocketAddr, document: &Bytes, error: &Report<E>) {
        let hash = xxh3_64(document);
        if self.rejected_document.replace(hash) != hash {
            let error = crate::describe(error);
            log_event!(PeerTableRejected, peer = peer, error = error);
        }
    }

    /// Replaces the list of targets by one that was read at `now` in the era `era`.
    pub fn apply_listing(
        &self,
        list: TargetList,
        era: StoreEra,
        now: Instant,
        source: &'static str,
    ) {
        self.replace_listing(list, era, now, source);
        let digest = list_digest(&self.roster.borrow());
        self.list_digest.set(digest);
    }

    /// Records that the list of targets was read again at `now` and is unchanged.
    pub fn renew_listing(&self, era: StoreEra, now: Instant, source: &'static str) {
        let list = self.roster.borrow().latest_list();
        self.replace_listing(list, era, now, source);
    }

    /// Records that a peer has said which targets have left.
    pub fn note_inquiry_answer(&self, peer: Ipv4Addr, is_informed: bool) {
        self.inquiry.borrow_mut().record_answer(peer, is_informed);
        self.review_doubts();
    }

    fn review_doubts(&self) {
        let is_informed = self.inquiry.borrow().is_informed(Instant::now());
        let mut roster = self.roster.borrow_mut();
        roster.set_doubts_unconfirmed(!is_informed);
    }

    /// Returns whether this gateway can say which targets have left since the copy was made from
    /// which the store was restored.
    pub fn is_informed(&self, now: Instant) -> bool {
        self.listed_at.get().is_some() && self.inquiry.borrow().is_informed(now)
    }

    /// Records targets that a peer knows to be leaving or gone.
    pub fn note_departures(&self, departures: Vec<TargetDeparture>, now: Instant) {
        let changes = self.roster.borrow_mut().note_departures(departures, now);
        self.note_changes(&changes, "peer");
    }

    fn replace_listing(&self, list: TargetList, era: StoreEra, now: Instant, source: &'static str) {
        let previous = self.list_era.replace(era);
        let is_first = self.listed_at.get().is_none();
        if era.is_restored() && (is_first || era > previous) {
            let knew_before = !is_first && previous.is_named();
            self.inquiry.borrow_mut().begin(knew_before, Instant::now());
            self.review_doubts();
            self.inquiry_due.notify_one();
        }
        // The first list of an era may lack targets that joined after the copy from which the store
        // was restored.
        if previous.is_named() && era > previous {
            self.roster.borrow_mut().note_list_regained(now);
        }
        let changes = self.roster.borrow_mut().apply_list(list, now);
        self.listed_at.set(Some(now));
        self.update_peer_loads(now);
        self.note_changes(&changes, source);
    }

    /// Recomputes the number of requests that peers have in flight at each target.
    pub fn update_peer_loads(&self, now: Instant) {
        let peers = self.peers.borrow();
        self.roster.borrow_mut().set_peer_loads(peers.loads(now));
    }

    fn note_changes(&self, changes: &[RosterChange], source: &'static str) {
        for change in changes {
            self.note_change(change, source);
        }
    }

    /// Records that a rank has rejected a request, which may show that another rank of its group is
    /// missing; returns whether the group counts as broken now. `names_another` says that the
    /// rejection names another target as its cause.
    pub fn note_rejection(&self, key: TargetKey, names_another: bool, now: Instant) -> bool {
        let mut roster = self.roster.borrow_mut();
        let member = roster
            .get(key)
            .and_then(|target| target.entry.group.as_ref());
        let pass = member.and_then(|member| self.mean_pause(&member.name));
        let changes = roster.note_rejection(key, names_another, pass, now);
        let is_broken = roster.get(key).is_some_and(|target| !target.group_runs);
        drop(roster);
        self.note_changes(&changes, "answer");
        is_broken
    }

    /// Records that all ranks of a broken group answer again, so that it is about to form. `epoch`
    /// is the formation that broke.
    pub fn note_forming_group(&self, name: &GroupName, epoch: u64, source: &'static str) {
        let mut roster = self.roster.borrow_mut();
        if roster.note_forming_group(name, epoch, Instant::now()) {
            log_event!(GroupForming, group = name, epoch = epoch, source = source);
            self.notify_peers(source);
        }
    }

    /// Makes this gateway send a load report immediately if it has read the news from a rank's
    /// report. News from a peer has already been sent to the other gateways by that peer.
    fn notify_peers(&self, source: &'static str) {
        if source == REPORT_SOURCE {
            self.report_due.notify_one();
        }
    }

    /// Records the slowdown that the engine of a target has reported. `target` is the hash of the
    /// target's name.
    pub fn note_slowdown(&self, target: u32, report: DatedSlowdown, source: &'static str) {
        let mut roster = self.roster.borrow_mut();
        if !roster.note_slowdown(target, report, Instant::now()) {
            return;
        }
        let id = roster.name_of(target).unwrap_or("unknown");
        let factor = report.slowdown.factor();
        if report.slowdown.is_slow(Slowdown::NONE) {
            log_event!(
                TargetSlow,
                target = id,
                slowdown = format_args!("{factor:.2}"),
                source = source
            );
        } else {
            log_event!(
                TargetRecovered,
                target = id,
                slowdown = format_args!("{factor:.2}"),
                source = source
            );
        }
        self.notify_peers(source);
    }

    /// Records the state of a group as a rank or a peer reports it.
    pub fn note_group_view(&self, name: &GroupName, dated: DatedView, source: &'static str) {
        let now = Instant::now();
        let mut roster = self.roster.borrow_mut();
        let changes = roster.note_group_view(name, dated, now);
        drop(roster);
        if !changes.is_empty() {
            self.notify_peers(source);
        }
        self.note_changes(&changes, source);
    }

    /// Records whether the response headers say that the target is leaving, wants a hold-off or
    /// limits the rate of requests.
    /// The request started at `started_at`.
    pub fn note_answer(
        &self,
        key: TargetKey,
        head: &AnswerHead,
        started_at: Instant,
        now: Instant,
    ) {
        self.record_limit(key, head, started_at, now);
        self.record_cold_time(key, head, now);
        let mut roster = self.roster.borrow_mut();
        let leaves = head.is_leaving && roster.note_leaving(key);
        let until = head.hold_off.map(|hold_off| now + hold_off);
        let is_held_off = until.is_some_and(|until| roster.note_hold_off(key, until));
        let target = roster.get(key).map(|target| target.entry.id.clone());
        drop(roster);
        let target = target.as_deref().unwrap_or("gone");
        if leaves {
            self.channels.close(key);
            log_event!(
                TargetLeft,
                target = target,
                state = "leaving",
                source = "answer"
            );
        }
        if is_held_off {
            log_event!(
                TargetHeldOff,
                target = target,
                hold_off_ms = head.hold_off.unwrap_or_default().as_millis()
            );
        }
    }

    /// Records the limit on the rate of requests that a target names. A response that belongs to
    /// another request or comes from another target says nothing of this one.
    fn record_limit(&self, key: TargetKey, head: &AnswerHead, started_at: Instant, now: Instant) {
        if !head.matches_request || head.is_misdirected {
            return;
        }
        let share = self.fleet_share(now);
        let mut roster = self.roster.borrow_mut();
        if !roster.record_limit(key, head.request_limit, started_at, share, now) {
            return;
        }
        if let Some(target) = roster.get(key) {
            log_limit(&target.entry.id, head.request_limit, "answer");
        }
        self.report_due.notify_one();
    }

    /// Records the limit of a target that a peer has reported. `target` is the hash of the target's
    /// name.
    pub fn note_limit(&self, target: u32, news: LimitNews) {
        let now = Instant::now();
        let share = self.fleet_share(now);
        let mut roster = self.roster.borrow_mut();
        if roster.note_limit(target, news, share, now) {
            let id = roster.name_of(target).unwrap_or("unknown");
            log_limit(id, news.limit, "peer");
        }
    }

    /// Returns the part of this gateway in limits that all gateways share.
    pub fn fleet_share(&self, now: Instant) -> FleetShare {
        FleetShare {
            gateways: self.peers.borrow().sharing_gateways(now),
            draw: rand::random(),
        }
    }

    /// Records the pause between two events of a stream and updates the limit of its group.
    /// `objective` is the longest pause that the route aims at.
    pub fn record_pause(
        &self,
        key: TargetKey,
        service: &ServiceName,
        pause: Duration,
        objective: Duration,
    ) {
        let roster = self.roster.borrow();
        let target = roster.get(key);
        let Some(member) = target.and_then(|target| target.entry.group.as_ref()) else {
            return;
        };
        let table = self.table.borrow();
        let rule = table.as_ref().and_then(|table| table.service(service));
        let Some(engine) = rule.and_then(|rule| rule.engine.as_ref()) else {
            return;
        };
        let pace = roster.group_pace(&member.name, Instant::now());
        let ranks = member
            .size
            .saturating_sub(roster.emptied_ranks(&member.name));
        let load = GroupLoad {
            ranks: ranks.max(1),
            in_flight: roster.group_load(&member.name),
            pause_objective: objective,
            slow_ranks: pace.slow_ranks,
        };
        let own = roster.own_group_load(&member.name);
        let mut bounds = self.bounds.borrow_mut();
        bounds.record_pause(&member.name, pause, engine, &load, own);
    }

    /// Returns whether a target is a slow rank whose group makes longer passes than the pause
    /// objective of a route. Its streams are then better off at another rank, although a move costs
    /// each of them a pause.
    pub fn is_held_up_by(&self, key: TargetKey, objective: Duration) -> bool {
        let roster = self.roster.borrow();
        let target = roster.get(key);
        let Some((target, member)) =
            target.and_then(|target| Some((target, target.entry.group.as_ref()?)))
        else {
            return false;
        };
        let pass = self.mean_pause(&member.name);
        let now = Instant::now();
        pass.is_some_and(|pass| pass > objective)
            && roster
                .slowdown(target, now)
                .is_slow(roster.group_pace(&member.name, now).usual)
    }

    /// Records that a request starts at a target and takes a slot there.
    pub fn record_start(&self, key: TargetKey) {
        let now = Instant::now();
        let mut roster = self.roster.borrow_mut();
        roster.record_start(key, self.fleet_share(now), now);
        let target = roster.get(key);
        if let Some(member) = target.and_then(|target| target.entry.group.as_ref()) {
            self.bounds.borrow_mut().record_start(&member.name);
        }
    }

    /// Returns the mean pause between events of a group's streams, or `None` while unknown.
    pub fn mean_pause(&self, group: &GroupName) -> Option<Duration> {
        self.bounds.borrow().mean_pause(group)
    }

    /// Adds a connection to the pool, unless its target takes no work. All gateways together keep
    /// at most half as many idle connections as the target accepts connections. `announced` is the
    /// idle timeout that the target has announced.
    pub fn keep_channel(
        &self,
        key: TargetKey,
        channel: TargetChannel,
        announced: Option<Duration>,
    ) {
        let limit = {
            let (roster, table) = (self.roster.borrow(), self.table.borrow());
            let target = roster.get(key).filter(|target| target.takes_work());
            let Some(target) = target else {
                return;
            };
            let service = Some(&target.entry.service);
            let table = table.as_ref();
            let rule = table
                .zip(service)
                .and_then(|(table, service)| table.service(service));
            rule.map_or(u32::MAX, |rule| rule.channel_limit)
        };
        let gateways = self.peers.borrow().sharing_gateways(Instant::now());
        let max_idle = (limit / (2 * gateways)).max(1) as usize;
        self.channels.put(key, channel, announced, max_idle);
    }

    fn note_change(&self, change: &RosterChange, source: &'static str) {
        match change {
            RosterChange::Joined(key) => {
                if let Some(target) = self.roster.borrow().get(*key) {
                    let entry = &target.entry;
                    log_event!(
                        TargetListed,
                        target = entry.id,
                        service = entry.service,
                        availability_zone = entry.availability_zone,
                        address = entry.address,
                        source = source
                    );
                }
            }
            RosterChange::Draining(key) => {
                self.channels.close(*key);
                if let Some(target) = self.roster.borrow().get(*key) {
                    let id = &target.entry.id;
                    log_event!(TargetLeft, target = id, state = "draining", source = source);
                }
            }
            RosterChange::Group(name, view) => {
                log_event!(
                    GroupChanged,
                    group = name,
                    epoch = view.epoch,
                    state = if view.is_open { "open" } else { "broken" },
                    source = source
                );
                self.bounds.borrow_mut().forget(name);
            }
            RosterChange::Left(key, entry) => {
                self.channels.close(*key);
                log_event!(
                    TargetLeft,
                    target = entry.id,
                    state = "gone",
                    source = source
                );
            }
        }
    }

    /// Returns whether the gateway has run long enough to be preferred as a placer. During a
    /// rolling restart, every change of the placer would cost a few map changes.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= SETTLED_AFTER
    }

    /// Returns whether the gateway has a configuration, knows targets and the emptied zones, so that
    /// it can serve requests. After its start it waits for peers, if it has any, before it relies on
    /// a store that may hold the content of a copy.
    pub fn can_serve(&self, now: Instant) -> bool {
        let has_peers = !self.options.seeds.is_empty() || self.peers.borrow().known().len() > 0;
        self.table.borrow().is_some()
            && self.knows_emptied_zones()
            && !self.roster.borrow().is_empty()
            && !(has_peers && self.inquiry.borrow().delays_start(now))
    }

    /// Returns the age of the instance list; the maximum duration if none was read.
    pub fn list_age(&self, now: Instant) -> Duration {
        let listed_at = self.listed_at.get();
        listed_at.map_or(Duration::MAX, |listed_at| {
            now.saturating_duration_since(listed_at)
        })
    }

    /// Returns the time since the store last confirmed that the configuration is current; the
    /// maximum duration if it never did.
    pub fn configuration_age(&self, now: Instant) -> Duration {
        let configured_at = self.configured_at.get();
        configured_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns the average time from the first attempt to the first event or the complete response;
    /// a third of the route's objective before the first sample.
    pub fn first_answer_time(&self, service: &ServiceName, route: &RouteRule) -> Duration {
        let times = self.first_answers.borrow();
        times.get(service).copied().unwrap_or(route.objective / 3)
    }

    /// Adds a sample to the average time to the first answer of a service.
    pub fn record_first_answer(&self, service: &ServiceName, elapsed: Duration) {
        let mut times = self.first_answers.borrow_mut();
        let mean = times.entry(service.clone()).or_insert(elapsed);
        *mean = mean.mul_f64(1.0 - FIRST_ANSWER_WEIGHT) + elapsed.mul_f64(FIRST_ANSWER_WEIGHT);
    }

    /// Returns how long requests of a service take; `None` before the first sample.
    pub fn usual_duration(
        &self,
        service: &ServiceName,
        is_stream: bool,
    ) -> Option<DurationEstimate> {
        let durations = self.durations.borrow();
        durations.get(&(service.clone(), is_stream)).copied()
    }

    /// Adds a sample to the estimate of how long requests of a service take.
    pub fn record_duration(&self, service: &ServiceName, is_stream: bool, total: Duration) {
        let mut durations = self.durations.borrow_mut();
        durations
            .entry((service.clone(), is_stream))
            .and_modify(|estimate| estimate.record(total))
            .or_insert_with(|| DurationEstimate::new(total));
    }

    /// Begins the planned stop, and returns its times.
    pub fn begin_stop(&self, now: Instant) -> StopPlan {
        let plan = StopPlan::new(now, self.options.stop_limit);
        self.leaving.set(true);
        self.stop_plan.set(Some(plan));
        plan
    }

    /// Records that a target has sent an event at `now`.
    pub fn record_progress(&self, key: TargetKey, now: Instant) {
        if let Some(target) = self.roster.borrow_mut().get_mut(key) {
            target.progress_at = Some(now);
        }
    }

    /// Returns whether a target of the service other than `key` has sent an event since `since`.
    pub fn has_other_progress(
        &self,
        service: &ServiceName,
        key: TargetKey,
        since: Instant,
    ) -> bool {
        let roster = self.roster.borrow();
        let mut others = roster
            .of_service(service)
            .filter(|(other, _)| *other != key);
        others.any(|(_, target)| target.progress_at.is_some_and(|at| at >= since))
    }

    /// Records a successful attempt, which also shows that the group of the target runs.
    pub fn record_success(&self, key: TargetKey) {
        let mut roster = self.roster.borrow_mut();
        self.record_health(&mut roster, key, TargetHealth::record_success);
        let changes = roster.note_running_group(key, Instant::now());
        drop(roster);
        self.note_changes(&changes, "answer");
    }

    /// Records a failed attempt. After several in a row the target is ejected for a while, and its
    /// idle connections are closed.
    pub fn record_failure(&self, key: TargetKey, now: Instant) {
        let mut roster = self.roster.borrow_mut();
        let Some(target) = roster.get(key).map(|target| target.name_hash) else {
            return;
        };
        roster.pacer_mut().record_failure(target, now);
        let Some(target) = roster.get_mut(key) else {
            return;
        };
        if target.health.record_failure(now) {
            self.metrics.ejections.inc();
            self.channels.close(key);
            log_event!(
                TargetEjected,
                target = target.entry.id,
                failure_share = format_args!("{:.2}", target.health.failure_share())
            );
        }
    }
}
