//! Policies under comparison, as one entry runs them.

use {
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::{
        configuration::ConfigurationView,
        ids::{ServiceName, TeamName, ZoneName},
        membership::{
            AgentFacts, AgentStatus, Membership, ServiceKind, TargetKey, TargetListing, TargetLoad,
        },
        routing::{RoutePolicy, RouteRequest, Router},
    },
    std::{fmt, net::SocketAddr, sync::Arc},
};

/// Requests in flight that a target admits. It is far above the load, so that the policies differ
/// in their choices only and not in the refusals.
pub const CONCURRENCY: u32 = 1_000;

/// Policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyName {
    /// Fewest requests of this entry in flight.
    LeastInFlight,
    /// Router of the system.
    Router,
    /// Router of the system without prefix affinity.
    RouterWithoutAffinity,
    /// One after the other.
    RoundRobin,
    /// The better of two random targets by this entry's requests in flight.
    TwoRandom,
}

impl PolicyName {
    /// All policies, the router first.
    pub const ALL: [Self; 5] = [
        Self::Router,
        Self::RouterWithoutAffinity,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoRandom,
    ];
}

impl fmt::Display for PolicyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LeastInFlight => "least in flight",
            Self::Router => "router",
            Self::RouterWithoutAffinity => "router without affinity",
            Self::RoundRobin => "round robin",
            Self::TwoRandom => "two random choices",
        })
    }
}

fn name<T: std::str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

/// One entry.
#[derive(Debug)]
pub struct EntryChooser {
    policy: PolicyName,
    membership: Membership,
    keys: Vec<TargetKey>,
    own: Vec<u32>,
    lost: Vec<bool>,
    router: Router,
    settings: RoutePolicy,
    service: ServiceName,
    next: usize,
}

impl EntryChooser {
    /// Creates an entry with open links to all targets.
    pub fn new(policy: PolicyName, targets: usize) -> Self {
        let view = Arc::new(ConfigurationView {
            lease_live: true,
            ..ConfigurationView::default()
        });
        let service: ServiceName = name("drafting");
        let (zone, team): (ZoneName, TeamName) = (name("zone-1"), name("team-1"));
        let mut membership = Membership::default();
        membership.apply_view(&view);
        let listings = (0..targets).map(|number| TargetListing {
            name: name(&format!("target-{number}")),
            availability_zone: zone.clone(),
            service: service.clone(),
            group: None,
            link_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: false,
        });
        let keys = membership.apply_list(listings.collect()).joined;
        for key in &keys {
            let facts = AgentFacts {
                kind: ServiceKind::Model,
                concurrency: CONCURRENCY,
                idempotent_methods: Vec::new(),
                revision: 1,
            };
            membership.connected(*key, facts);
        }
        Self {
            policy,
            membership,
            keys,
            own: vec![0; targets],
            lost: vec![false; targets],
            router: Router::default(),
            settings: RoutePolicy::resolve(&view, &zone, &service, &team),
            service,
            next: 0,
        }
    }

    /// Chooses a target and counts the request there.
    pub fn choose(&mut self, prefix: u64, generator: &mut ChaCha8Rng) -> usize {
        let chosen = match self.policy {
            PolicyName::LeastInFlight => self.least(generator),
            PolicyName::Router => self.route(Some(prefix), generator),
            PolicyName::RouterWithoutAffinity => self.route(None, generator),
            PolicyName::RoundRobin => self.next_in_turn(),
            PolicyName::TwoRandom => self.better_of_two(generator),
        };
        self.own[chosen] += 1;
        self.membership.dispatched(self.keys[chosen]);
        chosen
    }

    fn live(&self) -> Vec<usize> {
        let targets = 0..self.keys.len();
        targets.filter(|target| !self.lost[*target]).collect()
    }

    fn least(&self, generator: &mut ChaCha8Rng) -> usize {
        let live = self.live();
        let least = live.iter().map(|target| self.own[*target]).min();
        let ties: Vec<_> = live
            .into_iter()
            .filter(|target| Some(self.own[*target]) == least)
            .collect();
        ties[generator.random_range(0..ties.len())]
    }

    fn next_in_turn(&mut self) -> usize {
        let live = self.live();
        self.next += 1;
        live[self.next % live.len()]
    }

    fn better_of_two(&self, generator: &mut ChaCha8Rng) -> usize {
        let live = self.live();
        let mut draw = || live[generator.random_range(0..live.len())];
        let (first, second) = (draw(), draw());
        if self.own[second] < self.own[first] {
            second
        } else {
            first
        }
    }

    fn route(&mut self, prefix: Option<u64>, generator: &mut ChaCha8Rng) -> usize {
        let request = RouteRequest {
            service: &self.service,
            kind: None,
            prefix,
            tried: &[],
        };
        let decided = self
            .router
            .decide(&self.membership, &request, &self.settings, generator);
        let decided = decided.ok().map(|decision| decision.key);
        let position = decided.and_then(|key| self.keys.iter().position(|other| *other == key));
        // The model has no queue at the entry, so a request that would wait there goes to the
        // target with the fewest requests of the entry.
        position.unwrap_or_else(|| self.least(generator))
    }

    /// Counts the end of a request, with the load if the reply carried it.
    pub fn end(&mut self, target: usize, in_flight: Option<usize>) {
        self.own[target] -= 1;
        let load = in_flight.map(load);
        self.membership.finished(self.keys[target], load);
    }

    /// Applies a report.
    pub fn report(&mut self, target: usize, in_flight: usize, cached: Vec<u64>, step_us: u64) {
        let status = AgentStatus {
            load: load(in_flight),
            healthy: true,
            cached_prefixes: cached,
            mean_step_us: step_us,
            ..AgentStatus::default()
        };
        self.membership.reported(self.keys[target], status);
    }

    /// Loses a target with the entry's requests there.
    pub fn lose(&mut self, target: usize) {
        self.lost[target] = true;
        self.own[target] = 0;
        self.membership.disconnected(self.keys[target]);
    }
}

fn load(in_flight: usize) -> TargetLoad {
    TargetLoad {
        in_flight: in_flight as u32,
        concurrency: CONCURRENCY,
        draining: false,
    }
}
