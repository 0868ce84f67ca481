//! Measurement of the demand for experts over the time since it last shifted.
//!
//! Load pattern: the demand stays the same for some seconds and then shifts at once. A short sample
//! shows the new hottest experts, but the others are lost in its noise, and a long sample mixes two
//! demands. The window therefore starts with a short sample and grows as long as new samples agree
//! with it.

use crate::placement::ExpertCounts;

/// Distance between two demands from which on the demand counts as shifted: the sum over the
/// experts of a layer set of the differences between their shares of the tokens. Samples of the
/// same demand differ by 0.1 to 0.4, since the topics of the running requests vary; a shift moves
/// half of the demand or more.
const SHIFT_DISTANCE: f64 = 0.45;

/// Weight of a rank in the demand, in tokens.
const RANK_WEIGHT: f64 = 1e6;

/// Running counts of the tokens that each expert has processed for the requests of a rank, set by
/// set.
pub type RankCounts = Vec<u64>;

/// Demand for the experts since it last shifted.
#[derive(Clone, Debug, Default)]
pub struct DemandWindow {
    start: Vec<RankCounts>,
    demand: Option<ExpertCounts>,
}

impl DemandWindow {
    /// Adds a sample, given by the running counts of the sampled ranks at its start and at its end,
    /// and returns the demand since it last shifted. Each rank counts equally: a rank that reads a
    /// prompt during the sample processes ten times as many tokens, all of them for one request,
    /// although they take the engine less time than the answers that it generates.
    ///
    /// Returns `None` if the number of counts does not match `sets` and `experts`, or if the sample
    /// shows no demand.
    pub fn observe(
        &mut self,
        sets: usize,
        experts: usize,
        start: Vec<RankCounts>,
        end: &[RankCounts],
    ) -> Option<ExpertCounts> {
        let sample = demand_between(sets, experts, &start, end)?;
        let agrees = self
            .demand
            .as_ref()
            .is_some_and(|demand| distance(demand, &sample) < SHIFT_DISTANCE);
        let extended = agrees.then(|| demand_between(sets, experts, &self.start, end));
        let demand = extended.flatten().unwrap_or_else(|| {
            self.start = start;
            sample
        });
        self.demand = Some(demand.clone());
        Some(demand)
    }

    /// Returns the demand up to the latest sample; `None` before the first one.
    pub fn latest(&self) -> Option<&ExpertCounts> {
        self.demand.as_ref()
    }
}

/// Returns the demand between two readings of the counts of some ranks; `None` if they do not match
/// or if no rank has processed a token.
fn demand_between(
    sets: usize,
    experts: usize,
    start: &[RankCounts],
    end: &[RankCounts],
) -> Option<ExpertCounts> {
    if start.len() != end.len() {
        return None;
    }
    let mut demand = ExpertCounts::new(sets, experts);
    for (start, end) in start.iter().zip(end) {
        let tokens = difference(sets, experts, start, end)?;
        let total = tokens.total();
        if total > 0.0 {
            demand.add(&tokens, RANK_WEIGHT / total);
        }
    }
    (demand.total() > 0.0).then_some(demand)
}

fn difference(sets: usize, experts: usize, start: &[u64], end: &[u64]) -> Option<ExpertCounts> {
    let mut counts = ExpertCounts::new(sets, experts);
    if start.len() != counts.tokens().len() || end.len() != start.len() {
        return None;
    }
    for (tokens, (start, end)) in counts.tokens_mut().iter_mut().zip(start.iter().zip(end)) {
        *tokens = end.saturating_sub(*start) as f64;
    }
    Some(counts)
}

/// Returns the distance between two demands as the mean over the layer sets, from 0 to 2.
fn distance(left: &ExpertCounts, right: &ExpertCounts) -> f64 {
    if left.tokens().len() != right.tokens().len() {
        return f64::INFINITY;
    }
    let sets = left.layers().max(1);
    let by_set = (0..left.layers()).map(|set| {
        let (left, right) = (left.layer(set), right.layer(set));
        let left_sum = left.iter().sum::<f64>().max(1.0);
        let right_sum = right.iter().sum::<f64>().max(1.0);
        let pairs = left.iter().zip(right);
        pairs
            .map(|(left, right)| (left / left_sum - right / right_sum).abs())
            .sum::<f64>()
    });
    by_set.sum::<f64>() / sets as f64
}
