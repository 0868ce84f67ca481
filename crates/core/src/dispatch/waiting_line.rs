//! Requests that wait for a target of one service.
//!
//! Load pattern: a burst above the capacity of a service. In plain order of arrival every request
//! would miss its objective as soon as the wait exceeds it. Here the requests that can still be on
//! time go first, oldest first; those that have become late follow while there is room, and a
//! request that cannot start before its caller leaves is refused as soon as that is known.

use {
    slotmap::{SlotMap, new_key_type},
    std::time::Duration,
    tokio::time::Instant,
};

new_key_type! {
    /// Key of a waiting request.
    pub struct LineKey;
}

/// Weight of the newest interval between two starts in the running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Shortest and longest time after which a refused caller is told to come back.
const RETURN_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(2600));

/// Request that waits.
#[derive(Clone, Copy, Debug)]
pub struct LineEntry {
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Latest start at which the answer is on time.
    pub on_time_until: Instant,
    /// Latest start at which the caller still waits for the answer.
    pub start_until: Instant,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// End of the time in which the caller can be answered, also if it comes back.
    pub deadline: Instant,
    /// Whether the caller has the time to come back after a refusal.
    pub can_return: bool,
}

/// Why a request leaves the line without a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LineRefusal {
    /// When the caller may come back.
    pub retry_after: Duration,
    /// Requests that waited before it.
    pub position: usize,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    entry: LineEntry,
    sequence: u64,
}

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitingLine {
    places: SlotMap<LineKey, Place>,
    sequence: u64,
    /// Mean seconds between two starts while requests wait.
    start_interval: Option<f64>,
    last_start: Option<Instant>,
}

impl WaitingLine {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether a waiting request can no longer be on time.
    pub fn is_late(&self, key: LineKey, now: Instant) -> bool {
        let place = self.places.get(key);
        place.is_some_and(|place| place.entry.on_time_until < now)
    }

    /// Returns the waiting requests.
    pub fn entries(&self) -> impl Iterator<Item = (LineKey, &LineEntry)> {
        self.places.iter().map(|(key, place)| (key, &place.entry))
    }

    /// Adds a request.
    pub fn push(&mut self, entry: LineEntry) -> LineKey {
        self.sequence += 1;
        let sequence = self.sequence;
        self.places.insert(Place { entry, sequence })
    }

    /// Removes a request that waits no longer, because its caller has left.
    pub fn remove(&mut self, key: LineKey) -> bool {
        self.places.remove(key).is_some()
    }

    /// Returns the waiting requests in the order in which they start.
    pub fn order(&self, now: Instant) -> Vec<LineKey> {
        let mut order: Vec<_> = self.places.iter().collect();
        order.sort_by_key(|(_, place)| rank(place, now));
        order.into_iter().map(|(key, _)| key).collect()
    }

    /// Takes a request out because it starts.
    pub fn start(&mut self, key: LineKey, now: Instant) {
        if self.places.remove(key).is_none() {
            return;
        }
        if let Some(last) = self.last_start {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.start_interval.unwrap_or(seconds);
            self.start_interval = Some(mean + (seconds - mean) * NEWEST_WEIGHT);
        }
        self.last_start = (!self.places.is_empty()).then_some(now);
    }

    /// Takes out the requests that cannot start before their callers leave, at the pace of the
    /// latest starts, and returns them with when they may come back.
    pub fn refuse_hopeless(&mut self, now: Instant) -> Vec<(LineKey, LineRefusal)> {
        let interval = self.start_interval.filter(|_| self.last_start.is_some());
        let mut refused = Vec::new();
        let mut position = 0;
        for key in self.order(now) {
            let entry = self.places[key].entry;
            let wait = interval.map_or(0.0, |interval| interval * position as f64);
            let starts_at = now + Duration::from_secs_f64(wait.min(3600.0));
            if starts_at > entry.start_until {
                let retry_after = self.retry_after(position);
                refused.push((
                    key,
                    LineRefusal {
                        retry_after,
                        position,
                    },
                ));
            } else {
                position += 1;
            }
        }
        for (key, _) in &refused {
            self.places.remove(*key);
        }
        refused
    }

    /// Returns when a caller that is refused with `position` others before it may come back: when
    /// those will have started.
    pub fn retry_after(&self, position: usize) -> Duration {
        let seconds = self.start_interval.unwrap_or_default() * position as f64;
        Duration::from_secs_f64(seconds.min(3600.0)).clamp(RETURN_RANGE.0, RETURN_RANGE.1)
    }
}

/// Order of starts: the most urgent first, then those that can still be on time, then the oldest.
fn rank(place: &Place, now: Instant) -> (u8, bool, u64) {
    let is_late = place.entry.on_time_until < now;
    (place.entry.priority, is_late, place.sequence)
}
