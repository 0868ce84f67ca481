//! Platform calls of idle entries and agents, counted by the platform stand-in.

use {
    super::{series::MeasuredSeries, usage::cpu_seconds},
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

const SETTLE_TIME: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(6);
const ENTRIES: [usize; 3] = [1, 2, 4];
const AGENTS: [usize; 3] = [2, 4, 8];

/// Calls to the platform by kind, in calls a second.
#[derive(Clone, Copy, Debug)]
pub struct CallRates {
    /// Reads of table items.
    pub reads: f64,
    /// Scans of the table.
    pub scans: f64,
    /// Write transactions of the table.
    pub writes: f64,
    /// Reads of the instance list.
    pub lists: f64,
    /// Length of the measurement, in seconds.
    pub seconds: f64,
}

/// Reads the call counters of the platform stand-in.
///
/// # Errors
///
/// Fails if the stand-in does not answer or its answer is not a set of counters.
pub async fn read_counts(fleet: &Fleet) -> Result<PlatformCounts> {
    let text = fleet.read(fleet.platform_address, "/admin/counts").await?;
    serde_json::from_str(&text).map_err(|error| HarnessError::report("platform counts", error))
}

/// Returns the call rates between two readings, of which `after` was just taken.
pub fn call_rates(before: PlatformCounts, after: PlatformCounts, start: Instant) -> CallRates {
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

async fn measure_idle_fleet(zone: ZoneTopology) -> Result<(CallRates, f64)> {
    let fleet = Fleet::start(FleetTopology::new(vec![zone])).await?;
    sleep(SETTLE_TIME).await;
    let (start, before) = (Instant::now(), read_counts(&fleet).await?);
    let processor = agent_cpu_seconds(&fleet)?;
    sleep(WINDOW).await;
    let rates = call_rates(before, read_counts(&fleet).await?, start);
    let processor = (agent_cpu_seconds(&fleet)? - processor) / rates.seconds * 100.0;
    Ok((rates, processor))
}

fn agent_cpu_seconds(fleet: &Fleet) -> Result<f64> {
    let processes = fleet.agents.iter().map(|agent| agent.process.id());
    processes.map(cpu_seconds).sum()
}

struct CallRateSeries {
    series: [MeasuredSeries; 4],
}

impl CallRateSeries {
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

/// Measures entries alone, agents of one model group, and agents of a plain service, and prints
/// the series.
///
/// # Errors
///
/// Fails if a process cannot be started.
pub async fn measure() -> Result<()> {
    let mut entries = CallRateSeries::new("entries", "entries");
    for count in ENTRIES {
        let (rates, _) = measure_idle_fleet(ZoneTopology::new("ruwi", count)).await?;
        entries.add(count, &rates);
    }
    entries.print();
    let mut group_agents = CallRateSeries::new("one model group", "agents");
    let mut processor = MeasuredSeries::new("one model group: processor, % of a core", "agents");
    for count in AGENTS {
        let group = GroupTopology::new("drafting-1", "drafting", count);
        let (rates, percent) =
            measure_idle_fleet(ZoneTopology::new("ruwi", 0).with_group(group)).await?;
        group_agents.add(count, &rates);
        processor.add(count as f64, percent);
    }
    group_agents.print();
    processor.print();
    let mut plain = CallRateSeries::new("plain services", "agents");
    for count in AGENTS {
        let service = ServiceTopology::new("orders", count);
        let (rates, _) =
            measure_idle_fleet(ZoneTopology::new("ruwi", 0).with_service(service)).await?;
        plain.add(count, &rates);
    }
    plain.print();
    Ok(())
}
