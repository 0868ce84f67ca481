//! Interface to the part of an agent that executes orders on expert maps.

use {
    sassafrasslip_proto::link::{KindCost, MapOrder, MapReply},
    std::{future::Future, pin::Pin},
};

/// Future that resolves to the reply to an order.
pub type OrderFuture<'a> = Pin<Box<dyn Future<Output = MapReply> + Send + 'a>>;

/// Values of the model group that each report of the agent carries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportExtras {
    /// Load that one more request of each kind adds to the hottest rank.
    pub kind_costs: Vec<KindCost>,
    /// Version of the expert map that the engine uses.
    pub map_version: u64,
    /// Moving average of the step duration, in microseconds.
    pub mean_step_us: u64,
}

/// Executes orders on expert maps. The orders of one link arrive one after the other.
pub trait OrderHandler: Send + Sync + 'static {
    /// Executes an order; the future resolves to its reply.
    fn handle(&self, order: MapOrder) -> OrderFuture<'_>;

    /// Returns the values for the next report.
    fn report_extras(&self) -> ReportExtras;
}

/// Handler for a target without expert maps; it refuses every order.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoOrders;

impl OrderHandler for NoOrders {
    fn handle(&self, order: MapOrder) -> OrderFuture<'_> {
        let reply = MapReply {
            group: order.group,
            change_id: order.change_id,
            step: order.step,
            refusal: "this agent does not accept expert map orders".to_owned(),
            ..MapReply::default()
        };
        Box::pin(async move { reply })
    }

    fn report_extras(&self) -> ReportExtras {
        ReportExtras::default()
    }
}
