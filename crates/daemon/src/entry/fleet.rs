//! Interfaces between the parts of an entry.

use {
    sassafrasslip_core::{
        configuration::ConfigurationView,
        explanation::{FleetStatus, RequestExplanation},
        ids::{InstanceName, RequestId},
    },
    std::{future::Future, pin::Pin, sync::Arc},
    tokio::sync::watch,
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
