//! Section `metrics`.

use {serde::Deserialize, std::net::SocketAddr};

/// Port for metrics and health.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsOptions {
    /// Address of `/metrics`, `/healthz` and `/readyz`.
    pub address: SocketAddr,
}
