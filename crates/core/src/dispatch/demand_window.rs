//! Measurement of the demand for experts over the time since it last shifted.
//!
//! Load pattern: the demand stays the same for some seconds and then shifts at once. A short sample
//! shows the new hottest experts, but the others are lost in its noise, and a long sample mixes two
//! demands. The window therefore starts with a short sample and grows as long as new samples agree
//! with it.

use crate::placement::ExpertCounts;

/// Distance between two demands from which on the demand counts as shifted: the sum over the
/// experts of a layer set of the differences between their shares of the tokens. Samples of the
/// same demand differ by 0.2 to 0.4, since the topics of the running requests vary; a shift moves
/// half of the demand or more.
const SHIFT_DISTANCE: f64 = 0.55;

/// Token counts of the experts since the demand last shifted.
#[derive(Clone, Debug, Default)]
pub struct DemandWindow {
    start: Vec<u64>,
    counts: Option<ExpertCounts>,
}

impl DemandWindow {
    /// Adds a sample, given by the running token counts of the engines at its start and at its end,
    /// and returns the counts since the demand last shifted. Returns `None` if the number of counts
    /// does not match `sets` and `experts`, or if the sample shows no demand.
    pub fn observe(
        &mut self,
        sets: usize,
        experts: usize,
        start: Vec<u64>,
        end: Vec<u64>,
    ) -> Option<ExpertCounts> {
        let sample = difference(sets, experts, &start, &end)?;
        if sample.total() <= 0.0 {
            return None;
        }
        let agrees = self.counts.as_ref().is_some_and(|counts| {
            counts.tokens().len() == sample.tokens().len()
                && distance(counts, &sample) < SHIFT_DISTANCE
        });
        let counts = if agrees {
            difference(sets, experts, &self.start, &end)?
        } else {
            self.start = start;
            sample
        };
        self.counts = Some(counts.clone());
        Some(counts)
    }
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
