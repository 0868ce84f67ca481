//! Listeners on the addresses given in the settings.

use {
    error_stack::Report,
    sassafrasslip_core::{events::LogEvent::ListenerFailed, log_event},
    std::{error::Error, fmt, net::SocketAddr, result, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after a failed `accept`, which usually means that file descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Largest head of a probe or a scrape, in bytes. Any number of connections may send one at the same
/// time.
pub const MAX_PROBE_BYTES: usize = 16 * 1024;

/// Result of binding an address.
pub type Result<T> = result::Result<T, Report<ListenError>>;

/// Failure to bind the address of a setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenError {
    /// Section of the settings file, without brackets.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// Error text of the operating system.
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

/// Accepts the next connection of a listener. A failure is logged with the setting's `key`, and the
/// call tries again after a pause.
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
