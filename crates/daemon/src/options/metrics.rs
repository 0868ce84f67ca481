//! Section `metrics`.

use {super::units::AddressText, serde::Deserialize, serde_with::serde_as, std::net::SocketAddr};

/// Port for metrics and health.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsOptions {
    /// Address of `/metrics`, `/healthz` and `/readyz`.
    #[serde_as(as = "AddressText")]
    pub address: SocketAddr,
}
