//! Section `platform`.

use {
    super::units::{AddressText, PositiveDurationText},
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

/// Services of the platform.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformOptions {
    /// Address of the table service, the object store and the instance list.
    #[serde_as(as = "AddressText")]
    pub address: SocketAddr,
    /// Longest wait for an answer.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
}

fn default_timeout() -> Duration {
    Duration::from_millis(1_000)
}
