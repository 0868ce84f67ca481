//! Placement of one layer during planning: replicas, loads and free slots.

use super::{ExpertNumber, RankNumber};

/// Placement of one layer that changes replica by replica and keeps the loads of the ranks up to
/// date.
#[derive(Clone, Debug)]
pub struct LayerPlan<'a> {
    tokens: &'a [f64],
    weights: &'a [f64],
    slots: usize,
    /// Ranks that hold each expert.
    holders: Vec<Vec<RankNumber>>,
    /// Experts that each rank holds.
    experts_on_rank: Vec<Vec<ExpertNumber>>,
    /// Reciprocal weights; 0 for lost ranks.
    inverse_weights: Vec<f64>,
    /// Loads of the ranks, divided by their weights. Searches for the ranks with the highest and
    /// the lowest load dominate the planning time, so they must not need a division.
    loads: Vec<f64>,
}

impl<'a> LayerPlan<'a> {
    /// Creates a plan without replicas.
    pub fn new(tokens: &'a [f64], weights: &'a [f64], slots: usize) -> Self {
        Self {
            tokens,
            weights,
            slots,
            holders: vec![Vec::new(); tokens.len()],
            experts_on_rank: vec![Vec::with_capacity(slots); weights.len()],
            inverse_weights: weights.iter().copied().map(reciprocal).collect(),
            loads: vec![0.0; weights.len()],
        }
    }

    /// Adds the given replicas, except those on lost ranks. The replicas are given as a list of
    /// ranks for each expert.
    #[must_use]
    pub fn with_replicas(mut self, replicas: &[Vec<RankNumber>]) -> Self {
        for (expert, ranks) in replicas.iter().enumerate() {
            for rank in ranks {
                if self
                    .weights
                    .get(usize::from(*rank))
                    .is_some_and(|weight| *weight > 0.0)
                {
                    self.add(expert, usize::from(*rank));
                }
            }
        }
        self
    }

    /// Returns the number of experts.
    pub fn experts(&self) -> usize {
        self.tokens.len()
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> usize {
        self.weights.len()
    }

    /// Returns the number of experts that each rank has room for.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the reciprocal weight of a rank; 0 if it is lost.
    pub fn inverse_weight(&self, rank: usize) -> f64 {
        self.inverse_weights[rank]
    }

    /// Returns the number of tokens that an expert processes.
    pub fn tokens(&self, expert: usize) -> f64 {
        self.tokens[expert]
    }

    /// Returns the ranks that hold an expert.
    pub fn holders(&self, expert: usize) -> &[RankNumber] {
        &self.holders[expert]
    }

    /// Returns the experts that a rank holds.
    pub fn held(&self, rank: usize) -> &[ExpertNumber] {
        &self.experts_on_rank[rank]
    }

    /// Returns the tokens that each replica of an expert would process if there were `replicas`.
    pub fn share_of(&self, expert: usize, replicas: usize) -> f64 {
        self.tokens[expert] / replicas.max(1) as f64
    }

    /// Returns the tokens that each replica of an expert processes.
    pub fn share(&self, expert: usize) -> f64 {
        self.share_of(expert, self.holders[expert].len())
    }

    /// Returns the load that a live rank would have with `change` more tokens, by weight.
    pub fn load_after(&self, rank: usize, change: f64) -> f64 {
        self.loads[rank] + change * self.inverse_weights[rank]
    }

    /// Returns the load of a live rank, by weight.
    pub fn load(&self, rank: usize) -> f64 {
        self.loads[rank]
    }

    /// Returns whether a rank is not lost.
    pub fn is_live(&self, rank: usize) -> bool {
        self.inverse_weights[rank] > 0.0
    }

    /// Returns whether a rank is slow, but not lost.
    pub fn is_slow(&self, rank: usize) -> bool {
        self.is_live(rank) && self.weights[rank] < 1.0
    }

    /// Returns whether a rank is not lost and has a free slot for another expert.
    pub fn has_room(&self, rank: usize) -> bool {
        self.is_live(rank) && self.experts_on_rank[rank].len() < self.slots
    }

    /// Returns whether a rank holds an expert.
    pub fn holds(&self, rank: usize, expert: usize) -> bool {
        self.experts_on_rank[rank].contains(&(expert as ExpertNumber))
    }

    /// Returns the mean load of the ranks, by weight.
    pub fn mean(&self) -> f64 {
        let capacity: f64 = self.weights.iter().sum();
        self.tokens.iter().sum::<f64>() / capacity.max(f64::MIN_POSITIVE)
    }

    /// Returns the rank with the highest load by weight, and this load; rank 0 if there is no load.
    pub fn hottest(&self) -> (usize, f64) {
        let live = (0..self.ranks()).filter(|rank| self.is_live(*rank));
        let loads = live.map(|rank| (rank, self.load(rank)));
        loads.fold(
            (0, 0.0),
            |hottest, next| {
                if next.1 > hottest.1 { next } else { hottest }
            },
        )
    }

    /// Adds a replica of an expert on a rank; the other replicas of the expert lose load.
    pub fn add(&mut self, expert: usize, rank: usize) {
        let replicas = self.holders[expert].len() + 1;
        self.set_shares(expert, replicas);
        self.loads[rank] += self.share_of(expert, replicas) * self.inverse_weights[rank];
        self.holders[expert].push(rank as RankNumber);
        self.experts_on_rank[rank].push(expert as ExpertNumber);
    }

    /// Removes the replica of an expert on a rank; the other replicas of the expert gain load.
    pub fn remove(&mut self, expert: usize, rank: usize) {
        let replicas = self.holders[expert].len() - 1;
        self.set_shares(expert, replicas);
        self.loads[rank] -= self.share_of(expert, replicas) * self.inverse_weights[rank];
        self.holders[expert].retain(|holder| usize::from(*holder) != rank);
        self.experts_on_rank[rank].retain(|held| usize::from(*held) != expert);
    }

    /// Returns the ranks that hold each expert.
    pub fn into_replicas(self) -> Vec<Vec<RankNumber>> {
        self.holders
    }

    /// Changes the loads of the holders of an expert to its share among `replicas` replicas.
    fn set_shares(&mut self, expert: usize, replicas: usize) {
        let change = self.share_of(expert, replicas) - self.share(expert);
        for holder in self.holders[expert].iter().copied().map(usize::from) {
            self.loads[holder] += change * self.inverse_weights[holder];
        }
    }
}

fn reciprocal(weight: f64) -> f64 {
    if weight > 0.0 { 1.0 / weight } else { 0.0 }
}
