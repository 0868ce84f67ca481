//! Section `entry`.

use {serde::Deserialize, std::net::SocketAddr};

/// Addresses of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryOptions {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for links of peer entries.
    pub link_address: SocketAddr,
}
