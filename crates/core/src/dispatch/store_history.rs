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

/// Eras that a gateway knows, from its own calls to the store and from peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownEra(Option<StoreEra>);

/// How an answer relates to the eras known before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The answer is of the known era, or of the first one that is known.
    Same,
    /// The store was restored; holds the era known before.
    Restored(StoreEra),
    /// The answer is from before a restore.
    Outdated,
}

impl KnownEra {
    /// Returns the latest known era; [`StoreEra::UNNAMED`] if none is known.
    pub fn era(self) -> StoreEra {
        self.0.unwrap_or_default()
    }

    /// Records the era of an answer of the store, or one that a peer names. An answer without an
    /// era is of the known one.
    pub fn record(&mut self, era: StoreEra) -> EraChange {
        let known = self.era();
        if !era.is_named() {
            self.0 = Some(known);
            return EraChange::Same;
        }
        if era < known {
            return EraChange::Outdated;
        }
        self.0 = Some(era);
        if known.is_named() && era > known {
            EraChange::Restored(known)
        } else {
            EraChange::Same
        }
    }

    /// Returns whether data from a peer that names this era can be relied on without a look at the
    /// store. Data without an era can only if the store names none: an earlier build does not
    /// notice a restore.
    pub fn covers(self, era: StoreEra) -> bool {
        match self.0 {
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
            first.era.is_named() && version <= first.version && now < read_at + CONFIRMATION_LIMIT
        })
    }
}
