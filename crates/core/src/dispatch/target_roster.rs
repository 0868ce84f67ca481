//! Targets of the instance list, with the state that this gateway keeps for each of them.

use {
    super::{
        group_watch::{DatedView, GroupNews, GroupWatch, RankRejection},
        request_limits::{FleetShare, LimitNews, RequestLimits, RequestRate, StartPace},
        slow_ranks::{DatedSlowdown, SlowRanks, Slowdown, usual_slowdown},
        target_entry::{
            DirectTarget, GroupMember, TargetEntry, TargetId, TargetKey, TargetNotice, TargetState,
        },
        target_health::TargetHealth,
        target_pace::{PaceChange, PaceInput, TargetPacer},
    },
    crate::ids::{GroupName, ServiceName, ZoneName},
    slotmap::SlotMap,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        mem,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time after an outage of the instance list for which missing targets are kept. Entries that
/// expired while the store was unavailable are back in the list within two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Time for which the notice of a target is kept after its entry has been removed. Entries may
/// expire and come back, and peers may still list a target that has told this gateway that it is
/// leaving.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// Time for which the departure of a target is remembered. The copy from which a store is restored
/// is some seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

/// Notice of a target that is no longer listed, kept in case the same incarnation is listed again.
#[derive(Clone, Copy, Debug)]
struct KeptNotice {
    started_at_ms: u64,
    address: SocketAddr,
    notice: TargetNotice,
    kept_at: Instant,
}

/// Incarnation of a target that takes no new work, kept in case an older list shows it again.
#[derive(Clone, Copy, Debug)]
struct DepartedTarget {
    started_at_ms: u64,
    departed_at: Instant,
}

/// Incarnation of a target that is leaving or gone, as gateways tell it each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetDeparture {
    /// Name of the target.
    pub id: TargetId,
    /// Start time of the incarnation, as in [`TargetEntry::started_at_ms`].
    pub started_at_ms: u64,
}

/// Instance list as read from the store or received from a peer.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    /// Entries of the list.
    pub entries: Vec<TargetEntry>,
    /// Names of the entries that may be of the copy from which the store was restored.
    pub unconfirmed: HashSet<TargetId>,
}

impl FromIterator<(TargetEntry, bool)> for TargetList {
    /// Builds the list from entries, each with whether it may be of the copy.
    fn from_iter<I: IntoIterator<Item = (TargetEntry, bool)>>(entries: I) -> Self {
        let mut list = Self::default();
        for (entry, is_unconfirmed) in entries {
            if is_unconfirmed {
                list.unconfirmed.insert(Arc::clone(&entry.id));
            }
            list.entries.push(entry);
        }
        list
    }
}

/// Change of a target or a group.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// A target is new or has restarted.
    Joined(TargetKey),
    /// The list shows that a target accepts no new requests.
    Draining(TargetKey),
    /// A target has been removed; with its latest entry.
    Left(TargetKey, TargetEntry),
    /// A group is new, has formed, or has lost a rank; with its new state.
    Group(GroupName, GroupView),
}

/// State of a group: its latest known formation, and whether that one runs requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupView {
    /// Number of the group's formation.
    pub epoch: u64,
    /// Whether all ranks are present, so that the group runs requests.
    pub is_open: bool,
}

/// Slowdowns of the ranks of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupPace {
    /// Slowdown of the median rank.
    pub usual: Slowdown,
    /// Number of ranks that are slower than the median rank by more than passes vary.
    pub slow_ranks: u32,
}

impl Default for GroupPace {
    fn default() -> Self {
        Self {
            usual: Slowdown::NONE,
            slow_ranks: 0,
        }
    }
}

/// Target that claims a rank of a group. Of several, the greatest one holds the rank: the one of
/// the newest formation, among these the one that started last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RankHolder {
    epoch: u64,
    started_at_ms: u64,
    key: TargetKey,
}

