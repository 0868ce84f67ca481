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

/// Skew that experts dealt out in turn have under a usual demand.
const FIRST_MAP_SKEW: f64 = 3.0;

/// Factor over the expected time beyond which a pass counts as slow. Passes vary with the prompts
/// that they read.
const SLOW_FACTOR: f64 = 1.22;

/// Share of the pause objective up to which a pass may take its time. A map is left alone below it
/// and improved only that far: experts that are loaded, orders and samples cost more than they
/// gain while every stream is on time.
const EASY_SHARE: f64 = 0.5;

/// Factor by which requests in flight may rise until the demand shifts again, and the share of the
/// slots for which a map is made at least: after a start or an outage the load rises faster than
/// maps can follow.
const LOAD_MARGIN: f64 = 1.3;
const LEAST_RUNNING_SHARE: f64 = 0.6;

/// Excess of the hottest rank of a set over the mean below which it is left as it is. Samples of
/// the demand are less exact.
const LEAST_EXCESS: f64 = 0.04;

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

/// Load of a group whose passes are judged.
#[derive(Clone, Copy, Debug)]
pub struct PassLoad {
    /// Ranks of the group.
    pub ranks: usize,
    /// Requests in flight at all of them.
    pub in_flight: u32,
    /// Longest pause between events of an answer that is on time; `None` without such routes.
    pub pause_objective: Option<Duration>,
}

impl PassLoad {
    fn running(&self) -> f64 {
        f64::from(self.in_flight) / self.ranks.max(1) as f64
    }

    /// Returns the time of a pass with the map of a new formation, which no demand was made for.
    pub fn first_map_pass(&self, engine: &EngineProfile) -> Duration {
        let skew = engine.experts.map_or(1.0, |experts| {
            1.0 - experts.share + experts.share * FIRST_MAP_SKEW
        });
        Duration::from_secs_f64(fixed_time(engine) + even_time(engine, self.running()) * skew)
    }

    /// Returns whether passes may become too slow with the map of a new formation. It need not be
    /// measured: by the time that streams show it, most of those that have waited for the group are
    /// late.
    pub fn endangers_pauses(&self, engine: &EngineProfile) -> bool {
        let pass = self.first_map_pass(engine).as_secs_f64();
        self.running() >= LEAST_LOAD && self.easy_pass().is_none_or(|easy| pass > easy)
    }

    /// Returns the longest pass that leaves the streams enough of their pauses.
    fn easy_pass(&self) -> Option<f64> {
        let objective = self.pause_objective?;
        Some(objective.as_secs_f64() * EASY_SHARE)
    }
}

/// Returns whether the passes of a group take longer than they would with even ranks, and long
/// enough to endanger the pauses of its streams.
pub fn pass_is_slow(engine: &EngineProfile, load: &PassLoad, pause: Duration) -> bool {
    let Some(experts) = engine.experts else {
        return false;
    };
    let running = load.running();
    let pause = pause.as_secs_f64();
    if running < LEAST_LOAD || load.easy_pass().is_some_and(|easy| pause < easy) {
        return false;
    }
    let skew = 1.0 - experts.share + experts.share * USUAL_SKEW;
    pause > fixed_time(engine) + even_time(engine, running) * skew * SLOW_FACTOR
}

/// Returns the excess of the hottest rank over the mean with which the passes of a group stay
/// easy, also with some more requests.
pub fn tolerated_excess(engine: &EngineProfile, load: &PassLoad) -> f64 {
    let (Some(experts), Some(easy)) = (engine.experts, load.easy_pass()) else {
        return LEAST_EXCESS;
    };
    let slots = f64::from(engine.slots);
    let running = (load.running() * LOAD_MARGIN).clamp(slots * LEAST_RUNNING_SHARE, slots);
    let even = even_time(engine, running) * experts.share;
    let spare = easy - fixed_time(engine) - even_time(engine, running);
    (spare / even.max(f64::MIN_POSITIVE)).clamp(LEAST_EXCESS, 1.0)
}

/// Returns the part of a pass that does not depend on its requests, in seconds.
fn fixed_time(engine: &EngineProfile) -> f64 {
    engine.step.as_secs_f64() * f64::from(engine.stride)
}

/// Returns the part of a pass that its requests take on even ranks, in seconds.
fn even_time(engine: &EngineProfile, running: f64) -> f64 {
    let stride = f64::from(engine.stride);
    let writing = engine.step_per_request.as_secs_f64() * stride * running;
    // Each request reads its prompt once while it writes its answer, `stride` tokens a pass.
    let passes = (engine.usual_answer_tokens / stride).max(1.0);
    writing + running / passes * engine.usual_prompt_tokens / engine.read_tokens_per_s
}

/// Plans a change of the map for a demand; the map is absent if none is worth it. Sets whose
/// hottest rank exceeds the mean by up to `tolerated_excess` are left as they are.
pub fn plan_change(
    experts: &ExpertProfile,
    ranks: usize,
    map: &ExpertMap,
    counts: &ExpertCounts,
    tolerated_excess: f64,
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
        tolerated_excess,
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
