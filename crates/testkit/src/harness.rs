//! Process harness: starts stand-ins, entries and agents as child processes on the loopback
//! interface.

pub mod binaries;
pub mod fleet;
pub mod ports;
pub mod process;
pub mod readiness;
pub mod settings;
pub mod topology;

pub use {
    fleet::{AgentHandle, EntryHandle, Fleet, GroupHandle, RelayHandle, ServiceHandle},
    process::{ChildProcess, ProcessSignal, ProcessSpec},
    topology::{FleetTopology, GroupTopology, ServiceTopology, ZoneTopology},
};

use {
    error_stack::Report,
    std::{error::Error, fmt, result},
};

/// Result of an operation of the harness.
pub type Result<T> = result::Result<T, Report<HarnessError>>;

/// Failed operation of the harness: what it acted on and why it failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HarnessError {
    /// Process, file, path or address that the operation acted on.
    pub subject: String,
    /// Reason of the failure; for a process, with the last lines of its log.
    pub fault: String,
}

impl HarnessError {
    /// Returns an error report about `subject`.
    pub fn report(subject: impl ToString, fault: impl ToString) -> Report<Self> {
        Report::new(Self {
            subject: subject.to_string(),
            fault: fault.to_string(),
        })
    }
}

impl fmt::Display for HarnessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.subject, self.fault)
    }
}

impl Error for HarnessError {}
