//! Queue of the requests that wait for a target of one service.
//!
//! Load pattern: a burst above the capacity of a service. In order of arrival, every request would
//! miss its objective once the wait exceeds it. The queue starts the requests that can still be on
//! time first, the oldest of them first. Late requests follow while there is capacity, and a
//! request that cannot start before its caller leaves is refused as soon as that is known.
//!
//! Load pattern: a service over its capacity. The oldest request on time would start at the end of
//! its time and miss its objective if its first event takes longer than usual. While the plan says
//! that the service is overloaded, the newest one starts first.

use {
    super::{
        outage_plan::RETRY_AFTER_DIVISOR, overload_plan::OverloadPlan, request_limits::StartPace,
    },
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

const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_8;

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

impl Waiter {
    /// Returns a number from 0 to 1 that stays the same while the request waits. Multiples of the
    /// golden ratio are spread evenly.
    fn draw(&self) -> f64 {
        (self.sequence as f64 * GOLDEN_RATIO).fract()
    }
}

/// Queue of the waiting requests of one service.
#[derive(Debug, Default)]
pub struct DispatchQueue {
    waiters: SlotMap<WaitKey, Waiter>,
    sequence: u64,
    /// Moving average of the seconds between two starts while requests wait.
    start_interval: Option<f64>,
    last_start: Option<Instant>,
    plan: OverloadPlan,
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

    /// Returns the number of waiting requests that can no longer be on time.
    pub fn late_count(&self, now: Instant) -> usize {
        let requests = self.requests();
        requests
            .filter(|(_, request)| request.on_time_until < now)
            .count()
    }

    /// Replaces the plan that applies to the order of starts and to late requests.
    pub fn set_plan(&mut self, plan: OverloadPlan) {
        self.plan = plan;
    }

    /// Returns whether the plan allows a late request to start while `late_running` late requests
    /// of this gateway run; false for an unknown key.
    pub fn allows_late(&self, key: WaitKey, late_running: u32) -> bool {
        let waiter = self.waiters.get(key);
        let wait = waiter.and_then(|waiter| self.plan.late_wait(late_running, waiter.draw()));
        wait.is_some_and(|wait| wait.is_zero())
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
        order.sort_by_key(|(_, waiter)| start_order(waiter, &self.plan, now));
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

    /// Removes the late requests for which no place is expected before their callers leave, and
    /// returns them with the time after which each caller may retry. `late_running` is the number
    /// of late requests that this gateway has running.
    ///
    /// Without any expected place, the caller is told the latest time that it honours, which is the
    /// most likely one to come after the overload.
    pub fn refuse_late(&mut self, late_running: u32, now: Instant) -> Vec<(WaitKey, WaitRefusal)> {
        let mut refused = Vec::new();
        if self.plan.is_unlimited() {
            return refused;
        }
        let mut position = 0;
        for key in self.order(now) {
            let waiter = self.waiters[key];
            let request = waiter.request;
            // What can't start any more is refused for that reason.
            if request.on_time_until >= now || request.start_until < now {
                continue;
            }
            let wait = self.plan.late_wait(late_running + position, waiter.draw());
            // A caller that has come back cannot return once more, so it waits for a place that the
            // next fall of the demand may free.
            let keeps = !request.can_return;
            if keeps || wait.is_some_and(|wait| now + wait <= request.start_until) {
                position += 1;
                continue;
            }
            let remaining = request.deadline.saturating_duration_since(now);
            let latest = (remaining / RETRY_AFTER_DIVISOR).max(RETRY_AFTER_RANGE.0);
            let retry_after = wait.unwrap_or(latest).clamp(RETRY_AFTER_RANGE.0, latest);
            let refusal = WaitRefusal {
                retry_after,
                position: position as usize,
            };
            refused.push((key, refusal));
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

/// Returns the sort key for the order of starts: the most urgent requests first, and among them those
/// that can still be on time. These start in order of arrival, or in reverse order during an
/// overload. Of the late ones, callers that have come back start first, since they do not come back
/// again, and then the oldest.
fn start_order(waiter: &Waiter, plan: &OverloadPlan, now: Instant) -> (u8, bool, bool, u64) {
    let request = &waiter.request;
    let is_late = request.on_time_until < now;
    let rank = if !is_late && plan.is_overloaded {
        u64::MAX - waiter.sequence
    } else {
        waiter.sequence
    };
    let is_first_visit = is_late && !plan.is_unlimited() && request.can_return;
    (request.priority, is_late, is_first_visit, rank)
}
