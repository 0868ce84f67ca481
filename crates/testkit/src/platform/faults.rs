//! Faults that tests switch on and off in the platform's services.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// What a fault does to the requests that it hits.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    Ok,
    /// Requests are answered with 503 and take no effect.
    Down,
    /// Requests take effect and are answered after a delay.
    Slow,
    /// Requests take effect, and the connection is closed without an answer.
    LoseAnswers,
}

/// Setting of the fault of one service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitch {
    /// What the fault does.
    pub mode: FaultMode,
    /// Delay of an answer in the mode `slow`, in milliseconds.
    pub delay_ms: u64,
    /// Probability from 0 to 1 that the fault hits a request.
    pub probability: f64,
    /// Seed of the draw of the requests that are hit; if it is absent, the service's own seed,
    /// which the seed of the process determines.
    pub seed: Option<u64>,
    /// Time by which the instance list lags behind, in milliseconds, in every mode; other services
    /// ignore it.
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

/// Body of `POST /admin/faults`; a service that is left out keeps its setting.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Fault of the table service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table: Option<FaultSwitch>,
    /// Fault of the object store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objects: Option<FaultSwitch>,
    /// Fault of the instance list.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instances: Option<FaultSwitch>,
}

/// What the fault of a service does to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultAction {
    /// The request is served as usual.
    Serve,
    /// The request is answered with 503 and takes no effect.
    Refuse,
    /// The request is served after a delay.
    Delay(Duration),
    /// The request takes effect, and the connection is closed without an answer.
    LoseAnswer,
}

#[derive(Debug)]
struct FaultState {
    switch: FaultSwitch,
    generator: ChaCha8Rng,
}

/// Fault of one service, with the random generator that draws which requests it hits.
#[derive(Debug)]
pub struct FaultSource {
    seed: u64,
    state: Mutex<FaultState>,
}

impl FaultSource {
    /// Creates a source without a fault; `seed` is used by faults that have none of their own.
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

    /// Sets the fault and restarts the generator from the seed.
    pub fn set(&self, switch: FaultSwitch) {
        let generator = ChaCha8Rng::seed_from_u64(switch.seed.unwrap_or(self.seed));
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = FaultState { switch, generator };
    }

    /// Returns the time by which the instance list lags behind.
    pub fn lag(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_millis(state.switch.lag_ms)
    }

    /// Draws whether the fault hits the next request, and returns what it does then.
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
