//! Readiness of the process, shared with the health endpoint.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Whether the process wants new work. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct HealthState {
    ready: Arc<AtomicBool>,
}

impl HealthState {
    /// Returns whether `/readyz` answers 200.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets what `/readyz` answers.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }
}
