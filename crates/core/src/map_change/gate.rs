//! Choice of the gate step, from which the ranks of a group use a new map.

use {super::GroupStep, std::time::Duration, tokio::time::Instant};

/// How far ahead of the current step a gate is set.
#[derive(Clone, Copy, Debug)]
pub struct GatePolicy {
    /// Time between the choice of the gate step and that step. It has to cover the orders to arm
    /// and to commit and their replies; if the ranks reach the gate earlier, the whole group waits.
    pub lead: Duration,
    /// Least number of steps between the current step and the gate.
    pub min_steps: u64,
}

impl Default for GatePolicy {
    /// Returns a lead that covers four messages of at most 100 ms each, and a reserve.
    fn default() -> Self {
        Self {
            lead: Duration::from_millis(500),
            min_steps: 4,
        }
    }
}

/// Estimate of the step that a group has reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepClock {
    /// Highest step reported, and when its report arrived.
    last: Option<(GroupStep, Instant)>,
    step_time: Duration,
}

impl StepClock {
    /// Records a step that a participant reported; a step that is not the highest has no effect.
    pub fn observe(&mut self, step: GroupStep, now: Instant) {
        if self.last.is_none_or(|(last, _)| step > last) {
            self.last = Some((step, now));
        }
    }

    /// Sets the mean duration of a step; with zero, only the least number of steps counts.
    pub fn set_step_time(&mut self, step_time: Duration) {
        self.step_time = step_time;
    }

    /// Returns the gate step for a change whose gate is armed now.
    pub fn choose_gate(&self, policy: &GatePolicy, now: Instant) -> GroupStep {
        let (step, at) = self.last.unwrap_or((0, now));
        let ahead = now.saturating_duration_since(at) + policy.lead;
        let steps = ahead
            .as_micros()
            .div_ceil(self.step_time.as_micros().max(1));
        let timed = if self.step_time.is_zero() { 0 } else { steps };
        step + policy
            .min_steps
            .max(u64::try_from(timed).unwrap_or(u64::MAX / 2))
    }
}
