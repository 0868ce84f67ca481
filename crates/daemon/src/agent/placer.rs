//! Placer: computes expert maps and coordinates map changes while this agent holds its group's
//! placement lease.

pub mod collector;
pub mod driver;
pub mod election;
pub mod lease;
pub mod map_store;
pub mod members;
pub mod options;
pub mod session;

pub use options::PlacerOptions;

use {
    super::orders::OrderParticipant,
    crate::platform::{InstanceList, ObjectStore, TableService},
    election::Election,
    lease::{HeldLease, PlacementLease},
    sassafrasslip_core::{
        configuration::ConfigurationSnapshot,
        events::LogEvent::{PlacementLeaseLost, PlacementLeaseTaken},
        ids::{GroupName, InstanceName, ServiceName},
        log_event,
    },
    sassafrasslip_proto::link::Hello,
    session::{PlacerSession, SessionEnd},
    std::sync::Arc,
    tokio::{sync::watch, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// What a placer needs from its agent.
#[derive(Clone)]
pub struct PlacerParts {
    /// Times and sizes.
    pub options: PlacerOptions,
    /// Instance of the agent.
    pub instance: InstanceName,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Service of the group.
    pub service: ServiceName,
    /// Group.
    pub group: GroupName,
    /// First rank of the agent's target.
    pub first_rank: u32,
    /// First frame on links to the agents of the group.
    pub hello: Hello,
    /// Table service.
    pub table: Arc<dyn TableService>,
    /// Object store, which keeps the maps.
    pub objects: Arc<dyn ObjectStore>,
    /// Instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Newest configuration that the agent has.
    pub configuration: watch::Receiver<Arc<ConfigurationSnapshot>>,
    /// Participant of the agent, which publishes the costs of request kinds.
    pub orders: OrderParticipant,
}

/// Runs the placer until `stop` is cancelled.
pub async fn run(parts: PlacerParts, stop: CancellationToken) {
    let lease = PlacementLease::new(&parts);
    let mut election = Election::default();
    while !stop.is_cancelled() {
        let taken = tokio::select! {
            () = stop.cancelled() => return,
            taken = election.try_take(&parts, &lease) => taken,
        };
        let Some(held) = taken else {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(parts.options.renewal_interval) => continue,
            }
        };
        hold(&parts, &lease, held, &stop).await;
    }
}

/// Works under the lease until it ends.
async fn hold(
    parts: &PlacerParts,
    lease: &PlacementLease,
    held: HeldLease,
    stop: &CancellationToken,
) {
    let token = held.fencing_token;
    log_event!(PlacementLeaseTaken, group = parts.group, token = token);
    let (sender, until) = watch::channel(held.until);
    let keeper = lease.keep(held, sender);
    let session = PlacerSession::new(parts, token, until);
    let end = tokio::select! {
        () = stop.cancelled() => SessionEnd::Stopped,
        () = keeper => SessionEnd::LeaseLost,
        end = session.run() => end,
    };
    parts.orders.publish_kind_costs(Vec::new());
    log_event!(
        PlacementLeaseLost,
        group = parts.group,
        token = token,
        cause = end
    );
    if end != SessionEnd::LeaseLost {
        lease.release(token).await;
    }
}
