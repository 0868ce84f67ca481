//! Availability zones that the operator has emptied, and the order of news about them.
//!
//! Load pattern: one change of the operator reaches a gateway several times, from the store and from
//! peers, late and in any order. Each piece of news holds the whole set with the point in the
//! history of the store at which it was true, so that the newest one decides alone.

use {
    super::store_history::{StoreEra, StoreStamp},
    crate::ids::ZoneName,
    std::{collections::BTreeSet, error::Error, fmt, result, time::Duration},
    tokio::time::Instant,
};

/// Result of following changes of the emptied zones.
pub type Result<T> = result::Result<T, MissedChanges>;

/// Time for which gateways tell each other that the last emptied zone was taken back. A gateway that
/// is out of reach for longer learns it from the next snapshot.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Changes since an earlier read cannot be applied, because that read is not known here. The set has
/// to be read as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissedChanges;

impl fmt::Display for MissedChanges {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("changes of the emptied zones were missed")
    }
}

impl Error for MissedChanges {}

/// All emptied zones at one point in the history of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EmptiedZones {
    /// Zones whose targets take no requests.
    pub zones: BTreeSet<ZoneName>,
    /// Point at which the store held exactly these.
    pub stamp: StoreStamp,
}

/// Change of one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// Zone that was emptied or taken back.
    pub zone: ZoneName,
    /// Whether it was emptied.
    pub is_emptied: bool,
}

/// What a gateway knows of the emptied zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuation {
    /// Latest set; `None` before the first one.
    latest: Option<EmptiedZones>,
    /// When the store first gave the latest set to this gateway or to a peer.
    changed_at: Option<Instant>,
}

impl ZoneEvacuation {
    /// Returns the latest set; `None` before the first one.
    pub fn latest(&self) -> Option<&EmptiedZones> {
        self.latest.as_ref()
    }

    /// Returns when the store first gave the latest set to this gateway or to a peer; `None` if it
    /// has never changed.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the set if other gateways have to hear of it without asking: while a zone is emptied,
    /// and for some time afterwards.
    pub fn reported(&self, now: Instant) -> Option<&EmptiedZones> {
        let is_recent = self.changed_at.is_some_and(|at| now < at + REPORT_TIME);
        let latest = self.latest.as_ref();
        latest.filter(|latest| is_recent || !latest.zones.is_empty())
    }

    /// Makes news from the era `known` count although the latest set is of a later era, which has
    /// turned out not to be that of the store. The set itself stays until then.
    pub fn forget_after(&mut self, known: StoreEra) {
        if let Some(latest) = self.latest.as_mut().filter(|set| set.stamp.era > known) {
            latest.stamp = StoreStamp::default();
        }
    }

    /// Applies a whole set that was given out by the store at `changed_at`; returns the changes.
    /// Older news changes nothing.
    pub fn apply(&mut self, news: EmptiedZones, changed_at: Instant) -> Vec<ZoneChange> {
        let known = self.latest.as_ref();
        if known.is_some_and(|known| news.stamp <= known.stamp) {
            return Vec::new();
        }
        let none = BTreeSet::new();
        let known = known.map_or(&none, |known| &known.zones);
        let change = |zone: &ZoneName, is_emptied| ZoneChange {
            zone: zone.clone(),
            is_emptied,
        };
        let emptied = news.zones.difference(known).map(|zone| change(zone, true));
        let refilled = known.difference(&news.zones);
        let refilled = refilled.map(|zone| change(zone, false));
        let changes: Vec<_> = emptied.chain(refilled).collect();
        if !changes.is_empty() {
            self.changed_at = Some(changed_at);
        }
        self.latest = Some(news);
        changes
    }

    /// Applies the changes that the store has made after `since`, up to `stamp`, in their order;
    /// returns those that are news here.
    ///
    /// # Errors
    ///
    /// Fails if the set is not known as of `since`.
    pub fn follow(
        &mut self,
        changes: Vec<ZoneChange>,
        since: StoreStamp,
        stamp: StoreStamp,
        now: Instant,
    ) -> Result<Vec<ZoneChange>> {
        let known = self.latest.as_ref();
        let known = known.filter(|known| known.stamp >= since);
        let known = known.ok_or(MissedChanges)?;
        let mut zones = known.zones.clone();
        for change in changes {
            if change.is_emptied {
                zones.insert(change.zone);
            } else {
                zones.remove(&change.zone);
            }
        }
        Ok(self.apply(EmptiedZones { zones, stamp }, now))
    }
}
