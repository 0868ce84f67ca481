//! Model of the duration of a pass, computed from the engine profile.
//!
//! A pass lasts as long as the work of the slowest rank outside the experts, plus, for each layer
//! set, the expert work of the most loaded rank. The work has a part that each pass takes and a
//! part that grows with the running requests.

use super::route_table::EngineProfile;

/// Duration of the passes of a group as a function of its load, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassModel {
    fixed: f64,
    per_request: f64,
    expert_share: f64,
}

impl PassModel {
    /// Creates the model of a group.
    pub fn new(engine: &EngineProfile) -> Self {
        let stride = f64::from(engine.stride);
        // Each request reads its prompt once, and generates `stride` tokens of its answer per pass.
        let passes = (engine.usual_answer_tokens / stride).max(1.0);
        let reading = engine.usual_prompt_tokens / engine.read_tokens_per_s / passes;
        Self {
            fixed: engine.step.as_secs_f64() * stride,
            per_request: engine.step_per_request.as_secs_f64() * stride + reading,
            expert_share: engine.experts.map_or(0.0, |experts| experts.share),
        }
    }

    /// Returns the part of a pass that does not depend on the running requests.
    pub fn fixed(&self) -> f64 {
        self.fixed
    }

    /// Returns the part of a pass that depends on the requests, if the load is balanced over the
    /// ranks. `running` is the number of requests per rank.
    pub fn balanced(&self, running: f64) -> f64 {
        self.per_request * running
    }

    /// Returns the duration of a pass in which the most loaded rank has `skew` times the mean
    /// expert work.
    pub fn duration(&self, running: f64, skew: f64) -> f64 {
        self.fixed + self.balanced(running) * self.stretch(skew)
    }

    /// Returns the number of requests per rank at which a pass with the given skew lasts
    /// `duration`; negative if the fixed part alone takes longer.
    pub fn running(&self, duration: f64, skew: f64) -> f64 {
        (duration - self.fixed) / (self.per_request * self.stretch(skew)).max(f64::MIN_POSITIVE)
    }

    /// Returns the skew that explains the duration of a pass, at least 1.
    pub fn skew(&self, running: f64, duration: f64) -> f64 {
        let balanced = self.balanced(running).max(f64::MIN_POSITIVE);
        let stretch = (duration - self.fixed) / balanced;
        let skew = (stretch - 1.0) / self.expert_share.max(f64::MIN_POSITIVE) + 1.0;
        skew.max(1.0)
    }

    /// Returns the factor by which a skew lengthens the part that depends on the requests.
    fn stretch(&self, skew: f64) -> f64 {
        1.0 - self.expert_share + self.expert_share * skew
    }
}
