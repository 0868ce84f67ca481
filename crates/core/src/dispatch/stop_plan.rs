//! Which requests a gateway still serves after its stop signal.
//!
//! Load pattern: a planned stop. The supervisor kills the process when the grace is over, and the
//! load balancer sends new connections for a few seconds after the signal. A request that is still
//! unanswered at the end is cut, and its caller cannot know whether it has run. Another gateway
//! could have served it.

use {super::route_table::RepeatRule, std::time::Duration, tokio::time::Instant};

/// Time after the stop signal during which new connections are still accepted. The platform's load
/// balancer probes readiness every second and stops sending connections after two failed probes.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2600);

/// Time after which the first requests have arrived on the connections that were accepted last.
const ARRIVAL_TIME: Duration = Duration::from_millis(400);

/// Margin before the supervisor kills the process, within which the process exits on its own.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time before the end of the process for answers to reach their callers.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

/// Weight of the newest sample in the mean of durations and in their mean deviation.
const NEWEST_WEIGHT: f64 = 0.125;

/// Number of mean deviations above the mean that few requests exceed.
const DEVIATIONS: f64 = 4.0;

/// How long the requests of a kind take from their arrival to the end of their answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DurationEstimate {
    mean: f64,
    deviation: f64,
}

impl DurationEstimate {
    /// Creates an estimate from the first sample.
    pub fn new(sample: Duration) -> Self {
        let mean = sample.as_secs_f64();
        Self {
            mean,
            deviation: mean / 2.0,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        let error = sample.as_secs_f64() - self.mean;
        self.mean += error * NEWEST_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * NEWEST_WEIGHT;
    }

    /// Returns the mean duration.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the duration that few requests exceed.
    pub fn longest(&self) -> Duration {
        Duration::from_secs_f64(self.mean + self.deviation * DEVIATIONS)
    }
}

/// Request that has arrived completely after the stop signal.
#[derive(Clone, Copy, Debug)]
pub struct StoppingRequest {
    /// Time at which the request must have been answered.
    pub deadline: Instant,
    /// Whether the request may be repeated.
    pub repeat: RepeatRule,
    /// How long requests of its kind take; `None` while unknown.
    pub usual: Option<DurationEstimate>,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    late_from: Instant,
    answer_until: Instant,
    ends_at: Instant,
}

impl StopPlan {
    /// Creates the plan of a process that has received the stop signal at `now` and is killed after
    /// `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let remaining = grace.saturating_sub(KILL_MARGIN);
        Self {
            late_from: now + DEREGISTRATION_DELAY + ARRIVAL_TIME,
            answer_until: now + remaining.saturating_sub(DELIVERY_TIME),
            ends_at: now + remaining,
        }
    }

    /// Returns the time at which every request that has no answer yet gets one of the gateway.
    pub fn answer_until(&self) -> Instant {
        self.answer_until
    }

    /// Returns the time at which the process ends.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns whether a request that has arrived at `now` is served. While requests arrive on
    /// new connections, one is served if requests of its kind usually end in time. Later ones have
    /// to be certain to: a request that may not be repeated by its deadline, and others
    /// by the longest duration that is usual.
    pub fn serves(&self, request: &StoppingRequest, now: Instant) -> bool {
        let ends_by = |usual: Duration| now + usual <= self.answer_until;
        if now >= self.answer_until {
            return false;
        }
        if request.deadline <= self.answer_until {
            return true;
        }
        if now < self.late_from {
            return request.usual.is_none_or(|usual| ends_by(usual.mean()));
        }
        request.repeat.is_repeatable()
            && request.usual.is_some_and(|usual| ends_by(usual.longest()))
    }
}
