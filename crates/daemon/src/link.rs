//! Links: TCP connections on which entries, agents and the placer exchange framed messages.

pub mod connection;
pub mod convert;

pub use connection::{LinkConnection, LinkSender, accept_link, open_link};

use {
    error_stack::Report,
    std::{error::Error, fmt, net::SocketAddr, result},
};

/// Result of a link operation.
pub type Result<T> = result::Result<T, Report<LinkError>>;

/// Step at which a link failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkStep {
    /// Connecting to the peer.
    Connect,
    /// Exchanging `Hello`.
    Greet,
    /// Receiving a frame.
    Receive,
    /// Sending a frame.
    Send,
}

/// Failure on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkError {
    /// Step at which the link failed.
    pub step: LinkStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Description of the failure.
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
