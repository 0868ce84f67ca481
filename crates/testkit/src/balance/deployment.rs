//! Deployments that are measured.

use sassafrasslip_core::placement::GroupShape;

/// Size of an expert: 3 matrices of 7168 x 2048 weights of one byte.
const EXPERT_BYTES: u64 = 44_000_000;

/// Model groups of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Groups that serve the same requests.
    pub groups: usize,
    /// Each group.
    pub shape: GroupShape,
    /// Ranks of one machine.
    pub machine_ranks: usize,
    /// Requests in flight in each group at the usual load.
    pub in_flight: f64,
    /// Kinds of requests.
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
    machine_ranks: 8,
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

/// One group of the target size.
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
    machine_ranks: 16,
    in_flight: 2_000.0,
    kinds: 6,
    skew_weight: 0.5,
};

/// All deployments.
pub const DEPLOYMENTS: [Deployment; 3] = [FLIGHT_PRINTER, ARCHERY_RANGES, TARGET_GROUP];
