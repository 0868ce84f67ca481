//! Deployments of model groups that are simulated.

use sassafrasslip_core::placement::GroupShape;

/// Size of an expert in bytes: 3 matrices of 7168 x 2048 weights of one byte.
const EXPERT_BYTES: u64 = 44_000_000;

/// Size and nominal load of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the printed tables.
    pub name: &'static str,
    /// Number of groups that serve the same requests.
    pub groups: usize,
    /// Layers, experts, ranks and expert slots of each group.
    pub shape: GroupShape,
    /// Number of ranks on one machine, which fail together.
    pub ranks_per_machine: usize,
    /// Requests in flight in each group at the nominal load.
    pub in_flight: f64,
    /// Number of request kinds.
    pub kinds: usize,
    /// `placement.skew_weight` of the deployment, from 0 to 1.
    pub skew_weight: f64,
}

/// Drafting service of the flight printer: 12 servers of 8 ranks in 3 groups.
pub const FLIGHT_PRINTER: Deployment = Deployment {
    name: "flight printer",
    groups: 3,
    shape: GroupShape {
        layers: 24,
        experts: 64,
        ranks: 32,
        slots: 3,
        expert_bytes: EXPERT_BYTES,
        store_rate: 1e9,
    },
    ranks_per_machine: 8,
    in_flight: 64.0,
    kinds: 3,
    skew_weight: 0.2,
};

/// Coaching service of the archery ranges: the same size with another priority.
pub const ARCHERY_RANGES: Deployment = Deployment {
    name: "archery ranges",
    skew_weight: 0.8,
    ..FLIGHT_PRINTER
};

/// One group of the size that the system is designed for: 256 ranks.
pub const TARGET_GROUP: Deployment = Deployment {
    name: "target group",
    groups: 1,
    shape: GroupShape {
        layers: 60,
        experts: 128,
        ranks: 256,
        slots: 2,
        expert_bytes: EXPERT_BYTES,
        store_rate: 10e9,
    },
    ranks_per_machine: 16,
    in_flight: 2_000.0,
    kinds: 6,
    skew_weight: 0.5,
};

/// All deployments, in the order in which they are simulated.
pub const DEPLOYMENTS: [Deployment; 3] = [FLIGHT_PRINTER, ARCHERY_RANGES, TARGET_GROUP];
