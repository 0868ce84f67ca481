//! State of one target: its listing, the reports of its agent and this entry's own requests there.

use {
    super::policy::CachedSetting,
    crate::{
        configuration::{ConfigurationView, Revision, SettingContext, SettingKey},
        ids::{GroupName, InstanceName, KindName, ServiceName, ZoneName},
    },
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Kind of a service, which decides whether its calls may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engine: every call is idempotent.
    Model,
    /// Plain service: only calls of [`AgentFacts::idempotent_methods`] are idempotent.
    Plain,
}

/// Target as described by the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetListing {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub availability_zone: ZoneName,
    /// Service that the instance serves.
    pub service: ServiceName,
    /// Model group that the instance belongs to, if any.
    pub group: Option<GroupName>,
    /// Address at which the agent accepts links from entries.
    pub link_address: SocketAddr,
    /// Whether the instance is about to be removed and must get no new requests.
    pub leaving: bool,
}

impl TargetListing {
    /// Returns whether two listings are equal apart from [`Self::leaving`].
    pub fn is_same_except_leaving(&self, other: &Self) -> bool {
        let leaving = self.leaving;
        *self
            == Self {
                leaving,
                ..other.clone()
            }
    }
}

/// Facts about a target that its agent sends when the link to it opens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentFacts {
    /// Kind of the service that the target serves.
    pub kind: ServiceKind,
    /// Number of requests that the target can process concurrently.
    pub concurrency: u32,
    /// Methods whose calls are idempotent; only used for plain services.
    pub idempotent_methods: Vec<String>,
    /// Newest configuration revision that the agent has seen; 0 if it has seen none.
    pub revision: Revision,
}

impl AgentFacts {
    /// Returns whether a call with this method may run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.kind {
            ServiceKind::Model => true,
            ServiceKind::Plain => self.idempotent_methods.iter().any(|known| known == method),
        }
    }
}

/// Exact load of a target, as counted by its agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Number of requests in flight from all entries.
    pub in_flight: u32,
    /// Number of requests that the target can process concurrently.
    pub concurrency: u32,
    /// Whether the agent refuses new requests.
    pub draining: bool,
}

/// Periodic report of an agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgentStatus {
    /// Load at the time of the report.
    pub load: TargetLoad,
    /// Whether the target passed its last health check.
    pub healthy: bool,
    /// Newest configuration revision that the agent has seen; 0 if it has seen none.
    pub revision: Revision,
    /// Load that one more request of each kind adds to the most loaded rank, relative to a request
    /// that loads all ranks evenly.
    pub kind_costs: Vec<(KindName, f32)>,
    /// Hashes of the prompt prefixes in the target's cache.
    pub cached_prefixes: Vec<u64>,
    /// Mean duration of an engine step, in microseconds.
    pub mean_step_us: u64,
    /// Version of the expert map that the target uses.
    pub map_version: u64,
}

/// Everything that routing needs to know about a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Description of the target in the instance list.
    pub listing: TargetListing,
    /// Facts sent by the agent; `None` until the link to it has opened for the first time.
    pub facts: Option<AgentFacts>,
    /// Last report of the agent, with `cached_prefixes` sorted. Routing takes kind costs from
    /// [`Self::kind_cost`], since the report of another target of the group may supply them.
    pub status: AgentStatus,
    /// Configured limit on the number of requests in flight.
    pub limit: CachedSetting,
    /// Cost of sending a request here from another availability zone, in milliseconds.
    pub zone_cost: CachedSetting,
    /// Hash of the instance name, for rendezvous hashing.
    pub name_hash: u64,
    /// Hash of the availability zone; comparing it is cheaper than comparing names.
    pub zone_hash: u64,
    connected: bool,
    own_in_flight: u32,
    /// Number of requests in flight from other entries, derived from the last count of the agent.
    others_in_flight: u32,
    kind_costs: KindCosts,
    /// Whether the last report contained kind costs because the group's placer runs at this agent.
    pub(super) is_cost_source: bool,
}

/// Cost of each request kind, keyed by [`kind_hash`].
pub(super) type KindCosts = Vec<(u64, f32)>;

/// Returns the hash of a request kind that [`Target::kind_cost`] takes.
pub fn kind_hash(kind: &KindName) -> u64 {
    xxh3_64(kind.as_str().as_bytes())
}

/// Returns the hash of an availability zone, for comparison with [`Target::zone_hash`].
pub fn zone_hash(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

impl Target {
    /// Creates a target without a link, with the limits of `view`.
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

    /// Resolves the limit and the zone cost in a new configuration view.
    pub fn apply_view(&mut self, view: &ConfigurationView) {
        (self.limit, self.zone_cost) = resolve_settings(&self.listing, view);
    }

    /// Returns whether the link to the agent is open.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Returns whether the target must get no new requests, because the instance list marks it as
    /// leaving or its agent reports that it is draining.
    pub fn is_draining(&self) -> bool {
        self.listing.leaving || self.status.load.draining
    }

    /// Returns the number of requests that this entry has in flight at the target.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated number of requests in flight: the exact count of this entry's requests
    /// plus the requests of other entries according to the last count of the agent.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight.saturating_add(self.others_in_flight)
    }

    /// Returns the limit on requests in flight, ignoring exceptions for teams.
    fn concurrency_limit(&self) -> u32 {
        let setting = u32::try_from(self.limit.number).unwrap_or(u32::MAX);
        setting.min(self.status.load.concurrency)
    }

    /// Returns the load that one more request of a kind adds to the most loaded rank, relative to a
    /// request that loads all ranks evenly; 1 if no cost of the kind is reported. `kind` is the
    /// result of [`kind_hash`].
    pub fn kind_cost(&self, kind: u64) -> f32 {
        let known = self.kind_costs.iter().find(|(hash, _)| *hash == kind);
        known.map_or(1.0, |(_, cost)| *cost)
    }

    /// Returns the state that the operator API shows.
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
        // No report has arrived on the new link yet, so the load is initialised from the facts.
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

    /// Returns the kind costs of the last report.
    pub(super) fn reported_costs(&self) -> KindCosts {
        // Scores computed from a NaN, infinite or negative cost could not be ordered sensibly.
        let costs = self.status.kind_costs.iter();
        let costs = costs.filter(|(_, cost)| cost.is_finite() && *cost >= 0.0);
        costs.map(|(kind, cost)| (kind_hash(kind), *cost)).collect()
    }

    pub(super) fn report(&mut self, mut status: AgentStatus) -> bool {
        let starts_to_drain = status.load.draining && !self.status.load.draining;
        status.cached_prefixes.sort_unstable();
        self.status = status;
        self.update_others_in_flight(self.status.load.in_flight);
        starts_to_drain
    }

    pub(super) fn add_request(&mut self) {
        self.own_in_flight += 1;
    }

    /// Removes a request from the count and applies the load that the agent sent with its end.
    ///
    /// Requests of several entries end at the same time when an engine finishes a step. If each
    /// entry then tried to use all free capacity, most of their dispatches would be refused.
    /// Therefore the estimate of a full target drops by at most one for each request that ends.
    pub(super) fn end_request(&mut self, load: Option<TargetLoad>) {
        let estimate = self.in_flight();
        let was_full = estimate >= self.concurrency_limit();
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let Some(load) = load else {
            return;
        };
        let lower_bound = if was_full {
            estimate.saturating_sub(1)
        } else {
            0
        };
        self.status.load = load;
        self.update_others_in_flight(load.in_flight.max(lower_bound));
    }

    fn update_others_in_flight(&mut self, in_flight: u32) {
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
