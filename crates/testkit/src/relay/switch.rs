//! Setting that tests switch to change what a relay does.

use serde::{Deserialize, Serialize};

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Passes all bytes.
    #[default]
    Pass,
    /// Refuses new connections and closes open ones.
    Refuse,
    /// Holds all bytes and new connections until the mode changes, as a network partition does.
    BlackHole,
    /// Passes each chunk of bytes after a delay.
    Delay,
    /// Closes a connection once it has passed a number of bytes to the caller.
    Cut,
}

/// Setting of a relay; the body of `POST /admin/mode` and of the answers of `/admin/mode`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySwitch {
    /// What the relay does with connections.
    pub mode: RelayMode,
    /// Delay of each chunk in the mode `delay`, in milliseconds.
    pub delay_ms: u64,
    /// Number of bytes that a connection passes to the caller in the mode `cut`, counted from the
    /// start of the connection.
    pub after_bytes: u64,
}
