//! Expert maps in the object store. Members report only the version of the map in use, so that a
//! new placer reads the map itself from here.

use {
    super::PlacerParts,
    crate::platform::Result,
    bytes::Bytes,
    sassafrasslip_core::placement::{ExpertMap, RankNumber},
    serde::{Deserialize, Serialize},
};

/// Highest version of the map with which an engine starts, which assigns the experts round-robin.
/// Versions of map changes contain a fencing token and are far above it.
const INITIAL_VERSION: u64 = 1;

#[derive(Debug, Deserialize, Serialize)]
struct StoredMap {
    version: u64,
    layers: Vec<Vec<Vec<RankNumber>>>,
}

/// Dimensions of a group's expert maps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapSize {
    /// Number of layers.
    pub layers: usize,
    /// Number of experts in each layer.
    pub experts: usize,
    /// Number of ranks of the group.
    pub ranks: usize,
}

impl MapSize {
    fn fits(self, map: &ExpertMap) -> bool {
        let ranks = map.highest_rank().map_or(0, |rank| usize::from(rank) + 1);
        map.layers() == self.layers && map.experts() == self.experts && ranks <= self.ranks
    }
}

fn map_key(parts: &PlacerParts, version: u64) -> String {
    format!("placement/map/{}/{version}", parts.group)
}

/// Stores a map under its version.
///
/// # Errors
///
/// Fails if the object store cannot be written; the map may be stored nevertheless.
pub async fn put_map(parts: &PlacerParts, map: &ExpertMap) -> Result<()> {
    let stored = StoredMap {
        version: map.version(),
        layers: (0..map.layers()).map(|layer| map.layer(layer)).collect(),
    };
    let value = serde_json::to_vec(&stored).unwrap_or_default();
    let key = map_key(parts, map.version());
    parts.objects.put(&key, Bytes::from(value)).await
}

/// Reads the map of a version; `None` if it is not stored, malformed or does not fit `size`. The
/// initial map is computed and needs no read.
///
/// # Errors
///
/// Fails if the object store cannot be read.
pub async fn get_map(
    parts: &PlacerParts,
    version: u64,
    size: MapSize,
) -> Result<Option<ExpertMap>> {
    let MapSize {
        layers,
        experts,
        ranks,
    } = size;
    if version <= INITIAL_VERSION {
        return Ok(Some(ExpertMap::round_robin(
            version, layers, experts, ranks,
        )));
    }
    let Some(value) = parts.objects.get(&map_key(parts, version)).await? else {
        return Ok(None);
    };
    let stored: Option<StoredMap> = serde_json::from_slice(&value).ok();
    let map = stored.and_then(|stored| ExpertMap::from_layers(stored.version, &stored.layers).ok());
    Ok(map.filter(|map| size.fits(map)))
}
