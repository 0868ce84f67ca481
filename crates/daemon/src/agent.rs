//! The agent runs beside one target. It admits or refuses the dispatches of entries, forwards the
//! admitted ones to the target, and takes part in expert map changes of the target's model group.

pub mod admission;
pub mod answers;
pub mod backend;
pub mod calls;
pub mod claims;
pub mod clock;
pub mod health;
pub mod membership;
pub mod metrics;
pub mod order_handler;
pub mod orders;
pub mod placement;
pub mod placer;
pub mod reports;
pub mod server;

use {
    crate::{
        DaemonError, Result,
        constants::LINK_CLOSE_TIMEOUT,
        lifecycle::Daemon,
        listen,
        options::{AgentOptions, DaemonOptions, InstanceOptions, agent::TargetKind},
        platform::{HttpPlatform, InstanceList, ObjectStore, TableService},
        telemetry::{
            HealthState,
            metrics::{self as metrics_server, MetricsRegistry},
        },
    },
    admission::{Admission, DrainReason},
    backend::Backend,
    claims::{ClaimService, sweeper},
    clock::AgentClock,
    error_stack::{Report, ResultExt},
    metrics::AgentMetrics,
    order_handler::{NoOrders, OrderHandler},
    placement::GroupPlacement,
    sassafrasslip_core::configuration::ConfigurationSnapshot,
    sassafrasslip_proto::{
        PROTOCOL_VERSION,
        link::{Hello, ProcessRole, ServiceFacts, ServiceKind},
    },
    std::sync::Arc,
    tokio::{net::TcpListener, sync::watch, time::timeout},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Settings and services that an agent is created from.
pub struct AgentParts {
    /// Settings of section `agent`.
    pub options: AgentOptions,
    /// Settings of section `instance`.
    pub instance: InstanceOptions,
    /// Table that holds claim records.
    pub table: Arc<dyn TableService>,
    /// Object store that holds answers too large for a claim record.
    pub objects: Arc<dyn ObjectStore>,
    /// Handler of the placer's orders on expert maps.
    pub orders: Arc<dyn OrderHandler>,
    /// Registry to which the agent adds its metrics.
    pub registry: MetricsRegistry,
    /// Tracker of the tasks that a graceful stop waits for.
    pub work: TaskTracker,
}

/// State that all tasks of an agent share.
pub struct AgentContext {
    pub(crate) options: AgentOptions,
    pub(crate) instance: InstanceOptions,
    incarnation: u64,
    /// Admission control for dispatches.
    pub admission: Admission,
    pub(crate) backend: Backend,
    /// Claims of non-idempotent calls.
    pub claims: Arc<ClaimService>,
    pub(crate) clock: AgentClock,
    /// Newest configuration snapshot that an entry has sent.
    pub configuration: watch::Sender<Arc<ConfigurationSnapshot>>,
    pub(crate) orders: Arc<dyn OrderHandler>,
    /// Metrics of this agent.
    pub metrics: AgentMetrics,
    pub(crate) work: TaskTracker,
    links: TaskTracker,
    /// Cancelled once all tracked work is done; the link tasks then close their links.
    finished: CancellationToken,
}

impl AgentContext {
    /// Creates the context of an agent and starts its queue of claim inserts.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn new(parts: AgentParts) -> Arc<Self> {
        let metrics = AgentMetrics::new(&parts.registry);
        let incarnation = rand::random();
        let clock = AgentClock::default();
        let claims = ClaimService::new(
            parts.table,
            parts.objects,
            clock.clone(),
            incarnation,
            metrics.clone(),
        );
        let concurrency = parts.options.concurrency;
        Arc::new(Self {
            admission: Admission::new(concurrency, metrics.clone(), parts.work.clone()),
            backend: Backend::new(parts.options.target_address),
            options: parts.options,
            instance: parts.instance,
            incarnation,
            claims: Arc::new(claims),
            clock,
            configuration: watch::channel(Arc::default()).0,
            orders: parts.orders,
            metrics,
            work: parts.work,
            links: TaskTracker::new(),
            finished: CancellationToken::new(),
        })
    }

    /// Runs one health check of the target, then spawns all background tasks, among them the one
    /// that accepts links on `listener`.
    pub async fn start(self: &Arc<Self>, listener: TcpListener, instances: Arc<dyn InstanceList>) {
        health::check(&self.backend, &self.admission).await;
        tokio::spawn(self.clock.clone().run());
        tokio::spawn(health::run(self.backend, self.admission.clone()));
        let name = self.instance.name.clone();
        tokio::spawn(membership::run(instances, self.admission.clone(), name));
        if self.options.kind == TargetKind::Plain {
            let service = self.options.service.clone();
            tokio::spawn(sweeper::run(self.claims.clone(), service));
        }
        tokio::spawn(server::run(self.clone(), listener));
    }

    /// Closes the links after their queued frames are sent, within [`LINK_CLOSE_TIMEOUT`]. Call
    /// this when all tracked work is done.
    pub async fn close_links(&self) {
        self.finished.cancel();
        self.links.close();
        let _ = timeout(LINK_CLOSE_TIMEOUT, self.links.wait()).await;
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: self.instance.name.to_string(),
            incarnation: self.incarnation,
            availability_zone: self.instance.availability_zone.to_string(),
            region: self.instance.region.to_string(),
            role: ProcessRole::Agent.into(),
            configuration_revision: self.admission.revision(),
            service: Some(self.service_facts()),
        }
    }

    fn service_facts(&self) -> ServiceFacts {
        let options = &self.options;
        let kind = match options.kind {
            TargetKind::Model => ServiceKind::Model,
            TargetKind::Plain => ServiceKind::Plain,
        };
        let group = options.group.as_ref();
        ServiceFacts {
            service: options.service.to_string(),
            kind: kind.into(),
            group: group.map(ToString::to_string).unwrap_or_default(),
            first_rank: options.first_rank,
            ranks: options.ranks,
            concurrency: options.concurrency,
            idempotent_methods: options.idempotent_methods.clone(),
        }
    }
}

