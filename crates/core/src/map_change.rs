//! Atomic change of a group's expert map: a two-phase commit between one coordinator and one
//! participant for each target.
//!
//! A change is identified by the version of the map that it introduces. All ranks switch to the new
//! map before the same step, the gate. The coordinator commits only after every participant has
//! armed the gate; a rank that reaches the gate without a decision waits there.

pub mod coordinator;
pub mod gate;
pub mod participant;

pub use {
    coordinator::{CoordinatorAction, CoordinatorState, CoordinatorTimes, MapCoordinator},
    gate::{GatePolicy, StepClock},
    participant::{EngineView, MapParticipant, ParticipantAction, ParticipantState},
};

use std::{error::Error, fmt, result};

/// Result of the check of an order.
pub type Result<T> = result::Result<T, OrderRefusal>;

/// Fencing token: a number that is higher for each new holder of the placement lease.
pub type FencingToken = u64;

/// Identifier of a change: the version of the map that it introduces.
pub type ChangeId = u64;

/// Number of a step of a group; all ranks of the group execute the same step together.
pub type GroupStep = u64;

/// What an order asks a participant to do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderStep {
    /// Load the experts of the new map while the ranks go on with their steps.
    Prepare,
    /// Arm the gate: before this step, wait for the decision.
    Arm(GroupStep),
    /// Use the new map from the gate step on.
    Commit,
    /// Discard the change and all earlier ones.
    Abort,
    /// Report the state, and refuse orders with lower fencing tokens from now on.
    Query,
}

impl OrderStep {
    /// Returns whether both are the same kind of step; gates may differ.
    pub fn same_kind(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// Order of a coordinator to one participant. The new map is sent along with a `Prepare`, outside
/// of this type.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapOrder {
    /// Fencing token of the coordinator.
    pub fencing_token: FencingToken,
    /// Change that the order is about; 0 in a query.
    pub change: ChangeId,
    /// What the participant has to do.
    pub step: OrderStep,
}

/// Answer of a participant to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MapReply {
    /// Highest fencing token that the participant has seen.
    pub fencing_token: FencingToken,
    /// Change of the order, or the open change in the answer to a query.
    pub change: ChangeId,
    /// Step of the order that is answered.
    pub step: OrderStep,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// State of the participant after the order.
    pub state: ParticipantState,
    /// Version of the map that the target uses.
    pub map_version: ChangeId,
    /// Step that the ranks of the target execute next.
    pub current_step: GroupStep,
}

/// Why a participant refuses an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The participant has seen a higher fencing token.
    StaleToken {
        /// Fencing token of the order.
        token: FencingToken,
        /// Highest fencing token seen.
        highest: FencingToken,
    },
    /// The change has ended at this participant already.
    ChangeEnded(ChangeId),
    /// Another change is open.
    OtherChange {
        /// Change of the order.
        asked: ChangeId,
        /// Change that is open.
        open: ChangeId,
    },
    /// The ranks are at the gate of the order or past it, so it cannot be armed any more.
    GatePassed {
        /// Gate step of the order.
        gate: GroupStep,
        /// Step that the ranks execute next.
        current: GroupStep,
    },
    /// The gate is already armed at this other step.
    OtherGate(GroupStep),
    /// The order is not possible in the state of the participant.
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
                write!(
                    formatter,
                    "step {current} is not before the gate at step {gate}"
                )
            }
            Self::OtherGate(gate) => write!(formatter, "the gate is armed at step {gate}"),
            Self::WrongState(state) => write!(formatter, "not possible in state {state:?}"),
        }
    }
}

impl Error for OrderRefusal {}
