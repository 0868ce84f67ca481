//! Cost of the path through one entry and its agents, against direct calls to the stand-ins.

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

/// Plain service.
const PLAIN: &str = "desk";
/// Model service with short steps, for latencies.
const QUICK: &str = "quick";
/// Model service with long steps, for streams that stay open.
const SLOW: &str = "slow";
/// Streams that the slow service and all limits must allow.
const MOST_STREAMS: &str = "2000";

/// Runs all parts and prints their tables.
///
/// # Errors
///
/// Fails if the fleet does not start or a call is answered wrongly.
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

/// The measured load is far above the default limits of one team.
async fn raise_limits(fleet: &Fleet, entry: &EntryHandle) -> Result<()> {
    let values = [
        ("limits.team_concurrency", MOST_STREAMS),
        ("limits.team_rate", "100000"),
        ("limits.target_concurrency", MOST_STREAMS),
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
            MOST_STREAMS,
        ]
        .map(str::to_owned)
        .to_vec(),
        ..GroupTopology::new(&format!("{name}-1"), name, 1)
    };
    let mut zone = ZoneTopology::new("zone-1", 1)
        .with_group(group(QUICK, "1000"))
        .with_group(group(SLOW, "500000"))
        .with_service(ServiceTopology::new(PLAIN, 1));
    zone.services[0].concurrency = 2000;
    let mut topology = FleetTopology::new(vec![zone]);
    // Log lines of each request belong to the path, as in a real fleet.
    let log = ("log", "format", "json");
    topology.settings = vec![(log.0.to_owned(), log.1.to_owned(), log.2.to_owned())];
    topology
}
