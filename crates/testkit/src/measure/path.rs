//! Cost of the request path through one entry and its agents, compared with direct calls to the
//! stand-ins.

pub mod latency;
pub mod streams;
pub mod throughput;

use {
    super::{machine, operator, table},
    crate::harness::{
        EntryHandle, Fleet, FleetTopology, GroupTopology, HarnessError, Result, ServiceTopology,
        ZoneTopology,
    },
};

/// Name of the plain service.
const PLAIN_SERVICE: &str = "desk";
/// Name of the model service with short steps, for the latency measurement.
const QUICK_SERVICE: &str = "quick";
/// Name of the model service with long steps, whose streams stay open during the measurement.
const SLOW_SERVICE: &str = "slow";
/// Number of streams that the engines and the concurrency limits allow; more than are opened.
const MAX_STREAMS: &str = "2000";

/// Runs the latency, throughput and memory measurements and prints their tables.
///
/// # Errors
///
/// Fails if the fleet does not start or a call is not answered correctly.
pub async fn run() -> Result<()> {
    println!("{}\n", machine::describe());
    let fleet = Fleet::start(topology()).await?;
    let entry = fleet.entries.first();
    let entry = entry.ok_or_else(|| HarnessError::report("fleet", "no entry"))?;
    raise_limits(&fleet, entry).await?;
    let memory = streams::run(entry).await?;
    let latency = latency::run(&fleet, entry).await?;
    let throughput = throughput::run(entry).await?;
    for part in [latency, throughput, memory] {
        println!("{part}\n");
    }
    Ok(())
}

/// Raises the limits, because the load is far above the defaults for one team, and turns placement
/// off.
async fn raise_limits(fleet: &Fleet, entry: &EntryHandle) -> Result<()> {
    let values = [
        ("limits.team_concurrency", MAX_STREAMS),
        ("limits.team_rate", "100000"),
        ("limits.target_concurrency", MAX_STREAMS),
        ("placement.mode", "off"),
    ];
    operator::set_defaults(fleet, entry, &values).await
}

fn topology() -> FleetTopology {
    let group = |name: &str, step_us: &str| GroupTopology {
        ranks: 1,
        concurrency: 2000,
        engine_arguments: [
            "--layers",
            "1",
            "--step-us",
            step_us,
            "--token-us",
            "0",
            "--max-running",
            MAX_STREAMS,
        ]
        .map(str::to_owned)
        .to_vec(),
        ..GroupTopology::new(&format!("{name}-1"), name, 1)
    };
    let mut zone = ZoneTopology::new("zone-1", 1)
        .with_group(group(QUICK_SERVICE, "1000"))
        .with_group(group(SLOW_SERVICE, "500000"))
        .with_service(ServiceTopology::new(PLAIN_SERVICE, 1));
    zone.services[0].concurrency = 2000;
    let mut topology = FleetTopology::new(vec![zone]);
    // The log is on because writing the log lines of each request is a cost of the path, as in a
    // production fleet.
    let log = ("log", "format", "json");
    topology.settings = vec![(log.0.to_owned(), log.1.to_owned(), log.2.to_owned())];
    topology
}
