//! Durations and sizes of a placer.

use {
    crate::constants::{LEASE_DURATION, LEASE_RENEWAL_INTERVAL},
    sassafrasslip_core::{map_change::CoordinatorTimes, placement::GroupShape},
    std::time::Duration,
};

/// Durations and sizes of a placer.
#[derive(Clone, Copy, Debug)]
pub struct PlacerOptions {
    /// Duration of the placement lease.
    pub lease_duration: Duration,
    /// Interval at which the holder renews the lease and other agents check it.
    pub renewal_interval: Duration,
    /// Time for which only the reachable agent with the lowest first rank takes a free lease.
    pub takeover_pause: Duration,
    /// Interval at which expert counts are collected. It must be below
    /// [`LINK_IDLE_TIMEOUT`](crate::constants::LINK_IDLE_TIMEOUT), because the queries are the
    /// only frames that the placer sends on most links.
    pub collect_interval: Duration,
    /// Interval between placement decisions.
    pub decision_interval: Duration,
    /// Interval at which the instance list is compared with the members in use.
    pub member_interval: Duration,
    /// Half-life of the weight of older expert counts. `docs/BALANCE.md` compares 10, 30 and 120 s.
    pub count_half_life: Duration,
    /// Expert slots that a rank has in each layer beyond an even share.
    pub spare_slots: usize,
    /// Size of an expert, in bytes.
    pub expert_bytes: u64,
    /// Rate at which the group loads expert weights from the weight store, in bytes per second.
    pub store_rate: f64,
    /// Timeouts and intervals of map changes.
    pub change: CoordinatorTimes,
}

impl Default for PlacerOptions {
    fn default() -> Self {
        Self {
            lease_duration: LEASE_DURATION,
            renewal_interval: LEASE_RENEWAL_INTERVAL,
            takeover_pause: LEASE_DURATION * 2,
            collect_interval: Duration::from_secs(2),
            decision_interval: Duration::from_secs(10),
            member_interval: Duration::from_secs(2),
            count_half_life: Duration::from_secs(10),
            spare_slots: 1,
            expert_bytes: 44_000_000,
            store_rate: 1e9,
            change: CoordinatorTimes::default(),
        }
    }
}

impl PlacerOptions {
    /// Returns the shape of a group with these dimensions; each rank has an even share of experts
    /// plus the spare slots in each layer.
    pub fn shape(&self, layers: usize, experts: usize, ranks: usize) -> GroupShape {
        GroupShape {
            layers,
            experts,
            ranks,
            slots: experts.div_ceil(ranks.max(1)) + self.spare_slots,
            expert_bytes: self.expert_bytes,
            store_rate: self.store_rate,
        }
    }
}
