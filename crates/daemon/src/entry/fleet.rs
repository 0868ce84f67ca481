//! Interfaces between the parts of an entry.

use {
    super::{configuration_exchange, context::EntryContext},
    crate::{constants::PUBLISH_TIMEOUT, link::LinkSender},
    futures_util::future::join_all,
    sassafrasslip_core::{
        configuration::ConfigurationView,
        explanation::{FleetStatus, RequestExplanation, TargetStatus},
        ids::{InstanceName, RequestId},
        membership::Target,
    },
    sassafrasslip_proto::link::{DrainOrder, link_frame::Message},
    std::{future::Future, pin::Pin, sync::Arc},
    tokio::{sync::watch, time::timeout},
};

/// Future of a call to the fleet.
pub type FleetFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What operators ask about the fleet; implemented by the routing side of the entry.
pub trait FleetView: Send + Sync + 'static {
    /// Returns why a request went where it went, if the request is still remembered.
    fn explain(&self, request_id: RequestId) -> Option<RequestExplanation>;

    /// Returns the status of targets and peers.
    fn status(&self) -> FleetStatus;

    /// Starts or ends the drain of a target; returns whether its agent was reached.
    fn drain<'a>(&'a self, target: &'a InstanceName, draining: bool) -> FleetFuture<'a, bool>;

    /// Sends a revision to all connected agents and peers, and returns when it has been written
    /// to every link that accepted it in time.
    fn publish(&self, view: Arc<ConfigurationView>) -> FleetFuture<'_, ()>;
}

/// Receiver of the configuration view in force; the configuration actor is the only sender.
pub type ViewReceiver = watch::Receiver<Arc<ConfigurationView>>;

/// Sender of the configuration view in force.
pub type ViewSender = watch::Sender<Arc<ConfigurationView>>;

/// Fleet as the routing side of an entry sees it.
#[derive(Clone, Debug)]
pub struct EntryFleet {
    context: Arc<EntryContext>,
}

impl EntryFleet {
    /// Creates the view of a running entry.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    fn agent_link(&self, target: &InstanceName) -> Option<LinkSender> {
        let state = self.context.state();
        let key = state.membership.find(target)?;
        state.links.get(key).cloned()
    }

    fn all_links(&self) -> Vec<LinkSender> {
        let state = self.context.state();
        let mut senders = state.peers.senders();
        senders.extend(state.links.values().cloned());
        senders
    }
}

impl FleetView for EntryFleet {
    fn explain(&self, request_id: RequestId) -> Option<RequestExplanation> {
        self.context.state().explanations.get(request_id).cloned()
    }

    fn status(&self) -> FleetStatus {
        let view = self.context.current_view();
        let identity = &self.context.identity;
        let state = self.context.state();
        let targets = state.membership.targets();
        let mut targets: Vec<_> = targets.map(|(_, target)| target_status(target)).collect();
        targets.sort_by(|left, right| left.target.cmp(&right.target));
        FleetStatus {
            entry: identity.instance.clone(),
            availability_zone: identity.availability_zone.clone(),
            revision: view.revision(),
            cut_off: !view.lease_live,
            targets,
            peers: state.peers.status(),
        }
    }

    fn drain<'a>(&'a self, target: &'a InstanceName, draining: bool) -> FleetFuture<'a, bool> {
        Box::pin(async move {
            let Some(link) = self.agent_link(target) else {
                return false;
            };
            let order = DrainOrder {
                instance: target.to_string(),
                draining,
            };
            let sending = link.send(Message::DrainOrder(order));
            timeout(PUBLISH_TIMEOUT, sending)
                .await
                .is_ok_and(|sent| sent.is_ok())
        })
    }

    fn publish(&self, view: Arc<ConfigurationView>) -> FleetFuture<'_, ()> {
        Box::pin(async move {
            self.context.state().membership.apply_view(&view);
            let notice = configuration_exchange::notice_with_snapshot(&view);
            let links = self.all_links();
            let sending = links.iter().map(|link| {
                let notice = notice.clone();
                timeout(PUBLISH_TIMEOUT, link.send(notice))
            });
            // A link that has no room is stalled; its peer is told again by the next notice.
            join_all(sending).await;
            self.context.wake_all();
        })
    }
}

fn target_status(target: &Target) -> TargetStatus {
    let (listing, status) = (&target.listing, &target.status);
    TargetStatus {
        target: listing.name.clone(),
        availability_zone: listing.availability_zone.clone(),
        service: listing.service.clone(),
        group: listing.group.clone(),
        state: target.state_name().to_owned(),
        in_flight: target.in_flight(),
        concurrency: status.load.concurrency,
        revision: status.revision,
        map_version: status.map_version,
        mean_step_us: status.mean_step_us,
    }
}
