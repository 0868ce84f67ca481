//! Readiness of the process, shared with the endpoint `/readyz`.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Readiness of the process: whether it accepts new work. Not ready by default; clones share the
/// state.
#[derive(Clone, Debug, Default)]
pub struct HealthState {
    ready: Arc<AtomicBool>,
}

impl HealthState {
    /// Returns whether the process is ready; `/readyz` then answers 200 instead of 503.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets whether the process is ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }
}
