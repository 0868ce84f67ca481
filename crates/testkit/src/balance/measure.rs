//! Simulation of one deployment in one scenario.

use {
    super::{
        deployment::Deployment,
        group::{FakeGroup, GroupSample},
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

/// Duration of a request at the nominal load, in seconds. The arrival rate of a group is its
/// nominal number of requests in flight divided by this duration.
const REQUEST_SECONDS: f64 = 6.0;

/// Results of a run. Times and bytes are per hour of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct BalanceFigures {
    /// Mean skew: step time of the slowest rank divided by the mean of all ranks.
    pub mean_skew: f64,
    /// 99th percentile of the skew.
    pub p99_skew: f64,
    /// Gigabytes of experts loaded.
    pub gigabytes: f64,
    /// Seconds in which experts were being loaded.
    pub loading_seconds: f64,
    /// Seconds in which the group could not step.
    pub stalled_seconds: f64,
    /// Weighted sum, in seconds: the time lost to skew and to the slowdown while loading has the
    /// weight `placement.skew_weight`, and the time of loading has the rest of the weight.
    pub weighted_cost: f64,
    /// Mean of the lower bound of the skew.
    pub mean_bound: f64,
    /// Weighted sum at the lower bound of the skew and without any loading.
    pub weighted_cost_bound: f64,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct BalanceRun {
    /// Deployment to simulate.
    pub deployment: Deployment,
    /// Changes of load, popularity and ranks during the run.
    pub scenario: Scenario,
    /// Policy that chooses the expert maps.
    pub placement: PlacementVariant,
    /// Policy that chooses the group of each request.
    pub routing: RoutingVariant,
    /// Seed of the random generator; equal parameters with an equal seed give equal results.
    pub seed: u64,
    /// Simulated length of the run, in seconds.
    pub seconds: usize,
}

/// Simulates one run and returns its results.
pub fn measure(run: &BalanceRun) -> BalanceFigures {
    let deployment = &run.deployment;
    let mut random = ChaCha8Rng::seed_from_u64(run.seed);
    let popularity = KindPopularity::draw(&deployment.shape, deployment.kinds, &mut random);
    let mut groups = start_groups(run, &popularity);
    let mut samples = Vec::with_capacity(run.seconds * groups.len());
    let mut arrivals = 0.0;
    let mut request_number = 0;
    let (min_delay, max_delay) = run.scenario.report_delay();
    let start = Instant::now();
    for second in 0..run.seconds {
        let progress = second as f64 / run.seconds as f64;
        let mix = run.scenario.mix(deployment.kinds, progress);
        arrivals += deployment.in_flight * groups.len() as f64 / REQUEST_SECONDS;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let in_flight: Vec<f64> = groups.iter().map(FakeGroup::load).collect();
            let group = run.routing.choose(request_number, &in_flight, &mut random);
            groups[group].accept(draw_kind(&mix, &mut random));
            request_number += 1;
        }
        for (index, group) in groups.iter_mut().enumerate() {
            let speed = |rank| {
                run.scenario
                    .speed(index, rank, deployment.ranks_per_machine, progress)
            };
            let speeds: Vec<f64> = (0..deployment.shape.ranks).map(speed).collect();
            let delay = random.random_range(min_delay..=max_delay);
            group.deliver_reports(delay, start + Duration::from_secs(second as u64));
            let drift = run.scenario.drift(progress);
            samples.push(group.run_second(second, &popularity, drift, &speeds, &mut random));
        }
    }
    summarize(&samples, deployment.skew_weight)
}

/// Creates the groups with the nominal requests in flight and a map placed for that load.
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

fn summarize(samples: &[GroupSample], skew_weight: f64) -> BalanceFigures {
    let mut skews: Vec<f64> = samples.iter().filter_map(|sample| sample.skew).collect();
    skews.sort_by(f64::total_cmp);
    let stepped = samples.iter().filter(|sample| sample.skew.is_some());
    let bounds: Vec<f64> = stepped.map(|sample| sample.skew_bound).collect();
    let per_hour = 3_600.0 / samples.len().max(1) as f64;
    let loading_seconds = per_hour
        * samples
            .iter()
            .map(|sample| sample.loading_seconds)
            .sum::<f64>();
    let lost_time = per_hour * lost_seconds(&skews) + LOADING_SLOWDOWN * loading_seconds;
    BalanceFigures {
        mean_skew: mean(&skews),
        p99_skew: skews
            .get(skews.len() * 99 / 100)
            .copied()
            .unwrap_or_default(),
        gigabytes: per_hour * samples.iter().map(|sample| sample.bytes).sum::<f64>() / 1e9,
        loading_seconds,
        stalled_seconds: per_hour * (samples.len() - skews.len()) as f64,
        weighted_cost: skew_weight * lost_time + (1.0 - skew_weight) * loading_seconds,
        mean_bound: mean(&bounds),
        weighted_cost_bound: skew_weight * per_hour * lost_seconds(&bounds),
    }
}

/// Sums the time in which the average rank waits for the slowest one, over one-second samples.
fn lost_seconds(skews: &[f64]) -> f64 {
    skews.iter().map(|skew| 1.0 - 1.0 / skew.max(1.0)).sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
