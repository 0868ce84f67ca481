//! Pace of requests to targets that are cold, have just started or are back after an outage.
//!
//! Load pattern: a target comes back while its service is busy. It is the least loaded one, so that
//! all gateways together would fill it at once, before its caches are warm; a fixed ramp would keep
//! a target idle that is quick from the first request on.
//!
//! Load pattern: a cold target fails above a rate that the configuration names, counted over all
//! gateways. Each gateway takes a part that holds without an exchange before a request.
//!
//! Load pattern: a group forms anew after all of its ranks have started. All ranks are alike, so
//! that a pace below the demand would only keep callers waiting.

use {
    super::{
        request_limits::RequestRate, target_entry::TargetKey, target_health::TargetHealth,
        target_roster::TargetRoster,
    },
    crate::ids::{GroupName, ServiceName, ZoneName},
    std::{collections::HashMap, mem, time::Duration},
    tokio::time::Instant,
};

/// Time after its due time for which a start may still be made. Starts that are not used by then
/// lapse; otherwise gateways that had no requests would all start one at the same moment.
const LAPSE_TIME: Duration = Duration::from_millis(250);

/// Standard deviations between the mean number of starts in a second and the bound, in fleets of
/// more gateways than the bound has requests. The due times of gateways are independent there.
const BOUND_DEVIATIONS: f64 = 4.0;

/// Part by which the interval between starts is longer than the bound demands, against rounding.
const INTERVAL_RESERVE: f64 = 1.01;

/// Share of a usual target's requests that a target gets first. Three rounds of quick answers then
/// bring the full share.
const FIRST_SHARE: f64 = 0.125;

/// Lowest rate, in requests per second of all gateways, that is found from answers. Without answers
/// a recovered target would never be noticed.
const MIN_FOUND_RATE: f64 = 1.0;

/// Factor by which the rate is raised after a quick answer and lowered after a slow or failed one.
const RATE_STEP: f64 = 2.0;

/// Time to the first answer, relative to that of other targets, up to which an answer is quick.
/// Prompts of different length differ by about as much.
const QUICK_FACTOR: f64 = 1.5;

/// Time for which answers of a rank are compared with those from before it started. Ranks run each
/// pass together, so that a cold one also slows down the answers of the others.
const BASELINE_TIME: Duration = Duration::from_secs(5);

/// Weight of the newest answer in the mean time to the first answer.
const ANSWER_WEIGHT: f64 = 0.1;

/// Part of a service's targets up to which paces that are found count. Beyond it the others could
/// not carry the load.
const MAX_PACED_TARGETS: f64 = 0.5;

/// The same for the ranks of a group, which are loaded to about four fifths and whose passes take
/// longer with each request that another rank takes over.
const MAX_PACED_RANKS: f64 = 0.2;

/// Time over which the rate of a service's requests is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time for which the last rate of a found pace is sent to the peers.
const END_NEWS_TIME: Duration = Duration::from_secs(2);

/// Time after its start at which a found pace ends whatever the answers are. A target that stays
/// slow is the business of its health and of the slow ranks.
const MAX_FOUND_TIME: Duration = Duration::from_secs(30);

/// Time for which the highest number of gateways counts for the cold bound. Gateways on the sides of
/// a partition send requests to the same target. A fleet that shrinks loses only pace.
const FLEET_MEMORY: Duration = Duration::from_secs(600);

/// Time after the first report of another gateway from which on a gateway knows the fleet: reports
/// that name all gateways come every two seconds from each peer in fleets of usual size.
const FLEET_KNOWN_AFTER: Duration = Duration::from_secs(4);

/// Number of gateways that is assumed before, if more are not known: that of the largest fleets in
/// service. Too high a number costs a cold target some requests, too low a one crashes it.
const ASSUMED_GATEWAYS: u32 = 64;

/// Longest time for which a target may call itself cold; longer ones are cut to this.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Load of cold targets that the configuration allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a target is cold after its start.
    pub time: Duration,
    /// Requests per second of all gateways that a cold target tolerates.
    pub rate: RequestRate,
}

