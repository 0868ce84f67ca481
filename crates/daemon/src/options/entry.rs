//! Section `entry` of the settings file.

use {super::units::AddressText, serde::Deserialize, serde_with::serde_as, std::net::SocketAddr};

/// Addresses of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryOptions {
    /// Address at which the entry accepts requests of callers.
    #[serde_as(as = "AddressText")]
    pub caller_address: SocketAddr,
    /// Address of the operator API.
    #[serde_as(as = "AddressText")]
    pub operator_address: SocketAddr,
    /// Address at which the entry accepts links from peer entries.
    #[serde_as(as = "AddressText")]
    pub link_address: SocketAddr,
}
