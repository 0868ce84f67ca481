//! Routes, services and teams of one configuration revision, as the operator wrote them.

use {
    crate::ids::{ServiceName, TeamName},
    std::{
        collections::{HashMap, HashSet},
        result,
        sync::Arc,
        time::Duration,
    },
};

/// Result of looking up a route.
pub type Result<T> = result::Result<T, RouteMiss>;

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// At most once for each attempt of the caller.
    Once,
    /// Any number of times.
    Repeatable,
    /// A stream of events that another target can go on with after the last event.
    ResumableStream,
    /// A stream of events that may run at most once.
    Stream,
}

impl RepeatRule {
    /// Returns whether a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that selects the route.
    pub host: String,
    /// Path prefix that selects the route; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time to the first event or the whole answer within which the answer is on time.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services with the weights by which requests are split among them.
    pub services: Vec<(ServiceName, u32)>,
    /// Most targets on which one attempt of a caller may run.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub allows_anonymous: bool,
    /// Longest pause between events of an answer that is on time.
    pub pause_objective: Option<Duration>,
    /// Pause after which a caller leaves a stream, before its first event too.
    pub event_patience: Duration,
}

/// Cost figures of a model engine that batches requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that one target works on at once.
    pub slots: u32,
    /// Steps in one pass while answers are written.
    pub stride: u32,
    /// Fixed time of a token step.
    pub step: Duration,
    /// Additional time of a token step for each running request.
    pub step_per_request: Duration,
    /// Prompt tokens that are read in a second.
    pub read_tokens_per_s: f64,
    /// Mean prompt length in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer length in tokens.
    pub usual_answer_tokens: f64,
    /// Age of what an engine reports to another instance.
    pub report_age: Duration,
    /// Experts that the ranks of a group share; absent if the engine has none.
    pub experts: Option<ExpertProfile>,
}

/// Experts of a model and what it costs to move one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertProfile {
    /// Sets of layers that are placed on their own.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts of a set that a rank has room for.
    pub places: usize,
    /// Experts of a set that a rank may load for one change.
    pub loads_per_set: usize,
    /// Share of the work for tokens that experts do.
    pub share: f64,
    /// Size of an expert, in bytes.
    pub bytes: u64,
    /// Time in which a rank loads one expert.
    pub load_time: Duration,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Most channels that one target accepts from all callers together.
    pub channel_limit: u32,
    /// Engine figures; plain services have none.
    pub engine: Option<EngineProfile>,
}

/// One team of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamRule {
    /// Name.
    pub name: TeamName,
    /// Urgency that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub header_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Longest time to send a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Why a request has no route.
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
    /// Route.
    pub route: Arc<RouteRule>,
    /// Team that holds the key; absent on anonymous requests.
    pub team: Option<Arc<TeamRule>>,
}

impl RouteMatch {
    /// Returns the urgency; that of the team takes precedence over that of the route.
    pub fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

/// Routes, services, teams and limits of one revision.
#[derive(Debug)]
pub struct RouteTable {
    /// Revision; a higher one replaces a lower one.
    pub revision: u64,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    routes: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    services: HashMap<ServiceName, ServiceRule>,
    teams: HashMap<String, Arc<TeamRule>>,
    requires_keys: bool,
}

impl RouteTable {
    /// Creates an empty table.
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

    /// Adds a route; of two with the same host and prefix the last one holds.
    pub fn add_route(&mut self, route: RouteRule) {
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, name: ServiceName, service: ServiceRule) {
        self.services.insert(name, service);
    }

    /// Adds a team with its keys. From the first team on, requests need a key.
    pub fn add_team(&mut self, team: TeamRule, keys: impl IntoIterator<Item = String>) {
        self.requires_keys = true;
        let team = Arc::new(team);
        for key in keys {
            self.teams.insert(key, Arc::clone(&team));
        }
    }

    /// Returns the shortest pause objective of the routes to a service.
    pub fn pause_objective(&self, service: &ServiceName) -> Option<Duration> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let to_service = routes.filter(|route| {
            let mut services = route.services.iter();
            services.any(|(name, _)| name == service)
        });
        to_service.filter_map(|route| route.pause_objective).min()
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }

    /// Returns the services to which a route leads.
    pub fn routed_services(&self) -> HashSet<&ServiceName> {
        let routes = self.routes.values().flat_map(HashMap::values);
        let services = routes.flat_map(|route| &route.services);
        services.map(|(service, _)| service).collect()
    }

    /// Finds the route with the longest prefix of the path, and the team that holds the key.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route needs a key that no team holds.
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

    /// Tries each prefix that ends with a slash, longest first. The cost depends on the depth of
    /// the path and not on the number of routes.
    fn longest_prefix(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev();
        let ends = slashes.filter(|(_, byte)| *byte == b'/');
        ends.filter_map(|(end, _)| routes.get(&path[..=end])).next()
    }
}

impl RouteRule {
    /// Picks the service of a request: `draw` is uniform from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut rest = draw * f64::from(total);
        for (service, weight) in &self.services {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}
