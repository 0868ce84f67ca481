//! Fault switches of the platform's services.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    Ok,
    /// Requests are answered with 503 and have no effect.
    Down,
    /// Requests take effect and are answered after a delay.
    Slow,
    /// Requests take effect, and the connection is closed without an answer.
    LoseAnswers,
}

/// Fault of one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitch {
    /// Kind of the fault.
    pub mode: FaultMode,
    /// Delay of the mode `slow`, in milliseconds.
    pub delay_ms: u64,
    /// Share of the requests that the fault hits.
    pub probability: f64,
    /// Seed of the draw; the process's own seed if it is absent.
    pub seed: Option<u64>,
    /// Lag of the instance list, in milliseconds; other services ignore it.
    pub lag_ms: u64,
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self {
            mode: FaultMode::Ok,
            delay_ms: 0,
            probability: 1.0,
            seed: None,
            lag_ms: 0,
        }
    }
}

/// Body of `POST /admin/faults`; a service that is left out keeps its switch.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Table service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table: Option<FaultSwitch>,
    /// Object store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects: Option<FaultSwitch>,
    /// Instance list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instances: Option<FaultSwitch>,
}

/// What happens to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultAction {
    /// Served as usual.
    Serve,
    /// Answered with 503.
    Refuse,
    /// Served after a delay.
    Delay(Duration),
    /// Served without an answer.
    LoseAnswer,
}

#[derive(Debug)]
struct FaultState {
    switch: FaultSwitch,
    generator: ChaCha8Rng,
}

/// Fault of one service, with the generator of its draws.
#[derive(Debug)]
pub struct FaultSource {
    seed: u64,
    state: Mutex<FaultState>,
}

impl FaultSource {
    /// Creates a source without a fault.
    pub fn new(seed: u64) -> Self {
        let state = FaultState {
            switch: FaultSwitch::default(),
            generator: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            seed,
            state: Mutex::new(state),
        }
    }

    /// Sets the fault and restarts the draws.
    pub fn set(&self, switch: FaultSwitch) {
        let generator = ChaCha8Rng::seed_from_u64(switch.seed.unwrap_or(self.seed));
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = FaultState { switch, generator };
    }

    /// Returns the lag of the instance list.
    pub fn lag(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_millis(state.switch.lag_ms)
    }

    /// Draws what happens to the next request.
    pub fn draw(&self) -> FaultAction {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let switch = state.switch;
        if switch.mode == FaultMode::Ok || state.generator.random::<f64>() >= switch.probability {
            return FaultAction::Serve;
        }
        match switch.mode {
            FaultMode::Down => FaultAction::Refuse,
            FaultMode::LoseAnswers => FaultAction::LoseAnswer,
            FaultMode::Ok => FaultAction::Serve,
            FaultMode::Slow => FaultAction::Delay(Duration::from_millis(switch.delay_ms)),
        }
    }
}
