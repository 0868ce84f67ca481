//! Binding of the addresses that settings name.

use {
    error_stack::Report,
    std::{error::Error, fmt, net::SocketAddr, result},
    tokio::net::TcpListener,
};

/// Result of binding an address.
pub type Result<T> = result::Result<T, Report<ListenError>>;

/// An address that cannot be bound.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenError {
    /// Section of the setting.
    pub section: &'static str,
    /// Key of the setting.
    pub key: &'static str,
    /// Value of the setting.
    pub address: SocketAddr,
    /// Reason given by the system.
    pub fault: String,
}

impl fmt::Display for ListenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            address,
            fault,
        } = self;
        write!(formatter, "[{section}] {key} = {address}: {fault}")
    }
}

impl Error for ListenError {}

/// Binds the address of a setting.
///
/// # Errors
///
/// Fails if the address cannot be bound; the error names section, key and value.
pub async fn bind(
    section: &'static str,
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| {
        Report::new(ListenError {
            section,
            key,
            address,
            fault: error.to_string(),
        })
    })
}
