//! Listening addresses of an entry.

use {
    crate::{
        listen::{Result, bind},
        options::EntryOptions,
    },
    tokio::net::TcpListener,
};

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
            callers: bind("entry", "caller_address", options.caller_address).await?,
            operators: bind("entry", "operator_address", options.operator_address).await?,
            links: bind("entry", "link_address", options.link_address).await?,
        })
    }
}