/// Settings of the pace of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceRule {
    /// Most requests to a cold target in any second, relative to its [`ColdRule::rate`].
    pub ratio: f64,
    /// Requests that a cold target may get in any second beyond that.
    pub allowance: f64,
    /// Whether the pace of a target that has just started or recovered is found from its answers.
    pub finds_pace: bool,
}

impl Default for PaceRule {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            allowance: 0.0,
            finds_pace: false,
        }
    }
}

/// What the pace of targets depends on apart from their answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceInput {
    /// Settings.
    pub rule: PaceRule,
    /// Number of gateways that may send requests, this one included.
    pub gateways: u32,
    /// Whether other gateways are to be expected.
    pub has_peers: bool,
    /// Random number, uniform from 0 to 1, that gives this gateway its own due times.
    pub draw: f64,
}

/// Target as the update of the paces sees it.
#[derive(Clone, Copy, Debug)]
pub struct PacedTarget<'a> {
    /// Hash of the target's name.
    pub target: u32,
    /// Service of the target.
    pub service: &'a ServiceName,
    /// Group of the target, if it is a rank.
    pub group: Option<&'a GroupName>,
    /// Whether the target takes requests.
    pub is_usable: bool,
}

/// Beginning or end of a target's pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The target is cold; holds how much longer.
    Cold(Duration),
    /// The pace of the target is found from its answers; holds the first rate and the share that it
    /// leads to, in requests per second of all gateways.
    Begun(f64, f64),
    /// The target carries its share, or its pace has lasted as long as it may; holds the time that it has taken.
    Carries(Duration),
}

/// Rate found from answers, as gateways tell it each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceNews {
    /// Requests per second of all gateways.
    pub rate: RequestRate,
    /// Time of the answer from which it was found.
    pub as_of: Instant,
}

/// First answer of a target to a request.
#[derive(Clone, Copy, Debug)]
pub struct FirstAnswer {
    /// Whether it is the first event of a stream.
    pub is_stream: bool,
    /// Time at which the attempt was sent.
    pub sent_at: Instant,
    /// Time at which the answer arrived.
    pub arrived_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct FoundPace {
    /// Requests per second of all gateways.
    rate: f64,
    /// Lowest rate, with which the pace has begun.
    first_rate: f64,
    began_at: Instant,
    /// Time of the latest change; answers to earlier requests change nothing.
    changed_at: Instant,
    /// Usual time to the first answer when the pace began, for other requests and for streams.
    baseline: [Option<Duration>; 2],
    is_rank: bool,
    /// Whether most targets of the group or service are paced, so that the pace does not count.
    is_waived: bool,
    ended_at: Option<Instant>,
    /// Whether the latest change was found here.
    is_own: bool,
}

#[derive(Clone, Copy, Debug)]
struct StartSlot {
    /// Due time of the last start, or the time at which the pace began.
    anchor: Instant,
    /// Time from the anchor to the next due time, in intervals.
    offset: f64,
}

#[derive(Clone, Debug)]
struct TargetPace {
    service: ServiceName,
    cold_until: Option<Instant>,
    /// Remaining cold time in the latest entry; the same value again is the same entry.
    listed_cold: Option<Duration>,
    /// Whether this gateway has the cold time from an answer.
    is_own_cold: bool,
    found: Option<FoundPace>,
    slot: StartSlot,
}

/// Requests of this gateway to a service, and the answers of targets that carry their share.
#[derive(Clone, Copy, Debug, Default)]
struct ServicePace {
    cold: Option<ColdRule>,
    /// Requests of this gateway per second, as of the last one.
    own_rate: f64,
    last_start: Option<Instant>,
    /// Requests per second that a usual target gets from all gateways.
    share: Option<f64>,
    /// Mean time to the first answer, for other requests and for streams.
    usual: [Option<Duration>; 2],
}

impl ServicePace {
    fn record_start(&mut self, now: Instant) {
        let span = DEMAND_TIME.as_secs_f64();
        let passed = self
            .last_start
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        // A pause of all requests, such as an outage of a group, says nothing of the demand.
        self.own_rate = self.own_rate * (-passed.min(span) / span).exp() + 1.0 / span;
        self.last_start = Some(now);
    }
}

/// Number of gateways that counts for the cold bound.
#[derive(Clone, Copy, Debug, Default)]
struct KnownFleet {
    gateways: u32,
    /// Time at which that number was last known.
    known_at: Option<Instant>,
    began_at: Option<Instant>,
    /// Time at which another gateway was first known.
    heard_at: Option<Instant>,
    is_assumed: bool,
}

impl KnownFleet {
    fn update(&mut self, input: PaceInput, now: Instant) {
        let is_stale = self.known_at.is_none_or(|at| now >= at + FLEET_MEMORY);
        if input.gateways >= self.gateways || is_stale {
            self.gateways = input.gateways;
            self.known_at = Some(now);
        }
        let began_at = *self.began_at.get_or_insert(now);
        if input.gateways > 1 {
            self.heard_at.get_or_insert(now);
        }
        let heard = self.heard_at.map(|at| at + FLEET_KNOWN_AFTER);
        let known_from = heard.unwrap_or(began_at + FLEET_MEMORY);
        self.is_assumed = input.has_peers && now < known_from;
    }

