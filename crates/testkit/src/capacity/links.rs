//! CPU time, memory and link traffic of one entry by the number of links.

use {
    super::{
        fakes::{FakeProcess, FakeRole, LinkBytes},
        series::MeasuredSeries,
        usage::{cpu_seconds, resident_kib},
    },
    crate::{
        harness::{Fleet, FleetTopology, HarnessError, Result, ZoneTopology},
        platform::instances::InstanceBody,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time for the entry to read the instance list and open its links.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Length of the measurement at each size.
const WINDOW: Duration = Duration::from_secs(6);
const AGENTS: [usize; 3] = [10, 40, 120];
const PEERS: [usize; 3] = [4, 16, 48];
const TEAMS: [usize; 3] = [10, 100, 400];
/// Request kinds in the reports of a fake agent.
const KINDS: usize = 4;

/// Costs of one entry with a number of links; traffic is in bytes a second.
struct LinkCosts {
    processor_percent: f64,
    received: f64,
    sent: f64,
    resident_kib: f64,
    status_bytes: f64,
    list_bytes: f64,
}

/// Starts a fleet of one entry without agents.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn start_entry() -> Result<Fleet> {
    Fleet::start(FleetTopology::new(vec![ZoneTopology::new("ruwi", 1)])).await
}

/// Starts `count` fakes, replaces the instance list by them, and waits until the entry has opened
/// its links. `bytes` counts their traffic.
///
/// # Errors
///
/// Fails if a fake cannot be started.
pub async fn start_fakes(
    fleet: &Fleet,
    role: FakeRole,
    count: usize,
    bytes: &Arc<LinkBytes>,
) -> Result<Vec<FakeProcess>> {
    let mut fakes = Vec::new();
    for number in 0..count {
        let fake = FakeProcess::start(role, number, Arc::clone(bytes)).await;
        fakes.push(fake.map_err(|error| HarnessError::report("fake process", error))?);
    }
    let listed = fakes.iter().map(|fake| fake.listing.clone());
    let body = InstanceBody {
        instances: listed.collect(),
    };
    fleet
        .post_admin(fleet.platform_address, "/admin/instances", &body)
        .await?;
    sleep(SETTLE_TIME).await;
    Ok(fakes)
}

async fn measure_links(fleet: &Fleet, role: FakeRole, count: usize) -> Result<LinkCosts> {
    let bytes = Arc::new(LinkBytes::default());
    let fakes = start_fakes(fleet, role, count, &bytes).await?;
    let entry = &fleet.entries[0];
    let process = entry.process.id();
    let (start, before) = (Instant::now(), bytes.read());
    let processor = cpu_seconds(process)?;
    sleep(WINDOW).await;
    let elapsed = start.elapsed().as_secs_f64();
    let processor = cpu_seconds(process)? - processor;
    let after = bytes.read();
    let status = fleet.read(entry.operator_address, "/v1/status").await?;
    let list = fleet.read(fleet.platform_address, "/v1/instances").await?;
    drop(fakes);
    Ok(LinkCosts {
        processor_percent: processor / elapsed * 100.0,
        // The fakes count from their side: what they sent, the entry received.
        received: (after.1 - before.1) / elapsed,
        sent: (after.0 - before.0) / elapsed,
        resident_kib: resident_kib(process)?,
        status_bytes: status.len() as f64,
        list_bytes: list.len() as f64,
    })
}

/// One series for each cost, all by the same size.
struct CostSeries {
    series: Vec<MeasuredSeries>,
}

impl CostSeries {
    fn new(what: &str, size: &'static str) -> Self {
        let names = [
            "processor, % of a core",
            "received, bytes/s",
            "sent, bytes/s",
            "resident, KiB",
            "status answer, bytes",
            "instance list, bytes",
        ];
        let series = names.map(|name| MeasuredSeries::new(format!("{what}: {name}"), size));
        Self {
            series: series.into(),
        }
    }

    fn add(&mut self, size: usize, costs: &LinkCosts) {
        let values = [
            costs.processor_percent,
            costs.received,
            costs.sent,
            costs.resident_kib,
            costs.status_bytes,
            costs.list_bytes,
        ];
        for (series, value) in self.series.iter_mut().zip(values) {
            series.add(size as f64, value);
        }
    }

    fn print(&self) {
        self.series.iter().for_each(MeasuredSeries::print);
    }
}

/// Measures links to agents and to peers, and prints the series. Each size has a new entry,
/// because the allocator of an entry keeps the memory of closed links.
///
/// # Errors
///
/// Fails if a process cannot be started or ends early.
pub async fn measure() -> Result<()> {
    let mut agents = CostSeries::new("agents", "agents");
    for count in AGENTS {
        let fleet = start_entry().await?;
        let role = FakeRole::Agent { kinds: KINDS };
        agents.add(count, &measure_links(&fleet, role, count).await?);
    }
    agents.print();
    let mut peers = CostSeries::new("peers, 100 teams each", "peers");
    for count in PEERS {
        let fleet = start_entry().await?;
        let role = FakeRole::Peer { teams: 100 };
        peers.add(count, &measure_links(&fleet, role, count).await?);
    }
    peers.print();
    let mut teams = CostSeries::new("16 peers", "teams of a peer");
    for count in TEAMS {
        let fleet = start_entry().await?;
        let role = FakeRole::Peer { teams: count };
        teams.add(count, &measure_links(&fleet, role, 16).await?);
    }
    teams.print();
    Ok(())
}
