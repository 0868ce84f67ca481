//! Offers of freed places to entries that were refused because the target was full.
//!
//! Without them, an entry that has no request at a full target learns of free places only from the
//! report of each second, and the entries that have requests there take every place first.

use {
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Number of a link at this agent.
pub type LinkNumber = u64;

/// Time for which a place is kept for the entry to which it is offered: a few times what a report
/// and a dispatch take on a busy machine, and short against the duration of a request.
pub const OFFER_DURATION: Duration = Duration::from_millis(20);

/// Entries that want a place, and the places that are kept for them.
#[derive(Debug, Default)]
pub struct PlaceOffers {
    links: HashMap<LinkNumber, Arc<Notify>>,
    opened: LinkNumber,
    /// Links whose entries were refused, longest ago first.
    wanted: VecDeque<LinkNumber>,
    offered: Vec<(LinkNumber, Instant)>,
}

impl PlaceOffers {
    /// Registers a link.
    pub fn open_link(&mut self) -> (LinkNumber, Arc<Notify>) {
        self.opened += 1;
        let notify = Arc::new(Notify::new());
        self.links.insert(self.opened, Arc::clone(&notify));
        (self.opened, notify)
    }

    /// Forgets a link.
    pub fn close_link(&mut self, link: LinkNumber) {
        self.links.remove(&link);
        self.wanted.retain(|wanted| *wanted != link);
        self.offered.retain(|(offered, _)| *offered != link);
    }

    /// Records that an entry was refused.
    pub fn want(&mut self, link: LinkNumber) {
        if self.links.contains_key(&link) && !self.wanted.contains(&link) {
            self.wanted.push_back(link);
        }
    }

    /// Offers a freed place to the entry that has waited longest; returns whether there is one.
    pub fn offer(&mut self, now: Instant) -> bool {
        let Some(link) = self.wanted.pop_front() else {
            return false;
        };
        self.offered.push((link, now + OFFER_DURATION));
        if let Some(notify) = self.links.get(&link) {
            notify.notify_one();
        }
        true
    }

    /// Ends one offer to an entry, which has taken the place.
    pub fn take(&mut self, link: LinkNumber) {
        let position = self
            .offered
            .iter()
            .position(|(offered, _)| *offered == link);
        if let Some(position) = position {
            self.offered.remove(position);
        }
    }

    /// Removes the offers that were not taken in time.
    pub fn expire(&mut self, now: Instant) {
        self.offered.retain(|(_, until)| now < *until);
    }

    /// Returns the number of places that are kept for other entries than that of `link`.
    pub fn to_others(&self, link: LinkNumber, now: Instant) -> u32 {
        let others = self.offered.iter();
        let others = others.filter(|(offered, until)| *offered != link && now < *until);
        u32::try_from(others.count()).unwrap_or(u32::MAX)
    }
}
