//! Planning of expert map changes: when a group needs a better map, and which change to make.

use {
    super::{
        pass_model::PassModel,
        route_table::{EngineProfile, ExpertProfile},
    },
    crate::placement::{
        ChangeBounds, ExpertCounts, ExpertMap, GroupShape, plan_small_change, step_load,
    },
    std::time::Duration,
};

/// Skew (load of the hottest rank over the mean load) of a good map under the demand for which it
/// was planned.
const PLANNED_MAP_SKEW: f64 = 1.2;

/// Skew of the map of a new formation, which assigns the experts to the ranks in turn, under a
/// usual demand.
pub const NEW_FORMATION_SKEW: f64 = 3.0;

/// Ratio of the actual to the expected duration above which a pass counts as slow. The duration
/// varies with the prompts that are read in a pass.
const SLOW_FACTOR: f64 = 1.22;

/// Share of the pause objective up to which the duration of a pass is acceptable. Below it a map is
/// not changed, and a change does not aim for shorter passes: while every stream is on time,
/// loading experts, sending orders and sampling the demand cost more than they gain.
const ACCEPTABLE_PASS_SHARE: f64 = 0.5;

/// Factor by which the requests in flight may rise before the demand shifts again, and the lowest
/// share of the slots in use for which a map is planned. After a start or an outage, the load rises
/// faster than maps can be changed.
const LOAD_MARGIN: f64 = 1.3;
const MIN_RUNNING_SHARE: f64 = 0.6;

/// Lowest excess of the hottest rank over the mean, as a share of the mean, that makes a layer set
/// worth changing. Samples of the demand are not accurate enough for smaller differences.
const MIN_EXCESS: f64 = 0.04;

/// Number of running requests per rank below which passes are short however unbalanced the ranks
/// are.
const MIN_LOAD: f64 = 2.0;

/// Longest time for which a rank loads experts for one change. The demand shifts every three to
/// four seconds, and a change takes some 300 ms in addition to the loading.
const LOADING_BUDGET: Duration = Duration::from_millis(250);

/// Longest expected duration of a pass. A profile whose numbers give a longer one or none is odd.
const LONGEST_PASS: Duration = Duration::from_secs(3600);

/// Lowest share by which a change must shorten the work of the slowest ranks to be worth its cost.
const MIN_IMPROVEMENT: f64 = 0.08;

/// Effect and cost of a planned change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanFigures {
    /// Ratio of the hottest rank's load to the mean load with the current map.
    pub skew_before: f64,
    /// Ratio of the hottest rank's load to the mean load with the planned map.
    pub skew_after: f64,
    /// Number of experts that all ranks together load.
    pub loads: usize,
    /// Highest number of experts that a single rank loads.
    pub loads_per_rank: usize,
}

/// Load and objective of a group, from which the expected duration of its passes is computed.
#[derive(Clone, Copy, Debug)]
pub struct PassLoad {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Number of requests in flight at all ranks together.
    pub in_flight: u32,
    /// Objective for the pause between two events of a stream; `None` if no route to the service
    /// has one.
    pub pause_objective: Option<Duration>,
}

impl PassLoad {
    fn running(&self) -> f64 {
        f64::from(self.in_flight) / self.ranks.max(1) as f64
    }

    /// Returns the expected duration of a pass with the map of a new formation, which was not
    /// planned for any demand.
    pub fn new_formation_pass(&self, engine: &EngineProfile) -> Duration {
        let model = PassModel::new(engine);
        let pass = Duration::try_from_secs_f64(model.duration(self.running(), NEW_FORMATION_SKEW));
        pass.map_or(LONGEST_PASS, |pass| pass.min(LONGEST_PASS))
    }

    /// Returns whether passes are expected to be too slow with the map of a new formation. This is
    /// estimated and not observed, because by the time streams show slow passes, most of the
    /// requests that have waited for the group are late.
    pub fn expects_slow_passes(&self, engine: &EngineProfile) -> bool {
        let pass = self.new_formation_pass(engine).as_secs_f64();
        self.running() >= MIN_LOAD
            && self
                .acceptable_pass()
                .is_none_or(|acceptable| pass > acceptable)
    }

