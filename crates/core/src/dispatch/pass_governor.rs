//! Bound on the requests that a group of ranks works on.
//!
//! Load pattern: the demand for experts shifts, so that one rank has several times the mean load
//! and each pass of the group takes longer. With all slots full, the pause between the events of
//! every stream exceeds its objective, and every answer is late. The governor takes as many
//! requests as keep the pause below the objective; the others wait.
//!
//! A pass takes a fixed time and a part that grows with the running requests. The fixed part is
//! known from the engine, so the pauses of a moment tell how many requests fit.

use {super::route_table::EngineProfile, std::time::Duration, tokio::time::Instant};

/// Share of the pause objective at which the mean pause is kept. A stream is late if one pause of
/// some thirty is too long, and pauses vary with the prompts that are read in between.
const PAUSE_TARGET_SHARE: f64 = 0.74;

/// Interval at which the bound is worked out anew; about one pass.
const UPDATE_INTERVAL: Duration = Duration::from_millis(80);

/// Weight of the newest interval when the bound falls and when it rises. Too many requests make
/// all streams late, too few only let some wait.
const FALL_WEIGHT: f64 = 0.8;
const RISE_WEIGHT: f64 = 0.6;

/// Pauses that an interval needs before it counts.
const LEAST_PAUSES: u32 = 4;

/// Longest pause that is taken for a pass. Longer ones come from stalls, preemptions and lost
/// packets, which fewer requests would not shorten.
const LONGEST_PASS: Duration = Duration::from_millis(600);

/// Least requests for each rank, so that the group always makes progress that can be measured.
const LEAST_PER_RANK: f64 = 2.0;

/// Prompts that a group reads in one pass at most, for each rank. At a usual load it is a quarter.
const PROMPTS_PER_RANK: f64 = 0.4;

/// Share of the bound up to which requests start that can no longer be on time.
const LATE_SHARE: f64 = 0.9;

/// Factor by which a gateway may exceed its share of the starts.
const SHARE_SLACK: f64 = 1.3;

/// Starts that a gateway may make at once after a quiet time.
const BURST_STARTS: f64 = 2.0;

/// Returns the bound for requests that can no longer be on time.
///
/// Load pattern: a load at the capacity, spread over many gateways. Without a reserve, gateways at
/// which only late requests wait take the room that others need for those that can be on time.
pub fn late_limit(limit: u32) -> u32 {
    (f64::from(limit) * LATE_SHARE) as u32
}

/// Pace at which one gateway starts requests in a group.
///
/// Load pattern: requests that wait at many gateways. When the bound rises, all gateways see room
/// at the same moment; without a pace they would fill it several times over, and the prompts that
/// are read at once would make the next passes slow.
#[derive(Debug, Default)]
pub struct StartPacer {
    starts: f64,
    rate: f64,
    updated_at: Option<Instant>,
}

impl StartPacer {
    /// Sets the pace: `share` is this gateway's part of the requests in flight, `pause` the time
    /// of a pass.
    pub fn set_pace(&mut self, ranks: u32, share: f64, pause: Duration) {
        let prompts = f64::from(ranks) * PROMPTS_PER_RANK * SHARE_SLACK * share;
        self.rate = prompts / pause.as_secs_f64().max(0.001);
    }

    /// Returns whether a request may start now.
    pub fn allows(&mut self, now: Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let elapsed = self
            .updated_at
            .map(|last| now.saturating_duration_since(last));
        self.updated_at = Some(now);
        let earned = elapsed.unwrap_or(Duration::MAX).as_secs_f64() * self.rate;
        self.starts = (self.starts + earned).min(BURST_STARTS);
        self.starts >= 1.0
    }

    /// Notes a start.
    pub fn record_start(&mut self) {
        self.starts = (self.starts - 1.0).max(0.0);
    }
}

/// Bound on the requests of one group.
#[derive(Debug)]
pub struct PassGovernor {
    limit: Option<f64>,
    pause_sum: f64,
    pauses: u32,
    updated_at: Option<Instant>,
    mean_pause: Option<f64>,
}

/// Figures of a group that the bound depends on.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad {
    /// Ranks of the group.
    pub ranks: u32,
    /// Requests in flight from all gateways.
    pub in_flight: u32,
    /// Longest pause between events of an answer that is on time.
    pub pause_objective: Duration,
}

impl Default for PassGovernor {
    fn default() -> Self {
        Self::new()
    }
}

impl PassGovernor {
    /// Creates a governor that knows no pauses yet and allows all slots.
    pub const fn new() -> Self {
        Self {
            limit: None,
            pause_sum: 0.0,
            pauses: 0,
            updated_at: None,
            mean_pause: None,
        }
    }

    /// Records the pause between two events of one stream.
    pub fn record_pause(&mut self, pause: Duration) {
        if pause <= LONGEST_PASS {
            self.pause_sum += pause.as_secs_f64();
            self.pauses += 1;
        }
    }

    /// Works the bound out anew from the pauses since the last time; returns whether it was due.
    pub fn update(&mut self, engine: &EngineProfile, load: &GroupLoad, now: Instant) -> bool {
        let is_due = self
            .updated_at
            .is_none_or(|last| now >= last + UPDATE_INTERVAL);
        if !is_due || self.pauses < LEAST_PAUSES || load.in_flight == 0 {
            return false;
        }
        let pause = self.pause_sum / f64::from(self.pauses);
        (self.pause_sum, self.pauses) = (0.0, 0);
        self.updated_at = Some(now);
        self.mean_pause = Some(pause);
        let fixed = engine.step.as_secs_f64() * f64::from(engine.stride);
        let target = load.pause_objective.as_secs_f64() * PAUSE_TARGET_SHARE;
        let most = f64::from(load.ranks * engine.slots);
        let least = (f64::from(load.ranks) * LEAST_PER_RANK).min(most);
        // Time of a pass beyond its fixed part, for each request in flight.
        let variable = (pause - fixed).max(fixed * 0.05) / f64::from(load.in_flight);
        let fitting = ((target - fixed) / variable).clamp(least, most);
        let limit = self.limit.unwrap_or(most);
        let weight = if fitting < limit {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        self.limit = Some(limit + (fitting - limit) * weight);
        true
    }

    /// Returns the most requests that the group should have in flight; `None` while unknown.
    pub fn limit(&self) -> Option<u32> {
        self.limit.map(|limit| limit.round() as u32)
    }

    /// Returns the mean pause of the last interval.
    pub fn mean_pause(&self) -> Option<Duration> {
        self.mean_pause.map(Duration::from_secs_f64)
    }

    /// Forgets everything, because the group has formed anew.
    pub fn reset(&mut self) {
        *self = Self::new();
    }
}
