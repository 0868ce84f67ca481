//! Listening addresses of an entry.

use {
    crate::options::EntryOptions,
    error_stack::Report,
    std::{error::Error, fmt, net::SocketAddr, result},
    tokio::net::TcpListener,
};

/// Result of binding an address.
pub type Result<T> = result::Result<T, Report<ListenError>>;

/// An address that cannot be bound.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenError {
    /// Key of the setting in the section `entry`.
    pub key: &'static str,
    /// Value of the setting.
    pub address: SocketAddr,
    /// Reason given by the system.
    pub fault: String,
}

impl fmt::Display for ListenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            key,
            address,
            fault,
        } = self;
        write!(formatter, "[entry] {key} = {address}: {fault}")
    }
}

impl Error for ListenError {}

/// Bound addresses.
#[derive(Debug)]
pub struct EntryListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For links of peer entries.
    pub links: TcpListener,
}

impl EntryListeners {
    /// Binds all addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; the error names section, key and value.
    pub async fn bind(options: &EntryOptions) -> Result<Self> {
        Ok(Self {
            callers: bind("caller_address", options.caller_address).await?,
            operators: bind("operator_address", options.operator_address).await?,
            links: bind("link_address", options.link_address).await?,
        })
    }
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| {
        Report::new(ListenError {
            key,
            address,
            fault: error.to_string(),
        })
    })
}
