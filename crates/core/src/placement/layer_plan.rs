//! Placement of one layer while it is planned: replicas, loads and free slots.

use super::{ExpertNumber, RankNumber};

/// Placement of one layer.
#[derive(Clone, Debug)]
pub struct LayerPlan<'a> {
    tokens: &'a [f64],
    weights: &'a [f64],
    slots: usize,
    holders: Vec<Vec<RankNumber>>,
    on_rank: Vec<Vec<ExpertNumber>>,
    /// Reciprocal weights; 0 for lost ranks.
    factors: Vec<f64>,
    /// Loads by weight. Scans for the hottest and coldest ranks dominate the planning time, so
    /// they must not divide.
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
            on_rank: vec![Vec::with_capacity(slots); weights.len()],
            factors: weights.iter().copied().map(reciprocal).collect(),
            loads: vec![0.0; weights.len()],
        }
    }

    /// Adds the given replicas; those on lost ranks are left out.
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

    /// Returns the experts that each rank has room for.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the reciprocal weight of a rank; 0 if it is lost.
    pub fn factor(&self, rank: usize) -> f64 {
        self.factors[rank]
    }

    /// Returns the tokens of an expert.
    pub fn tokens(&self, expert: usize) -> f64 {
        self.tokens[expert]
    }

    /// Returns the ranks that hold an expert.
    pub fn holders(&self, expert: usize) -> &[RankNumber] {
        &self.holders[expert]
    }

    /// Returns the experts that a rank holds.
    pub fn held(&self, rank: usize) -> &[ExpertNumber] {
        &self.on_rank[rank]
    }

    /// Returns the tokens of each replica if an expert had `replicas`.
    pub fn share_of(&self, expert: usize, replicas: usize) -> f64 {
        self.tokens[expert] / replicas.max(1) as f64
    }

    /// Returns the tokens of each replica of an expert.
    pub fn share(&self, expert: usize) -> f64 {
        self.share_of(expert, self.holders[expert].len())
    }

    /// Returns the load of a live rank by its weight, after `change` more tokens.
    pub fn load_after(&self, rank: usize, change: f64) -> f64 {
        self.loads[rank] + change * self.factors[rank]
    }

    /// Returns the load of a live rank by its weight.
    pub fn load(&self, rank: usize) -> f64 {
        self.loads[rank]
    }

    /// Returns whether a rank is there.
    pub fn is_live(&self, rank: usize) -> bool {
        self.factors[rank] > 0.0
    }

    /// Returns whether a rank is there, but slow.
    pub fn is_slow(&self, rank: usize) -> bool {
        self.is_live(rank) && self.weights[rank] < 1.0
    }

    /// Returns whether a rank has room for another expert.
    pub fn has_room(&self, rank: usize) -> bool {
        self.is_live(rank) && self.on_rank[rank].len() < self.slots
    }

    /// Returns whether a rank holds an expert.
    pub fn holds(&self, rank: usize, expert: usize) -> bool {
        self.on_rank[rank].contains(&(expert as ExpertNumber))
    }

    /// Returns the mean load by weight.
    pub fn mean(&self) -> f64 {
        let capacity: f64 = self.weights.iter().sum();
        self.tokens.iter().sum::<f64>() / capacity.max(f64::MIN_POSITIVE)
    }

    /// Returns the hottest rank and its load.
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

    /// Adds a replica.
    pub fn add(&mut self, expert: usize, rank: usize) {
        let replicas = self.holders[expert].len() + 1;
        self.set_shares(expert, replicas);
        self.loads[rank] += self.share_of(expert, replicas) * self.factors[rank];
        self.holders[expert].push(rank as RankNumber);
        self.on_rank[rank].push(expert as ExpertNumber);
    }

    /// Removes a replica.
    pub fn remove(&mut self, expert: usize, rank: usize) {
        let replicas = self.holders[expert].len() - 1;
        self.set_shares(expert, replicas);
        self.loads[rank] -= self.share_of(expert, replicas) * self.factors[rank];
        self.holders[expert].retain(|holder| usize::from(*holder) != rank);
        self.on_rank[rank].retain(|held| usize::from(*held) != expert);
    }

    /// Returns the replicas of every expert.
    pub fn into_replicas(self) -> Vec<Vec<RankNumber>> {
        self.holders
    }

    /// Changes the loads of the holders to their shares among `replicas`.
    fn set_shares(&mut self, expert: usize, replicas: usize) {
        let change = self.share_of(expert, replicas) - self.share(expert);
        for holder in self.holders[expert].iter().copied().map(usize::from) {
            self.loads[holder] += change * self.factors[holder];
        }
    }
}

fn reciprocal(weight: f64) -> f64 {
    if weight > 0.0 { 1.0 / weight } else { 0.0 }
}
