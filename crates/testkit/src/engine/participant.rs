//! Map change as one server of the group sees it.

use {
    super::expert_map::ExpertMap,
    serde::{Deserialize, Serialize},
};

/// Step of a map change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the experts of a map.
    Prepare,
    /// Wait at a step for the decision.
    Arm,
    /// Use the prepared map from the gate on.
    Commit,
    /// Forget the prepared map.
    Abort,
    /// Report the state.
    Query,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapOrder {
    /// Step of the change.
    pub order: OrderKind,
    /// Fencing token of the placer.
    pub fencing: u64,
    /// Identifier of the change.
    #[serde(default)]
    pub change: u64,
    /// Map to prepare.
    #[serde(default)]
    pub map: Option<ExpertMap>,
    /// Step of the gate.
    #[serde(default)]
    pub gate_step: Option<u64>,
}

/// State of a server in a map change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParticipantState {
    /// No change is under way.
    #[default]
    Stepping,
    /// The experts are loaded.
    Prepared,
    /// The gate is armed.
    Armed,
    /// The change is decided; the map is used from the gate on.
    Committed,
}

/// Answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapReply {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// State after the order.
    pub state: ParticipantState,
    /// Version of the map in use.
    pub map_version: u64,
    /// Next step to be run.
    pub step: u64,
    /// Highest fencing token seen.
    pub fencing: u64,
    /// Change that the state is about; 0 if there is none.
    pub change: u64,
    /// Reason of a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Participant of one server.
#[derive(Debug)]
pub struct MapParticipant {
    map: ExpertMap,
    state: ParticipantState,
    change: u64,
    prepared: Option<ExpertMap>,
    gate: u64,
    fencing: u64,
    checks_fencing: bool,
}

impl MapParticipant {
    /// Creates a participant that uses a map.
    pub fn new(map: ExpertMap, checks_fencing: bool) -> Self {
        Self {
            map,
            state: ParticipantState::Stepping,
            change: 0,
            prepared: None,
            gate: 0,
            fencing: 0,
            checks_fencing,
        }
    }

    /// Returns the map in use.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Returns whether the server waits at its gate for the decision.
    pub fn waits_at(&self, step: u64) -> bool {
        self.state == ParticipantState::Armed && step >= self.gate
    }

    /// Switches to the committed map if its gate is reached.
    pub fn enter_step(&mut self, step: u64) {
        if self.state == ParticipantState::Committed
            && step >= self.gate
            && let Some(map) = self.prepared.take()
        {
            self.map = map;
        }
    }

    /// Refuses an order with an old token, if the engine checks tokens.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal.
    pub fn check_fencing(&mut self, fencing: u64) -> Result<(), String> {
        if self.checks_fencing && fencing < self.fencing {
            return Err(format!("fencing token {fencing} is below {}", self.fencing));
        }
        self.fencing = self.fencing.max(fencing);
        Ok(())
    }

    /// Carries out an order at a step. A map to prepare counts as loaded.
    pub fn apply(&mut self, order: MapOrder, step: u64) -> MapReply {
        let result = self
            .check_fencing(order.fencing)
            .and_then(|()| match order.order {
                OrderKind::Abort => self.abort(order.change),
                OrderKind::Arm => self.arm(order.change, order.gate_step, step),
                OrderKind::Commit => self.commit(order.change),
                OrderKind::Prepare => self.prepare(order.change, order.map),
                OrderKind::Query => Ok(()),
            });
        self.reply(result, step)
    }

    /// Describes the state.
    pub fn reply(&self, result: Result<(), String>, step: u64) -> MapReply {
        MapReply {
            accepted: result.is_ok(),
            state: self.state,
            map_version: self.map.version,
            step,
            fencing: self.fencing,
            change: self.change,
            reason: result.err(),
        }
    }

    fn is(&self, state: ParticipantState, change: u64) -> bool {
        self.state == state && self.change == change
    }

    fn prepare(&mut self, change: u64, map: Option<ExpertMap>) -> Result<(), String> {
        let map = map.ok_or("no map to prepare")?;
        if self.state == ParticipantState::Armed {
            return Err(format!("change {} is armed", self.change));
        }
        if self.state == ParticipantState::Committed && self.prepared.is_some() {
            return Err(format!("change {} waits for its gate", self.change));
        }
        if map.version <= self.map.version {
            let (new, current) = (map.version, self.map.version);
            return Err(format!("map version {new} is not above {current}"));
        }
        self.state = ParticipantState::Prepared;
        self.change = change;
        self.prepared = Some(map);
        Ok(())
    }

    fn arm(&mut self, change: u64, gate: Option<u64>, step: u64) -> Result<(), String> {
        let gate = gate.ok_or("no gate step")?;
        if self.is(ParticipantState::Armed, change) && self.gate == gate {
            return Ok(());
        }
        if !self.is(ParticipantState::Prepared, change) {
            return Err(format!("change {change} is not prepared"));
        }
        if step >= gate {
            return Err(format!("step {step} has reached gate {gate}"));
        }
        self.state = ParticipantState::Armed;
        self.gate = gate;
        Ok(())
    }

    fn commit(&mut self, change: u64) -> Result<(), String> {
        if self.is(ParticipantState::Committed, change) {
            return Ok(());
        }
        if !self.is(ParticipantState::Armed, change) {
            return Err(format!("change {change} is not armed"));
        }
        self.state = ParticipantState::Committed;
        Ok(())
    }

    fn abort(&mut self, change: u64) -> Result<(), String> {
        if self.is(ParticipantState::Committed, change) {
            return Err(format!("change {change} is committed"));
        }
        let undecided = [ParticipantState::Armed, ParticipantState::Prepared];
        if undecided.contains(&self.state) && self.change != change {
            return Err(format!("change {} is under way", self.change));
        }
        if self.change == change {
            self.state = ParticipantState::Stepping;
            self.prepared = None;
        }
        Ok(())
    }
}