    fn gateways(&self) -> u32 {
        let least = if self.is_assumed { ASSUMED_GATEWAYS } else { 1 };
        self.gateways.max(least)
    }
}

/// Paces of the targets that are cold, have just started or are back after an outage.
#[derive(Debug, Default)]
pub struct TargetPacer {
    input: PaceInput,
    fleet: KnownFleet,
    services: HashMap<ServiceName, ServicePace>,
    targets: HashMap<u32, TargetPace>,
    /// Changes by the list of targets, which the next update returns.
    listed: Vec<(u32, PaceChange)>,
}

impl TargetPacer {
    /// Returns whether a setting or the configuration asks for paces of targets of the service.
    pub fn is_active(&self, service: &ServiceName) -> bool {
        self.input.rule.finds_pace || self.cold_rule(service).is_some()
    }

    /// Replaces the cold rules of all services by those of a configuration.
    pub fn set_cold_rules<'a>(
        &mut self,
        rules: impl Iterator<Item = (&'a ServiceName, Option<ColdRule>)>,
    ) {
        for service in self.services.values_mut() {
            service.cold = None;
        }
        for (name, cold) in rules {
            if cold.is_some() {
                self.services.entry(name.clone()).or_default().cold = cold;
            }
        }
    }

    fn cold_rule(&self, service: &ServiceName) -> Option<ColdRule> {
        self.services.get(service)?.cold
    }

    /// Records that a target has joined: it has just started, or `is_first` says that this gateway
    /// has read its first list. `cold_for` is the remaining cold time that its entry names.
    pub fn record_joined(
        &mut self,
        paced: PacedTarget<'_>,
        cold_for: Option<Duration>,
        is_first: bool,
        now: Instant,
    ) {
        self.targets.remove(&paced.target);
        if !self.is_active(paced.service) {
            return;
        }
        if !is_first {
            let change = self.begin(paced, now);
            self.listed
                .extend(change.map(|change| (paced.target, change)));
        }
        let rule = self.cold_rule(paced.service).filter(|_| !is_first);
        let assumed = rule.map(|rule| rule.time);
        self.record_listed(paced, cold_for.or(assumed), now);
    }

    /// Records the remaining cold time that the entry of a target names. It is as old as the entry,
    /// so that counting it from now errs on the safe side.
    pub fn record_listed(
        &mut self,
        paced: PacedTarget<'_>,
        cold_for: Option<Duration>,
        now: Instant,
    ) {
        let Some(cold_for) = cold_for.filter(|_| self.is_active(paced.service)) else {
            return;
        };
        let known = self.targets.get(&paced.target);
        if known.and_then(|known| known.listed_cold) == Some(cold_for) {
            return;
        }
        let change = self.note_cold(paced, cold_for, now);
        self.listed
            .extend(change.map(|change| (paced.target, change)));
        if let Some(known) = self.targets.get_mut(&paced.target) {
            known.listed_cold = Some(cold_for);
        }
    }

