//! Routes, services and teams of one configuration revision, as the operator has configured them.

use {
    super::{
        home_regions::{HomeZones, ZoneRegions},
        target_pace::ColdRule,
    },
    crate::ids::{RegionName, ServiceName, TeamName},
    std::{
        collections::{HashMap, HashSet},
        result,
        sync::Arc,
        time::Duration,
    },
};

/// Result of a route lookup.
pub type Result<T> = result::Result<T, RouteMiss>;

/// Whether a request may run more than once, and whether its answer is a stream of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// The request may run at most once each time that the caller sends it.
    Once,
    /// The request may run any number of times.
    Repeatable,
    /// The answer is a stream of events, which another target can resume after the last event.
    ResumableStream,
    /// The answer is a stream of events, and the request may run at most once.
    Stream,
}

impl RepeatRule {
    /// Returns whether a request may be sent again although it may already have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Route from a host and a path prefix to services, with the rules for its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Host of the requests that match the route.
    pub host: String,
    /// Path prefix of the requests that match the route; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once, and whether its answer is a stream.
    pub repeat: RepeatRule,
    /// Longest time that a caller waits for the whole answer.
    pub timeout: Duration,
    /// Objective for the time to the first event of a stream or to the whole answer. An answer that
    /// takes longer is late.
    pub objective: Duration,
    /// Priority; requests with a lower number start first, and 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights, by which requests are split among them.
    pub services: Vec<(ServiceName, u32)>,
    /// Highest number of targets on which a request may run each time that the caller sends it.
    pub attempts: u32,
    /// Whether requests without a key are allowed.
    pub allows_anonymous: bool,
    /// Objective for the pause between two events of a stream; a stream with a longer pause is
    /// late.
    pub pause_objective: Option<Duration>,
    /// Time without an event after which a caller leaves a stream; also applies to the first event.
    pub event_timeout: Duration,
    /// Regions in which the requests may run; all if it is empty.
    pub homes: Vec<RegionName>,
}

/// Performance figures of a model engine that runs several requests in each pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that one target runs at the same time.
    pub slots: u32,
    /// Number of token steps in one pass while answers are generated.
    pub stride: u32,
    /// Fixed part of the duration of a token step.
    pub step: Duration,
    /// Additional duration of a token step per running request.
    pub step_per_request: Duration,
    /// Number of prompt tokens that an engine reads per second.
    pub read_tokens_per_s: f64,
    /// Mean prompt length in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer length in tokens.
    pub usual_answer_tokens: f64,
    /// Age of the status that an engine reports to another instance.
    pub report_age: Duration,
    /// Experts that are distributed over the ranks of a group; `None` if the model has none.
    pub experts: Option<ExpertProfile>,
}

/// Experts of a model, and the cost of loading one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertProfile {
    /// Number of layer sets. The experts of each set of layers are placed independently.
    pub sets: usize,
    /// Number of experts in a layer set.
    pub experts: usize,
    /// Number of experts of a layer set that a rank can hold.
    pub places: usize,
    /// Highest number of experts of a layer set that a rank may load for one map change.
    pub loads_per_set: usize,
    /// Share of the work for a token that is done by experts, from 0 to 1.
    pub share: f64,
    /// Size of an expert in bytes.
    pub bytes: u64,
    /// Time in which a rank loads one expert.
    pub load_time: Duration,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Highest number of channels that one target accepts from all its clients together.
    pub channel_limit: u32,
    /// Performance figures of the model engine; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// Load that a cold target tolerates; `None` if the configuration names none.
    pub cold: Option<ColdRule>,
}

/// Team of callers that share keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamRule {
    /// Name of the team.
    pub name: TeamName,
    /// Priority that overrides that of the route, if any.
    pub priority: Option<u8>,
    /// Regions in which the requests may run; all if it is empty.
    pub homes: Vec<RegionName>,
}

