//! Expert map: which ranks hold replicas of which expert.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Ranks that hold a replica, by layer and expert.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpertMap {
    /// Version, which rises with each change.
    pub version: u64,
    /// Ranks for each expert of each layer.
    pub layers: Vec<Vec<Vec<usize>>>,
}

impl ExpertMap {
    /// Returns the first map: one replica of each expert, dealt out in turn.
    pub fn initial(layers: usize, experts: usize, ranks: usize) -> Self {
        let layer: Vec<_> = (0..experts).map(|expert| vec![expert % ranks]).collect();
        Self {
            version: 1,
            layers: vec![layer; layers],
        }
    }

    /// Returns what is wrong with the map for a group, if anything is.
    pub fn fault(&self, layers: usize, experts: usize, ranks: usize) -> Option<String> {
        if self.layers.len() != layers {
            return Some(format!("{} layers, expected {layers}", self.layers.len()));
        }
        if self.layers.iter().any(|layer| layer.len() != experts) {
            return Some(format!("a layer without {experts} experts"));
        }
        let mut replicas = self.layers.iter().flatten();
        let invalid = |ranks_of: &Vec<usize>| {
            ranks_of.is_empty() || ranks_of.iter().any(|rank| *rank >= ranks)
        };
        replicas
            .any(invalid)
            .then(|| "an expert without a valid rank".to_owned())
    }

    /// Counts the replicas that ranks from `first` to below `end` hold here but not in `other`.
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
