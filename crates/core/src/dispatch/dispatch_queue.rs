//! Queue of the requests that wait for a target of one service.
//!
//! Load pattern: a burst above the capacity of a service. In order of arrival, every request would
//! miss its objective once the wait exceeds it. The queue starts the requests that can still be on
//! time first, the oldest of them first. Late requests follow while there is capacity, and a
//! request that cannot start before its caller leaves is refused as soon as that is known.

use {
    super::request_limits::StartPace,
    slotmap::{SlotMap, new_key_type},
    std::time::Duration,
    tokio::time::Instant,
};

new_key_type! {
    /// Identifies a waiting request in its [`DispatchQueue`].
    pub struct WaitKey;
}

/// Weight of the newest interval between two starts in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Shortest and longest time after which a refused caller is told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(2600));

/// Longest expected wait, in seconds, so that adding it to a clock time cannot overflow. No caller
/// waits as long.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// Priority and time limits of a waiting request.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Priority; requests with a lower number start first, and 0 is the most urgent.
    pub priority: u8,
    /// Latest start at which the answer is on time.
    pub on_time_until: Instant,
    /// Latest start at which the answer begins before the caller leaves.
    pub start_until: Instant,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Latest time at which the caller accepts an answer, after a retry too.
    pub deadline: Instant,
    /// Whether the caller has enough time to retry after a refusal.
    pub can_return: bool,
}

/// Answer to a request that is refused because it would wait too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitRefusal {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Number of requests that were ahead of it in the queue.
    pub position: usize,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    request: WaitingRequest,
    sequence: u64,
}

/// Queue of the waiting requests of one service.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    waiters: SlotMap<WaitKey, Waiter>,
    sequence: u64,
    /// Moving average of the seconds between two starts while requests wait.
    start_interval: Option<f64>,
    last_start: Option<Instant>,
}

impl DispatchQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a waiting request can no longer be on time; false for an unknown key.
    pub fn is_late(&self, key: WaitKey, now: Instant) -> bool {
        let waiter = self.waiters.get(key);
        waiter.is_some_and(|waiter| waiter.request.on_time_until < now)
    }

    /// Returns the waiting requests in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = (WaitKey, &WaitingRequest)> {
        self.waiters
            .iter()
            .map(|(key, waiter)| (key, &waiter.request))
    }

    /// Adds a request and returns its key.
    pub fn push(&mut self, request: WaitingRequest) -> WaitKey {
        self.sequence += 1;
        let sequence = self.sequence;
        self.waiters.insert(Waiter { request, sequence })
    }

    /// Removes a request whose caller has left; returns whether it was still waiting.
    pub fn remove(&mut self, key: WaitKey) -> bool {
        self.waiters.remove(key).is_some()
    }

    /// Returns the waiting requests in the order in which they start.
    pub fn order(&self, now: Instant) -> Vec<WaitKey> {
        let mut order: Vec<_> = self.waiters.iter().collect();
        order.sort_by_key(|(_, waiter)| start_order(waiter, now));
        order.into_iter().map(|(key, _)| key).collect()
    }

    /// Removes a request that starts now, and updates the mean interval between starts.
    pub fn start(&mut self, key: WaitKey, now: Instant) {
        if self.waiters.remove(key).is_none() {
            return;
        }
        if let Some(last) = self.last_start {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.start_interval.unwrap_or(seconds);
            self.start_interval = Some(mean + (seconds - mean) * NEWEST_WEIGHT);
        }
        self.last_start = (!self.waiters.is_empty()).then_some(now);
    }

    /// Removes the requests that cannot start before their callers leave, and returns them with the
    /// time after which each caller may retry. Starts are expected to go on at the mean interval,
    /// or at `pace` if that is slower.
    pub fn refuse_unservable(
        &mut self,
        pace: Option<StartPace>,
        now: Instant,
    ) -> Vec<(WaitKey, WaitRefusal)> {
        let measured = self.start_interval.filter(|_| self.last_start.is_some());
        let measured = measured.unwrap_or_default();
        let interval = pace.map_or(measured, |pace| measured.max(pace.interval.as_secs_f64()));
        let next_at = pace.map_or(now, |pace| now.max(pace.next_at));
        let mut refused = Vec::new();
        let mut position = 0;
        for key in self.order(now) {
            let request = self.waiters[key].request;
            let wait = (interval * position as f64).min(MAX_WAIT_SECONDS);
            let starts_at = next_at + Duration::from_secs_f64(wait);
            if starts_at > request.start_until {
                let expected = (starts_at - now).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
                let retry_after = match pace {
                    Some(_) => expected,
                    None => self.retry_after(position),
                };
                refused.push((
                    key,
                    WaitRefusal {
                        retry_after,
                        position,
                    },
                ));
            } else {
                position += 1;
            }
        }
        for (key, _) in &refused {
            self.waiters.remove(*key);
        }
        refused
    }

    /// Returns the time after which a refused caller with `position` requests ahead of it may
    /// retry: the time in which those are expected to start, within the bounds for such times.
    pub fn retry_after(&self, position: usize) -> Duration {
        let seconds = self.start_interval.unwrap_or_default() * position as f64;
        Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS))
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

/// Returns the sort key for the order of starts: the most urgent requests first, among them those
/// that can still be on time, and among these the oldest.
fn start_order(waiter: &Waiter, now: Instant) -> (u8, bool, u64) {
    let is_late = waiter.request.on_time_until < now;
    (waiter.request.priority, is_late, waiter.sequence)
}
