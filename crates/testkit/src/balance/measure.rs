//! One run of a deployment through a scenario.

use {
    super::{
        deployment::Deployment,
        group::{FakeGroup, GroupSecond},
        placement_policy::{GroupPlacer, PlacementVariant},
        popularity::KindPopularity,
        routing_policy::RoutingVariant,
        scenario::Scenario,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{decision::LOADING_SLOWDOWN, place_all},
    std::time::Duration,
    tokio::time::Instant,
};

/// Seconds of a request at the usual load, which set the rate of arrivals.
const REQUEST_SECONDS: f64 = 6.0;

/// Figures of a run. Times are seconds for each hour of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalanceFigures {
    /// Mean of the slowest rank's step time over the mean.
    pub mean: f64,
    /// Its 99th percentile.
    pub percentile_99: f64,
    /// Gigabytes loaded.
    pub gigabytes: f64,
    /// Seconds of loading.
    pub moving: f64,
    /// Seconds in which the group could not step.
    pub stalled: f64,
    /// Seconds lost to skew and to the slowdown while loading, by `placement.skew_weight`, and
    /// seconds of loading by the rest of the weight.
    pub weighted: f64,
    /// Mean of the lower bound.
    pub bound: f64,
    /// Weighted figure of the lower bound, without any loading.
    pub weighted_bound: f64,
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct BalanceRun {
    /// Deployment.
    pub deployment: Deployment,
    /// Course of the run.
    pub scenario: Scenario,
    /// Policy for the expert maps.
    pub placement: PlacementVariant,
    /// Policy for the choice among groups.
    pub routing: RoutingVariant,
    /// Seed of everything random.
    pub seed: u64,
    /// Length of the run.
    pub seconds: usize,
}

/// Measures one run.
pub fn measure(run: &BalanceRun) -> BalanceFigures {
    let deployment = &run.deployment;
    let mut random = ChaCha8Rng::seed_from_u64(run.seed);
    let popularity = KindPopularity::draw(&deployment.shape, deployment.kinds, &mut random);
    let mut groups = start_groups(run, &popularity);
    let mut results = Vec::with_capacity(run.seconds * groups.len());
    let mut arrivals = 0.0;
    let mut number = 0;
    let (least_delay, most_delay) = run.scenario.report_delay();
    let start = Instant::now();
    for second in 0..run.seconds {
        let point = second as f64 / run.seconds as f64;
        let mix = run.scenario.mix(deployment.kinds, point);
        arrivals += deployment.in_flight * groups.len() as f64 / REQUEST_SECONDS;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let in_flight: Vec<f64> = groups.iter().map(FakeGroup::load).collect();
            let group = run.routing.choose(number, &in_flight, &mut random);
            groups[group].accept(draw_kind(&mix, &mut random));
            number += 1;
        }
        for (index, group) in groups.iter_mut().enumerate() {
            let speed = |rank| {
                run.scenario
                    .speed(index, rank, deployment.machine_ranks, point)
            };
            let speeds: Vec<f64> = (0..deployment.shape.ranks).map(speed).collect();
            let delay = random.random_range(least_delay..=most_delay);
            group.deliver_reports(delay, start + Duration::from_secs(second as u64));
            let drift = run.scenario.drift(point);
            results.push(group.run_second(second, &popularity, drift, &speeds, &mut random));
        }
    }
    summarize(&results, deployment.skew_weight)
}

/// Starts the groups with the usual requests and the placement that suits them best.
fn start_groups(run: &BalanceRun, popularity: &KindPopularity) -> Vec<FakeGroup> {
    let deployment = &run.deployment;
    let shape = &deployment.shape;
    let mix = run.scenario.mix(deployment.kinds, 0.0);
    let in_flight: Vec<f64> = mix
        .iter()
        .map(|share| (share * deployment.in_flight).round())
        .collect();
    let counts = popularity.counts(&in_flight, 0.0);
    let weights = vec![1.0; shape.ranks];
    let start = || {
        let map = place_all(shape, &counts, &weights, 1).ok()?;
        let placer = GroupPlacer::new(run.placement, shape, deployment.skew_weight);
        let mut group = FakeGroup::new(deployment, placer, map);
        group.in_flight.clone_from(&in_flight);
        Some(group)
    };
    (0..deployment.groups).filter_map(|_| start()).collect()
}

fn draw_kind(mix: &[f64], random: &mut ChaCha8Rng) -> usize {
    let mut rest: f64 = random.random();
    for (kind, share) in mix.iter().enumerate() {
        rest -= share;
        if rest < 0.0 {
            return kind;
        }
    }
    mix.len() - 1
}

fn summarize(results: &[GroupSecond], skew_weight: f64) -> BalanceFigures {
    let mut skews: Vec<f64> = results.iter().filter_map(|result| result.skew).collect();
    skews.sort_by(f64::total_cmp);
    let stepped = results.iter().filter(|result| result.skew.is_some());
    let bounds: Vec<f64> = stepped.map(|result| result.bound).collect();
    let hour = 3_600.0 / results.len().max(1) as f64;
    let moving = hour * results.iter().map(|result| result.moving).sum::<f64>();
    let lost = hour * lost_seconds(&skews) + LOADING_SLOWDOWN * moving;
    BalanceFigures {
        mean: mean(&skews),
        percentile_99: skews
            .get(skews.len() * 99 / 100)
            .copied()
            .unwrap_or_default(),
        gigabytes: hour * results.iter().map(|result| result.bytes).sum::<f64>() / 1e9,
        moving,
        stalled: hour * (results.len() - skews.len()) as f64,
        weighted: skew_weight * lost + (1.0 - skew_weight) * moving,
        bound: mean(&bounds),
        weighted_bound: skew_weight * hour * lost_seconds(&bounds),
    }
}

/// Returns the time in which the mean rank waits for the slowest one.
fn lost_seconds(skews: &[f64]) -> f64 {
    skews.iter().map(|skew| 1.0 - 1.0 / skew.max(1.0)).sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
