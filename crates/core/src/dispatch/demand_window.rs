//! Window of the demand for experts since it last shifted.
//!
//! Load pattern: a demand that stays for some seconds and then shifts at once. A short sample shows
//! the new hottest experts, but the smaller ones are lost in its noise; a long one mixes two
//! demands. The window starts with a short sample and grows as long as new samples agree with it.

use crate::placement::ExpertCounts;

/// Sum over the experts of the differences between two demands, as shares of a set, from which on
/// the demand has shifted. Samples of the same demand differ by 0.2 to 0.4, since the requests of a
/// moment are about different things; a shift moves half of the demand or more.
const SHIFT_DISTANCE: f64 = 0.55;

/// Counts since the demand last shifted.
#[derive(Clone, Debug, Default)]
pub struct DemandWindow {
    start: Vec<u64>,
    counts: Option<ExpertCounts>,
}

impl DemandWindow {
    /// Adds a sample, given by the counts of the engines at its start and at its end, and returns
    /// the demand; `None` if the counts do not fit or show no demand.
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

/// Returns the mean over the sets of the difference between two demands, from 0 to 2.
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
