//! Starts of requests while a service is over its capacity, as all gateways together see it.
//!
//! Load pattern: more requests than the groups of a service can run, at many gateways. Each gateway
//! counts its own demand, tells it in its load reports, and plans its starts with the sum.

use {
    super::{admission::AdmissionRequest, metrics::ServiceLabels, state::GatewayState},
    sassafrasslip_core::{
        dispatch::{
            ArrivalRate, DemandNews, DemandReport, OverloadPlan, ServiceCapacity, ServiceDemand,
        },
        events::LogEvent::OverloadChanged,
        ids::{GroupName, ServiceName},
        log_event,
    },
    sassafrasslip_proto::peer::{LoadReport, ServiceDemandRecord},
    std::{collections::HashMap, net::Ipv4Addr, rc::Rc, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64,
};

/// Weight of the newest request in the mean time for which requests run.
const LENGTH_WEIGHT: f64 = 0.05;

/// Time for which a plan is used. Its figures change with reports, which come each 100 ms.
const PLAN_TIME: Duration = Duration::from_millis(20);

/// Demand for one service at this gateway.
#[derive(Debug, Default)]
struct OwnDemand {
    arrivals: ArrivalRate,
    late_running: u32,
    /// Mean time for which a stream of the service has a slot; `None` before the first one has
    /// ended. Time in the queue is no part of it.
    length: Option<Duration>,
    /// Latest known limit of each group. After an outage the limits are unknown until passes have
    /// been measured, and far below the number of slots.
    last_limits: HashMap<GroupName, u32>,
    /// Latest plan, and when it was made.
    plan: Option<(OverloadPlan, Instant)>,
}

impl OwnDemand {
    fn is_overloaded(&self) -> bool {
        self.plan.is_some_and(|(plan, _)| plan.is_overloaded)
    }
}

/// Demand for services whose targets form groups, here and at the peers.
#[derive(Debug, Default)]
pub struct OverloadState {
    own: HashMap<ServiceName, OwnDemand>,
    peers: DemandNews,
}

/// Counts a request as late and running until it is dropped.
#[derive(Debug)]
pub struct LateMark {
    state: Rc<GatewayState>,
    service: ServiceName,
}

impl LateMark {
    /// Counts a request that starts late; `None` if the gateways share no demand.
    pub fn new(state: &Rc<GatewayState>, service: &ServiceName) -> Option<Self> {
        if !state.options.overload_sharing {
            return None;
        }
        let mut overload = state.overload.borrow_mut();
        overload
            .own
            .entry(service.clone())
            .or_default()
            .late_running += 1;
        Some(Self {
            state: Rc::clone(state),
            service: service.clone(),
        })
    }
}

impl Drop for LateMark {
    fn drop(&mut self) {
        let mut overload = self.state.overload.borrow_mut();
        if let Some(own) = overload.own.get_mut(&self.service) {
            own.late_running = own.late_running.saturating_sub(1);
        }
    }
}

/// Counts a late request that is refused.
pub fn count_refusal(state: &GatewayState, service: &ServiceName) {
    let refusals = &state.metrics.late_refusals;
    refusals.get_or_create(&labels(service)).inc();
}

fn labels(service: &ServiceName) -> ServiceLabels {
    ServiceLabels {
        service: service.to_string(),
    }
}

/// Returns the hash by which load reports name a service.
fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// Records for how long a stream has had a slot.
pub fn record_length(state: &GatewayState, service: &ServiceName, length: Duration) {
    if !state.options.overload_sharing {
        return;
    }
    let mut overload = state.overload.borrow_mut();
    let own = overload.own.entry(service.clone()).or_default();
    let mean = own.length.unwrap_or(length);
    let mean = mean.mul_f64(1.0 - LENGTH_WEIGHT) + length.mul_f64(LENGTH_WEIGHT);
    own.length = Some(mean);
}

/// Counts a request that begins to wait. During an overload, one that was refused before is late from
/// the beginning, since its objective counts from its first arrival.
pub fn note_arrival(state: &GatewayState, request: &mut AdmissionRequest, now: Instant) {
    if !state.options.overload_sharing || !request.tried.is_empty() {
        return;
    }
    let mut overload = state.overload.borrow_mut();
    let OverloadState { own, peers } = &mut *overload;
    let is_known = own
        .get(&request.service)
        .is_some_and(|own| own.length.is_some());
    if !is_known
        && peers
            .mean_length(service_hash(&request.service), now)
            .is_none()
    {
        return;
    }
    let own = own.entry(request.service.clone()).or_default();
    let waiting_request = &mut request.waiting_request;
    if own.is_overloaded() && !waiting_request.can_return {
        let past = waiting_request.arrived_at - Duration::from_nanos(1);
        waiting_request.on_time_until = waiting_request.on_time_until.min(past);
    } else {
        own.arrivals.record(now);
    }
}

/// Returns the number of requests of this gateway that run and were late when they started.
pub fn late_running(state: &GatewayState, service: &ServiceName) -> u32 {
    let overload = state.overload.borrow();
    let own = overload.own.get(service);
    own.map_or(0, |own| own.late_running)
}

/// Plans the starts of a service at this gateway, where `late_waiting` late requests wait. Nothing is
/// restricted unless the targets of the service form groups and the length of its streams is known.
pub fn plan(
    state: &GatewayState,
    service: &ServiceName,
    late_waiting: usize,
    now: Instant,
) -> OverloadPlan {
    if !state.options.overload_sharing {
        return OverloadPlan::default();
    }
    let mut overload = state.overload.borrow_mut();
    let OverloadState { own, peers } = &mut *overload;
    let Some(own) = own.get_mut(service) else {
        return OverloadPlan::default();
    };
    if let Some((plan, _)) = own.plan.filter(|(_, at)| now < *at + PLAN_TIME) {
        return plan;
    }
    let hash = service_hash(service);
    let length = own.length.or_else(|| peers.mean_length(hash, now));
    let groups = length.and_then(|length| Some((length, groups(state, service)?)));
    let Some((length, groups)) = groups else {
        return OverloadPlan::default();
    };
    let limit = own.total_limit(&groups);
    let capacity = peers.mean_capacity(hash, ServiceCapacity { limit, length }, now);
    let was_overloaded = own.is_overloaded();
    let own_demand = own.demand(late_waiting, now);
    let all = own_demand.plus(peers.total(hash, now));
    let plan = OverloadPlan::new(&own_demand, &all, &capacity).following(was_overloaded);
    own.plan = Some((plan, now));
    if plan.is_overloaded != was_overloaded {
        let overloaded = state.metrics.overloaded.get_or_create(&labels(service));
        overloaded.set(i64::from(plan.is_overloaded));
        log_event!(
            OverloadChanged,
            service = service,
            overloaded = plan.is_overloaded,
            limit = capacity.limit,
            length_ms = capacity.length.as_millis(),
            arrivals_per_s = format_args!("{:.1}", all.arrivals_per_s),
            late_running = all.late_running,
            late_waiting = all.late_waiting
        );
    }
    plan
}

impl OwnDemand {
    /// Returns the sum of the limits of the groups that run, or of all while none does. A group whose
    /// limit is unknown counts with its latest one, or else with its slots.
    fn total_limit(&mut self, groups: &[GroupCapacity]) -> u32 {
        let runs = groups.iter().any(|group| group.runs);
        let counted = groups.iter().filter(|group| group.runs || !runs);
        let limits = counted.map(|group| {
            if let Some(limit) = group.limit {
                self.last_limits.insert(group.name.clone(), limit);
            }
            let last = self.last_limits.get(&group.name);
            last.copied().unwrap_or(group.slots)
        });
        limits.fold(0, u32::saturating_add)
    }

    fn demand(&mut self, late_waiting: usize, now: Instant) -> ServiceDemand {
        ServiceDemand {
            arrivals_per_s: self.arrivals.per_second(now),
            late_running: self.late_running,
            late_waiting: u32::try_from(late_waiting).unwrap_or(u32::MAX),
        }
    }
}

/// What this gateway knows of a group.
#[derive(Clone, Debug)]
struct GroupCapacity {
    name: GroupName,
    slots: u32,
    /// Limit on the running requests; `None` while unknown.
    limit: Option<u32>,
    runs: bool,
}

/// Returns the groups of a service; `None` if it has a target without a group, or no target.
fn groups(state: &GatewayState, service: &ServiceName) -> Option<Vec<GroupCapacity>> {
    let roster = state.roster.borrow();
    let bounds = state.bounds.borrow();
    let mut groups: Vec<GroupCapacity> = Vec::new();
    for (_, target) in roster.of_service(service) {
        let name = &target.entry.group.as_ref()?.name;
        match groups.iter_mut().find(|group| group.name == *name) {
            Some(group) => group.slots = group.slots.saturating_add(target.entry.slots),
            None => groups.push(GroupCapacity {
                name: name.clone(),
                slots: target.entry.slots,
                limit: bounds.limit(name),
                runs: target.group_runs,
            }),
        }
    }
    (!groups.is_empty()).then_some(groups)
}

/// Returns the sum of the limits of the groups of a service; `None` if one is unknown.
fn measured_limit(state: &GatewayState, service: &ServiceName) -> Option<u32> {
    let groups = groups(state, service)?;
    groups.iter().map(|group| group.limit).sum()
}

/// Returns what a load report tells of the demand at this gateway.
pub fn records(state: &GatewayState, now: Instant) -> Vec<ServiceDemandRecord> {
    if !state.options.overload_sharing {
        return Vec::new();
    }
    let queues = state.queues.borrow();
    let mut overload = state.overload.borrow_mut();
    let records = overload.own.iter_mut().map(|(service, own)| {
        let queue = queues.get(service);
        let demand = own.demand(queue.map_or(0, |queue| queue.late_count(now)), now);
        (service, demand, own.length)
    });
    let records = records.filter(|(_, demand, _)| *demand != ServiceDemand::default());
    let records = records.map(|(service, demand, length)| {
        let length = length.map(|length| length.as_millis() as u32);
        ServiceDemandRecord {
            service: service_hash(service),
            arrivals: demand.arrivals_per_s.round() as u32,
            late_running: demand.late_running,
            late_waiting: demand.late_waiting,
            limit: measured_limit(state, service).unwrap_or(0),
            length_ms: length.unwrap_or(0),
        }
    });
    records.collect()
}

/// Applies what the report of a peer tells of its demand.
pub fn apply(state: &GatewayState, peer: Ipv4Addr, report: &LoadReport, now: Instant) {
    let demands = report.demands.iter().map(|record| {
        let demand = ServiceDemand {
            arrivals_per_s: record.arrivals.into(),
            late_running: record.late_running,
            late_waiting: record.late_waiting,
        };
        let capacity = ServiceCapacity {
            limit: record.limit,
            length: Duration::from_millis(record.length_ms.into()),
        };
        let is_known = record.limit > 0 && record.length_ms > 0;
        let capacity = is_known.then_some(capacity);
        (record.service, DemandReport { demand, capacity })
    });
    let mut overload = state.overload.borrow_mut();
    overload.peers.record(peer, demands, now);
}
