//! Section `entry`.

use {super::units::AddressText, serde::Deserialize, serde_with::serde_as, std::net::SocketAddr};

/// Addresses of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryOptions {
    /// Address for callers.
    #[serde_as(as = "AddressText")]
    pub caller_address: SocketAddr,
    /// Address for operators.
    #[serde_as(as = "AddressText")]
    pub operator_address: SocketAddr,
    /// Address for links of peer entries.
    #[serde_as(as = "AddressText")]
    pub link_address: SocketAddr,
}
