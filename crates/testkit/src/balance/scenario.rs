//! Scenarios: changes of request mix, expert popularity and rank speed during a run.

/// Share of the expert popularity that has moved to other experts at the end of a slow drift.
const MAX_DRIFT: f64 = 0.5;
/// Speed of the slow rank; 1 is the normal speed.
const SLOW_SPEED: f64 = 0.6;

/// Scenario of a run. The `progress` of a run is its elapsed share, from 0 to 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The mix of request kinds stays the same.
    SteadyMix,
    /// The mix and the expert popularity change gradually.
    SlowDrift,
    /// The mix is reversed in the middle of the run.
    SuddenSwitch,
    /// One rank of the first group becomes slow after a third of the run.
    SlowRank,
    /// The first group loses a machine in the middle of the run.
    MachineLost,
    /// Slow drift with reports that arrive 1 to 10 s late.
    LateReports,
}

impl Scenario {
    /// All scenarios, in the order in which they are simulated.
    pub const ALL: [Self; 6] = [
        Self::SteadyMix,
        Self::SlowDrift,
        Self::SuddenSwitch,
        Self::SlowRank,
        Self::MachineLost,
        Self::LateReports,
    ];

    /// Returns the name in the printed tables.
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

    /// Returns the share of each of `kinds` request kinds among the arrivals; the sum is 1.
    pub fn mix(self, kinds: usize, progress: f64) -> Vec<f64> {
        // The first kinds dominate at the start, and the last ones at the end.
        let end = match self {
            Self::SlowDrift | Self::LateReports => progress,
            Self::SuddenSwitch if progress >= 0.5 => 1.0,
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

    /// Returns the share of the expert popularity that has moved to other experts, from 0 to 1.
    pub fn drift(self, progress: f64) -> f64 {
        match self {
            Self::LateReports | Self::SlowDrift => MAX_DRIFT * progress,
            _ => 0.0,
        }
    }

    /// Returns the relative speed of a rank: 1 is normal, and 0 means that its machine is lost.
    pub fn speed(self, group: usize, rank: usize, ranks_per_machine: usize, progress: f64) -> f64 {
        let affected = group == 0;
        match self {
            Self::SlowRank if affected && rank == 5 && progress >= 1.0 / 3.0 => SLOW_SPEED,
            Self::MachineLost if affected && rank < ranks_per_machine && progress >= 0.5 => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the shortest and the longest delay of reports, in seconds.
    pub fn report_delay(self) -> (usize, usize) {
        if self == Self::LateReports {
            (1, 10)
        } else {
            (1, 1)
        }
    }
}
