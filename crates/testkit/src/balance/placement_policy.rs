//! Policies for the expert map of one group.

use {
    sassafrasslip_core::placement::{
        CountsAverage, ExpertCounts, ExpertMap, GroupShape, PlacementInput, PlacementPolicy,
        RankHealth, RankReport, decide_placement, place_all,
    },
    std::time::Duration,
    tokio::time::Instant,
};

/// Policy of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementVariant {
    /// The map changes only to replace lost experts.
    Static,
    /// All experts are placed anew at every interval, whatever that moves.
    EveryInterval,
    /// The decision of the core.
    Weighed {
        /// Name in the tables.
        name: &'static str,
        /// `placement.hysteresis`, from 0 to 1.
        hysteresis: f64,
        /// `placement.horizon`, in seconds.
        horizon: u64,
        /// Half-life of the counts, in seconds.
        half_life: u64,
    },
}

impl PlacementVariant {
    /// The decision of the core with the default settings.
    pub const OURS: Self = Self::weighed("ours", 0.10, 600, 10);

    /// Creates a variant of the decision of the core.
    pub const fn weighed(
        name: &'static str,
        hysteresis: f64,
        horizon: u64,
        half_life: u64,
    ) -> Self {
        Self::Weighed {
            name,
            hysteresis,
            horizon,
            half_life,
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &'static str {
        match self {
            Self::EveryInterval => "every interval",
            Self::Static => "static",
            Self::Weighed { name, .. } => name,
        }
    }

    fn settings(&self, skew_weight: f64) -> PlacementPolicy {
        let (enabled, horizon, hysteresis) = match self {
            Self::EveryInterval | Self::Static => (false, 600, 0.0),
            Self::Weighed {
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
            Self::Weighed { half_life, .. } => Duration::from_secs(*half_life),
        }
    }
}

/// Placer of one group.
#[derive(Debug)]
pub struct GroupPlacer {
    variant: PlacementVariant,
    settings: PlacementPolicy,
    average: CountsAverage,
    health: RankHealth,
}

impl GroupPlacer {
    /// Creates a placer.
    pub fn new(variant: PlacementVariant, shape: &GroupShape, skew_weight: f64) -> Self {
        Self {
            variant,
            settings: variant.settings(skew_weight),
            average: CountsAverage::new(shape.layers, shape.experts, variant.half_life()),
            health: RankHealth::new(shape.ranks),
        }
    }

    /// Takes the reports of one second.
    pub fn observe(&mut self, counts: &ExpertCounts, ranks: &[RankReport], now: Instant) {
        self.average.observe(counts, Duration::from_secs(1));
        self.health.observe(ranks, now);
    }

    /// Returns a new map, if the group should get one. Lost ranks are known to every policy.
    pub fn decide(&self, shape: &GroupShape, map: &ExpertMap, lost: &[bool]) -> Option<ExpertMap> {
        let counts = self.average.rates()?;
        let mut weights = match self.variant {
            PlacementVariant::Weighed { .. } => self.health.weights(),
            PlacementVariant::EveryInterval | PlacementVariant::Static => vec![1.0; shape.ranks],
        };
        for (weight, lost) in weights.iter_mut().zip(lost) {
            *weight *= if *lost { 0.0 } else { 1.0 };
        }
        let in_use = map.has_replica_on(|rank| lost[usize::from(rank)]);
        if self.variant == PlacementVariant::EveryInterval && !in_use {
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
