//! Participant of map changes: checks the orders for one target and tracks the state of its map.

use {
    super::{
        ChangeId, FencingToken, GroupStep, MapOrder, MapReply, OrderRefusal, OrderStep, Result,
    },
    crate::{
        chart::{self, ChartTransition, StateChart},
        chart_labels,
    },
};

const CHART: &str = include_str!("../../charts/map_participant.ini");

chart_labels! {
    /// State of a participant.
    pub enum ParticipantState {
        /// No change is open; the ranks execute steps with the map in use.
        Stepping = "stepping",
        /// A change is open, and the experts of its map are loaded.
        Prepared = "prepared",
        /// The gate is armed; the ranks wait there if no decision has arrived.
        Armed = "armed",
        /// The change is committed; the ranks use the new map from the gate on.
        Committed = "committed",
    }
}

chart_labels! {
    /// Event of a participant.
    pub enum ParticipantEvent {
        /// Order to prepare the change.
        Prepare = "prepare",
        /// Order to arm the gate.
        Arm = "arm",
        /// Order to commit the change.
        Commit = "commit",
        /// Order to abort the change.
        Abort = "abort",
        /// The ranks passed the gate with the new map.
        Switched = "switched",
    }
}

chart_labels! {
    /// Effect of an event on the engine of the target.
    pub enum ParticipantAction {
        /// Load the experts of the new map.
        LoadExperts = "load_experts",
        /// Arm the gate, so that the ranks wait there for the decision.
        ArmGate = "arm_gate",
        /// Let the ranks pass the gate with the new map.
        ReleaseGate = "release_gate",
        /// Drop the loaded experts and disarm the gate.
        DropExperts = "drop_experts",
        /// The new map is in use.
        UseMap = "use_map",
    }
}

type ParticipantChart = StateChart<ParticipantState, ParticipantEvent, ParticipantAction>;
type ParticipantTransition = ChartTransition<ParticipantState, ParticipantAction>;

/// State of the engine behind a participant, as the engine reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// State of the change at the engine.
    pub state: ParticipantState,
    /// Open change, if the engine reports it.
    pub change: Option<ChangeId>,
    /// Version of the map that the engine uses.
    pub map_version: ChangeId,
}

/// Participant of map changes for one target.
#[derive(Clone, Debug)]
pub struct MapParticipant {
    chart: ParticipantChart,
    state: ParticipantState,
    /// Highest fencing token seen.
    fencing_token: FencingToken,
    /// Open change; `None` if there is none, or if it is not known after a restart.
    change: Option<ChangeId>,
    gate: Option<GroupStep>,
    /// Highest change that has ended at this participant; a late `Prepare` must not reopen it.
    ended: ChangeId,
    map_version: ChangeId,
}

