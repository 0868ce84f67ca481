//! Listeners at the addresses that settings name.

use {
    error_stack::Report,
    sassafrasslip_core::{events::LogEvent::ListenerFailed, log_event},
    std::{error::Error, fmt, net::SocketAddr, result, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after a failed `accept`, which is usually a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

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

/// Accepts the next connection at the address of the setting `key`. A failure is logged, and the
/// listener goes on after a pause.
pub async fn accept(listener: &TcpListener, key: &'static str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log_event!(ListenerFailed, key = key, error = error);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}
