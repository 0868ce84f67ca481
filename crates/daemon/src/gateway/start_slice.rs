//! Place of this gateway among those that start requests in the same groups.

use {
    super::state::GatewayState, sassafrasslip_core::dispatch::StartSlice, std::time::Duration,
    tokio::time::Instant,
};

/// Returns the place of this gateway, by which it chooses other ranks than the other gateways of its
/// availability zone; `None` while it doesn't know its own address.
pub fn start_slice(state: &GatewayState, now: Instant) -> Option<StartSlice> {
    let own = state.own_address()?;
    let place = state.peers.borrow().zone_place(&state.own_zone, own, now);
    Some(StartSlice {
        position: place.position,
        gateways: place.gateways,
        pass: state
            .bounds
            .borrow()
            .longest_pause()
            .unwrap_or(Duration::ZERO),
    })
}
