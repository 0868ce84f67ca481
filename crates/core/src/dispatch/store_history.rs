//! Order of what is read from a store that may be restored from an older copy.
//!
//! A restored store gives versions out again, so that a version alone does not tell which of two
//! answers is newer. Each restore begins a new era.

use {std::time::Duration, tokio::time::Instant};

/// Version of the store, which every transaction increments within an era.
pub type StoreVersion = u64;

/// Time after the first sight of an era for which entries that were not written since count as
/// unconfirmed. Entries of targets that write nothing have expired by then.
pub const CONFIRMATION_LIMIT: Duration = Duration::from_secs(10);

/// Time for which the store has to name an earlier era than it has named before until the later one
/// is given up. A proper store never does so, unless it was set up anew.
pub const ABANDON_AFTER: Duration = Duration::from_secs(2);

/// Era of the store, which rises each time the store is restored from a copy.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Era of a store, or of data from a peer, that names none.
    pub const UNNAMED: Self = Self(0);

    /// Returns the era that the store names `number`.
    pub const fn named(number: u64) -> Self {
        Self(number.saturating_add(1))
    }

    /// Returns the era with the value that peers exchange; 0 is [`Self::UNNAMED`].
    pub const fn from_value(value: u64) -> Self {
        Self(value)
    }

    /// Returns the value that peers exchange.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Returns whether the store has been restored at least once. Each restore raises the era by
    /// one, so that a store with the lowest one never was.
    pub fn is_restored(self) -> bool {
        self > Self::named(0)
    }

    /// Returns whether the store or the peer names the era.
    pub fn is_named(self) -> bool {
        self != Self::UNNAMED
    }
}

/// Point in the history of the store; a greater one is later.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreStamp {
    /// Era of the store.
    pub era: StoreEra,
    /// Version of the store in this era.
    pub version: StoreVersion,
}

/// Era of the store that a gateway knows, from its own calls to the store and from peers.
///
/// What a peer names is a claim, which the next call to the store confirms or disproves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownEra {
    era: Option<StoreEra>,
    learned_at: Option<Instant>,
    /// Whether the store itself has named the era to this gateway.
    is_observed: bool,
    /// Time since which all answers of the store name an earlier era.
    earlier_since: Option<Instant>,
    /// Lowest era that was known and that the store has disproved.
    refuted: Option<StoreEra>,
}

/// How an answer or a claim relates to the era known before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The era is the known one, or the first one that is known, or is not believed.
    Same,
    /// The store was restored; holds the era known before.
    Restored(StoreEra),
    /// The answer is from before a restore.
    Outdated,
    /// The store is of an earlier era than was known; holds that one.
    Abandoned(StoreEra),
}

impl KnownEra {
    /// Returns the known era; [`StoreEra::UNNAMED`] if none is known.
    pub fn era(self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    /// Returns whether the store itself has named the era to this gateway.
    pub fn is_observed(self) -> bool {
        self.is_observed
    }

    /// Records the era of the answer to a call that began at `asked_at`. An answer without an era is
    /// of the known one.
    ///
    /// A call that began before the known era was learned may have been answered before the
    /// restore. Any later one shows the era of the store.
    pub fn record_answer(&mut self, era: StoreEra, asked_at: Instant, now: Instant) -> EraChange {
        let known = self.era();
        if !era.is_named() {
            self.era = Some(known);
            return EraChange::Same;
        }
        if era >= known {
            if self.era.is_none() || era > known {
                self.learned_at = Some(now);
            }
            self.era = Some(era);
            self.is_observed = true;
            self.earlier_since = None;
            self.refuted = self.refuted.filter(|refuted| era < *refuted);
            return if known.is_named() && era > known {
                EraChange::Restored(known)
            } else {
                EraChange::Same
            };
        }
        if self.learned_at.is_some_and(|at| asked_at <= at) {
            return EraChange::Outdated;
        }
        let since = *self.earlier_since.get_or_insert(now);
        if self.is_observed && now < since + ABANDON_AFTER {
            return EraChange::Outdated;
        }
        *self = Self {
            era: Some(era),
            learned_at: Some(now),
            is_observed: true,
            earlier_since: None,
            refuted: Some(self.refuted.map_or(known, |refuted| refuted.min(known))),
        };
        EraChange::Abandoned(known)
    }

    /// Records the era that a peer names. One that the store has disproved is ignored.
    pub fn record_claim(&mut self, era: StoreEra, now: Instant) -> EraChange {
        let known = self.era();
        if self.believed(era) <= known {
            return EraChange::Same;
        }
        self.era = Some(era);
        self.learned_at = Some(now);
        self.is_observed = false;
        self.earlier_since = None;
        if known.is_named() {
            EraChange::Restored(known)
        } else {
            EraChange::Same
        }
    }

    /// Returns the era that a peer names, or [`StoreEra::UNNAMED`] if the store has disproved it.
    pub fn believed(self, era: StoreEra) -> StoreEra {
        if self.refuted.is_some_and(|refuted| era >= refuted) {
            StoreEra::UNNAMED
        } else {
            era
        }
    }

    /// Returns whether data from a peer that names this era can be relied on without a look at the
    /// store. Data without an era can only if the store names none: an earlier build does not
    /// notice a restore.
    pub fn covers(self, era: StoreEra) -> bool {
        match self.era {
            Some(known) => era >= known,
            None => era.is_named(),
        }
    }
}

/// Lists of targets that were read from the store so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListHistory {
    newest: StoreStamp,
    /// First stamp of the era, and when it was read.
    first: Option<(StoreStamp, Instant)>,
}

impl ListHistory {
    /// Forgets the lists if they are of a later era than `known`, which was given up.
    pub fn forget_after(&mut self, known: StoreEra) {
        if self.newest.era > known {
            *self = Self::default();
        }
    }

    /// Records a list; returns whether it is at least as new as all lists before.
    pub fn record(&mut self, stamp: StoreStamp, now: Instant) -> bool {
        if stamp < self.newest {
            return false;
        }
        self.newest = stamp;
        if self.first.is_none_or(|(first, _)| first.era < stamp.era) {
            self.first = Some((stamp, now));
        }
        true
    }

    /// Returns whether an entry of the latest list, written at `version`, may be of the copy from
    /// which the store was restored. One that was written after the first list of the era is not.
    pub fn is_unconfirmed(&self, version: StoreVersion, now: Instant) -> bool {
        self.first.is_some_and(|(first, read_at)| {
            first.era.is_restored()
                && version <= first.version
                && now < read_at + CONFIRMATION_LIMIT
        })
    }
}
