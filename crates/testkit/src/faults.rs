//! Fault runs: a fleet under load and under faults drawn by a seed, with an audit of the
//! guarantees at the end.

pub mod arguments;
pub mod audit;
pub mod balancer;
pub mod callers;
pub mod disturbances;
pub mod injector;
pub mod leaving;
pub mod observer;
pub mod operators;
pub mod round;
pub mod schedule;
pub mod totals;

pub use {arguments::FaultArguments, totals::FaultTotals};

use {
    crate::harness::{EntryHandle, Fleet, HarnessError, Result},
    std::{fs, net::SocketAddr},
};

/// Addresses of an entry, which stay the same over its restarts.
#[derive(Clone, Debug)]
pub struct TrackedEntry {
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address of metrics and health.
    pub metrics_address: SocketAddr,
}

impl From<&EntryHandle> for TrackedEntry {
    fn from(entry: &EntryHandle) -> Self {
        Self {
            name: entry.name.clone(),
            availability_zone: entry.availability_zone.clone(),
            caller_address: entry.caller_address,
            operator_address: entry.operator_address,
            metrics_address: entry.metrics_address,
        }
    }
}

/// Returns the entries of a fleet.
pub fn tracked_entries(fleet: &Fleet) -> Vec<TrackedEntry> {
    fleet.entries.iter().map(TrackedEntry::from).collect()
}

/// Runs all rounds and returns their totals.
///
/// # Errors
///
/// Fails if a fleet cannot be started or driven.
pub async fn run(arguments: FaultArguments) -> Result<FaultTotals> {
    let failed = |error| HarnessError::report(arguments.log.display(), error);
    fs::create_dir_all(&arguments.log).map_err(failed)?;
    let mut totals = FaultTotals::default();
    for number in 0..arguments.rounds {
        let round = round::run(&arguments, arguments.seed + number).await?;
        totals.add(round);
    }
    Ok(totals)
}
