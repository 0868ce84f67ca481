//! Times and sizes of a placer.

use {
    crate::constants::{LEASE_DURATION, LEASE_RENEWAL_INTERVAL},
    sassafrasslip_core::{map_change::CoordinatorTimes, placement::GroupShape},
    std::time::Duration,
};

/// Times and sizes of a placer.
#[derive(Clone, Copy, Debug)]
pub struct PlacerOptions {
    /// Duration of the placement lease.
    pub lease_duration: Duration,
    /// Interval at which the lease is renewed or, without it, looked at.
    pub renewal_interval: Duration,
    /// Time for which a free lease is left to the agent with the lowest first rank.
    pub takeover_pause: Duration,
    /// Interval at which expert counts are collected. It has to stay below the silence limit of
    /// links, because the queries are all that the placer sends on most links.
    pub collect_interval: Duration,
    /// Interval between decisions.
    pub decision_interval: Duration,
    /// Interval at which the instance list is compared with the members in use.
    pub member_interval: Duration,
    /// Time after which older expert counts weigh half. `docs/BALANCE.md` compares 10, 30 and
    /// 120 s.
    pub count_half_life: Duration,
    /// Slots for experts that a rank has in each layer beyond an even share.
    pub spare_slots: usize,
    /// Size of an expert, in bytes.
    pub expert_bytes: u64,
    /// Rate of the weight store for the group, in bytes a second.
    pub store_rate: f64,
    /// Times of map changes.
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
    /// Returns the shape of a group.
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
