//! Compact form of expert maps.

use {
    super::{ExpertNumber, RankNumber},
    std::{collections::BTreeSet, error::Error, fmt, result},
};

/// Result of the construction of a map.
pub type Result<T> = result::Result<T, MapError>;

/// Error in the description of a map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MapError {
    /// Layer with the error.
    pub layer: usize,
    /// Expert with the error, if it concerns a single one.
    pub expert: Option<usize>,
    /// Description of the error, without the layer and the expert.
    pub fault: &'static str,
}

impl fmt::Display for MapError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expert map, layer {}", self.layer)?;
        if let Some(expert) = self.expert {
            write!(formatter, ", expert {expert}")?;
        }
        write!(formatter, ": {}", self.fault)
    }
}

impl Error for MapError {}

/// Expert map: the ranks that hold a replica of each expert of each layer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpertMap {
    version: u64,
    experts: usize,
    /// Start of the replicas of each expert in `ranks`, layer by layer, and the end of the last
    /// ones.
    starts: Vec<u32>,
    /// Ranks of the replicas of all experts.
    ranks: Vec<RankNumber>,
}

impl ExpertMap {
    /// Builds a map from the replicas of every expert of every layer.
    ///
    /// # Errors
    ///
    /// Fails if layers differ in their number of experts, if an expert has no replica, or if it has
    /// two replicas on one rank.
    pub fn from_layers(version: u64, layers: &[Vec<Vec<RankNumber>>]) -> Result<Self> {
        let experts = layers.first().map_or(0, Vec::len);
        let mut starts = vec![0];
        let mut ranks = Vec::new();
        for (layer, replicas) in layers.iter().enumerate() {
            check_layer(layer, replicas, experts)?;
            for holders in replicas {
                ranks.extend_from_slice(holders);
                starts.push(u32::try_from(ranks.len()).unwrap_or(u32::MAX));
            }
        }
        Ok(Self {
            version,
            experts,
            starts,
            ranks,
        })
    }

    /// Builds a map that assigns the experts of each layer to the ranks in round-robin order, with
    /// one replica each, as engines do when they start.
    pub fn round_robin(version: u64, layers: usize, experts: usize, ranks: usize) -> Self {
        let replicas = 0..(layers * experts);
        let ranks = replicas.map(|index| (index % experts % ranks.max(1)) as RankNumber);
        Self {
            version,
            experts,
            starts: (0..=(layers * experts) as u32).collect(),
            ranks: ranks.collect(),
        }
    }

    /// Returns the version of the map.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the map under another version.
    #[must_use]
    pub fn with_version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        (self.starts.len() - 1) / self.experts.max(1)
    }

    /// Returns the number of experts in a layer.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Returns the ranks that hold an expert.
    pub fn replicas(&self, layer: usize, expert: usize) -> &[RankNumber] {
        let index = layer * self.experts + expert;
        &self.ranks[self.starts[index] as usize..self.starts[index + 1] as usize]
    }

    /// Returns the replicas of every expert of a layer.
    pub fn layer(&self, layer: usize) -> Vec<Vec<RankNumber>> {
        let experts = 0..self.experts;
        experts
            .map(|expert| self.replicas(layer, expert).to_vec())
            .collect()
    }

    /// Returns the highest rank that holds an expert; `None` if the map is empty.
    pub fn highest_rank(&self) -> Option<RankNumber> {
        self.ranks.iter().max().copied()
    }

    /// Returns whether any replica is on a rank that `selects` accepts.
    pub fn has_replica_on(&self, selects: impl Fn(RankNumber) -> bool) -> bool {
        self.ranks.iter().any(|rank| selects(*rank))
    }

    /// Returns the number of experts that ranks have to load when `next` replaces this map.
    pub fn loads_to(&self, next: &Self) -> usize {
        let experts = (0..self.layers())
            .flat_map(|layer| (0..self.experts).map(move |expert| (layer, expert)));
        let added = |(layer, expert)| {
            let old = self.replicas(layer, expert);
            let new = next.replicas(layer, expert).iter();
            new.filter(|rank| !old.contains(rank)).count()
        };
        experts.map(added).sum()
    }

    /// Returns the experts of a layer that each of the `ranks` ranks holds.
    pub fn experts_by_rank(&self, layer: usize, ranks: usize) -> Vec<Vec<ExpertNumber>> {
        let mut by_rank = vec![Vec::new(); ranks];
        for expert in 0..self.experts {
            for rank in self.replicas(layer, expert) {
                by_rank[usize::from(*rank)].push(expert as ExpertNumber);
            }
        }
        by_rank
    }
}

/// Checks that a layer has `experts` experts, and that each has replicas on different ranks only.
fn check_layer(layer: usize, replicas: &[Vec<RankNumber>], experts: usize) -> Result<()> {
    let fail = |expert, fault| {
        Err(MapError {
            layer,
            expert,
            fault,
        })
    };
    if replicas.len() != experts {
        return fail(None, "number of experts differs from layer 0");
    }
    for (expert, holders) in replicas.iter().enumerate() {
        if holders.is_empty() {
            return fail(Some(expert), "has no replica");
        }
        let distinct: BTreeSet<_> = holders.iter().collect();
        if distinct.len() != holders.len() {
            return fail(Some(expert), "has two replicas on one rank");
        }
    }
    Ok(())
}
