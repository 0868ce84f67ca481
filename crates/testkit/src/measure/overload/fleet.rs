//! Fleet of the overload measurement: two entries in front of four engine servers.

use {
    crate::{
        harness::{Fleet, FleetTopology, GroupTopology, HarnessError, Result, ZoneTopology},
        measure::operator,
    },
    std::fmt,
};

/// Name of the model service of the fleet.
pub const SERVICE: &str = "drafting";
/// Requests that an engine server runs at once; the rest wait in its queue.
pub const MAX_RUNNING: usize = 8;
/// Number of engine servers.
pub const SERVERS: usize = 4;
/// Value of all limits in the baseline, far above the load.
const RAISED_LIMIT: usize = 10_000;

/// Limits of a measured fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitMode {
    /// All limits are far above the load.
    Raised,
    /// The default limits apply.
    System,
}

impl fmt::Display for LimitMode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Raised => "Baseline: limits raised out of the way",
            Self::System => "Limits of the system",
        })
    }
}

/// Starts the fleet and sets its limits.
///
/// # Errors
///
/// Fails if a process does not start or a default is not accepted.
pub async fn start(mode: LimitMode) -> Result<Fleet> {
    let fleet = Fleet::start(topology(mode)).await?;
    let entry = fleet.entries.first();
    let entry = entry.ok_or_else(|| HarnessError::report("fleet", "no entry"))?;
    // Placement is off because map changes would add noise to the step times.
    let mut values = vec![("placement.mode", "off")];
    let raised = RAISED_LIMIT.to_string();
    if mode == LimitMode::Raised {
        values.extend([
            ("limits.team_concurrency", raised.as_str()),
            ("limits.team_rate", &raised),
            ("limits.queue_length", &raised),
            ("limits.target_concurrency", &raised),
        ]);
    }
    operator::set_defaults(&fleet, entry, &values).await?;
    Ok(fleet)
}

fn topology(mode: LimitMode) -> FleetTopology {
    let concurrency = match mode {
        LimitMode::Raised => RAISED_LIMIT,
        LimitMode::System => MAX_RUNNING,
    };
    let max_running = MAX_RUNNING.to_string();
    let engine = [
        "--popularity-skew",
        "0",
        "--step-us",
        "10000",
        "--max-running",
        &max_running,
    ];
    let group = |name: &str| GroupTopology {
        ranks: 2,
        concurrency,
        engine_arguments: engine.map(str::to_owned).to_vec(),
        ..GroupTopology::new(name, SERVICE, SERVERS / 2)
    };
    let zone = ZoneTopology::new("zone-1", 2)
        .with_group(group("group-1"))
        .with_group(group("group-2"));
    FleetTopology::new(vec![zone])
}
