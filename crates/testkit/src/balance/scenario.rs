//! What happens during a run.

/// Share of the popularity that moves to other experts in a slow drift.
const DRIFT: f64 = 0.5;
/// Speed of the slow rank.
const SLOW_SPEED: f64 = 0.6;

/// Course of a run. Times are shares of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The mix stays as it is.
    SteadyMix,
    /// Mix and popularity move slowly.
    SlowDrift,
    /// The mix turns around in the middle of the run.
    SuddenSwitch,
    /// One rank of the first group becomes slow after a third of the run.
    SlowRank,
    /// The first group loses a machine in the middle of the run.
    MachineLost,
    /// Slow drift, with reports that are 1 to 10 s late.
    LateReports,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::SteadyMix,
        Self::SlowDrift,
        Self::SuddenSwitch,
        Self::SlowRank,
        Self::MachineLost,
        Self::LateReports,
    ];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::LateReports => "late reports",
            Self::MachineLost => "machine lost",
            Self::SlowDrift => "slow drift",
            Self::SlowRank => "slow rank",
            Self::SteadyMix => "steady mix",
            Self::SuddenSwitch => "sudden switch",
        }
    }

    /// Returns the share of each kind among the arrivals at a point of the run.
    pub fn mix(self, kinds: usize, point: f64) -> Vec<f64> {
        // The first kinds prevail at the start, the last ones at the end.
        let end = match self {
            Self::SlowDrift | Self::LateReports => point,
            Self::SuddenSwitch if point >= 0.5 => 1.0,
            _ => 0.0,
        };
        let weight = |kind: usize| {
            let start_weight = 0.4_f64.powi(kind as i32);
            let end_weight = 0.4_f64.powi((kinds - 1 - kind) as i32);
            start_weight * (1.0 - end) + end_weight * end
        };
        let weights: Vec<f64> = (0..kinds).map(weight).collect();
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }

    /// Returns the share of the popularity that has moved.
    pub fn drift(self, point: f64) -> f64 {
        match self {
            Self::LateReports | Self::SlowDrift => DRIFT * point,
            _ => 0.0,
        }
    }

    /// Returns the speed of a rank; 0 after its machine was lost.
    pub fn speed(self, group: usize, rank: usize, machine_ranks: usize, point: f64) -> f64 {
        let affected = group == 0;
        match self {
            Self::SlowRank if affected && rank == 5 && point >= 1.0 / 3.0 => SLOW_SPEED,
            Self::MachineLost if affected && rank < machine_ranks && point >= 0.5 => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the least and the largest delay of reports, in seconds.
    pub fn report_delay(self) -> (usize, usize) {
        if self == Self::LateReports {
            (1, 10)
        } else {
            (1, 1)
        }
    }
}
