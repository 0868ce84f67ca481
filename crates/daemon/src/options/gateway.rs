//! Section `gateway`.

use {
    super::units::{AddressText, AddressesText, AmountText, PositiveDurationText},
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

/// Addresses and bounds of a gateway.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayOptions {
    /// Address for callers.
    #[serde_as(as = "AddressText")]
    pub caller_address: SocketAddr,
    /// Address at which the platform's balancer asks for readiness.
    #[serde_as(as = "AddressText")]
    pub readiness_address: SocketAddr,
    /// Address at which peers ask what this gateway knows, over TCP.
    #[serde_as(as = "AddressText")]
    pub peer_address: SocketAddr,
    /// Address at which peers tell their loads, over UDP.
    #[serde_as(as = "AddressText")]
    pub load_address: SocketAddr,
    /// Peer addresses of some gateways; some may be out of date. All gateways use the same ports.
    #[serde_as(as = "AddressesText")]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Retries that all gateways may make, as a share of first tries.
    #[serde_as(as = "AmountText")]
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that all gateways may make in addition, in each window.
    #[serde_as(as = "AmountText")]
    #[serde(default = "default_retry_allowance")]
    pub retry_allowance: f64,
    /// Window of the retry bounds.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_retry_window")]
    pub retry_window: Duration,
    /// Time after which a target that leaves must get no new request.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_drain_limit")]
    pub drain_limit: Duration,
    /// Time after which a configuration must be in force.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_configuration_limit")]
    pub configuration_limit: Duration,
    /// Time after the stop signal at which the supervisor kills the process.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_stop_limit")]
    pub stop_limit: Duration,
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_retry_allowance() -> f64 {
    20.0
}

fn default_retry_window() -> Duration {
    Duration::from_secs(10)
}

fn default_drain_limit() -> Duration {
    Duration::from_secs(2)
}

fn default_configuration_limit() -> Duration {
    Duration::from_secs(2)
}

fn default_stop_limit() -> Duration {
    Duration::from_secs(30)
}