/// Runs an agent until the process is asked to stop and its work is done.
///
/// # Errors
///
/// Fails without an `agent` section, if an address cannot be bound, or if the signal handlers
/// cannot be installed.
pub async fn serve(options: DaemonOptions) -> Result<()> {
    let Some(agent_options) = options.agent else {
        return Err(Report::new(DaemonError::ReadSettings));
    };
    let health = HealthState::default();
    let daemon = Daemon::new(options.stop, health.clone());
    let listener = listen::bind("agent", "link_address", agent_options.link_address)
        .await
        .change_context(DaemonError::Listen)?;
    let registry = MetricsRegistry::default();
    metrics_server::serve(options.metrics.address, registry.clone(), health)
        .await
        .change_context(DaemonError::Listen)?;
    let platform = Arc::new(HttpPlatform::new(options.platform));
    let placement = GroupPlacement::new(&agent_options, platform.clone());
    let orders: Arc<dyn OrderHandler> = match &placement {
        Some(placement) => placement.handler(),
        None => Arc::new(NoOrders),
    };
    let agent = AgentContext::new(AgentParts {
        options: agent_options,
        instance: options.instance,
        table: platform.clone(),
        objects: platform.clone(),
        orders,
        registry,
        work: daemon.work(),
    });
    agent.start(listener, platform.clone()).await;
    if let Some(placement) = placement {
        placement.start(&agent, platform, daemon.draining());
    }
    let draining = daemon.serve().wait_for_stop().await;
    let draining = draining.change_context(DaemonError::Serve)?;
    // Set before the wait for running work, so that no dispatch is admitted after that wait ends.
    agent.admission.set_draining(DrainReason::Stop, true);
    draining.finish().await;
    agent.close_links().await;
    Ok(())
}
