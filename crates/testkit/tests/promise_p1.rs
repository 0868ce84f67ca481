//! Tests of guarantee P1: in every step, all ranks of a group use the same expert map.

mod promise_support;

use {
    promise_support::{run, start},
    sassafrasslip_testkit::{
        engine::EngineLoad,
        harness::{Fleet, ProcessSignal},
        load,
        measure::map_change::{load_arguments, topology},
    },
    serde_json::json,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Time within which placement has to change the map once. A placement decision is made every 10 s,
/// and after the placer has been killed its successor waits for the lease to expire.
const CHANGE_LIMIT: Duration = Duration::from_secs(40);
/// Longest duration of the load in seconds; the test aborts the load when it ends.
const LOAD_SECONDS: u64 = 60;

async fn map_version(fleet: &Fleet) -> u64 {
    let server = fleet.groups[0].servers[0];
    let text = fleet.read(server, "/v1/load").await.unwrap();
    serde_json::from_str::<EngineLoad>(&text)
        .unwrap()
        .map_version
}

/// Freezes one agent after the other for a moment until the map changes. Returns the version before
/// the change.
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

/// Guards against ranks that switch to a new map in different steps, because their agents are
/// frozen in the middle of the map change.
#[test]
fn map_changes_in_one_step_while_agents_are_frozen() {
    run(async {
        let mut fleet = start(topology()).await;
        let load = tokio::spawn(load::run(load_arguments(&fleet, LOAD_SECONDS)));
        let first = freeze_until_changed(&mut fleet).await;
        let shift = json!({"kind": "general", "shift": 5});
        let server = fleet.groups[0].servers[0];
        fleet
            .post_admin(server, "/admin/popularity", &shift)
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
