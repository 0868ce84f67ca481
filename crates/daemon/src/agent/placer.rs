//! Placer: computes expert maps and coordinates map changes while this agent holds the placement
//! lease of its model group.

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

/// Settings, identity and services that a placer gets from its agent.
#[derive(Clone)]
pub struct PlacerParts {
    /// Durations and sizes.
    pub options: PlacerOptions,
    /// Name of the agent's instance.
    pub instance: InstanceName,
    /// Incarnation of the agent process.
    pub incarnation: u64,
    /// Service that the group serves.
    pub service: ServiceName,
    /// Model group whose experts are placed.
    pub group: GroupName,
    /// First rank of the agent's target.
    pub first_rank: u32,
    /// First frame on links to the agents of the group.
    pub hello: Hello,
    /// Table that holds the placement lease.
    pub table: Arc<dyn TableService>,
    /// Object store that holds the expert maps.
    pub objects: Arc<dyn ObjectStore>,
    /// Instance list of the platform, which names the members of the group.
    pub instances: Arc<dyn InstanceList>,
    /// Newest configuration snapshot of the agent.
    pub configuration: watch::Receiver<Arc<ConfigurationSnapshot>>,
    /// Map change participant of the agent, which publishes the costs of request kinds.
    pub orders: OrderParticipant,
}

/// Competes for the placement lease and runs a session under each one taken, until `stop` is
/// cancelled.
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
        run_session(&parts, &lease, held, &stop).await;
    }
}

/// Runs a session while renewing the lease. The lease is released at the end unless it was lost.
async fn run_session(
    parts: &PlacerParts,
    lease: &PlacementLease,
    held: HeldLease,
    stop: &CancellationToken,
) {
    let token = held.fencing_token;
    log_event!(PlacementLeaseTaken, group = parts.group, token = token);
    let (sender, lease_end) = watch::channel(held.expires_at);
    let renewal = lease.renew_until_lost(held, sender);
    let session = PlacerSession::new(parts, token, lease_end);
    let end = tokio::select! {
        () = stop.cancelled() => SessionEnd::Stopped,
        () = renewal => SessionEnd::LeaseLost,
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