/// All known targets and groups.
#[derive(Debug, Default)]
pub struct TargetRoster {
    targets: SlotMap<TargetKey, DirectTarget>,
    keys: HashMap<TargetId, TargetKey>,
    groups: HashMap<GroupName, GroupView>,
    /// For each broken group, the time since which it has run no requests, or since which all of
    /// its ranks answer again.
    outages: HashMap<GroupName, Instant>,
    /// State of groups from reports, peers and answers, which may be newer than the list.
    watch: GroupWatch,
    /// Slowdowns that ranks have reported.
    slow_ranks: SlowRanks,
    /// Limits on the rate of requests that targets have named.
    limits: RequestLimits,
    /// Paces of targets that are cold, have just started or recovered.
    pacer: TargetPacer,
    /// Notices of targets that are no longer listed.
    notices: HashMap<TargetId, KeptNotice>,
    /// Latest incarnations of targets that are no longer listed.
    departed: HashMap<TargetId, DepartedTarget>,
    /// Time at which the list could be read again after an outage. Until [`LAPSE_GRACE`] later, the
    /// entry of a target that is missing since then may only have expired.
    regained_at: Option<Instant>,
    /// Time at which the latest list was read.
    listed_at: Option<Instant>,
    /// Services that the configuration names; `None` while there is no configuration.
    services: Option<HashSet<ServiceName>>,
    /// Whether unconfirmed targets may have left without the knowledge of this gateway.
    doubts_unconfirmed: bool,
    /// Availability zones that the operator has emptied.
    emptied_zones: BTreeSet<ZoneName>,
}

impl TargetRoster {
    /// Returns a target; `None` if it has been removed.
    pub fn get(&self, key: TargetKey) -> Option<&DirectTarget> {
        self.targets.get(key)
    }

