//! Processor time, memory and bytes of one entry by the number of links.

use {
    super::{
        fakes::{FakeProcess, FakeRole, LinkBytes},
        series::MeasuredSeries,
        usage::{processor_seconds, resident_kib},
    },
    crate::{
        harness::{Fleet, FleetTopology, HarnessError, Result, ZoneTopology},
        platform::instances::InstanceBody,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time for the entry to read the list and open the links.
const SETTLE: Duration = Duration::from_secs(4);
/// Time over which a size is measured.
const WINDOW: Duration = Duration::from_secs(6);
const AGENTS: [usize; 3] = [10, 40, 120];
const PEERS: [usize; 3] = [4, 16, 48];
const TEAMS: [usize; 3] = [10, 100, 400];
/// Request kinds of a model agent.
const KINDS: usize = 4;

/// Costs of one entry with some links.
struct LinkCosts {
    processor_percent: f64,
    received: f64,
    sent: f64,
    resident_kib: f64,
    status_bytes: f64,
    list_bytes: f64,
}

/// Starts a fleet of one entry.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn start_entry() -> Result<Fleet> {
    Fleet::start(FleetTopology::new(vec![ZoneTopology::new("ruwi", 1)])).await
}

/// Starts fakes and puts them into the instance list, in place of earlier ones.
///
/// # Errors
///
/// Fails if a fake cannot be started.
pub async fn list_fakes(
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
    sleep(SETTLE).await;
    Ok(fakes)
}

async fn costs(fleet: &Fleet, role: FakeRole, count: usize) -> Result<LinkCosts> {
    let bytes = Arc::new(LinkBytes::default());
    let fakes = list_fakes(fleet, role, count, &bytes).await?;
    let entry = &fleet.entries[0];
    let process = entry.process.id();
    let (start, before) = (Instant::now(), bytes.read());
    let processor = processor_seconds(process)?;
    sleep(WINDOW).await;
    let elapsed = start.elapsed().as_secs_f64();
    let processor = processor_seconds(process)? - processor;
    let after = bytes.read();
    let status = fleet.read(entry.operator_address, "/v1/status").await?;
    let list = fleet.read(fleet.platform_address, "/v1/instances").await?;
    drop(fakes);
    Ok(LinkCosts {
        processor_percent: processor / elapsed * 100.0,
        // Bytes that the fakes sent are those that the entry received.
        received: (after.1 - before.1) / elapsed,
        sent: (after.0 - before.0) / elapsed,
        resident_kib: resident_kib(process)?,
        status_bytes: status.len() as f64,
        list_bytes: list.len() as f64,
    })
}

/// Series of all costs by one size.
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

/// Measures links to agents and to peers. Each size has a fresh entry, because an allocator
/// keeps the memory of earlier links.
///
/// # Errors
///
/// Fails if a process cannot be started or ends.
pub async fn measure() -> Result<()> {
    let mut agents = CostSeries::new("agents", "agents");
    for count in AGENTS {
        let fleet = start_entry().await?;
        let role = FakeRole::Agent { kinds: KINDS };
        agents.add(count, &costs(&fleet, role, count).await?);
    }
    agents.print();
    let mut peers = CostSeries::new("peers, 100 teams each", "peers");
    for count in PEERS {
        let fleet = start_entry().await?;
        let role = FakeRole::Peer { teams: 100 };
        peers.add(count, &costs(&fleet, role, count).await?);
    }
    peers.print();
    let mut teams = CostSeries::new("16 peers", "teams of a peer");
    for count in TEAMS {
        let fleet = start_entry().await?;
        let role = FakeRole::Peer { teams: count };
        teams.add(count, &costs(&fleet, role, 16).await?);
    }
    teams.print();
    Ok(())
}
