//! Regions that a request may not leave.
//!
//! Load pattern: targets in several regions, and requests that only those in some regions may run.

use {
    crate::ids::{RegionName, ZoneName},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Region of each availability zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneRegions(BTreeMap<ZoneName, RegionName>);

impl FromIterator<(ZoneName, RegionName)> for ZoneRegions {
    fn from_iter<I: IntoIterator<Item = (ZoneName, RegionName)>>(regions: I) -> Self {
        Self(regions.into_iter().collect())
    }
}

impl ZoneRegions {
    /// Adds a zone, unless its region is known.
    pub fn add(&mut self, zone: ZoneName, region: RegionName) {
        self.0.entry(zone).or_insert(region);
    }

    /// Returns the zones that are in a region of each list that names any. A zone whose region is
    /// unknown is in none of them.
    pub fn home_zones(&self, lists: &[&[RegionName]]) -> HomeZones {
        let mut naming = lists.iter().filter(|list| !list.is_empty()).peekable();
        if naming.peek().is_none() {
            return HomeZones::default();
        }
        let naming: Vec<_> = naming.collect();
        let zones = self.0.iter();
        let zones = zones.filter(|(_, region)| naming.iter().all(|list| list.contains(region)));
        HomeZones(Some(Arc::new(
            zones.map(|(zone, _)| zone.clone()).collect(),
        )))
    }
}

/// Zones in which a request may run: all, unless its route or its team names home regions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeZones(Option<Arc<BTreeSet<ZoneName>>>);

impl HomeZones {
    /// Returns whether only some zones are allowed.
    pub fn is_bound(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether the request may run in a zone.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.0.as_ref().is_none_or(|zones| zones.contains(zone))
    }
}