/// Limits on the requests and connections of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Highest size of a request head in bytes.
    pub header_bytes: usize,
    /// Highest size of a request body in bytes.
    pub body_bytes: usize,
    /// Longest time in which a caller may send a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Reason why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMiss {
    /// No route of the host matches the path.
    NoRoute,
    /// The route needs a key that belongs to a team.
    UnknownKey,
}

/// Route of a request and the team that sent it.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// Route that matches the request.
    pub route: Arc<RouteRule>,
    /// Team that owns the key of the request; `None` for an anonymous request.
    pub team: Option<Arc<TeamRule>>,
}

impl RouteMatch {
    /// Returns the zones in which the request may run. Where the route and the team both name home
    /// regions, both bind.
    pub fn home_zones(&self, regions: &ZoneRegions) -> HomeZones {
        let team = self.team.as_ref().map(|team| team.homes.as_slice());
        regions.home_zones(&[&self.route.homes, team.unwrap_or_default()])
    }

    /// Returns the priority of the request: that of the team if it has one, else that of the route.
    pub fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

/// Routes, services, teams and limits of one revision.
#[derive(Debug)]
pub struct RouteTable {
    /// Number of the configuration revision; a higher one replaces a lower one.
    pub revision: u64,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    routes: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    services: HashMap<ServiceName, ServiceRule>,
    teams: HashMap<String, Arc<TeamRule>>,
    requires_keys: bool,
}

impl RouteTable {
    /// Creates a table without routes, services and teams.
    pub fn new(revision: u64, limits: CallerLimits) -> Self {
        Self {
            revision,
            limits,
            routes: HashMap::new(),
            services: HashMap::new(),
            teams: HashMap::new(),
            requires_keys: false,
        }
    }

    /// Adds a route. It replaces an earlier one with the same host and prefix.
    pub fn add_route(&mut self, route: RouteRule) {
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service. It replaces an earlier one with the same name.
    pub fn add_service(&mut self, name: ServiceName, service: ServiceRule) {
        self.services.insert(name, service);
    }

    /// Adds a team with its keys. Once the table has a team, requests need a key unless their route
    /// allows anonymous requests.
    pub fn add_team(&mut self, team: TeamRule, keys: impl IntoIterator<Item = String>) {
        self.requires_keys = true;
        let team = Arc::new(team);
        for key in keys {
            self.teams.insert(key, Arc::clone(&team));
        }
    }

    /// Returns the shortest pause objective of the routes to a service; `None` if none has one.
    pub fn pause_objective(&self, service: &ServiceName) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let to_service = routes.filter(|route| {
            let mut services = route.services.iter();
            services.any(|(name, _)| name == service)
        });
        to_service.filter_map(|route| route.pause_objective).min()
    }

    /// Returns the settings of a service; `None` if it is not configured.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the names of the configured services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Returns the services to which at least one route leads.
    pub fn routed_services(&self) -> HashSet<&ServiceName> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let services = routes.flat_map(|route| &route.services);
        services.map(|(service, _)| service).collect()
    }

    /// Returns the route of the host with the longest prefix of the path, and the team that owns
    /// the key.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route needs a key and no team owns the given one.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch> {
        let route = self.longest_prefix(host, path).ok_or(RouteMiss::NoRoute)?;
        let team = key.and_then(|key| self.teams.get(key));
        if self.requires_keys && team.is_none() && !route.allows_anonymous {
            return Err(RouteMiss::UnknownKey);
        }
        Ok(RouteMatch {
            route: Arc::clone(route),
            team: team.cloned(),
        })
    }

    /// Looks up each prefix of the path that ends with a slash, longest first. The cost depends on
    /// the depth of the path and not on the number of routes.
    fn longest_prefix(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev();
        let ends = slashes.filter(|(_, byte)| *byte == b'/');
        ends.filter_map(|(end, _)| routes.get(&path[..=end])).next()
    }
}

impl RouteRule {
    /// Returns a service at random according to the weights; `None` if the route has no service.
    /// `draw` is a random number, uniform from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let weights = self.services.iter();
        let total: f64 = weights.map(|(_, weight)| f64::from(*weight)).sum();
        let mut remaining = draw * total;
        for (service, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}
