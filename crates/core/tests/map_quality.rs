//! Checks how close a single change of the expert map after a shift of the demand comes to the
//! lower bound of any placement, at the group sizes that are in use.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    sassafrasslip_core::{
        dispatch::{ExpertProfile, map_plan::plan_change},
        placement::{ExpertCounts, ExpertMap, GroupShape, step_bound, step_load},
    },
    sassafrasslip_testkit::test_cases,
    std::time::{Duration, Instant},
};

/// Number of topics of requests. A shift of the demand changes which topics are requested.
const TOPICS: usize = 9;

/// Share of the tokens whose experts do not depend on the topic.
const COMMON_SHARE: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
struct GroupSize {
    ranks: usize,
    sets: usize,
    experts: usize,
    places: usize,
    loads_per_set: usize,
    load_ms: u64,
}

const SMALL: GroupSize = GroupSize {
    ranks: 12,
    sets: 3,
    experts: 96,
    places: 11,
    loads_per_set: 4,
    load_ms: 83,
};
const MEDIUM: GroupSize = GroupSize {
    ranks: 24,
    sets: 16,
    experts: 96,
    places: 5,
    loads_per_set: 2,
    load_ms: 40,
};
const LARGE: GroupSize = GroupSize {
    ranks: 64,
    sets: 12,
    experts: 256,
    places: 5,
    loads_per_set: 2,
    load_ms: 38,
};
const LARGEST: GroupSize = GroupSize {
    ranks: 256,
    sets: 12,
    experts: 512,
    places: 4,
    loads_per_set: 2,
    load_ms: 38,
};

impl GroupSize {
    fn profile(self) -> ExpertProfile {
        ExpertProfile {
            sets: self.sets,
            experts: self.experts,
            places: self.places,
            loads_per_set: self.loads_per_set,
            share: 0.85,
            bytes: 210_000_000,
            load_time: Duration::from_millis(self.load_ms),
        }
    }

    fn shape(self) -> GroupShape {
        GroupShape {
            layers: self.sets,
            experts: self.experts,
            ranks: self.ranks,
            slots: self.places,
            expert_bytes: 210_000_000,
            store_rate: 5.5e9,
        }
    }
}

/// Shares of the tokens that each expert gets, by set: those of each topic, and the common part.
struct DemandModel {
    size: GroupSize,
    common: Vec<Vec<f64>>,
    topics: Vec<Vec<Vec<f64>>>,
}

impl DemandModel {
    fn draw(size: GroupSize, generator: &mut StdRng) -> Self {
        let mut sets = || {
            let sets = 0..size.sets;
            sets.map(|_| expert_shares(size.experts, generator))
                .collect()
        };
        let common = sets();
        let topics = (0..TOPICS).map(|_| sets()).collect();
        Self {
            size,
            common,
            topics,
        }
    }

    fn demand(&self, weights: &[f64; TOPICS]) -> ExpertCounts {
        let mut counts = ExpertCounts::new(self.size.sets, self.size.experts);
        let total: f64 = weights.iter().sum();
        for set in 0..self.size.sets {
            let tokens = counts.layer_mut(set);
            for (expert, tokens) in tokens.iter_mut().enumerate() {
                let topics = self.topics.iter().zip(weights);
                let topical: f64 = topics
                    .map(|(topic, weight)| topic[set][expert] * weight / total)
                    .sum();
                let common = self.common[set][expert];
                *tokens = 1e6 * (COMMON_SHARE * common + (1.0 - COMMON_SHARE) * topical);
            }
        }
        counts
    }
}

/// Returns the shares of the experts of a set, which fall by a power law in a random order.
fn expert_shares(experts: usize, generator: &mut StdRng) -> Vec<f64> {
    let mut shares: Vec<_> = (1..=experts)
        .map(|place| (place as f64).powf(-0.8))
        .collect();
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|share| *share /= sum);
    shares.shuffle(generator);
    shares
}

fn topic_weights(generator: &mut StdRng) -> [f64; TOPICS] {
    let mut weights = [0.05; TOPICS];
    weights[generator.random_range(0..TOPICS)] = 1.0;
    weights[generator.random_range(0..TOPICS)] += 0.4;
    weights
}

/// Changes the map once after each of six shifts. The mean ratio of the slowest rank's load to the
/// bound must not exceed `limit`.
fn check_quality(size: GroupSize, limit: f64) {
    let mut generator = StdRng::seed_from_u64(7);
    let model = DemandModel::draw(size, &mut generator);
    let weights = vec![1.0; size.ranks];
    let mut map = ExpertMap::round_robin(0, size.sets, size.experts, size.ranks);
    let mut ratios = Vec::new();
    for _ in 0..6 {
        let demand = model.demand(&topic_weights(&mut generator));
        let started_at = Instant::now();
        let (planned, figures) =
            plan_change(&size.profile(), &vec![1.0; size.ranks], &map, &demand, 0.04).unwrap();
        let took = started_at.elapsed();
        map = planned.unwrap_or(map);
        let slowest = step_load(&map, &demand, &weights).slowest;
        let bound = step_bound(&size.shape(), &demand, &weights);
        let ratio = slowest / bound.slowest;
        println!(
            "{} ranks: {figures:?}, {ratio:.3} of the bound, {took:?}",
            size.ranks
        );
        ratios.push(ratio);
    }
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    assert!(mean <= limit, "{ratios:?}");
}

test_cases! {
    fn check_quality(size: GroupSize, limit: f64);
    twelve_ranks: (SMALL, 1.1);
    twenty_four_ranks: (MEDIUM, 1.1);
    sixty_four_ranks: (LARGE, 1.1);
    two_hundred_and_fifty_six_ranks: (LARGEST, 1.1);
}
