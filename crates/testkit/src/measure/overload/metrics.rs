//! Metrics of the entries and agents.

use crate::harness::{Fleet, Result};

/// Dispatches and retries of all processes since the start of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Dispatches that agents have received.
    pub dispatches: f64,
    /// Attempts after the first one of a request.
    pub retries: f64,
}

impl AttemptCounts {
    /// Reads the counters of all processes.
    ///
    /// # Errors
    ///
    /// Fails if a process does not answer the request for its metrics.
    pub async fn read(fleet: &Fleet) -> Result<Self> {
        let mut counts = Self::default();
        for entry in &fleet.entries {
            let text = fleet.read(entry.metrics_address, "/metrics").await?;
            counts.retries += sum_samples(&text, "entry_retries_total");
        }
        for agent in &fleet.agents {
            let text = fleet.read(agent.metrics_address, "/metrics").await?;
            counts.dispatches += sum_samples(&text, "agent_dispatches_total");
        }
        Ok(counts)
    }

    /// Returns the retries since `earlier` as a share of the first attempts since then, in percent.
    pub fn retry_percent(&self, earlier: &Self) -> f64 {
        let retries = self.retries - earlier.retries;
        let first_attempts = self.dispatches - earlier.dispatches - retries;
        100.0 * retries / first_attempts.max(1.0)
    }
}

fn sum_samples(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.contains(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
