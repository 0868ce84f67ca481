//! Samples of the demand for the experts of a group.

use {
    super::{super::engines::GroupEngines, GroupSituation, Placer},
    sassafrasslip_core::{
        dispatch::{ExpertProfile, RankControl},
        ids::GroupName,
        placement::ExpertCounts,
    },
    std::time::Duration,
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time over which the choices of experts are sampled. A rank makes some thousand choices in it,
/// which show the hottest experts well.
const SAMPLE_TIME: Duration = Duration::from_millis(100);

/// Ranks whose choices are sampled. Reading counts from another instance is priced, and requests
/// are spread evenly over the ranks.
const SAMPLED_RANKS: usize = 2;

/// Samples how often the requests of some ranks choose each expert. While the demand stays as it
/// was, the window reaches back to the sample that first showed it.
pub(super) async fn sample(
    placer: &Placer,
    situation: &GroupSituation,
    experts: &ExpertProfile,
) -> Option<ExpertCounts> {
    let engines = &situation.engines;
    let ranks = sampled_ranks(&situation.name, engines.ranks());
    let before = read_picks(engines, &ranks).await?;
    sleep(SAMPLE_TIME).await;
    let after = read_picks(engines, &ranks).await?;
    let mut groups = placer.groups.borrow_mut();
    let window = &mut groups.get_mut(&situation.name)?.demand;
    window.observe(experts.sets, experts.experts, before, after)
}

/// Returns the ranks whose choices are sampled, the same ones each time.
fn sampled_ranks(name: &GroupName, ranks: usize) -> Vec<usize> {
    let first = xxh3_64(name.as_str().as_bytes()) as usize % ranks.max(1);
    let sampled = SAMPLED_RANKS.min(ranks);
    let step = ranks / sampled.max(1);
    (0..sampled)
        .map(|index| (first + index * step) % ranks)
        .collect()
}

async fn read_picks(engines: &GroupEngines, ranks: &[usize]) -> Option<Vec<u64>> {
    let picks = ranks.iter().map(|rank| engines.picks(*rank));
    let picks = futures_util::future::join_all(picks).await;
    let mut sums: Vec<u64> = Vec::new();
    for picks in picks {
        let counts = picks?.counts;
        sums.resize(counts.len(), 0);
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    Some(sums)
}
