//! One target: what the list, the agent and the entry's own requests say about it.

use {
    super::policy::CachedSetting,
    crate::{
        configuration::{ConfigurationView, Revision, SettingContext, SettingKey},
        ids::{GroupName, InstanceName, KindName, ServiceName, ZoneName},
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Kind of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engine; its calls can be repeated.
    Model,
    /// Plain service; only some methods can be repeated.
    Plain,
}

/// Target as the instance list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetListing {
    /// Instance.
    pub name: InstanceName,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Service.
    pub service: ServiceName,
    /// Model group.
    pub group: Option<GroupName>,
    /// Address of the agent.
    pub link_address: SocketAddr,
    /// Whether the instance will be taken away.
    pub leaving: bool,
}

impl TargetListing {
    /// Returns whether two listings differ in nothing but the state.
    pub fn is_same_place(&self, other: &Self) -> bool {
        let leaving = self.leaving;
        *self
            == Self {
                leaving,
                ..other.clone()
            }
    }
}

/// Facts that an agent gives when its link opens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentFacts {
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Requests that the target can work on at once.
    pub concurrency: u32,
    /// Methods whose calls can be repeated, for plain services.
    pub idempotent_methods: Vec<String>,
    /// Configuration revision that the agent has seen.
    pub revision: Revision,
}

impl AgentFacts {
    /// Returns whether a call may run twice.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.kind {
            ServiceKind::Model => true,
            ServiceKind::Plain => self.idempotent_methods.iter().any(|known| known == method),
        }
    }
}

/// Exact load of a target, as its agent counts it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests in flight, those of other entries included.
    pub in_flight: u32,
    /// Requests that the target can work on at once.
    pub concurrency: u32,
    /// Whether the agent refuses new work.
    pub draining: bool,
}

/// Periodic report of an agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgentStatus {
    /// Load.
    pub load: TargetLoad,
    /// Whether the target passed its last health check.
    pub healthy: bool,
    /// Configuration revision that the agent has seen.
    pub revision: Revision,
    /// Load that one more request of a kind adds to the hottest rank, relative to one request.
    pub kind_costs: Vec<(KindName, f32)>,
    /// Hashes of cached prompt prefixes.
    pub cached_prefixes: Vec<u64>,
    /// Mean duration of a step, in microseconds.
    pub mean_step_us: u64,
    /// Version of the expert map.
    pub map_version: u64,
}

/// Target with everything that routing needs.
#[derive(Clone, Debug)]
pub struct Target {
    /// Entry of the instance list.
    pub listing: TargetListing,
    /// Facts of the agent; absent until its link has been open once.
    pub facts: Option<AgentFacts>,
    /// Last report; its kind costs and prefixes are kept in the fields below.
    pub status: AgentStatus,
    /// Limit on requests in flight.
    pub limit: CachedSetting,
    /// Cost of using the target from another availability zone, in milliseconds.
    pub zone_cost: CachedSetting,
    /// Hash of the name, for rendezvous hashing.
    pub name_hash: u64,
    /// Hash of the availability zone, which is cheaper to compare than the name.
    pub zone_hash: u64,
    connected: bool,
    own_in_flight: u32,
    /// Requests of other entries, as of the last figure of the agent.
    others_in_flight: u32,
    kind_costs: KindCosts,
    /// Whether the last report carried costs, because the placer of the group runs there.
    pub(super) is_cost_source: bool,
}

/// Costs of request kinds, by the hash of the kind.
pub(super) type KindCosts = Vec<(u64, f32)>;

/// Returns the hash under which the cost of a request kind is kept.
pub fn kind_hash(kind: &KindName) -> u64 {
    xxh3_64(kind.as_str().as_bytes())
}

