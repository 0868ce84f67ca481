//! Pause that a change of the expert map causes in a group under load.

use {
    super::{machine, table},
    crate::{
        engine::EngineLoad,
        harness::{Fleet, FleetTopology, GroupTopology, HarnessError, Result, ZoneTopology},
        load::{self, LoadArguments},
    },
    clap::Parser,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time for which the group is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(60);
/// Pause between two reads of the step number; shorter than a step.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval between shifts of the expert popularity, each of which makes a new map worthwhile.
const SHIFT_INTERVAL: Duration = Duration::from_secs(15);
/// Distance from a change of the map version within which a pause counts as caused by it: the gate
/// may stop the group shortly before the new version is seen.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);
/// Upper bound of the duration of the load, in seconds; it is aborted when the observation ends.
const MAX_LOAD_SECONDS: u64 = 120;
const ENGINE_ARGUMENTS: [&str; 6] = [
    "--popularity-skew=2",
    "--token-us=300",
    "--load-expert-us=20000",
    "--step-us=2000",
    "--experts=16",
    "--layers=4",
];

/// First observation of a new step.
struct StepObservation {
    at: Instant,
    step: u64,
    map_version: u64,
}

/// Observes a group through several map changes and prints the distribution of the times between
/// steps, near the changes and otherwise.
///
/// # Errors
///
/// Fails if the fleet does not start or the engine does not answer.
pub async fn run() -> Result<()> {
    println!("{}\n", machine::describe());
    let fleet = Fleet::start(topology()).await?;
    let load = tokio::spawn(load::run(load_arguments(&fleet, MAX_LOAD_SECONDS)));
    let observations = observe(&fleet, fleet.groups[0].servers[0]).await?;
    load.abort();
    let violations = fleet.violations(&fleet.groups[0]).await?;
    println!("{}\n", report(&observations));
    println!("steps with mixed maps: {}", violations.mixed_map_steps);
    Ok(())
}

/// Returns a fleet with one group, whose skewed expert popularity makes map changes worth their
/// cost.
pub fn topology() -> FleetTopology {
    let mut group = GroupTopology::new("drafting-1", "drafting", 3);
    group.engine_arguments = ENGINE_ARGUMENTS.map(str::to_owned).to_vec();
    FleetTopology::new(vec![ZoneTopology::new("ruwi", 1).with_group(group)])
}

/// Returns the arguments of a load that keeps the group busy for at most `seconds`.
pub fn load_arguments(fleet: &Fleet, seconds: u64) -> LoadArguments {
    let entry = format!("--entry={}", fleet.entries[0].caller_address);
    let duration = format!("--duration={seconds}");
    LoadArguments::parse_from([
        "load",
        &entry,
        "--model-service=drafting",
        "--concurrency=24",
        "--count=1000000",
        &duration,
    ])
}

async fn observe(fleet: &Fleet, server: SocketAddr) -> Result<Vec<StepObservation>> {
    let (start, mut shifts) = (Instant::now(), 0);
    let mut observations: Vec<StepObservation> = Vec::new();
    while start.elapsed() < OBSERVATION_TIME {
        if start.elapsed() > SHIFT_INTERVAL * (shifts + 1) {
            shifts += 1;
            let shift = json!({"kind": "general", "shift": 5 * shifts});
            fleet
                .post_admin(server, "/admin/popularity", &shift)
                .await?;
        }
        let text = fleet.read(server, "/v1/load").await?;
        let load: EngineLoad =
            serde_json::from_str(&text).map_err(|error| HarnessError::report("/v1/load", error))?;
        if observations
            .last()
            .is_none_or(|last| last.step != load.step)
        {
            observations.push(StepObservation {
                at: Instant::now(),
                step: load.step,
                map_version: load.map_version,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(observations)
}

fn report(observations: &[StepObservation]) -> String {
    let gaps: Vec<_> = observations
        .windows(2)
        .map(|pair| (pair[1].at, pair[1].at - pair[0].at))
        .collect();
    let changes = observations.windows(2);
    let changes = changes.filter(|pair| pair[0].map_version != pair[1].map_version);
    let changes: Vec<_> = changes.map(|pair| pair[1].at).collect();
    let near_change = |at: Instant| {
        let mut spans = changes.iter();
        spans.any(|change| at <= *change + CHANGE_WINDOW && at + CHANGE_WINDOW >= *change)
    };
    let (during, outside): (Vec<_>, Vec<_>) = gaps.iter().partition(|(at, _)| near_change(*at));
    let rows = [("within 1 s of a change", during), ("otherwise", outside)];
    let rows = rows.map(|(name, gaps)| row(name, gaps.iter().map(|(_, gap)| *gap).collect()));
    let header = ["time", "steps seen", "p50 ms", "p99 ms", "longest ms"];
    format!(
        "{} map changes\n\n{}",
        changes.len(),
        table::render(&header, &rows)
    )
}

fn row(name: &str, mut gaps: Vec<Duration>) -> Vec<String> {
    gaps.sort_unstable();
    let at = |share: f64| {
        let position = (gaps.len().saturating_sub(1) as f64 * share) as usize;
        let gap = gaps.get(position).copied().unwrap_or_default();
        format!("{:.1}", gap.as_secs_f64() * 1000.0)
    };
    vec![
        name.to_owned(),
        gaps.len().to_string(),
        at(0.5),
        at(0.99),
        at(1.0),
    ]
}
