//! Links between the processes of the system.

pub mod connection;
pub mod convert;

pub use connection::{LinkConnection, LinkSender, accept_link, open_link};

use {
    error_stack::Report,
    std::{error::Error, fmt, net::SocketAddr, result},
};

/// Result of a link operation.
pub type Result<T> = result::Result<T, Report<LinkError>>;

/// Step of a link that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkStep {
    /// Opening the connection.
    Connect,
    /// Exchange of `Hello`.
    Greet,
    /// Receiving a frame.
    Receive,
    /// Sending a frame.
    Send,
}

/// Failure on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkError {
    /// Step that failed.
    pub step: LinkStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Reason.
    pub fault: String,
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "link to {} ({:?}): {}",
            self.peer, self.step, self.fault
        )
    }
}

impl Error for LinkError {}
