//! Fault runs: a fleet serves load while faults are injected from a seeded schedule; an audit at
//! the end checks the guarantees.

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

/// Name, zone and addresses of an entry. They stay the same when the entry is restarted.
#[derive(Clone, Debug)]
pub struct TrackedEntry {
    /// Instance name.
    pub name: String,
    /// Availability zone of the entry.
    pub availability_zone: String,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address of the operator API.
    pub operator_address: SocketAddr,
    /// Address that serves metrics and health checks.
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

/// Returns the names, zones and addresses of all entries of a fleet.
pub fn tracked_entries(fleet: &Fleet) -> Vec<TrackedEntry> {
    fleet.entries.iter().map(TrackedEntry::from).collect()
}

/// Runs all rounds, each with a new fleet and the next seed, and returns the sum of their totals.
///
/// # Errors
///
/// Returns an error if the log folder cannot be created, or if a fleet cannot be started or
/// controlled. A broken guarantee is no error: it is counted in the totals.
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