    /// Records how much longer a target says that it is cold; returns the change if it was not
    /// known to be.
    pub fn note_cold(
        &mut self,
        paced: PacedTarget<'_>,
        cold_for: Duration,
        now: Instant,
    ) -> Option<PaceChange> {
        if cold_for.is_zero() || !self.is_active(paced.service) {
            return None;
        }
        let until = now + cold_for.min(MAX_COLD_TIME);
        let was_cold = self.cold_time(paced.target, now).is_some();
        if !was_cold {
            self.begin(paced, now);
        }
        let pace = self.entry(paced, now);
        pace.cold_until = pace.cold_until.max(Some(until));
        (!was_cold).then_some(PaceChange::Cold(cold_for))
    }

    /// Records that a target has named its cold time in an answer to this gateway.
    pub fn note_cold_answer(
        &mut self,
        paced: PacedTarget<'_>,
        cold_for: Duration,
        now: Instant,
    ) -> Option<PaceChange> {
        let change = self.note_cold(paced, cold_for, now);
        if let Some(pace) = self.targets.get_mut(&paced.target) {
            pace.is_own_cold |= !cold_for.is_zero();
        }
        change
    }

    /// Begins to find the pace of a target that has started, recovered or come back, if the setting
    /// asks for it and a usual target carries more than the first rate.
    pub fn begin(&mut self, paced: PacedTarget<'_>, now: Instant) -> Option<PaceChange> {
        let service = self.services.get(paced.service).copied();
        let service = service.filter(|_| self.input.rule.finds_pace)?;
        let share = service.share?;
        let first_rate = (share * FIRST_SHARE).max(MIN_FOUND_RATE);
        if first_rate >= share {
            return None;
        }
        let found = FoundPace {
            rate: first_rate,
            first_rate,
            began_at: now,
            changed_at: now,
            baseline: service.usual,
            is_rank: paced.group.is_some(),
            is_waived: false,
            ended_at: None,
            is_own: false,
        };
        self.entry(paced, now).found = Some(found);
        Some(PaceChange::Begun(first_rate, share))
    }

    fn entry(&mut self, paced: PacedTarget<'_>, now: Instant) -> &mut TargetPace {
        let offset = (self.input.draw + f64::from(paced.target) / f64::from(u32::MAX)).fract();
        self.targets
            .entry(paced.target)
            .or_insert_with(|| TargetPace {
                service: paced.service.clone(),
                cold_until: None,
                listed_cold: None,
                is_own_cold: false,
                found: None,
                slot: StartSlot {
                    anchor: now,
                    offset,
                },
            })
    }

    /// Returns how much longer a target is cold; `None` if it is not known to be.
    pub fn cold_time(&self, target: u32, now: Instant) -> Option<Duration> {
        let until = self.targets.get(&target)?.cold_until?;
        (now < until).then(|| until - now)
    }

    /// Returns the rate that was found for a target, in requests per second of all gateways; `None`
    /// for a target that carries its share.
    pub fn found_rate(&self, target: u32) -> Option<f64> {
        Some(self.active_pace(target)?.rate)
    }

    fn active_pace(&self, target: u32) -> Option<FoundPace> {
        let found = self.targets.get(&target)?.found?;
        Some(found).filter(|found| found.ended_at.is_none())
    }

    /// Returns whether this gateway may start a request at a target now.
    pub fn admits(&self, target: u32, now: Instant) -> bool {
        let Some(pace) = self.targets.get(&target) else {
            return true;
        };
        let interval = self.interval(pace, now);
        interval.is_none_or(|interval| now >= due_at(pace.slot, interval, now))
    }

    /// Returns whether the cold bound alone allows this gateway a request at a target now.
    pub fn admits_bound(&self, target: u32, now: Instant) -> bool {
        let Some(pace) = self.targets.get(&target) else {
            return true;
        };
        let interval = self.bound_interval(pace, now);
        interval.is_none_or(|interval| now >= due_at(pace.slot, interval, now))
    }

