//! Offers of freed slots to entries that were refused because the target was full.
//!
//! Without offers, an entry that has no request in flight at a full target learns of free slots
//! only from the periodic report, once a second. Entries with requests in flight learn of them from
//! each final reply and would take every slot first, so the other entry would starve.

use {
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Number of a link, unique within this agent process.
pub type LinkNumber = u64;

/// Time for which a slot is reserved for the entry to which it is offered: a few times what a
/// report and a dispatch take on a busy machine, and short against the duration of a request.
pub const OFFER_DURATION: Duration = Duration::from_millis(20);

/// Queue of refused entries, and the slots that are reserved for them.
#[derive(Debug, Default)]
pub struct SlotOffers {
    links: HashMap<LinkNumber, Arc<Notify>>,
    last_link: LinkNumber,
    /// Links whose entries were refused, oldest refusal first.
    refused: VecDeque<LinkNumber>,
    /// Open offers with the time at which each expires.
    offered: Vec<(LinkNumber, Instant)>,
}

impl SlotOffers {
    /// Registers a link; returns its number and a notification that fires on each offer to it.
    pub fn open_link(&mut self) -> (LinkNumber, Arc<Notify>) {
        self.last_link += 1;
        let notify = Arc::new(Notify::new());
        self.links.insert(self.last_link, Arc::clone(&notify));
        (self.last_link, notify)
    }

    /// Removes a link with its refusals and offers.
    pub fn close_link(&mut self, link: LinkNumber) {
        self.links.remove(&link);
        self.refused.retain(|refused| *refused != link);
        self.offered.retain(|(offered, _)| *offered != link);
    }

    /// Queues an entry that was refused because the target is full.
    pub fn record_refusal(&mut self, link: LinkNumber) {
        if self.links.contains_key(&link) && !self.refused.contains(&link) {
            self.refused.push_back(link);
        }
    }

    /// Offers a freed slot to the entry that has waited longest; returns whether one was waiting.
    pub fn offer(&mut self, now: Instant) -> bool {
        let Some(link) = self.refused.pop_front() else {
            return false;
        };
        self.offered.push((link, now + OFFER_DURATION));
        if let Some(notify) = self.links.get(&link) {
            notify.notify_one();
        }
        true
    }

    /// Removes one offer to an entry whose dispatch took the slot.
    pub fn consume(&mut self, link: LinkNumber) {
        let position = self
            .offered
            .iter()
            .position(|(offered, _)| *offered == link);
        if let Some(position) = position {
            self.offered.remove(position);
        }
    }

    /// Removes the offers that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.offered.retain(|(_, until)| now < *until);
    }

    /// Returns the number of slots that are reserved for entries other than that of `link`.
    pub fn offered_to_others(&self, link: LinkNumber, now: Instant) -> u32 {
        let others = self.offered.iter();
        let others = others.filter(|(offered, until)| *offered != link && now < *until);
        u32::try_from(others.count()).unwrap_or(u32::MAX)
    }
}