/// Returns the hash of an availability zone.
pub fn zone_hash(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

impl Target {
    /// Creates a target whose link is not open yet.
    pub fn new(listing: TargetListing, view: &ConfigurationView) -> Self {
        let name_hash = xxh3_64(listing.name.as_str().as_bytes());
        let zone_hash = zone_hash(&listing.availability_zone);
        let (limit, zone_cost) = resolve_settings(&listing, view);
        Self {
            listing,
            facts: None,
            status: AgentStatus::default(),
            limit,
            zone_cost,
            name_hash,
            zone_hash,
            connected: false,
            own_in_flight: 0,
            others_in_flight: 0,
            kind_costs: Vec::new(),
            is_cost_source: false,
        }
    }

    /// Resolves the settings again.
    pub fn apply_view(&mut self, view: &ConfigurationView) {
        (self.limit, self.zone_cost) = resolve_settings(&self.listing, view);
    }

    /// Returns whether the link to the agent is open.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Returns whether the target must get no new work, as the list or its agent says.
    pub fn is_draining(&self) -> bool {
        self.listing.leaving || self.status.load.draining
    }

    /// Returns the requests of this entry that are in flight at the target.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the best estimate of the requests in flight: the entry's own requests, which are
    /// exact, and what the agent's last figure left for the other entries.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight.saturating_add(self.others_in_flight)
    }

    /// Returns the limit on requests in flight, without exceptions for teams.
    fn concurrency_limit(&self) -> u32 {
        let setting = u32::try_from(self.limit.number).unwrap_or(u32::MAX);
        setting.min(self.status.load.concurrency)
    }

    /// Returns the load that one more request of a kind adds to the hottest rank, relative to
    /// one request; 1 if the agent reports none.
    pub fn kind_cost(&self, kind: u64) -> f32 {
        let known = self.kind_costs.iter().find(|(hash, _)| *hash == kind);
        known.map_or(1.0, |(_, cost)| *cost)
    }

    /// Returns the state as operators read it.
    pub fn state_name(&self) -> &'static str {
        if !self.connected {
            "unreachable"
        } else if self.is_draining() {
            "draining"
        } else if !self.status.healthy {
            "unhealthy"
        } else {
            "connected"
        }
    }

    pub(super) fn connect(&mut self, facts: AgentFacts) {
        self.connected = true;
        self.others_in_flight = 0;
        // A fresh link has no report yet; the agent's facts stand in for it.
        self.status = AgentStatus {
            load: TargetLoad {
                concurrency: facts.concurrency,
                ..TargetLoad::default()
            },
            healthy: true,
            revision: facts.revision,
            ..AgentStatus::default()
        };
        self.facts = Some(facts);
    }

    pub(super) fn disconnect(&mut self) {
        self.connected = false;
    }

    pub(super) fn set_kind_costs(&mut self, costs: KindCosts) {
        self.kind_costs = costs;
    }

    /// Returns the costs of the last report.
    pub(super) fn reported_costs(&self) -> KindCosts {
        // A cost that is no number would make the order of scores meaningless.
        let costs = self.status.kind_costs.iter();
        let costs = costs.filter(|(_, cost)| cost.is_finite() && *cost >= 0.0);
        costs.map(|(kind, cost)| (kind_hash(kind), *cost)).collect()
    }

    pub(super) fn report(&mut self, mut status: AgentStatus) -> bool {
        let starts_to_drain = status.load.draining && !self.status.load.draining;
        status.cached_prefixes.sort_unstable();
        self.status = status;
        self.see_in_flight(self.status.load.in_flight);
        starts_to_drain
    }

    pub(super) fn add_request(&mut self) {
        self.own_in_flight += 1;
    }

    /// Requests of several entries end together when an engine ends a step. If each entry took all
    /// places that are free at that moment, most of their dispatches would be refused; so the end
    /// of a request at a full target frees one place for this entry.
    pub(super) fn end_request(&mut self, load: Option<TargetLoad>) {
        let estimate = self.in_flight();
        let was_full = estimate >= self.concurrency_limit();
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let Some(load) = load else {
            return;
        };
        let least = if was_full {
            estimate.saturating_sub(1)
        } else {
            0
        };
        self.status.load = load;
        self.see_in_flight(load.in_flight.max(least));
    }

    fn see_in_flight(&mut self, in_flight: u32) {
        self.others_in_flight = in_flight.saturating_sub(self.own_in_flight);
    }
}

fn resolve_settings(
    listing: &TargetListing,
    view: &ConfigurationView,
) -> (CachedSetting, CachedSetting) {
    let context = SettingContext {
        target: Some(&listing.name),
        group: listing.group.as_ref(),
        team: None,
        service: Some(&listing.service),
        availability_zone: Some(&listing.availability_zone),
    };
    let limit = CachedSetting::resolve(view, SettingKey::TargetConcurrency, &context);
    let zone_cost = CachedSetting::resolve(view, SettingKey::OtherZoneCost, &context);
    (limit, zone_cost)
}
