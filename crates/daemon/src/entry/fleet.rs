//! View of targets and peers for the operators' interface and the configuration actor of an entry.

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

/// Boxed future that a method of [`FleetView`] returns.
pub type FleetFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Operations on the targets and peers of an entry that its operators' interface and its
/// configuration actor use; implemented by [`EntryFleet`].
pub trait FleetView: Send + Sync + 'static {
    /// Returns the routing decisions and the outcome of a request; `None` if the request is unknown
    /// or no longer remembered.
    fn explain(&self, request_id: RequestId) -> Option<RequestExplanation>;

    /// Returns the status of all targets and peers, sorted by name.
    fn status(&self) -> FleetStatus;

    /// Orders the agent of a target to start or end draining. Returns whether the order was sent
    /// within [`PUBLISH_TIMEOUT`]; `false` if the target is unknown or has no open link.
    fn drain<'a>(&'a self, target: &'a InstanceName, draining: bool) -> FleetFuture<'a, bool>;

    /// Sends a configuration revision to all connected agents and peers. Returns when it was
    /// written to each link, or [`PUBLISH_TIMEOUT`] has passed for those that did not accept it.
    fn publish(&self, view: Arc<ConfigurationView>) -> FleetFuture<'_, ()>;
}

/// Receiver of the configuration view in force; the configuration actor is the only sender.
pub type ViewReceiver = watch::Receiver<Arc<ConfigurationView>>;

/// Sender of the configuration view in force.
pub type ViewSender = watch::Sender<Arc<ConfigurationView>>;

/// [`FleetView`] of a running entry, based on its shared context.
#[derive(Clone, Debug)]
pub struct EntryFleet {
    context: Arc<EntryContext>,
}

impl EntryFleet {
    /// Creates the view for the entry with this context.
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
            // A link without room in its queue is stalled; its peer gets the revision with the next
            // periodic notice.
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
