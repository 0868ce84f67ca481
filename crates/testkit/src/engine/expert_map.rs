//! Expert map of the engine stand-in: which ranks hold replicas of which expert.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Ranks that hold a replica, by layer and expert.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpertMap {
    /// Version, which rises with each change; the initial map has version 1.
    pub version: u64,
    /// Ranks of the replicas, by layer and expert.
    pub layers: Vec<Vec<Vec<usize>>>,
}

impl ExpertMap {
    /// Returns the initial map: one replica of each expert, assigned to the ranks round-robin in
    /// every layer.
    pub fn initial(layers: usize, experts: usize, ranks: usize) -> Self {
        let layer: Vec<_> = (0..experts).map(|expert| vec![expert % ranks]).collect();
        Self {
            version: 1,
            layers: vec![layer; layers],
        }
    }

    /// Returns why the map is invalid for a group of this size; `None` if it is valid.
    pub fn validation_error(&self, layers: usize, experts: usize, ranks: usize) -> Option<String> {
        if self.layers.len() != layers {
            return Some(format!("{} layers, expected {layers}", self.layers.len()));
        }
        if self.layers.iter().any(|layer| layer.len() != experts) {
            return Some(format!("a layer does not have {experts} experts"));
        }
        let mut replicas = self.layers.iter().flatten();
        let invalid = |ranks_of: &Vec<usize>| {
            ranks_of.is_empty() || ranks_of.iter().any(|rank| *rank >= ranks)
        };
        replicas
            .any(invalid)
            .then(|| "an expert without a valid rank".to_owned())
    }

    /// Counts the replicas that the ranks from `first` up to but excluding `end` hold in this map
    /// but not in `other`.
    pub fn added_replicas(&self, other: &Self, first: usize, end: usize) -> usize {
        let held = |map: &Self| -> BTreeSet<(usize, usize, usize)> {
            let layers = map.layers.iter().enumerate();
            let experts = layers.flat_map(|(layer, experts)| {
                let experts = experts.iter().enumerate();
                experts.map(move |(expert, ranks)| (layer, expert, ranks))
            });
            experts
                .flat_map(|(layer, expert, ranks)| {
                    ranks.iter().map(move |rank| (layer, expert, *rank))
                })
                .filter(|(_, _, rank)| (first..end).contains(rank))
                .collect()
        };
        held(self).difference(&held(other)).count()
    }
}
