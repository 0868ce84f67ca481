//! In-memory platform, target and entry for the tests of the agent.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file compiles the module and uses a part of it"
)]

pub mod entry;
pub mod platform;
pub mod target;

use {
    entry::TestEntry,
    platform::MemoryPlatform,
    sassafrasslip_daemon::{
        agent::{AgentContext, AgentParts, order_handler::NoOrders},
        options::{AgentOptions, InstanceOptions, agent::TargetKind},
        telemetry::metrics::MetricsRegistry,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    target::FakeTarget,
    tokio::{net::TcpListener, time::timeout},
    tokio_util::task::TaskTracker,
};

/// Longest time for which these tests wait for one condition, message or reply.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Loopback address with port 0, for which the operating system picks an unused port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Agent on an in-memory platform, in front of a fake target.
pub struct TestAgent {
    pub agent: Arc<AgentContext>,
    pub platform: Arc<MemoryPlatform>,
    pub target: Arc<FakeTarget>,
    pub work: TaskTracker,
    pub address: SocketAddr,
}

impl TestAgent {
    pub async fn start(kind: TargetKind) -> Self {
        Self::start_with(kind, Arc::default()).await
    }

    pub async fn start_with(kind: TargetKind, platform: Arc<MemoryPlatform>) -> Self {
        let target = FakeTarget::start().await;
        let work = TaskTracker::new();
        let agent = AgentContext::new(AgentParts {
            options: agent_options(kind, target.address),
            instance: InstanceOptions {
                name: "t1".parse().unwrap(),
                availability_zone: "a".parse().unwrap(),
                region: "r".parse().unwrap(),
            },
            table: platform.clone(),
            objects: platform.clone(),
            orders: Arc::new(NoOrders),
            registry: MetricsRegistry::default(),
            work: work.clone(),
        });
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        agent.start(listener, platform.clone()).await;
        Self {
            agent,
            platform,
            target,
            work,
            address,
        }
    }

    pub async fn connect(&self) -> TestEntry {
        TestEntry::connect(self.address).await
    }
}

fn agent_options(kind: TargetKind, target_address: SocketAddr) -> AgentOptions {
    AgentOptions {
        link_address: LOOPBACK,
        target_address,
        service: "prints".parse().unwrap(),
        kind,
        group: None,
        first_rank: 0,
        ranks: 1,
        concurrency: 4,
        idempotent_methods: vec!["GET".to_owned()],
        fencing: Default::default(),
    }
}

/// Waits until a condition holds; panics with the description after [`WAIT_LIMIT`].
pub async fn eventually(description: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_LIMIT, wait).await.expect(description);
}
