//! Benchmarks of one routing decision at the target size, which may take 20 microseconds at the
//! median.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::{
        configuration::{ConfigurationView, ExceptionScope, PolicyException, SettingKey},
        ids::{KindName, ServiceName, TeamName, ZoneName},
        membership::{AgentFacts, AgentStatus, Membership, ServiceKind, TargetListing, TargetLoad},
        routing::{RoutePolicy, RouteRequest, Router},
    },
    std::{hint::black_box, net::SocketAddr, sync::Arc},
};

const TARGETS: usize = 670;
const EXCEPTIONS: usize = 50;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn view() -> Arc<ConfigurationView> {
    let mut view = ConfigurationView {
        lease_live: true,
        lease_expires_at: None,
        ..ConfigurationView::default()
    };
    let snapshot = Arc::make_mut(&mut view.snapshot);
    for number in 0..EXCEPTIONS {
        let exception = PolicyException {
            id: name(&format!("exception-{number}")),
            scope: ExceptionScope::Team(name(&format!("team-{number}"))),
            key: SettingKey::TargetConcurrency,
            value: "16".to_owned(),
            reason: "benchmark".to_owned(),
            operator: name("operator"),
        };
        snapshot.exceptions.insert(exception.id.clone(), exception);
    }
    Arc::new(view)
}

/// Creates a fleet whose targets serve `models` models in turn; all targets have reported their
/// load and kind costs.
fn fleet(models: usize) -> Membership {
    let mut membership = Membership::default();
    membership.apply_view(&view());
    let listings = (0..TARGETS).map(|number| TargetListing {
        name: name(&format!("target-{number}")),
        availability_zone: name(&format!("zone-{}", number % 12)),
        service: name(&format!("model-{}", number % models)),
        group: None,
        link_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    });
    let joined = membership.apply_list(listings.collect()).joined;
    for (number, key) in joined.into_iter().enumerate() {
        let facts = AgentFacts {
            kind: ServiceKind::Model,
            concurrency: 32,
            idempotent_methods: Vec::new(),
            revision: 1,
        };
        membership.connected(key, facts);
        let kinds = ["captions", "replies", "briefs"].map(name::<KindName>);
        let status = AgentStatus {
            load: TargetLoad {
                in_flight: (number * 7 % 20) as u32,
                concurrency: 32,
                draining: false,
            },
            healthy: true,
            kind_costs: kinds
                .map(|kind| (kind, 1.0 + number as f32 / 1000.0))
                .to_vec(),
            mean_step_us: 30_000,
            ..AgentStatus::default()
        };
        membership.reported(key, status);
    }
    membership
}

fn decide(bench: &mut Criterion, label: &str, models: usize, prefix: Option<u64>) {
    let membership = fleet(models);
    let (view, mut router) = (view(), Router::default());
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    let (service, team): (ServiceName, TeamName) = (name("model-0"), name("team-49"));
    let (zone, kind): (ZoneName, KindName) = (name("zone-3"), name("briefs"));
    let request = RouteRequest {
        service: &service,
        kind: Some(&kind),
        prefix,
        tried: &[],
    };
    bench.bench_function(label, |bencher| {
        bencher.iter(|| {
            let policy = RoutePolicy::resolve(&view, &zone, &service, &team);
            let decision = router.decide(&membership, &request, &policy, &mut generator);
            black_box(decision.unwrap())
        });
    });
}

fn routing(bench: &mut Criterion) {
    decide(bench, "670 targets, 32 models", 32, None);
    decide(bench, "670 targets, 32 models, prefix", 32, Some(7));
    decide(bench, "670 targets of one model", 1, None);
    decide(bench, "670 targets of one model, prefix", 1, Some(7));
}

criterion_group!(benches, routing);
criterion_main!(benches);
