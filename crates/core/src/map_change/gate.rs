//! Choice of the gate step.

use {super::GroupStep, std::time::Duration, tokio::time::Instant};

/// How far ahead a gate is set.
#[derive(Clone, Copy, Debug)]
pub struct GatePolicy {
    /// Time between the choice and the gate. It has to cover the orders to arm and to commit with
    /// their replies; a gate that is reached earlier holds the whole group.
    pub lead: Duration,
    /// Least number of steps ahead.
    pub least_steps: u64,
}

impl Default for GatePolicy {
    /// Four messages of at most 100 ms each, and a reserve.
    fn default() -> Self {
        Self {
            lead: Duration::from_millis(500),
            least_steps: 4,
        }
    }
}

/// Estimate of the step that a group has reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepClock {
    last: Option<(GroupStep, Instant)>,
    step_time: Duration,
}

impl StepClock {
    /// Notes a step that a participant reported.
    pub fn observe(&mut self, step: GroupStep, now: Instant) {
        if self.last.is_none_or(|(last, _)| step > last) {
            self.last = Some((step, now));
        }
    }

    /// Sets the mean duration of a step.
    pub fn set_step_time(&mut self, step_time: Duration) {
        self.step_time = step_time;
    }

    /// Returns the gate step for a change that is armed now.
    pub fn choose_gate(&self, policy: &GatePolicy, now: Instant) -> GroupStep {
        let (step, at) = self.last.unwrap_or((0, now));
        let ahead = now.saturating_duration_since(at) + policy.lead;
        let steps = ahead
            .as_micros()
            .div_ceil(self.step_time.as_micros().max(1));
        let timed = if self.step_time.is_zero() { 0 } else { steps };
        step + policy
            .least_steps
            .max(u64::try_from(timed).unwrap_or(u64::MAX / 2))
    }
}
