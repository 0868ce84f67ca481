//! Participant: guards the map of one target.

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
        /// No change is open.
        Stepping = "stepping",
        /// The experts of the new map are loaded.
        Prepared = "prepared",
        /// The ranks wait at the gate unless the decision arrives before.
        Armed = "armed",
        /// The new map is used from the gate on.
        Committed = "committed",
    }
}

chart_labels! {
    /// Event of a participant.
    pub enum ParticipantEvent {
        /// Order to prepare.
        Prepare = "prepare",
        /// Order to arm.
        Arm = "arm",
        /// Order to commit.
        Commit = "commit",
        /// Order to abort.
        Abort = "abort",
        /// The ranks passed the gate with the new map.
        Switched = "switched",
    }
}

chart_labels! {
    /// Effect of an event on the target.
    pub enum ParticipantAction {
        /// Load the experts of the new map.
        LoadExperts = "load_experts",
        /// Arm the gate.
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
    /// State of the change.
    pub state: ParticipantState,
    /// Open change, if the engine tells.
    pub change: Option<ChangeId>,
    /// Version of the map in use.
    pub map_version: ChangeId,
}

/// Participant of map changes.
#[derive(Clone, Debug)]
pub struct MapParticipant {
    chart: ParticipantChart,
    state: ParticipantState,
    /// Highest token seen.
    fencing_token: FencingToken,
    /// Open change; `None` while unknown after a restart.
    change: Option<ChangeId>,
    gate: Option<GroupStep>,
    /// Highest change that ended here; a late prepare of it must not open it again.
    ended: ChangeId,
    map_version: ChangeId,
}

impl MapParticipant {
    /// Creates a participant that refuses tokens below `fencing_token`.
    ///
    /// # Errors
    ///
    /// Fails if the chart does not match the program.
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

    /// Returns the state.
    pub fn state(&self) -> ParticipantState {
        self.state
    }

    /// Returns the highest fencing token seen.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Returns the version of the map in use.
    pub fn map_version(&self) -> ChangeId {
        self.map_version
    }

    /// Returns the step before which the ranks wait, while a gate is armed or released.
    pub fn gate(&self) -> Option<GroupStep> {
        self.gate
    }

    /// Raises the highest token seen.
    pub fn promise(&mut self, fencing_token: FencingToken) {
        self.fencing_token = self.fencing_token.max(fencing_token);
    }

    /// Checks an order while the ranks execute `current` next. A token that is not stale is a
    /// promise to refuse lower ones, even if the order itself is refused.
    ///
    /// # Errors
    ///
    /// Fails if the order has to be refused.
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

    /// Carries out an order that [`Self::check`] accepted and that took effect at the target.
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

    /// Notes that the ranks passed the gate with the new map.
    pub fn switched(&mut self) {
        let event = ParticipantEvent::Switched;
        let Some(transition) = self.chart.step(self.state, event) else {
            return;
        };
        self.state = transition.next;
        self.map_version = self.change.unwrap_or(self.map_version);
        self.end(self.ended.max(self.map_version));
    }

    /// Adopts what the engine reports; the engine's memory decides. A committed change whose map
    /// is in use has ended.
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

    /// Returns the answer to an order.
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

    fn end(&mut self, ended: ChangeId) {
        self.ended = ended;
        self.change = None;
        self.gate = None;
    }

    /// Returns whether the order asks for nothing new: a query, or the repeated commit of a map
    /// that is in use.
    fn is_settled(&self, order: &MapOrder) -> bool {
        match order.step {
            OrderStep::Commit => self.map_version == order.change,
            OrderStep::Query => true,
            OrderStep::Abort | OrderStep::Arm(_) | OrderStep::Prepare => false,
        }
    }

    fn check_change(&self, order: &MapOrder) -> Result<()> {
        let asked = order.change;
        let repeat = self.change == Some(asked);
        match (order.step, self.change) {
            (OrderStep::Prepare, _) if asked <= self.ended && !repeat => {
                Err(OrderRefusal::ChangeEnded(asked))
            }
            // An abort ends earlier changes too; a late abort must not end a later change.
            (OrderStep::Abort, Some(open)) if asked >= open => Ok(()),
            (_, Some(open)) if asked != open => Err(OrderRefusal::OtherChange { asked, open }),
            // The map of the change is in use already.
            (OrderStep::Abort, None)
                if asked == self.map_version && self.state == ParticipantState::Stepping =>
            {
                Err(OrderRefusal::ChangeEnded(asked))
            }
            _ => Ok(()),
        }
    }

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
