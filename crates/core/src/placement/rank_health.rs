//! Detection of slow ranks, as distinct from ranks that hold a hot expert.

use {std::time::Duration, tokio::time::Instant};

/// Ratio of the step time to the time that the load explains, above which a rank is slow.
const SLOW_RATIO: f64 = 1.15;
/// Ratio of the step time to the time that the load explains, below which a rank has recovered.
const RECOVERED_RATIO: f64 = 1.07;
/// Consecutive reports after which a rank counts as slow or as recovered. A single long step
/// does not mean that the rank is slow.
const REPORTS_IN_A_ROW: u32 = 3;
/// Weights are rounded to this step, so that noise does not change the map.
const WEIGHT_STEP: f64 = 0.05;
/// Lowest weight of a live rank.
const MIN_WEIGHT: f64 = 0.1;
/// Time after which a slow rank gets its full weight again on trial. Its load is low by then, and
/// if its step time hardly depends on the load, the reports would never show a recovery.
const RETRIAL_DELAY: Duration = Duration::from_secs(30 * 60);

/// Load and step time of a rank in the last interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankReport {
    /// Tokens that the rank processed.
    pub load: f64,
    /// Mean duration of its work in a step, without waiting for others, in microseconds.
    pub step_us: f64,
}

#[derive(Clone, Copy, Debug)]
struct RankState {
    weight: f64,
    /// Consecutive reports with a step time above the ratio for a slow rank.
    late_reports: u32,
    /// Consecutive reports of a slow rank with a step time below the ratio for recovery.
    good_reports: u32,
    slow_since: Option<Instant>,
}

/// Health of the ranks of a group, which determines their weights.
#[derive(Clone, Debug)]
pub struct RankHealth {
    ranks: Vec<RankState>,
}

impl RankHealth {
    /// Creates the state of a group whose ranks are all healthy.
    pub fn new(ranks: usize) -> Self {
        Self {
            ranks: vec![RankState::HEALTHY; ranks],
        }
    }

    /// Evaluates one report of every rank, in the order of the ranks, and returns the ranks that
    /// became slow or slower. Reports whose median load or step time is zero are ignored.
    pub fn observe(&mut self, reports: &[RankReport], now: Instant) -> Vec<usize> {
        let median_time = median(reports.iter().map(|report| report.step_us));
        let median_load = median(reports.iter().map(|report| report.load));
        if median_time <= 0.0 || median_load <= 0.0 {
            return Vec::new();
        }
        let ranks = self.ranks.iter_mut().zip(reports).enumerate();
        let slower = |(rank, (state, report)): (usize, (&mut RankState, &RankReport))| {
            let time = report.step_us / median_time;
            let load = report.load / median_load;
            state.observe(time, load, now).then_some(rank)
        };
        ranks.filter_map(slower).collect()
    }

    /// Returns the weights of the ranks: 1 for a healthy rank, less for a slow one.
    pub fn weights(&self) -> Vec<f64> {
        self.ranks.iter().map(|state| state.weight).collect()
    }

    /// Returns the numbers of the slow ranks.
    pub fn slow_ranks(&self) -> Vec<usize> {
        let ranks = self.ranks.iter().enumerate();
        let slow = ranks.filter(|(_, state)| state.slow_since.is_some());
        slow.map(|(rank, _)| rank).collect()
    }
}

impl RankState {
    const HEALTHY: Self = Self {
        weight: 1.0,
        late_reports: 0,
        good_reports: 0,
        slow_since: None,
    };

    /// Evaluates a step time and a load, both relative to the medians, and returns whether the rank
    /// became slower. It is unknown how much of the step time depends on the load. A report is
    /// therefore late only if its step time is too long even for the longest time that the load
    /// could explain, and good only if it fits a time in proportion to the load, the shortest that
    /// a reduced load could explain.
    fn observe(&mut self, time: f64, load: f64, now: Instant) -> bool {
        let lateness = time / load.max(1.0);
        let late = lateness > SLOW_RATIO;
        self.late_reports = if late { self.late_reports + 1 } else { 0 };
        let good = self.slow_since.is_some() && time < RECOVERED_RATIO * load;
        self.good_reports = if good { self.good_reports + 1 } else { 0 };
        let trial = self
            .slow_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RETRIAL_DELAY);
        if self.good_reports >= REPORTS_IN_A_ROW || trial {
            *self = Self::HEALTHY;
        }
        if self.late_reports < REPORTS_IN_A_ROW {
            return false;
        }
        self.late_reports = 0;
        self.slow_since.get_or_insert(now);
        // The weight is the load that the rank could process in the time of the others. It is
        // derived from the present load of the rank, since an earlier weight may not have taken
        // effect yet.
        let before = self.weight;
        self.weight = before.min(round_weight(load.min(1.0) / lateness));
        self.weight < before
    }
}

fn round_weight(weight: f64) -> f64 {
    let rounded = (weight / WEIGHT_STEP).round() * WEIGHT_STEP;
    rounded.clamp(MIN_WEIGHT, 1.0)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
