//! Decision logic of the sassafrasslip load balancer, without sockets, files or spawned tasks.
//!
//! Every module takes events and the current time as arguments and returns decisions, so that
//! tests and measurements can drive it without a network.

pub mod chart;
pub mod claim;
pub mod configuration;
pub mod dispatch;
pub mod events;
pub mod explanation;
pub mod ids;
pub mod limits;
pub mod map_change;
pub mod membership;
pub mod placement;
pub mod retry;
pub mod routing;