    /// Records that this gateway starts a request at a target.
    pub fn record_start(&mut self, target: u32, service: &ServiceName, now: Instant) {
        if !self.is_active(service) {
            return;
        }
        let known = self.services.entry(service.clone()).or_default();
        known.record_start(now);
        let Some(pace) = self.targets.get(&target) else {
            return;
        };
        let bound = self.bound_interval(pace, now);
        let interval = self.interval(pace, now).unwrap_or_default();
        let mut anchor = due_at(pace.slot, interval, now);
        if anchor > now {
            // The found pace was passed over. Its slot stays unless the cold bound counts the start.
            let Some(bound) = bound else {
                return;
            };
            anchor = due_at(pace.slot, bound, now);
        }
        if let Some(pace) = self.targets.get_mut(&target) {
            pace.slot = StartSlot {
                anchor,
                offset: 1.0,
            };
        }
    }

    /// Returns the interval between starts of this gateway at a target; `None` if it has no pace.
    fn interval(&self, pace: &TargetPace, now: Instant) -> Option<Duration> {
        let gateways = self.input.gateways.max(1);
        let found = pace.found.filter(|found| !found.is_waived);
        let found = found.filter(|found| found.ended_at.is_none());
        let found =
            found.map(|found| Duration::from_secs_f64(f64::from(gateways) / found.rate.max(0.01)));
        self.bound_interval(pace, now).max(found)
    }

    /// Returns the interval that the cold bound demands.
    fn bound_interval(&self, pace: &TargetPace, now: Instant) -> Option<Duration> {
        let is_cold = pace.cold_until.is_some_and(|until| now < until);
        let cold = self.cold_rule(&pace.service).filter(|_| is_cold);
        cold.map(|rule| cold_interval(rule, self.input.rule, self.fleet.gateways()))
    }

    /// Records the first answer of a target; returns the change if the target carries its share now.
    pub fn record_answer(
        &mut self,
        target: u32,
        service: &ServiceName,
        answer: FirstAnswer,
    ) -> Option<PaceChange> {
        if !self.is_active(service) {
            return None;
        }
        let took = answer.arrived_at.saturating_duration_since(answer.sent_at);
        let kind = usize::from(answer.is_stream);
        let known = self.services.entry(service.clone()).or_default();
        let pace = self.targets.get_mut(&target);
        let found = pace.and_then(|pace| pace.found.as_mut());
        let Some(found) = found.filter(|found| found.ended_at.is_none()) else {
            let mean = known.usual[kind].get_or_insert(took);
            *mean = mean.mul_f64(1.0 - ANSWER_WEIGHT) + took.mul_f64(ANSWER_WEIGHT);
            return None;
        };
        if answer.sent_at < found.changed_at {
            return None;
        }
        let has_baseline = found.is_rank && answer.arrived_at < found.began_at + BASELINE_TIME;
        let baseline = found.baseline[kind].filter(|_| has_baseline);
        let usual = baseline.or(known.usual[kind]);
        let is_quick = usual.is_none_or(|usual| took <= usual.mul_f64(QUICK_FACTOR));
        found.step(is_quick, answer.arrived_at);
        found.end_at(known.share, answer.arrived_at)
    }

    /// Records that a request failed at a target or was rejected by it.
    pub fn record_failure(&mut self, target: u32, now: Instant) {
        let pace = self.targets.get_mut(&target);
        if let Some(found) = pace.and_then(|pace| pace.found.as_mut())
            && found.ended_at.is_none()
        {
            found.step(false, now);
        }
    }

    /// Records the rate that a peer has found; it counts only for a target that is paced here too.
    pub fn note_found(&mut self, target: u32, news: PaceNews) -> Option<PaceChange> {
        let pace = self.targets.get_mut(&target)?;
        let found = pace.found.as_mut()?;
        if found.ended_at.is_some() || news.as_of <= found.changed_at {
            return None;
        }
        found.rate = news.rate.per_second().max(found.first_rate);
        found.changed_at = news.as_of;
        found.is_own = false;
        let share = self.services.get(&pace.service)?.share;
        found.end_at(share, news.as_of)
    }

