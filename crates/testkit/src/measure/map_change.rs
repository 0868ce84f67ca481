//! Pause that a change of the expert map costs a group under load.

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

/// Time for which the group is watched.
const WATCH: Duration = Duration::from_secs(60);
/// Pause between two looks at the step; shorter than a step.
const LOOK_PAUSE: Duration = Duration::from_millis(1);
/// Pause between two shifts of the popularity of experts, each of which calls for a new map.
const SHIFT_PAUSE: Duration = Duration::from_secs(15);
/// Time before a new version during which the gate may have stopped the group.
const CHANGE_SPAN: Duration = Duration::from_secs(1);
/// Longest load; it is aborted when the watch ends.
const LOAD_SECONDS: u64 = 120;
const ENGINE: [&str; 6] = [
    "--popularity-skew=2",
    "--token-us=300",
    "--load-expert-us=20000",
    "--step-us=2000",
    "--experts=16",
    "--layers=4",
];

/// A time at which the step was seen to move.
struct Sighting {
    at: Instant,
    step: u64,
    map_version: u64,
}

/// Watches a group through several map changes and prints the longest pauses.
///
/// # Errors
///
/// Fails if the fleet does not start or the engine does not answer.
pub async fn run() -> Result<()> {
    println!("{}\n", machine::describe());
    let fleet = Fleet::start(topology()).await?;
    let load = tokio::spawn(load::run(load_arguments(&fleet, LOAD_SECONDS)));
    let sightings = watch(&fleet, fleet.groups[0].servers[0]).await?;
    load.abort();
    let violations = fleet.violations(&fleet.groups[0]).await?;
    println!("{}\n", report(&sightings));
    println!("steps with mixed maps: {}", violations.mixed_map_steps);
    Ok(())
}

/// Returns a fleet with one group whose expert popularity makes a change of the map worth its cost.
pub fn topology() -> FleetTopology {
    let mut group = GroupTopology::new("drafting-1", "drafting", 3);
    group.engine_arguments = ENGINE.map(str::to_owned).to_vec();
    FleetTopology::new(vec![ZoneTopology::new("ruwi", 1).with_group(group)])
}

/// Returns the load that keeps the group busy, for at most `seconds`.
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

async fn watch(fleet: &Fleet, server: SocketAddr) -> Result<Vec<Sighting>> {
    let (start, mut shifts) = (Instant::now(), 0);
    let mut sightings: Vec<Sighting> = Vec::new();
    while start.elapsed() < WATCH {
        if start.elapsed() > SHIFT_PAUSE * (shifts + 1) {
            shifts += 1;
            let shift = json!({"kind": "general", "shift": 5 * shifts});
            fleet
                .post_admin(server, "/admin/popularity", &shift)
                .await?;
        }
        let text = fleet.read(server, "/v1/load").await?;
        let load: EngineLoad =
            serde_json::from_str(&text).map_err(|error| HarnessError::report("/v1/load", error))?;
        if sightings.last().is_none_or(|last| last.step != load.step) {
            sightings.push(Sighting {
                at: Instant::now(),
                step: load.step,
                map_version: load.map_version,
            });
        }
        sleep(LOOK_PAUSE).await;
    }
    Ok(sightings)
}

fn report(sightings: &[Sighting]) -> String {
    let gaps: Vec<_> = sightings
        .windows(2)
        .map(|pair| (pair[1].at, pair[1].at - pair[0].at))
        .collect();
    let changes = sightings.windows(2);
    let changes = changes.filter(|pair| pair[0].map_version != pair[1].map_version);
    let changes: Vec<_> = changes.map(|pair| pair[1].at).collect();
    let in_change = |at: Instant| {
        let mut spans = changes.iter();
        spans.any(|change| at <= *change + CHANGE_SPAN && at + CHANGE_SPAN >= *change)
    };
    let (during, outside): (Vec<_>, Vec<_>) = gaps.iter().partition(|(at, _)| in_change(*at));
    let rows = [("within 1 s of a change", during), ("otherwise", outside)];
    let rows = rows.map(|(name, gaps)| row(name, gaps.iter().map(|(_, gap)| *gap).collect()));
    let head = ["time", "steps seen", "p50 ms", "p99 ms", "longest ms"];
    format!(
        "{} map changes\n\n{}",
        changes.len(),
        table::render(&head, &rows)
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
