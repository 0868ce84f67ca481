//! Concurrency limit of a group of ranks.
//!
//! Load pattern: the demand for experts shifts, so that one rank has several times the mean load
//! and each pass of the group takes longer. With all slots full, the pause between the events of
//! every stream exceeds its objective, and every answer is late. The governor admits only as many
//! requests as keep the pause below the objective; the others wait.
//!
//! The duration of a pass has a fixed part and a part that grows with the number of running
//! requests. The fixed part is known from the engine profile, so the measured pauses show how many
//! requests fit.
//!
//! Load pattern: the demand shifts every few seconds, which is about as long as a stream lasts. Until
//! the map has been changed, passes are several times as long, and a single one above the objective
//! makes all streams late that run at that time. The limit therefore also keeps the passes after the
//! next shift within the objective, with the skew of the latest ones.

use {
    super::{map_plan::NEW_FORMATION_SKEW, pass_model::PassModel, route_table::EngineProfile},
    std::time::Duration,
    tokio::time::Instant,
};

/// Share of the pause objective at which the mean pause is kept. A single pause above the
/// objective, out of some thirty, makes a stream late, and pauses vary with the prompts that are
/// read in between.
const PAUSE_TARGET_SHARE: f64 = 0.74;

/// Share of the pause objective up to which a pass may last after a shift of the demand.
const SHIFT_PASS_SHARE: f64 = 0.92;

/// Time for which the skew of a shift is expected to come back. Demands that shift do so every three
/// to four seconds.
const SHIFT_MEMORY: Duration = Duration::from_secs(10);

/// Interval at which the limit is recomputed, about the duration of a pass.
const UPDATE_INTERVAL: Duration = Duration::from_millis(80);

/// Weight of the newest interval in the limit when the limit falls and when it rises. It falls
/// faster, because too many requests make all streams late, while too few only make some wait.
const FALL_WEIGHT: f64 = 0.8;
const RISE_WEIGHT: f64 = 0.6;

/// Number of pauses that are needed to recompute the limit.
const MIN_PAUSES: u32 = 4;

/// Longest pause that counts as the duration of a pass. Longer ones are due to stalls, preemptions
/// and lost packets, which fewer requests would not shorten. A group with a slow rank makes passes
/// of most of a second.
const MAX_PASS: Duration = Duration::from_millis(1200);

/// Lower bound of the limit in requests per rank, so that the group always makes progress that can
/// be measured.
const MIN_PER_RANK: f64 = 2.0;

/// Highest number of prompts that a group reads in one pass, per rank. At a usual load it is a
/// quarter.
const MAX_PROMPTS_PER_RANK: f64 = 0.4;

/// Share of the limit up to which requests start that can no longer be on time.
const LATE_SHARE: f64 = 0.9;

/// Factor by which a gateway may exceed its share of the group's starts.
const SHARE_SLACK: f64 = 1.3;

/// Number of requests that a gateway may start at once after a time without starts.
const MAX_BURST_STARTS: f64 = 2.0;

/// Returns the limit that applies to requests that can no longer be on time, given the `limit` of
/// the group.
///
/// Load pattern: a load at the capacity, spread over many gateways. Without this reserve, gateways
/// whose waiting requests are all late would take the capacity that other gateways need for
/// requests that can still be on time.
pub fn late_limit(limit: u32) -> u32 {
    (f64::from(limit) * LATE_SHARE) as u32
}

/// Rate limit, as a token bucket, on the requests that one gateway starts in a group.
///
/// Load pattern: requests wait at many gateways. When the limit of a group rises, all gateways see
/// the free capacity at the same time. Without a rate limit they would fill it several times over,
/// and the prompts that are then read at once would slow down the next passes.
#[derive(Debug, Default)]
pub struct StartPacer {
    starts: f64,
    rate: f64,
    updated_at: Option<Instant>,
}

impl StartPacer {
    /// Sets the rate for a group of `ranks` ranks. `share` is this gateway's share of the group's
    /// requests in flight, and `pause` the duration of a pass.
    pub fn set_pace(&mut self, ranks: u32, share: f64, pause: Duration) {
        let prompts = f64::from(ranks) * MAX_PROMPTS_PER_RANK * SHARE_SLACK * share;
        self.rate = prompts / pause.as_secs_f64().max(0.001);
    }

    /// Returns whether a request may start now, which it always may before the rate is set.
    pub fn allows(&mut self, now: Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let elapsed = self
            .updated_at
            .map(|last| now.saturating_duration_since(last));
        self.updated_at = Some(now);
        let earned = elapsed.unwrap_or(Duration::MAX).as_secs_f64() * self.rate;
        self.starts = (self.starts + earned).min(MAX_BURST_STARTS);
        self.starts >= 1.0
    }

    /// Records that a request has started.
    pub fn record_start(&mut self) {
        self.starts = (self.starts - 1.0).max(0.0);
    }
}

