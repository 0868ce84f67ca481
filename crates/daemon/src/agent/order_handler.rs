//! Interface to the part of an agent that carries out orders on expert maps.

use {
    sassafrasslip_proto::link::{KindCost, MapOrder, MapReply},
    std::{future::Future, pin::Pin},
};

/// Future of an order.
pub type OrderFuture<'a> = Pin<Box<dyn Future<Output = MapReply> + Send + 'a>>;

/// Figures of the model group that each report of the agent carries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportExtras {
    /// Load that one more request of each kind adds to the hottest rank.
    pub kind_costs: Vec<KindCost>,
    /// Version of the expert map.
    pub map_version: u64,
    /// Mean duration of a step, in microseconds.
    pub mean_step_us: u64,
}

/// Carries out orders on expert maps. The orders of one link arrive one after the other.
pub trait OrderHandler: Send + Sync + 'static {
    /// Carries out an order.
    fn handle(&self, order: MapOrder) -> OrderFuture<'_>;

    /// Returns the figures for the next report.
    fn report_extras(&self) -> ReportExtras;
}

/// Handler of a target without expert maps: refuses every order.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoOrders;

impl OrderHandler for NoOrders {
    fn handle(&self, order: MapOrder) -> OrderFuture<'_> {
        let reply = MapReply {
            group: order.group,
            change_id: order.change_id,
            step: order.step,
            refusal: "this agent takes no orders on expert maps".to_owned(),
            ..MapReply::default()
        };
        Box::pin(async move { reply })
    }

    fn report_extras(&self) -> ReportExtras {
        ReportExtras::default()
    }
}
