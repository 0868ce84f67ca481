//! Connects the map change participant and the placer of a model group with their agent.

use {
    super::{
        AgentContext,
        order_handler::{OrderFuture, OrderHandler, ReportExtras},
        orders::OrderParticipant,
        placer::{self, PlacerOptions, PlacerParts},
    },
    crate::{
        constants::REPORT_INTERVAL,
        options::{AgentOptions, agent::TargetKind},
        platform::HttpPlatform,
    },
    sassafrasslip_core::ids::GroupName,
    sassafrasslip_proto::link::MapOrder,
    std::sync::Arc,
    tokio_util::sync::CancellationToken,
};

/// Map change participant of one model target, from which its placer is started.
pub struct GroupPlacement {
    group: GroupName,
    participant: OrderParticipant,
}

impl GroupPlacement {
    /// Creates the participant of a model target; `None` for plain targets and for model targets
    /// without a group.
    pub fn new(options: &AgentOptions, platform: Arc<HttpPlatform>) -> Option<Self> {
        let group = options.group.clone()?;
        if options.kind != TargetKind::Model {
            return None;
        }
        let participant = OrderParticipant::new(group.clone(), options.target_address, platform);
        Some(Self { group, participant })
    }

    /// Returns the handler for orders on expert maps.
    pub fn handler(&self) -> Arc<dyn OrderHandler> {
        Arc::new(self.participant.clone())
    }

    /// Starts to poll the engine's load, and to compete for the placement lease until `stop` is
    /// cancelled.
    pub fn start(self, agent: &AgentContext, platform: Arc<HttpPlatform>, stop: CancellationToken) {
        let Self { group, participant } = self;
        let watched = participant.clone();
        tokio::spawn(async move { watched.watch_engine(REPORT_INTERVAL).await });
        let parts = PlacerParts {
            options: PlacerOptions::default(),
            instance: agent.instance.name.clone(),
            incarnation: agent.incarnation,
            service: agent.options.service.clone(),
            group,
            first_rank: agent.options.first_rank,
            hello: agent.hello(),
            table: platform.clone(),
            objects: platform.clone(),
            instances: platform,
            configuration: agent.configuration.subscribe(),
            orders: participant,
        };
        tokio::spawn(placer::run(parts, stop));
    }
}

impl OrderHandler for OrderParticipant {
    fn handle(&self, order: MapOrder) -> OrderFuture<'_> {
        Box::pin(Self::handle(self, order))
    }

    fn report_extras(&self) -> ReportExtras {
        Self::report_extras(self)
    }
}
