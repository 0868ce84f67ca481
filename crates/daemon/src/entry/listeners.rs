//! TCP listeners of an entry.

use {
    crate::{
        listen::{Result, bind},
        options::EntryOptions,
    },
    tokio::net::TcpListener,
};

/// Bound TCP listeners of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// Listener for requests of callers.
    pub callers: TcpListener,
    /// Listener for the operators' interface.
    pub operators: TcpListener,
    /// Listener for links that peer entries open.
    pub links: TcpListener,
}

impl EntryListeners {
    /// Binds the three listening addresses from the options.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; the error names section, key and value of the setting.
    pub async fn bind(options: &EntryOptions) -> Result<Self> {
        Ok(Self {
            callers: bind("entry", "caller_address", options.caller_address).await?,
            operators: bind("entry", "operator_address", options.operator_address).await?,
            links: bind("entry", "link_address", options.link_address).await?,
        })
    }
}
