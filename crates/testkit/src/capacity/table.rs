//! Calls of idle entries and agents to the platform, counted at the stand-in.

use {
    super::{series::MeasuredSeries, usage::processor_seconds},
    crate::{
        harness::{
            Fleet, FleetTopology, GroupTopology, HarnessError, Result, ServiceTopology,
            ZoneTopology,
        },
        platform::counts::PlatformCounts,
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const SETTLE: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(6);
const ENTRIES: [usize; 3] = [1, 2, 4];
const AGENTS: [usize; 3] = [2, 4, 8];

/// Platform calls a second.
#[derive(Clone, Copy, Debug)]
pub struct CallRates {
    /// Reads of items.
    pub reads: f64,
    /// Scans.
    pub scans: f64,
    /// Transactions.
    pub writes: f64,
    /// Reads of the instance list.
    pub lists: f64,
    /// Length of the measurement, in seconds.
    pub seconds: f64,
}

/// Reads the platform's counters.
///
/// # Errors
///
/// Fails if the platform does not answer.
pub async fn counts(fleet: &Fleet) -> Result<PlatformCounts> {
    let text = fleet.read(fleet.platform_address, "/admin/counts").await?;
    serde_json::from_str(&text).map_err(|error| HarnessError::report("platform counts", error))
}

/// Returns the calls a second between two readings.
pub fn rates(before: PlatformCounts, after: PlatformCounts, start: Instant) -> CallRates {
    let seconds = start.elapsed().as_secs_f64();
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    CallRates {
        reads: rate(before.table_reads, after.table_reads),
        scans: rate(before.table_scans, after.table_scans),
        writes: rate(before.table_transactions, after.table_transactions),
        lists: rate(before.list_reads, after.list_reads),
        seconds,
    }
}

async fn idle(zone: ZoneTopology) -> Result<(CallRates, f64)> {
    let fleet = Fleet::start(FleetTopology::new(vec![zone])).await?;
    sleep(SETTLE).await;
    let (start, before) = (Instant::now(), counts(&fleet).await?);
    let processor = agent_seconds(&fleet)?;
    sleep(WINDOW).await;
    let rates = rates(before, counts(&fleet).await?, start);
    let processor = (agent_seconds(&fleet)? - processor) / rates.seconds * 100.0;
    Ok((rates, processor))
}

fn agent_seconds(fleet: &Fleet) -> Result<f64> {
    let processes = fleet.agents.iter().map(|agent| agent.process.id());
    processes.map(processor_seconds).sum()
}

struct IdleSeries {
    series: [MeasuredSeries; 4],
}

impl IdleSeries {
    fn new(what: &str, size: &'static str) -> Self {
        let names = [
            "table reads/s",
            "table scans/s",
            "table writes/s",
            "list reads/s",
        ];
        let series = names.map(|name| MeasuredSeries::new(format!("{what}: {name}"), size));
        Self { series }
    }

    fn add(&mut self, size: usize, rates: &CallRates) {
        let values = [rates.reads, rates.scans, rates.writes, rates.lists];
        for (series, value) in self.series.iter_mut().zip(values) {
            series.add(size as f64, value);
        }
    }

    fn print(&self) {
        self.series.iter().for_each(MeasuredSeries::print);
    }
}

/// Measures entries alone, agents of one model group, and agents of a plain service.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn measure() -> Result<()> {
    let mut entries = IdleSeries::new("entries", "entries");
    for count in ENTRIES {
        let (rates, _) = idle(ZoneTopology::new("ruwi", count)).await?;
        entries.add(count, &rates);
    }
    entries.print();
    let mut members = IdleSeries::new("one model group", "agents");
    let mut processor = MeasuredSeries::new("one model group: processor, % of a core", "agents");
    for count in AGENTS {
        let group = GroupTopology::new("drafting-1", "drafting", count);
        let (rates, percent) = idle(ZoneTopology::new("ruwi", 0).with_group(group)).await?;
        members.add(count, &rates);
        processor.add(count as f64, percent);
    }
    members.print();
    processor.print();
    let mut plain = IdleSeries::new("plain services", "agents");
    for count in AGENTS {
        let service = ServiceTopology::new("orders", count);
        let (rates, _) = idle(ZoneTopology::new("ruwi", 0).with_service(service)).await?;
        plain.add(count, &rates);
    }
    plain.print();
    Ok(())
}
