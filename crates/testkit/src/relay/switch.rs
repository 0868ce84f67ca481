//! Switch of a relay.

use serde::{Deserialize, Serialize};

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Passes all bytes.
    #[default]
    Pass,
    /// Refuses new connections and closes those that are open.
    Refuse,
    /// Holds all bytes and new connections until the mode changes, as a partition does.
    BlackHole,
    /// Passes all bytes after a delay.
    Delay,
    /// Closes a connection after a number of bytes to the caller.
    Cut,
}

/// Body of `POST /admin/mode`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySwitch {
    /// Mode.
    pub mode: RelayMode,
    /// Delay of each chunk in the mode `delay`, in milliseconds.
    pub delay_ms: u64,
    /// Bytes to the caller that a connection passes in the mode `cut`, counted from its start.
    pub after_bytes: u64,
}
