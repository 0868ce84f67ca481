//! Change of a group's expert map: one coordinator, and one participant for each target.
//!
//! A change is identified by the version of the map that it introduces. The coordinator commits
//! only after every participant has armed the gate; a rank that reaches its gate without a
//! decision waits there.

pub mod coordinator;
pub mod gate;
pub mod participant;

pub use {
    coordinator::{CoordinatorAction, CoordinatorState, CoordinatorTimes, MapCoordinator},
    gate::{GatePolicy, StepClock},
    participant::{EngineView, MapParticipant, ParticipantAction, ParticipantState},
};

use std::{error::Error, fmt, result};

/// Result of checking an order.
pub type Result<T> = result::Result<T, OrderRefusal>;

/// Number that rises with each holder of the placement lease.
pub type FencingToken = u64;

/// Identifier of a change: the version of the map that it introduces.
pub type ChangeId = u64;

/// Step of a group; all its ranks execute the same one together.
pub type GroupStep = u64;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderStep {
    /// Load the experts of the new map while stepping on.
    Prepare,
    /// Wait for the decision before this step.
    Arm(GroupStep),
    /// Use the new map from the gate on.
    Commit,
    /// Forget the change and all earlier ones.
    Abort,
    /// Report the state, and refuse lower fencing tokens from now on.
    Query,
}

impl OrderStep {
    /// Returns whether both are the same step, whatever the gate.
    pub fn same_kind(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// Order of a coordinator to one participant. The new map travels beside a `Prepare`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapOrder {
    /// Fencing token of the coordinator.
    pub fencing_token: FencingToken,
    /// Change; 0 in a query.
    pub change: ChangeId,
    /// What to do.
    pub step: OrderStep,
}

/// Answer of a participant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapReply {
    /// Highest fencing token that the participant has seen.
    pub fencing_token: FencingToken,
    /// Change of the order, or the open change in the answer to a query.
    pub change: ChangeId,
    /// Step that is answered.
    pub step: OrderStep,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// State of the participant.
    pub state: ParticipantState,
    /// Version of the map in use.
    pub map_version: ChangeId,
    /// Step that the target's ranks execute next.
    pub current_step: GroupStep,
}

/// Why a participant refuses an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// A higher fencing token has been seen.
    StaleToken {
        /// Token of the order.
        token: FencingToken,
        /// Highest token seen.
        highest: FencingToken,
    },
    /// The change ended here before.
    ChangeEnded(ChangeId),
    /// Another change is open.
    OtherChange {
        /// Change of the order.
        asked: ChangeId,
        /// Open change.
        open: ChangeId,
    },
    /// The ranks have reached the gate already.
    GatePassed {
        /// Gate of the order.
        gate: GroupStep,
        /// Step that the ranks execute next.
        current: GroupStep,
    },
    /// The gate is armed at another step.
    OtherGate(GroupStep),
    /// The order does not fit the state.
    WrongState(ParticipantState),
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleToken { token, highest } => {
                write!(formatter, "fencing token {token} is below {highest}")
            }
            Self::ChangeEnded(change) => write!(formatter, "change {change} has ended"),
            Self::OtherChange { asked, open } => {
                write!(formatter, "change {open} is open, not {asked}")
            }
            Self::GatePassed { gate, current } => {
                write!(formatter, "step {current} has reached the gate {gate}")
            }
            Self::OtherGate(gate) => write!(formatter, "the gate is armed at step {gate}"),
            Self::WrongState(state) => write!(formatter, "not possible while {state:?}"),
        }
    }
}

impl Error for OrderRefusal {}
