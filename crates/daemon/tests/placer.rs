//! Guards map changes, at the placer and at the agents, against orders of a placer that no longer
//! holds the lease, restarts of agents, and an unreachable platform.

#[path = "placer/fakes.rs"]
mod fakes;

use {
    fakes::{FakeGroup, MemoryPlatform, SERVERS, hello, serve_agent, serve_engine},
    sassafrasslip_daemon::{
        agent::{
            orders::OrderParticipant,
            placer::{self, PlacerOptions, PlacerParts},
        },
        platform::{ListedInstance, ListedRole, ListedState},
    },
    sassafrasslip_proto::link::{MapOrder, MapReply, MapStep},
    sassafrasslip_testkit::test_cases,
    serde_json::json,
    std::{
        sync::{Arc, Mutex, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        runtime::Runtime,
        sync::watch,
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

const LEASE_KEY: &str = "placement/lease/drafting";

/// Group of two engine servers with their agents, on an in-memory platform.
struct TestGroup {
    platform: Arc<MemoryPlatform>,
    engines: Arc<Mutex<FakeGroup>>,
    agents: Vec<OrderParticipant>,
}

impl TestGroup {
    async fn start() -> Self {
        let platform = MemoryPlatform::new();
        let engines = FakeGroup::start();
        let mut agents = Vec::new();
        for server in 0..SERVERS {
            let engine = serve_engine(engines.clone(), server).await;
            let group = "drafting".parse().unwrap();
            let agent = OrderParticipant::new(group, engine, platform.clone());
            let link_address = serve_agent(server, agent.clone()).await;
            agents.push(agent);
            platform.instances.lock().unwrap().push(ListedInstance {
                instance: format!("target-{server}").parse().unwrap(),
                role: ListedRole::Target,
                availability_zone: "ruwi".parse().unwrap(),
                region: "muscat".parse().unwrap(),
                service: None,
                group: Some("drafting".parse().unwrap()),
                link_address,
                state: ListedState::Live,
            });
        }
        Self {
            platform,
            engines,
            agents,
        }
    }

    /// Starts the placer of one agent; it stops when the returned token is cancelled.
    fn start_placer(&self, server: usize) -> CancellationToken {
        let milliseconds = Duration::from_millis;
        let options = PlacerOptions {
            lease_duration: milliseconds(600),
            renewal_interval: milliseconds(100),
            takeover_pause: milliseconds(500),
            collect_interval: milliseconds(50),
            decision_interval: milliseconds(200),
            expert_bytes: 1_000,
            ..PlacerOptions::default()
        };
        let parts = PlacerParts {
            options,
            instance: format!("target-{server}").parse().unwrap(),
            incarnation: server as u64,
            service: "drafting".parse().unwrap(),
            group: "drafting".parse().unwrap(),
            first_rank: hello(server).service.unwrap().first_rank,
            hello: hello(server),
            table: self.platform.clone(),
            objects: self.platform.clone(),
            instances: self.platform.clone(),
            configuration: watch::channel(Arc::default()).1,
            orders: self.agents[server].clone(),
        };
        let stop = CancellationToken::new();
        tokio::spawn(placer::run(parts, stop.clone()));
        stop
    }

    /// Waits until the condition holds for the engines; panics with the description after 15 s.
    async fn wait_for(&self, description: &str, condition: impl Fn(&FakeGroup) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !condition(&self.engines.lock().unwrap()) {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {description}: {:?}",
                self.engines.lock().unwrap()
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the fencing token of the lease record.
    fn fencing_token(&self) -> u64 {
        let value = self.platform.item(LEASE_KEY).1.unwrap();
        let record: serde_json::Value = serde_json::from_str(&value).unwrap();
        record["fencing_token"].as_u64().unwrap()
    }

    /// Writes an expired lease of another holder with this fencing token.
    fn set_lease(&self, token: u64) {
        let record =
            json!({"holder": "gone", "incarnation": 9, "fencing_token": token, "expires_ms": 0});
        self.platform.set_item(LEASE_KEY, &record);
    }

    /// Sends an order of map change 7, or a query, to the agent of one server.
    async fn send(&self, server: usize, token: u64, step: MapStep) -> MapReply {
        let mut order = MapOrder {
            group: "drafting".to_owned(),
            fencing_token: token,
            change_id: if step == MapStep::Query { 0 } else { 7 },
            gate_step: u64::MAX / 2,
            ..MapOrder::default()
        };
        order.set_step(step);
        self.agents[server].handle(order).await
    }
}

fn block_on(test: impl Future<Output = ()>) {
    Runtime::new().unwrap().block_on(test);
}

#[test]
fn hot_experts_move_without_steps_on_mixed_maps() {
    block_on(async {
        let group = TestGroup::start().await;
        let _stop = group.start_placer(0);
        let changed = |engines: &FakeGroup| {
            let mut versions = engines.engines.iter().map(|engine| engine.map_version);
            versions.all(|version| version == (1 << 20) + 1)
        };
        group.wait_for("change", changed).await;
        assert_eq!(group.engines.lock().unwrap().mixed_steps, 0);
        assert_eq!(group.fencing_token(), 1);
        sleep(Duration::from_millis(500)).await;
        let extras = group.agents[0].report_extras();
        assert!(extras.map_version > 1 && extras.mean_step_us > 0);
        let [cost] = extras.kind_costs.as_slice() else {
            panic!("{extras:?}");
        };
        assert!(
            cost.kind == "captions" && cost.hot_rank_cost > 0.0,
            "{cost:?}"
        );
    });
}

/// Guards against a placer that goes on sending orders after its lease has lapsed because the
/// platform is unreachable.
#[test]
fn placer_stops_when_the_platform_is_unreachable() {
    block_on(async {
        let group = TestGroup::start().await;
        let _stop = group.start_placer(0);
        let orders = |engines: &FakeGroup| engines.engines[0].orders;
        group.wait_for("order", |engines| orders(engines) > 5).await;
        group.platform.down.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(1_000)).await;
        let before = orders(&group.engines.lock().unwrap());
        sleep(Duration::from_millis(500)).await;
        assert_eq!(orders(&group.engines.lock().unwrap()), before);
        group.platform.down.store(false, Ordering::SeqCst);
        group
            .wait_for("order after the outage", |engines| orders(engines) > before)
            .await;
        assert_eq!(group.fencing_token(), 2);
    });
}

/// Guards against a map change that stays unfinished after its placer died, or that is committed at
/// some agents only: the placer of another agent takes the lease over and commits or aborts it.
fn check_recovery(committed: bool, expected_version: u64) {
    block_on(async {
        let group = TestGroup::start().await;
        group.set_lease(1);
        for server in 0..SERVERS {
            for step in [MapStep::Prepare, MapStep::Arm] {
                assert!(group.send(server, 1, step).await.accepted);
            }
        }
        if committed {
            assert!(group.send(0, 1, MapStep::Commit).await.accepted);
        }
        for engine in &mut group.engines.lock().unwrap().engines {
            engine.gate_step = 0;
        }
        let started = Instant::now();
        let stop = group.start_placer(1);
        let settled = |engines: &FakeGroup| {
            let mut states = engines.engines.iter().map(|engine| engine.state);
            states.all(|state| state == "stepping")
        };
        group.wait_for("settlement", settled).await;
        stop.cancel();
        // The agent with the lower first rank is reachable, so the other placer pauses
        // before it takes over the lease.
        assert!(started.elapsed() >= Duration::from_millis(500));
        assert!(!group.send(0, 1, MapStep::Commit).await.accepted);
        let engines = group.engines.lock().unwrap();
        assert_eq!(engines.mixed_steps, 0);
        let versions: Vec<u64> = engines
            .engines
            .iter()
            .map(|engine| engine.map_version)
            .collect();
        assert_eq!(versions, [expected_version; SERVERS]);
    });
}

test_cases! {
    fn check_recovery(committed: bool, expected_version: u64);
    undecided_change_is_aborted: (false, 1);
    committed_change_is_committed_everywhere: (true, 7);
}

/// Guards against an agent that has just started and obeys a placer that lost its lease: it accepts
/// no order before it has read the current fencing token from the table.
fn check_restart(table_down: bool, current: u64, token: u64, refusal: &str) {
    block_on(async {
        let group = TestGroup::start().await;
        group.set_lease(current);
        group.platform.down.store(table_down, Ordering::SeqCst);
        let reply = group.send(0, token, MapStep::Query).await;
        assert!(reply.refusal.contains(refusal), "{reply:?}");
        assert_eq!(reply.accepted, refusal.is_empty());
    });
}

test_cases! {
    fn check_restart(table_down: bool, current: u64, token: u64, refusal: &str);
    no_order_before_the_token_is_known: (true, 5, 5, "fencing token is unknown");
    token_below_the_table_is_refused: (false, 5, 4, "fencing token 4 is below 5");
    current_token_is_accepted: (false, 5, 5, "");
}
