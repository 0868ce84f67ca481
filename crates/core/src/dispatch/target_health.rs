//! Health of a target, from the outcomes of its requests.
//!
//! A target that fails repeatedly is ejected: it gets no requests for a time that grows with each
//! consecutive failure. After that it gets one trial request at a time until one succeeds, so that
//! a flapping target is neither flooded when it comes back nor kept out for long.

use {std::time::Duration, tokio::time::Instant};

/// Number of consecutive failures after which a target is ejected. A single failure may be a lost
/// packet.
const FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// Longest duration of an ejection, so that a recovered target is used again soon.
const MAX_EJECTION: Duration = Duration::from_millis(1200);

/// Weight of the newest outcome in the moving average of failures, which spans about the last eight
/// requests.
const NEWEST_WEIGHT: f64 = 0.12;

/// Health of a target as one gateway has observed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// End of the hold-off, the time for which the target wants no requests.
    held_off_until: Option<Instant>,
    /// Whether the trial request after an ejection is in flight.
    is_on_trial: bool,
    /// Moving average of the share of failed requests, from 0 to 1.
    failure_share: f64,
}

impl TargetHealth {
    /// Records an answer that shows that the target works. This ends an ejection, except during a
    /// hold-off: the answer may belong to a request from before it.
    pub fn record_success(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        let is_held_off = self.held_off_until.is_some_and(|until| now < until);
        if !is_held_off {
            self.ejected_until = None;
            self.held_off_until = None;
        }
        self.is_on_trial = false;
        self.failure_share *= 1.0 - NEWEST_WEIGHT;
    }

    /// Records a failed request; returns whether the target is ejected.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_on_trial = false;
        self.failure_share += (1.0 - self.failure_share) * NEWEST_WEIGHT;
        if self.consecutive_failures < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (self.consecutive_failures - FAILURES_TO_EJECT).min(4);
        let ejection = FIRST_EJECTION * 2_u32.pow(doublings);
        let until = now + ejection.min(MAX_EJECTION);
        self.ejected_until = self.held_off_until.max(Some(until));
        true
    }

    /// Records an answer in which the target reports an internal error. The target is alive and
    /// therefore not ejected, but its higher share of failures makes other targets preferred.
    pub fn record_error_answer(&mut self, now: Instant) {
        self.record_success(now);
        self.failure_share += (1.0 - self.failure_share) * NEWEST_WEIGHT;
    }

    /// Keeps the target from getting requests before `until`, and then requires one successful
    /// request before it gets several at a time.
    ///
    /// Load pattern: a target rejects the requests of all gateways and tells them to hold off until
    /// the same time. Without the trial, each gateway would then send all its waiting requests at
    /// once and be rejected again.
    pub fn require_trial(&mut self, until: Instant) {
        self.held_off_until = self.held_off_until.max(Some(until));
        self.ejected_until = self.ejected_until.max(Some(until));
        self.is_on_trial = false;
    }

    /// Records that a request is sent; if the target was ejected, this is the trial request.
    pub fn record_start(&mut self) {
        if self.ejected_until.is_some() {
            self.is_on_trial = true;
        }
    }

    /// Records that a request ended without showing whether the target works, which ends a trial
    /// without a result.
    pub fn record_neutral(&mut self) {
        self.is_on_trial = false;
    }

    /// Returns whether a request may be sent to the target now.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_on_trial,
        }
    }

    /// Returns whether the target is ejected or has not passed its trial since.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the moving average of the share of failed requests, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
