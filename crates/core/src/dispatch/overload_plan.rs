//! Decides which waiting requests may start while a service is over its capacity.
//!
//! Load pattern: the demand rises above the capacity and falls again within some seconds, spread
//! over many gateways. If late requests take the places that become free, the requests that arrive
//! next wait until they are late as well, and nearly all answers stay late until the demand is far
//! below the capacity.
//!
//! By Little's law, arrivals that can be on time keep `rate * length` requests running. Late requests
//! get the rest of the limit, which nothing on time will need while they run. A place in use by a
//! late request that makes another one late loses the difference between their worths, so
//! this pays from the load at which the rest is empty, whatever a late answer is worth below one on
//! time. Below it, late requests displace nothing and all of them start.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Span over which arrivals are counted. Waves of demand last several seconds.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Load, as a share of the capacity, at which an overload ends. The figures of the gateways vary by some
/// percent, and each end changes the order of starts.
const END_SHARE: f64 = 0.95;

/// Smallest part of a place that counts as a chance for a late request to start.
const MIN_QUOTA: f64 = 0.01;

/// Demand of a service, at one gateway or at all of them together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests a second that could be on time when they arrived.
    pub arrivals_per_s: f64,
    /// Running requests that were late when they started.
    pub late_running: u32,
    /// Late requests that wait.
    pub late_waiting: u32,
}

impl ServiceDemand {
    /// Returns the sum of the demand at two gateways.
    pub fn plus(self, other: Self) -> Self {
        Self {
            arrivals_per_s: self.arrivals_per_s + other.arrivals_per_s,
            late_running: self.late_running.saturating_add(other.late_running),
            late_waiting: self.late_waiting.saturating_add(other.late_waiting),
        }
    }

    fn late(&self) -> f64 {
        f64::from(self.late_running) + f64::from(self.late_waiting)
    }
}

/// What a service can run at the same time, and for how long a request runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Limit on the running requests of all gateways.
    pub limit: u32,
    /// Mean time for which a request runs.
    pub length: Duration,
}

/// Starts that a gateway allows until the demand changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadPlan {
    /// Whether the arrivals that can be on time need more than the capacity.
    pub is_overloaded: bool,
    /// Part of the places for late requests that belongs to this gateway; unlimited without a known
    /// capacity.
    quota: f64,
    /// Places that the arrivals on time need, as a share of the capacity.
    load: f64,
    length: Duration,
}

impl Default for OverloadPlan {
    fn default() -> Self {
        Self {
            is_overloaded: false,
            quota: f64::INFINITY,
            load: 0.0,
            length: Duration::ZERO,
        }
    }
}

impl OverloadPlan {
    /// Plans the starts of a gateway with the demand `own`; `all` is the demand at all gateways. The
    /// places for late requests are divided by the late requests that each gateway has.
    pub fn new(own: &ServiceDemand, all: &ServiceDemand, capacity: &ServiceCapacity) -> Self {
        let needed = all.arrivals_per_s * capacity.length.as_secs_f64();
        let spare = (f64::from(capacity.limit) - needed).max(0.0);
        let share = own.late() / all.late().max(own.late()).max(1.0);
        Self {
            is_overloaded: spare <= 0.0,
            quota: spare * share,
            load: needed / f64::from(capacity.limit.max(1)),
            length: capacity.length,
        }
    }

    /// Returns the plan that follows one with or without an overload, which goes on until the load is
    /// somewhat below the capacity.
    pub fn following(self, was_overloaded: bool) -> Self {
        let continues = was_overloaded && self.load >= END_SHARE;
        Self {
            is_overloaded: self.is_overloaded || continues,
            ..self
        }
    }

    /// Returns whether no capacity is known, so that the plan restricts nothing.
    pub fn is_unlimited(&self) -> bool {
        self.quota.is_infinite()
    }

    /// Returns the time after which a late request is expected to start that has `ahead` other late
    /// requests of this gateway ahead of it, waiting or running; `None` if no place for it is
    /// expected. `draw` is uniform from 0 to 1 and stays with the request: it decides about a part
    /// of a place, so that many gateways with less than one place each use all of them together.
    pub fn late_wait(&self, ahead: u32, draw: f64) -> Option<Duration> {
        if self.is_unlimited() {
            return Some(Duration::ZERO);
        }
        if self.quota < MIN_QUOTA {
            return None;
        }
        let missing = (f64::from(ahead) + draw - self.quota).max(0.0);
        // Any longer wait is longer than every caller stays.
        let lengths = (missing / self.quota).min(1_000.0);
        Some(self.length.mul_f64(lengths))
    }
}

/// Rate of the arrivals of one service at one gateway.
#[derive(Debug, Default)]
pub struct ArrivalRate {
    arrivals: VecDeque<Instant>,
}

impl ArrivalRate {
    /// Counts an arrival.
    pub fn record(&mut self, now: Instant) {
        self.arrivals.push_back(now);
    }

    /// Returns the arrivals a second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        while let Some(first) = self.arrivals.front() {
            if now.saturating_duration_since(*first) < RATE_WINDOW {
                break;
            }
            self.arrivals.pop_front();
        }
        self.arrivals.len() as f64 / RATE_WINDOW.as_secs_f64()
    }
}
