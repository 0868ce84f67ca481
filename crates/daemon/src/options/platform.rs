//! Section `platform` of the settings file.

use {
    super::units::{AddressText, PositiveDurationText},
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

/// Address and timeout of the platform's services.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformOptions {
    /// Address at which the table service, the object store and the instance list are reached.
    #[serde_as(as = "AddressText")]
    pub address: SocketAddr,
    /// Timeout of a platform call, and of opening a connection for it.
    #[serde_as(as = "PositiveDurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Duration,
}

fn default_timeout() -> Duration {
    Duration::from_millis(1_000)
}
