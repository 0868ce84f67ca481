//! Routing policies under comparison, and the state that an entry keeps for them.

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

/// Concurrency limit of each target. It is far above the load, so that no request is refused and
/// the policies differ only in their choices.
pub const CONCURRENCY: u32 = 1_000;

/// Routing policy under comparison; the displayed names are those of the printed tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyName {
    /// The target with the fewest requests of this entry in flight, ties at random.
    LeastInFlight,
    /// The router of the core.
    Router,
    /// The router of the core without prefix affinity.
    RouterWithoutAffinity,
    /// Targets in turn.
    RoundRobin,
    /// The one of two random targets with fewer requests of this entry in flight (power of two
    /// choices).
    TwoRandom,
}

impl PolicyName {
    /// All policies in the order of the printed tables, the router first.
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

fn parse_name<T: std::str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

/// Simulated entry that chooses targets by one policy.
#[derive(Debug)]
pub struct EntryChooser {
    policy: PolicyName,
    membership: Membership,
    keys: Vec<TargetKey>,
    own_in_flight: Vec<u32>,
    failed: Vec<bool>,
    router: Router,
    settings: RoutePolicy,
    service: ServiceName,
    next: usize,
}

impl EntryChooser {
    /// Creates an entry with open links to `targets` targets of one model service.
    pub fn new(policy: PolicyName, targets: usize) -> Self {
        let view = Arc::new(ConfigurationView {
            lease_live: true,
            ..ConfigurationView::default()
        });
        let service: ServiceName = parse_name("drafting");
        let (zone, team): (ZoneName, TeamName) = (parse_name("zone-1"), parse_name("team-1"));
        let mut membership = Membership::default();
        membership.apply_view(&view);
        let listings = (0..targets).map(|number| TargetListing {
            name: parse_name(&format!("target-{number}")),
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
            own_in_flight: vec![0; targets],
            failed: vec![false; targets],
            router: Router::default(),
            settings: RoutePolicy::resolve(&view, &zone, &service, &team),
            service,
            next: 0,
        }
    }

    /// Chooses a target for a request with a prompt prefix, counts the request as in flight there,
    /// and returns the index of the target.
    pub fn choose(&mut self, prefix: u64, generator: &mut ChaCha8Rng) -> usize {
        let chosen = match self.policy {
            PolicyName::LeastInFlight => self.choose_least_in_flight(generator),
            PolicyName::Router => self.choose_by_router(Some(prefix), generator),
            PolicyName::RouterWithoutAffinity => self.choose_by_router(None, generator),
            PolicyName::RoundRobin => self.choose_round_robin(),
            PolicyName::TwoRandom => self.choose_of_two(generator),
        };
        self.own_in_flight[chosen] += 1;
        self.membership.dispatched(self.keys[chosen]);
        chosen
    }

    fn healthy(&self) -> Vec<usize> {
        let targets = 0..self.keys.len();
        targets.filter(|target| !self.failed[*target]).collect()
    }

    fn choose_least_in_flight(&self, generator: &mut ChaCha8Rng) -> usize {
        let healthy = self.healthy();
        let least = healthy
            .iter()
            .map(|target| self.own_in_flight[*target])
            .min();
        let ties: Vec<_> = healthy
            .into_iter()
            .filter(|target| Some(self.own_in_flight[*target]) == least)
            .collect();
        ties[generator.random_range(0..ties.len())]
    }

    fn choose_round_robin(&mut self) -> usize {
        let healthy = self.healthy();
        self.next += 1;
        healthy[self.next % healthy.len()]
    }

    fn choose_of_two(&self, generator: &mut ChaCha8Rng) -> usize {
        let healthy = self.healthy();
        let mut draw = || healthy[generator.random_range(0..healthy.len())];
        let (first, second) = (draw(), draw());
        if self.own_in_flight[second] < self.own_in_flight[first] {
            second
        } else {
            first
        }
    }

    fn choose_by_router(&mut self, prefix: Option<u64>, generator: &mut ChaCha8Rng) -> usize {
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
        // The simulated entry has no queue, so a request that would wait there goes to the target
        // with the fewest requests of this entry in flight.
        position.unwrap_or_else(|| self.choose_least_in_flight(generator))
    }

    /// Counts the end of a request at a target. `in_flight` is the load of the target if the reply
    /// carried it.
    pub fn complete(&mut self, target: usize, in_flight: Option<usize>) {
        self.own_in_flight[target] -= 1;
        let load = in_flight.map(target_load);
        self.membership.finished(self.keys[target], load);
    }

    /// Applies a load report of a target: its requests in flight, its cached prefixes, and its mean
    /// step time in microseconds.
    pub fn report(&mut self, target: usize, in_flight: usize, cached: Vec<u64>, step_us: u64) {
        let status = AgentStatus {
            load: target_load(in_flight),
            healthy: true,
            cached_prefixes: cached,
            mean_step_us: step_us,
            ..AgentStatus::default()
        };
        self.membership.reported(self.keys[target], status);
    }

    /// Marks a target as failed and forgets the requests of this entry there.
    pub fn fail_target(&mut self, target: usize) {
        self.failed[target] = true;
        self.own_in_flight[target] = 0;
        self.membership.disconnected(self.keys[target]);
    }
}

fn target_load(in_flight: usize) -> TargetLoad {
    TargetLoad {
        in_flight: in_flight as u32,
        concurrency: CONCURRENCY,
        draining: false,
    }
}