    /// Returns the longest acceptable duration of a pass, in seconds; `None` without a pause
    /// objective.
    fn acceptable_pass(&self) -> Option<f64> {
        let objective = self.pause_objective?;
        Some(objective.as_secs_f64() * ACCEPTABLE_PASS_SHARE)
    }
}

/// Returns whether the passes of a group, which last `pause`, take longer than they would with a
/// good map, and also exceed the acceptable share of the pause objective.
pub fn pass_is_slow(engine: &EngineProfile, load: &PassLoad, pause: Duration) -> bool {
    if engine.experts.is_none() {
        return false;
    }
    let running = load.running();
    let pause = pause.as_secs_f64();
    if running < MIN_LOAD
        || load
            .acceptable_pass()
            .is_some_and(|acceptable| pause < acceptable)
    {
        return false;
    }
    let model = PassModel::new(engine);
    let variable = model.duration(running, PLANNED_MAP_SKEW) - model.fixed();
    pause > model.fixed() + variable * SLOW_FACTOR
}

/// Returns the excess of the hottest rank over the mean, as a share of the mean, up to which the
/// passes of a group stay acceptable even if its load rises somewhat.
pub fn tolerated_excess(engine: &EngineProfile, load: &PassLoad) -> f64 {
    let (Some(experts), Some(acceptable)) = (engine.experts, load.acceptable_pass()) else {
        return MIN_EXCESS;
    };
    let slots = f64::from(engine.slots);
    let running = (load.running() * LOAD_MARGIN).clamp(slots * MIN_RUNNING_SHARE, slots);
    let model = PassModel::new(engine);
    let balanced = model.balanced(running) * experts.share;
    let spare = acceptable - model.duration(running, 1.0);
    (spare / balanced.max(f64::MIN_POSITIVE)).clamp(MIN_EXCESS, 1.0)
}

/// Plans a change of the map for the demand in `counts`. The returned map is `None` if no change is
/// worth its cost, and the whole result is `None` if the planning fails. `weights` contains the speed
/// of each rank, 1 for a rank that is not slow. Layer sets whose hottest rank exceeds the mean by at
/// most `tolerated_excess`, as a share of the mean, are not changed.
pub fn plan_change(
    experts: &ExpertProfile,
    weights: &[f64],
    map: &ExpertMap,
    counts: &ExpertCounts,
    tolerated_excess: f64,
) -> Option<(Option<ExpertMap>, PlanFigures)> {
    let ranks = weights.len();
    let shape = GroupShape {
        layers: experts.sets,
        experts: experts.experts,
        ranks,
        slots: experts.places,
        expert_bytes: experts.bytes,
        store_rate: experts.bytes as f64 / experts.load_time.as_secs_f64().max(0.001),
    };
    let before = step_load(map, counts, weights);
    let bounds = ChangeBounds {
        loads_per_rank: loads_within_budget(experts),
        loads_per_layer: experts.loads_per_set,
        tolerated_excess,
    };
    let planned = plan_small_change(&shape, map, counts, weights, &bounds).ok()?;
    let mut figures = PlanFigures {
        skew_before: before.skew(),
        skew_after: before.skew(),
        ..PlanFigures::default()
    };
    let Some(planned) = planned else {
        return Some((None, figures));
    };
    let after = step_load(&planned, counts, weights);
    figures.skew_after = after.skew();
    figures.loads = map.loads_to(&planned);
    figures.loads_per_rank = loads_per_rank(map, &planned, ranks);
    let improvement = 1.0 - after.slowest / before.slowest.max(f64::MIN_POSITIVE);
    let planned = (improvement >= MIN_IMPROVEMENT).then_some(planned);
    Some((planned, figures))
}

/// Returns whether other ranks are slow than before, given the speed of each rank before and now. A
/// slowdown that varies is no change: the map has been planned for it, and long passes then have
/// another cause.
pub fn slow_ranks_changed(before: &[f64], now: &[f64]) -> bool {
    let is_slow = |weight: &f64| *weight < 1.0;
    !before.iter().map(is_slow).eq(now.iter().map(is_slow))
}

/// Returns the number of experts that a rank may load for one change, at least 1.
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