    /// Takes over the input and the targets, which give the share of a usual target; returns the
    /// changes since the last update by the list of targets and by the demand.
    pub fn update(
        &mut self,
        input: PaceInput,
        targets: &[PacedTarget<'_>],
        now: Instant,
    ) -> Vec<(u32, PaceChange)> {
        self.input = input;
        self.fleet.update(input, now);
        if self.targets.is_empty() && !input.rule.finds_pace {
            return mem::take(&mut self.listed);
        }
        let mut carrying: HashMap<&ServiceName, u32> = HashMap::new();
        let mut members: HashMap<(&ServiceName, Option<&GroupName>), (u32, u32)> = HashMap::new();
        for paced in targets.iter().filter(|paced| paced.is_usable) {
            let is_paced = self.active_pace(paced.target).is_some();
            *carrying.entry(paced.service).or_default() += u32::from(!is_paced);
            let (all, fresh) = members.entry((paced.service, paced.group)).or_default();
            *all += 1;
            *fresh += u32::from(is_paced);
        }
        for (name, service) in &mut self.services {
            let carrying = carrying.get(name).copied().filter(|count| *count > 0);
            if let Some(carrying) = carrying.filter(|_| service.last_start.is_some()) {
                let fleet = service.own_rate * f64::from(input.gateways.max(1));
                service.share = Some(fleet / f64::from(carrying));
            }
        }
        let mut changes = mem::take(&mut self.listed);
        for paced in targets {
            let count = members.get(&(paced.service, paced.group));
            let part = if paced.group.is_some() {
                MAX_PACED_RANKS
            } else {
                MAX_PACED_TARGETS
            };
            let is_waived =
                count.is_some_and(|(all, fresh)| f64::from(*fresh) > part * f64::from(*all));
            let share = self.services.get(paced.service).and_then(|it| it.share);
            let pace = self.targets.get_mut(&paced.target);
            if let Some(found) = pace.and_then(|pace| pace.found.as_mut())
                && found.ended_at.is_none()
            {
                found.is_waived = is_waived;
                let change = found.end_at(share, now);
                changes.extend(change.map(|change| (paced.target, change)));
            }
        }
        self.targets.retain(|_, pace| {
            let is_cold = pace.cold_until.is_some_and(|until| now < until);
            let news_until = pace.found.map(|found| found.ended_at);
            let has_news = news_until
                .is_some_and(|ended| ended.is_none_or(|ended| now < ended + END_NEWS_TIME));
            is_cold || has_news || pace.listed_cold.is_some_and(|listed| !listed.is_zero())
        });
        changes
    }

    /// Forgets a target that has left.
    pub fn forget(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Returns the number of cold targets, and of targets whose pace is found from their answers.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let targets = self.targets.keys();
        let cold = targets.filter(|target| self.cold_time(**target, now).is_some());
        let targets = self.targets.keys();
        let found = targets.filter(|target| self.active_pace(**target).is_some());
        (cold.count(), found.count())
    }

    /// Returns the remaining cold times that this gateway has from answers and sends to the peers.
    pub fn cold_news(&self, now: Instant) -> impl Iterator<Item = (u32, Duration)> {
        let own = self.targets.iter().filter(|(_, pace)| pace.is_own_cold);
        own.filter_map(move |(target, _)| Some((*target, self.cold_time(*target, now)?)))
    }

    /// Returns the rates that this gateway has found and sends to the peers.
    pub fn found_news(&self, now: Instant) -> impl Iterator<Item = (u32, PaceNews)> {
        self.targets.iter().filter_map(move |(target, pace)| {
            let found = pace.found.filter(|found| found.is_own)?;
            let ended_at = found.ended_at;
            let is_recent = ended_at.is_none_or(|ended| now < ended + END_NEWS_TIME);
            let rate = RequestRate::from_value(found.rate).filter(|_| is_recent)?;
            let as_of = found.changed_at;
            Some((*target, PaceNews { rate, as_of }))
        })
    }
}

impl TargetRoster {
    /// Records the health that an answer shows; returns the pace that begins if the answer ends an
    /// ejection.
    pub fn record_health(
        &mut self,
        key: TargetKey,
        record: fn(&mut TargetHealth, Instant),
        now: Instant,
    ) -> Option<PaceChange> {
        let target = self.get_mut(key)?;
        let was_ejected = target.health.is_ejected();
        record(&mut target.health, now);
        let has_recovered = was_ejected && !target.health.is_ejected();
        has_recovered.then(|| self.begin_pace(key, now)).flatten()
    }

