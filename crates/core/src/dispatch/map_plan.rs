//! When a map is worth a change, and what the change is.

use {
    super::route_table::{EngineProfile, ExpertProfile},
    crate::placement::{
        ChangeBounds, ExpertCounts, ExpertMap, GroupShape, plan_small_change, step_load,
    },
    std::time::Duration,
};

/// Skew that a good map has under a demand that it was made for.
const USUAL_SKEW: f64 = 1.2;

/// Factor over the expected time beyond which a pass counts as slow. Passes vary with the prompts
/// that they read.
const SLOW_FACTOR: f64 = 1.22;

/// Requests for each rank below which a pass is short however uneven the ranks are.
const LEAST_LOAD: f64 = 2.0;

/// Time for which a rank loads experts for one change. Demand shifts every three to four seconds,
/// and a change takes some 300 ms beside the loading.
const LOADING_BUDGET: Duration = Duration::from_millis(250);

/// Least share by which a change shortens the work of the slowest ranks.
const LEAST_IMPROVEMENT: f64 = 0.08;

/// Figures of a planned change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanFigures {
    /// Load of the hottest rank over the mean, with the current map.
    pub skew_before: f64,
    /// The same with the planned map.
    pub skew_after: f64,
    /// Experts that all ranks load.
    pub loads: usize,
    /// Experts that the rank loads that loads most.
    pub loads_per_rank: usize,
}

/// Returns whether the passes of a group take longer than they would with even ranks.
pub fn pass_is_slow(engine: &EngineProfile, ranks: usize, in_flight: u32, pause: Duration) -> bool {
    let Some(experts) = engine.experts else {
        return false;
    };
    let running = f64::from(in_flight) / ranks.max(1) as f64;
    if running < LEAST_LOAD {
        return false;
    }
    let stride = f64::from(engine.stride);
    let skew = 1.0 - experts.share + experts.share * USUAL_SKEW;
    let fixed = engine.step.as_secs_f64() * stride;
    let writing = engine.step_per_request.as_secs_f64() * stride * running * skew;
    // Each request reads its prompt once while it writes its answer, `stride` tokens a pass.
    let passes = (engine.usual_answer_tokens / stride).max(1.0);
    let reading = running / passes * engine.usual_prompt_tokens / engine.read_tokens_per_s * skew;
    pause.as_secs_f64() > fixed + (writing + reading) * SLOW_FACTOR
}

/// Plans a change of the map for a demand; the map is absent if none is worth it.
pub fn plan_change(
    experts: &ExpertProfile,
    ranks: usize,
    map: &ExpertMap,
    counts: &ExpertCounts,
) -> Option<(Option<ExpertMap>, PlanFigures)> {
    let shape = GroupShape {
        layers: experts.sets,
        experts: experts.experts,
        ranks,
        slots: experts.places,
        expert_bytes: experts.bytes,
        store_rate: experts.bytes as f64 / experts.load_time.as_secs_f64().max(0.001),
    };
    let weights = vec![1.0; ranks];
    let before = step_load(map, counts, &weights);
    let bounds = ChangeBounds {
        loads_per_rank: loads_within_budget(experts),
        loads_per_layer: experts.loads_per_set,
    };
    let planned = plan_small_change(&shape, map, counts, &bounds).ok()?;
    let mut figures = PlanFigures {
        skew_before: before.skew(),
        skew_after: before.skew(),
        ..PlanFigures::default()
    };
    let Some(planned) = planned else {
        return Some((None, figures));
    };
    let after = step_load(&planned, counts, &weights);
    figures.skew_after = after.skew();
    figures.loads = map.loads_to(&planned);
    figures.loads_per_rank = loads_per_rank(map, &planned, ranks);
    let improvement = 1.0 - after.slowest / before.slowest.max(f64::MIN_POSITIVE);
    let planned = (improvement >= LEAST_IMPROVEMENT).then_some(planned);
    Some((planned, figures))
}

/// Returns the experts that a rank may load for one change; one at least.
fn loads_within_budget(experts: &ExpertProfile) -> usize {
    let load_time = experts.load_time.as_secs_f64().max(f64::MIN_POSITIVE);
    let loads = LOADING_BUDGET.as_secs_f64() / load_time;
    (loads.floor() as usize).max(1)
}

fn loads_per_rank(map: &ExpertMap, planned: &ExpertMap, ranks: usize) -> usize {
    let mut loads = vec![0; ranks];
    for layer in 0..map.layers() {
        for expert in 0..map.experts() {
            let old = map.replicas(layer, expert);
            let new = planned.replicas(layer, expert).iter();
            for rank in new.filter(|rank| !old.contains(rank)) {
                loads[usize::from(*rank)] += 1;
            }
        }
    }
    loads.into_iter().max().unwrap_or(0)
}