/// Concurrency limit of one group, recomputed from the pauses of its streams.
#[derive(Debug)]
pub struct PassGovernor {
    limit: Option<f64>,
    pause_sum: f64,
    pauses: u32,
    updated_at: Option<Instant>,
    mean_pause: Option<f64>,
    /// Highest skew that has explained the passes lately, and when it did.
    peak_skew: Option<(f64, Instant)>,
}

/// Load and objective of a group, on which its limit depends.
#[derive(Clone, Copy, Debug)]
pub struct GroupLoad {
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Number of requests of all gateways in flight at the group.
    pub in_flight: u32,
    /// Longest pause between events of an answer that is on time.
    pub pause_objective: Duration,
    /// Number of ranks that are slow and therefore take no new requests.
    pub slow_ranks: u32,
}

impl GroupLoad {
    /// Returns the number of requests that the ranks can run, without the slow ones.
    fn capacity(&self, engine: &EngineProfile) -> f64 {
        let ranks = self.ranks.saturating_sub(self.slow_ranks).max(1);
        f64::from(ranks) * f64::from(engine.slots)
    }
}

impl Default for PassGovernor {
    fn default() -> Self {
        Self::new()
    }
}

impl PassGovernor {
    /// Creates a governor without pauses, which sets no limit yet.
    pub const fn new() -> Self {
        Self {
            limit: None,
            pause_sum: 0.0,
            pauses: 0,
            updated_at: None,
            mean_pause: None,
            peak_skew: None,
        }
    }

    /// Records the pause between two events of one stream. Pauses that are too long to be a pass
    /// are ignored.
    pub fn record_pause(&mut self, pause: Duration) {
        if pause <= MAX_PASS {
            self.pause_sum += pause.as_secs_f64();
            self.pauses += 1;
        }
    }

    /// Recomputes the limit from the pauses since the last time. Returns false, without a change,
    /// if it is too early, if there are too few pauses or if nothing is in flight.
    pub fn update(&mut self, engine: &EngineProfile, load: &GroupLoad, now: Instant) -> bool {
        let is_due = self
            .updated_at
            .is_none_or(|last| now >= last + UPDATE_INTERVAL);
        if !is_due || self.pauses < MIN_PAUSES || load.in_flight == 0 {
            return false;
        }
        let pause = self.pause_sum / f64::from(self.pauses);
        (self.pause_sum, self.pauses) = (0.0, 0);
        self.updated_at = Some(now);
        self.mean_pause = Some(pause);
        let model = PassModel::new(engine);
        let fixed = model.fixed();
        let target = load.pause_objective.as_secs_f64() * PAUSE_TARGET_SHARE;
        let max_limit = load.capacity(engine);
        let min_limit = (f64::from(load.ranks) * MIN_PER_RANK).min(max_limit);
        // Duration of a pass beyond its fixed part, per request in flight.
        let variable = (pause - fixed).max(fixed * 0.05) / f64::from(load.in_flight);
        let fitting = (target - fixed) / variable;
        let after_shift = self.load_after_shift(&model, load, pause, now);
        let fitting = fitting.min(after_shift).clamp(min_limit, max_limit);
        let limit = self.limit.unwrap_or(max_limit);
        let weight = if fitting < limit {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        self.limit = Some(limit + (fitting - limit) * weight);
        true
    }

    /// Returns the number of requests with which passes stay within the objective if the demand
    /// shifts as far as it has lately. Unlimited while a rank is slow, which explains long passes as
    /// well as a shift does.
    fn load_after_shift(
        &mut self,
        model: &PassModel,
        load: &GroupLoad,
        pause: f64,
        now: Instant,
    ) -> f64 {
        if load.slow_ranks > 0 {
            self.peak_skew = None;
            return f64::INFINITY;
        }
        let ranks = f64::from(load.ranks);
        let skew = model.skew(f64::from(load.in_flight) / ranks, pause);
        // Longer passes than without a planned map have other causes.
        let skew = skew.min(NEW_FORMATION_SKEW);
        let peak = self
            .peak_skew
            .filter(|(peak, at)| *peak > skew && now < *at + SHIFT_MEMORY);
        let (peak, _) = *self.peak_skew.insert(peak.unwrap_or((skew, now)));
        let longest = load.pause_objective.as_secs_f64() * SHIFT_PASS_SHARE;
        model.running(longest, peak) * ranks
    }

    /// Returns the highest number of requests that the group should have in flight; `None` while
    /// unknown.
    pub fn limit(&self) -> Option<u32> {
        self.limit.map(|limit| limit.round() as u32)
    }

    /// Returns the mean pause of the last interval; `None` while unknown.
    pub fn mean_pause(&self) -> Option<Duration> {
        self.mean_pause.map(Duration::from_secs_f64)
    }

    /// Resets the governor to its initial state, after the group has formed again.
    pub fn reset(&mut self) {
        *self = Self::new();
    }
}
