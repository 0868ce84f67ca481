//! Starts of requests while a service is over its capacity, as all gateways together see it.
//!
//! Load pattern: more requests than the groups of a service can run, at many gateways. Each gateway
//! counts its own demand, tells it in its load reports, and plans its starts with the sum.

use {
    super::{admission::AdmissionRequest, state::GatewayState},
    sassafrasslip_core::{
        dispatch::{
            ArrivalRate, DemandNews, DemandReport, OverloadPlan, ServiceCapacity, ServiceDemand,
        },
        events::LogEvent::OverloadChanged,
        ids::ServiceName,
        log_event,
    },
    sassafrasslip_proto::peer::{LoadReport, ServiceDemandRecord},
    std::{
        collections::{HashMap, HashSet},
        net::Ipv4Addr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64,
};

/// Demand for one service at this gateway.
#[derive(Debug, Default)]
struct OwnDemand {
    arrivals: ArrivalRate,
    late_running: u32,
    /// Latest limit while all groups had a known one. After an outage the limits are unknown until
    /// passes have been measured, and far below the number of slots.
    last_limit: Option<u32>,
    /// Whether the last plan found the service over its capacity.
    is_overloaded: bool,
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
    /// Counts a request that starts late.
    pub fn new(state: &Rc<GatewayState>, service: &ServiceName) -> Self {
        let mut overload = state.overload.borrow_mut();
        overload
            .own
            .entry(service.clone())
            .or_default()
            .late_running += 1;
        Self {
            state: Rc::clone(state),
            service: service.clone(),
        }
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

/// Returns the hash by which load reports name a service.
fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// Counts a request that begins to wait. One that was refused before is late from the beginning,
/// since its objective counts from its first arrival.
pub fn note_arrival(state: &GatewayState, request: &mut AdmissionRequest, now: Instant) {
    if !state.options.overload_sharing
        || !request.tried.is_empty()
        || capacity(state, &request.service).is_none()
    {
        return;
    }
    let waiting_request = &mut request.waiting_request;
    if !waiting_request.can_return {
        let past = waiting_request.arrived_at - Duration::from_nanos(1);
        waiting_request.on_time_until = waiting_request.on_time_until.min(past);
        return;
    }
    let mut overload = state.overload.borrow_mut();
    let own = overload.own.entry(request.service.clone()).or_default();
    own.arrivals.record(now);
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
    let Some(measured) = capacity(state, service) else {
        return OverloadPlan::default();
    };
    let mut overload = state.overload.borrow_mut();
    let hash = service_hash(service);
    let peers = overload.peers.total(hash, now);
    let last_limit = overload.own.get(service).and_then(|own| own.last_limit);
    let own_capacity = measured.or_limit(last_limit);
    let capacity = overload.peers.mean_capacity(hash, own_capacity, now);
    let entry = overload.own.entry(service.clone()).or_default();
    entry.last_limit = measured.limit.or(last_limit);
    let own = entry.demand(late_waiting, now);
    let all = own.plus(peers);
    let plan = OverloadPlan::new(&own, &all, &capacity);
    if plan.is_overloaded != entry.is_overloaded {
        entry.is_overloaded = plan.is_overloaded;
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
    fn demand(&mut self, late_waiting: usize, now: Instant) -> ServiceDemand {
        ServiceDemand {
            arrivals_per_s: self.arrivals.per_second(now),
            late_running: self.late_running,
            late_waiting: u32::try_from(late_waiting).unwrap_or(u32::MAX),
        }
    }
}

/// What this gateway has measured of the groups of a service.
#[derive(Clone, Copy, Debug)]
struct MeasuredCapacity {
    /// Sum of the limits of the groups; `None` if that of a group is unknown.
    limit: Option<u32>,
    slots: u32,
    length: Duration,
}

impl MeasuredCapacity {
    /// Returns the capacity with the measured limit, else with the given one, else with all slots.
    fn or_limit(self, limit: Option<u32>) -> ServiceCapacity {
        ServiceCapacity {
            limit: self.limit.or(limit).unwrap_or(self.slots),
            length: self.length,
        }
    }
}

/// Returns what the groups of a service can run; `None` if it has a target without a group, or if no
/// stream of it has ended yet.
fn capacity(state: &GatewayState, service: &ServiceName) -> Option<MeasuredCapacity> {
    let length = state.usual_duration(service, true)?.mean();
    let roster = state.roster.borrow();
    let bounds = state.bounds.borrow();
    let mut slots = 0;
    let mut groups = HashSet::new();
    for (_, target) in roster.of_service(service) {
        groups.insert(&target.entry.group.as_ref()?.name);
        slots += target.entry.slots;
    }
    let limits = groups.iter().map(|group| bounds.limit(group));
    let limit = limits.sum();
    (slots > 0).then_some(MeasuredCapacity {
        limit,
        slots,
        length,
    })
}

/// Returns what a load report tells of the demand at this gateway.
pub fn records(state: &GatewayState, now: Instant) -> Vec<ServiceDemandRecord> {
    let queues = state.queues.borrow();
    let mut overload = state.overload.borrow_mut();
    let records = overload.own.iter_mut().map(|(service, own)| {
        let queue = queues.get(service);
        let demand = own.demand(queue.map_or(0, |queue| queue.late_count(now)), now);
        (service, demand)
    });
    let records = records.filter(|(_, demand)| *demand != ServiceDemand::default());
    let records = records.map(|(service, demand)| {
        let measured = capacity(state, service);
        let length = measured.map(|measured| measured.length.as_millis() as u32);
        ServiceDemandRecord {
            service: service_hash(service),
            arrivals: demand.arrivals_per_s.round() as u32,
            late_running: demand.late_running,
            late_waiting: demand.late_waiting,
            limit: measured.and_then(|measured| measured.limit).unwrap_or(0),
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
