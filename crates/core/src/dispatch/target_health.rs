//! What the answers of a target have shown about it.
//!
//! A target that fails is left out for a time that grows with each failure in a row, and tried
//! again with one request at a time, so that a target that flaps is neither flooded on its return
//! nor shut out for long.

use {std::time::Duration, tokio::time::Instant};

/// Failures in a row after which a target is left out. One failure alone may be a lost packet.
const FAILURES_TO_EJECT: u32 = 2;

/// First time for which a target is left out.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// Longest time for which a target is left out, so that a target that is back is found quickly.
const LONGEST_EJECTION: Duration = Duration::from_millis(1200);

/// Weight of the newest outcome in the running share of failures: about the last eight requests.
const NEWEST_WEIGHT: f64 = 0.12;

/// Health of a target from the view of one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failures_in_row: u32,
    ejected_until: Option<Instant>,
    /// End of the time for which the target wants no requests.
    held_off_until: Option<Instant>,
    /// Whether the one trial request after an ejection is in flight.
    is_on_trial: bool,
    /// Running share of failed requests, 0 to 1.
    failure_share: f64,
}

impl TargetHealth {
    /// Records an answer that shows that the target works. Answers to earlier requests do not end
    /// the time for which the target wants none.
    pub fn record_success(&mut self, now: Instant) {
        self.failures_in_row = 0;
        let is_held_off = self.held_off_until.is_some_and(|until| now < until);
        if !is_held_off {
            self.ejected_until = None;
            self.held_off_until = None;
        }
        self.is_on_trial = false;
        self.failure_share *= 1.0 - NEWEST_WEIGHT;
    }

    /// Records a failure; returns whether the target is left out from now on.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.is_on_trial = false;
        self.failure_share += (1.0 - self.failure_share) * NEWEST_WEIGHT;
        if self.failures_in_row < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = (self.failures_in_row - FAILURES_TO_EJECT).min(4);
        let ejection = FIRST_EJECTION * 2_u32.pow(doublings);
        let until = now + ejection.min(LONGEST_EJECTION);
        self.ejected_until = self.held_off_until.max(Some(until));
        true
    }

    /// Records an answer in which the target reports a failure of its own. It is alive, so that it
    /// is not left out; others are preferred while its share of failures is higher.
    pub fn record_error_answer(&mut self, now: Instant) {
        self.record_success(now);
        self.failure_share += (1.0 - self.failure_share) * NEWEST_WEIGHT;
    }

    /// Requires one successful request after `until` before the target gets several at a time.
    ///
    /// Load pattern: a target that turns all gateways away until the same moment. Without the trial
    /// each of them would send everything that waits at once, and be turned away again.
    pub fn require_trial(&mut self, until: Instant) {
        self.held_off_until = self.held_off_until.max(Some(until));
        self.ejected_until = self.ejected_until.max(Some(until));
        self.is_on_trial = false;
    }

    /// Notes that a request is sent.
    pub fn record_start(&mut self) {
        if self.ejected_until.is_some() {
            self.is_on_trial = true;
        }
    }

    /// Notes that a request ended without showing anything about the target.
    pub fn record_neutral(&mut self) {
        self.is_on_trial = false;
    }

    /// Returns whether a request may be sent now.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_on_trial,
        }
    }

    /// Returns whether the target is left out or on trial.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the running share of failed requests, 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
