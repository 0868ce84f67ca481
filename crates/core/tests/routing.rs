//! Tests the choice of a target by an entry, and the records that explain it.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::{
        configuration::{ConfigurationView, PolicyException, SettingKey},
        ids::{KindName, ServiceName, TeamName, ZoneName},
        membership::{
            AgentFacts, AgentStatus, Membership, ServiceKind, TargetKey, TargetListing, TargetLoad,
        },
        routing::{
            RouteDecision, RouteError, RoutePolicy, RouteRequest, RouteRule, Router, prefix_hash,
        },
    },
    sassafrasslip_testkit::test_cases,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Name, availability zone and requests in flight of a target, and a change to its status.
type TargetRow<'a> = (&'a str, &'a str, u32, fn(&mut AgentStatus));

const UNCHANGED: fn(&mut AgentStatus) = |_| {};

struct Fleet {
    membership: Membership,
    view: Arc<ConfigurationView>,
    generator: ChaCha8Rng,
    router: Router,
}

impl Fleet {
    fn new(rows: &[TargetRow<'_>], exceptions: &[(&str, SettingKey, &str)]) -> Self {
        let mut view = ConfigurationView {
            lease_live: true,
            ..ConfigurationView::default()
        };
        for (scope, key, value) in exceptions {
            let exception = PolicyException {
                id: format!("{scope}-{key}").replace('=', "-").parse().unwrap(),
                scope: scope.parse().unwrap(),
                key: *key,
                value: (*value).to_owned(),
                reason: "test".to_owned(),
                operator: "tester".parse().unwrap(),
            };
            let snapshot = Arc::make_mut(&mut view.snapshot);
            snapshot.exceptions.insert(exception.id.clone(), exception);
        }
        let view = Arc::new(view);
        let mut membership = Membership::default();
        membership.apply_view(&view);
        let listings = rows.iter().map(|(name, zone, _, _)| listing(name, zone));
        let joined = membership.apply_list(listings.collect()).joined;
        for (key, (_, _, in_flight, change)) in joined.into_iter().zip(rows) {
            connect(&mut membership, key, *in_flight, *change);
        }
        Self {
            membership,
            view,
            generator: ChaCha8Rng::seed_from_u64(5),
            router: Router::default(),
        }
    }

    fn decide(
        &mut self,
        kind: Option<&str>,
        prefix: Option<u64>,
        tried: &[&str],
    ) -> Result<RouteDecision, RouteError> {
        let (service, zone, team) = (service(), "ruwi".parse::<ZoneName>().unwrap(), team());
        let policy = RoutePolicy::resolve(&self.view, &zone, &service, &team);
        let kind: Option<KindName> = kind.map(|kind| kind.parse().unwrap());
        let tried: Vec<_> = tried.iter().map(|name| self.key(name)).collect();
        let request = RouteRequest {
            service: &service,
            kind: kind.as_ref(),
            prefix,
            tried: &tried,
        };
        self.router
            .decide(&self.membership, &request, &policy, &mut self.generator)
    }

    fn key(&self, name: &str) -> TargetKey {
        self.membership.find(&name.parse().unwrap()).unwrap()
    }

    fn name(&self, key: TargetKey) -> String {
        self.membership
            .target(key)
            .unwrap()
            .listing
            .name
            .to_string()
    }
}

fn service() -> ServiceName {
    "drafting".parse().unwrap()
}

fn team() -> TeamName {
    "shop".parse().unwrap()
}

fn listing(name: &str, zone: &str) -> TargetListing {
    TargetListing {
        name: name.parse().unwrap(),
        availability_zone: zone.parse().unwrap(),
        service: service(),
        group: None,
        link_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    }
}

fn connect(
    membership: &mut Membership,
    key: TargetKey,
    in_flight: u32,
    change: fn(&mut AgentStatus),
) {
    let facts = AgentFacts {
        kind: ServiceKind::Model,
        concurrency: 32,
        idempotent_methods: Vec::new(),
        revision: 0,
    };
    membership.connected(key, facts);
    let mut status = AgentStatus {
        load: TargetLoad {
            in_flight,
            concurrency: 32,
            draining: false,
        },
        healthy: true,
        ..AgentStatus::default()
    };
    change(&mut status);
    membership.reported(key, status);
}

fn check_choice(rows: &[TargetRow<'_>], kind: Option<&str>, expected: Result<&str, RouteError>) {
    let mut fleet = Fleet::new(rows, &[]);
    let chosen = fleet
        .decide(kind, None, &[])
        .map(|decision| fleet.name(decision.key));
    assert_eq!(chosen, expected.map(str::to_owned));
}

test_cases! {
    fn check_choice(rows: &[TargetRow<'_>], kind: Option<&str>, expected: Result<&str, RouteError>);
    less_loaded_target_is_chosen:
        (&[("a", "ruwi", 9, UNCHANGED), ("b", "ruwi", 3, UNCHANGED)], None, Ok("b"));
    own_zone_wins_at_a_small_difference:
        (&[("a", "ruwi", 4, UNCHANGED), ("b", "seeb", 3, UNCHANGED)], None, Ok("a"));
    other_zone_wins_at_a_large_difference:
        (&[("a", "ruwi", 9, UNCHANGED), ("b", "seeb", 3, UNCHANGED)], None, Ok("b"));
    stalled_group_is_avoided: (
        &[("a", "ruwi", 0, |status| status.mean_step_us = 5_000_000), ("b", "seeb", 9, UNCHANGED)],
        None,
        Ok("b")
    );
    kind_with_a_high_cost_is_routed_to_another_target: (
        &[
            ("a", "ruwi", 3, |status| status.kind_costs = vec![("replies".parse().unwrap(), 8.0)]),
            ("b", "ruwi", 5, UNCHANGED),
        ],
        Some("replies"),
        Ok("b")
    );
    high_cost_of_one_kind_does_not_affect_other_kinds: (
        &[
            ("a", "ruwi", 3, |status| status.kind_costs = vec![("replies".parse().unwrap(), 8.0)]),
            ("b", "ruwi", 5, UNCHANGED),
        ],
        Some("captions"),
        Ok("a")
    );
    cost_that_is_not_a_number_is_ignored: (
        &[
            ("a", "ruwi", 3, |status| status.kind_costs = vec![("x".parse().unwrap(), f32::NAN)]),
            ("b", "ruwi", 5, UNCHANGED),
        ],
        Some("x"),
        Ok("a")
    );
    draining_target_is_left_out: (
        &[("a", "ruwi", 0, |status| status.load.draining = true), ("b", "seeb", 9, UNCHANGED)],
        None,
        Ok("b")
    );
    unhealthy_target_is_left_out: (
        &[("a", "ruwi", 0, |status| status.healthy = false), ("b", "seeb", 9, UNCHANGED)],
        None,
        Ok("b")
    );
    full_targets_are_reported_as_full:
        (&[("a", "ruwi", 32, UNCHANGED), ("b", "seeb", 40, UNCHANGED)], None,
         Err(RouteError::Full));
    unusable_targets_are_not_reported_as_full: (
        &[("a", "ruwi", 0, |status| status.healthy = false)], None, Err(RouteError::NoTarget)
    );
    service_without_targets_is_unknown: (&[], None, Err(RouteError::UnknownService));
}

#[test]
fn unreachable_and_tried_targets_are_left_out() {
    let rows = [
        ("a", "ruwi", 0, UNCHANGED),
        ("b", "ruwi", 0, UNCHANGED),
        ("c", "seeb", 9, UNCHANGED),
    ];
    let mut fleet = Fleet::new(&rows, &[]);
    let lost = fleet.key("a");
    fleet.membership.disconnected(lost);
    let decision = fleet.decide(None, None, &["b"]).unwrap();
    assert_eq!(fleet.name(decision.key), "c");
    let candidates = decision.candidates.iter();
    let records: Vec<_> = candidates
        .filter_map(|candidate| candidate.record(&fleet.membership))
        .collect();
    let excluded: HashMap<_, _> = records
        .iter()
        .map(|candidate| (candidate.target.as_str(), candidate.excluded.as_deref()))
        .collect();
    assert_eq!(records[0].target.as_str(), "c");
    assert_eq!(excluded["a"], Some("unreachable"));
    assert_eq!(excluded["b"], Some("tried before"));
}

#[test]
fn equal_targets_share_the_requests_of_many_entries() {
    let rows = [
        ("a", "ruwi", 3, UNCHANGED),
        ("b", "ruwi", 3, UNCHANGED),
        ("c", "ruwi", 3, UNCHANGED),
    ];
    let mut counts = HashMap::new();
    for seed in 0..300 {
        let mut fleet = Fleet::new(&rows, &[]);
        fleet.generator = ChaCha8Rng::seed_from_u64(seed);
        let decision = fleet.decide(None, None, &[]).unwrap();
        *counts.entry(fleet.name(decision.key)).or_insert(0) += 1;
    }
    assert!(
        counts.len() == 3 && counts.values().all(|count| *count > 70),
        "{counts:?}"
    );
}

#[test]
fn same_seed_gives_the_same_choice() {
    let rows = [("a", "ruwi", 3, UNCHANGED), ("b", "ruwi", 3, UNCHANGED)];
    let choose = || {
        let mut fleet = Fleet::new(&rows, &[]);
        let keys = (0..50).map(|_| fleet.decide(None, None, &[]).unwrap().key);
        keys.collect::<Vec<_>>()
    };
    assert_eq!(choose(), choose());
}

#[test]
fn prefix_affinity_holds_until_the_load_bound() {
    let rows = [
        ("a", "ruwi", 2, UNCHANGED),
        ("b", "ruwi", 2, UNCHANGED),
        ("c", "ruwi", 2, UNCHANGED),
    ];
    let mut fleet = Fleet::new(&rows, &[]);
    let prefix = Some(prefix_hash(b"Write a caption"));
    let first = fleet.decide(None, prefix, &[]).unwrap();
    assert_eq!(first.rule, RouteRule::PrefixAffinity);
    assert_eq!(fleet.decide(None, prefix, &[]).unwrap().key, first.key);
    for _ in 0..3 {
        fleet.membership.dispatched(first.key);
    }
    assert_ne!(fleet.decide(None, prefix, &[]).unwrap().key, first.key);
}

#[test]
fn target_that_caches_the_prefix_is_preferred() {
    for cached in ["a", "b", "c"] {
        let rows = [
            ("a", "ruwi", 2, UNCHANGED),
            ("b", "ruwi", 2, UNCHANGED),
            ("c", "ruwi", 2, UNCHANGED),
        ];
        let mut fleet = Fleet::new(&rows, &[]);
        let key = fleet.key(cached);
        connect(&mut fleet.membership, key, 2, |status| {
            status.cached_prefixes = vec![9, 7];
        });
        assert_eq!(fleet.decide(None, Some(7), &[]).unwrap().key, key);
    }
}

#[test]
fn affinity_can_be_switched_off_for_a_team() {
    let rows = [("a", "ruwi", 2, UNCHANGED), ("b", "ruwi", 2, UNCHANGED)];
    let exceptions = [("team=shop", SettingKey::Affinity, "off")];
    let mut fleet = Fleet::new(&rows, &exceptions);
    let decision = fleet.decide(None, Some(7), &[]).unwrap();
    assert_eq!(decision.rule, RouteRule::LeastLoad);
    let sources: Vec<_> = decision.sources.iter().map(ToString::to_string).collect();
    assert!(
        sources
            .iter()
            .any(|source| source.starts_with("exception:team-shop")),
        "{sources:?}"
    );
}

fn check_limit(exceptions: &[(&str, SettingKey, &str)], expected: u32) {
    let mut fleet = Fleet::new(&[("a", "ruwi", 0, UNCHANGED)], exceptions);
    assert_eq!(fleet.decide(None, None, &[]).unwrap().limit, expected);
}

const CONCURRENCY: SettingKey = SettingKey::TargetConcurrency;

test_cases! {
    fn check_limit(exceptions: &[(&str, SettingKey, &str)], expected: u32);
    limit_is_capped_by_the_agent: (&[("service=drafting", CONCURRENCY, "90")], 32);
    team_exception_takes_precedence_over_service:
        (&[("service=drafting", CONCURRENCY, "9"), ("team=shop", CONCURRENCY, "5")], 5);
    target_exception_takes_precedence_over_team:
        (&[("target=a", CONCURRENCY, "3"), ("team=shop", CONCURRENCY, "5")], 3);
    exception_of_another_team_is_ignored: (&[("team=other", CONCURRENCY, "5")], 32);
}

/// For a large service the router samples the targets. The sample must keep prefix affinity, must
/// include the only usable target if there is just one, and must spread the choices.
#[test]
fn large_service_keeps_affinity_and_finds_the_last_usable_target() {
    let names: Vec<_> = (0..400).map(|number| format!("t{number}")).collect();
    let rows: Vec<TargetRow<'_>> = names
        .iter()
        .map(|name| (name.as_str(), "ruwi", 2, UNCHANGED))
        .collect();
    let mut fleet = Fleet::new(&rows, &[]);
    let first = fleet.decide(None, Some(7), &[]).unwrap().key;
    for _ in 0..20 {
        assert_eq!(fleet.decide(None, Some(7), &[]).unwrap().key, first);
    }
    let chosen: HashMap<_, _> = (0..100)
        .map(|_| (fleet.decide(None, None, &[]).unwrap().key, ()))
        .collect();
    assert!(chosen.len() > 50, "{} targets", chosen.len());
    for name in &names[1..] {
        let key = fleet.key(name);
        fleet.membership.disconnected(key);
    }
    for _ in 0..20 {
        let decision = fleet.decide(None, None, &[]).unwrap();
        assert_eq!(fleet.name(decision.key), "t0");
    }
}