    /// Returns a target for modification; `None` if it has been removed.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut DirectTarget> {
        self.targets.get_mut(key)
    }

    /// Returns the key of the target with the name `id`; `None` if there is none.
    pub fn find(&self, id: &str) -> Option<TargetKey> {
        self.keys.get(id).copied()
    }

    /// Returns the target with the name `id`; `None` if there is none.
    pub fn find_target(&self, id: &str) -> Option<&DirectTarget> {
        self.find(id).and_then(|key| self.get(key))
    }

    /// Returns the name of the target whose name has the given hash; `None` if there is none.
    pub fn name_of(&self, name_hash: u32) -> Option<&str> {
        let mut targets = self.targets.values();
        let target = targets.find(|target| target.name_hash == name_hash)?;
        Some(&target.entry.id)
    }

    /// Returns the targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (TargetKey, &'a DirectTarget)> {
        let targets = self.targets.iter();
        targets.filter(move |(_, target)| target.entry.service == *service)
    }

    /// Returns all targets with their keys, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &DirectTarget)> {
        self.targets.iter()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets of the latest list, without those that are kept only because their
    /// entries may have expired during an outage of the list.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.listed_targets().map(|target| &target.entry)
    }

    /// Like [`Self::listed`], with what this gateway knows of each target.
    pub fn listed_targets(&self) -> impl Iterator<Item = &DirectTarget> {
        let latest = self.listed_at;
        let targets = self.targets.values();
        targets.filter(move |target| Some(target.listed_at) >= latest)
    }

    /// Returns the latest list, as [`Self::listed`] gives it.
    pub fn latest_list(&self) -> TargetList {
        let targets = self.listed_targets();
        targets
            .map(|target| (target.entry.clone(), target.is_unconfirmed))
            .collect()
    }

    /// Replaces the requests of peers in flight by `loads`, pairs of the hash of a target's name
    /// and a number of requests. Pairs with the same hash are added up.
    pub fn set_peer_loads(&mut self, loads: impl Iterator<Item = (u32, u32)>) {
        let mut sums: HashMap<u32, u32> = HashMap::new();
        for (hash, in_flight) in loads {
            let sum = sums.entry(hash).or_default();
            *sum = sum.saturating_add(in_flight);
        }
        for target in self.targets.values_mut() {
            let sum = sums.get(&target.name_hash);
            target.peer_in_flight = sum.copied().unwrap_or_default();
        }
    }

    /// Records that the list can be read again after an outage.
    pub fn note_list_regained(&mut self, now: Instant) {
        self.regained_at = Some(now);
    }

    /// Sets the services that the configuration names. Targets of other services, which may come
    /// from another writer, are no ranks of any group. Returns the groups whose state has changed.
    pub fn set_services(
        &mut self,
        services: HashSet<ServiceName>,
        now: Instant,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        self.services = Some(services);
        self.update_groups(now, &mut changes);
        changes
    }

    /// Sets the availability zones whose targets get no new requests.
    pub fn set_emptied_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.emptied_zones = zones;
        self.mark_emptied();
    }

    fn mark_emptied(&mut self) {
        for target in self.targets.values_mut() {
            let zone = &target.entry.availability_zone;
            target.is_emptied = self.emptied_zones.contains(zone);
        }
    }

    /// Returns how many ranks of a group are in emptied zones.
    pub fn emptied_ranks(&self, name: &GroupName) -> u32 {
        // Called for each event of a stream, and usually no zone is emptied.
        if self.emptied_zones.is_empty() {
            return 0;
        }
        let ranks = self.ranks_of(name).filter(|target| !target.is_superseded);
        let emptied = ranks.filter(|target| target.is_emptied);
        u32::try_from(emptied.count()).unwrap_or(u32::MAX)
    }

    /// Returns the membership of a target in a group, unless its service is not configured.
    fn member<'a>(&self, target: &'a DirectTarget) -> Option<&'a GroupMember> {
        let services = self.services.as_ref();
        let is_configured =
            services.is_none_or(|services| services.contains(&target.entry.service));
        target.entry.group.as_ref().filter(|_| is_configured)
    }

    /// Applies a new instance list without unconfirmed entries, like [`Self::apply_list`].
    pub fn apply(&mut self, entries: Vec<TargetEntry>, now: Instant) -> Vec<RosterChange> {
        let list = TargetList {
            entries,
            ..TargetList::default()
        };
        self.apply_list(list, now)
    }

    /// Applies a new instance list and returns the changes. An entry with another start time,
    /// address or service under the same name is another process: the old target has left and a new
    /// one has joined. An entry that names no target is left out; peers may pass such entries on.
    ///
    /// An unconfirmed entry does not undo what is known: it brings back no incarnation that has
    /// left or was replaced, and makes no draining target ready.
    pub fn apply_list(&mut self, list: TargetList, now: Instant) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let entries = list.entries.into_iter();
        for entry in entries.filter(|entry| entry.invalid_field().is_none()) {
            if !list.unconfirmed.contains(&entry.id) {
                self.apply_entry(entry, now, &mut changes);
            } else if let Some(entry) = self.reconcile(entry) {
                let id = Arc::clone(&entry.id);
                self.apply_entry(entry, now, &mut changes);
                if let Some(target) = self.find(&id).and_then(|key| self.targets.get_mut(key)) {
                    target.is_unconfirmed = true;
                }
            }
        }
        self.mark_emptied();
        self.listed_at = Some(now);
        self.watch.drop_outdated(now);
        self.slow_ranks.drop_outdated(now);
        self.limits.drop_outdated(now);
        self.notices
            .retain(|_, kept| now < kept.kept_at + NOTICE_RETENTION);
        self.departed
            .retain(|_, departed| now < departed.departed_at + DEPARTURE_RETENTION);
        let regained_at = self.regained_at.filter(|at| now < *at + LAPSE_GRACE);
        let missing = self.targets.iter().filter(|(_, target)| {
            let was_leaving = target.entry.state == TargetState::Draining;
            let may_have_lapsed = regained_at.is_some_and(|at| target.listed_at < at);
            target.listed_at < now && (was_leaving || !may_have_lapsed)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key).collect();
        for key in missing {
            self.remove(key, now, &mut changes);
        }
        self.update_groups(now, &mut changes);
        changes
    }

    /// Combines an unconfirmed entry with what is known; `None` if the incarnation has left or was
    /// replaced.
    fn reconcile(&self, mut entry: TargetEntry) -> Option<TargetEntry> {
        let departed = self.departed.get(&entry.id);
        if departed.is_some_and(|departed| entry.started_at_ms <= departed.started_at_ms) {
            return None;
        }
        let Some(known) = self.find_target(&entry.id).map(|target| &target.entry) else {
            return Some(entry);
        };
        if entry.started_at_ms < known.started_at_ms {
            return None;
        }
        if is_same_incarnation(known, &entry) {
            if known.state == TargetState::Draining {
                entry.state = TargetState::Draining;
            }
            let is_older = known.group.as_ref().is_some_and(|known| {
                let listed = entry.group.as_ref();
                listed.is_none_or(|listed| {
                    let was_broken = known.epoch == listed.epoch && !known.is_open;
                    listed.epoch < known.epoch || was_broken
                })
            });
            if is_older {
                entry.group.clone_from(&known.group);
            }
        }
        Some(entry)
    }

    /// Sets whether unconfirmed targets may have left without the knowledge of this gateway, so that
    /// others are preferred.
    pub fn set_doubts_unconfirmed(&mut self, doubts: bool) {
        self.doubts_unconfirmed = doubts;
    }

    /// Returns whether a target may have left without the knowledge of this gateway.
    pub fn is_doubtful(&self, target: &DirectTarget) -> bool {
        self.doubts_unconfirmed && target.is_unconfirmed
    }

    /// Returns the incarnations that this gateway knows to be leaving or gone.
    pub fn departures(&self) -> impl Iterator<Item = TargetDeparture> {
        let leaving = self.targets.values().filter(|target| target.is_leaving());
        let leaving = leaving.map(|target| TargetDeparture {
            id: Arc::clone(&target.entry.id),
            started_at_ms: target.entry.started_at_ms,
        });
        let departed = self.departed.iter();
        leaving.chain(departed.map(|(id, departed)| TargetDeparture {
            id: Arc::clone(id),
            started_at_ms: departed.started_at_ms,
        }))
    }

    /// Records incarnations that a peer knows to be leaving or gone, and returns the changes. Only
    /// unconfirmed entries are affected, now and in later lists.
    pub fn note_departures(
        &mut self,
        departures: impl IntoIterator<Item = TargetDeparture>,
        now: Instant,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        for departure in departures {
            let Some(key) = self.find(&departure.id) else {
                self.note_departed(departure.id, departure.started_at_ms, now);
                continue;
            };
            let target = &mut self.targets[key];
            let is_news = target.is_unconfirmed
                && target.entry.state == TargetState::Ready
                && target.entry.started_at_ms <= departure.started_at_ms;
            if is_news {
                target.entry.state = TargetState::Draining;
                changes.push(RosterChange::Draining(key));
            }
        }
        changes
    }

    fn note_departed(&mut self, id: TargetId, started_at_ms: u64, now: Instant) {
        let departed = self.departed.entry(id).or_insert(DepartedTarget {
            started_at_ms,
            departed_at: now,
        });
        if started_at_ms > departed.started_at_ms {
            *departed = DepartedTarget {
                started_at_ms,
                departed_at: now,
            };
        }
    }

    /// Records that a target has said in an answer that it is leaving; returns whether that was not
    /// known before.
    pub fn note_leaving(&mut self, key: TargetKey) -> bool {
        let target = self.targets.get_mut(key);
        target.is_some_and(|target| !mem::replace(&mut target.notice.is_leaving, true))
    }

    /// Records that a target wants no requests from this gateway before `until`; returns whether
    /// that is later than the known end of its hold-off.
    pub fn note_hold_off(&mut self, key: TargetKey, until: Instant) -> bool {
        let Some(target) = self.targets.get_mut(key) else {
            return false;
        };
        let known = target.notice.held_off_until;
        target.notice.held_off_until = known.max(Some(until));
        target.health.require_trial(until);
        known < Some(until)
    }

    /// Records the limit on the rate of requests that a target has named in the answer to a request
    /// that started at `started_at`; returns whether it is new, has changed or has ended.
    pub fn record_limit(
        &mut self,
        key: TargetKey,
        limit: Option<RequestRate>,
        started_at: Instant,
        share: FleetShare,
        now: Instant,
    ) -> bool {
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        let target = target.name_hash;
        self.limits
            .record_answer(target, limit, started_at, share, now)
    }

    /// Records the limit of a target that a peer has reported, by the hash of the target's name;
    /// returns whether it is new, has changed or has ended.
    pub fn note_limit(
        &mut self,
        target: u32,
        news: LimitNews,
        share: FleetShare,
        now: Instant,
    ) -> bool {
        self.limits.note(target, news, share, now)
    }

    /// Returns the paces of targets.
    pub fn pacer(&self) -> &TargetPacer {
        &self.pacer
    }

    /// Returns the paces of targets for modification.
    pub fn pacer_mut(&mut self) -> &mut TargetPacer {
        &mut self.pacer
    }

    /// Updates the paces of targets; returns their changes since the last update.
    pub fn update_paces(&mut self, input: PaceInput, now: Instant) -> Vec<(u32, PaceChange)> {
        let targets: Vec<_> = self.targets.values().map(DirectTarget::paced).collect();
        self.pacer.update(input, &targets, now)
    }

    /// Begins to find the pace of a target that is back after an outage or from a zone that was
    /// emptied.
    pub fn begin_pace(&mut self, key: TargetKey, now: Instant) -> Option<PaceChange> {
        self.pacer.begin(self.targets.get(key)?.paced(), now)
    }

    /// Records the cold time that a target has named in an answer; returns the change.
    pub fn note_cold(
        &mut self,
        key: TargetKey,
        cold_for: Duration,
        now: Instant,
    ) -> Option<PaceChange> {
        let target = self.targets.get(key)?;
        self.pacer.note_cold_answer(target.paced(), cold_for, now)
    }

    /// Records the cold time of a target that a peer has reported, by the hash of the target's
    /// name; returns the change.
    pub fn note_peer_cold(
        &mut self,
        target: u32,
        cold_for: Duration,
        now: Instant,
    ) -> Option<PaceChange> {
        let mut targets = self.targets.values();
        let target = targets.find(|known| known.name_hash == target)?;
        self.pacer.note_cold(target.paced(), cold_for, now)
    }

    /// Returns whether the limit and the pace of a target, if it has them, allow this gateway a
    /// request now.
    pub fn admits(&self, target: &DirectTarget, now: Instant) -> bool {
        self.limits.admits(target.name_hash, now) && self.pacer.admits(target.name_hash, now)
    }

    /// Returns whether a target may take a request now although its found pace is not due. With
    /// nothing in flight here it is idle, and the request would otherwise wait.
    pub fn admits_idle(&self, target: &DirectTarget, now: Instant) -> bool {
        target.own_in_flight == 0
            && self.limits.admits(target.name_hash, now)
            && self.pacer.admits_bound(target.name_hash, now)
    }

    /// Records that this gateway sends a request to a target.
    pub fn record_start(&mut self, key: TargetKey, share: FleetShare, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.own_in_flight += 1;
            target.started_at = Some(now);
            target.health.record_start();
            self.limits.record_start(target.name_hash, share, now);
            self.pacer
                .record_start(target.name_hash, &target.entry.service, now);
        }
    }

    /// Returns the pace at which this gateway may start requests at some targets; `None` if one of
    /// them has no limit.
    pub fn limited_pace<'a>(
        &self,
        targets: impl Iterator<Item = &'a DirectTarget>,
        share: FleetShare,
        now: Instant,
    ) -> Option<StartPace> {
        if self.limits.is_empty() {
            return None;
        }
        let targets = targets.map(|target| target.name_hash);
        self.limits.pace(targets, share, now)
    }

    /// Returns the limits that are sent to the peers, by the hash of the target's name.
    pub fn limit_news(&self, now: Instant) -> impl Iterator<Item = (u32, LimitNews)> {
        self.limits.news(now)
    }

    /// Returns the number of requests that all gateways have in flight at the ranks of a group.
    pub fn group_load(&self, name: &GroupName) -> u32 {
        let loads = self.ranks_of(name).map(DirectTarget::in_flight);
        loads.fold(0, u32::saturating_add)
    }

    /// Returns the number of requests that this gateway has in flight at the ranks of a group.
    pub fn own_group_load(&self, name: &GroupName) -> u32 {
        self.ranks_of(name).map(|target| target.own_in_flight).sum()
    }

    /// Records a reported slowdown of the target whose name has the given hash; returns whether the
    /// target became slow or recovered.
    pub fn note_slowdown(&mut self, target: u32, report: DatedSlowdown, now: Instant) -> bool {
        self.slow_ranks.record(target, report, now)
    }

    /// Returns the slowdown of a target, as its engine reported it.
    pub fn slowdown(&self, target: &DirectTarget, now: Instant) -> Slowdown {
        self.slow_ranks.slowdown(target.name_hash, now)
    }

    /// Returns the slowdowns that are sent to the peers, by the hash of the target's name.
    pub fn slowdown_news(&self, now: Instant) -> impl Iterator<Item = (u32, DatedSlowdown)> {
        self.slow_ranks.news(now)
    }

    /// Returns how slow the ranks of a group are.
    pub fn group_pace(&self, name: &GroupName, now: Instant) -> GroupPace {
        if self.slow_ranks.is_empty() {
            return GroupPace::default();
        }
        let ranks = self.ranks_of(name).filter(|rank| !rank.is_superseded);
        let slowdowns: Vec<_> = ranks.map(|rank| self.slowdown(rank, now)).collect();
        let usual = usual_slowdown(slowdowns.iter().copied());
        let slow = slowdowns.iter().filter(|slowdown| slowdown.is_slow(usual));
        GroupPace {
            usual,
            slow_ranks: slow.count() as u32,
        }
    }

    fn ranks_of(&self, name: &GroupName) -> impl Iterator<Item = &DirectTarget> {
        self.targets.values().filter(move |target| {
            let member = self.member(target);
            member.is_some_and(|member| member.name == *name)
        })
    }

    /// Returns the state of each group.
    pub fn groups(&self) -> &HashMap<GroupName, GroupView> {
        &self.groups
    }

    /// Records that a rank has rejected a request, which may show that its group has lost a rank.
    /// `names_another` says whether the answer names another rank as the reason, and `pass` is the
    /// duration of a pass of the group. Returns the groups whose state has changed.
    pub fn note_rejection(
        &mut self,
        key: TargetKey,
        names_another: bool,
        pass: Option<Duration>,
        now: Instant,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let target = self.targets.get(key);
        let Some((target, member)) = target.and_then(|target| {
            let member = target.entry.group.as_ref()?;
            Some((target, member))
        }) else {
            return changes;
        };
        let name = member.name.clone();
        let progress_at = self.ranks_of(&name).filter_map(|rank| rank.progress_at);
        let rejection = RankRejection {
            names_another,
            // The rejected request is still among those in flight.
            had_room: target.in_flight() <= target.entry.slots,
            silent_for: progress_at
                .max()
                .map(|at| now.saturating_duration_since(at)),
            pass,
        };
        if rejection.shows_break() {
            let epoch = self
                .groups
                .get(&name)
                .map_or(member.epoch, |view| view.epoch);
            self.watch.note_break(&name, epoch, now);
            if names_another {
                self.watch.note_named_rank(&name);
            }
            self.update_groups(now, &mut changes);
        }
        changes
    }

    /// Records that a target has begun to answer a request, which a rank of a broken group cannot.
    /// Returns the groups whose state has changed.
    pub fn note_running_group(&mut self, key: TargetKey, now: Instant) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let target = self.targets.get(key);
        let member = target.and_then(|target| target.entry.group.as_ref());
        if member.is_some_and(|member| self.watch.note_running(&member.name)) {
            self.update_groups(now, &mut changes);
        }
        changes
    }

    /// Records a view of a group from a report of a rank or a peer; a group without listed ranks is
    /// ignored. Returns the groups whose state has changed.
    pub fn note_group_view(
        &mut self,
        name: &GroupName,
        dated: DatedView,
        now: Instant,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        if self.groups.contains_key(name) && self.watch.note_view(name, dated, now) {
            self.update_groups(now, &mut changes);
        }
        changes
    }

    /// Records that all ranks of the broken formation `epoch` of a group answer again, so that the
    /// group is about to form; returns whether that was not known before.
    pub fn note_forming_group(&mut self, name: &GroupName, epoch: u64, now: Instant) -> bool {
        let view = self.groups.get(name);
        let is_broken = view.is_some_and(|view| !view.is_open && view.epoch == epoch);
        let is_news = is_broken && self.watch.note_forming(name, epoch, now);
        if is_news {
            self.outages.insert(name.clone(), now);
        }
        is_news
    }

    /// Returns whether a group counts as broken only because of rejections, without a report that
    /// confirms it.
    pub fn is_suspected(&self, name: &GroupName) -> bool {
        self.watch.is_suspected(name)
    }

    /// Returns the time since which a broken group has run no requests, or since which all of its
    /// ranks answer again; `None` for a group that runs. For a group that counts as broken only
    /// because a rank has rejected a request, it is the time of the rejection at the earliest.
    pub fn outage_since(&self, name: &GroupName) -> Option<Instant> {
        let since = self.outages.get(name).copied()?;
        Some(since.max(self.watch.doubtful_since(name).unwrap_or(since)))
    }

    /// Returns the views of groups that have changed lately and are sent to peers.
    pub fn group_news(&self, now: Instant) -> impl Iterator<Item = (&GroupName, GroupNews)> {
        self.watch.news(now)
    }

    /// Recomputes the state of each group and adds the changes to `changes`. Entries of ranks are
    /// up to a heartbeat old and may differ. Since each formation has a higher number than the one
    /// before and never opens again once it is broken, the newest formation counts, and it is
    /// broken if any of its ranks says so.
    fn update_groups(&mut self, now: Instant, changes: &mut Vec<RosterChange>) {
        let mut views: HashMap<&GroupName, GroupView> = HashMap::new();
        for target in self.targets.values() {
            let Some(member) = self.member(target) else {
                continue;
            };
            let (epoch, is_open) = (member.epoch, member.is_open);
            let view = views
                .entry(&member.name)
                .or_insert(GroupView { epoch, is_open });
            if epoch > view.epoch {
                *view = GroupView { epoch, is_open };
            } else if epoch == view.epoch {
                view.is_open &= is_open;
            }
        }
        let views = views.into_iter();
        let views: HashMap<_, _> = views
            .map(|(name, listed)| (name.clone(), self.watch.merge(name, listed)))
            .collect();
        for (name, view) in &views {
            if self.groups.get(name) != Some(view) {
                changes.push(RosterChange::Group(name.clone(), *view));
            }
        }
        self.outages
            .retain(|name, _| views.get(name).is_some_and(|view| !view.is_open));
        for (name, _) in views.iter().filter(|(_, view)| !view.is_open) {
            if !self.outages.contains_key(name) {
                let progress_at = self.ranks_of(name).filter_map(|rank| rank.progress_at);
                let stalled_at = progress_at.max().unwrap_or(now);
                self.outages.insert(name.clone(), stalled_at);
            }
        }
        let holders = self.rank_holders();
        for (key, target) in &mut self.targets {
            let member = target.entry.group.as_ref();
            let view = member.and_then(|member| views.get(&member.name));
            target.group_runs = view.is_none_or(|view| view.is_open);
            target.is_superseded = member.is_some() && !holders.contains(&key);
        }
        self.watch.retain(|name| views.contains_key(name));
        self.groups = views;
    }

    /// Returns the target that holds each rank of each group: the one of the newest formation,
    /// among several the one that started last.
    fn rank_holders(&self) -> HashSet<TargetKey> {
        let mut holders: HashMap<(&GroupName, u32), RankHolder> = HashMap::new();
        for (key, target) in &self.targets {
            let Some(member) = self.member(target) else {
                continue;
            };
            let holder = RankHolder {
                epoch: member.epoch,
                started_at_ms: target.entry.started_at_ms,
                key,
            };
            let known = holders.entry((&member.name, member.rank)).or_insert(holder);
            *known = holder.max(*known);
        }
        holders.into_values().map(|holder| holder.key).collect()
    }

    fn apply_entry(&mut self, entry: TargetEntry, now: Instant, changes: &mut Vec<RosterChange>) {
        if let Some(key) = self.find(&entry.id) {
            if is_same_incarnation(&self.targets[key].entry, &entry) {
                let target = &mut self.targets[key];
                let is_draining = entry.state == TargetState::Draining;
                if is_draining && target.entry.state == TargetState::Ready {
                    changes.push(RosterChange::Draining(key));
                }
                target.entry = entry;
                target.is_unconfirmed = false;
                target.listed_at = now;
                let cold_for = target.entry.cold_for;
                self.pacer.record_listed(target.paced(), cold_for, now);
                return;
            }
            self.limits.forget(self.targets[key].name_hash);
            self.remove(key, now, changes);
        }
        let id = Arc::clone(&entry.id);
        // An entry that had only lapsed is of a target that has run all the while.
        let departed = self.departed.remove(&id);
        let had_lapsed = departed.is_some_and(|departed| {
            departed.started_at_ms == entry.started_at_ms && entry.started_at_ms > 0
        });
        let kept = self.notices.remove(&id).filter(|kept| {
            kept.started_at_ms == entry.started_at_ms && kept.address == entry.address
        });
        let notice = kept.map(|kept| kept.notice).unwrap_or_default();
        let mut health = TargetHealth::default();
        if let Some(until) = notice.held_off_until {
            health.require_trial(until);
        }
        let key = self.targets.insert(DirectTarget {
            name_hash: xxh3_64(id.as_bytes()) as u32,
            entry,
            own_in_flight: 0,
            peer_in_flight: 0,
            started_at: None,
            health,
            notice,
            group_runs: true,
            is_superseded: false,
            progress_at: None,
            is_unconfirmed: false,
            is_emptied: false,
            listed_at: now,
        });
        let target = &self.targets[key];
        let runs_longer = had_lapsed || self.listed_at.is_none();
        let cold_for = target.entry.cold_for;
        self.pacer
            .record_joined(target.paced(), cold_for, runs_longer, now);
        self.keys.insert(id, key);
        changes.push(RosterChange::Joined(key));
    }

    fn remove(&mut self, key: TargetKey, now: Instant, changes: &mut Vec<RosterChange>) {
        if let Some(target) = self.targets.remove(key) {
            self.keys.remove(&target.entry.id);
            self.pacer.forget(target.name_hash);
            if target.notice != TargetNotice::default() {
                let kept = KeptNotice {
                    started_at_ms: target.entry.started_at_ms,
                    address: target.entry.address,
                    notice: target.notice,
                    kept_at: now,
                };
                self.notices.insert(target.entry.id.clone(), kept);
            }
            let id = Arc::clone(&target.entry.id);
            self.note_departed(id, target.entry.started_at_ms, now);
            changes.push(RosterChange::Left(key, target.entry));
        }
    }
}

/// Returns whether two entries of one name are of the same process.
fn is_same_incarnation(known: &TargetEntry, entry: &TargetEntry) -> bool {
    known.started_at_ms == entry.started_at_ms
        && known.address == entry.address
        && known.service == entry.service
}
