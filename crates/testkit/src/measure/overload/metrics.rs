//! Counters of the entries and agents.

use crate::harness::{Fleet, Result};

/// Dispatches and retries since the start of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Dispatches that reached an agent.
    pub dispatches: f64,
    /// Attempts after the first one.
    pub retries: f64,
}

impl AttemptCounts {
    /// Reads the counters of all processes.
    ///
    /// # Errors
    ///
    /// Fails if a process does not answer.
    pub async fn read(fleet: &Fleet) -> Result<Self> {
        let mut counts = Self::default();
        for entry in &fleet.entries {
            let text = fleet.read(entry.metrics_address, "/metrics").await?;
            counts.retries += sum(&text, "entry_retries_total");
        }
        for agent in &fleet.agents {
            let text = fleet.read(agent.metrics_address, "/metrics").await?;
            counts.dispatches += sum(&text, "agent_dispatches_total");
        }
        Ok(counts)
    }

    /// Returns the retries since `earlier` as a share of first tries, in percent.
    pub fn retry_percent(&self, earlier: &Self) -> f64 {
        let retries = self.retries - earlier.retries;
        let first_tries = self.dispatches - earlier.dispatches - retries;
        100.0 * retries / first_tries.max(1.0)
    }
}

fn sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.contains(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
