//! Questions to peers about what a restored store does not show: which targets have left since the
//! copy was made, and which configuration is the newest.

use {
    super::store_history::CONFIRMATION_LIMIT,
    std::{collections::HashSet, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// Number of peers whose knowledge a gateway relies on. A single one may have missed a departure.
pub const INQUIRY_SOURCES: usize = 2;

/// Longest time for which a gateway that has started waits for the answer of a peer before it counts
/// as ready.
pub const START_WAIT: Duration = Duration::from_millis(500);

/// Peers that a gateway has asked since it first read a restored store.
///
/// Peers that started after the restore as well may know nothing, so that only the answers of
/// informed ones count: of those that read the store in an earlier era, or have asked such a peer.
#[derive(Debug, Default)]
pub struct PeerInquiry {
    /// Time of the first list of the era; `None` while the store has not been restored.
    begun_at: Option<Instant>,
    /// Whether this gateway read the store in an earlier era.
    knew_before: bool,
    answered: HashSet<Ipv4Addr>,
    informed_answers: usize,
}

impl PeerInquiry {
    /// Begins an inquiry at the time of the first list of an era. `knew_before` says whether this
    /// gateway had a list of an earlier one.
    pub fn begin(&mut self, knew_before: bool, now: Instant) {
        *self = Self {
            begun_at: Some(now),
            knew_before,
            ..Self::default()
        };
    }

    /// Returns whether peers are still to be asked.
    pub fn is_open(&self, now: Instant) -> bool {
        self.informed_answers < INQUIRY_SOURCES
            && self
                .begun_at
                .is_some_and(|begun_at| now < begun_at + CONFIRMATION_LIMIT)
    }

    /// Returns the peers to ask next, of those that are live.
    pub fn next_peers(&self, live: impl Iterator<Item = Ipv4Addr>, now: Instant) -> Vec<Ipv4Addr> {
        if !self.is_open(now) {
            return Vec::new();
        }
        let unasked = live.filter(|address| !self.answered.contains(address));
        unasked
            .take(INQUIRY_SOURCES - self.informed_answers)
            .collect()
    }

    /// Records the answer of a peer.
    pub fn record_answer(&mut self, peer: Ipv4Addr, is_informed: bool) {
        if self.begun_at.is_some() && self.answered.insert(peer) {
            self.informed_answers += usize::from(is_informed);
        }
    }

    /// Returns whether this gateway knows which targets had left when the store was restored.
    pub fn is_informed(&self, now: Instant) -> bool {
        self.knew_before
            || self.informed_answers > 0
            || self
                .begun_at
                .is_none_or(|begun_at| now >= begun_at + CONFIRMATION_LIMIT)
    }

    /// Returns whether a gateway that has started should wait for peers before it counts as ready.
    pub fn delays_start(&self, now: Instant) -> bool {
        !self.is_informed(now)
            && self
                .begun_at
                .is_some_and(|begun_at| now < begun_at + START_WAIT)
    }
}
