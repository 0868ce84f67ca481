//! Placement policies under comparison, and their state for one group.

use {
    sassafrasslip_core::placement::{
        CountsAverage, ExpertCounts, ExpertMap, GroupShape, PlacementInput, PlacementPolicy,
        RankHealth, RankReport, decide_placement, place_all,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Placement policy of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementVariant {
    /// The map changes only to replace lost experts.
    Static,
    /// All experts are placed anew at every decision, regardless of the cost of loading them.
    EveryInterval,
    /// The placement decision of the core, which weighs the benefit of a new map against the
    /// cost of loading its experts.
    CostBenefit {
        /// Name in the printed tables.
        name: &'static str,
        /// `placement.hysteresis`, from 0 to 1.
        hysteresis: f64,
        /// `placement.horizon`, in seconds.
        horizon: u64,
        /// Half-life of the averaged expert counts, in seconds.
        half_life: u64,
    },
}

impl PlacementVariant {
    /// The placement decision of the core with the default settings.
    pub const CORE_DEFAULT: Self = Self::cost_benefit("ours", 0.10, 600, 10);

    /// Returns the placement decision of the core with other settings; the fields of
    /// [`Self::CostBenefit`] describe the arguments.
    pub const fn cost_benefit(
        name: &'static str,
        hysteresis: f64,
        horizon: u64,
        half_life: u64,
    ) -> Self {
        Self::CostBenefit {
            name,
            hysteresis,
            horizon,
            half_life,
        }
    }

    /// Returns the name in the printed tables.
    pub fn name(&self) -> &'static str {
        match self {
            Self::EveryInterval => "every interval",
            Self::Static => "static",
            Self::CostBenefit { name, .. } => name,
        }
    }

    fn settings(&self, skew_weight: f64) -> PlacementPolicy {
        let (enabled, horizon, hysteresis) = match self {
            Self::EveryInterval | Self::Static => (false, 600, 0.0),
            Self::CostBenefit {
                horizon,
                hysteresis,
                ..
            } => (true, *horizon, *hysteresis),
        };
        PlacementPolicy {
            enabled,
            skew_weight,
            horizon: Duration::from_secs(horizon),
            hysteresis,
            sources: Vec::new(),
        }
    }

    fn half_life(&self) -> Duration {
        match self {
            Self::EveryInterval | Self::Static => Duration::from_secs(30),
            Self::CostBenefit { half_life, .. } => Duration::from_secs(*half_life),
        }
    }
}

/// Chooses the expert maps of one group from the reports of its ranks.
#[derive(Debug)]
pub struct GroupPlacer {
    variant: PlacementVariant,
    settings: PlacementPolicy,
    average: CountsAverage,
    health: RankHealth,
}

impl GroupPlacer {
    /// Creates a placer that has seen no reports yet.
    pub fn new(variant: PlacementVariant, shape: &GroupShape, skew_weight: f64) -> Self {
        Self {
            variant,
            settings: variant.settings(skew_weight),
            average: CountsAverage::new(shape.layers, shape.experts, variant.half_life()),
            health: RankHealth::new(shape.ranks),
        }
    }

    /// Adds the expert counts and rank reports of one second to the averages.
    pub fn observe(&mut self, counts: &ExpertCounts, ranks: &[RankReport], now: Instant) {
        self.average.observe(counts, Duration::from_secs(1));
        self.health.observe(ranks, now);
    }

    /// Returns a new map, or `None` if the group keeps its map. Every policy excludes the ranks
    /// that are marked in `lost`; only [`PlacementVariant::CostBenefit`] also reduces the load of
    /// slow ranks.
    pub fn decide(&self, shape: &GroupShape, map: &ExpertMap, lost: &[bool]) -> Option<ExpertMap> {
        let counts = self.average.rates()?;
        let mut weights = match self.variant {
            PlacementVariant::CostBenefit { .. } => self.health.weights(),
            PlacementVariant::EveryInterval | PlacementVariant::Static => vec![1.0; shape.ranks],
        };
        for (weight, lost) in weights.iter_mut().zip(lost) {
            *weight *= if *lost { 0.0 } else { 1.0 };
        }
        let lost_rank_in_use = map.has_replica_on(|rank| lost[usize::from(rank)]);
        if self.variant == PlacementVariant::EveryInterval && !lost_rank_in_use {
            return place_all(shape, &counts, &weights, map.version()).ok();
        }
        let input = PlacementInput {
            shape,
            map,
            counts: &counts,
            weights: &weights,
        };
        decide_placement(&input, &self.settings).map
    }
}
