//! Section `metrics` of the settings file.

use {super::units::AddressText, serde::Deserialize, serde_with::serde_as, std::net::SocketAddr};

/// Address of the HTTP endpoints for metrics and health.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsOptions {
    /// Address at which `/metrics`, `/healthz` and `/readyz` are served.
    #[serde_as(as = "AddressText")]
    pub address: SocketAddr,
}
