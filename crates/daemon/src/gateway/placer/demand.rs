//! Samples how often requests choose each expert of a model group.
//!
//! Load pattern: a skewed and shifting demand, in which a few hot experts slow down the ranks that
//! hold them. The samples show the placer which experts to move or replicate.

use {
    super::{super::engines::GroupEngines, GroupSnapshot, Placer},
    sassafrasslip_core::{
        dispatch::{ExpertProfile, RankControl, demand_window::RankCounts},
        ids::GroupName,
        placement::ExpertCounts,
    },
    std::time::Duration,
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// Shortest and longest time after which a sample is read. A rank makes a few thousand expert
/// choices in the shortest one, enough to show the hottest experts clearly. The longest one applies
/// when the latest passes were much longer than the present ones may be, as after a stall.
const SAMPLE_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(250));

/// Number of times that a sample is read until it shows a pass. The time between two reads doubles,
/// so that the last one is read after 1.75 s, which is longer than the passes of a slow group.
const MAX_SAMPLE_READS: u32 = 3;

/// Duration of a sample in passes. Choices are counted once in each pass, and the duration of passes
/// varies.
const SAMPLED_PASSES: f64 = 1.2;

/// Number of ranks that are sampled. Each read of counts from another instance is billed, and two
/// ranks represent the group because requests are spread evenly over its ranks.
const SAMPLED_RANKS: usize = 2;

/// Samples how often the requests on some ranks choose each expert, and returns the counts over the
/// group's demand window. While the demand does not change, the window reaches back to the sample
/// that first showed it. `pass` is the duration of a pass. Returns `None` if a sampled rank does not
/// answer, if the group is no longer tracked, or if the window yields no counts.
pub(super) async fn sample(
    placer: &Placer,
    snapshot: &GroupSnapshot,
    experts: &ExpertProfile,
    pass: Duration,
) -> Option<ExpertCounts> {
    let engines = &snapshot.engines;
    let ranks = sampled_ranks(&snapshot.name, engines.ranks());
    let before = read_counts(engines, &ranks).await?;
    let (min_time, max_time) = SAMPLE_TIME_RANGE;
    let mut time = pass.mul_f64(SAMPLED_PASSES).clamp(min_time, max_time);
    let mut after = Vec::new();
    for _ in 0..MAX_SAMPLE_READS {
        sleep(time).await;
        after = read_counts(engines, &ranks).await?;
        if after != before {
            break;
        }
        time *= 2;
    }
    let mut groups = placer.groups.borrow_mut();
    let window = &mut groups.get_mut(&snapshot.name)?.demand;
    window.observe(experts.sets, experts.experts, before, &after)
}

/// Returns the ranks to sample. They depend only on the group's name and size, so that successive
/// samples are comparable.
fn sampled_ranks(name: &GroupName, ranks: usize) -> Vec<usize> {
    let first = xxh3_64(name.as_str().as_bytes()) as usize % ranks.max(1);
    let sampled = SAMPLED_RANKS.min(ranks);
    let step = ranks / sampled.max(1);
    (0..sampled)
        .map(|index| (first + index * step) % ranks)
        .collect()
}

async fn read_counts(engines: &GroupEngines, ranks: &[usize]) -> Option<Vec<RankCounts>> {
    let activations = ranks.iter().map(|rank| engines.activations(*rank));
    let activations = futures_util::future::join_all(activations).await;
    activations
        .into_iter()
        .map(|activations| activations.map(|activations| activations.counts))
        .collect()
}