impl MapParticipant {
    /// Creates a participant without an open change that refuses fencing tokens below
    /// `fencing_token`, for a target that uses the map `map_version`.
    ///
    /// # Errors
    ///
    /// Fails if `map_participant.ini` does not match the states, events and actions in the code.
    pub fn new(fencing_token: FencingToken, map_version: ChangeId) -> chart::Result<Self> {
        let chart = ParticipantChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            fencing_token,
            change: None,
            gate: None,
            ended: map_version,
            map_version,
        })
    }

    /// Returns the state of the participant.
    pub fn state(&self) -> ParticipantState {
        self.state
    }

    /// Returns the highest fencing token seen.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Returns the version of the map that the target uses.
    pub fn map_version(&self) -> ChangeId {
        self.map_version
    }

    /// Returns the step before which the ranks wait, while a gate is armed or released.
    pub fn gate(&self) -> Option<GroupStep> {
        self.gate
    }

    /// Promises to refuse orders with a token below `fencing_token` from now on.
    pub fn promise(&mut self, fencing_token: FencingToken) {
        self.fencing_token = self.fencing_token.max(fencing_token);
    }

    /// Checks an order while the ranks execute the step `current` next, and returns the action that
    /// it requires, if any. If the fencing token is not stale, lower ones are refused from now on,
    /// even if the order itself is refused.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the order has to be refused.
    pub fn check(
        &mut self,
        order: &MapOrder,
        current: GroupStep,
    ) -> Result<Option<ParticipantAction>> {
        let (token, highest) = (order.fencing_token, self.fencing_token);
        if token < highest {
            return Err(OrderRefusal::StaleToken { token, highest });
        }
        self.promise(token);
        if self.is_settled(order) {
            return Ok(None);
        }
        self.check_change(order)?;
        self.check_gate(order, current)?;
        self.transition(order.step)
            .map(|transition| transition.action)
    }

    /// Records an order that [`Self::check`] accepted and that has taken effect at the target.
    pub fn apply(&mut self, order: &MapOrder) {
        if self.is_settled(order) {
            return;
        }
        let Ok(transition) = self.transition(order.step) else {
            return;
        };
        self.state = transition.next;
        match order.step {
            OrderStep::Abort => self.end(self.ended.max(order.change)),
            OrderStep::Arm(gate) => self.gate = Some(gate),
            OrderStep::Commit | OrderStep::Prepare => self.change = Some(order.change),
            OrderStep::Query => {}
        }
    }

    /// Records that the ranks have passed the gate with the new map.
    pub fn switched(&mut self) {
        let event = ParticipantEvent::Switched;
        let Some(transition) = self.chart.step(self.state, event) else {
            return;
        };
        self.state = transition.next;
        self.map_version = self.change.unwrap_or(self.map_version);
        self.end(self.ended.max(self.map_version));
    }

    /// Adopts the state that the engine reports, which takes precedence over the recorded one. A
    /// committed change whose map is in use has ended.
    pub fn observe(&mut self, view: &EngineView) {
        let switched = view.change == Some(view.map_version);
        let ended = view.state == ParticipantState::Committed && switched;
        self.state = if ended {
            ParticipantState::Stepping
        } else {
            view.state
        };
        self.map_version = view.map_version;
        let highest = self.ended.max(view.map_version);
        if self.state == ParticipantState::Stepping {
            self.end(highest);
        } else {
            self.ended = highest;
            self.change = view.change.or(self.change);
        }
    }

    /// Returns the reply to an order, with the state of the participant.
    pub fn reply(&self, order: &MapOrder, accepted: bool, current_step: GroupStep) -> MapReply {
        let open = self.change.unwrap_or_default();
        let query = order.step == OrderStep::Query;
        MapReply {
            fencing_token: self.fencing_token,
            change: if query { open } else { order.change },
            step: order.step,
            accepted,
            state: self.state,
            map_version: self.map_version,
            current_step,
        }
    }

    /// Records that the changes up to `ended` have ended and none is open.
    fn end(&mut self, ended: ChangeId) {
        self.ended = ended;
        self.change = None;
        self.gate = None;
    }

    /// Returns whether the order changes nothing: a query, or the repeated commit of a map that is
    /// in use.
    fn is_settled(&self, order: &MapOrder) -> bool {
        match order.step {
            OrderStep::Commit => self.map_version == order.change,
            OrderStep::Query => true,
            OrderStep::Abort | OrderStep::Arm(_) | OrderStep::Prepare => false,
        }
    }

    /// Checks the change of an order against the open change and those that have ended.
    fn check_change(&self, order: &MapOrder) -> Result<()> {
        let asked = order.change;
        let is_open_change = self.change == Some(asked);
        match (order.step, self.change) {
            (OrderStep::Prepare, _) if asked <= self.ended && !is_open_change => {
                Err(OrderRefusal::ChangeEnded(asked))
            }
            // An abort ends earlier changes too, but a late abort must not end a later change.
            (OrderStep::Abort, Some(open)) if asked >= open => Ok(()),
            (_, Some(open)) if asked != open => Err(OrderRefusal::OtherChange { asked, open }),
            // The change to abort was committed: its map is in use.
            (OrderStep::Abort, None)
                if asked == self.map_version && self.state == ParticipantState::Stepping =>
            {
                Err(OrderRefusal::ChangeEnded(asked))
            }
            _ => Ok(()),
        }
    }

    /// Checks that an armed gate is not moved and that a new gate is ahead of the ranks.
    fn check_gate(&self, order: &MapOrder, current: GroupStep) -> Result<()> {
        let OrderStep::Arm(gate) = order.step else {
            return Ok(());
        };
        match (self.state, self.gate) {
            (ParticipantState::Prepared, _) if current >= gate => {
                Err(OrderRefusal::GatePassed { gate, current })
            }
            (ParticipantState::Armed, Some(armed)) if armed != gate => {
                Err(OrderRefusal::OtherGate(armed))
            }
            _ => Ok(()),
        }
    }

    fn transition(&self, step: OrderStep) -> Result<ParticipantTransition> {
        let event = match step {
            OrderStep::Abort => ParticipantEvent::Abort,
            OrderStep::Arm(_) => ParticipantEvent::Arm,
            OrderStep::Commit => ParticipantEvent::Commit,
            OrderStep::Prepare => ParticipantEvent::Prepare,
            OrderStep::Query => return Err(OrderRefusal::WrongState(self.state)),
        };
        let transition = self.chart.step(self.state, event);
        transition.ok_or(OrderRefusal::WrongState(self.state))
    }
}
