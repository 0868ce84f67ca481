//! Section `gateway` of the settings file.

use {
    super::units::{
        AddressText, AddressesText, AmountText, MemoryText, PositiveDurationText, ZoneRegionsText,
    },
    sassafrasslip_core::dispatch::ZoneRegions,
    serde::Deserialize,
    serde_with::{DisplayFromStr, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// Addresses, retry budget and time limits of a gateway.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewayOptions {
    /// Address at which the gateway accepts requests of callers.
    #[serde_as(as = "AddressText")]
    pub caller_address: SocketAddr,
    /// Address of the readiness check of the platform's balancer.
    #[serde_as(as = "AddressText")]
    pub readiness_address: SocketAddr,
    /// TCP address at which peers request this gateway's configuration and list of targets.
    #[serde_as(as = "AddressText")]
    pub peer_address: SocketAddr,
    /// UDP address to which peers send their load reports.
    #[serde_as(as = "AddressText")]
    pub load_address: SocketAddr,
    /// Peer addresses of some gateways, from which the others are discovered. Some may be out of
    /// date. All gateways use the same ports.
    #[serde_as(as = "AddressesText")]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Retry budget of all gateways together, as a ratio of first attempts.
    #[serde_as(as = "AmountText")]
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Number of retries that all gateways together may make in each window beyond the ratio.
    #[serde_as(as = "AmountText")]
    #[serde(default = "default_retry_allowance")]
    pub retry_allowance: f64,
    /// Time window over which the retry budget applies.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_retry_window")]
    pub retry_window: Duration,
    /// Whether the whole system starts for the first time, so that no earlier process of this gateway
    /// has used the retry budget.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub first_start: bool,
    /// Whether late requests start only in places that no request on time needs, as counted over all
    /// gateways.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub overload_sharing: bool,
    /// Time within which a leaving target must stop receiving new requests.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_drain_limit")]
    pub drain_limit: Duration,
    /// Time within which a new configuration must be in force.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_configuration_limit")]
    pub configuration_limit: Duration,
    /// Time within which the targets of an emptied zone must stop receiving new requests; `None` if
    /// the platform names none.
    #[serde_as(as = "Option<PositiveDurationText>")]
    #[serde(default)]
    pub evacuation_limit: Option<Duration>,
    /// Region of each availability zone.
    #[serde_as(as = "ZoneRegionsText")]
    #[serde(default)]
    pub zone_regions: ZoneRegions,
    /// Most requests of all gateways to a cold target in any second, as a ratio of the rate that the
    /// configuration names.
    #[serde_as(as = "AmountText")]
    #[serde(default = "default_cold_ratio")]
    pub cold_ratio: f64,
    /// Requests that a cold target may get in any second beyond the ratio.
    #[serde_as(as = "AmountText")]
    #[serde(default)]
    pub cold_allowance: f64,
    /// Whether the pace of a target that has just started or recovered is found from its answers.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub find_pace: bool,
    /// Time from the stop signal until the supervisor kills the process.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_stop_limit")]
    pub stop_limit: Duration,
    /// Memory that the process may use, in bytes.
    #[serde_as(as = "MemoryText")]
    #[serde(default = "default_memory_limit")]
    pub memory_limit: usize,
}

fn default_memory_limit() -> usize {
    256 << 20
}

impl GatewayOptions {
    /// Returns the time within which every change of the operator must be in force.
    pub fn operator_limit(&self) -> Duration {
        let limits = [Some(self.configuration_limit), self.evacuation_limit];
        let limits = limits.into_iter().flatten();
        limits.min().unwrap_or(self.configuration_limit)
    }
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

fn default_cold_ratio() -> f64 {
    1.0
}

fn default_stop_limit() -> Duration {
    Duration::from_secs(30)
}
