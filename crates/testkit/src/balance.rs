//! Simulation that compares the expert placement policy with simple baselines, with fixed seeds.
//!
//! A model group is simulated in process as the number of requests in flight of each kind; its
//! step time is computed from its expert map. Nothing is sent over a network.

pub mod deployment;
pub mod group;
pub mod measure;
pub mod memory;
pub mod placement_policy;
pub mod popularity;
pub mod report;
pub mod routing_policy;
pub mod scenario;

pub use {
    deployment::Deployment,
    measure::{BalanceFigures, measure},
    memory::peak_memory_kib,
    placement_policy::PlacementVariant,
    report::print_table,
    routing_policy::RoutingVariant,
    scenario::Scenario,
};