    /// Records a server error, which comes faster than the answers of a target that works; returns
    /// the pace that begins.
    pub fn record_error_answer(&mut self, key: TargetKey, now: Instant) -> Option<PaceChange> {
        let target = self.get(key)?.name_hash;
        self.pacer_mut().record_failure(target, now);
        self.record_health(key, TargetHealth::record_error_answer, now)
    }

    /// Begins to find the paces of the targets of a zone that is no longer emptied.
    pub fn begin_zone_paces(&mut self, zone: &ZoneName, now: Instant) -> Vec<(u32, PaceChange)> {
        let targets = self.iter();
        let back = targets.filter(|(_, target)| target.entry.availability_zone == *zone);
        let back: Vec<_> = back.map(|(key, target)| (key, target.name_hash)).collect();
        let begun = back.into_iter();
        begun
            .filter_map(|(key, target)| Some((target, self.begin_pace(key, now)?)))
            .collect()
    }
}

impl FoundPace {
    fn step(&mut self, is_quick: bool, now: Instant) {
        let rate = match is_quick {
            true => self.rate * RATE_STEP,
            false => self.rate / RATE_STEP,
        };
        self.rate = rate.max(self.first_rate);
        self.changed_at = now;
        self.is_own = true;
    }

    fn end_at(&mut self, share: Option<f64>, now: Instant) -> Option<PaceChange> {
        let is_reached = share.is_none_or(|share| self.rate >= share);
        let has_lasted = now >= self.began_at + MAX_FOUND_TIME;
        (is_reached || has_lasted).then(|| {
            self.ended_at = Some(now);
            PaceChange::Carries(now.saturating_duration_since(self.began_at))
        })
    }
}

/// Returns the interval between the starts of one gateway at a cold target.
///
/// A gateway makes at most `1 + (1 s + LAPSE_TIME) / interval` starts in a second, rounded down.
/// Where the bound has room for one start of each gateway, the interval keeps the sum of all below
/// it in every second. In larger fleets the starts of a second are those of independent gateways;
/// their number varies around its mean by the mean's square root.
fn cold_interval(cold: ColdRule, rule: PaceRule, gateways: u32) -> Duration {
    let rate = cold.rate.per_second();
    let bound = rate * rule.ratio + rule.allowance;
    let fleet = f64::from(gateways);
    let window = 1.0 + LAPSE_TIME.as_secs_f64();
    let most = (bound / fleet).floor();
    let (rate, least) = if most >= 1.0 {
        (rate, window / most)
    } else {
        let half = BOUND_DEVIATIONS / 2.0;
        let mean = ((half * half + bound).sqrt() - half).powi(2);
        (rate.min(mean / window), 0.0)
    };
    let interval = (fleet / rate.max(f64::MIN_POSITIVE)).max(least) * INTERVAL_RESERVE;
    Duration::from_secs_f64(interval.min(MAX_COLD_TIME.as_secs_f64()))
}

/// Returns the next due time that has not lapsed.
fn due_at(slot: StartSlot, interval: Duration, now: Instant) -> Instant {
    if interval.is_zero() {
        return now;
    }
    let first = slot.anchor + interval.mul_f64(slot.offset);
    let lapsed = now.saturating_duration_since(first).as_secs_f64() - LAPSE_TIME.as_secs_f64();
    if lapsed <= 0.0 {
        return first;
    }
    first + interval.mul_f64((lapsed / interval.as_secs_f64()).ceil())
}
