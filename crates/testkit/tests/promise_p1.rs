//! Guards P1: in every step, all ranks of a group use the same expert map.

mod promise_support;

use {
    clap::Parser,
    promise_support::{run, start},
    sassafrasslip_testkit::{
        engine::EngineLoad,
        harness::{Fleet, FleetTopology, GroupTopology, ProcessSignal, ZoneTopology},
        load::{self, LoadArguments},
    },
    serde_json::json,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Time in which the placer has to change the map once. It decides every 10 s, and its successor
/// waits for the lease of a placer that was killed.
const CHANGE_LIMIT: Duration = Duration::from_secs(40);
/// Skew that makes a change of the map worth its cost.
const SKEW: [&str; 6] = [
    "--popularity-skew=2",
    "--token-us=300",
    "--load-expert-us=20000",
    "--step-us=2000",
    "--experts=16",
    "--layers=4",
];

fn topology() -> FleetTopology {
    let mut group = GroupTopology::new("drafting-1", "drafting", 3);
    group.engine_arguments = SKEW.map(str::to_owned).to_vec();
    FleetTopology::new(vec![ZoneTopology::new("ruwi", 1).with_group(group)])
}

fn load_arguments(fleet: &Fleet) -> LoadArguments {
    let entry = format!("--entry={}", fleet.entries[0].caller_address);
    LoadArguments::parse_from([
        "load",
        &entry,
        "--model-service=drafting",
        "--concurrency=24",
        "--count=1000000",
        "--duration=60",
    ])
}

async fn map_version(fleet: &Fleet) -> u64 {
    let server = fleet.groups[0].servers[0];
    let text = fleet.read(server, "/v1/load").await.unwrap();
    serde_json::from_str::<EngineLoad>(&text)
        .unwrap()
        .map_version
}

/// Waits for a new map while one agent after the other is frozen for a moment.
async fn freeze_until_changed(fleet: &mut Fleet) -> u64 {
    let (first, end) = (map_version(fleet).await, Instant::now() + CHANGE_LIMIT);
    let mut number = 0;
    while map_version(fleet).await == first {
        assert!(Instant::now() < end, "the map stays at version {first}");
        let position = number % fleet.agents.len();
        fleet.agents[position]
            .process
            .signal(ProcessSignal::Stop)
            .unwrap();
        sleep(Duration::from_millis(150)).await;
        fleet.agents[position]
            .process
            .signal(ProcessSignal::Continue)
            .unwrap();
        sleep(Duration::from_millis(100)).await;
        number += 1;
    }
    first
}

/// Guards against ranks that change to a new map in different steps while their agents are
/// frozen in the middle of the change.
#[test]
fn map_changes_in_one_step_while_agents_are_frozen() {
    run(async {
        let mut fleet = start(topology()).await;
        let load = tokio::spawn(load::run(load_arguments(&fleet)));
        let first = freeze_until_changed(&mut fleet).await;
        let shift = json!({"kind": "general", "shift": 5});
        let server = fleet.groups[0].servers[0];
        fleet
            .switch(server, "/admin/popularity", &shift)
            .await
            .unwrap();
        sleep(Duration::from_secs(1)).await;
        let violations = fleet.violations(&fleet.groups[0]).await.unwrap();
        println!(
            "map {first} to {}: {violations:?}",
            map_version(&fleet).await
        );
        assert_eq!(violations.mixed_map_steps, 0, "{violations:?}");
        load.abort();
    });
}
